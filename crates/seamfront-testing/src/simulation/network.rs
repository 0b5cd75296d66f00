//! Messages between controllers and agents: heartbeats, their answers, and direct commands.

use super::{
    ms, CallId, ClientRequestId, Command, DirectOutcome, Event, HeartbeatAnswer, Machine,
    MachineId, Micros, Order, PendingRequest, RepeatedCommand, RepeatedRequest, Resources, RngExt,
    Simulation,
};

impl Simulation {
    pub(super) fn answer_heartbeat(
        &mut self,
        controller: usize,
        generation: u64,
        to: ClientRequestId,
        answer: HeartbeatAnswer,
    ) {
        let Some((
            PendingRequest::Heartbeat {
                machine,
                incarnation,
                sequence,
                sent,
            },
            _,
        )) = self.pending_requests.remove(&(controller, generation, to))
        else {
            return;
        };
        if let HeartbeatAnswer::Orders(fencing_token, _) = &answer {
            self.check_fencing_token(controller, &machine, *fencing_token);
        }
        let (until, deliver_late) = self.controllers[controller].agents_cut;
        let mut d = self.network_delay();
        if until > self.now {
            if !deliver_late {
                return;
            }
            d = until - self.now + d;
        }
        d += self.answer_delay();
        if !self.message_lost() {
            self.schedule_after(
                d,
                Event::HeartbeatAnswered {
                    machine,
                    incarnation,
                    sequence,
                    sent,
                    controller,
                    answer,
                },
            );
        }
    }

    /// While `Fault::DelayAnswers` is active, half of the answers and commands to agents are delayed, some for longer
    /// than the 4 s that an agent waits for an answer.
    pub(super) fn answer_delay(&mut self) -> Micros {
        if self.now < self.delay_answers_until && self.rng.random_range(0..2) == 0 {
            return ms(self.rng.random_range(500..6_000));
        }
        Micros::ZERO
    }

    /// Whether the process that sent a command has ended, or a claim with a higher version than its fencing token has
    /// been acquired since.
    pub(super) fn sent_by_former_holder(
        &self,
        controller: usize,
        generation: u64,
        fencing_token: u64,
    ) -> bool {
        let newer = |c: &(Option<u64>, Micros)| c.0.is_some_and(|v| v > fencing_token);
        self.controllers[controller].generation != generation || self.claims.values().any(newer)
    }

    pub(super) fn unreachable(&self, controller: usize, id: &MachineId) -> bool {
        let link = self.links_cut_until.get(&(controller, id.clone()));
        link.or(self.machines_cut_until.get(id))
            .is_some_and(|t| *t > self.now)
    }

    pub(super) fn loses_heartbeats(&self, id: &MachineId) -> bool {
        self.heartbeats_lost_until
            .get(id)
            .is_some_and(|t| *t > self.now)
    }

    pub(super) fn loses_answers(&self, id: &MachineId) -> bool {
        self.answers_lost_until
            .get(id)
            .is_some_and(|t| *t > self.now)
    }

    /// Schedules the next heartbeat after `d`, unless an earlier one is already due.
    pub(super) fn schedule_heartbeat(&mut self, id: &MachineId, d: Micros) {
        let t = self.now + d;
        let machine = self.ground_truth.machines.get_mut(id).unwrap();
        machine.next_heartbeat = machine.next_heartbeat.min(t);
        if machine.next_heartbeat <= self.now {
            machine.next_heartbeat = t;
        }
        let at = machine.next_heartbeat;
        self.schedule_at(
            at,
            Event::HeartbeatDue {
                machine: id.clone(),
            },
        );
    }

