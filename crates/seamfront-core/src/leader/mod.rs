//! The leader: the only one to act on the cloud and to assign machines to shards.

use crate::boots::Boots;
use crate::capacity::{self, Offer, Picture, RentRecord, Supply};
use crate::duties::FleetDuty;
use crate::engine::{Engine, Pending};
use crate::fleet::{machine_key, MachineRecord};
use crate::port::*;
use crate::types::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info, warn};

mod adoption;
mod rentals;
mod replies;

use rentals::{Rent, RentStep};

/// What a shard's owner has told the leader.
#[derive(Clone, Debug)]
pub struct ShardView {
    /// When it was told.
    pub at: Micros,
    /// What waits there.
    pub needs: Vec<Need>,
    /// Its machines.
    pub machines: BTreeMap<MachineId, MachineView>,
}

/// The leader's own state.
pub struct Leader {
    /// Version of its claim; None where its work rests on duties, each with a token of its own.
    pub version: Option<u64>,
    /// Requests left over by a former leader have been read.
    loaded: bool,
    loading: bool,
    /// By shard: what its owner has told.
    pub views: Vec<Option<ShardView>>,
    rents: BTreeMap<String, Rent>,
    counter: u64,
    refused: BTreeMap<Offer, (Micros, u32)>,
    /// Names that the cloud told us are gone; its list lags.
    gone: BTreeMap<MachineId, Micros>,
    listing: Vec<Listed>,
    list_busy: bool,
    list_next: Micros,
    types_busy: bool,
    types_next: Micros,
    delete_busy: bool,
    delete_next: Micros,
    plan_next: Micros,
    move_next: Micros,
    writing: BTreeSet<MachineId>,
    /// Listed machines without a record, and the one that each will get: the costliest first.
    adopting: BTreeMap<(Reverse<i64>, MachineId), MachineRecord>,
    /// How long machines take until they are up.
    pub(crate) boots: Boots,
    /// Released machines that the last plan wanted to move or return.
    moves_waiting: usize,
    /// Machines that are to be returned; those that were let go empty can wait for the others.
    deletes_waiting: usize,
    emptied: BTreeSet<MachineId>,
    /// Asked to be cleared for a shard, since when.
    clearing: BTreeMap<MachineId, (usize, Micros)>,
    cloud_rest: Micros,
}

const TICK: Micros = Micros::from_millis(250);
/// A shard's word counts as long as it is not older than this.
const VIEW_AGE: Micros = Micros::from_secs(4);
const DELETE_EVERY: Micros = Micros::from_millis(500);
const REFUSED_FOR: Micros = Micros::from_secs(15);
/// What a former leader has asked for was asked this long before its successor reads of it, at the most.
const FORMER_ASKED_WITHIN: Micros = Micros::from_secs(30);

impl Leader {
    /// A leader that has just begun.
    pub fn new(version: Option<u64>, now: Micros, shards: usize) -> Leader {
        Leader {
            version,
            loaded: false,
            loading: false,
            views: vec![None; shards],
            rents: BTreeMap::new(),
            counter: 0,
            refused: BTreeMap::new(),
            gone: BTreeMap::new(),
            listing: Vec::new(),
            list_busy: false,
            list_next: now,
            types_busy: false,
            types_next: now,
            delete_busy: false,
            delete_next: now,
            plan_next: now,
            move_next: now,
            writing: BTreeSet::new(),
            adopting: BTreeMap::new(),
            boots: Boots::default(),
            moves_waiting: 0,
            deletes_waiting: 0,
            emptied: BTreeSet::new(),
            clearing: BTreeMap::new(),
            cloud_rest: now,
        }
    }

    /// A duty begins here under a new token: answers to what was asked under another are not taken any more.
    pub(crate) fn duty_begins(&mut self, duty: FleetDuty) {
        self.writing.clear();
        match duty {
            FleetDuty::Renting => {
                // Others may have begun and ended some meanwhile.
                self.rents.clear();
                self.adopting.clear();
                self.listing.clear();
                (self.loaded, self.loading) = (false, false);
                (self.types_busy, self.list_busy) = (false, false);
            }
            FleetDuty::Returning => self.delete_busy = false,
            FleetDuty::Moving => self.clearing.clear(),
        }
    }
}

