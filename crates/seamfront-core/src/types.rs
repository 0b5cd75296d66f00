//! Plain values shared by every module: time, identifiers, amounts and what a user asks for.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;

pub use seamfront_lease::time::Micros;

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
            /// The name as text.
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
    /// The job.
    pub job: JobId,
    /// Number of the task within it.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// What a task takes or a machine has, in thousandths so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a CPU.
    #[serde(rename = "c")]
    pub cpus: i64,
    /// Thousandths of an accelerator.
    #[serde(rename = "g")]
    pub gpus: i64,
    /// Thousandths of a GB.
    #[serde(rename = "r")]
    pub ram: i64,
}

impl Resources {
    /// Rounds up: a task must never be counted smaller than it is.
    pub fn needed(cpus: f64, gpus: f64, ram: f64) -> Resources {
        let up = |x: f64| (x * 1e3 - 1e-6).ceil() as i64;
        Resources {
            cpus: up(cpus),
            gpus: up(gpus),
            ram: up(ram),
        }
    }

    /// Rounds down: a machine or a limit must never be counted larger than it is.
    pub fn offered(cpus: f64, gpus: f64, ram: f64) -> Resources {
        let down = |x: f64| (x * 1e3 + 1e-6).floor() as i64;
        Resources {
            cpus: down(cpus),
            gpus: down(gpus),
            ram: down(ram),
        }
    }

    /// Adds.
    pub fn add(&mut self, o: Resources) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.ram += o.ram;
    }

    /// Subtracts; may go below zero.
    pub fn sub(&mut self, o: Resources) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.ram -= o.ram;
    }

    /// So many times as much.
    pub fn times(self, n: i64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            ram: self.ram * n,
        }
    }

    /// How many tasks of size `task` fit into this room.
    pub fn fits(self, task: Resources) -> i64 {
        let part = |have: i64, want: i64| {
            if want <= 0 {
                i64::MAX
            } else {
                have.max(0) / want
            }
        };
        part(self.cpus, task.cpus)
            .min(part(self.gpus, task.gpus))
            .min(part(self.ram, task.ram))
    }
}

/// Shape of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each runs to completion.
    Array,
    /// All tasks run at the same time or none does.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// Declared from the most to the least important, so that sorting puts the important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Live services.
    Critical,
    /// Before ordinary work.
    Urgent,
    /// Ordinary work.
    Normal,
    /// What room is left.
    BestEffort,
}

/// Every job, the largest too, should have begun this long after its submission.
pub const START_DEADLINE: Micros = Micros::from_secs(240);

/// The order of turns. What has not begun at all when two thirds of the time that it may take are over
/// goes with the work that is one step more important, and before it: so nothing waits for ever
/// behind an endless stream of better work. Of an array one task does: raised as a whole, the arrays of
/// a long burst took the room of all ordinary work. This decides who is placed next and for whom machines
/// are collected, never what may be stopped: for that the priority itself counts.
pub fn queue_rank(priority: Priority, starving: bool) -> (Priority, bool) {
    let raised = match priority {
        Priority::BestEffort => Priority::Normal,
        Priority::Normal | Priority::Urgent => Priority::Urgent,
        Priority::Critical => Priority::Critical,
    };
    (if starving { raised } else { priority }, !starving)
}

/// A job as accepted; stored whole in its `job/` record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name, chosen by its user.
    pub id: JobId,
    /// The class that objectives are set for.
    pub class: String,
    /// The team whose limit and guarantee apply.
    pub team: String,
    /// Its shape.
    pub kind: JobKind,
    /// How important it is.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// What one task takes.
    #[serde(rename = "need")]
    pub task_resources: Resources,
    /// Allowed machine types, or any.
    pub types: Option<Vec<String>>,
    /// The only allowed zone, or any.
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    pub spread: bool,
    /// Whether spot machines may be used.
    pub spot: bool,
    /// The image that its tasks need.
    pub image: String,
    /// Size of the image in MB.
    pub image_mb: i64,
    /// Its owner's estimate of a task's run time.
    pub estimate: Micros,
    /// Progress after which a running task saves by itself; none: it never saves.
    pub checkpoint: Micros,
    /// Time a task needs to save when it is stopped.
    pub save: Micros,
    /// When it should be complete, from its submission.
    pub deadline: Option<Micros>,
    /// Time of day of the first acceptance, so that order and deadlines outlive a controller.
    pub submitted: Micros,
    /// Jobs that must be done before any task of it starts.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
    /// How many more parts of that list stand under keys of their own: see [`crate::dependencies`].
    #[serde(rename = "needs_parts", default, skip_serializing_if = "is_zero")]
    pub dependency_parts: u32,
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
    pub fn suits(&self, size: Resources, types: &[MachineType]) -> bool {
        suits(self.task_resources, self.types.as_deref(), size, types)
    }

    /// The shortest fetch of the image on any machine that may run this.
    pub fn fetch_at_best(&self, types: &[MachineType]) -> Micros {
        let fits =
            |t: &&MachineType| t.size.fits(self.task_resources) > 0 && self.suits(t.size, types);
        let rate = types.iter().filter(fits).map(|t| t.fetch_mb_s).max();
        rate.map_or(Micros::ZERO, |rate| {
            Micros::from_millis(self.image_mb * 1_000 / rate.max(1))
        })
    }

    /// Whether its tasks can save.
    pub fn saves(&self) -> bool {
        self.checkpoint > Micros::ZERO
    }

    /// Whether a task may run on such a machine.
    pub fn allows(&self, kind: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self
                .types
                .as_ref()
                .is_none_or(|t| t.iter().any(|x| x == kind))
    }
}

