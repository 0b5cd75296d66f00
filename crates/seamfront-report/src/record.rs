//! The record of a run.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use hdrhistogram::serialization::{Deserializer, Serializer, V2DeflateSerializer};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use thiserror::Error;

/// The format that this version writes.
const FORMAT: u32 = 1;
/// Digits that a histogram keeps of each value.
const DIGITS: u8 = 3;
/// Durations longer than this are recorded as this: an hour, in microseconds.
const LONGEST: u64 = 3_600_000_000;

/// Why a record can't be read or written.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The file can't be read or written.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: String,
        /// What went wrong.
        error: std::io::Error,
    },
    /// A line can't be used.
    #[error("line {line}: {reason}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        reason: String,
    },
    /// A histogram or a plot can't be made.
    #[error("{what}: {reason}")]
    Made {
        /// What was to be made.
        what: String,
        /// What went wrong.
        reason: String,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum Line {
    Run {
        format: u32,
        title: String,
    },
    Durations {
        group: String,
        series: String,
        histogram: String,
    },
    Count {
        group: String,
        series: String,
        size: u64,
        value: f64,
    },
}

/// Durations of one kind.
#[derive(Clone, Debug)]
pub struct Series {
    /// What they are compared with: series of one group share a plot.
    pub group: String,
    /// What they are of.
    pub name: String,
    /// The durations in microseconds.
    pub durations: Histogram<u64>,
}

/// A count at some size, such as requests a minute with seven members.
#[derive(Clone, Debug, PartialEq)]
pub struct Count {
    /// What it is compared with: series of one group share a plot.
    pub group: String,
    /// What it is of.
    pub series: String,
    /// The size at which it was counted.
    pub size: u64,
    /// The count.
    pub value: f64,
}

/// All that a run has recorded.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Title of the run.
    pub title: String,
    /// Its durations.
    pub series: Vec<Series>,
    /// Its counts.
    pub counts: Vec<Count>,
}

/// Gathers the record of a run.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    title: String,
    durations: BTreeMap<(String, String), Histogram<u64>>,
    counts: Vec<Count>,
}

impl Recorder {
    /// A run under this title.
    pub fn new(title: &str) -> Recorder {
        Recorder {
            title: title.to_owned(),
            ..Recorder::default()
        }
    }

    /// Records a duration.
    pub fn duration(&mut self, group: &str, series: &str, micros: u64) -> Result<(), ReportError> {
        let key = (group.to_owned(), series.to_owned());
        let histogram = match self.durations.entry(key) {
            std::collections::btree_map::Entry::Occupied(entry) => entry.into_mut(),
            std::collections::btree_map::Entry::Vacant(entry) => entry.insert(empty_histogram()?),
        };
        histogram.saturating_record(micros.min(LONGEST));
        Ok(())
    }

    /// Records a count.
    pub fn count(&mut self, group: &str, series: &str, size: u64, value: f64) {
        self.counts.push(Count {
            group: group.to_owned(),
            series: series.to_owned(),
            size,
            value,
        });
    }

    /// Writes the record.
    pub fn write(&self, path: &Path) -> Result<(), ReportError> {
        let mut text = Vec::new();
        let mut lines = vec![Line::Run {
            format: FORMAT,
            title: self.title.clone(),
        }];
        for ((group, series), histogram) in &self.durations {
            let histogram = encode(histogram)?;
            lines.push(Line::Durations {
                group: group.clone(),
                series: series.clone(),
                histogram,
            });
        }
        let counts = self.counts.iter().cloned();
        lines.extend(counts.map(|c| Line::Count {
            group: c.group,
            series: c.series,
            size: c.size,
            value: c.value,
        }));
        for line in &lines {
            let line = serde_json::to_string(line).map_err(|error| made("a line", &error))?;
            writeln!(text, "{line}").map_err(|error| file(path, error))?;
        }
        std::fs::write(path, text).map_err(|error| file(path, error))
    }
}

/// Reads the record of a run. A line that can't be read is refused by its number, a newer format as such.
pub fn read(text: &str) -> Result<Run, ReportError> {
    let mut run = Run::default();
    for (index, text) in text.lines().enumerate() {
        let refused = |reason: String| ReportError::Line {
            line: index + 1,
            reason,
        };
        let line: Line = serde_json::from_str(text).map_err(|error| refused(error.to_string()))?;
        match line {
            Line::Run { format, .. } if format > FORMAT => {
                return Err(refused(format!("format {format} is newer than {FORMAT}")));
            }
            Line::Run { title, .. } => run.title = title,
            Line::Durations {
                group,
                series,
                histogram,
            } => {
                let durations = decode(&histogram).map_err(refused)?;
                run.series.push(Series {
                    group,
                    name: series,
                    durations,
                });
            }
            Line::Count {
                group,
                series,
                size,
                value,
            } if value.is_finite() => {
                run.counts.push(Count {
                    group,
                    series,
                    size,
                    value,
                });
            }
            Line::Count { .. } => return Err(refused("value: not a number".to_owned())),
        }
    }
    Ok(run)
}

fn empty_histogram() -> Result<Histogram<u64>, ReportError> {
    Histogram::new_with_bounds(1, LONGEST, DIGITS).map_err(|error| made("a histogram", &error))
}

fn encode(histogram: &Histogram<u64>) -> Result<String, ReportError> {
    let mut bytes = Vec::new();
    let written = V2DeflateSerializer::new().serialize(histogram, &mut bytes);
    written.map_err(|error| made("a histogram", &error))?;
    Ok(STANDARD.encode(bytes))
}

fn decode(text: &str) -> Result<Histogram<u64>, String> {
    let bytes = STANDARD
        .decode(text)
        .map_err(|error| format!("histogram: {error}"))?;
    Deserializer::new()
        .deserialize(&mut bytes.as_slice())
        .map_err(|error| format!("histogram: {error}"))
}

pub(crate) fn made(what: &str, reason: &dyn std::fmt::Display) -> ReportError {
    ReportError::Made {
        what: what.to_owned(),
        reason: reason.to_string(),
    }
}

fn file(path: &Path, error: std::io::Error) -> ReportError {
    ReportError::File {
        path: path.display().to_string(),
        error,
    }
}
