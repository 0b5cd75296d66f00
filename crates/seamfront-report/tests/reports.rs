//! A record is read as it was written, and becomes a page; what can't be read is refused by its line.

use seamfront_report::{page, read, Recorder};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Records written so far: tests run beside each other.
static WRITTEN: AtomicUsize = AtomicUsize::new(0);

fn record() -> String {
    let mut recorder = Recorder::new("a <run>");
    for n in 1..=1_000 {
        recorder
            .duration("gaps", "crash, 3 members", n * 10_000)
            .expect("recorded");
    }
    recorder
        .duration("gaps", "handover", 5_000)
        .expect("recorded");
    recorder.count("requests a minute", "duties", 3, 70.0);
    recorder.count("requests a minute", "duties", 7, 150.5);
    let number = WRITTEN.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!(
        "seamfront-report-{}-{number}.jsonl",
        std::process::id()
    ));
    recorder.write(&path).expect("written");
    let text = std::fs::read_to_string(&path).expect("read");
    std::fs::remove_file(&path).expect("removed");
    text
}

#[test]
fn a_record_is_read_as_it_was_written() {
    let run = read(&record()).expect("a record");
    assert_eq!(run.title, "a <run>");
    assert_eq!(run.series.len(), 2);
    let crashes = run
        .series
        .iter()
        .find(|series| series.name == "crash, 3 members")
        .expect("the series");
    assert_eq!(crashes.durations.len(), 1_000);
    let median = crashes.durations.value_at_percentile(50.0);
    assert!((4_990_000..=5_010_000).contains(&median), "{median}");
    assert_eq!(run.counts.len(), 2);
}

#[test]
fn the_page_holds_plots_and_tables_and_nothing_from_elsewhere() {
    let html = page(&read(&record()).expect("a record")).expect("a page");
    assert_eq!(html.matches("<svg").count(), 2, "{html}");
    assert_eq!(html.matches("<table").count(), 2);
    assert!(html.contains("a &lt;run&gt;") && !html.contains("<run>"));
    assert!(!html.contains("src=") && !html.contains("href="));
}

#[test]
fn what_cannot_be_read_is_refused_by_its_line() {
    let good = record();
    let first = good.lines().next().expect("a line");
    let refused = |line: &str| {
        read(&format!("{first}\n{line}\n"))
            .expect_err("refused")
            .to_string()
    };
    assert!(refused("{").starts_with("line 2: "));
    assert!(
        refused(r#"{"kind":"durations","group":"a","series":"b","histogram":"AAAA"}"#)
            .starts_with("line 2: ")
    );
    assert!(refused(r#"{"kind":"run","format":9,"title":"x"}"#).contains("format 9 is newer"));
    assert!(refused(r#"{"kind":"tea"}"#).contains("tea"));
}
