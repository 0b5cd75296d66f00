//! Plain values shared by every module: time, identifiers, amounts and what a user asks for.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::sync::Arc;

/// Whole microseconds, used both for instants (since the process began) and for spans.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Micros(pub i64);

impl Micros {
    pub const ZERO: Micros = Micros(0);
    pub const MAX: Micros = Micros(i64::MAX / 4);

    pub const fn from_millis(ms: i64) -> Micros {
        Micros(ms * 1_000)
    }

    pub const fn from_secs(s: i64) -> Micros {
        Micros(s * 1_000_000)
    }

    /// Wire durations are decimal seconds; this is the only place where they become time.
    pub fn from_secs_decimal(s: f64) -> Micros {
        Micros((s * 1e6).round().clamp(0.0, Micros::MAX.0 as f64) as i64)
    }

    pub fn as_secs_decimal(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub fn times(self, n: i64) -> Micros {
        Micros(self.0.saturating_mul(n))
    }

    pub fn over(self, n: i64) -> Micros {
        Micros(self.0 / n)
    }

    /// This span as another machine may count it: clocks drift by at most 0.05% against each other.
    pub fn with_drift(self) -> Micros {
        Micros(self.0 + self.0 / 1_000 + 1_000)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, o: Micros) -> Micros {
        Micros(self.0.saturating_add(o.0))
    }
}
impl AddAssign for Micros {
    fn add_assign(&mut self, o: Micros) {
        *self = *self + o;
    }
}
impl Sub for Micros {
    type Output = Micros;
    fn sub(self, o: Micros) -> Micros {
        Micros(self.0.saturating_sub(o.0))
    }
}

/// A name's first sixteen bytes, such that they compare like the text itself.
fn head_of(text: &str) -> u128 {
    let mut head = [0; 16];
    let n = text.len().min(16);
    head[..n].copy_from_slice(&text.as_bytes()[..n]);
    u128::from_be_bytes(head)
}

/// Names are looked up far more often than anything else is done, and are short: what decides nearly
/// every comparison lies beside the pointer to the text.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Serialize, Deserialize)]
        #[serde(from = "Arc<str>", into = "Arc<str>")]
        pub struct $name {
            head: u128,
            text: Arc<str>,
        }
        impl $name {
            pub fn as_str(&self) -> &str {
                &self.text
            }
        }
        impl From<Arc<str>> for $name {
            fn from(text: Arc<str>) -> Self {
                $name { head: head_of(&text), text }
            }
        }
        impl From<$name> for Arc<str> {
            fn from(name: $name) -> Self {
                name.text
            }
        }
        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                $name::from(Arc::<str>::from(s))
            }
        }
        impl PartialEq for $name {
            fn eq(&self, o: &Self) -> bool {
                self.cmp(o).is_eq()
            }
        }
        impl Eq for $name {}
        impl PartialOrd for $name {
            fn partial_cmp(&self, o: &Self) -> Option<Ordering> {
                Some(self.cmp(o))
            }
        }
        impl Ord for $name {
            fn cmp(&self, o: &Self) -> Ordering {
                self.head.cmp(&o.head).then_with(|| match (self.text.len(), o.text.len()) {
                    // Shorter than the head: a zero byte there can't be told from the end of the text.
                    (a, b) if a <= 16 && b <= 16 => a.cmp(&b),
                    _ => self.text.cmp(&o.text),
                })
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", self.as_str())
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.text)
            }
        }
    };
}

name_type!(
    /// A job's id as its user chose it.
    JobId
);
name_type!(
    /// A machine's name as the cloud gave it.
    MachineId
);

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    pub job: JobId,
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// What a task takes or a machine has, in thousandths so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Amounts {
    #[serde(rename = "c")]
    pub cpus: i64,
    #[serde(rename = "g")]
    pub gpus: i64,
    #[serde(rename = "r")]
    pub ram: i64,
}

