//! Handling of changed machine records and machine types, and of the heartbeats of agents.

use super::Engine;
use crate::known_machine::KnownMachine;
use crate::machine::MachineRecord;
use crate::machine_types::MachineTypesEvent;
use crate::port::{ClientRequestId, Effect, Heartbeat, Order};
use crate::shard::{ShardPhase, StatusSource};
use crate::store_session::ClaimId;
use crate::types::{MachineId, MachineType, Resources};

/// The answer to an agent's heartbeat.
enum HeartbeatAnswer {
    /// The machine belongs to a shard held here.
    Orders {
        fencing_token: u64,
        orders: Vec<Order>,
    },
    /// The agent must contact another controller; `member` is its index if known.
    Redirect { member: Option<usize> },
}

impl Engine {
    /// Resources of a machine of this type.
    pub(super) fn machine_type_size(&self, machine_type: &str) -> Resources {
        self.machine_types.size_of(machine_type)
    }

    /// Updates the machine types that the cloud API offers.
    pub(super) fn update_machine_types(&mut self, types: Vec<MachineType>) {
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
        let size = self.machine_type_size(&record.machine_type);
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

    pub(super) fn machine_removed(&mut self, id: &MachineId) {
        self.machines.remove(id);
        for shard in 0..self.shards.len() {
            self.with_shard(shard, |s, context| s.machine_deleted(context, id));
        }
    }

    /// Answers an agent's heartbeat: with orders if this controller holds the machine's shard under a valid claim, else
    /// with a redirect to the holder.
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

    /// Whether the agent has received commands under a newer fencing token than this controller's. If its lease were
    /// renewed here, it would wait until that lease expires.
    fn newer_token_seen(&self, shard: usize, heartbeat: &Heartbeat) -> bool {
        self.shards[shard].as_ref().is_some_and(|s| {
            let machine = s.machines.get(&heartbeat.machine);
            machine.is_some_and(|m| m.fencing_token(s.version) < heartbeat.fencing_token)
        })
    }

    /// Drops the whole claim after an agent has shown a newer fencing token, if the claim has not been verified for
    /// longer than it can exist without renewal.
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

    /// Orders for a machine of a shard held here; None if it must not receive commands now.
    fn heartbeat_orders(&mut self, shard: usize, heartbeat: &Heartbeat) -> Option<HeartbeatAnswer> {
        let now = self.now;
        self.with_shard(shard, |s, context| {
            let machine = s.machines.get(&heartbeat.machine)?;
            let stale = machine.misses_replies()
                && !machine.is_current_token(heartbeat.fencing_token, s.version);
            if !context.claim_verified || stale {
                return None;
            }
            let ready = s.phase == ShardPhase::Ready;
            if !s.apply_heartbeat(context, heartbeat, StatusSource::AgentHeartbeat) {
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