    pub(super) fn send_heartbeat(&mut self, id: MachineId) {
        let Some(machine) = self.ground_truth.machines.get(&id) else {
            return;
        };
        if machine.dead {
            return;
        }
        if self.now < machine.next_heartbeat {
            // Rescheduled: another event sends the next heartbeat.
            return;
        }
        if machine.hung_until > self.now {
            let d = machine.hung_until - self.now + ms(10);
            return self.schedule_heartbeat(&id, d);
        }
        let period = ms(self
            .rng
            .random_range(750 * self.scale.times.0..1_250 * self.scale.times.0));
        self.ground_truth
            .machines
            .get_mut(&id)
            .unwrap()
            .next_heartbeat = Micros::MAX;
        self.schedule_heartbeat(&id, period);
        let machine = &self.ground_truth.machines[&id];
        if let Some((_, sent)) = machine.in_flight {
            if self.now - sent < ms(4_000) {
                return;
            }
            let machine = self.ground_truth.machines.get_mut(&id).unwrap();
            machine.target_controller = (machine.target_controller + 1) % self.scale.controllers;
        }
        let heartbeat = self.ground_truth.heartbeat(&id);
        if self.now < self.duplicate_heartbeats_until && self.rng.random_range(0..4) == 0 {
            // From seconds to well over a lease of 12 s.
            let late = ms(self.rng.random_range(1_000..30_000));
            let controller = self.rng.random_range(0..self.scale.controllers);
            self.schedule_after(
                late,
                Event::DuplicateHeartbeat {
                    controller,
                    sent: self.now,
                    heartbeat: Box::new(heartbeat.clone()),
                },
            );
        }
        if self.now < self.keep_heartbeats_until && self.rng.random_range(0..3) == 0 {
            self.kept_heartbeats.push((self.now, heartbeat.clone()));
        }
        let heartbeats_lost = self.loses_heartbeats(&id);
        let machine = self.ground_truth.machines.get_mut(&id).unwrap();
        machine.in_flight = Some((heartbeat.sequence, self.now));
        let controller = machine.target_controller;
        if heartbeats_lost {
            return;
        }
        let (until, deliver_late) = self.controllers[controller].agents_cut;
        let mut d = self.network_delay();
        if until > self.now || self.unreachable(controller, &id) {
            if !deliver_late || self.unreachable(controller, &id) {
                return;
            }
            d = until - self.now + d;
        }
        if self.controllers[controller].engine.is_none() {
            let answer = HeartbeatAnswer::NoAnswer;
            let (incarnation, sequence, sent) =
                (heartbeat.incarnation, heartbeat.sequence, self.now);
            return self.schedule_after(
                d,
                Event::HeartbeatAnswered {
                    machine: id,
                    incarnation,
                    sequence,
                    sent,
                    controller,
                    answer,
                },
            );
        }
        if self.message_lost() {
            return;
        }
        self.next_request_id += 1;
        let (to, generation) = (
            self.next_request_id,
            self.controllers[controller].generation,
        );
        let request = PendingRequest::Heartbeat {
            machine: id,
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            sent: self.now,
        };
        self.pending_requests
            .insert((controller, generation, to), (request, self.now));
        let command = Box::new(Command::Heartbeat {
            to,
            heartbeat: Box::new(heartbeat),
        });
        let d = d + self.processing_delay(controller);
        self.schedule_after(
            d,
            Event::DeliverCommand {
                controller,
                generation,
                command,
            },
        );
    }

    pub(super) fn handle_heartbeat_answer(
        &mut self,
        id: MachineId,
        incarnation: u64,
        sequence: u64,
        sent: Micros,
        controller: usize,
        answer: HeartbeatAnswer,
    ) {
        if self.unreachable(controller, &id) || self.loses_answers(&id) {
            return;
        }
        let now = self.now;
        let Some(machine) = self.ground_truth.machines.get_mut(&id) else {
            return;
        };
        if machine.dead
            || machine.hung_until > now
            || machine.incarnation != incarnation
            || now - sent > ms(4_000)
        {
            return;
        }
        if machine.in_flight.is_none_or(|f| f.0 != sequence) {
            return;
        }
        machine.in_flight = None;
        match answer {
            HeartbeatAnswer::Orders(fencing_token, orders) => {
                if fencing_token >= machine.fencing_token {
                    let changed = fencing_token > machine.fencing_token;
                    machine.fencing_token = fencing_token;
                    if sent - machine.lease_renewed_at > ms(6_000) {
                        machine.steady_since = sent;
                    }
                    machine.lease_renewed_at = sent;
                    self.apply_orders(&id, &orders);
                    if changed {
                        self.schedule_heartbeat(&id, ms(500));
                    }
                }
            }
            HeartbeatAnswer::Redirect(Some(m)) if m != controller => {
                machine.target_controller = m;
                self.schedule_heartbeat(&id, ms(200));
            }
            _ => {
                machine.target_controller = (controller + 1) % self.scale.controllers;
                self.schedule_heartbeat(&id, ms(1_000));
            }
        }
    }

    pub(super) fn apply_orders(&mut self, id: &MachineId, orders: &[Order]) {
        let fetch_time = ms(self.rng.random_range(50..3_000));
        let refuse_starts = self.now < self.refuse_starts_until && self.rng.random_range(0..3) == 0;
        self.ground_truth
            .apply_orders(self.now, id, orders, fetch_time, refuse_starts);
    }

