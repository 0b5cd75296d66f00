//! A controller's session with the key-value store: its lease, its views of what is stored, the claims on shards and on
//! leadership, and the verification that these still stand.
//!
//! The session owns its state. In each step it puts its requests into an outbox and reports by
//! [`SessionEvent`]s, in order, what concerns others.

use crate::machine::MachineRecord;
use crate::outbox::Outbox;
use crate::port::{Entry, StoreReply};
use crate::types::{JobId, JobSpec, MachineId, Micros, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

mod claim;
mod claims;
mod failover;
mod lease;
mod transfer;
mod verification;
mod watches;

pub use claim::ClaimValue;
pub(crate) use claim::{Claim, ClaimId};
pub(crate) use watches::Topic;

use claim::ClaimState;
use failover::RecordRead;
use lease::Lease;
use verification::{Verification, VerifiedClaim};
use watches::Watch;

/// Pause after a request that failed.
const RETRY_INTERVAL: Micros = Micros::from_millis(250);

/// An outstanding request of the session.
pub(crate) enum SessionRequest {
    /// A lease is to be granted.
    GrantLease,
    /// The lease is to be renewed.
    RenewLease,
    /// The request that keeps up a view.
    Watch(Topic),
    /// A claim is to be written.
    AcquireClaim { claim: ClaimId, lease: u64 },
    /// The claim on a shard is to be deleted, for its home member.
    TransferShard { shard: usize, version: u64 },
    /// The claims held here are to be confirmed.
    Verify {
        sent: Micros,
        claims: Vec<VerifiedClaim>,
    },
    /// The view of jobs is to be made as new as a confirmation of claims.
    VerifyView {
        sent: Micros,
        claims: Vec<VerifiedClaim>,
        revision: u64,
    },
    /// The view of machines is to be made as new as the claim on a shard.
    MachineChanges { shard: usize, token: u64 },
    /// A page of the records of a shard's former owner.
    Records { shard: usize, token: u64 },
}

/// What others must know of a step of the session.
pub(crate) enum SessionEvent {
    /// The view of jobs was read as a whole; all others are gone. Those read follow.
    JobsRead { present: BTreeSet<JobId> },
    /// A job is in the view.
    JobChanged { spec: Rc<JobSpec>, version: u64 },
    /// A job was deleted.
    JobRemoved(JobId),
    /// The view of machines was read as a whole; all others are gone. Those read follow.
    MachinesRead { present: BTreeSet<MachineId> },
    /// A machine's record is in the view.
    MachineChanged {
        id: MachineId,
        record: MachineRecord,
        version: u64,
    },
    /// A machine's record was deleted.
    MachineRemoved(MachineId),
    /// This controller acts under a claim from now on.
    ClaimAcquired { claim: ClaimId, token: u64 },
    /// This controller must not act under a claim any more.
    ClaimLost(ClaimId),
    /// A shard's claim was verified for the first time; the reading of its records starts.
    RecordReadStarted { shard: usize },
    /// A shard can go on where its former owner stopped.
    RecordsRead(ReadRecords),
}

/// All that the former owner of a shard has recorded.
pub(crate) struct ReadRecords {
    /// The shard.
    pub(crate) shard: usize,
    /// Work records.
    pub(crate) records: Vec<Entry>,
    /// Parts of the work records.
    pub(crate) parts: Vec<Entry>,
}

/// What the session needs in a step, and what comes out of it.
pub(crate) struct SessionContext<'a> {
    /// Settings.
    pub(crate) settings: &'a Settings,
    /// Now, by the steady clock.
    pub(crate) now: Micros,
    /// Requests, in order.
    pub(crate) outbox: Outbox<SessionRequest>,
    /// Events, in order.
    pub(crate) events: Vec<SessionEvent>,
}

impl<'a> SessionContext<'a> {
    /// The context of a step, without requests or events so far.
    pub(crate) fn new(settings: &'a Settings, now: Micros) -> Self {
        SessionContext {
            settings,
            now,
            outbox: Outbox::new(),
            events: Vec::new(),
        }
    }
}

/// What a tick depends on beyond the session.
pub(crate) struct TickInputs {
    /// Duties have claims of their own, so that the claim to leadership has ended.
    pub(crate) duties_in_force: bool,
    /// No worker reaches this controller.
    pub(crate) inbound_partitioned: bool,
    /// Another controller is ready.
    pub(crate) any_peer_ready: bool,
    /// By shard: its home member has been ready for a while.
    pub(crate) home_ready: Vec<bool>,
}

/// A controller's session with the key-value store.
#[derive(Debug)]
pub(crate) struct StoreSession {
    lease: Lease,
    /// By [`Topic`].
    watches: [Watch; 4],
    shard_claims: Vec<ClaimState>,
    leader_claim: ClaimState,
    next_claim: Micros,
    verification: Verification,
    /// Readings of the records of shards' former owners, by shard.
    record_reads: BTreeMap<usize, RecordRead>,
    last_reply: Micros,
}

