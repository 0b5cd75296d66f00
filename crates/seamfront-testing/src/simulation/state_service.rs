//! The way to the state service and back: delays, losses, outages, late transactions, open watches.

use super::{
    ms, store, CallId, Command, Event, Micros, RngExt, Simulation, StoreReply, StoreRequest, Write,
    LARGE,
};

impl Simulation {
    pub(super) fn state(
        &mut self,
        node: usize,
        life: u64,
        call: CallId,
        request: StoreRequest,
        late: bool,
    ) {
        let unknown = |w: &mut Simulation| {
            let command = Command::Store {
                call,
                reply: StoreReply::Unknown,
            };
            w.after(
                ms(1_500),
                Event::ToNode {
                    node,
                    life,
                    command: Box::new(command),
                },
            );
        };
        if self.unknown_to_old(node, &request) {
            let reply = self.answer_to_unknown(&request);
            return self.tell(node, life, Command::Store { call, reply });
        }
        let n = &self.nodes[node];
        let (until, wait) = n.cut_state;
        if until > self.now {
            if !late {
                unknown(self);
            }
            if wait && !matches!(request, StoreRequest::Watch { .. }) {
                let d = until - self.now + ms(1);
                self.after(
                    d,
                    Event::State {
                        node,
                        life,
                        call,
                        request,
                        late: true,
                    },
                );
            }
            return;
        }
        if self.outage > self.now || n.refused > self.now {
            if let (StoreRequest::Watch { wait, .. }, false) = (&request, late) {
                if *wait > Micros::ZERO {
                    let until = self.now + *wait;
                    self.watches.push((node, life, call, request, until));
                    return;
                }
            }
            if !late {
                self.tell(
                    node,
                    life,
                    Command::Store {
                        call,
                        reply: StoreReply::Refused,
                    },
                );
            }
            return;
        }
        let second = self
            .asked_of_store
            .entry(self.now.0 / 1_000_000)
            .or_default();
        second.0 += 1;
        if let StoreRequest::CompareAndSwap { writes, .. } = &request {
            second.1 += writes.len() as u32;
            if self.scale.machines >= LARGE {
                self.largest.1 = self.largest.1.max(writes.iter().map(store::size_of).sum());
            }
        }
        if !self.state_takes(&request) {
            self.cover("the state service refused for its rate");
            if !late {
                self.tell(
                    node,
                    life,
                    Command::Store {
                        call,
                        reply: StoreReply::Refused,
                    },
                );
            }
            return;
        }
        self.leases_expire();
        let writes =
            matches!(&request, StoreRequest::CompareAndSwap { writes, .. } if !writes.is_empty());
        if !late && writes && self.now < self.delay_writes_until && self.rng.random_range(0..4) == 0
        {
            unknown(self);
            let d = ms(self.rng.random_range(2_000..12_000));
            return self.after(
                d,
                Event::State {
                    node,
                    life,
                    call,
                    request,
                    late: true,
                },
            );
        }
        if !late
            && writes
            && self.now < self.lose_commit_answers_until
            && self.rng.random_range(0..3) == 0
        {
            unknown(self);
            let reply = self.store_executes(node, &request);
            if matches!(reply, Some(StoreReply::Committed { .. })) {
                self.cover("a transaction was carried out and its answer lost");
                if self.others_watch(node, &request) {
                    self.cover(
                        "others read what was written by a transaction whose answer was lost",
                    );
                }
            }
            return self.serve_watches();
        }
        if !late && self.lost() {
            // Lost on the way there, or only its answer; now and then it is carried out much later.
            unknown(self);
            match self.rng.random_range(0..3) {
                0 => return,
                1 => {
                    let d = ms(self.rng.random_range(100..40_000));
                    return self.after(
                        d,
                        Event::State {
                            node,
                            life,
                            call,
                            request,
                            late: true,
                        },
                    );
                }
                _ => {
                    self.store_executes(node, &request);
                    return self.serve_watches();
                }
            }
        }
        let reply = self.store_executes(node, &request);
        if let (StoreRequest::CompareAndSwap { writes, .. }, Some(StoreReply::Committed { .. })) =
            (&request, &reply)
        {
            let in_parts =
                |w: &Write| matches!(w, Write::Put { key, .. } if key.starts_with("part/"));
            if writes.iter().any(in_parts) {
                self.cover("a record was written in parts");
            }
            for w in writes {
                let Write::Put { key, .. } = w else { continue };
                if let Some(job) = key.strip_prefix("end/") {
                    self.durable_ends.entry(job.into()).or_insert(self.now);
                }
            }
        }
        if let (StoreRequest::List { prefix, .. }, Some(StoreReply::Page { entries, .. })) =
            (&request, &reply)
        {
            if prefix.starts_with("part/") && !entries.is_empty() {
                self.cover("a record in parts was read by a new holder");
            }
        }
        if let (Some(StoreReply::Committed { revision }), true) = (&reply, writes) {
            if late && self.nodes[node].wrote > 0 {
                self.cover("a late transaction was carried out after newer ones");
            }
            self.nodes[node].wrote = *revision;
        } else if late && matches!(reply, Some(StoreReply::Conflict { .. })) {
            self.cover("a late transaction failed");
        }
        match reply {
            Some(reply) if !late => {
                let reply = self.as_old_version_reads(node, reply);
                self.tell(node, life, Command::Store { call, reply });
            }
            Some(_) => {}
            None => {
                if let StoreRequest::Watch { wait, .. } = &request {
                    let until = self.now + *wait;
                    self.watches.push((node, life, call, request, until));
                }
            }
        }
        self.serve_watches();
    }

