//! Records are parsed as they were written and rendered as pages, and invalid lines are refused.

use seamfront_report::{parse_record, render_page, Recorder};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of records written so far. It makes file names unique, since tests run concurrently.
static RECORDS_WRITTEN: AtomicUsize = AtomicUsize::new(0);

/// Writes a record with durations and counts to a file, and returns the text of the file.
fn record_text() -> String {
    let mut recorder = Recorder::new("a <run>");
    for n in 1..=1_000 {
        recorder
            .duration("gaps", "crash, 3 members", n * 10_000)
            .expect("the duration is recorded");
    }
    recorder
        .duration("gaps", "handover", 5_000)
        .expect("the duration is recorded");
    recorder.count("requests a minute", "duties", 3, 70.0);
    recorder.count("requests a minute", "duties", 7, 150.5);
    let number = RECORDS_WRITTEN.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!(
        "seamfront-report-{}-{number}.jsonl",
        std::process::id()
    ));
    recorder.write(&path).expect("the record is written");
    let text = std::fs::read_to_string(&path).expect("the file is read");
    std::fs::remove_file(&path).expect("the file is removed");
    text
}

#[test]
fn a_record_is_parsed_as_it_was_written() {
    let run = parse_record(&record_text()).expect("the record is valid");
    assert_eq!(run.title, "a <run>");
    assert_eq!(run.series.len(), 2);
    let crashes = run
        .series
        .iter()
        .find(|series| series.name == "crash, 3 members")
        .expect("the series is in the record");
    assert_eq!(crashes.durations.len(), 1_000);
    let median = crashes.durations.value_at_percentile(50.0);
    assert!((4_990_000..=5_010_000).contains(&median), "{median}");
    assert_eq!(run.counts.len(), 2);
}

#[test]
fn a_page_contains_plots_and_tables_and_no_external_resources() {
    let html = render_page(&parse_record(&record_text()).expect("the record is valid"))
        .expect("the page is rendered");
    assert_eq!(html.matches("<svg").count(), 2, "{html}");
    assert_eq!(html.matches("<table").count(), 2);
    assert!(html.contains("a &lt;run&gt;") && !html.contains("<run>"));
    assert!(!html.contains("src=") && !html.contains("href="));
}

#[test]
fn invalid_lines_newer_formats_and_unknown_kinds_are_refused() {
    let valid_text = record_text();
    let first = valid_text.lines().next().expect("the record has a line");
    let error_for = |line: &str| {
        parse_record(&format!("{first}\n{line}\n"))
            .expect_err("an invalid line is refused")
            .to_string()
    };
    assert!(error_for("{").starts_with("line 2: "));
    assert!(
        error_for(r#"{"kind":"durations","group":"a","series":"b","histogram":"AAAA"}"#)
            .starts_with("line 2: ")
    );
    assert!(error_for(r#"{"kind":"run","format":9,"title":"x"}"#).contains("format 9 is newer"));
    assert!(error_for(r#"{"kind":"tea"}"#).contains("tea"));
}
