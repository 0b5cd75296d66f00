//! Liveness of a machine's agent: its incarnation, its heartbeats and the replies to them.

use crate::types::Micros;

/// From this many replies in a row that an agent did not acknowledge, they are taken not to arrive.
const MAX_UNACKNOWLEDGED_REPLIES: u32 = 4;

/// Replies to heartbeats that the agent has not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnacknowledgedReplies {
    /// Number of replies.
    pub count: u32,
    /// Time of the first of them.
    pub since: Micros,
}

/// The agent on a machine, as known from its heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Agent {
    /// Address at which it takes direct commands.
    pub address: Option<String>,
    /// Its incarnation, 0 before its first heartbeat.
    pub incarnation: u64,
    /// Time of the first message of this incarnation, of whatever kind.
    pub incarnation_seen_at: Option<Micros>,
    /// Sequence number of the newest message of this incarnation.
    pub sequence: u64,
    /// Time of the newest heartbeat. It may have been delayed by the network, or come from a machine that
    /// receives no replies.
    pub last_heartbeat: Option<Micros>,
    /// Time of the newest heartbeat that showed our present fencing token: recent, and from an agent that
    /// receives our replies.
    pub last_acknowledged: Option<Micros>,
    /// Replies since then that it has not acknowledged.
    pub unacknowledged: Option<UnacknowledgedReplies>,
    /// Time of the last successful reply of this holder: the agent's lease was renewed before it.
    pub last_reply: Option<Micros>,
    /// Its lease expired and it has sent no heartbeat since.
    pub lease_expired: bool,
}

impl Agent {
    /// Time since the first reply that it has not acknowledged.
    pub fn unacknowledged_for(&self, now: Micros) -> Micros {
        self.unacknowledged
            .map_or(Micros::ZERO, |replies| now - replies.since)
    }

    /// Counts a reply that it has yet to acknowledge.
    pub(super) fn count_unacknowledged(&mut self, now: Micros) {
        let replies = self.unacknowledged.get_or_insert(UnacknowledgedReplies {
            count: 0,
            since: now,
        });
        replies.count += 1;
    }

    /// So many replies in a row were not acknowledged that they are taken not to arrive.
    pub(super) fn misses_replies(&self) -> bool {
        self.unacknowledged
            .is_some_and(|replies| replies.count >= MAX_UNACKNOWLEDGED_REPLIES)
    }
}
