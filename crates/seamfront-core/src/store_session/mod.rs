//! A controller's session with the key-value store: its lease, its views, the claims on shards and on leadership, and
//! the periodic verification of these claims.
//!
//! In each step the session puts its requests into an outbox and reports changes that concern other components as
//! [`SessionEvent`]s, in order.

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
pub(crate) use watches::ViewId;

use claim::ClaimState;
use failover::RecordRead;
use lease::Lease;
use verification::{Verification, VerifiedClaim};
use watches::Watch;

/// Delay before a failed request is retried.
const RETRY_INTERVAL: Micros = Micros::from_millis(250);

/// An outstanding request of the session.
pub(crate) enum SessionRequest {
    /// Grants a lease.
    GrantLease,
    /// Renews the lease.
    RenewLease,
    /// Reads a view or waits for its changes.
    Watch(ViewId),
    /// Writes a claim.
    AcquireClaim { claim: ClaimId, lease: u64 },
    /// Deletes the claim on a shard so that another member can acquire it.
    TransferShard { shard: usize, version: u64 },
    /// Verifies the claims held here.
    Verify {
        sent: Micros,
        claims: Vec<VerifiedClaim>,
    },
    /// Updates the view of jobs to the revision at which the store has confirmed the claims.
    VerifyView {
        sent: Micros,
        claims: Vec<VerifiedClaim>,
        revision: u64,
    },
    /// Updates the view of machines to the version of the claim on a shard.
    MachineChanges { shard: usize, token: u64 },
    /// Reads a page of the records of a shard's predecessor.
    Records { shard: usize, token: u64 },
}

/// A change in the session that concerns other components.
pub(crate) enum SessionEvent {
    /// The view of jobs was read completely. Jobs not in `present` no longer exist; those present follow as
    /// [`SessionEvent::JobChanged`].
    JobsRead { present: BTreeSet<JobId> },
    /// A job was added or changed in the view.
    JobChanged { spec: Rc<JobSpec>, version: u64 },
    /// A job was deleted.
    JobRemoved(JobId),
    /// The view of machines was read completely. Machines not in `present` no longer exist; those present follow as
    /// [`SessionEvent::MachineChanged`].
    MachinesRead { present: BTreeSet<MachineId> },
    /// A machine's record was added or changed in the view.
    MachineChanged {
        id: MachineId,
        record: MachineRecord,
        version: u64,
    },
    /// A machine's record was deleted.
    MachineRemoved(MachineId),
    /// This controller acts under a claim from now on.
    ClaimAcquired { claim: ClaimId, token: u64 },
    /// This controller must no longer act under a claim.
    ClaimLost(ClaimId),
    /// A shard's claim was verified for the first time, and the read of its records has started.
    RecordReadStarted { shard: usize },
    /// The predecessor's records of a shard have been read completely.
    RecordsRead(ReadRecords),
}

/// The records that the predecessor of a shard's holder has left.
pub(crate) struct ReadRecords {
    /// The shard.
    pub(crate) shard: usize,
    /// Work records.
    pub(crate) records: Vec<Entry>,
    /// Parts of the work records.
    pub(crate) parts: Vec<Entry>,
}

/// Inputs and outputs of one step of the session.
pub(crate) struct SessionContext<'a> {
    /// Settings.
    pub(crate) settings: &'a Settings,
    /// Current monotonic time.
    pub(crate) now: Micros,
    /// Requests to send, in order.
    pub(crate) outbox: Outbox<SessionRequest>,
    /// Events for other components, in order.
    pub(crate) events: Vec<SessionEvent>,
}

impl<'a> SessionContext<'a> {
    /// Creates a context without requests and events.
    pub(crate) fn new(settings: &'a Settings, now: Micros) -> Self {
        SessionContext {
            settings,
            now,
            outbox: Outbox::new(),
            events: Vec::new(),
        }
    }
}

