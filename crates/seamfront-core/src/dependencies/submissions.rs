//! Submissions that name other jobs, and lists of needed jobs that do not fit into one value.

use super::{
    dependencies_key, dependencies_prefix, end_key, info, job_key, warn, Answer, ClientRequestId,
    DependencyRequest, EndRecord, Engine, Entry, JobId, JobSpec, JobState, LookupPurpose, Rc,
    StoreReply, StoreRequest, SubmissionError, Write, AGAIN,
};

impl Engine {
    /// A submission may name only jobs that were accepted. What neither the view nor our memory knows is asked of
    /// the store, one after the other; what was found is remembered for the user's next try.
    pub(crate) fn check_dependencies(&mut self, to: ClientRequestId, spec: Rc<JobSpec>) {
        let left = spec.dependencies.clone();
        self.check_unresolved(to, spec, left);
    }

    pub(super) fn check_unresolved(
        &mut self,
        to: ClientRequestId,
        spec: Rc<JobSpec>,
        mut left: Vec<JobId>,
    ) {
        left.retain(|n| !self.jobs.contains_key(n) && self.users.ended.get(n).is_none());
        if let Some(n) = left.last() {
            self.users.in_flight += 1;
            let key = job_key(n);
            return self.send_to_store(
                StoreRequest::Get { key },
                DependencyRequest::Known {
                    to,
                    spec,
                    left,
                    end: false,
                },
            );
        }
        let cancelled = spec
            .dependencies
            .iter()
            .find(|n| self.users.ended.get(n).is_some_and(|e| e.cancelled));
        if let Some(n) = cancelled {
            info!(job = %spec.id, dependencies = %n, "accepted and cancelled: a job that it needs is cancelled");
            let end = EndRecord {
                cancelled: true,
                tasks: spec.tasks,
            };
            let conditions = vec![(job_key(&spec.id), 0), (end_key(&spec.id), 0)];
            let value = serde_json::to_value(end).unwrap_or_default();
            let writes = vec![Write::Put {
                key: end_key(&spec.id),
                value,
                lease: None,
            }];
            self.users.in_flight += 1;
            return self.send_to_store(
                StoreRequest::CompareAndSwap { conditions, writes },
                DependencyRequest::SubmitCancelled { to, spec },
            );
        }
        let parts = self.split_dependencies(&spec);
        if parts.len() > 1 {
            return self.write_dependency_parts(to, spec, parts, 1);
        }
        self.submit_checked(to, spec);
    }

    pub(crate) fn dependency_known_reply(
        &mut self,
        to: ClientRequestId,
        spec: Rc<JobSpec>,
        mut left: Vec<JobId>,
        end: bool,
        reply: StoreReply,
    ) {
        self.users.in_flight -= 1;
        let Some(n) = left.last().cloned() else {
            return self.reject_with_retry_after(to);
        };
        match reply {
            StoreReply::Entry(_) if !end => {
                left.pop();
                self.check_unresolved(to, spec, left);
            }
            StoreReply::Entry(e) => match serde_json::from_value::<EndRecord>(e.value) {
                Ok(record) => {
                    self.end_confirmed(&n, record);
                    self.check_unresolved(to, spec, left);
                }
                Err(_) => self.reject_with_retry_after(to),
            },
            StoreReply::Missing if !end => {
                self.users.in_flight += 1;
                let key = end_key(&n);
                self.send_to_store(
                    StoreRequest::Get { key },
                    DependencyRequest::Known {
                        to,
                        spec,
                        left,
                        end: true,
                    },
                );
            }
            StoreReply::Missing => {
                self.verify_unknown(to, spec, SubmissionError::UnknownDependency(n))
            }
            _ => self.reject_with_retry_after(to),
        }
    }

