//! Stand-in for the cloud API: provisions, terminates and lists machines.

use super::{
    machine_types, ms, BadBoots, CallId, CloudReply, CloudRequest, Command, Event, ListedMachine,
    ListedState, Machine, MachineId, Micros, RepeatedRequest, RngExt, Simulation,
};

impl Simulation {
    pub(super) fn handle_cloud_request(
        &mut self,
        controller: usize,
        generation: u64,
        call: CallId,
        request: CloudRequest,
        late: bool,
    ) {
        if !late && (self.cloud_outage_until > self.now || self.message_lost()) {
            if self.cloud_outage_until <= self.now {
                let d = ms(self.rng.random_range(100..30_000));
                self.schedule_after(
                    d,
                    Event::Cloud {
                        controller,
                        generation,
                        call,
                        request,
                        late: true,
                    },
                );
            }
            return self.send_to_controller(
                controller,
                generation,
                Command::Cloud {
                    call,
                    reply: CloudReply::Failed,
                },
            );
        }
        let provisioning = matches!(request, CloudRequest::Provision { .. });
        let changes = provisioning || matches!(request, CloudRequest::Terminate { .. });
        let copy = (changes && !late).then(|| request.clone());
        let reply = match request {
            CloudRequest::MachineTypes => CloudReply::MachineTypes(machine_types()),
            CloudRequest::Provision {
                name,
                machine_type,
                zone,
                spot,
                count,
            } => {
                if let Some(ids) = self.provisioned.get(&name) {
                    CloudReply::Provisioned(ids.clone())
                } else if self
                    .ground_truth
                    .machines
                    .values()
                    .filter(|machine| !machine.dead)
                    .count()
                    > self.scale.max_machines
                    || self.rng.random_range(0..5) == 0
                {
                    CloudReply::NoCapacity
                } else {
                    let mut ids = Vec::new();
                    for _ in 0..count.min(4) {
                        let slowest = if self.now < self.fast_boots_until {
                            2_000
                        } else {
                            9_000
                        };
                        let boot = ms(self.rng.random_range(500..slowest));
                        let boot = self.boot_time(boot);
                        ids.push(self.provision(&machine_type, &zone, spot, boot));
                    }
                    self.provisioned.insert(name, ids.clone());
                    CloudReply::Provisioned(ids)
                }
            }
            CloudRequest::Terminate { machines } => {
                for id in machines {
                    if let Some(machine) = self.ground_truth.machines.get_mut(&id) {
                        // No violation if heartbeats were answered again only just before the termination: the
                        // decision may be older.
                        let heartbeats_answered = self.now - machine.lease_renewed_at < ms(3_000)
                            && self.now - machine.steady_since > ms(5_000);
                        let runs = machine
                            .tasks
                            .values()
                            .any(super::machines::Task::on_machine);
                        if !machine.dead
                            && heartbeats_answered
                            && runs
                            && machine.preempt_at.is_none()
                        {
                            let t = self.now.as_secs_decimal();
                            self.ground_truth.violations.push(format!(
                                "{t:.3} {id} was terminated with running tasks although its heartbeats were answered"
                            ));
                        }
                        machine.dead = true;
                    }
                }
                CloudReply::Terminated
            }
            CloudRequest::ListMachines { .. } => {
                let lag = self.settings.list_lag;
                let machines = self
                    .ground_truth
                    .machines
                    .iter()
                    .filter(|(_, machine)| {
                        let overdue = machine.up_at > self.now
                            && machine.provisioned_at + lag + ms(9_000) < self.now;
                        !machine.dead
                            && (machine.up_at + lag < self.now || machine.up_at == ms(1) || overdue)
                    })
                    .map(|(id, machine)| ListedMachine {
                        id: id.clone(),
                        machine_type: machine.kind.clone(),
                        zone: machine.zone.clone(),
                        spot: machine.spot,
                        state: if machine.up_at > self.now {
                            ListedState::Starting
                        } else {
                            ListedState::Running
                        },
                        age: self.now - machine.up_at.min(self.now),
                    })
                    .collect();
                CloudReply::Page {
                    machines,
                    more: false,
                }
            }
        };
        if late {
            return;
        }
        if let Some(request) = copy.filter(|_| !matches!(reply, CloudReply::NoCapacity)) {
            self.maybe_repeat(|| RepeatedRequest::Cloud {
                controller,
                request,
            });
        }
        let command = Command::Cloud { call, reply };
        if provisioning && self.now < self.slow_provisioning_until {
            self.cover("the cloud took seconds to answer a request for machines");
            let d = ms(self.rng.random_range(2_000..4_000));
            return self.schedule_after(
                d,
                Event::DeliverCommand {
                    controller,
                    generation,
                    command: Box::new(command),
                },
            );
        }
        self.send_to_controller(controller, generation, command);
    }

    /// The boot time of a new machine: `usual`, unless `Fault::BadBoots` is active.
    fn boot_time(&mut self, usual: Micros) -> Micros {
        let BadBoots {
            until,
            never,
            percent,
        } = self.bad_boots;
        if self.now >= until {
            return usual;
        }
        if self.rng.random_range(0..100) < never {
            self.cover("a machine was rented that never comes up");
            return Micros::MAX;
        }
        self.cover("a machine was rented that boots faster or slower");
        usual.times(percent).divided_by(100)
    }

    /// Machines that are still provisioned and will never boot.
    pub fn never_booting(&self) -> Vec<MachineId> {
        let never = |machine: &Machine| !machine.dead && machine.up_at >= Micros::MAX;
        self.ground_truth
            .machines
            .iter()
            .filter(|(_, machine)| never(machine))
            .map(|(id, _)| id.clone())
            .collect()
    }
}
