//! Turns the record of a measured run into one HTML page.

use clap::Parser;
use seamfront_report::{page, read, ReportError};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Turns the record of a measured run into one self-contained HTML page with plots.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// The record.
    record: PathBuf,
    /// The page that is written.
    page: PathBuf,
}

fn convert(record: &Path, target: &Path) -> Result<(), ReportError> {
    let file = |path: &Path| {
        let path = path.to_owned();
        move |source| ReportError::File { path, source }
    };
    let text = std::fs::read_to_string(record).map_err(file(record))?;
    let html = page(&read(&text)?)?;
    std::fs::write(target, html).map_err(file(target))
}

fn main() -> ExitCode {
    let args = Args::parse();
    if let Err(error) = convert(&args.record, &args.page) {
        let _ = writeln!(std::io::stderr(), "seamfront-report: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
