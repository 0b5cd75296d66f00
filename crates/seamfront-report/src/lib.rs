//! Records of measured runs, and reports that are rendered from them.
//!
//! A run's record is a text file with one JSON object per line: the title of the run, a series of durations as a
//! histogram, or a count at a size, such as a number of members. [`Recorder`] collects and writes a record,
//! [`parse_record`] parses one, and [`render_page`] renders the result as a self-contained HTML page.
//!
//! ```
//! use seamfront_report::{parse_record, render_page, Recorder};
//!
//! let mut recorder = Recorder::new("Example");
//! recorder.duration("failover", "crash, 3 members", 1_250_000)?;
//! recorder.count("requests a minute", "leader", 3, 70.0);
//! let path = std::env::temp_dir().join(format!("example-{}.jsonl", std::process::id()));
//! recorder.write(&path)?;
//!
//! let run = parse_record(&std::fs::read_to_string(&path)?)?;
//! assert!(render_page(&run)?.contains("<svg"));
//! std::fs::remove_file(&path)?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod page;
mod plot;
mod record;

pub use page::render_page;
pub use plot::DrawingError;
pub use record::{parse_record, Count, LineError, Recorder, ReportError, Run, Series};
