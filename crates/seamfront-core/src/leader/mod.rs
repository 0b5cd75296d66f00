//! The leader: the only one to act on the cloud and to assign machines to shards.

use crate::boot_times::BootTimes;
use crate::capacity::{self, ClusterSnapshot, Offer, ProvisioningRecord, Supply};
use crate::engine::{Engine, Pending};
use crate::fleet_duties::FleetDuty;
use crate::machine::{machine_key, MachineRecord};
use crate::port::{
    CloudReply, CloudRequest, Entry, ListedMachine, ListedState, MachineView, PeerMessage,
    ResourceRequest, StoreReply, StoreRequest, Write,
};
use crate::types::{MachineId, Micros};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info, warn};

mod adoption;
mod provisioning;
mod replies;

use provisioning::{Provisioning, ProvisioningStep};

/// What a shard's owner has told the leader.
#[derive(Clone, Debug)]
pub struct ShardView {
    /// When it was told.
    pub at: Micros,
    /// What waits there.
    pub requests: Vec<ResourceRequest>,
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
    provisionings: BTreeMap<String, Provisioning>,
    counter: u64,
    unavailable_offers: BTreeMap<Offer, (Micros, u32)>,
    /// Names that the cloud told us are gone; its list lags.
    terminated: BTreeMap<MachineId, Micros>,
    listing: Vec<ListedMachine>,
    list_busy: bool,
    list_next: Micros,
    types_busy: bool,
    types_next: Micros,
    terminate_busy: bool,
    terminate_next: Micros,
    plan_next: Micros,
    move_next: Micros,
    writes_in_flight: BTreeSet<MachineId>,
    /// Listed machines without a record, and the one that each will get: the costliest first.
    adoptions: BTreeMap<(Reverse<i64>, MachineId), MachineRecord>,
    /// How long machines take until they are up.
    pub(crate) boot_times: BootTimes,
    /// Released machines that the last plan wanted to move or return.
    pending_moves: usize,
    /// Machines that are to be returned; those that were let go empty can wait for the others.
    pending_terminations: usize,
    emptied: BTreeSet<MachineId>,
    /// Asked to be cleared for a shard, since when.
    draining: BTreeMap<MachineId, (usize, Micros)>,
    cloud_backoff_until: Micros,
}

const TICK: Micros = Micros::from_millis(250);
/// A shard's word counts as long as it is not older than this.
const VIEW_AGE: Micros = Micros::from_secs(4);
const TERMINATE_INTERVAL: Micros = Micros::from_millis(500);
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
            provisionings: BTreeMap::new(),
            counter: 0,
            unavailable_offers: BTreeMap::new(),
            terminated: BTreeMap::new(),
            listing: Vec::new(),
            list_busy: false,
            list_next: now,
            types_busy: false,
            types_next: now,
            terminate_busy: false,
            terminate_next: now,
            plan_next: now,
            move_next: now,
            writes_in_flight: BTreeSet::new(),
            adoptions: BTreeMap::new(),
            boot_times: BootTimes::default(),
            pending_moves: 0,
            pending_terminations: 0,
            emptied: BTreeSet::new(),
            draining: BTreeMap::new(),
            cloud_backoff_until: now,
        }
    }

    /// A duty begins here under a new token: answers to what was asked under another are not taken any more.
    pub(crate) fn duty_begins(&mut self, duty: FleetDuty) {
        self.writes_in_flight.clear();
        match duty {
            FleetDuty::ScaleOut => {
                // Others may have begun and ended some meanwhile.
                self.provisionings.clear();
                self.adoptions.clear();
                self.listing.clear();
                (self.loaded, self.loading) = (false, false);
                (self.types_busy, self.list_busy) = (false, false);
            }
            FleetDuty::ScaleIn => self.terminate_busy = false,
            FleetDuty::Rebalance => self.draining.clear(),
        }
    }
}

