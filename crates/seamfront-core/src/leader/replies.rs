//! What the leader makes of the answers to its calls.

use super::{
    debug, info, machine_key, warn, CloudReply, Engine, LeaderRequest, Micros, Pending,
    Provisioning, ProvisioningStep, StoreReply, StoreRequest, Write, FORMER_ASKED_WITHIN,
    REFUSED_FOR,
};

impl Engine {
    pub(crate) fn leader_store_reply(
        &mut self,
        version: u64,
        call: LeaderRequest,
        reply: StoreReply,
    ) {
        let now = self.now;
        let duty = call.duty();
        if self.fleet_token(duty) != Some(version) {
            return;
        }
        if let StoreReply::Conflict { failed } = &reply {
            if failed.contains(&self.fence_key(duty, version)) {
                return self.fence_refused(duty, version);
            }
        }
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        match call {
            LeaderRequest::ListProvisionings { mut entries } => {
                let (done, after) = match reply {
                    StoreReply::Page {
                        entries: page,
                        more,
                        ..
                    } => {
                        entries.extend(page);
                        (!more, entries.last().map(|e| e.key.clone()))
                    }
                    _ => (false, entries.last().map(|e| e.key.clone())),
                };
                if !done {
                    let pending = Pending::Leader {
                        version,
                        call: LeaderRequest::ListProvisionings { entries },
                    };
                    return self.send_to_store(
                        StoreRequest::List {
                            prefix: "rent/".to_owned(),
                            after,
                        },
                        pending,
                    );
                }
                for e in entries {
                    let name = e.key.strip_prefix("rent/").unwrap_or(&e.key).to_owned();
                    match serde_json::from_value(e.value) {
                        Ok(record) => {
                            info!(name, "repeating a former leader's request");
                            let asked_at = Some(now - FORMER_ASKED_WITHIN);
                            let provisioning = Provisioning {
                                record,
                                step: ProvisioningStep::Ready,
                                asked_at,
                                retry_at: now,
                                got: Vec::new(),
                            };
                            l.provisionings.insert(name, provisioning);
                        }
                        Err(e) => warn!(name, %e, "unreadable rent record"),
                    }
                }
                l.loaded = true;
            }
            LeaderRequest::RecordProvisioning { name } => match reply {
                StoreReply::Committed { .. } => {
                    if let Some(r) = l.provisionings.get_mut(&name) {
                        r.step = ProvisioningStep::Ready;
                    }
                }
                // Whether it was recorded is unknown: nothing was asked of the cloud under this
                // name, and a successor that finds it may ask.
                _ => {
                    l.provisionings.remove(&name);
                }
            },
            LeaderRequest::RecordMachines { name, ids, last } => match reply {
                StoreReply::Committed { .. } if !last => {
                    if let Some(r) = l.provisionings.get_mut(&name) {
                        r.got.retain(|id| !ids.contains(id));
                        r.retry_at = now;
                    }
                }
                StoreReply::Committed { .. } => {
                    if let Some(r) = l.provisionings.remove(&name) {
                        debug!(name, machines = r.got.len(), "request settled");
                    }
                }
                _ => {
                    if let Some(r) = l.provisionings.get_mut(&name) {
                        r.retry_at = now + Micros::from_millis(500);
                    }
                }
            },
            LeaderRequest::AssignMachines { ids, .. } => {
                for id in ids {
                    l.writes_in_flight.remove(&id);
                }
            }
            LeaderRequest::ForgetMachines | LeaderRequest::TypesWritten => {}
            LeaderRequest::MachineTypes
            | LeaderRequest::ListMachines
            | LeaderRequest::Provision { .. }
            | LeaderRequest::Terminate { .. } => {}
        }
    }

    pub(crate) fn leader_cloud_reply(
        &mut self,
        version: u64,
        call: LeaderRequest,
        reply: CloudReply,
    ) {
        let now = self.now;
        let lag = self.settings.list_lag;
        if self.fleet_token(call.duty()) != Some(version) {
            return;
        }
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if matches!(reply, CloudReply::Failed) {
            l.cloud_backoff_until = now + Micros::from_millis(700);
        }
        match (call, reply) {
            (LeaderRequest::MachineTypes, reply) => {
                l.types_busy = false;
                l.types_next = now + Micros::from_secs(2);
                if let CloudReply::MachineTypes(types) = reply {
                    l.types_next = now + Micros::from_secs(30);
                    let value = serde_json::to_value(&types).unwrap_or_default();
                    self.types_known(types);
                    let writes = vec![Write::Put {
                        key: "types".to_owned(),
                        value,
                        lease: None,
                    }];
                    self.leader_commit(vec![], writes, LeaderRequest::TypesWritten);
                }
            }
            (LeaderRequest::ListMachines, reply) => {
                l.list_busy = false;
                match reply {
                    CloudReply::Page { machines, more } => {
                        l.listing.extend(machines);
                        if !more {
                            l.list_next = now + lag.over(3).max(Micros::from_secs(2));
                            let listed = std::mem::take(&mut l.listing);
                            self.adopt(&listed);
                        }
                    }
                    _ => {
                        l.listing.clear();
                        l.list_next = now + Micros::from_secs(2);
                    }
                }
            }
            (LeaderRequest::Provision { name }, reply) => {
                let Some(r) = l.provisionings.get_mut(&name) else {
                    return;
                };
                let offer = (r.record.kind.clone(), r.record.zone.clone(), r.record.spot);
                match reply {
                    CloudReply::Provisioned(ids) => {
                        info!(name, machines = ?ids.iter().map(|i| i.as_str()).collect::<Vec<_>>(), "rented");
                        if (ids.len() as u32) < r.record.count {
                            l.unavailable_offers.insert(offer, (now + REFUSED_FOR, 1));
                        } else {
                            l.unavailable_offers.remove(&offer);
                        }
                        for id in &ids {
                            l.boot_times.provisioned(id.clone(), &r.record.kind, now);
                        }
                        r.got = ids;
                    }
                    CloudReply::NoCapacity => {
                        let times = l
                            .unavailable_offers
                            .get(&offer)
                            .map_or(1, |r| (r.1 + 1).min(4));
                        info!(name, kind = %offer.0, zone = %offer.1, spot = offer.2, times, "no capacity");
                        l.unavailable_offers
                            .insert(offer, (now + REFUSED_FOR.times(i64::from(times)), times));
                    }
                    _ => {
                        // Unknown: the same name again, which rents nothing twice.
                        r.step = ProvisioningStep::Ready;
                        r.retry_at = now + Micros::from_secs(1);
                        return;
                    }
                }
                r.step = ProvisioningStep::Settling;
                r.retry_at = now;
            }
            (LeaderRequest::Terminate { ids }, reply) => {
                l.terminate_busy = false;
                if matches!(reply, CloudReply::Terminated) {
                    for id in &ids {
                        l.terminated.insert(id.clone(), now);
                    }
                    let writes = ids
                        .iter()
                        .map(|id| Write::Delete {
                            key: machine_key(id),
                        })
                        .collect();
                    // The owners learn of it from the records' removal; ours may know at once.
                    self.leader_commit(vec![], writes, LeaderRequest::ForgetMachines);
                }
            }
            _ => {}
        }
    }
}
