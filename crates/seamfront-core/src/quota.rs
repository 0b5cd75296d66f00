//! Quota: the usage, limits and guarantees of teams. Each team belongs to one shard, so the holder of that shard keeps
//! its usage alone.

use crate::job::Job;
use crate::types::{JobId, JobKind, JobSpec, Resources, Team};
use std::collections::{BTreeMap, BTreeSet};

/// Resources used by each team's placed tasks.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    used: BTreeMap<String, Resources>,
}

impl Quota {
    /// Adds a placed task to its team's usage.
    pub fn charge(&mut self, team: &str, task_resources: Resources) {
        self.used
            .entry(team.to_owned())
            .or_default()
            .add(task_resources);
    }

    /// Subtracts a removed task from its team's usage.
    pub fn release(&mut self, team: &str, task_resources: Resources) {
        if let Some(u) = self.used.get_mut(team) {
            u.sub(task_resources);
        }
    }

    /// Resources used by a team's placed tasks.
    pub fn used(&self, team: &str) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Number of tasks of this size that the team's limit still allows, with `reserved` kept for other jobs.
    pub fn headroom(&self, team: &Team, task_resources: Resources, reserved: Resources) -> i64 {
        let mut used = self.used(&team.name);
        used.add(reserved);
        remaining(team.limit, used).fits(task_resources)
    }
}

/// What is left of `limit` after `used`. A resource without a limit is unbounded, and so is memory, which has no quota.
fn remaining(limit: Resources, used: Resources) -> Resources {
    let left = |l: i64, u: i64| if l <= 0 { i64::MAX } else { (l - u).max(0) };
    Resources {
        cpus: left(limit.cpus, used.cpus),
        gpus: left(limit.gpus, used.gpus),
        ram: i64::MAX,
    }
}

/// Whether a job can ever run within its team's limit: at least one task of an array, or all tasks of a gang or
/// service.
pub fn within_limit(team: &Team, spec: &JobSpec) -> bool {
    let required = if spec.kind == JobKind::Array {
        1
    } else {
        i64::from(spec.tasks)
    };
    remaining(team.limit, Resources::default()).fits(spec.task_resources) >= required
}

/// Jobs within their team's guarantee: the job and the team's unfinished jobs submitted before it together request no
/// more than the guarantee. Resources without a guarantee are not counted, and the job must use one that has a
/// guarantee.
pub fn guaranteed<'a>(teams: &[Team], jobs: impl Iterator<Item = &'a Job>) -> BTreeSet<JobId> {
    let mut by_age: Vec<&Job> = jobs.filter(|job| job.live() && !job.blocked).collect();
    by_age.sort_by(|a, b| (a.spec.submitted, &a.spec.id).cmp(&(b.spec.submitted, &b.spec.id)));
    let mut requested_by_team: BTreeMap<&str, Resources> = BTreeMap::new();
    let mut within = BTreeSet::new();
    for job in by_age {
        let spec = &job.spec;
        let Some(team) = teams.iter().find(|team| team.name == spec.team) else {
            continue;
        };
        let requested = requested_by_team.entry(team.name.as_str()).or_default();
        requested.add(spec.task_resources.times(i64::from(spec.tasks)));
        if within_guarantee(team.guarantee, spec.task_resources, *requested) {
            within.insert(spec.id.clone());
        }
    }
    within
}

/// Whether a job with tasks of this size uses a guaranteed resource, and `requested`, the request of its team up to and
/// including the job, is within the guarantee.
fn within_guarantee(guarantee: Resources, task: Resources, requested: Resources) -> bool {
    let covered = |guarantee: i64, requested: i64| guarantee <= 0 || requested <= guarantee;
    let uses_guarantee =
        (guarantee.cpus > 0 && task.cpus > 0) || (guarantee.gpus > 0 && task.gpus > 0);
    uses_guarantee
        && covered(guarantee.cpus, requested.cpus)
        && covered(guarantee.gpus, requested.gpus)
}
