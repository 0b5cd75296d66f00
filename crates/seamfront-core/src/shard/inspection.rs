//! Periodic inspection of a shard's machines: expired leases, failures, drains and idle time.

use super::{
    warn, BTreeMap, Context, Job, JobId, MachineId, Micros, Removal, Shard, ShardPhase, TaskKey,
    INSPECTION_INTERVAL,
};
use crate::machine::Machine;

/// How long the drain of a machine for another shard may take before it is aborted.
const DRAIN_TIMEOUT: Micros = Micros::from_secs(30);

/// Cost of inspecting one machine, in units of [`Shard::items_examined`].
const INSPECTION_COST: usize = 4;

impl Shard {
    /// Inspects the machines if an inspection is due.
    pub fn tick(&mut self, context: &mut Context) {
        if self.phase != ShardPhase::Ready || context.now < self.inspection_next {
            return;
        }
        self.inspection_next = context.now + INSPECTION_INTERVAL;
        self.log_activity(context);
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
        let verification_ttl = context.settings.verification_ttl();
        let expired: Vec<MachineId> = self
            .machines
            .values()
            // A task may have been placed just before the lease expired: such a machine is checked again.
            .filter(|m| !m.agent.lease_expired || !m.tasks.is_empty())
            .filter(|m| m.lease_expiry(self.version, lease, verification_ttl) < context.now)
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
            // This includes tasks that were never sent: they never would be, and would hold their task numbers forever.
            self.remove_task(context, &task, Removal::Lost);
        }
    }
}

/// Whether a machine belongs to the shard and is empty.
fn idle(m: &Machine) -> bool {
    m.empty() && m.record.shard.is_some()
}

/// Releases a drained machine once it is empty, and aborts a drain that takes too long.
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
    // Boot time does not count as idle time, or a machine would be terminated as soon as it is up.
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