impl StoreSession {
    /// A session without lease, views or claims.
    pub(crate) fn new(shards: usize) -> StoreSession {
        StoreSession {
            lease: Lease::default(),
            watches: Default::default(),
            shard_claims: vec![ClaimState::default(); shards],
            leader_claim: ClaimState::default(),
            next_claim: Micros::ZERO,
            verification: Verification::default(),
            record_reads: BTreeMap::new(),
            last_reply: Micros::ZERO,
        }
    }

    /// Sends what is due.
    pub(crate) fn tick(&mut self, context: &mut SessionContext, inputs: &TickInputs) {
        self.lease_tick(context);
        for topic in Topic::ALL {
            self.watch_tick(context, topic);
        }
        self.claims_tick(context, inputs);
        self.verification_tick(context);
        self.record_reads_tick(context);
    }

    /// Takes in a reply of the store to a request of the session.
    pub(crate) fn reply(
        &mut self,
        context: &mut SessionContext,
        request: SessionRequest,
        reply: StoreReply,
    ) {
        match request {
            SessionRequest::GrantLease | SessionRequest::RenewLease => {
                self.lease_reply(context, reply);
            }
            SessionRequest::Watch(topic) => self.watch_reply(context, topic, reply),
            SessionRequest::AcquireClaim { claim, lease } => {
                self.acquire_reply(context, claim, lease, reply);
            }
            SessionRequest::TransferShard { shard, version } => {
                self.transfer_reply(context, shard, version, &reply);
            }
            SessionRequest::Verify { sent, claims } => {
                self.verify_reply(context, sent, claims, reply);
            }
            SessionRequest::VerifyView {
                sent,
                claims,
                revision,
            } => self.verify_view_reply(context, sent, &claims, revision, reply),
            SessionRequest::MachineChanges { shard, token } => {
                self.machine_changes_reply(context, shard, token, reply);
            }
            SessionRequest::Records { shard, token } => {
                self.records_reply(context, shard, token, reply);
            }
        }
    }

    /// The store has replied to some request.
    pub(crate) fn store_replied(&mut self, now: Micros) {
        self.last_reply = now;
    }

    /// When the store last replied to a request.
    pub(crate) fn last_reply(&self) -> Micros {
        self.last_reply
    }

    /// Whether all views are loaded.
    pub(crate) fn loaded(&self) -> bool {
        self.watches.iter().all(Watch::loaded)
    }

    /// Whether the controller has a lease.
    pub(crate) fn has_lease(&self) -> bool {
        self.lease.id.is_some()
    }

    /// The revision up to which all changes are in a view.
    pub(crate) fn revision(&self, topic: Topic) -> u64 {
        self.watch(topic).revision()
    }

    /// Whether a view has been read once.
    pub(crate) fn view_loaded(&self, topic: Topic) -> bool {
        self.watch(topic).loaded()
    }

    /// Whether a view has been read once and is as new as this revision.
    pub(crate) fn view_reaches(&self, topic: Topic, revision: u64) -> bool {
        self.watch(topic).reaches(revision)
    }

    /// The claim as last seen, whoever holds it.
    pub(crate) fn claim(&self, claim: ClaimId) -> Option<&Claim> {
        self.state(claim)?.seen.as_ref()
    }

    /// How many shards this member is seen to hold.
    pub(crate) fn shards_of(&self, member: usize) -> usize {
        let seen = self.shard_claims.iter().flat_map(|state| &state.seen);
        seen.filter(|claim| claim.member == member).count()
    }

    /// The claims under which this controller acts, with their fencing tokens: shards, then leadership.
    pub(crate) fn held_claims(&self) -> impl Iterator<Item = (ClaimId, u64)> + '_ {
        self.claim_ids()
            .filter_map(|claim| self.held_token(claim).map(|token| (claim, token)))
    }

    /// The fencing token of a claim under which this controller acts.
    pub(crate) fn held_token(&self, claim: ClaimId) -> Option<u64> {
        self.state(claim)?.token()
    }

    /// Sending time of the last request by which a claim that is held here was verified.
    pub(crate) fn last_verified(&self, claim: ClaimId) -> Option<Micros> {
        self.state(claim)?.held?.last_verified
    }

    /// All claims: those on shards, then the one to leadership.
    fn claim_ids(&self) -> impl Iterator<Item = ClaimId> + 'static {
        let shards = (0..self.shard_claims.len()).map(ClaimId::Shard);
        shards.chain([ClaimId::Leader])
    }

    /// None if there is no such shard.
    fn state(&self, claim: ClaimId) -> Option<&ClaimState> {
        match claim {
            ClaimId::Shard(shard) => self.shard_claims.get(shard),
            ClaimId::Leader => Some(&self.leader_claim),
        }
    }

    fn state_mut(&mut self, claim: ClaimId) -> &mut ClaimState {
        match claim {
            ClaimId::Shard(shard) => &mut self.shard_claims[shard],
            ClaimId::Leader => &mut self.leader_claim,
        }
    }
}
