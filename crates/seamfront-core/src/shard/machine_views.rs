//! The leader's view of a shard's machines, and the release of machines to the leader.

use super::{
    debug, Context, JobId, JobKind, MachineId, Member, Micros, Priority, Resources, Shard,
    ShardPhase, StopReason, TaskKey,
};
use crate::job::Job;
use crate::machine::Machine;
use crate::port::MachineView;
use std::collections::BTreeMap;

/// Summary of the tasks placed on a machine.
struct Occupancy {
    /// Highest priority of the tasks.
    highest_priority: Option<Priority>,
    /// Work that would be lost by evicting all tasks.
    eviction_loss: Micros,
    /// Resources of services, which do not end by themselves.
    used_by_services: Resources,
}

impl Shard {
    /// Views of the shard's machines, for the leader.
    pub fn views(&self, context: &Context) -> Vec<MachineView> {
        self.count_work(self.machines.len());
        self.machines
            .values()
            .filter(|m| m.record.shard.is_some())
            .map(|m| self.view(context, m))
            .collect()
    }

    fn view(&self, context: &Context, m: &Machine) -> MachineView {
        let occupancy = self.occupancy(context, m);
        let silent_limit = context.settings.heartbeat_interval.times(3);
        let idle_since = m.usage.idle_since.filter(|_| m.empty());
        MachineView {
            highest_priority: occupancy.highest_priority,
            eviction_loss: occupancy.eviction_loss,
            used_by_services: occupancy.used_by_services,
            id: m.id.clone(),
            version: m.version,
            // A machine that was assigned to this shard counts as reachable only once it has shown our token. Until then
            // it is not idle, and the leader expects it to take pending jobs here.
            reachable: m.has_shown_current_token(self.version)
                && m.agent.last_heartbeat.is_some()
                && m.silent_for(context.now) < silent_limit,
            used: m.used,
            idle: idle_since.map(|t| context.now - t),
            reserved_for_gang: m.usage.reserved_for_gang,
            released: m.lifecycle.released_since.is_some() && m.empty(),
            condemned: m.lifecycle.condemned,
            preemption_notice: m.lifecycle.preemption_deadline.is_some(),
        }
    }

    fn occupancy(&self, context: &Context, m: &Machine) -> Occupancy {
        let mut occupancy = Occupancy {
            highest_priority: None,
            eviction_loss: Micros::ZERO,
            used_by_services: Resources::default(),
        };
        for task in &m.tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let Some(p) = job.tasks.get(&task.index) else {
                continue;
            };
            if job.spec.kind == JobKind::Service {
                occupancy.used_by_services.add(job.spec.task_resources);
            }
            let priority = job.effective_priority(p);
            let highest = occupancy.highest_priority;
            occupancy.highest_priority = Some(highest.map_or(priority, |h| h.min(priority)));
            occupancy.eviction_loss += if job.spec.supports_checkpoints() {
                job.spec.checkpoint_time
            } else {
                p.running_since
                    .map_or(Micros::ZERO, |since| context.now - since)
            };
        }
        occupancy
    }

    /// Releases machines that the leader asks for. Only empty machines without an unsettled command are released. If
    /// `above` is given, a machine whose tasks all have a lower priority than that is drained first.
    pub fn release(&mut self, context: &mut Context, ids: &[MachineId], above: Option<Priority>) {
        // Until the former holder's records have been read, every machine looks empty.
        if self.phase != ShardPhase::Ready {
            return;
        }
        for id in ids {
            let machine = self.machines.get_mut(id);
            let Some(m) = machine.filter(|m| m.record.shard.is_some()) else {
                continue;
            };
            if m.empty() {
                if m.lifecycle.released_since.is_none() {
                    debug!(machine = %id, "machine released to the leader");
                    m.lifecycle.released_since = Some(context.now);
                }
            } else if let Some(above) = above.filter(|_| m.lifecycle.draining_since.is_none()) {
                self.drain_machine(context, id, above);
            }
        }
    }

    /// Evicts all tasks of a machine if all are of lower priority than `above`.
    fn drain_machine(&mut self, context: &mut Context, id: &MachineId, above: Priority) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let tasks: Vec<TaskKey> = m.tasks.iter().cloned().collect();
        if !tasks
            .iter()
            .all(|task| ranks_below(&self.jobs, task, above))
        {
            return;
        }
        debug!(machine = %id, tasks = tasks.len(), ?above, "draining machine for another shard");
        self.activity.counts.machines_drained += 1;
        m.lifecycle.draining_since = Some(context.now);
        for task in tasks {
            self.evict(context, &task, StopReason::Preempted);
        }
    }

    /// Whether the placements agree with the states of the gangs and the used resources of the machines (for tests).
    pub fn consistent(&self) -> bool {
        self.jobs.values().all(|j| {
            j.gang.as_ref().is_none_or(|g| {
                j.tasks.keys().all(|i| {
                    !j.live()
                        || !matches!(g.members[*i as usize], Member::Blocked | Member::Preempted)
                })
            })
        }) && self.machines.values().all(|m| {
            let mut sum = Resources::default();
            for t in &m.tasks {
                if let Some(j) = self.jobs.get(&t.job) {
                    sum.add(j.spec.task_resources);
                }
            }
            sum == m.used
        })
    }
}

/// Whether a task is of lower priority than `above`.
fn ranks_below(jobs: &BTreeMap<JobId, Job>, task: &TaskKey, above: Priority) -> bool {
    jobs.get(&task.job).is_some_and(|job| {
        let placement = job.tasks.get(&task.index);
        placement.is_some_and(|p| job.effective_priority(p) > above)
    })
}
