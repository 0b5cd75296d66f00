//! Between controllers and workers: reports, their answers, and direct commands.

use super::{
    ms, Asked, CallId, ClientRequestId, Command, DirectOutcome, Event, MachineId, Micros, Order,
    ReportAnswer, Resources, RngExt, Simulation, Worker,
};

impl Simulation {
    pub(super) fn report_answered(
        &mut self,
        node: usize,
        life: u64,
        to: ClientRequestId,
        answer: ReportAnswer,
    ) {
        let Some((
            Asked::Heartbeat {
                machine,
                incarnation,
                sequence,
                sent,
            },
            _,
        )) = self.asked.remove(&(node, life, to))
        else {
            return;
        };
        let (until, hold) = self.nodes[node].cut_workers;
        let mut d = self.delay();
        if until > self.now {
            if !hold {
                return;
            }
            d = until - self.now + d;
        }
        d += self.answer_delay();
        if !self.lost() {
            self.after(
                d,
                Event::Answered {
                    machine,
                    incarnation,
                    sequence,
                    sent,
                    node,
                    answer,
                },
            );
        }
    }

    /// Some answers and commands to workers are held up, a few for longer than workers wait for them.
    pub(super) fn answer_delay(&mut self) -> Micros {
        if self.now < self.delay_answers_until && self.rng.random_range(0..2) == 0 {
            return ms(self.rng.random_range(500..6_000));
        }
        Micros::ZERO
    }

    /// Whether the process that sent a command has ended or no longer holds the claim that it sent it under.
    fn is_former(&self, node: usize, life: u64, fencing_token: u64) -> bool {
        let newer = |c: &(Option<u64>, Micros)| c.0.is_some_and(|v| v > fencing_token);
        self.nodes[node].life != life || self.claims.values().any(newer)
    }

    pub(super) fn unreachable(&self, node: usize, id: &MachineId) -> bool {
        let link = self.cut_links.get(&(node, id.clone()));
        link.or(self.cut_machines.get(id))
            .is_some_and(|t| *t > self.now)
    }

    pub(super) fn loses_reports(&self, id: &MachineId) -> bool {
        self.reports_lost.get(id).is_some_and(|t| *t > self.now)
    }

    pub(super) fn loses_answers(&self, id: &MachineId) -> bool {
        self.answers_lost.get(id).is_some_and(|t| *t > self.now)
    }

    /// The next report goes out then, or earlier if that was due already.
    pub(super) fn report_in(&mut self, id: &MachineId, d: Micros) {
        let t = self.now + d;
        let w = self.truth.workers.get_mut(id).unwrap();
        w.next_report = w.next_report.min(t);
        if w.next_report <= self.now {
            w.next_report = t;
        }
        let at = w.next_report;
        self.at(
            at,
            Event::ReportDue {
                machine: id.clone(),
            },
        );
    }

    pub(super) fn send_report(&mut self, id: MachineId) {
        let Some(w) = self.truth.workers.get(&id) else {
            return;
        };
        if w.dead {
            return;
        }
        if self.now < w.next_report {
            // An earlier one took its place.
            return;
        }
        if w.hung_until > self.now {
            let d = w.hung_until - self.now + ms(10);
            return self.report_in(&id, d);
        }
        let period = ms(self
            .rng
            .random_range(750 * self.scale.times.0..1_250 * self.scale.times.0));
        self.truth.workers.get_mut(&id).unwrap().next_report = Micros::MAX;
        self.report_in(&id, period);
        let w = &self.truth.workers[&id];
        if let Some((_, sent)) = w.in_flight {
            if self.now - sent < ms(4_000) {
                return;
            }
            let w = self.truth.workers.get_mut(&id).unwrap();
            w.target = (w.target + 1) % self.scale.nodes;
        }
        let heartbeat = self.truth.heartbeat(&id);
        if self.now < self.duplicate_reports_until && self.rng.random_range(0..4) == 0 {
            // From seconds to well over a lease.
            let late = ms(self.rng.random_range(1_000..30_000));
            let node = self.rng.random_range(0..self.scale.nodes);
            self.after(
                late,
                Event::DuplicateReport {
                    node,
                    sent: self.now,
                    heartbeat: Box::new(heartbeat.clone()),
                },
            );
        }
        if self.now < self.keep_reports_until && self.rng.random_range(0..3) == 0 {
            self.kept_reports.push((self.now, heartbeat.clone()));
        }
        let mute = self.loses_reports(&id);
        let w = self.truth.workers.get_mut(&id).unwrap();
        w.in_flight = Some((heartbeat.sequence, self.now));
        let node = w.target;
        if mute {
            return;
        }
        let (until, hold) = self.nodes[node].cut_workers;
        let mut d = self.delay();
        if until > self.now || self.unreachable(node, &id) {
            if !hold || self.unreachable(node, &id) {
                return;
            }
            d = until - self.now + d;
        }
        if self.nodes[node].engine.is_none() {
            let answer = ReportAnswer::Nothing;
            let (incarnation, sequence, sent) =
                (heartbeat.incarnation, heartbeat.sequence, self.now);
            return self.after(
                d,
                Event::Answered {
                    machine: id,
                    incarnation,
                    sequence,
                    sent,
                    node,
                    answer,
                },
            );
        }
        if self.lost() {
            return;
        }
        self.next_reply += 1;
        let (to, life) = (self.next_reply, self.nodes[node].life);
        let asked = Asked::Heartbeat {
            machine: id,
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            sent: self.now,
        };
        self.asked.insert((node, life, to), (asked, self.now));
        let command = Box::new(Command::Heartbeat {
            to,
            heartbeat: Box::new(heartbeat),
        });
        let d = d + self.processing_delay(node);
        self.after(
            d,
            Event::ToNode {
                node,
                life,
                command,
            },
        );
    }