impl Amounts {
    /// Rounds up: a task must never be counted smaller than it is.
    pub fn needed(cpus: f64, gpus: f64, ram: f64) -> Amounts {
        let up = |x: f64| (x * 1e3 - 1e-6).ceil() as i64;
        Amounts { cpus: up(cpus), gpus: up(gpus), ram: up(ram) }
    }

    /// Rounds down: a machine or a limit must never be counted larger than it is.
    pub fn offered(cpus: f64, gpus: f64, ram: f64) -> Amounts {
        let down = |x: f64| (x * 1e3 + 1e-6).floor() as i64;
        Amounts { cpus: down(cpus), gpus: down(gpus), ram: down(ram) }
    }

    pub fn add(&mut self, o: Amounts) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.ram += o.ram;
    }

    pub fn sub(&mut self, o: Amounts) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.ram -= o.ram;
    }

    pub fn times(self, n: i64) -> Amounts {
        Amounts { cpus: self.cpus * n, gpus: self.gpus * n, ram: self.ram * n }
    }

    /// How many tasks of size `task` fit into this room.
    pub fn fits(self, task: Amounts) -> i64 {
        let part = |have: i64, want: i64| if want <= 0 { i64::MAX } else { have.max(0) / want };
        part(self.cpus, task.cpus).min(part(self.gpus, task.gpus)).min(part(self.ram, task.ram))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    Array,
    Gang,
    Service,
}

/// Declared from the most to the least important, so that sorting puts the important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    Critical,
    Urgent,
    Normal,
    BestEffort,
}

/// Every job, the largest too, should have begun this long after its submission.
pub const BEGIN_WITHIN: Micros = Micros::from_secs(240);

/// The order of turns. What has not begun at all when two thirds of the time that it may take are over
/// goes with the work that is one step more important, and before it: so nothing waits for ever
/// behind an endless stream of better work. Of an array one task does: raised as a whole, the arrays of
/// a long burst took the room of all ordinary work. This decides who is placed next and for whom machines
/// are collected, never what may be stopped: for that the priority itself counts.
pub fn turn(priority: Priority, overdue: bool) -> (Priority, bool) {
    let raised = match priority {
        Priority::BestEffort => Priority::Normal,
        Priority::Normal | Priority::Urgent => Priority::Urgent,
        Priority::Critical => Priority::Critical,
    };
    (if overdue { raised } else { priority }, !overdue)
}

/// A job as accepted; stored whole in its `job/` record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: JobId,
    pub class: String,
    pub team: String,
    pub kind: Kind,
    pub priority: Priority,
    pub tasks: u32,
    pub need: Amounts,
    pub types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub image: String,
    pub image_mb: i64,
    pub estimate: Micros,
    pub checkpoint: Micros,
    pub save: Micros,
    pub deadline: Option<Micros>,
    /// Time of day of the first acceptance, so that order and deadlines outlive a controller.
    pub submitted: Micros,
    /// Jobs that must be done before any task of it starts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub needs: Vec<JobId>,
    /// How many more parts of that list stand under keys of their own: see [`crate::chains`].
    #[serde(default, skip_serializing_if = "is_zero")]
    pub needs_parts: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl JobSpec {
    /// `scatter`: at most half of the tasks, rounded up, in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Machines with accelerators cost many times as much and are few. What needs none stays off
    /// them, unless no other type would do.
    pub fn suits(&self, size: Amounts, types: &[MachineType]) -> bool {
        suits(self.need, self.types.as_deref(), size, types)
    }

    pub fn saves(&self) -> bool {
        self.checkpoint > Micros::ZERO
    }

    pub fn allows(&self, kind: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self.types.as_ref().is_none_or(|t| t.iter().any(|x| x == kind))
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    pub size: Amounts,
    pub cache_mb: i64,
    pub fetch_mb_s: i64,
    /// Thousandths of the currency unit per hour.
    pub price: i64,
    pub spot_price: i64,
    pub boot: Micros,
    pub zones: Vec<String>,
}

/// See [`JobSpec::suits`].
pub fn suits(need: Amounts, allowed: Option<&[String]>, size: Amounts, types: &[MachineType]) -> bool {
    let plain =
        |t: &MachineType| t.size.gpus == 0 && t.size.fits(need) > 0 && allowed.is_none_or(|a| a.contains(&t.name));
    need.gpus > 0 || size.gpus == 0 || !types.iter().any(plain)
}

#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub name: String,
    pub guarantee: Amounts,
    /// Zero in a field means no limit there.
    pub limit: Amounts,
}

