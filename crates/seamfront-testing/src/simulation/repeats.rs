//! Repetition of requests: while [`super::Fault::RepeatRequests`] is active, a copy of a part of the requests that were
//! carried out and answered arrives once more, seconds to minutes later. Nobody waits for the answer to a copy.

use super::{
    ms, CloudRequest, Command, Event, MachineId, Micros, Order, PeerMessage, RngExt, Simulation,
    StoreReply, StoreRequest, Write,
};

/// One in so many commands, transactions and cloud requests is repeated.
const REPEATED_REQUESTS: i64 = 2;
/// One in so many messages between controllers is repeated; they are far more frequent than requests.
const REPEATED_PEER_MESSAGES: i64 = 12;
/// Delays of copies in milliseconds: half of them come within the short range.
const SHORT_DELAY_MS: std::ops::Range<i64> = 300..10_000;
const LONG_DELAY_MS: std::ops::Range<i64> = 10_000..150_000;

/// A request that was carried out, to be carried out once more.
#[derive(Clone, Debug)]
pub(super) enum RepeatedRequest {
    /// A direct command.
    Command {
        machine: MachineId,
        incarnation: u64,
        fencing_token: u64,
        orders: Vec<Order>,
    },
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
            RepeatedRequest::Command {
                machine,
                incarnation,
                fencing_token,
                orders,
            } => self.repeat_command(&machine, incarnation, fencing_token, &orders),
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
    fn repeat_command(
        &mut self,
        id: &MachineId,
        incarnation: u64,
        fencing_token: u64,
        orders: &[Order],
    ) {
        let now = self.now;
        let Some(machine) = self.ground_truth.machines.get_mut(id) else {
            return;
        };
        if machine.dead {
            return;
        }
        if machine.hung_until > now {
            let delay = machine.hung_until - now + ms(1);
            let copy = RepeatedRequest::Command {
                machine: id.clone(),
                incarnation,
                fencing_token,
                orders: orders.to_vec(),
            };
            return self.schedule_after(delay, Event::Repeated(Box::new(copy)));
        }
        if fencing_token < machine.fencing_token || incarnation != machine.incarnation {
            return self.cover("a repeated command was refused");
        }
        machine.fencing_token = fencing_token;
        let starts_before = machine.starts_accepted;
        self.apply_orders(id, orders);
        self.cover("a repeated command was carried out");
        if self.ground_truth.machines[id].starts_accepted > starts_before {
            self.cover("a repeated command started a task again");
        }
    }

    fn repeat_in_store(&mut self, controller: usize, request: &StoreRequest) {
        if self.store_outage_until > self.now {
            return;
        }
        self.expire_leases();
        let reply = self.execute_in_store(controller, request);
        if let StoreRequest::CompareAndSwap { writes, .. } = request {
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

    /// When copies stop being made.
    pub(super) fn repeat_requests(&mut self, until: Micros) {
        self.repeat_requests_until = until;
    }
}