    pub(super) fn answered(
        &mut self,
        id: MachineId,
        incarnation: u64,
        sequence: u64,
        sent: Micros,
        node: usize,
        answer: ReportAnswer,
    ) {
        if self.unreachable(node, &id) || self.loses_answers(&id) {
            return;
        }
        let now = self.now;
        let Some(w) = self.truth.workers.get_mut(&id) else {
            return;
        };
        if w.dead || w.hung_until > now || w.incarnation != incarnation || now - sent > ms(4_000) {
            return;
        }
        if w.in_flight.is_none_or(|f| f.0 != sequence) {
            return;
        }
        w.in_flight = None;
        match answer {
            ReportAnswer::Orders(fencing_token, orders) => {
                if fencing_token >= w.fencing_token {
                    let changed = fencing_token > w.fencing_token;
                    w.fencing_token = fencing_token;
                    if sent - w.lease_from > ms(6_000) {
                        w.steady_from = sent;
                    }
                    w.lease_from = sent;
                    self.obey(&id, &orders);
                    if changed {
                        self.report_in(&id, ms(500));
                    }
                }
            }
            ReportAnswer::Elsewhere(Some(m)) if m != node => {
                w.target = m;
                self.report_in(&id, ms(200));
            }
            _ => {
                w.target = (node + 1) % self.scale.nodes;
                self.report_in(&id, ms(1_000));
            }
        }
    }

    pub(super) fn obey(&mut self, id: &MachineId, orders: &[Order]) {
        let fetch = ms(self.rng.random_range(50..3_000));
        self.truth.obey(self.now, id, orders, |_| (fetch, true));
    }

    pub(super) fn direct(
        &mut self,
        (node, life, call): (usize, u64, CallId),
        id: MachineId,
        incarnation: u64,
        fencing_token: u64,
        orders: Vec<Order>,
        late: bool,
    ) {
        let unknown = |w: &mut Simulation| {
            let command = Command::DirectResult {
                call,
                machine: id.clone(),
                outcome: DirectOutcome::Unknown,
            };
            w.after(
                ms(2_500),
                Event::ToNode {
                    node,
                    life,
                    command: Box::new(command),
                },
            );
        };
        let gone = self.truth.workers.get(&id).is_none_or(|w| w.dead);
        let hung = self
            .truth
            .workers
            .get(&id)
            .is_some_and(|w| w.hung_until > self.now);
        let cut = self.nodes[node].cut_workers;
        let blocked =
            cut.0 > self.now || self.unreachable(node, &id) || self.loses_answers(&id) || hung;
        if gone {
            if !late {
                unknown(self);
            }
            return;
        }
        if blocked || (!late && self.lost()) {
            if !late {
                unknown(self);
            }
            // Held back and carried out late, as long as token and session still match.
            let most = if self.rng.random_range(0..3) == 0 {
                25_000
            } else {
                4_500
            };
            let d = ms(self.rng.random_range(300..most));
            return self.after(
                d,
                Event::Direct {
                    node,
                    life,
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
            return self.after(
                d,
                Event::Direct {
                    node,
                    life,
                    call,
                    machine: id,
                    incarnation,
                    fencing_token,
                    orders,
                    late: true,
                },
            );
        }
        let mute = self.loses_reports(&id);
        let former = late && self.is_former(node, life, fencing_token);
        let w = self.truth.workers.get_mut(&id).unwrap();
        if former && fencing_token < w.fencing_token {
            self.cover("a former holder's command arrived after the new holder's and was refused");
        } else if former {
            self.cover("a former holder's command arrived before the new holder's");
        }
        let w = self.truth.workers.get_mut(&id).unwrap();
        if fencing_token >= w.fencing_token && incarnation == w.incarnation {
            w.fencing_token = fencing_token;
            self.obey(&id, &orders);
            if late {
                self.cover("a command was carried out late");
            }
            if mute {
                self.cover("a command was carried out by a machine that reaches no controller");
            }
        }
        let heartbeat = self.truth.heartbeat(&id);
        if !late {
            let outcome = DirectOutcome::Settled {
                heartbeat: Box::new(heartbeat),
            };
            self.tell(
                node,
                life,
                Command::DirectResult {
                    call,
                    machine: id,
                    outcome,
                },
            );
        }
    }

    pub(super) fn workers(&mut self) {
        let span = self.rng.random_range(2_000..12_000);
        let before = self.truth.leases_ended;
        self.truth.advance(self.now, |_| ms(span));
        for _ in 0..std::mem::take(&mut self.truth.failures) {
            self.cover("a task failed since its job was submitted with a mistake");
        }
        if self.truth.leases_ended > before {
            self.cover("a lease ended under running tasks");
        }
        let now = self.now;
        let smallest = Resources::rounded_up(1.0, 0.0, 4.0);
        let room = |w: &Worker| w.free(&self.truth.jobs).fits(smallest) > 0;
        if !self
            .truth
            .workers
            .values()
            .any(|w| !w.dead && w.up_at <= now && room(w))
        {
            self.cover("no machine had room");
        }
        for w in self.truth.workers.values_mut() {
            if w.notice_at.is_some_and(|t| t < now) {
                w.dead = true;
            }
        }
        self.leases_expire();
        self.serve_watches();
        self.follow_completions();
        self.follow_claims();
        self.check_waiting_jobs();
        self.check_late_starts();
        self.check_impossible_jobs();
        self.check_answered();
        self.after(ms(100), Event::Workers);
    }
}
