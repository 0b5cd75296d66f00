//! Work records: what the state service keeps of a job while it runs, and how that is laid out in keys.
//!
//! A record that fits into one value is stored whole under `work/<shard>/<job>`. A larger one is stored as a head
//! under the same key and as parts under `part/<shard>/<job>/<number>`. Head and parts are always written in one
//! transaction, so a reader that holds the shard's claim finds either all of them or none.

use crate::ranges::Ranges;
use crate::types::{JobId, MachineId, Resources};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Consecutive task numbers on one machine with the same attempt, stored as `[start, end, attempt]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u64)", into = "(u32, u32, u64)")]
pub struct TaskRun {
    /// The first task number.
    pub start: u32,
    /// The task number after the last.
    pub end: u32,
    /// The attempt.
    pub attempt: u64,
}

impl TaskRun {
    /// Tasks `start..end` with one attempt.
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

/// Runs of tasks on one machine.
pub type Runs = Vec<TaskRun>;

/// What is recorded of a job, whatever its kind; arrays and services as a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkRecord {
    /// The team whose limit the tasks count against.
    pub team: String,
    /// What one task takes.
    #[serde(rename = "need")]
    pub task_resources: Resources,
    /// The gang's epoch, 0 for other kinds.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Whether the gang is being drained.
    #[serde(rename = "dr")]
    pub draining: bool,
    /// Attempts that gang members have used up, by task number.
    #[serde(rename = "a")]
    pub attempts: Vec<(u32, u32)>,
    /// The next attempt number.
    #[serde(rename = "n")]
    pub next_attempt: u64,
    /// Tasks that are done.
    #[serde(rename = "d")]
    pub done: Ranges,
    /// Placements by machine.
    #[serde(rename = "p")]
    pub placed: BTreeMap<MachineId, Runs>,
    /// Failures by which the pauses of the job grow: how often a gang has backed off; of other jobs, errors in a row.
    #[serde(rename = "pk")]
    pub failures: u32,
}

/// The head of a record in parts. It lacks fields of [`WorkRecord`], so it cannot be read as a whole record.
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

/// One part: a slice of the lists that a whole record holds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Part {
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    attempts: Vec<(u32, u32)>,
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    done: Vec<(u32, u32)>,
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    placed: BTreeMap<MachineId, Runs>,
}

/// What the state service takes of one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Bytes in a value.
    pub value_bytes: usize,
    /// Parts besides the head, 0 while some controller may run a version that does not know them.
    pub parts: usize,
}

/// Changes that a transaction needs besides a record's parts: the head, the job and its end, and one to spare.
const OTHER_CHANGES: usize = 4;
/// Bytes of all parts together, well below what a transaction takes.
const PARTS_BYTES: usize = 44_000;
/// Bytes of a part's own punctuation and of the head's fixed fields.
const PART_OVERHEAD: usize = 40;
/// Of each `FILL_DENOMINATOR` bytes of a value this many are counted on when tasks are placed: parts are not filled to
/// the last byte.
const FILL_NUMERATOR: usize = 2;
/// See [`FILL_NUMERATOR`].
const FILL_DENOMINATOR: usize = 3;

impl Layout {
    /// Records of one value only.
    pub fn single(value_bytes: usize) -> Layout {
        Layout {
            value_bytes,
            parts: 0,
        }
    }

    /// Records in as many parts as one transaction can write and remove.
    pub fn in_parts(value_bytes: usize, txn_ops: usize) -> Layout {
        let parts = txn_ops
            .saturating_sub(OTHER_CHANGES)
            .min(PARTS_BYTES / value_bytes.max(1));
        Layout { value_bytes, parts }
    }

    /// Bytes of lists that certainly find room in parts.
    pub fn parts_capacity(&self) -> usize {
        let filled = self.value_bytes * FILL_NUMERATOR / FILL_DENOMINATOR;
        self.parts * filled.saturating_sub(PART_OVERHEAD)
    }
}

/// Where an entry of a record's lists stands in the order in which they are divided into parts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Position {
    /// Attempts of the member with this number.
    Attempts(u32),
    /// The range of done tasks that begins here.
    Done(u32),
    /// Placements on this machine.
    Placed(MachineId),
}

enum Item {
    Attempts((u32, u32)),
    Done((u32, u32)),
    Placed(MachineId, Runs),
}

impl Item {
    fn position(&self) -> Position {
        match self {
            Item::Attempts(a) => Position::Attempts(a.0),
            Item::Done(d) => Position::Done(d.0),
            Item::Placed(machine, _) => Position::Placed(machine.clone()),
        }
    }

    /// Bytes that it takes in a part.
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

/// A record as it is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct EncodedRecord {
    /// The value of the record's own key.
    pub head: Value,
    /// The parts, none where the head is the whole record.
    pub parts: Vec<Value>,
    /// Where each part but the first begins: kept from one write to the next, so that most parts do not change.
    pub boundaries: Vec<Position>,
    /// Bytes of head and parts together.
    pub bytes: usize,
}

/// Why a stored record cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// A value is not what is expected.
    #[error("unreadable: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// Not all parts of the record are there.
    #[error("{found} parts of {expected}")]
    PartsMissing {
        /// Parts that are there.
        found: usize,
        /// Parts that the head names.
        expected: u32,
    },
}

/// Prefix of all parts of a shard's records.
pub fn parts_prefix(shard: usize) -> String {
    format!("part/{shard}/")
}

/// Key of one part.
pub fn part_key(shard: usize, job: &JobId, number: u32) -> String {
    format!("part/{shard}/{job}/{number:05}")
}

/// The job and number that a part's key names.
pub fn parse_part_key(shard: usize, key: &str) -> Option<(JobId, u32)> {
    let (job, number) = key.strip_prefix(&parts_prefix(shard))?.rsplit_once('/')?;
    Some((JobId::from(job), number.parse().ok()?))
}

/// Lays a record out: whole if that fits, else in parts, along the boundaries of the last time where they still
/// serve. None if it fits in neither way.
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
        let part = part_of(&boundaries, &item.position());
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

/// Puts a stored record together again.
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
        done: Ranges::from_ranges(done),
        placed,
        failures: head.failures,
    })
}

/// All entries of a record's lists, in the order of their positions.
fn items_of(record: &WorkRecord) -> Vec<Item> {
    let attempts = record.attempts.iter().map(|a| Item::Attempts(*a));
    let done = record.done.iter_ranges().map(Item::Done);
    let placed = record
        .placed
        .iter()
        .map(|(machine, runs)| Item::Placed(machine.clone(), runs.clone()));
    attempts.chain(done).chain(placed).collect()
}

fn part_of(boundaries: &[Position], position: &Position) -> usize {
    boundaries.partition_point(|b| b <= position)
}

/// Boundaries such that each part fits into a value: the former ones if they serve, else new ones that leave
/// room in each part, else new ones that do not.
fn choose_boundaries(
    items: &[Item],
    sizes: &[usize],
    layout: &Layout,
    former: &[Position],
) -> Option<Vec<Position>> {
    let room = layout.value_bytes.saturating_sub(PART_OVERHEAD);
    let total: usize = sizes.iter().sum();
    // Much has gone since: fewer parts will do.
    let sparse = total * 4 < room * former.len();
    if !former.is_empty() && former.len() < layout.parts && !sparse {
        let mut filled = vec![0; former.len() + 1];
        for (item, size) in items.iter().zip(sizes) {
            filled[part_of(former, &item.position())] += size;
        }
        if filled.iter().all(|n| *n <= room) {
            return Some(former.to_vec());
        }
    }
    [room * 3 / 4, room]
        .into_iter()
        .map(|fill| divide(items, sizes, fill))
        .find(|b| b.len() < layout.parts)
}

/// Fills one part after the other.
fn divide(items: &[Item], sizes: &[usize], fill: usize) -> Vec<Position> {
    let (mut boundaries, mut used) = (Vec::new(), 0);
    for (item, size) in items.iter().zip(sizes) {
        if used + size > fill && used > 0 {
            boundaries.push(item.position());
            used = 0;
        }
        used += size;
    }
    boundaries
}