/// State of other components that a tick depends on.
pub(crate) struct TickInputs {
    /// Duties have claims of their own, which replace the claim to leadership.
    pub(crate) duties_have_own_claims: bool,
    /// No agent can reach this controller.
    pub(crate) inbound_partitioned: bool,
    /// Another controller is ready.
    pub(crate) any_peer_ready: bool,
    /// By shard: whether its home member has been ready for long enough to receive the shard.
    pub(crate) home_ready: Vec<bool>,
}

/// A controller's session with the key-value store.
#[derive(Debug)]
pub(crate) struct StoreSession {
    lease: Lease,
    /// Indexed by [`ViewId`].
    watches: [Watch; 4],
    shard_claims: Vec<ClaimState>,
    leader_claim: ClaimState,
    next_claim: Micros,
    verification: Verification,
    /// Reads of predecessors' records in progress, by shard.
    record_reads: BTreeMap<usize, RecordRead>,
    last_reply: Micros,
}

impl StoreSession {
    /// Creates a session without a lease, views or claims.
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

    /// Sends all requests that are due.
    pub(crate) fn tick(&mut self, context: &mut SessionContext, inputs: &TickInputs) {
        self.lease_tick(context);
        for view_id in ViewId::ALL {
            self.watch_tick(context, view_id);
        }
        self.claims_tick(context, inputs);
        self.verification_tick(context);
        self.record_reads_tick(context);
    }

    /// Handles the reply of the store to a request of the session.
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
            SessionRequest::Watch(view_id) => self.watch_reply(context, view_id, reply),
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

    /// Records that the store has replied to a request of any component.
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

    /// Revision up to which a view contains all changes.
    pub(crate) fn revision(&self, view_id: ViewId) -> u64 {
        self.watch(view_id).revision()
    }

    /// Whether a view has been read completely.
    pub(crate) fn view_loaded(&self, view_id: ViewId) -> bool {
        self.watch(view_id).loaded()
    }

    /// Whether a view has been read completely and is at least as new as this revision.
    pub(crate) fn view_reaches(&self, view_id: ViewId, revision: u64) -> bool {
        self.watch(view_id).reaches(revision)
    }

    /// The claim as last seen, whichever member holds it; None if it is free.
    pub(crate) fn claim(&self, claim: ClaimId) -> Option<&Claim> {
        self.state(claim)?.seen.as_ref()
    }

    /// Number of shards that a member is seen to hold.
    pub(crate) fn shards_of(&self, member: usize) -> usize {
        let seen = self.shard_claims.iter().flat_map(|state| &state.seen);
        seen.filter(|claim| claim.member == member).count()
    }

    /// The claims under which this controller acts, with their fencing tokens: first shards, then leadership.
    pub(crate) fn held_claims(&self) -> impl Iterator<Item = (ClaimId, u64)> + '_ {
        self.claim_ids()
            .filter_map(|claim| self.held_token(claim).map(|token| (claim, token)))
    }

    /// Fencing token of a claim; None unless this controller acts under it.
    pub(crate) fn held_token(&self, claim: ClaimId) -> Option<u64> {
        self.state(claim)?.token()
    }

    /// Time at which the last successful verification of a claim was sent; None if there was none, or if this
    /// controller does not act under the claim.
    pub(crate) fn last_verified(&self, claim: ClaimId) -> Option<Micros> {
        self.state(claim)?.held?.last_verified
    }

    /// The highest fencing token that may be given out under a claim: a revision at which the store has confirmed the
    /// claim and which the view of machines has reached. Any later holder of the shard, or of a machine that this view
    /// shows in the shard, acquires it at a later revision. None unless this controller acts under the claim.
    pub(crate) fn token_limit(&self, claim: ClaimId) -> Option<u64> {
        let confirmed = self.state(claim)?.held?.confirmed_revision;
        Some(confirmed.min(self.revision(ViewId::Machines)))
    }

    /// All claims: first those on shards, then the one to leadership.
    fn claim_ids(&self) -> impl Iterator<Item = ClaimId> + 'static {
        let shards = (0..self.shard_claims.len()).map(ClaimId::Shard);
        shards.chain([ClaimId::Leader])
    }

    /// State of a claim; None if the shard does not exist.
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