/// What the answer to one of the leader's calls is for.
pub(crate) enum LeaderCall {
    /// Reading of the rentals that a former leader began.
    Rents {
        /// Records read so far.
        entries: Vec<Entry>,
    },
    /// The record of a rental, before the cloud is asked.
    RecordRent {
        /// Name of the rental.
        name: String,
    },
    /// The records of rented machines.
    SettleRent {
        /// Name of the rental.
        name: String,
        /// Machines whose records are written.
        ids: Vec<MachineId>,
        /// Whether these are the last of the rental.
        last: bool,
    },
    /// Records of machines that are assigned.
    Machines {
        /// The duty that assigns them.
        duty: FleetDuty,
        /// Machines whose records are written.
        ids: Vec<MachineId>,
    },
    /// Removal of the records of machines that are gone.
    Forget,
    /// The record of machine types.
    TypesWritten,
    /// The cloud's machine types.
    Types,
    /// A page of the cloud's list of machines.
    List,
    /// A rental.
    Rent {
        /// Name of the rental.
        name: String,
    },
    /// A return of machines.
    Delete {
        /// Machines that are returned.
        ids: Vec<MachineId>,
    },
}

impl LeaderCall {
    /// The duty that it belongs to.
    pub(crate) fn duty(&self) -> FleetDuty {
        match self {
            LeaderCall::Machines { duty, .. } => *duty,
            LeaderCall::Forget | LeaderCall::Delete { .. } => FleetDuty::Returning,
            LeaderCall::Rents { .. }
            | LeaderCall::RecordRent { .. }
            | LeaderCall::SettleRent { .. }
            | LeaderCall::TypesWritten
            | LeaderCall::Types
            | LeaderCall::List
            | LeaderCall::Rent { .. } => FleetDuty::Renting,
        }
    }
}

/// What may be done now.
#[derive(Clone, Copy, Debug)]
struct Rights {
    rent: bool,
    give_back: bool,
    move_machines: bool,
}

impl Rights {
    fn any(self) -> bool {
        self.rent || self.give_back || self.move_machines
    }
}

impl Engine {
    fn leader_commit(&mut self, mut when: Vec<(String, u64)>, apply: Vec<Write>, call: LeaderCall) {
        let duty = call.duty();
        let Some(token) = self.fleet_token(duty) else {
            return;
        };
        when.insert(0, (self.fence_key(duty, token), token));
        self.write_budget -= apply.len() as i64 * 1_000;
        self.state(
            StateCall::Commit { when, apply },
            Pending::Leader {
                version: token,
                call,
            },
        );
    }

    fn leader_cloud(&mut self, request: CloudCall, call: LeaderCall) {
        let Some(fence) = self.fence(call.duty()) else {
            return;
        };
        self.cloud(
            request,
            fence.until,
            Pending::Leader {
                version: fence.token,
                call,
            },
        );
    }

    pub(crate) fn leader_tick(&mut self) {
        let now = self.now;
        if self.leader.is_none() {
            return;
        }
        let may = Rights {
            rent: self.fence(FleetDuty::Renting).is_some(),
            give_back: self.fence(FleetDuty::Returning).is_some(),
            move_machines: self.fence(FleetDuty::Moving).is_some(),
        };
        if !may.any() || (may.rent && !self.rents_loaded()) {
            return;
        }
        if may.rent {
            self.types_and_list_tick();
            self.rents_tick();
        }
        if may.give_back {
            self.deletes_tick();
        }
        if may.rent {
            self.adopt_tick();
        }
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if now >= l.plan_next {
            l.plan_next = now + TICK;
            // Moved, refused by its owner, or too slow: whoever still needs it asks again.
            let machines = &self.machines;
            l.clearing.retain(|id, (to, t)| {
                now - *t < Micros::from_secs(20)
                    && machines.get(id).is_some_and(|m| m.0.shard != Some(*to))
            });
            l.gone.retain(|_, t| now - *t < Micros::from_secs(180));
            let gone = &l.gone;
            l.boots.retain(|id| !gone.contains_key(id));
            self.carry_out_plan(may);
        }
    }

    /// Whether the rentals that others have begun are read; begins to read them.
    fn rents_loaded(&mut self) -> bool {
        let Some(token) = self.fleet_token(FleetDuty::Renting) else {
            return false;
        };
        let Some(l) = self.leader.as_mut() else {
            return false;
        };
        if !l.loaded && !l.loading {
            l.loading = true;
            let pending = Pending::Leader {
                version: token,
                call: LeaderCall::Rents {
                    entries: Vec::new(),
                },
            };
            self.state(
                StateCall::List {
                    prefix: "rent/".to_owned(),
                    after: None,
                },
                pending,
            );
            return false;
        }
        l.loaded
    }