    pub(crate) fn submit_cancelled_reply(
        &mut self,
        to: ClientRequestId,
        spec: &JobSpec,
        reply: &StoreReply,
    ) {
        self.users.in_flight -= 1;
        match reply {
            StoreReply::Committed { .. } => {
                let end = EndRecord {
                    cancelled: true,
                    tasks: spec.tasks,
                };
                self.users.ended.insert(&spec.id, end);
                let (id, state) = (spec.id.clone(), JobState::Cancelled);
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
            StoreReply::Conflict { .. } => self.look_up(to, spec.id.clone(), LookupPurpose::Poll),
            _ => self.reject_with_retry_after(to),
        }
    }

    /// The list as it fits into values: the first part goes with the job.
    pub(super) fn split_dependencies(&self, spec: &JobSpec) -> Vec<Vec<JobId>> {
        let own = JobSpec {
            dependencies: Vec::new(),
            ..spec.clone()
        };
        let own = serde_json::to_string(&own).map_or(0, |s| s.len()) + 40;
        let mut parts = vec![Vec::new()];
        let (mut room, mut used) = (self.settings.value_bytes.saturating_sub(own), 0);
        for n in &spec.dependencies {
            let size = n.as_str().len() + 3;
            if used + size > room {
                parts.push(Vec::new());
                (room, used) = (self.settings.value_bytes.saturating_sub(20), 0);
            }
            used += size;
            if let Some(p) = parts.last_mut() {
                p.push(n.clone());
            }
        }
        parts
    }

    /// The parts are there before the job is: a part without its job means nothing to anybody.
    pub(super) fn write_dependency_parts(
        &mut self,
        to: ClientRequestId,
        spec: Rc<JobSpec>,
        parts: Vec<Vec<JobId>>,
        next: usize,
    ) {
        if next >= parts.len() {
            let (dependencies, dependency_parts) = (parts[0].clone(), parts.len() as u32 - 1);
            return self.submit_checked(
                to,
                Rc::new(JobSpec {
                    dependencies,
                    dependency_parts,
                    ..(*spec).clone()
                }),
            );
        }
        let until = parts.len().min(next + self.settings.txn_ops.min(20));
        let put = |k: usize| {
            let value = serde_json::to_value(&parts[k]).unwrap_or_default();
            Write::Put {
                key: dependencies_key(&spec.id, k),
                value,
                lease: None,
            }
        };
        let writes = (next..until).map(put).collect();
        self.users.in_flight += 1;
        let pending = DependencyRequest::PartsWritten {
            to,
            spec,
            parts,
            next: until,
        };
        self.send_to_store(
            StoreRequest::CompareAndSwap {
                conditions: vec![],
                writes,
            },
            pending,
        );
    }

    pub(crate) fn dependency_parts_written(
        &mut self,
        to: ClientRequestId,
        spec: Rc<JobSpec>,
        parts: Vec<Vec<JobId>>,
        next: usize,
        reply: &StoreReply,
    ) {
        self.users.in_flight -= 1;
        match reply {
            StoreReply::Committed { .. } => self.write_dependency_parts(to, spec, parts, next),
            _ => self.reject_with_retry_after(to),
        }
    }

    pub(crate) fn dependency_parts_read(
        &mut self,
        id: JobId,
        version: u64,
        mut got: Vec<Entry>,
        reply: StoreReply,
    ) {
        let Some(asked) = self.dependencies.unread.get_mut(&id) else {
            return;
        };
        let Some(j) = self.jobs.get_mut(&id).filter(|j| j.version == version) else {
            return;
        };
        (asked.busy, asked.at) = (false, self.now + AGAIN);
        let StoreReply::Page { entries, more, .. } = reply else {
            return;
        };
        got.extend(entries);
        if more {
            asked.busy = true;
            let after = got.last().map(|e| e.key.clone());
            let request = StoreRequest::List {
                prefix: dependencies_prefix(&id),
                after,
            };
            return self.send_to_store(request, DependencyRequest::PartsRead { id, version, got });
        }
        let lists: Vec<Vec<JobId>> = got
            .into_iter()
            .filter_map(|e| serde_json::from_value(e.value).ok())
            .collect();
        if lists.len() < j.spec.dependency_parts as usize {
            return warn!(job = %id, "a part of what it needs can't be read");
        }
        self.dependencies.unread.remove(&id);
        j.dependencies.unread = false;
        self.add_dependencies(&id, lists.into_iter().flatten().collect());
        self.unblock_if_ready(&id);
        self.propagate_urgency(&id);
    }
}
