//! Answers to users about jobs that wait for others.

use super::*;

impl Engine {
    /// Nobody may be told that a job waits once one that it needs has been cancelled. The view is made as new as the
    /// confirmation; what is still open then is not known yet.
    pub(crate) fn answer_waiting(&mut self, polls: Vec<Question>, revision: u64) {
        if polls.is_empty() {
            return;
        }
        let view = &self.store.watches[0];
        if view.loaded() && view.seen() < revision {
            self.users.in_flight += polls.len();
            let request = StateCall::Changes {
                prefix: "job/".to_owned(),
                after: view.seen(),
                hold: Micros::ZERO,
            };
            return self.state(request, Pending::Refresh { polls, revision });
        }
        let until = self.now + UNCLEAR_FOR;
        self.answer_clear(polls.into_iter().map(|q| (q, until)).collect());
    }

    /// Answers what is clear by now; the view is newer than the confirmations and only gets newer.
    pub(super) fn answer_clear(&mut self, asked: Vec<(Question, Micros)>) {
        for (q, until) in asked {
            if self.users.ended.get(&q.id).is_some() || self.nothing_cancelled(&q.id) {
                self.answer_live(q.to, &q.id, q.created);
            } else if until <= self.now {
                self.later(q.to);
            } else {
                self.chains.unclear.push((q, until));
            }
        }
    }

    pub(crate) fn refresh_reply(&mut self, polls: Vec<Question>, revision: u64, reply: StateReply) {
        self.users.in_flight -= polls.len();
        let new = self.apply_changes(0, reply);
        if new && self.store.watches[0].loaded() && self.store.watches[0].seen() >= revision {
            return self.answer_waiting(polls, revision);
        }
        for q in polls {
            self.later(q.to);
        }
    }

    /// All that it needs, directly or through others, is live in the view or known to be done.
    pub(super) fn nothing_cancelled(&self, id: &JobId) -> bool {
        let mut seen = BTreeSet::new();
        let mut todo = vec![id.clone()];
        while let Some(id) = todo.pop() {
            let Some(j) = self.jobs.get(&id).filter(|j| !j.chain.unread) else {
                return false;
            };
            if self.chains.orphans.contains_key(&id) {
                return false;
            }
            todo.extend(
                j.chain
                    .needs
                    .iter()
                    .filter(|n| seen.insert((*n).clone()))
                    .cloned(),
            );
        }
        true
    }
}