    fn types_and_list_tick(&mut self) {
        let now = self.now;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if !l.types_busy && now >= l.types_next && now >= l.cloud_rest {
            l.types_busy = true;
            self.leader_cloud(CloudCall::Types, LeaderCall::Types);
        }
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if !l.list_busy && now >= l.list_next && now >= l.cloud_rest {
            l.list_busy = true;
            let after = l.listing.last().map(|m| m.id.clone());
            self.leader_cloud(CloudCall::List { after }, LeaderCall::List);
        }
    }

    fn deletes_tick(&mut self) {
        let now = self.now;
        // Half of what the store takes meanwhile, if need be: what stands on machines that fell by the
        // hundred waits for this, while a busy store leaves the leader nothing otherwise.
        let meanwhile = (self.write_rate() * DELETE_EVERY.0 / 2_000_000_000) as usize;
        let most = self
            .cfg
            .txn_ops
            .min(100)
            .min(self.leader_writes().max(meanwhile).max(4));
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if l.delete_busy || now < l.delete_next || now < l.cloud_rest {
            return;
        }
        l.delete_next = now + DELETE_EVERY;
        l.emptied
            .retain(|id| self.machines.get(id).is_some_and(|m| m.0.shard.is_none()));
        let given_up = self
            .machines
            .iter()
            .filter(|(_, (r, _))| r.shard.is_none())
            .map(|(id, _)| id);
        let (last, mut ids): (Vec<MachineId>, Vec<MachineId>) =
            given_up.cloned().partition(|id| l.emptied.contains(id));
        ids.extend(last);
        l.deletes_waiting = ids.len();
        ids.truncate(most);
        if ids.is_empty() {
            return;
        }
        l.delete_busy = true;
        info!(machines = ?ids.iter().map(|i| i.as_str()).collect::<Vec<_>>(), "returning machines");
        self.leader_cloud(
            CloudCall::Delete {
                machines: ids.clone(),
            },
            LeaderCall::Delete { ids },
        );
    }

    fn carry_out_plan(&mut self, may: Rights) {
        let now = self.now;
        let Some(l) = self.leader.as_ref() else {
            return;
        };
        let mut needs = Vec::new();
        let mut heard = true;
        for (k, v) in l.views.iter().enumerate() {
            match v.as_ref().filter(|v| now - v.at < VIEW_AGE) {
                Some(v) => needs.extend(v.needs.iter().map(|n| (k, n))),
                None => heard = false,
            }
        }
        let mut machines = Vec::new();
        for (id, (record, version)) in &self.machines {
            let Some(shard) = record.shard else { continue };
            if l.writing.contains(id) {
                continue;
            }
            let view = l
                .views
                .get(shard)
                .and_then(|v| v.as_ref())
                .filter(|v| now - v.at < VIEW_AGE);
            let view = view
                .and_then(|v| v.machines.get(id))
                .filter(|v| v.version == *version);
            let age = now - self.machine_since.get(id).copied().unwrap_or(now);
            machines.push(Supply {
                id,
                shard,
                record,
                size: self.type_size(&record.kind),
                view,
                age,
            });
        }
        let picture = Picture {
            now,
            needs,
            machines,
            rents: l.rents.values().map(|r| &r.record).collect(),
            types: &self.types,
            refused: &l.refused,
            tuning: &self.cfg.tuning,
            boots: &l.boots,
            clearing: &l.clearing,
        };
        let looked = picture.machines.len() * 4 + picture.needs.len();
        let mut plan = capacity::plan(&picture);
        let released: BTreeSet<MachineId> = picture
            .machines
            .iter()
            .filter(|m| m.view.is_some_and(|v| v.released))
            .map(|m| m.id.clone())
            .collect();
        drop(picture);
        self.leader_looked += looked as i64;
        if !heard {
            // A shard that nobody speaks for may need what looks idle.
            plan.returns.retain(|id| released.contains(id));
        }
        let asked_before = l.rents.len() >= 6;
        if may.rent && !asked_before && !self.types.is_empty() {
            for r in plan.rents {
                self.start_rent(r);
            }
        }
        let may_ask = self.leader.as_ref().is_some_and(|l| now >= l.move_next);
        let mut asks: BTreeMap<usize, Vec<MachineId>> = BTreeMap::new();
        let mut writes: Vec<(MachineId, Option<usize>)> = Vec::new();
        if !may.move_machines {
            plan.moves.clear();
            plan.clear.clear();
        }
        if !may.give_back {
            plan.returns.clear();
        }
        let moves = plan.moves.into_iter().map(|(id, to)| (id, Some(to)));
        let returns = plan.returns.into_iter().map(|id| (id, None));
        for (id, to) in moves.chain(returns) {
            if released.contains(&id) {
                writes.push((id, to));
            } else if let Some(shard) = self
                .machines
                .get(&id)
                .and_then(|m| m.0.shard)
                .filter(|_| may_ask)
            {
                asks.entry(shard).or_default().push(id);
            }
        }
        if may_ask && !asks.is_empty() {
            if let Some(l) = self.leader.as_mut() {
                l.move_next = now + self.cfg.tuning.move_every;
            }
        }
        for (shard, machines) in asks {
            self.tell_holder(
                shard,
                MeshMessage::Release {
                    shard,
                    machines,
                    above: None,
                },
            );
        }
        for (id, to, above) in plan.clear {
            let Some(shard) = self.machines.get(&id).and_then(|m| m.0.shard) else {
                continue;
            };
            if let Some(l) = self.leader.as_mut() {
                l.clearing.insert(id.clone(), (to, now));
            }
            self.tell_holder(
                shard,
                MeshMessage::Release {
                    shard,
                    machines: vec![id],
                    above: Some(above),
                },
            );
        }
        // What the store does not take now is planned again.
        let room = self
            .cfg
            .txn_ops
            .min((self.write_budget / 1_000).max(0) as usize);
        if let Some(l) = self.leader.as_mut() {
            l.moves_waiting = writes.len();
        }
        writes.truncate(room);
        self.assign(writes);
    }

