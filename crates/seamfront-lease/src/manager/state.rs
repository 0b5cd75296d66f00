//! What a member knows of claims, members and duties, and what its requests to the store are for.

use crate::log::OperationLog;
use crate::permit::Verification;
use crate::record::{MemberRecord, MoveRecord};
use crate::time::Micros;

/// A claim as the view shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SeenClaim {
    pub version: u64,
    pub member: String,
    pub lease: u64,
}

/// How far a holder has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The log is being read.
    Loading,
    /// Operations of a predecessor are being settled.
    Settling,
    /// The duty is performed.
    Active,
    /// It goes to another member once nothing is in flight.
    HandingOver {
        to: String,
        since: Micros,
        sent: bool,
    },
}

/// A duty that is held, by its index, and the token that it is held under.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldClaim {
    pub duty: usize,
    pub fencing_token: u64,
}

/// Whom the embedding program wants a duty handed over to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum HandoverTarget {
    /// This member.
    Member(String),
    /// Whoever has least to do.
    LeastLoaded,
}

/// An operator's request to move a duty, with its version.
#[derive(Clone, Debug)]
pub(super) struct SeenMove {
    pub record: MoveRecord,
    pub version: u64,
}

/// A duty that is held here.
#[derive(Debug)]
pub(super) struct Holding {
    pub fencing_token: u64,
    pub since: Micros,
    pub phase: Phase,
    pub verification: Verification,
    /// The claim must be verified before the next effect.
    pub verification_due: bool,
    pub log: OperationLog,
    pub log_busy: bool,
    pub log_next: Micros,
}

/// A duty, held here or not.
#[derive(Debug)]
pub(super) struct Duty {
    pub name: String,
    pub claim: Option<SeenClaim>,
    pub free_since: Option<Micros>,
    pub claim_busy: bool,
    pub claim_next: Micros,
    /// The last token that was given up here. It is never acted on again, even if the store still has it as ours.
    pub last_released_token: u64,
    pub holding: Option<Holding>,
    /// A token that was lost, until its successor is known.
    pub lost: Option<u64>,
    /// Not claimed before, since its log could not be read.
    pub unreadable_until: Micros,
    /// The embedding program wants it handed over.
    pub handover_wanted: Option<HandoverTarget>,
}

/// Another member's record, or our own, with its version.
#[derive(Clone, Debug)]
pub(super) struct SeenMember {
    pub record: MemberRecord,
    pub version: u64,
}

/// What a request to the store is for.
#[derive(Debug)]
pub(super) enum Pending {
    Grant {
        sent: Micros,
    },
    Renew {
        sent: Micros,
        lease: u64,
    },
    View,
    Register {
        record: MemberRecord,
    },
    Unregister,
    Version,
    Claim {
        duty: usize,
        lease: u64,
        sent: Micros,
    },
    Verify {
        sent: Micros,
        claims: Vec<HeldClaim>,
    },
    LogRead {
        duty: usize,
        fencing_token: u64,
    },
    LogWrite {
        duty: usize,
        fencing_token: u64,
        sent: Micros,
    },
    Transfer {
        duty: usize,
        fencing_token: u64,
        to: String,
    },
    Release {
        duty: usize,
    },
    Switch,
}
