//! What a member knows of claims, members and duties, and the purposes of its pending requests to the store.

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

/// The phase of holding a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The log is being read.
    Loading,
    /// Operations of predecessors are being settled.
    Settling,
    /// The duty is performed.
    Active,
    /// The duty is transferred to another member once no request of it is in flight.
    Transferring {
        to: String,
        since: Micros,
        sent: bool,
    },
}

/// A held duty, by its index, and the token under which it is held.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldClaim {
    pub duty: usize,
    pub fencing_token: u64,
}

/// The target of a transfer that the embedding program requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TransferTarget {
    /// This member.
    Member(String),
    /// The member with the fewest duties, and the least load of several.
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
    pub log_in_flight: bool,
    pub log_retry_at: Micros,
}

/// A duty, held here or not.
#[derive(Debug)]
pub(super) struct Duty {
    pub name: String,
    pub claim: Option<SeenClaim>,
    pub free_since: Option<Micros>,
    pub claim_in_flight: bool,
    /// The claim is neither acquired nor transferred before this time.
    pub claim_retry_at: Micros,
    /// The last token that was given up here. It is never used again, even if the claim still names this member.
    pub last_released_token: u64,
    pub holding: Option<Holding>,
    /// A lost token whose successor is not known yet.
    pub lost_token: Option<u64>,
    /// The duty is not claimed before this time because its log could not be read.
    pub unreadable_until: Micros,
    /// A transfer that the embedding program requested.
    pub transfer_requested: Option<TransferTarget>,
}

/// The record of any member, with its version.
#[derive(Clone, Debug)]
pub(super) struct SeenMember {
    pub record: MemberRecord,
    pub version: u64,
}

/// The purpose of a pending request to the store.
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