    /// Moves released machines and gives others up. Under one claim all of that is one transaction: a gang gets its
    /// machines together. With a claim for each duty there is one for each.
    fn assign(&mut self, writes: Vec<(MachineId, Option<usize>)>) {
        if self.leader.as_ref().is_some_and(|l| l.version.is_some()) {
            return self.assign_under(FleetDuty::Moving, writes);
        }
        let (moved, given_up) = writes.into_iter().partition(|write| write.1.is_some());
        self.assign_under(FleetDuty::Moving, moved);
        self.assign_under(FleetDuty::Returning, given_up);
    }

    fn assign_under(&mut self, duty: FleetDuty, writes: Vec<(MachineId, Option<usize>)>) {
        if self.fleet_token(duty).is_none() {
            return;
        }
        let (mut when, mut apply, mut ids, mut emptied) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for (id, to) in writes {
            let Some((record, version)) = self.machines.get(&id) else {
                continue;
            };
            let record = MachineRecord {
                shard: to,
                ..record.clone()
            };
            info!(machine = %id, to = ?to, "machine assigned");
            when.push((machine_key(&id), *version));
            apply.push(crate::shard::machine_write(&id, &record));
            if to.is_none() {
                emptied.push(id.clone());
            }
            ids.push(id);
        }
        if ids.is_empty() {
            return;
        }
        if let Some(l) = self.leader.as_mut() {
            l.writing.extend(ids.iter().cloned());
            l.emptied.extend(emptied);
        }
        self.leader_commit(when, apply, LeaderCall::Machines { duty, ids });
    }

    pub(crate) fn leader_writes_awaited(&self) -> usize {
        let rented = |l: &Leader| {
            l.rents
                .values()
                .filter(|r| r.step == RentStep::Settling)
                .map(|r| r.got.len())
                .sum::<usize>()
        };
        self.leader.as_ref().map_or(0, |l| {
            l.adopting.len() + l.moves_waiting + l.deletes_waiting + rented(l)
        })
    }

    /// How many records the leader may write now; half of what there is, so that shards held here can
    /// go on.
    fn leader_writes(&self) -> usize {
        (self.write_budget / 2_000).max(0) as usize
    }

    pub(crate) fn shard_told(
        &mut self,
        shard: usize,
        needs: Vec<Need>,
        machines: Vec<MachineView>,
    ) {
        let now = self.now;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if let Some(v) = l.views.get_mut(shard) {
            let machines: BTreeMap<MachineId, MachineView> =
                machines.into_iter().map(|m| (m.id.clone(), m)).collect();
            l.boots
                .learn(now, |id| machines.get(id).is_some_and(|m| m.up));
            *v = Some(ShardView {
                at: now,
                needs,
                machines,
            });
        }
    }
}
