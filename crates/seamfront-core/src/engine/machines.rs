//! Changes of machines, and the heartbeats of their workers.

use super::Engine;
use crate::known_machine::KnownMachine;
use crate::machine::MachineRecord;
use crate::machine_types::MachineTypesEvent;
use crate::port::{ClientRequestId, Effect, Heartbeat, Order};
use crate::shard::{ShardPhase, StatusSource};
use crate::store_session::ClaimId;
use crate::types::{MachineId, MachineType, Resources};

/// The reply to a worker's heartbeat.
enum HeartbeatAnswer {
    /// Its machine belongs to a shard held here.
    Orders {
        fencing_token: u64,
        orders: Vec<Order>,
    },
    /// Another controller is to be asked; its index where it is known.
    Redirect { member: Option<usize> },
}

impl Engine {
    /// The size of machines of a type.
    pub(super) fn type_size(&self, kind: &str) -> Resources {
        self.machine_types.size_of(kind)
    }

    /// Takes in the machine types that the cloud offers.
    pub(super) fn types_known(&mut self, types: Vec<MachineType>) {
        let event = self.machine_types.update(types);
        self.machine_types_event(event);
    }

    pub(super) fn machine_types_event(&mut self, event: Option<MachineTypesEvent>) {
        let Some(MachineTypesEvent::Updated) = event else {
            return;
        };
        let machines: Vec<_> = self
            .machines
            .iter()
            .map(|(id, machine)| (id.clone(), machine.clone()))
            .collect();
        for (id, machine) in machines {
            self.machine_changed(id, machine.record, machine.version);
        }
    }

    pub(super) fn machine_changed(&mut self, id: MachineId, record: MachineRecord, version: u64) {
        let size = self.type_size(&record.kind);
        let before = self.machines.get(&id);
        let assigned_at = before
            .filter(|before| before.record.shard == record.shard)
            .map_or(self.now, |before| before.assigned_at);
        let machine = KnownMachine {
            record: record.clone(),
            version,
            assigned_at,
        };
        self.machines.insert(id.clone(), machine);
        for shard in 0..self.shards.len() {
            let (id, record) = (id.clone(), record.clone());
            let now = self.now;
            self.with_shard(shard, |s, _| {
                if record.shard == Some(shard) {
                    s.add_machine(id, record, version, size, now);
                } else {
                    s.machine_moved(&id, record, version);
                }
            });
        }
    }

    pub(super) fn machine_vanished(&mut self, id: &MachineId) {
        self.machines.remove(id);
        for shard in 0..self.shards.len() {
            self.with_shard(shard, |s, context| s.machine_deleted(context, id));
        }
    }

    /// Answers a worker's heartbeat: with orders if its machine is ours and the claim stands, else by
    /// naming the owner.
    pub(super) fn heartbeat(&mut self, to: ClientRequestId, heartbeat: &Heartbeat) {
        self.inbound_partition.heartbeat_received(self.now);
        let effect = match self.answer_heartbeat(heartbeat) {
            HeartbeatAnswer::Orders {
                fencing_token,
                orders,
            } => Effect::HeartbeatReply {
                to,
                fencing_token,
                orders,
            },
            HeartbeatAnswer::Redirect { member } => Effect::Redirect { to, member },
        };
        self.effects.push(effect);
    }

    fn answer_heartbeat(&mut self, heartbeat: &Heartbeat) -> HeartbeatAnswer {
        let machine = self.machines.get(&heartbeat.machine);
        let Some(shard) = machine.and_then(|machine| machine.record.shard) else {
            return HeartbeatAnswer::Redirect { member: None };
        };
        if self.shards[shard].is_none() {
            let member = self.other_holder(shard);
            return HeartbeatAnswer::Redirect { member };
        }
        if self.newer_token_seen(shard, heartbeat) {
            self.drop_unverified_claim(shard);
            return HeartbeatAnswer::Redirect { member: None };
        }
        self.heartbeat_orders(shard, heartbeat)
            .unwrap_or(HeartbeatAnswer::Redirect { member: None })
    }

    /// Whether the worker was commanded under a newer token than ours. It would wait for its lease to end if we renewed
    /// that here.
    fn newer_token_seen(&self, shard: usize, heartbeat: &Heartbeat) -> bool {
        self.shards[shard].as_ref().is_some_and(|s| {
            let machine = s.machines.get(&heartbeat.machine);
            machine.is_some_and(|m| m.fencing_token(s.version) < heartbeat.fencing_token)
        })
    }

    /// A claim that was not verified for as long as it could last alone is lost as a whole once a newer token is seen.
    fn drop_unverified_claim(&mut self, shard: usize) {
        let claim = ClaimId::Shard(shard);
        let Some(claimed_at) = self.shards[shard].as_ref().map(|s| s.claimed_at) else {
            return;
        };
        let last_verified = self.store.last_verified(claim).unwrap_or(claimed_at);
        if self.now - last_verified > self.settings.tuning.claim_ttl {
            self.drop_claim(claim, "a worker has seen a newer token");
        }
    }

    /// Orders for a machine of a shard held here; none if it must not be commanded now.
    fn heartbeat_orders(&mut self, shard: usize, heartbeat: &Heartbeat) -> Option<HeartbeatAnswer> {
        let now = self.now;
        self.with_shard(shard, |s, context| {
            let machine = s.machines.get(&heartbeat.machine)?;
            let stale = machine.ignores_replies()
                && heartbeat.fencing_token != machine.fencing_token(s.version);
            if !context.lease_valid || stale {
                return None;
            }
            let ready = s.phase == ShardPhase::Ready;
            if !s.apply_heartbeat(context, heartbeat, StatusSource::WorkerHeartbeat) {
                return None;
            }
            let orders = if ready {
                s.orders(context, heartbeat)
            } else {
                Vec::new()
            };
            let machine = s.machines.get_mut(&heartbeat.machine)?;
            machine.reply_sent(now, s.version);
            Some(HeartbeatAnswer::Orders {
                fencing_token: machine.fencing_token(s.version),
                orders,
            })
        })
        .flatten()
    }
}
