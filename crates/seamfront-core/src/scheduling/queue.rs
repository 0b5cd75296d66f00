//! The order in which pending jobs are placed.

use crate::job::Job;
use crate::shard::{Context, Shard};
use crate::types::{queue_rank, JobId, JobKind, Micros, Priority, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// The sort key of a pending job; the fields are compared in their order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    rank: (Priority, bool),
    beyond_guarantee: bool,
    /// Binary logarithm of a gang's size where its team's gangs are limited by quota, else 0.
    size_step: u32,
    start_by: Micros,
    submitted: Micros,
    id: JobId,
}

impl Shard {
    /// Pending jobs in the order in which they are placed: by rank, then guarantee, then by when they must start
    /// to be in time, the oldest first. Jobs that can't be in time any more come after jobs that can.
    ///
    /// Of a team's gangs that together ask for more than its quota leaves, and can keep all their times, the
    /// smallest go first, in steps of twice the size: most are in time that way, while by age all would be late
    /// together. The largest have their turn in the end. Where machines are what is lacking it is otherwise: a gang
    /// holds those that it finds, and to let a smaller one take them back leaves them idle for longer.
    pub(super) fn queue_order(
        &self,
        context: &Context,
        guaranteed: &BTreeSet<JobId>,
    ) -> Vec<JobId> {
        let pending = |job: &&Job| {
            job.unplaced() > 0
                && job.paused_until <= context.now
                && job.gang.as_ref().is_none_or(|gang| gang.admissible())
        };
        let pending: Vec<&Job> = self.jobs.values().filter(pending).collect();
        let limited = self.teams_limited_by_quota(context, &pending);
        let mut keys: Vec<QueueKey> = pending
            .into_iter()
            .map(|job| queue_key(context, job, guaranteed, &limited))
            .collect();
        keys.sort();
        keys.into_iter().map(|key| key.id).collect()
    }

    /// Teams whose pending gangs together ask for more than the team's quota leaves.
    fn teams_limited_by_quota<'c>(
        &self,
        context: &Context<'c>,
        pending: &[&Job],
    ) -> BTreeSet<&'c str> {
        let mut requested: BTreeMap<&str, Resources> = BTreeMap::new();
        for job in pending.iter().filter(|job| job.gang.is_some()) {
            let resources = job.spec.task_resources.times(i64::from(job.spec.tasks));
            requested.entry(&job.spec.team).or_default().add(resources);
        }
        let teams = context.settings.teams.iter();
        let limited = teams.filter(|team| {
            requested.get(team.name.as_str()).is_some_and(|resources| {
                self.quota.headroom(team, *resources, Resources::default()) < 1
            })
        });
        limited.map(|team| team.name.as_str()).collect()
    }
}

fn queue_key(
    context: &Context,
    job: &Job,
    guaranteed: &BTreeSet<JobId>,
    limited: &BTreeSet<&str>,
) -> QueueKey {
    let spec = &job.spec;
    let starving = job.starving(context.wall_time, context.types);
    let start_by = context
        .settings
        .start_by(spec, context.wall_time)
        .filter(|_| !starving)
        .unwrap_or(Micros::MAX);
    let size_step = match spec.kind {
        JobKind::Gang if !limited.contains(spec.team.as_str()) => 0,
        JobKind::Gang if context.settings.late(spec, context.wall_time) => u32::MAX,
        JobKind::Gang => spec.tasks.ilog2(),
        JobKind::Array | JobKind::Service => 0,
    };
    QueueKey {
        rank: queue_rank(spec.priority, starving),
        beyond_guarantee: !guaranteed.contains(&spec.id),
        size_step,
        start_by,
        submitted: spec.submitted,
        id: spec.id.clone(),
    }
}
