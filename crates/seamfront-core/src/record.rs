//! Work records: the stored state of a running job, and how it is laid out in keys of the key-value store.
//!
//! A record that fits into one value is stored whole under `work/<shard>/<job>`. A larger one is stored as a head
//! under the same key and as parts under `part/<shard>/<job>/<number>`. Head and parts are always written in one
//! transaction, so a reader that holds the shard's claim finds either all of them or none.

use crate::ranges::RangeSet;
use crate::types::{JobId, MachineId, Resources};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Consecutive task numbers on one machine with the same attempt, stored as `[start, end, attempt]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u64)", into = "(u32, u32, u64)")]
pub struct TaskRun {
    /// First task number.
    pub start: u32,
    /// Task number after the last one.
    pub end: u32,
    /// Attempt number that the tasks share.
    pub attempt: u64,
}

impl TaskRun {
    /// Tasks `start..end` with the same attempt.
    pub const fn new(start: u32, end: u32, attempt: u64) -> TaskRun {
        TaskRun {
            start,
            end,
            attempt,
        }
    }
}

impl From<(u32, u32, u64)> for TaskRun {
    fn from((start, end, attempt): (u32, u32, u64)) -> TaskRun {
        TaskRun::new(start, end, attempt)
    }
}

impl From<TaskRun> for (u32, u32, u64) {
    fn from(run: TaskRun) -> Self {
        (run.start, run.end, run.attempt)
    }
}

/// Runs of consecutive tasks on one machine.
pub type TaskRuns = Vec<TaskRun>;

/// The stored state of a job of any kind. The tasks of job arrays and services are alike and recorded together, as a
/// class; what only gangs have is 0, false or empty for them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkRecord {
    /// Team whose limit the tasks count against.
    pub team: String,
    /// Resources of one task.
    #[serde(rename = "need")]
    pub task_resources: Resources,
    /// Epoch of a gang; 0 for other kinds of jobs.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Whether the gang is being drained.
    #[serde(rename = "dr")]
    pub draining: bool,
    /// Attempts that gang members have used, by task number.
    #[serde(rename = "a")]
    pub attempts: Vec<(u32, u32)>,
    /// The next attempt number.
    #[serde(rename = "n")]
    pub next_attempt: u64,
    /// Tasks that are done.
    #[serde(rename = "d")]
    pub done: RangeSet,
    /// Placements by machine.
    #[serde(rename = "p")]
    pub placed: BTreeMap<MachineId, TaskRuns>,
    /// Failure count that determines the backoff: for a gang how often it has backed off, for other jobs consecutive
    /// errors.
    #[serde(rename = "pk")]
    pub failures: u32,
}

/// Head of a record in parts. It lacks fields of [`WorkRecord`], so it cannot be mistaken for a whole record.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Head {
    team: String,
    #[serde(rename = "need")]
    task_resources: Resources,
    #[serde(rename = "e")]
    epoch: u64,
    #[serde(rename = "dr")]
    draining: bool,
    #[serde(rename = "n")]
    next_attempt: u64,
    #[serde(rename = "pk")]
    failures: u32,
    parts: u32,
}

/// One part: a slice of the lists of a whole record.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Part {
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    attempts: Vec<(u32, u32)>,
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    done: Vec<(u32, u32)>,
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    placed: BTreeMap<MachineId, TaskRuns>,
}

/// Limits within which a record must be laid out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Maximum bytes of one value.
    pub value_bytes: usize,
    /// Maximum number of parts besides the head; 0 while some controller may run a version that cannot read parts.
    pub parts: usize,
    /// Maximum bytes of all parts together.
    pub parts_bytes: usize,
}

/// Operations of a transaction that are not available for parts: the head, the job and its end, and one in reserve.
const NON_PART_OPERATIONS: usize = 4;
/// Maximum bytes of all parts together. With the keys and the head they stay below the size limit of a transaction,
/// 64 KiB.
const MAX_PARTS_BYTES: usize = 56_000;
/// Bytes of each part that are reserved for its JSON syntax and for the head's fixed fields.
const PART_OVERHEAD_BYTES: usize = 40;
/// When tasks are placed, only `FILL_NUMERATOR / FILL_DENOMINATOR` of each part's bytes are assumed to be usable, since
/// parts are not filled completely.
const FILL_NUMERATOR: usize = 2;
/// See [`FILL_NUMERATOR`].
const FILL_DENOMINATOR: usize = 3;
/// A sixteenth of what the parts hold is not used when a gang is placed, so that its record can grow while it runs.
const GANG_GROWTH_DIVISOR: usize = 16;
impl Layout {
    /// Only whole records, without parts.
    pub fn single(value_bytes: usize) -> Layout {
        Layout {
            value_bytes,
            parts: 0,
            parts_bytes: 0,
        }
    }

    /// Records with as many parts as one transaction can write and delete.
    pub fn in_parts(value_bytes: usize, max_txn_changes: usize) -> Layout {
        Layout {
            value_bytes,
            parts: max_txn_changes.saturating_sub(NON_PART_OPERATIONS),
            parts_bytes: MAX_PARTS_BYTES,
        }
    }

    /// Bytes of list entries that are guaranteed to fit into the parts, however the entries change.
    pub fn parts_capacity(&self) -> usize {
        let usable = |bytes: usize| bytes * FILL_NUMERATOR / FILL_DENOMINATOR;
        let filled = usable(self.value_bytes).saturating_sub(PART_OVERHEAD_BYTES);
        (self.parts * filled).min(usable(self.parts_bytes))
    }

    /// Bytes of list entries of at most `entry_bytes` each that fit into the parts when a record is first written.
    pub fn gang_capacity(&self, entry_bytes: usize) -> usize {
        // Less than an entry is left free at the end of each part.
        let filled = self
            .value_bytes
            .saturating_sub(PART_OVERHEAD_BYTES + entry_bytes);
        let bytes = (self.parts * filled).min(self.parts_bytes);
        bytes - bytes / GANG_GROWTH_DIVISOR
    }
}

/// Sort key of an entry of a record's lists. Entries are divided into parts in this order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Position {
    /// Attempts of the gang member with this task number.
    Attempts(u32),
    /// Range of done tasks that starts with this task number.
    Done(u32),
    /// Placements on this machine.
    Placed(MachineId),
}

/// An entry of a record's lists.
enum Item {
    Attempts((u32, u32)),
    Done((u32, u32)),
    Placed(MachineId, TaskRuns),
}

impl Item {
    fn position(&self) -> Position {
        match self {
            Item::Attempts(a) => Position::Attempts(a.0),
            Item::Done(d) => Position::Done(d.0),
            Item::Placed(machine, _) => Position::Placed(machine.clone()),
        }
    }

    /// Encoded size in a part, in bytes.
    fn size(&self) -> usize {
        let text = match self {
            Item::Attempts(a) => serde_json::to_string(a),
            Item::Done(d) => serde_json::to_string(d),
            Item::Placed(machine, runs) => serde_json::to_string(&(machine, runs)),
        };
        text.map_or(0, |t| t.len() + 1)
    }
}

impl Part {
    fn add(&mut self, item: Item) {
        match item {
            Item::Attempts(a) => self.attempts.push(a),
            Item::Done(d) => self.done.push(d),
            Item::Placed(machine, runs) => {
                self.placed.insert(machine, runs);
            }
        }
    }
}

/// A record in its stored form.
#[derive(Clone, Debug, PartialEq)]
pub struct EncodedRecord {
    /// Value of the record's own key.
    pub head: Value,
    /// The parts; empty if the head is the whole record.
    pub parts: Vec<Value>,
    /// First position of each part but the first. The next write reuses them, so that most parts stay unchanged.
    pub boundaries: Vec<Position>,
    /// Total bytes of head and parts.
    pub bytes: usize,
}

/// Why a stored record cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// A value does not have the expected format.
    #[error("unreadable: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The store does not hold all parts of the record.
    #[error("found {found} of {expected} parts")]
    PartsMissing {
        /// Number of parts that were read.
        found: usize,
        /// Number of parts according to the head.
        expected: u32,
    },
}

/// Key prefix of all parts of a shard's records.
pub fn parts_prefix(shard: usize) -> String {
    format!("part/{shard}/")
}

/// Key of a part.
pub fn part_key(shard: usize, job: &JobId, number: u32) -> String {
    format!("part/{shard}/{job}/{number:05}")
}

/// Job and part number of a part's key; None for any other key.
pub fn parse_part_key(shard: usize, key: &str) -> Option<(JobId, u32)> {
    let (job, number) = key.strip_prefix(&parts_prefix(shard))?.rsplit_once('/')?;
    Some((JobId::from(job), number.parse().ok()?))
}

/// Encodes a record: whole if it fits into one value, else in parts. `boundaries` are those of the previous encoding;
/// they are reused if the parts still fit. None if the record exceeds the layout even in parts.
pub fn encode(
    record: &WorkRecord,
    layout: &Layout,
    boundaries: &[Position],
) -> Option<EncodedRecord> {
    let head = serde_json::to_value(record).ok()?;
    let bytes = head.to_string().len();
    if bytes <= layout.value_bytes {
        return Some(EncodedRecord {
            head,
            parts: Vec::new(),
            boundaries: Vec::new(),
            bytes,
        });
    }
    let items = items_of(record);
    let sizes: Vec<usize> = items.iter().map(Item::size).collect();
    let boundaries = choose_boundaries(&items, &sizes, layout, boundaries)?;
    let mut parts = vec![Part::default(); boundaries.len() + 1];
    for item in items {
        let part = part_index(&boundaries, &item.position());
        parts[part].add(item);
    }
    let head = Head {
        team: record.team.clone(),
        task_resources: record.task_resources,
        epoch: record.epoch,
        draining: record.draining,
        next_attempt: record.next_attempt,
        failures: record.failures,
        parts: parts.len() as u32,
    };
    let head = serde_json::to_value(head).ok()?;
    let parts: Vec<Value> = parts
        .iter()
        .map(serde_json::to_value)
        .collect::<Result<_, _>>()
        .ok()?;
    let lengths: Vec<usize> = parts
        .iter()
        .chain([&head])
        .map(|v| v.to_string().len())
        .collect();
    let fits = lengths.iter().all(|n| *n <= layout.value_bytes);
    fits.then(|| EncodedRecord {
        head,
        parts,
        boundaries,
        bytes: lengths.iter().sum(),
    })
}

/// Decodes a record from its head and its parts.
pub fn decode(head: Value, parts: &BTreeMap<u32, Value>) -> Result<WorkRecord, RecordError> {
    if head.get("parts").is_none() {
        return Ok(serde_json::from_value(head)?);
    }
    let head: Head = serde_json::from_value(head)?;
    let (mut attempts, mut done, mut placed) = (Vec::new(), Vec::new(), BTreeMap::new());
    for number in 0..head.parts {
        let Some(part) = parts.get(&number) else {
            return Err(RecordError::PartsMissing {
                found: parts.len(),
                expected: head.parts,
            });
        };
        let part: Part = serde_json::from_value(part.clone())?;
        attempts.extend(part.attempts);
        done.extend(part.done);
        placed.extend(part.placed);
    }
    Ok(WorkRecord {
        team: head.team,
        task_resources: head.task_resources,
        epoch: head.epoch,
        draining: head.draining,
        attempts,
        next_attempt: head.next_attempt,
        done: RangeSet::from_ranges(done),
        placed,
        failures: head.failures,
    })
}

/// All entries of a record's lists, ordered by position.
fn items_of(record: &WorkRecord) -> Vec<Item> {
    let attempts = record.attempts.iter().map(|a| Item::Attempts(*a));
    let done = record.done.iter_ranges().map(Item::Done);
    let placed = record
        .placed
        .iter()
        .map(|(machine, runs)| Item::Placed(machine.clone(), runs.clone()));
    attempts.chain(done).chain(placed).collect()
}

/// Index of the part that contains a position.
fn part_index(boundaries: &[Position], position: &Position) -> usize {
    boundaries.partition_point(|b| b <= position)
}

/// Chooses boundaries such that each part fits into a value: the previous ones if possible, else new ones that leave a
/// quarter of each part free for growth, else new ones that fill each part. None if that takes too many parts.
fn choose_boundaries(
    items: &[Item],
    sizes: &[usize],
    layout: &Layout,
    previous: &[Position],
) -> Option<Vec<Position>> {
    let part_capacity = layout.value_bytes.saturating_sub(PART_OVERHEAD_BYTES);
    let total: usize = sizes.iter().sum();
    if total > layout.parts_bytes {
        return None;
    }
    // The record has shrunk so much that fewer parts suffice.
    let sparse = total * 4 < part_capacity * previous.len();
    if !previous.is_empty() && previous.len() < layout.parts && !sparse {
        let mut part_sizes = vec![0; previous.len() + 1];
        for (item, size) in items.iter().zip(sizes) {
            part_sizes[part_index(previous, &item.position())] += size;
        }
        if part_sizes.iter().all(|n| *n <= part_capacity) {
            return Some(previous.to_vec());
        }
    }
    [part_capacity * 3 / 4, part_capacity]
        .into_iter()
        .map(|max_bytes| split_into_parts(items, sizes, max_bytes))
        .find(|b| b.len() < layout.parts)
}

/// Boundaries of parts of at most `max_bytes` each, filled one after the other.
fn split_into_parts(items: &[Item], sizes: &[usize], max_bytes: usize) -> Vec<Position> {
    let (mut boundaries, mut used) = (Vec::new(), 0);
    for (item, size) in items.iter().zip(sizes) {
        if used + size > max_bytes && used > 0 {
            boundaries.push(item.position());
            used = 0;
        }
        used += size;
    }
    boundaries
}