/// What operators state of a class of jobs: tasks started, or jobs finished, within a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    pub class: String,
    pub started: bool,
    pub within: Micros,
}

/// Everything that the engine knows beforehand. Filled from the platform's file and the INI.
#[derive(Clone, Debug)]
pub struct Settings {
    /// All member names in order, this one included.
    pub members: Vec<String>,
    pub me: usize,
    pub teams: Vec<Team>,
    pub objectives: Vec<Objective>,
    pub report: Micros,
    pub lease: Micros,
    pub gang_wait: Micros,
    pub gang_peer: Micros,
    pub cancel: Micros,
    pub state_rps: i64,
    pub write_rps: i64,
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub cloud_rps: i64,
    pub list_lag: Micros,
    pub tuning: Tuning,
}

/// The operators' own settings (INI).
#[derive(Clone, Debug)]
pub struct Tuning {
    pub claim_ttl: Micros,
    pub move_every: Micros,
    pub idle_keep: Micros,
    pub retry_limit: u32,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            claim_ttl: Micros::from_millis(4_000),
            move_every: Micros::from_secs(2),
            idle_keep: Micros::from_secs(40),
            retry_limit: 3,
        }
    }
}

impl Settings {
    /// How long a holder may act on one proof of its claim (T in docs/design.md): a cancellation
    /// that it did not hear of must still be carried out by the workers' leases in time.
    pub fn acting_time(&self) -> Micros {
        let margin = Micros::from_millis(3_500);
        let t = self.cancel - self.lease.with_drift() - margin;
        t.max(Micros::from_secs(2))
    }

    /// False where the settings leave no room for [`Settings::acting_time`].
    pub fn acting_time_fits(&self) -> bool {
        self.cancel - self.lease.with_drift() >= Micros::from_millis(5_500)
    }

    /// How often one controller may ask the store for one and the same purpose, so that all of them
    /// together take a fifth of what it answers.
    pub fn ask_every(&self) -> Micros {
        let every = Micros(5_000_000 * self.members.len() as i64 / self.state_rps.max(1));
        every.min(Micros::from_millis(200))
    }

    /// Until when a job that was submitted at `submitted` should start, as of `wall`: the earliest
    /// of its deadline and of its class's objectives that can still be met. A job that can meet
    /// none any more gets none.
    pub fn start_by(&self, spec: &JobSpec, wall: Micros) -> Option<Micros> {
        self.times_to_start(spec).filter(|t| *t > wall).min()
    }

    /// Whether a time that the job should have kept has passed already.
    pub fn late(&self, spec: &JobSpec, wall: Micros) -> bool {
        self.times_to_start(spec).any(|t| t <= wall)
    }

    fn times_to_start<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = Micros> + 'a {
        let of_class = self.objectives.iter().filter(|o| o.class == spec.class).map(|o| {
            let run = if o.started { Micros::ZERO } else { spec.estimate };
            spec.submitted + o.within - run
        });
        of_class.chain(spec.deadline.map(|d| spec.submitted + d - spec.estimate))
    }

    /// Teams are dealt to shares like cards, the largest first, so that shares are alike.
    pub fn share_of(&self, team: &str) -> Option<usize> {
        let mut order: Vec<&Team> = self.teams.iter().collect();
        let size = |t: &Team| t.guarantee.cpus + 8 * t.guarantee.gpus;
        order.sort_by(|a, b| size(b).cmp(&size(a)).then(a.name.cmp(&b.name)));
        order.iter().position(|t| t.name == team).map(|i| i % self.members.len())
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }
}
