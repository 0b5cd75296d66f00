//! What is known of the other controllers from their announcements.

use crate::types::Micros;

/// A controller that was not heard of for this long counts as silent.
const SILENCE: Micros = Micros::from_secs(2);
/// How long a controller must have been ready before it gets its shard back.
const READY_BEFORE_TRANSFER: Micros = Micros::from_secs(3);

/// What another controller last announced.
#[derive(Clone, Debug, Default)]
struct Peer {
    last_heard: Micros,
    /// Since when it has announced itself as ready.
    ready_since: Option<Micros>,
    /// Writes that were waiting there.
    pending_writes: usize,
}

/// What a controller announces of itself.
pub(super) struct Announcement {
    /// Whether it has all that it needs to take requests.
    pub(super) ready: bool,
    /// Writes that wait there.
    pub(super) pending_writes: usize,
}

impl Peer {
    fn silent(&self, now: Micros) -> bool {
        now - self.last_heard >= SILENCE
    }
}

/// How many writes wait where, by the last announcements.
pub(super) struct WriteDemand {
    /// Here; at least one.
    pub(super) own: i64,
    /// At all controllers that were heard lately.
    pub(super) total: i64,
    /// Members that are silent.
    pub(super) silent: Vec<usize>,
}

/// All controllers, by member; this one's own entry is not used.
#[derive(Debug)]
pub(crate) struct Peers {
    me: usize,
    peers: Vec<Peer>,
    /// What this controller last announced.
    announced_writes: usize,
}

impl Peers {
    /// Nothing is known of anybody.
    pub(super) fn new(me: usize, members: usize) -> Self {
        Peers {
            me,
            peers: vec![Peer::default(); members],
            announced_writes: 0,
        }
    }

    /// Members other than this controller.
    pub(super) fn others(&self) -> impl Iterator<Item = usize> + 'static {
        let me = self.me;
        (0..self.peers.len()).filter(move |member| *member != me)
    }

    fn other_peers(&self) -> impl Iterator<Item = &Peer> {
        self.others().map(|member| &self.peers[member])
    }

    /// Takes in an announcement. False if there is no such member.
    pub(super) fn announced(
        &mut self,
        member: usize,
        now: Micros,
        announcement: Announcement,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(member) else {
            return false;
        };
        let gap = now - peer.last_heard > SILENCE;
        peer.last_heard = now;
        peer.pending_writes = announcement.pending_writes;
        peer.ready_since = match peer.ready_since {
            _ if !announcement.ready => None,
            Some(since) if !gap => Some(since),
            _ => Some(now),
        };
        true
    }

    /// This controller has announced how many writes wait here.
    pub(super) fn writes_announced(&mut self, pending_writes: usize) {
        self.announced_writes = pending_writes;
    }

    /// Whether any other controller is ready. Workers reach it, or it would not be.
    pub(super) fn any_ready(&self, now: Micros) -> bool {
        self.other_peers()
            .any(|peer| peer.ready_since.is_some() && !peer.silent(now))
    }

    /// Whether there are other controllers and all of them are silent.
    pub(super) fn all_silent(&self, now: Micros) -> bool {
        self.peers.len() > 1 && self.other_peers().all(|peer| peer.silent(now))
    }

    /// By member: it has been ready for long enough to get its shard back.
    pub(super) fn ready_for_transfer(&self, now: Micros) -> Vec<bool> {
        let settled = |peer: &Peer| {
            peer.ready_since
                .is_some_and(|since| now - since > READY_BEFORE_TRANSFER)
        };
        self.peers
            .iter()
            .map(|peer| settled(peer) && !peer.silent(now))
            .collect()
    }

    /// How many writes wait where.
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