    /// A token bucket a second deep for requests, and one for writes; what passes them is refused.
    fn state_takes(&mut self, request: &StoreRequest) -> bool {
        let (requests, writes, at) = self.state_tokens;
        let passed = (self.now - at).0;
        let fill = |have: i64, rate: i64| (have + rate * passed / 1_000).min(rate * 1_000);
        let (requests, writes) = (
            fill(requests, self.scale.state_rps),
            fill(writes, self.scale.write_rps),
        );
        let asked = if let StoreRequest::CompareAndSwap { writes, .. } = request {
            writes.len() as i64 * 1_000
        } else {
            0
        };
        let takes = requests >= 1_000 && writes >= asked;
        let left = if takes {
            (requests - 1_000, writes - asked)
        } else {
            (requests, writes)
        };
        self.state_tokens = (left.0, left.1, self.now);
        takes
    }

    /// Whether another controller has a watch open on a key that this transaction writes.
    fn others_watch(&self, node: usize, request: &StoreRequest) -> bool {
        let StoreRequest::CompareAndSwap { writes, .. } = request else {
            return false;
        };
        let written = |w: &Write, prefix: &str| match w {
            Write::Put { key, .. } | Write::Delete { key } => key.starts_with(prefix),
        };
        let watches = self.watches.iter().filter(|w| w.0 != node);
        watches.into_iter().any(|w| match &w.3 {
            StoreRequest::Watch { prefix, .. } => writes.iter().any(|a| written(a, prefix)),
            _ => false,
        })
    }

    pub(super) fn serve_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for (node, life, call, request, until) in watches {
            let n = &self.nodes[node];
            if n.life != life || n.engine.is_none() {
                continue;
            }
            let away = self.outage > self.now || n.refused > self.now || n.cut_state.0 > self.now;
            let StoreRequest::Watch { prefix, after, .. } = &request else {
                continue;
            };
            let now_or = StoreRequest::Watch {
                prefix: prefix.clone(),
                after: *after,
                wait: if until <= self.now {
                    Micros::ZERO
                } else {
                    ms(1)
                },
            };
            match if away {
                None
            } else {
                self.store.execute(self.now, &now_or)
            } {
                Some(reply) => {
                    let reply = self.as_old_version_reads(node, reply);
                    self.tell(node, life, Command::Store { call, reply });
                }
                None if until + ms(2_000) < self.now => self.tell(
                    node,
                    life,
                    Command::Store {
                        call,
                        reply: StoreReply::Unknown,
                    },
                ),
                None => self.watches.push((node, life, call, request, until)),
            }
        }
    }
}