    pub(super) fn deliver_orders(
        &mut self,
        (controller, generation, call): (usize, u64, CallId),
        id: MachineId,
        incarnation: u64,
        fencing_token: u64,
        orders: Vec<Order>,
        late: bool,
    ) {
        let unknown = |simulation: &mut Simulation| {
            let command = Command::DirectResult {
                call,
                machine: id.clone(),
                outcome: DirectOutcome::Unknown,
            };
            simulation.schedule_after(
                ms(2_500),
                Event::DeliverCommand {
                    controller,
                    generation,
                    command: Box::new(command),
                },
            );
        };
        let gone = self
            .ground_truth
            .machines
            .get(&id)
            .is_none_or(|machine| machine.dead);
        let hung = self
            .ground_truth
            .machines
            .get(&id)
            .is_some_and(|machine| machine.hung_until > self.now);
        let cut = self.controllers[controller].agents_cut;
        let blocked = cut.0 > self.now
            || self.unreachable(controller, &id)
            || self.loses_answers(&id)
            || hung;
        if gone {
            if !late {
                unknown(self);
            }
            return;
        }
        if blocked || (!late && self.message_lost()) {
            if !late {
                unknown(self);
            }
            // Held back and carried out late, if the fencing token and the incarnation are still valid then.
            let max_delay_ms = if self.rng.random_range(0..3) == 0 {
                25_000
            } else {
                4_500
            };
            let d = ms(self.rng.random_range(300..max_delay_ms));
            return self.schedule_after(
                d,
                Event::DirectOrders {
                    controller,
                    generation,
                    call,
                    machine: id,
                    incarnation,
                    fencing_token,
                    orders,
                    late: true,
                },
            );
        }
        if !late && self.now < self.delay_commands_until && self.rng.random_range(0..2) == 0 {
            unknown(self);
            let d = ms(self.rng.random_range(2_000..16_000));
            return self.schedule_after(
                d,
                Event::DirectOrders {
                    controller,
                    generation,
                    call,
                    machine: id,
                    incarnation,
                    fencing_token,
                    orders,
                    late: true,
                },
            );
        }
        let heartbeats_lost = self.loses_heartbeats(&id);
        let former = late && self.sent_by_former_holder(controller, generation, fencing_token);
        let machine = self.ground_truth.machines.get_mut(&id).unwrap();
        if former && fencing_token < machine.fencing_token {
            self.cover("a former holder's command arrived after the new holder's and was refused");
        } else if former {
            self.cover("a former holder's command arrived before the new holder's");
        }
        let machine = self.ground_truth.machines.get_mut(&id).unwrap();
        if fencing_token >= machine.fencing_token && incarnation == machine.incarnation {
            machine.fencing_token = fencing_token;
            self.apply_orders(&id, &orders);
            if late {
                self.cover("a command was carried out late");
            }
            if heartbeats_lost {
                self.cover("a command was carried out by a machine that reaches no controller");
            }
        }
        let heartbeat = self.ground_truth.heartbeat(&id);
        if !late {
            let sent = self.now;
            self.maybe_repeat(|| {
                RepeatedRequest::Command(RepeatedCommand {
                    controller,
                    generation,
                    sent,
                    machine: id.clone(),
                    incarnation,
                    fencing_token,
                    orders,
                })
            });
            let outcome = DirectOutcome::Settled {
                heartbeat: Box::new(heartbeat),
            };
            self.send_to_controller(
                controller,
                generation,
                Command::DirectResult {
                    call,
                    machine: id,
                    outcome,
                },
            );
        }
    }

    pub(super) fn advance_machines(&mut self) {
        let span = self.rng.random_range(2_000..12_000);
        let before = self.ground_truth.leases_expired;
        self.ground_truth.advance(self.now, |_| ms(span));
        for _ in 0..std::mem::take(&mut self.ground_truth.failures) {
            self.cover("a task failed since its job was submitted with a mistake");
        }
        if self.ground_truth.leases_expired > before {
            self.cover("a lease ended under running tasks");
        }
        let now = self.now;
        let smallest = Resources::rounded_up(1.0, 0.0, 4.0);
        let room = |machine: &Machine| machine.free(&self.ground_truth.jobs).fits(smallest) > 0;
        if !self
            .ground_truth
            .machines
            .values()
            .any(|machine| !machine.dead && machine.up_at <= now && room(machine))
        {
            self.cover("no machine had room");
        }
        for machine in self.ground_truth.machines.values_mut() {
            if machine.preempt_at.is_some_and(|t| t < now) {
                machine.dead = true;
            }
        }
        self.expire_leases();
        self.serve_watches();
        self.track_completions();
        self.track_claims();
        self.check_waiting_jobs();
        self.check_late_starts();
        self.check_invalid_jobs();
        self.check_answered();
        self.schedule_after(ms(100), Event::AdvanceMachines);
    }
}
