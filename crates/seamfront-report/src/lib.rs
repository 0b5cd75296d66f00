//! Records of measured runs, and reports made of them.
//!
//! A run's record is a text file with one JSON object a line: a series of durations as a histogram, or a count at a size.
//! [`Recorder`] collects and writes one; [`read`] reads it; [`page()`] makes one self-contained HTML page of it.
//!
//! ```
//! use seamfront_report::{page, read, Recorder};
//!
//! let mut recorder = Recorder::new("a trial");
//! recorder.duration("failover", "crash, 3 members", 1_250_000)?;
//! recorder.count("requests a minute", "leader", 3, 70.0);
//! let path = std::env::temp_dir().join(format!("trial-{}.jsonl", std::process::id()));
//! recorder.write(&path)?;
//!
//! let run = read(&std::fs::read_to_string(&path)?)?;
//! assert!(page(&run)?.contains("<svg"));
//! std::fs::remove_file(&path)?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod page;
mod plot;
mod record;

pub use page::page;
pub use plot::DrawingError;
pub use record::{read, Count, LineError, Recorder, ReportError, Run, Series};
