//! Stand-in for the cloud that rents and deletes machines.

use super::{
    machine_types, ms, BadBoots, CallId, CloudReply, CloudRequest, Command, Event, ListedMachine,
    ListedState, MachineId, Micros, RngExt, Simulation, Worker,
};

impl Simulation {
    pub(super) fn cloud(
        &mut self,
        node: usize,
        life: u64,
        call: CallId,
        request: CloudRequest,
        late: bool,
    ) {
        if !late && (self.cloud_outage > self.now || self.lost()) {
            if self.cloud_outage <= self.now {
                let d = ms(self.rng.random_range(100..30_000));
                self.after(
                    d,
                    Event::Cloud {
                        node,
                        life,
                        call,
                        request,
                        late: true,
                    },
                );
            }
            return self.tell(
                node,
                life,
                Command::Cloud {
                    call,
                    reply: CloudReply::Failed,
                },
            );
        }
        let rental = matches!(request, CloudRequest::Provision { .. });
        let reply = match request {
            CloudRequest::MachineTypes => CloudReply::MachineTypes(machine_types()),
            CloudRequest::Provision {
                name,
                kind,
                zone,
                spot,
                count,
            } => {
                if let Some(ids) = self.provisioned.get(&name) {
                    CloudReply::Provisioned(ids.clone())
                } else if self.truth.workers.values().filter(|w| !w.dead).count() > self.scale.most
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
                        ids.push(self.provision(&kind, &zone, spot, boot));
                    }
                    self.provisioned.insert(name, ids.clone());
                    CloudReply::Provisioned(ids)
                }
            }
            CloudRequest::Terminate { machines } => {
                for id in machines {
                    if let Some(w) = self.truth.workers.get_mut(&id) {
                        // One that comes back just as it is given up is bad luck and no mistake.
                        let heard = self.now - w.lease_from < ms(3_000)
                            && self.now - w.steady_from > ms(5_000);
                        let runs = w.tasks.values().any(super::workers::Task::on_machine);
                        if !w.dead && heard && runs && w.notice_at.is_none() {
                            let t = self.now.as_secs_decimal();
                            self.truth.broken.push(format!(
                                "{t:.3} {id} was returned under its tasks, though heard of"
                            ));
                        }
                        w.dead = true;
                    }
                }
                CloudReply::Terminated
            }
            CloudRequest::ListMachines { .. } => {
                let lag = self.settings.list_lag;
                let machines = self
                    .truth
                    .workers
                    .iter()
                    .filter(|(_, w)| {
                        let long_not_up =
                            w.up_at > self.now && w.rented_at + lag + ms(9_000) < self.now;
                        !w.dead && (w.up_at + lag < self.now || w.up_at == ms(1) || long_not_up)
                    })
                    .map(|(id, w)| ListedMachine {
                        id: id.clone(),
                        kind: w.kind.clone(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        state: if w.up_at > self.now {
                            ListedState::Starting
                        } else {
                            ListedState::Running
                        },
                        age: self.now - w.up_at.min(self.now),
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
        let command = Command::Cloud { call, reply };
        if rental && self.now < self.slow_rentals {
            self.cover("the cloud took seconds to answer a request for machines");
            let d = ms(self.rng.random_range(2_000..4_000));
            return self.after(
                d,
                Event::ToNode {
                    node,
                    life,
                    command: Box::new(command),
                },
            );
        }
        self.tell(node, life, command);
    }

    /// How long a machine takes to come up, of which `usual` was drawn.
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
        usual.times(percent).over(100)
    }

    /// Machines that are paid for and will never be up.
    pub fn never_up(&self) -> Vec<MachineId> {
        let never = |w: &Worker| !w.dead && w.up_at >= Micros::MAX;
        self.truth
            .workers
            .iter()
            .filter(|(_, w)| never(w))
            .map(|(id, _)| id.clone())
            .collect()
    }
}
