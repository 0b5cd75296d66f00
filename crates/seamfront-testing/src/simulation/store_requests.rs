//! Requests to the store: losses, outages, rate limits, late transactions and open watches.

use super::{
    ms, store, CallId, Command, Event, Micros, RepeatedRequest, RngExt, Simulation, StoreReply,
    StoreRequest, Write, MEASURED_FLEET_MACHINES,
};

impl Simulation {
    pub(super) fn handle_store_request(
        &mut self,
        controller: usize,
        generation: u64,
        call: CallId,
        request: StoreRequest,
        late: bool,
    ) {
        let unknown = |simulation: &mut Simulation| {
            let command = Command::Store {
                call,
                reply: StoreReply::Unknown,
            };
            simulation.schedule_after(
                ms(1_500),
                Event::DeliverCommand {
                    controller,
                    generation,
                    command: Box::new(command),
                },
            );
        };
        if self.unknown_to_old_version(controller, &request) {
            let reply = self.answer_to_unknown(&request);
            return self.send_to_controller(controller, generation, Command::Store { call, reply });
        }
        let n = &self.controllers[controller];
        let (until, wait) = n.store_cut;
        if until > self.now {
            if !late {
                unknown(self);
            }
            if wait && !matches!(request, StoreRequest::Watch { .. }) {
                let d = until - self.now + ms(1);
                self.schedule_after(
                    d,
                    Event::Store {
                        controller,
                        generation,
                        call,
                        request,
                        late: true,
                    },
                );
            }
            return;
        }
        if self.store_outage_until > self.now || n.store_refuses_until > self.now {
            if let (StoreRequest::Watch { wait, .. }, false) = (&request, late) {
                if *wait > Micros::ZERO {
                    let until = self.now + *wait;
                    self.watches
                        .push((controller, generation, call, request, until));
                    return;
                }
            }
            if !late {
                self.send_to_controller(
                    controller,
                    generation,
                    Command::Store {
                        call,
                        reply: StoreReply::Refused,
                    },
                );
            }
            return;
        }
        let second = self.store_load.entry(self.now.0 / 1_000_000).or_default();
        second.0 += 1;
        if let StoreRequest::CompareAndSwap { writes, .. } = &request {
            second.1 += writes.len() as u32;
            if self.scale.machines >= MEASURED_FLEET_MACHINES {
                self.largest_bytes.1 = self
                    .largest_bytes
                    .1
                    .max(writes.iter().map(store::size_of).sum());
            }
        }
        if !self.within_store_rate(&request) {
            self.cover("the state service refused for its rate");
            if !late {
                self.send_to_controller(
                    controller,
                    generation,
                    Command::Store {
                        call,
                        reply: StoreReply::Refused,
                    },
                );
            }
            return;
        }
        self.expire_leases();
        let writes =
            matches!(&request, StoreRequest::CompareAndSwap { writes, .. } if !writes.is_empty());
        if !late && writes && self.now < self.delay_writes_until && self.rng.random_range(0..4) == 0
        {
            unknown(self);
            let d = ms(self.rng.random_range(2_000..12_000));
            return self.schedule_after(
                d,
                Event::Store {
                    controller,
                    generation,
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
            let reply = self.execute_in_store(controller, &request);
            if matches!(reply, Some(StoreReply::Committed { .. })) {
                self.cover("a transaction was carried out and its answer lost");
                if self.others_watch(controller, &request) {
                    self.cover(
                        "others read what was written by a transaction whose answer was lost",
                    );
                }
            }
            return self.serve_watches();
        }
        if !late && self.message_lost() {
            // Either the request is lost, or it is executed up to 40 s late, or only its answer is lost.
            unknown(self);
            match self.rng.random_range(0..3) {
                0 => return,
                1 => {
                    let d = ms(self.rng.random_range(100..40_000));
                    return self.schedule_after(
                        d,
                        Event::Store {
                            controller,
                            generation,
                            call,
                            request,
                            late: true,
                        },
                    );
                }
                _ => {
                    self.execute_in_store(controller, &request);
                    return self.serve_watches();
                }
            }
        }
        let reply = self.execute_in_store(controller, &request);
        let granted = matches!(
            &request,
            StoreRequest::GrantLease { .. } | StoreRequest::RenewLease { .. }
        );
        let committed = matches!(&reply, Some(StoreReply::Committed { .. }));
        if !late && (granted || (writes && committed)) {
            self.maybe_repeat(|| RepeatedRequest::Store {
                controller,
                request: request.clone(),
            });
        }
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
                    self.ended_in_store.entry(job.into()).or_insert(self.now);
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
            if late && self.controllers[controller].last_commit_revision > 0 {
                self.cover("a late transaction was carried out after newer ones");
            }
            self.controllers[controller].last_commit_revision = *revision;
        } else if late && matches!(reply, Some(StoreReply::Conflict { .. })) {
            self.cover("a late transaction failed");
        }
        match reply {
            Some(reply) if !late => {
                let reply = self.as_old_version_reads(controller, reply);
                self.send_to_controller(controller, generation, Command::Store { call, reply });
            }
            Some(_) => {}
            None => {
                if let StoreRequest::Watch { wait, .. } = &request {
                    let until = self.now + *wait;
                    self.watches
                        .push((controller, generation, call, request, until));
                }
            }
        }
        self.serve_watches();
    }

    /// The store's rate limits: a token bucket for requests and one for writes, each with room for one second.
    /// Requests that exceed them are refused.
    fn within_store_rate(&mut self, request: &StoreRequest) -> bool {
        let (requests, writes, at) = self.store_rate_budget;
        let passed = (self.now - at).0;
        let fill = |have: i64, rate: i64| (have + rate * passed / 1_000).min(rate * 1_000);
        let (requests, writes) = (
            fill(requests, self.scale.store_rps),
            fill(writes, self.scale.write_rps),
        );
        let cost = if let StoreRequest::CompareAndSwap { writes, .. } = request {
            writes.len() as i64 * 1_000
        } else {
            0
        };
        let accepted = requests >= 1_000 && writes >= cost;
        let left = if accepted {
            (requests - 1_000, writes - cost)
        } else {
            (requests, writes)
        };
        self.store_rate_budget = (left.0, left.1, self.now);
        accepted
    }

    /// Whether another controller has an open watch on a key that this transaction writes.
    fn others_watch(&self, controller: usize, request: &StoreRequest) -> bool {
        let StoreRequest::CompareAndSwap { writes, .. } = request else {
            return false;
        };
        let written = |w: &Write, prefix: &str| match w {
            Write::Put { key, .. } | Write::Delete { key } => key.starts_with(prefix),
        };
        let watches = self.watches.iter().filter(|w| w.0 != controller);
        watches.into_iter().any(|w| match &w.3 {
            StoreRequest::Watch { prefix, .. } => writes.iter().any(|a| written(a, prefix)),
            _ => false,
        })
    }

    pub(super) fn serve_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for (controller, generation, call, request, until) in watches {
            let n = &self.controllers[controller];
            if n.generation != generation || n.engine.is_none() {
                continue;
            }
            let store_unreachable = self.store_outage_until > self.now
                || n.store_refuses_until > self.now
                || n.store_cut.0 > self.now;
            let StoreRequest::Watch { prefix, after, .. } = &request else {
                continue;
            };
            let watch = StoreRequest::Watch {
                prefix: prefix.clone(),
                after: *after,
                wait: if until <= self.now {
                    Micros::ZERO
                } else {
                    ms(1)
                },
            };
            match if store_unreachable {
                None
            } else {
                self.store.execute(self.now, &watch)
            } {
                Some(reply) => {
                    let reply = self.as_old_version_reads(controller, reply);
                    self.send_to_controller(controller, generation, Command::Store { call, reply });
                }
                None if until + ms(2_000) < self.now => self.send_to_controller(
                    controller,
                    generation,
                    Command::Store {
                        call,
                        reply: StoreReply::Unknown,
                    },
                ),
                None => self
                    .watches
                    .push((controller, generation, call, request, until)),
            }
        }
    }
}
