//! The state of the other controllers as known from their announcements.

use crate::types::Micros;

/// A controller whose last announcement is this old counts as silent.
const PEER_SILENCE_TIMEOUT: Micros = Micros::from_secs(2);
/// How long a controller must have been ready before its shard is transferred to it.
const READY_BEFORE_TRANSFER: Micros = Micros::from_secs(3);

/// The last announcement of another controller.
#[derive(Clone, Debug, Default)]
struct Peer {
    last_heard: Micros,
    /// Since when it has continuously announced itself as ready.
    ready_since: Option<Micros>,
    /// Number of writes that were pending there.
    pending_writes: usize,
}

/// What a controller announces about itself.
pub(super) struct Announcement {
    /// Whether it can serve requests and agents can reach it.
    pub(super) ready: bool,
    /// Number of writes that are pending there.
    pub(super) pending_writes: usize,
}

impl Peer {
    fn silent(&self, now: Micros) -> bool {
        now - self.last_heard >= PEER_SILENCE_TIMEOUT
    }
}

/// Pending writes of the controllers according to their last announcements.
pub(super) struct WriteDemand {
    /// Writes pending at this controller; at least 1.
    pub(super) own: i64,
    /// Writes pending at this controller and at those that are not silent; at least 1 each.
    pub(super) total: i64,
    /// Silent members.
    pub(super) silent: Vec<usize>,
}

/// All controllers, indexed by member; the entry of this controller is not used.
#[derive(Debug)]
pub(crate) struct Peers {
    member_index: usize,
    peers: Vec<Peer>,
    /// Number of pending writes that this controller last announced.
    announced_writes: usize,
}

impl Peers {
    /// Creates the initial state, in which no announcement has been received.
    pub(super) fn new(member_index: usize, members: usize) -> Self {
        Peers {
            member_index,
            peers: vec![Peer::default(); members],
            announced_writes: 0,
        }
    }

    /// All members except this controller.
    pub(super) fn others(&self) -> impl Iterator<Item = usize> + 'static {
        let member_index = self.member_index;
        (0..self.peers.len()).filter(move |member| *member != member_index)
    }

    fn other_peers(&self) -> impl Iterator<Item = &Peer> {
        self.others().map(|member| &self.peers[member])
    }

    /// Records an announcement. False if there is no such member.
    pub(super) fn announced(
        &mut self,
        member: usize,
        now: Micros,
        announcement: Announcement,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(member) else {
            return false;
        };
        let was_silent = now - peer.last_heard > PEER_SILENCE_TIMEOUT;
        peer.last_heard = now;
        peer.pending_writes = announcement.pending_writes;
        peer.ready_since = match peer.ready_since {
            _ if !announcement.ready => None,
            Some(since) if !was_silent => Some(since),
            _ => Some(now),
        };
        true
    }

    /// Records the number of pending writes that this controller has announced.
    pub(super) fn writes_announced(&mut self, pending_writes: usize) {
        self.announced_writes = pending_writes;
    }

    /// Whether any other controller is ready, which includes that agents can reach it.
    pub(super) fn any_ready(&self, now: Micros) -> bool {
        self.other_peers()
            .any(|peer| peer.ready_since.is_some() && !peer.silent(now))
    }

    /// Whether there are other controllers and all of them are silent.
    pub(super) fn all_silent(&self, now: Micros) -> bool {
        self.peers.len() > 1 && self.other_peers().all(|peer| peer.silent(now))
    }

    /// By member: whether it has been ready for long enough to have its shard transferred to it.
    pub(super) fn ready_for_transfer(&self, now: Micros) -> Vec<bool> {
        let ready_long_enough = |peer: &Peer| {
            peer.ready_since
                .is_some_and(|since| now - since > READY_BEFORE_TRANSFER)
        };
        self.peers
            .iter()
            .map(|peer| ready_long_enough(peer) && !peer.silent(now))
            .collect()
    }

    /// Pending writes of all controllers.
    pub(super) fn write_demand(&self, now: Micros) -> WriteDemand {
        let own = self.announced_writes as i64 + 1;
        let mut demand = WriteDemand {
            own,
            total: own,
            silent: Vec::new(),
        };
        for member in self.others() {
            let peer = &self.peers[member];
            if !peer.silent(now) && peer.last_heard > Micros::ZERO {
                demand.total += peer.pending_writes as i64 + 1;
            } else {
                demand.silent.push(member);
            }
        }
        demand
    }
}
