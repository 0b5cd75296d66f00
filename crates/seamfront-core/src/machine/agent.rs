//! Liveness of a machine's agent: its incarnation, its heartbeats and our replies to them.

use crate::types::Micros;

/// An agent that leaves this many replies in a row unacknowledged is assumed not to receive them.
const UNACKNOWLEDGED_REPLIES_LIMIT: u32 = 4;

/// Replies to heartbeats that the agent has not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnacknowledgedReplies {
    /// Number of replies.
    pub count: u32,
    /// Time of the first one.
    pub since: Micros,
}

/// The agent of a machine, as known from its heartbeats and its replies to direct commands.
#[derive(Clone, Debug, Default)]
pub struct Agent {
    /// Address at which it accepts direct commands.
    pub address: Option<String>,
    /// Its incarnation, 0 before its first heartbeat.
    pub incarnation: u64,
    /// Time of the first message of this incarnation: a heartbeat or a reply to a direct command.
    pub incarnation_seen_at: Option<Micros>,
    /// Sequence number of the newest message of this incarnation.
    pub sequence: u64,
    /// Time of the newest heartbeat. It may have been delayed by the network, or come from a machine that
    /// receives no replies.
    pub last_heartbeat: Option<Micros>,
    /// Time of the newest heartbeat that showed our current fencing token. Such a heartbeat was sent recently, by an
    /// agent that receives our replies.
    pub last_acknowledged: Option<Micros>,
    /// Replies since `last_acknowledged` that the agent has not acknowledged.
    pub unacknowledged: Option<UnacknowledgedReplies>,
    /// Time of this holder's last reply with orders. The agent counts the lease that a reply renews from an earlier
    /// time, that of the heartbeat.
    pub last_reply: Option<Micros>,
    /// Its lease expired, and no heartbeat has shown our current token since.
    pub lease_expired: bool,
    /// Number of exited tasks that it listed last.
    pub exited_listed: usize,
}

impl Agent {
    /// Time since the first reply that it has not acknowledged.
    pub fn unacknowledged_for(&self, now: Micros) -> Micros {
        self.unacknowledged
            .map_or(Micros::ZERO, |replies| now - replies.since)
    }

    /// Counts a reply to a heartbeat that did not show our current token.
    pub(super) fn count_unacknowledged(&mut self, now: Micros) {
        let replies = self.unacknowledged.get_or_insert(UnacknowledgedReplies {
            count: 0,
            since: now,
        });
        replies.count += 1;
    }

    /// Whether it has left so many replies unacknowledged that it is assumed not to receive them.
    pub(super) fn misses_replies(&self) -> bool {
        self.unacknowledged
            .is_some_and(|replies| replies.count >= UNACKNOWLEDGED_REPLIES_LIMIT)
    }
}