/// What the answer to one of the leader's calls is for.
pub(crate) enum LeaderRequest {
    /// Reading of the rentals that a former leader began.
    ListProvisionings {
        /// Records read so far.
        entries: Vec<Entry>,
    },
    /// The record of a rental, before the cloud is asked.
    RecordProvisioning {
        /// Name of the rental.
        name: String,
    },
    /// The records of rented machines.
    RecordMachines {
        /// Name of the rental.
        name: String,
        /// Machines whose records are written.
        ids: Vec<MachineId>,
        /// Whether these are the last of the rental.
        last: bool,
    },
    /// Records of machines that are assigned.
    AssignMachines {
        /// The duty that assigns them.
        duty: FleetDuty,
        /// Machines whose records are written.
        ids: Vec<MachineId>,
    },
    /// Removal of the records of machines that are gone.
    ForgetMachines,
    /// The record of machine types.
    TypesWritten,
    /// The cloud's machine types.
    MachineTypes,
    /// A page of the cloud's list of machines.
    ListMachines,
    /// A rental.
    Provision {
        /// Name of the rental.
        name: String,
    },
    /// A return of machines.
    Terminate {
        /// Machines that are returned.
        ids: Vec<MachineId>,
    },
}

impl LeaderRequest {
    /// The duty that it belongs to.
    pub(crate) fn duty(&self) -> FleetDuty {
        match self {
            LeaderRequest::AssignMachines { duty, .. } => *duty,
            LeaderRequest::ForgetMachines | LeaderRequest::Terminate { .. } => FleetDuty::ScaleIn,
            LeaderRequest::ListProvisionings { .. }
            | LeaderRequest::RecordProvisioning { .. }
            | LeaderRequest::RecordMachines { .. }
            | LeaderRequest::TypesWritten
            | LeaderRequest::MachineTypes
            | LeaderRequest::ListMachines
            | LeaderRequest::Provision { .. } => FleetDuty::ScaleOut,
        }
    }
}

/// What may be done now.
#[derive(Clone, Copy, Debug)]
struct Permissions {
    provisioning: bool,
    give_back: bool,
    move_machines: bool,
}

impl Permissions {
    fn any(self) -> bool {
        self.provisioning || self.give_back || self.move_machines
    }
}

impl Engine {
    fn leader_commit(
        &mut self,
        mut conditions: Vec<(String, u64)>,
        writes: Vec<Write>,
        call: LeaderRequest,
    ) {
        let duty = call.duty();
        let Some(fencing_token) = self.fleet_token(duty) else {
            return;
        };
        conditions.insert(0, (self.fence_key(duty, fencing_token), fencing_token));
        self.write_pacer.spend(writes.len());
        self.send_to_store(
            StoreRequest::CompareAndSwap { conditions, writes },
            Pending::Leader {
                version: fencing_token,
                call,
            },
        );
    }

    fn leader_cloud(&mut self, request: CloudRequest, call: LeaderRequest) {
        let Some(fence) = self.fence(call.duty()) else {
            return;
        };
        self.send_to_cloud(
            request,
            fence.until,
            Pending::Leader {
                version: fence.fencing_token,
                call,
            },
        );
    }

    pub(crate) fn leader_tick(&mut self) {
        let now = self.now;
        if self.leader.is_none() {
            return;
        }
        let may = Permissions {
            provisioning: self.fence(FleetDuty::ScaleOut).is_some(),
            give_back: self.fence(FleetDuty::ScaleIn).is_some(),
            move_machines: self.fence(FleetDuty::Rebalance).is_some(),
        };
        if !may.any() || (may.provisioning && !self.provisionings_loaded()) {
            return;
        }
        if may.provisioning {
            self.types_and_list_tick();
            self.provisioning_tick();
        }
        if may.give_back {
            self.terminate_tick();
        }
        if may.provisioning {
            self.adopt_tick();
        }
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if now >= l.plan_next {
            l.plan_next = now + TICK;
            // Moved, refused by its owner, or too slow: whoever still needs it asks again.
            let machines = &self.machines;
            l.draining.retain(|id, (to, t)| {
                now - *t < Micros::from_secs(20)
                    && machines.get(id).is_some_and(|m| m.0.shard != Some(*to))
            });
            l.terminated
                .retain(|_, t| now - *t < Micros::from_secs(180));
            let terminated = &l.terminated;
            l.boot_times.retain(|id| !terminated.contains_key(id));
            self.execute_plan(may);
        }
    }

