//! Repetition of requests: while [`super::Fault::RepeatRequests`] is active, a copy of a part of the requests that were
//! carried out and answered arrives once more, seconds to minutes later. Nobody waits for the answer to a copy.

use super::{
    ms, CloudRequest, Command, Event, JobKind, MachineId, Micros, Order, PeerMessage, RngExt,
    Simulation, StoreReply, StoreRequest, TaskKey, TaskState, Write,
};

/// One in so many commands, transactions and cloud requests is repeated.
const REPEATED_REQUESTS: i64 = 2;
/// One in so many messages between controllers is repeated; they are far more frequent than requests.
const REPEATED_PEER_MESSAGES: i64 = 12;
/// Delays of copies in milliseconds: half of them come within the short range.
const SHORT_DELAY_MS: std::ops::Range<i64> = 300..10_000;
const LONG_DELAY_MS: std::ops::Range<i64> = 10_000..150_000;

/// From this age on, a copy counts as one that comes late.
const LATE_COPY: Micros = Micros::from_secs(60);

/// A direct command that was carried out and answered.
#[derive(Clone, Debug)]
pub(super) struct RepeatedCommand {
    pub(super) controller: usize,
    /// The process that sent it.
    pub(super) generation: u64,
    pub(super) sent: Micros,
    pub(super) machine: MachineId,
    pub(super) incarnation: u64,
    pub(super) fencing_token: u64,
    pub(super) orders: Vec<Order>,
}

/// A request that was carried out, to be carried out once more.
#[derive(Clone, Debug)]
pub(super) enum RepeatedRequest {
    Command(RepeatedCommand),
    /// A transaction, or the grant of a lease.
    Store {
        controller: usize,
        request: StoreRequest,
    },
    /// A provisioning or termination request.
    Cloud {
        controller: usize,
        request: CloudRequest,
    },
    /// A message between controllers.
    Peer {
        from: usize,
        to: usize,
        message: PeerMessage,
    },
}

impl Simulation {
    /// Schedules a copy of the request, if the fault is active and the draw says so.
    pub(super) fn maybe_repeat(&mut self, request: impl FnOnce() -> RepeatedRequest) {
        self.repeat_one_in(REPEATED_REQUESTS, request);
    }

    /// Like [`Simulation::maybe_repeat`], at the lower rate of messages between controllers.
    pub(super) fn maybe_repeat_to_peer(&mut self, request: impl FnOnce() -> RepeatedRequest) {
        self.repeat_one_in(REPEATED_PEER_MESSAGES, request);
    }

    fn repeat_one_in(&mut self, one_in: i64, request: impl FnOnce() -> RepeatedRequest) {
        if self.now >= self.repeat_requests_until || self.rng.random_range(0..one_in) != 0 {
            return;
        }
        let range = if self.rng.random_range(0..2) == 0 {
            SHORT_DELAY_MS
        } else {
            LONG_DELAY_MS
        };
        let delay = ms(self.rng.random_range(range));
        self.schedule_after(delay, Event::Repeated(Box::new(request())));
    }

    /// Carries out a copy.
    pub(super) fn repeat(&mut self, request: RepeatedRequest) {
        match request {
            RepeatedRequest::Command(command) => self.repeat_command(command),
            RepeatedRequest::Store {
                controller,
                request,
            } => self.repeat_in_store(controller, &request),
            RepeatedRequest::Cloud {
                controller,
                request,
            } => {
                self.cover("a request to the cloud was repeated");
                let generation = self.controllers[controller].generation;
                self.handle_cloud_request(controller, generation, u64::MAX, request, true);
            }
            RepeatedRequest::Peer { from, to, message } => {
                self.cover("a message between controllers was repeated");
                let generation = self.controllers[to].generation;
                self.send_to_controller(to, generation, Command::Peer { from, message });
            }
        }
    }

    /// A machine that hangs carries the copy out when it goes on.
    fn repeat_command(&mut self, command: RepeatedCommand) {
        let now = self.now;
        let id = command.machine.clone();
        let Some(machine) = self.ground_truth.machines.get(&id) else {
            return;
        };
        if machine.dead {
            return;
        }
        if machine.hung_until > now {
            let delay = machine.hung_until - now + ms(1);
            let copy = RepeatedRequest::Command(command);
            return self.schedule_after(delay, Event::Repeated(Box::new(copy)));
        }
        let (token_seen, incarnation) = (machine.fencing_token, machine.incarnation);
        let starts_before = machine.starts_accepted;
        self.cover_copied_command(&command);
        if command.incarnation != incarnation {
            return self.cover("a repeated command was refused for its incarnation");
        }
        if command.fencing_token < token_seen {
            return self.cover("a repeated command was refused for its token");
        }
        if let Some(machine) = self.ground_truth.machines.get_mut(&id) {
            machine.fencing_token = command.fencing_token;
        }
        self.apply_orders(&id, &command.orders);
        self.cover("a repeated command was carried out");
        if self.ground_truth.machines[&id].starts_accepted > starts_before {
            self.cover("a repeated command started a task again");
        }
    }

