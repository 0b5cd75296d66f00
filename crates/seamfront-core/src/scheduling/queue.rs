//! The scheduling queue: the order in which a cycle places pending jobs.

use crate::job::Job;
use crate::shard::{Context, Shard};
use crate::types::{queue_rank, JobId, JobKind, Micros, Priority, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// Sort key of a pending job. The fields are compared in the order in which they are declared.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    rank: (Priority, bool),
    beyond_guarantee: bool,
    /// Binary logarithm of the number of tasks of a gang whose team is limited by quota, the maximum if that gang is
    /// late; 0 for all other jobs.
    size_class: u32,
    start_by: Micros,
    submitted: Micros,
    id: JobId,
}

impl Shard {
    /// Pending jobs in the order in which they are placed: by rank, then those within their team's guarantee first,
    /// then by the latest time at which they can start without being late, then by submission. Jobs that can meet none
    /// of their deadlines any more come after those that can.
    ///
    /// If the pending gangs of a team together need more quota than the team has left, those that are not late yet are
    /// placed by size, the smallest first, in classes that double in size. Most of them start in time that way; in
    /// order of age all of them would be late. The largest come last, but do get their turn.
    ///
    /// This does not apply if machines are scarce rather than quota. A gang keeps the machines reserved for it while it
    /// waits for the rest, and giving them to a smaller gang would leave them idle for longer.
    pub(super) fn queue_order(
        &self,
        context: &Context,
        guaranteed: &BTreeSet<JobId>,
    ) -> Vec<JobId> {
        let pending = |job: &&Job| {
            job.unplaced() > 0
                && job.backoff_until <= context.now
                && job.gang.as_ref().is_none_or(|gang| gang.admissible())
        };
        let pending: Vec<&Job> = self.jobs.values().filter(pending).collect();
        let quota_limited = self.teams_limited_by_quota(context, &pending);
        let mut keys: Vec<QueueKey> = pending
            .into_iter()
            .map(|job| queue_key(context, job, guaranteed, &quota_limited))
            .collect();
        keys.sort();
        keys.into_iter().map(|key| key.id).collect()
    }

    /// Teams whose pending gangs together need more quota than the team has left.
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
    quota_limited: &BTreeSet<&str>,
) -> QueueKey {
    let spec = &job.spec;
    let starving = job.starving(context.wall_time, context.types);
    let start_by = context
        .settings
        .start_by(spec, context.wall_time)
        .filter(|_| !starving)
        .unwrap_or(Micros::MAX);
    let size_class = match spec.kind {
        JobKind::Gang if !quota_limited.contains(spec.team.as_str()) => 0,
        JobKind::Gang
            if context
                .settings
                .start_deadline_missed(spec, context.wall_time) =>
        {
            u32::MAX
        }
        JobKind::Gang => spec.tasks.ilog2(),
        JobKind::Array | JobKind::Service => 0,
    };
    QueueKey {
        rank: queue_rank(spec.priority, starving),
        beyond_guarantee: !guaranteed.contains(&spec.id),
        size_class,
        start_by,
        submitted: spec.submitted,
        id: spec.id.clone(),
    }
}