    /// Whether the rentals that others have begun are read; begins to read them.
    fn provisionings_loaded(&mut self) -> bool {
        let Some(fencing_token) = self.fleet_token(FleetDuty::ScaleOut) else {
            return false;
        };
        let Some(l) = self.leader.as_mut() else {
            return false;
        };
        if !l.loaded && !l.loading {
            l.loading = true;
            let pending = Pending::Leader {
                version: fencing_token,
                call: LeaderRequest::ListProvisionings {
                    entries: Vec::new(),
                },
            };
            self.send_to_store(
                StoreRequest::List {
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
        if !l.types_busy && now >= l.types_next && now >= l.cloud_backoff_until {
            l.types_busy = true;
            self.leader_cloud(CloudRequest::MachineTypes, LeaderRequest::MachineTypes);
        }
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if !l.list_busy && now >= l.list_next && now >= l.cloud_backoff_until {
            l.list_busy = true;
            let after = l.listing.last().map(|m| m.id.clone());
            self.leader_cloud(
                CloudRequest::ListMachines { after },
                LeaderRequest::ListMachines,
            );
        }
    }

    fn terminate_tick(&mut self) {
        let now = self.now;
        // Half of what the store takes meanwhile, if need be: what stands on machines that fell by the
        // hundred waits for this, while a busy store leaves the leader nothing otherwise.
        let meanwhile = (self.write_rate() * TERMINATE_INTERVAL.0 / 2_000_000_000) as usize;
        let most = self
            .settings
            .txn_ops
            .min(100)
            .min(self.leader_writes().max(meanwhile).max(4));
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if l.terminate_busy || now < l.terminate_next || now < l.cloud_backoff_until {
            return;
        }
        l.terminate_next = now + TERMINATE_INTERVAL;
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
        l.pending_terminations = ids.len();
        ids.truncate(most);
        if ids.is_empty() {
            return;
        }
        l.terminate_busy = true;
        info!(machines = ?ids.iter().map(|i| i.as_str()).collect::<Vec<_>>(), "returning machines");
        self.leader_cloud(
            CloudRequest::Terminate {
                machines: ids.clone(),
            },
            LeaderRequest::Terminate { ids },
        );
    }

    fn execute_plan(&mut self, may: Permissions) {
        let now = self.now;
        let Some(l) = self.leader.as_ref() else {
            return;
        };
        let mut requests = Vec::new();
        let mut heard = true;
        for (k, v) in l.views.iter().enumerate() {
            match v.as_ref().filter(|v| now - v.at < VIEW_AGE) {
                Some(v) => requests.extend(v.requests.iter().map(|n| (k, n))),
                None => heard = false,
            }
        }
        let mut machines = Vec::new();
        for (id, (record, version)) in &self.machines {
            let Some(shard) = record.shard else { continue };
            if l.writes_in_flight.contains(id) {
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
        let snapshot = ClusterSnapshot {
            now,
            requests,
            machines,
            provisionings: l.provisionings.values().map(|r| &r.record).collect(),
            types: self.machine_types.all(),
            unavailable_offers: &l.unavailable_offers,
            tuning: &self.settings.tuning,
            boot_times: &l.boot_times,
            draining: &l.draining,
        };
        let work_done = snapshot.machines.len() * 4 + snapshot.requests.len();
        let mut plan = capacity::plan(&snapshot);
        let released: BTreeSet<MachineId> = snapshot
            .machines
            .iter()
            .filter(|m| m.view.is_some_and(|v| v.released))
            .map(|m| m.id.clone())
            .collect();
        drop(snapshot);
        self.leader_work_done += work_done as i64;
        if !heard {
            // A shard that nobody speaks for may need what looks idle.
            plan.terminations.retain(|id| released.contains(id));
        }
        let asked_before = l.provisionings.len() >= 6;
        if may.provisioning && !asked_before && self.machine_types.known() {
            for r in plan.provisionings {
                self.start_provisioning(r);
            }
        }
        let may_ask = self.leader.as_ref().is_some_and(|l| now >= l.move_next);
        let mut asks: BTreeMap<usize, Vec<MachineId>> = BTreeMap::new();
        let mut assignments: Vec<(MachineId, Option<usize>)> = Vec::new();
        if !may.move_machines {
            plan.moves.clear();
            plan.drains.clear();
        }
        if !may.give_back {
            plan.terminations.clear();
        }
        let moves = plan.moves.into_iter().map(|(id, to)| (id, Some(to)));
        let terminations = plan.terminations.into_iter().map(|id| (id, None));
        for (id, to) in moves.chain(terminations) {
            if released.contains(&id) {
                assignments.push((id, to));
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
                l.move_next = now + self.settings.tuning.move_every;
            }
        }
        for (shard, machines) in asks {
            self.notify_holder(
                shard,
                PeerMessage::Release {
                    shard,
                    machines,
                    above: None,
                },
            );
        }
        for (id, to, above) in plan.drains {
            let Some(shard) = self.machines.get(&id).and_then(|m| m.0.shard) else {
                continue;
            };
            if let Some(l) = self.leader.as_mut() {
                l.draining.insert(id.clone(), (to, now));
            }
            self.notify_holder(
                shard,
                PeerMessage::Release {
                    shard,
                    machines: vec![id],
                    above: Some(above),
                },
            );
        }
        // What the store does not take now is planned again.
        let room = self
            .settings
            .txn_ops
            .min(self.write_pacer.available_writes());
        if let Some(l) = self.leader.as_mut() {
            l.pending_moves = assignments.len();
        }
        assignments.truncate(room);
        self.assign(assignments);
    }

    /// Moves released machines and gives others up. Under one claim all of that is one transaction: a gang gets its
    /// machines together. With a claim for each duty there is one for each.
    fn assign(&mut self, assignments: Vec<(MachineId, Option<usize>)>) {
        if self.leader.as_ref().is_some_and(|l| l.version.is_some()) {
            return self.assign_under(FleetDuty::Rebalance, assignments);
        }
        let (moved, given_up) = assignments.into_iter().partition(|write| write.1.is_some());
        self.assign_under(FleetDuty::Rebalance, moved);
        self.assign_under(FleetDuty::ScaleIn, given_up);
    }

    fn assign_under(&mut self, duty: FleetDuty, assignments: Vec<(MachineId, Option<usize>)>) {
        if self.fleet_token(duty).is_none() {
            return;
        }
        let (mut conditions, mut writes, mut ids, mut emptied) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for (id, to) in assignments {
            let Some((record, version)) = self.machines.get(&id) else {
                continue;
            };
            let record = MachineRecord {
                shard: to,
                ..record.clone()
            };
            info!(machine = %id, to = ?to, "machine assigned");
            conditions.push((machine_key(&id), *version));
            writes.push(crate::shard::machine_write(&id, &record));
            if to.is_none() {
                emptied.push(id.clone());
            }
            ids.push(id);
        }
        if ids.is_empty() {
            return;
        }
        if let Some(l) = self.leader.as_mut() {
            l.writes_in_flight.extend(ids.iter().cloned());
            l.emptied.extend(emptied);
        }
        self.leader_commit(
            conditions,
            writes,
            LeaderRequest::AssignMachines { duty, ids },
        );
    }

    pub(crate) fn leader_pending_writes(&self) -> usize {
        let provisioned = |l: &Leader| {
            l.provisionings
                .values()
                .filter(|r| r.step == ProvisioningStep::Settling)
                .map(|r| r.got.len())
                .sum::<usize>()
        };
        self.leader.as_ref().map_or(0, |l| {
            l.adoptions.len() + l.pending_moves + l.pending_terminations + provisioned(l)
        })
    }

    /// How many records the leader may write now; half of what there is, so that shards held here can
    /// go on.
    fn leader_writes(&self) -> usize {
        self.write_pacer.available_writes() / 2
    }

    pub(crate) fn shard_updated(
        &mut self,
        shard: usize,
        requests: Vec<ResourceRequest>,
        machines: Vec<MachineView>,
    ) {
        let now = self.now;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if let Some(v) = l.views.get_mut(shard) {
            let machines: BTreeMap<MachineId, MachineView> =
                machines.into_iter().map(|m| (m.id.clone(), m)).collect();
            l.boot_times
                .record_boots(now, |id| machines.get(id).is_some_and(|m| m.up));
            *v = Some(ShardView {
                at: now,
                requests,
                machines,
            });
        }
    }
}
