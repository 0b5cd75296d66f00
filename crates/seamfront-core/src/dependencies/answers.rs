//! Answers to users about jobs that wait for others.

use super::{
    BTreeSet, DependencyRequest, Engine, JobId, Micros, StatusQuery, StoreReply,
    UNDETERMINED_TIMEOUT,
};
use crate::store_session::Topic;

impl Engine {
    /// Nobody may be told that a job waits once one that it needs has been cancelled. The view is made as new as the
    /// confirmation; what is still open then is not known yet.
    pub(crate) fn answer_blocked(&mut self, polls: Vec<StatusQuery>, revision: u64) {
        if polls.is_empty() {
            return;
        }
        if self.store.view_loaded(Topic::Jobs) && self.store.revision(Topic::Jobs) < revision {
            self.users.in_flight += polls.len();
            let request = self.store.changes_request(Topic::Jobs);
            return self.send_to_store(request, DependencyRequest::Refresh { polls, revision });
        }
        let until = self.now + UNDETERMINED_TIMEOUT;
        self.answer_determined(polls.into_iter().map(|q| (q, until)).collect());
    }

    /// Answers what is clear by now; the view is newer than the confirmations and only gets newer.
    pub(super) fn answer_determined(&mut self, asked: Vec<(StatusQuery, Micros)>) {
        for (q, until) in asked {
            if self.users.ended.get(&q.id).is_some() || self.no_dependency_cancelled(&q.id) {
                self.answer_live(q.to, &q.id, q.created);
            } else if until <= self.now {
                self.reject_with_retry_after(q.to);
            } else {
                self.dependencies.undetermined.push((q, until));
            }
        }
    }

    pub(crate) fn refresh_reply(
        &mut self,
        polls: Vec<StatusQuery>,
        revision: u64,
        reply: StoreReply,
    ) {
        self.users.in_flight -= polls.len();
        let new = self.apply_changes(Topic::Jobs, reply);
        if new && self.store.view_reaches(Topic::Jobs, revision) {
            return self.answer_blocked(polls, revision);
        }
        for q in polls {
            self.reject_with_retry_after(q.to);
        }
    }

    /// All that it needs, directly or through others, is live in the view or known to be done.
    pub(super) fn no_dependency_cancelled(&self, id: &JobId) -> bool {
        let mut seen = BTreeSet::new();
        let mut todo = vec![id.clone()];
        while let Some(id) = todo.pop() {
            let Some(j) = self.jobs.get(&id).filter(|j| !j.dependencies.unread) else {
                return false;
            };
            if self.dependencies.cascades.contains_key(&id) {
                return false;
            }
            todo.extend(
                j.dependencies
                    .dependencies
                    .iter()
                    .filter(|n| seen.insert((*n).clone()))
                    .cloned(),
            );
        }
        true
    }
}
