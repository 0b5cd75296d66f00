//! Job specifications: what a user submits, with the kind, the priority and the placement constraints of the job.

use super::{accelerators_allowed, JobId, MachineType, Micros, Priority, Resources};
use serde::{Deserialize, Serialize};

/// Kind of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Tasks that run all at the same time or not at all.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// A job as it was accepted. This is the value of its `job/<id>` record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identifier, chosen by its user.
    pub id: JobId,
    /// Class of jobs; service-level objectives are set per class.
    pub class: String,
    /// The team whose quota (guarantee and limit) applies.
    pub team: String,
    /// Kind.
    pub kind: JobKind,
    /// Priority.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    #[serde(rename = "need")]
    pub task_resources: Resources,
    /// Allowed machine types; `None` allows all.
    pub types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows all.
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Whether spot machines may be used.
    pub spot: bool,
    /// Name of the image that its tasks need.
    pub image: String,
    /// Size of the image in MB.
    pub image_mb: i64,
    /// The user's estimate of a task's run time.
    pub estimate: Micros,
    /// Run time after which a running task saves a checkpoint by itself; zero if its tasks save none.
    #[serde(rename = "checkpoint")]
    pub checkpoint_interval: Micros,
    /// Time that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "save")]
    pub checkpoint_time: Micros,
    /// Time from submission within which it should be complete.
    pub deadline: Option<Micros>,
    /// Wall-clock time at which it was first accepted, so that queue order and deadlines survive a failover.
    pub submitted: Micros,
    /// Jobs that must be done before any of its tasks starts; the first part of the list if it is long.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
    /// Number of further parts of that list, each stored under a key of its own and written before the job's record.
    #[serde(rename = "needs_parts", default, skip_serializing_if = "is_zero")]
    pub dependency_parts: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl JobSpec {
    /// Maximum number of tasks in one zone: half of them, rounded up, if the job is to be spread over zones.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether its tasks may use machines of this size, judged by accelerators alone. Machines with accelerators are
    /// few and cost many times as much, so jobs that need no accelerator use them only if no other type fits.
    pub fn accelerators_allowed(&self, size: Resources, types: &[MachineType]) -> bool {
        accelerators_allowed(self.task_resources, self.types.as_deref(), size, types)
    }

    /// The time that the fastest machine type which may run its tasks takes to fetch the image.
    pub fn min_fetch_time(&self, types: &[MachineType]) -> Micros {
        let fits = |t: &&MachineType| {
            t.size.fits(self.task_resources) > 0 && self.accelerators_allowed(t.size, types)
        };
        let rate = types.iter().filter(fits).map(|t| t.fetch_mb_s).max();
        rate.map_or(Micros::ZERO, |rate| {
            Micros::from_millis(self.image_mb * 1_000 / rate.max(1))
        })
    }

    /// Whether its tasks save checkpoints.
    pub fn supports_checkpoints(&self) -> bool {
        self.checkpoint_interval > Micros::ZERO
    }

    /// Whether its constraints allow a machine of this type, in this zone, spot or not.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self
                .types
                .as_ref()
                .is_none_or(|t| t.iter().any(|x| x == machine_type))
    }
}
