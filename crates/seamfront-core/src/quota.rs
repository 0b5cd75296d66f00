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

/// Jobs that lie within their team's guarantee together with the team's earlier unfinished jobs.
/// A resource that the guarantee does not name is not measured; one that it names must be used.
pub fn guaranteed<'a>(teams: &[Team], jobs: impl Iterator<Item = &'a Job>) -> BTreeSet<JobId> {
    let mut by_age: Vec<&Job> = jobs.filter(|j| j.live() && !j.blocked).collect();
    by_age.sort_by(|a, b| (a.spec.submitted, &a.spec.id).cmp(&(b.spec.submitted, &b.spec.id)));
    let mut sums: BTreeMap<&str, Resources> = BTreeMap::new();
    let mut inside = BTreeSet::new();
    for j in by_age {
        let Some(team) = teams.iter().find(|t| t.name == j.spec.team) else {
            continue;
        };
        let g = team.guarantee;
        let sum = sums.entry(team.name.as_str()).or_default();
        sum.add(j.spec.task_resources.times(i64::from(j.spec.tasks)));
        let ok = |have: i64, sum: i64| have <= 0 || sum <= have;
        let named = (g.cpus > 0 && j.spec.task_resources.cpus > 0)
            || (g.gpus > 0 && j.spec.task_resources.gpus > 0);
        if named && ok(g.cpus, sum.cpus) && ok(g.gpus, sum.gpus) {
            inside.insert(j.spec.id.clone());
        }
    }
    inside
}
