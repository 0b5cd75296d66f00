//! Records of measured runs, and reports made of them.
//!
//! A run's record is a text file with one JSON object a line: a series of durations as a histogram, or a count at a size.
//! [`Recorder`] gathers and writes one; [`read`] takes it in; [`page`] makes one self-contained HTML page of it.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod page;
mod plot;
mod record;

pub use page::page;
pub use record::{read, Count, Recorder, ReportError, Run, Series};