/// A machine type on offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    pub name: String,
    /// What such a machine has.
    pub size: Resources,
    /// Room for images, in MB.
    pub cache_mb: i64,
    /// Rate of fetching images, in MB a second.
    pub fetch_mb_s: i64,
    /// Thousandths of the currency unit per hour.
    pub price: i64,
    /// Price of a spot machine.
    pub spot_price: i64,
    /// Usual time until it is up.
    pub boot: Micros,
    /// Zones in which there are any.
    pub zones: Vec<String>,
}

/// See [`JobSpec::suits`].
pub fn suits(
    task_resources: Resources,
    allowed: Option<&[String]>,
    size: Resources,
    types: &[MachineType],
) -> bool {
    let plain = |t: &MachineType| {
        t.size.gpus == 0
            && t.size.fits(task_resources) > 0
            && allowed.is_none_or(|a| a.contains(&t.name))
    };
    task_resources.gpus > 0 || size.gpus == 0 || !types.iter().any(plain)
}

/// A team with what it is granted.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name.
    pub name: String,
    /// What its unfinished jobs need not wait for.
    pub guarantee: Resources,
    /// Zero in a field means no limit there.
    pub limit: Resources,
}

/// What operators state of a class of jobs: tasks started, or jobs finished, within a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// The class that it is set for.
    pub class: String,
    /// Whether it is about starting, or about finishing.
    pub started: bool,
    /// Within what time.
    pub within: Micros,
}

/// Everything that the engine knows beforehand. Filled from the platform's file and the INI.
#[derive(Clone, Debug)]
pub struct Settings {
    /// All member names in order, this one included.
    pub members: Vec<String>,
    /// Index of this controller in `members`.
    pub me: usize,
    /// All teams.
    pub teams: Vec<Team>,
    /// What is aimed at for classes of jobs.
    pub objectives: Vec<Objective>,
    /// Time between a worker's reports.
    pub heartbeat_interval: Micros,
    /// A worker's lease.
    pub lease: Micros,
    /// How long a gang's member waits for the others.
    pub gang_wait: Micros,
    /// Time in which gang members notice that one is missing.
    pub gang_peer: Micros,
    /// Time until nothing of a cancelled job may be left.
    pub cancel: Micros,
    /// Requests a second that the state service takes.
    pub state_rps: i64,
    /// Writes a second that it takes.
    pub write_rps: i64,
    /// Bytes that it takes in a value.
    pub value_bytes: usize,
    /// Changes that it takes in a transaction.
    pub txn_ops: usize,
    /// Requests a second that the cloud takes.
    pub cloud_rps: i64,
    /// How far the cloud's list lags behind.
    pub list_lag: Micros,
    /// Operators' own settings.
    pub tuning: Tuning,
}

/// The operators' own settings (INI).
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Lease of a claim.
    pub claim_ttl: Micros,
    /// Time between moves of machines from one shard to another.
    pub move_every: Micros,
    /// How long an idle machine is kept.
    pub idle_keep: Micros,
    /// Attempts after which a gang is parked.
    pub retry_limit: u32,
    /// Whether duties with leases of their own are on.
    pub duties: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            claim_ttl: Micros::from_millis(4_000),
            move_every: Micros::from_secs(2),
            idle_keep: Micros::from_secs(40),
            retry_limit: 3,
            duties: false,
        }
    }
}

impl Settings {
    /// How long a holder may act on one proof of its claim (T in docs/design.md): a cancellation
    /// that it did not hear of must still be carried out by the workers' leases in time.
    pub fn verification_ttl(&self) -> Micros {
        let margin = Micros::from_millis(3_500);
        let t = self.cancel - self.lease.with_drift() - margin;
        t.max(Micros::from_secs(2))
    }

    /// False where the settings leave no room for [`Settings::verification_ttl`].
    pub fn verification_ttl_fits(&self) -> bool {
        self.cancel - self.lease.with_drift() >= Micros::from_millis(5_500)
    }

    /// How often one controller may ask the store for one and the same purpose, so that all of them
    /// together take a fifth of what it answers.
    pub fn ask_every(&self) -> Micros {
        let every = Micros(5_000_000 * self.members.len() as i64 / self.state_rps.max(1));
        every.min(Micros::from_millis(200))
    }

    /// Until when a job that was submitted at `submitted` should start, as of `wall_time`: the earliest
    /// of its deadline and of its class's objectives that can still be met. A job that can meet
    /// none any more gets none.
    pub fn start_by(&self, spec: &JobSpec, wall_time: Micros) -> Option<Micros> {
        self.times_to_start(spec).filter(|t| *t > wall_time).min()
    }

    /// Whether a time that the job should have kept has passed already.
    pub fn late(&self, spec: &JobSpec, wall_time: Micros) -> bool {
        self.times_to_start(spec).any(|t| t <= wall_time)
    }

    fn times_to_start<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = Micros> + 'a {
        let of_class = self
            .objectives
            .iter()
            .filter(|o| o.class == spec.class)
            .map(|o| {
                let run = if o.started {
                    Micros::ZERO
                } else {
                    spec.estimate
                };
                spec.submitted + o.within - run
            });
        of_class.chain(spec.deadline.map(|d| spec.submitted + d - spec.estimate))
    }

    /// Teams are dealt to shards like cards, the largest first, so that shards are alike.
    pub fn shard_of(&self, team: &str) -> Option<usize> {
        let mut order: Vec<&Team> = self.teams.iter().collect();
        let size = |t: &Team| t.guarantee.cpus + 8 * t.guarantee.gpus;
        order.sort_by(|a, b| size(b).cmp(&size(a)).then(a.name.cmp(&b.name)));
        order
            .iter()
            .position(|t| t.name == team)
            .map(|i| i % self.members.len())
    }

    /// A team by its name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }
}
