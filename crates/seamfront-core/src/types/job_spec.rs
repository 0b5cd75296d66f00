//! What a user submits: a job with its shape, priority and constraints.

use super::{suits, JobId, MachineType, Micros, Priority, Resources};
use serde::{Deserialize, Serialize};

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
    /// Resources that one task needs.
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
    /// Time from its submission within which it should be complete.
    pub deadline: Option<Micros>,
    /// Time of day of the first acceptance, so that order and deadlines outlive a controller.
    pub submitted: Micros,
    /// Jobs that must be done before any of its tasks starts.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
    /// How many more parts of that list are stored under keys of their own, written before the job.
    #[serde(rename = "needs_parts", default, skip_serializing_if = "is_zero")]
    pub dependency_parts: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl JobSpec {
    /// Most tasks that may be in one zone: of a job that is to be spread (`scatter`), half of them, rounded up.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether a task may use a machine of this size as far as accelerators go. Machines with accelerators are few and
    /// cost many times as much: jobs that need none stay off them, unless no other type would do.
    pub fn suits(&self, size: Resources, types: &[MachineType]) -> bool {
        suits(self.task_resources, self.types.as_deref(), size, types)
    }

    /// The shortest time in which any machine that may run its tasks fetches the image.
    pub fn fetch_at_best(&self, types: &[MachineType]) -> Micros {
        let fits =
            |t: &&MachineType| t.size.fits(self.task_resources) > 0 && self.suits(t.size, types);
        let rate = types.iter().filter(fits).map(|t| t.fetch_mb_s).max();
        rate.map_or(Micros::ZERO, |rate| {
            Micros::from_millis(self.image_mb * 1_000 / rate.max(1))
        })
    }

    /// Whether its tasks save checkpoints.
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
