//! What follows from time alone: expired leases, failed machines and idle time.

use super::{
    warn, BTreeMap, Context, Job, JobId, MachineId, Micros, Removal, Shard, ShardPhase, TaskKey,
    INSPECTION_INTERVAL,
};
use crate::machine::Machine;

/// How long a machine may take to be drained for another shard before it is used again.
const DRAIN_TIMEOUT: Micros = Micros::from_secs(30);

/// What one inspection costs for each machine, in units of [`Shard::work_done`].
const INSPECTION_COST: usize = 4;

impl Shard {
    /// Inspects the machines, if it is time for it.
    pub fn tick(&mut self, context: &mut Context) {
        if self.phase != ShardPhase::Ready || context.now < self.inspection_next {
            return;
        }
        self.inspection_next = context.now + INSPECTION_INTERVAL;
        self.count_work(INSPECTION_COST * self.machines.len());
        self.expire_leases(context);
        self.detect_failures(context);
        for m in self.machines.values_mut() {
            update_draining(m, context.now);
            update_idle_times(m, &self.jobs, context.now);
        }
    }

    /// Removes the tasks on machines whose agents' leases have expired.
    fn expire_leases(&mut self, context: &mut Context) {
        let lease = context.settings.lease;
        let lease_valid = context.settings.verification_ttl();
        let expired: Vec<MachineId> = self
            .machines
            .values()
            // A task may have been placed just before the end: such a machine is inspected again.
            .filter(|m| !m.agent.lease_expired || !m.tasks.is_empty())
            .filter(|m| m.lease_expiry(self.version, lease, lease_valid) < context.now)
            .map(|m| m.id.clone())
            .collect();
        for id in expired {
            self.expire_lease(context, &id);
        }
    }

    fn expire_lease(&mut self, context: &mut Context, id: &MachineId) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        m.agent.lease_expired = true;
        m.fencing.direct_command = None;
        m.unexpected_tasks.clear();
        let tasks: Vec<TaskKey> = m.tasks.iter().cloned().collect();
        if !tasks.is_empty() {
            warn!(machine = %id, tasks = tasks.len(), "agent lease expired; its tasks are lost");
        }
        for task in tasks {
            // Also what was never sent: it would never be, and would hold its task number for ever.
            self.remove_task(context, &task, Removal::Lost);
        }
    }
}

/// Whether nothing is on a machine that belongs to the shard.
fn idle(m: &Machine) -> bool {
    m.empty() && m.record.shard.is_some()
}

/// Releases a drained machine once it is empty, and gives up a drain that takes too long.
fn update_draining(m: &mut Machine, now: Micros) {
    let Some(since) = m.lifecycle.draining_since else {
        return;
    };
    let idle = idle(m);
    if idle && m.lifecycle.released_since.is_none() {
        m.lifecycle.released_since = Some(now);
    } else if !idle && now - since > DRAIN_TIMEOUT {
        m.lifecycle.draining_since = None;
    }
}

fn update_idle_times(m: &mut Machine, jobs: &BTreeMap<JobId, Job>, now: Micros) {
    // Time to boot is not idle time, or a machine would be returned as soon as it is up.
    let up = m.agent.last_heartbeat.is_some();
    let idle = idle(m);
    let uses_accelerators = |task: &TaskKey| {
        jobs.get(&task.job)
            .is_some_and(|job| job.spec.task_resources.gpus > 0)
    };
    if m.size.gpus == 0 || !up || m.tasks.iter().any(uses_accelerators) {
        m.usage.accelerators_unused_since = None;
    } else if m.usage.accelerators_unused_since.is_none() {
        m.usage.accelerators_unused_since = Some(now);
    }
    if !idle || !up {
        m.usage.idle_since = None;
    } else if m.usage.idle_since.is_none() {
        m.usage.idle_since = Some(m.usage.accelerators_unused_since.unwrap_or(now));
    }
}
