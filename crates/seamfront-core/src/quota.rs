//! Quota: teams' usage, limits and guarantees. A team belongs to one shard, so the shard's holder alone counts.

use crate::job::Job;
use crate::types::{JobId, JobKind, JobSpec, Resources, Team};
use std::collections::{BTreeMap, BTreeSet};

/// Resources used by each team's placed tasks.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    used: BTreeMap<String, Resources>,
}

impl Quota {
    /// Counts a task that was placed.
    pub fn take(&mut self, team: &str, task_resources: Resources) {
        self.used
            .entry(team.to_owned())
            .or_default()
            .add(task_resources);
    }

    /// Counts a task that was removed.
    pub fn give(&mut self, team: &str, task_resources: Resources) {
        if let Some(u) = self.used.get_mut(team) {
            u.sub(task_resources);
        }
    }

    /// Resources used by a team's placed tasks.
    pub fn used(&self, team: &str) -> Resources {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// How many more tasks of this size the team's limit allows now, with `reserved` kept for others.
    pub fn headroom(&self, team: &Team, task_resources: Resources, reserved: Resources) -> i64 {
        let mut used = self.used(&team.name);
        used.add(reserved);
        limit_left(team.limit, used).fits(task_resources)
    }
}

fn limit_left(limit: Resources, used: Resources) -> Resources {
    let left = |l: i64, u: i64| if l <= 0 { i64::MAX } else { (l - u).max(0) };
    Resources {
        cpus: left(limit.cpus, used.cpus),
        gpus: left(limit.gpus, used.gpus),
        ram: i64::MAX,
    }
}

/// Whether a job can ever run within its team's limit: one task of an array, all tasks of the others.
pub fn within_limit(team: &Team, spec: &JobSpec) -> bool {
    let n = if spec.kind == JobKind::Array {
        1
    } else {
        i64::from(spec.tasks)
    };
    limit_left(team.limit, Resources::default()).fits(spec.task_resources) >= n
}

/// Jobs that lie within their team's guarantee together with the team's earlier unfinished jobs. A resource that the
/// guarantee does not name is not measured; one that it names must be used.
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

/// Whether a job with tasks of this size uses a guaranteed resource, and all that its team has requested up to it is
/// guaranteed.
fn within_guarantee(guarantee: Resources, task: Resources, requested: Resources) -> bool {
    let covered = |guarantee: i64, requested: i64| guarantee <= 0 || requested <= guarantee;
    let uses_guarantee =
        (guarantee.cpus > 0 && task.cpus > 0) || (guarantee.gpus > 0 && task.gpus > 0);
    uses_guarantee
        && covered(guarantee.cpus, requested.cpus)
        && covered(guarantee.gpus, requested.gpus)
}
