//! The record of a run, a text file with one JSON object per line: collecting, writing and parsing it.

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

/// Version of the record format that this crate writes, and the newest that it reads.
const FORMAT: u32 = 1;
/// Significant decimal digits that a histogram keeps of each value.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest duration that is recorded, one hour in microseconds. A longer one is recorded as this.
const DURATION_MAX_MICROS: u64 = 3_600_000_000;

/// Error while a record is read or written, or its page rendered.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A line of the record is invalid.
    #[error("line {line}: {reason}")]
    Line {
        /// Number of the line, starting at 1.
        line: usize,
        /// Why the line is invalid.
        #[source]
        reason: LineError,
    },
    /// A line can't be encoded as JSON.
    #[error("cannot encode a line of the record: {0}")]
    EncodeLine(#[source] serde_json::Error),
    /// A histogram can't be created.
    #[error("cannot create a histogram: {0}")]
    CreateHistogram(#[source] CreationError),
    /// A histogram can't be encoded.
    #[error("cannot encode a histogram: {0}")]
    EncodeHistogram(#[source] V2DeflateSerializeError),
    /// A plot can't be drawn.
    #[error("cannot draw the plot {title:?}: {source}")]
    Plot {
        /// Title of the plot.
        title: String,
        /// The cause.
        source: DrawingError,
    },
}

/// Why a line of a record is invalid.
#[derive(Debug, Error)]
pub enum LineError {
    /// It is not valid JSON, lacks a field or is of an unknown kind.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// It was written in a newer format.
    #[error("format {format} is newer than the supported format {FORMAT}")]
    NewerFormat {
        /// The format of the record.
        format: u32,
    },
    /// The field `histogram` is not valid base64.
    #[error("field histogram is not valid base64: {0}")]
    HistogramBase64(#[from] base64::DecodeError),
    /// The field `histogram` doesn't decode to a histogram.
    #[error("field histogram is invalid: {0}")]
    Histogram(#[from] DeserializeError),
    /// The value of a count is not finite.
    #[error("field value must be a finite number")]
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

/// A series of durations.
#[derive(Clone, Debug)]
pub struct Series {
    /// Series of the same group share a plot and a table.
    pub group: String,
    /// Name of the series.
    pub name: String,
    /// The durations in microseconds.
    pub durations: Histogram<u64>,
}

/// A count at a size, such as requests per minute in a cluster of seven members.
#[derive(Clone, Debug, PartialEq)]
pub struct Count {
    /// Series of the same group share a plot and a table.
    pub group: String,
    /// Name of the series.
    pub series: String,
    /// The size at which it was counted, such as the number of members.
    pub size: u64,
    /// The count.
    pub value: f64,
}

/// The parsed record of a run.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Title of the run.
    pub title: String,
    /// Series of durations.
    pub series: Vec<Series>,
    /// Counts of all series.
    pub counts: Vec<Count>,
}

/// Identifies a series of durations within a run.
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
    /// Starts the record of a run with this title.
    pub fn new(title: &str) -> Recorder {
        Recorder {
            title: title.to_owned(),
            ..Recorder::default()
        }
    }

    /// Adds a duration to a series. One longer than an hour counts as an hour.
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

    /// Adds a count to a series.
    pub fn count(&mut self, group: &str, series: &str, size: u64, value: f64) {
        self.counts.push(Count {
            group: group.to_owned(),
            series: series.to_owned(),
            size,
            value,
        });
    }

    /// Writes the record to a file, which is overwritten if it exists.
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
            writeln!(text, "{line}").map_err(|error| file_error(path, error))?;
        }
        std::fs::write(path, text).map_err(|error| file_error(path, error))
    }
}

/// Parses the record of a run. An invalid line is refused with its number, and a newer format with
/// [`LineError::NewerFormat`].
pub fn parse_record(text: &str) -> Result<Run, ReportError> {
    let mut run = Run::default();
    for (index, line) in text.lines().enumerate() {
        parse_line(line, &mut run).map_err(|reason| ReportError::Line {
            line: index + 1,
            reason,
        })?;
    }
    Ok(run)
}

fn parse_line(text: &str, run: &mut Run) -> Result<(), LineError> {
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

fn file_error(path: &Path, source: std::io::Error) -> ReportError {
    ReportError::File {
        path: path.to_owned(),
        source,
    }
}
