//! The record of a run: a text file with one JSON object a line.

use crate::plot::DrawingError;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use hdrhistogram::serialization::{
    DeserializeError, Deserializer, Serializer, V2DeflateSerializeError, V2DeflateSerializer,
};
use hdrhistogram::{CreationError, Histogram};
use serde::{Deserialize, Serialize};
use std::collections::btree_map::{BTreeMap, Entry};
use std::io::Write;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The format that this version writes.
const FORMAT: u32 = 1;
/// Significant digits that a histogram keeps of each value.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Durations longer than this are recorded as this: an hour, in microseconds.
const DURATION_MAX_MICROS: u64 = 3_600_000_000;

/// Why a record can't be read or written, or its page not made.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// A line can't be used.
    #[error("line {line}: {reason}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        #[source]
        reason: LineError,
    },
    /// A line can't be written.
    #[error("a line: {0}")]
    EncodeLine(#[source] serde_json::Error),
    /// A histogram can't be created.
    #[error("a histogram: {0}")]
    CreateHistogram(#[source] CreationError),
    /// A histogram can't be written.
    #[error("a histogram: {0}")]
    EncodeHistogram(#[source] V2DeflateSerializeError),
    /// A plot can't be drawn.
    #[error("{title}: {source}")]
    Plot {
        /// Its title.
        title: String,
        /// What went wrong.
        source: DrawingError,
    },
}

/// What is wrong with a line of a record.
#[derive(Debug, Error)]
pub enum LineError {
    /// It is not JSON, or not of a kind that this version knows.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// A newer version wrote it.
    #[error("format {format} is newer than {FORMAT}")]
    NewerFormat {
        /// Its format.
        format: u32,
    },
    /// A histogram is not base64.
    #[error("histogram: {0}")]
    HistogramText(#[from] base64::DecodeError),
    /// A histogram is damaged.
    #[error("histogram: {0}")]
    Histogram(#[from] DeserializeError),
    /// A count is not a finite number.
    #[error("value: not a number")]
    NotFinite,
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

/// Names a series within a run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SeriesKey {
    group: String,
    name: String,
}

/// Collects the record of a run.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    title: String,
    durations: BTreeMap<SeriesKey, Histogram<u64>>,
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
        let key = SeriesKey {
            group: group.to_owned(),
            name: series.to_owned(),
        };
        let histogram = match self.durations.entry(key) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => entry.insert(empty_histogram()?),
        };
        histogram.saturating_record(micros.min(DURATION_MAX_MICROS));
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
        for (key, histogram) in &self.durations {
            lines.push(Line::Durations {
                group: key.group.clone(),
                series: key.name.clone(),
                histogram: encode(histogram)?,
            });
        }
        let counts = self.counts.iter().cloned();
        lines.extend(counts.map(|count| Line::Count {
            group: count.group,
            series: count.series,
            size: count.size,
            value: count.value,
        }));
        for line in &lines {
            let line = serde_json::to_string(line).map_err(ReportError::EncodeLine)?;
            writeln!(text, "{line}").map_err(|error| file(path, error))?;
        }
        std::fs::write(path, text).map_err(|error| file(path, error))
    }
}

/// Reads the record of a run. A line that can't be read is refused by its number, a newer format as such.
pub fn read(text: &str) -> Result<Run, ReportError> {
    let mut run = Run::default();
    for (index, line) in text.lines().enumerate() {
        read_line(line, &mut run).map_err(|reason| ReportError::Line {
            line: index + 1,
            reason,
        })?;
    }
    Ok(run)
}

fn read_line(text: &str, run: &mut Run) -> Result<(), LineError> {
    match serde_json::from_str(text)? {
        Line::Run { format, .. } if format > FORMAT => {
            return Err(LineError::NewerFormat { format });
        }
        Line::Run { title, .. } => run.title = title,
        Line::Durations {
            group,
            series,
            histogram,
        } => run.series.push(Series {
            group,
            name: series,
            durations: decode(&histogram)?,
        }),
        Line::Count { value, .. } if !value.is_finite() => return Err(LineError::NotFinite),
        Line::Count {
            group,
            series,
            size,
            value,
        } => run.counts.push(Count {
            group,
            series,
            size,
            value,
        }),
    }
    Ok(())
}

fn empty_histogram() -> Result<Histogram<u64>, ReportError> {
    Histogram::new_with_bounds(1, DURATION_MAX_MICROS, SIGNIFICANT_DIGITS)
        .map_err(ReportError::CreateHistogram)
}

fn encode(histogram: &Histogram<u64>) -> Result<String, ReportError> {
    let mut bytes = Vec::new();
    let written = V2DeflateSerializer::new().serialize(histogram, &mut bytes);
    written.map_err(ReportError::EncodeHistogram)?;
    Ok(STANDARD.encode(bytes))
}

fn decode(text: &str) -> Result<Histogram<u64>, LineError> {
    let bytes = STANDARD.decode(text)?;
    Ok(Deserializer::new().deserialize(&mut bytes.as_slice())?)
}

fn file(path: &Path, source: std::io::Error) -> ReportError {
    ReportError::File {
        path: path.to_owned(),
        source,
    }
}
