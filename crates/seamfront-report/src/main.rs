//! Command-line program that renders the record of a measured run as an HTML page.

use clap::Parser;
use seamfront_report::{parse_record, render_page, ReportError};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Renders the record of a measured run as a self-contained HTML page with plots.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// File with the record.
    record: PathBuf,
    /// File that the HTML page is written to.
    page: PathBuf,
}

fn convert(record: &Path, page: &Path) -> Result<(), ReportError> {
    let file_error = |path: &Path| {
        let path = path.to_owned();
        move |source| ReportError::File { path, source }
    };
    let text = std::fs::read_to_string(record).map_err(file_error(record))?;
    let html = render_page(&parse_record(&text)?)?;
    std::fs::write(page, html).map_err(file_error(page))
}

fn main() -> ExitCode {
    let args = Args::parse();
    if let Err(error) = convert(&args.record, &args.page) {
        let _ = writeln!(std::io::stderr(), "seamfront-report: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