    /// Counts the situations in which copies of commands arrive.
    fn cover_copied_command(&mut self, command: &RepeatedCommand) {
        if self.now - command.sent >= LATE_COPY {
            self.cover("a copy came more than a minute later");
        }
        let RepeatedCommand {
            controller,
            generation,
            fencing_token,
            ..
        } = *command;
        if self.sent_by_former_holder(controller, generation, fencing_token) {
            self.cover("a copy of a former holder's command arrived");
        }
        for order in &command.orders {
            if let Order::Start { task, attempt } = order {
                self.cover_copied_start(&command.machine, task, *attempt);
            }
        }
    }

    fn cover_copied_start(&mut self, id: &MachineId, task: &TaskKey, attempt: u64) {
        let truth = &self.ground_truth;
        let machine = &truth.machines[id];
        let held = machine.holds(task, attempt);
        let state = machine.tasks.get(task).map(|t| t.state);
        let refused = machine.refused_attempts.contains(&(task.clone(), attempt));
        let spec = &truth.jobs[&task.job];
        let present: Vec<_> = truth
            .tasks_of_job(&task.job)
            .filter(|(_, _, _, t)| t.on_machine() && !held)
            .collect();
        let elsewhere = present.iter().any(|(_, _, index, _)| *index == task.index);
        let gang_again =
            spec.kind == JobKind::Gang && present.iter().any(|(_, _, _, t)| t.attempt != attempt);
        let other_zone = spec.one_zone
            && present
                .iter()
                .any(|(_, other, _, _)| other.zone != machine.zone);
        let cancelled = truth.cancelled.contains_key(&task.job);
        for (reached, what) in [
            (!held, "a copy named a forgotten attempt"),
            (elsewhere, "a copy named a task that was on another machine"),
            (gang_again, "a copy named an old attempt of a gang"),
            (other_zone, "a copy named a job that was in another zone"),
            (refused && !held, "a copy named an attempt that was refused"),
            (cancelled && !held, "a copy named a task of a cancelled job"),
            (
                state == Some(TaskState::Saving),
                "a copy named a task that was saving",
            ),
        ] {
            if reached {
                self.cover(what);
            }
        }
    }

    fn repeat_in_store(&mut self, controller: usize, request: &StoreRequest) {
        if self.store_outage_until > self.now {
            return;
        }
        self.expire_leases();
        let reply = self.execute_in_store(controller, request);
        if let StoreRequest::CompareAndSwap { writes, .. } = request {
            for write in writes {
                self.cover(repeated_write(write));
            }
            match reply {
                Some(StoreReply::Committed { .. }) => self.cover_repeated_writes(writes),
                _ => self.cover("a repeated transaction failed"),
            }
        }
        self.serve_watches();
    }

    fn cover_repeated_writes(&mut self, writes: &[Write]) {
        self.cover("a repeated transaction took effect");
        for write in writes {
            let Write::Put { key, .. } = write else {
                continue;
            };
            if key.starts_with("work/") {
                self.cover("a repeated transaction wrote a work record");
            } else if key.starts_with("machine/") {
                self.cover("a repeated transaction wrote a machine record");
            }
        }
    }
}

/// The coverage counter of transactions with this write.
fn repeated_write(write: &Write) -> &'static str {
    let (Write::Put { key, .. } | Write::Delete { key }) = write;
    let put = matches!(write, Write::Put { .. });
    match (key.split('/').next().unwrap_or_default(), put) {
        ("job", true) => "the acceptance of a job was repeated",
        ("end", true) => "the end of a job was repeated",
        ("work", true) => "the write of a work record was repeated",
        ("work", false) => "the removal of a work record was repeated",
        ("machine", true) => "the write of a machine record was repeated",
        ("machine", false) => "the removal of a machine record was repeated",
        ("rent", true) => "the write of a provisioning record was repeated",
        ("rent", false) => "the removal of a provisioning record was repeated",
        ("types", _) => "the write of machine types was repeated",
        ("format", _) => "the write of a format version was repeated",
        ("share" | "leader", true) => "the acquisition of a claim was repeated",
        ("share" | "leader", false) => "the transfer of a claim was repeated",
        ("duty", _) => "a write for a duty was repeated",
        _ => "another write was repeated",
    }
}
