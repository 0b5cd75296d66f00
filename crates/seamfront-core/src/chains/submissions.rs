//! Submissions that name other jobs, and lists of needed jobs that do not fit into one value.

use super::*;

impl Engine {
    /// A submission may name only jobs that were accepted. What neither the view nor our memory knows is asked of
    /// the store, one after the other; what was found is remembered for the user's next try.
    pub(crate) fn check_needs(&mut self, to: ReplyTo, spec: Rc<JobSpec>) {
        let left = spec.needs.clone();
        self.check_left(to, spec, left);
    }

    pub(super) fn check_left(&mut self, to: ReplyTo, spec: Rc<JobSpec>, mut left: Vec<JobId>) {
        left.retain(|n| !self.jobs.contains_key(n) && self.users.ended.get(n).is_none());
        if let Some(n) = left.last() {
            self.users.in_flight += 1;
            let key = job_key(n);
            return self.state(
                StateCall::Get { key },
                Pending::NeedKnown {
                    to,
                    spec,
                    left,
                    end: false,
                },
            );
        }
        let cancelled = spec
            .needs
            .iter()
            .find(|n| self.users.ended.get(n).is_some_and(|e| e.cancelled));
        if let Some(n) = cancelled {
            info!(job = %spec.id, needs = %n, "accepted and cancelled: a job that it needs is cancelled");
            let end = EndRecord {
                cancelled: true,
                tasks: spec.tasks,
            };
            let when = vec![(job_key(&spec.id), 0), (end_key(&spec.id), 0)];
            let value = serde_json::to_value(end).unwrap_or_default();
            let apply = vec![Write::Put {
                key: end_key(&spec.id),
                value,
                lease: None,
            }];
            self.users.in_flight += 1;
            return self.state(
                StateCall::Commit { when, apply },
                Pending::SubmitCancelled { to, spec },
            );
        }
        let parts = self.needs_in_parts(&spec);
        if parts.len() > 1 {
            return self.write_needs(to, spec, parts, 1);
        }
        self.submit_checked(to, spec);
    }

    pub(crate) fn need_known_reply(
        &mut self,
        to: ReplyTo,
        spec: Rc<JobSpec>,
        mut left: Vec<JobId>,
        end: bool,
        reply: StateReply,
    ) {
        self.users.in_flight -= 1;
        let Some(n) = left.last().cloned() else {
            return self.later(to);
        };
        match reply {
            StateReply::Entry(_) if !end => {
                left.pop();
                self.check_left(to, spec, left);
            }
            StateReply::Entry(e) => match serde_json::from_value::<EndRecord>(e.value) {
                Ok(record) => {
                    self.end_learned(&n, record);
                    self.check_left(to, spec, left);
                }
                Err(_) => self.later(to),
            },
            StateReply::Missing if !end => {
                self.users.in_flight += 1;
                let key = end_key(&n);
                self.state(
                    StateCall::Get { key },
                    Pending::NeedKnown {
                        to,
                        spec,
                        left,
                        end: true,
                    },
                );
            }
            StateReply::Missing => self.verify_unknown(to, spec, Impossible::NeedNeverAccepted(n)),
            _ => self.later(to),
        }
    }

    pub(crate) fn submit_cancelled_reply(
        &mut self,
        to: ReplyTo,
        spec: &JobSpec,
        reply: &StateReply,
    ) {
        self.users.in_flight -= 1;
        match reply {
            StateReply::Committed { .. } => {
                let end = EndRecord {
                    cancelled: true,
                    tasks: spec.tasks,
                };
                self.users.ended.insert(&spec.id, end);
                let (id, state) = (spec.id.clone(), ShownState::Cancelled);
                self.answer(
                    to,
                    Answer::Status {
                        created: true,
                        id,
                        state,
                        done: 0,
                        running: 0,
                    },
                );
            }
            StateReply::Conflict { .. } => self.look_up(to, spec.id.clone(), Wish::Poll),
            _ => self.later(to),
        }
    }

    /// The list as it fits into values: the first part goes with the job.
    pub(super) fn needs_in_parts(&self, spec: &JobSpec) -> Vec<Vec<JobId>> {
        let own = JobSpec {
            needs: Vec::new(),
            ..spec.clone()
        };
        let own = serde_json::to_string(&own).map_or(0, |s| s.len()) + 40;
        let mut parts = vec![Vec::new()];
        let (mut room, mut used) = (self.cfg.value_bytes.saturating_sub(own), 0);
        for n in &spec.needs {
            let size = n.as_str().len() + 3;
            if used + size > room {
                parts.push(Vec::new());
                (room, used) = (self.cfg.value_bytes.saturating_sub(20), 0);
            }
            used += size;
            if let Some(p) = parts.last_mut() {
                p.push(n.clone());
            }
        }
        parts
    }

    /// The parts are there before the job is: a part without its job means nothing to anybody.
    pub(super) fn write_needs(
        &mut self,
        to: ReplyTo,
        spec: Rc<JobSpec>,
        parts: Vec<Vec<JobId>>,
        next: usize,
    ) {
        if next >= parts.len() {
            let (needs, needs_parts) = (parts[0].clone(), parts.len() as u32 - 1);
            return self.submit_checked(
                to,
                Rc::new(JobSpec {
                    needs,
                    needs_parts,
                    ..(*spec).clone()
                }),
            );
        }
        let until = parts.len().min(next + self.cfg.txn_ops.min(20));
        let put = |k: usize| {
            let value = serde_json::to_value(&parts[k]).unwrap_or_default();
            Write::Put {
                key: needs_key(&spec.id, k),
                value,
                lease: None,
            }
        };
        let apply = (next..until).map(put).collect();
        self.users.in_flight += 1;
        let pending = Pending::NeedsWritten {
            to,
            spec,
            parts,
            next: until,
        };
        self.state(
            StateCall::Commit {
                when: vec![],
                apply,
            },
            pending,
        );
    }

    pub(crate) fn needs_written(
        &mut self,
        to: ReplyTo,
        spec: Rc<JobSpec>,
        parts: Vec<Vec<JobId>>,
        next: usize,
        reply: &StateReply,
    ) {
        self.users.in_flight -= 1;
        match reply {
            StateReply::Committed { .. } => self.write_needs(to, spec, parts, next),
            _ => self.later(to),
        }
    }

    pub(crate) fn needs_read(
        &mut self,
        id: JobId,
        version: u64,
        mut got: Vec<Entry>,
        reply: StateReply,
    ) {
        let Some(asked) = self.chains.unread.get_mut(&id) else {
            return;
        };
        let Some(j) = self.jobs.get_mut(&id).filter(|j| j.version == version) else {
            return;
        };
        (asked.busy, asked.at) = (false, self.now + AGAIN);
        let StateReply::Page { entries, more, .. } = reply else {
            return;
        };
        got.extend(entries);
        if more {
            asked.busy = true;
            let after = got.last().map(|e| e.key.clone());
            let request = StateCall::List {
                prefix: needs_prefix(&id),
                after,
            };
            return self.state(request, Pending::NeedsRead { id, version, got });
        }
        let lists: Vec<Vec<JobId>> = got
            .into_iter()
            .filter_map(|e| serde_json::from_value(e.value).ok())
            .collect();
        if lists.len() < j.spec.needs_parts as usize {
            return warn!(job = %id, "a part of what it needs can't be read");
        }
        self.chains.unread.remove(&id);
        j.chain.unread = false;
        self.wait_for(&id, lists.into_iter().flatten().collect());
        self.released(&id);
        self.urge(&id);
    }
}
