//! Renders a run's record as a self-contained HTML page.

use crate::plot;
use crate::record::{Count, ReportError, Run, Series};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Columns of the tables of durations; the last is the maximum.
const PERCENTILES: [f64; 4] = [50.0, 90.0, 99.0, 100.0];
const MICROS_PER_SECOND: f64 = 1e6;
const STYLE: &str = "body{font-family:sans-serif;max-width:60em;margin:2em auto;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.25em .6em;text-align:right}\
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}";

/// Renders a run as a self-contained HTML page, with a plot and a table for each group.
pub fn render_page(run: &Run) -> Result<String, ReportError> {
    let title = escape(&run.title);
    let mut html = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style></head><body>\n<h1>{title}</h1>\n"
    );
    let mut series: BTreeMap<&str, Vec<&Series>> = BTreeMap::new();
    for entry in &run.series {
        series.entry(&entry.group).or_default().push(entry);
    }
    for (group, series) in series {
        let plot = plot::durations(group, &series)?;
        let _ = write!(
            html,
            "<h2>{}</h2>\n{plot}\n{}",
            escape(group),
            durations_table(&series)
        );
    }
    let mut counts: BTreeMap<&str, Vec<&Count>> = BTreeMap::new();
    for count in &run.counts {
        counts.entry(&count.group).or_default().push(count);
    }
    for (group, counts) in counts {
        let plot = plot::counts(group, &counts)?;
        let _ = write!(
            html,
            "<h2>{}</h2>\n{plot}\n{}",
            escape(group),
            counts_table(&counts)
        );
    }
    html.push_str("</body></html>\n");
    Ok(html)
}

fn durations_table(series: &[&Series]) -> String {
    let mut table = "<table><tr><th>seconds</th><th>count</th>".to_owned();
    for percent in PERCENTILES {
        let _ = write!(table, "<th>{percent}%</th>");
    }
    table.push_str("</tr>\n");
    for entry in series {
        let _ = write!(
            table,
            "<tr><td>{}</td><td>{}</td>",
            escape(&entry.name),
            entry.durations.len()
        );
        for percent in PERCENTILES {
            let seconds = entry.durations.value_at_percentile(percent) as f64 / MICROS_PER_SECOND;
            let _ = write!(table, "<td>{seconds:.3}</td>");
        }
        table.push_str("</tr>\n");
    }
    table.push_str("</table>\n");
    table
}

fn counts_table(counts: &[&Count]) -> String {
    let mut table = "<table><tr><th>series</th><th>size</th><th>value</th></tr>\n".to_owned();
    for count in counts {
        let (series, size, value) = (escape(&count.series), count.size, count.value);
        let _ = writeln!(
            table,
            "<tr><td>{series}</td><td>{size}</td><td>{value:.1}</td></tr>"
        );
    }
    table.push_str("</table>\n");
    table
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
