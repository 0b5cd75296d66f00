//! What the leader makes of the answers to its calls.

use super::*;

impl Engine {
    pub(crate) fn leader_state_reply(&mut self, version: u64, call: LeaderCall, reply: StateReply) {
        let now = self.now;
        let duty = call.duty();
        if self.fleet_token(duty) != Some(version) {
            return;
        }
        if let StateReply::Conflict { failed } = &reply {
            if failed.contains(&self.fence_key(duty, version)) {
                return self.fence_refused(duty, version);
            }
        }
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        match call {
            LeaderCall::Rents { mut entries } => {
                let (done, after) = match reply {
                    StateReply::Page {
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
                        call: LeaderCall::Rents { entries },
                    };
                    return self.state(
                        StateCall::List {
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
                            let rent = Rent {
                                record,
                                step: RentStep::Ready,
                                asked_at,
                                retry_at: now,
                                got: Vec::new(),
                            };
                            l.rents.insert(name, rent);
                        }
                        Err(e) => warn!(name, %e, "unreadable rent record"),
                    }
                }
                l.loaded = true;
            }
            LeaderCall::RecordRent { name } => match reply {
                StateReply::Committed { .. } => {
                    if let Some(r) = l.rents.get_mut(&name) {
                        r.step = RentStep::Ready;
                    }
                }
                // Whether it was recorded is unknown: nothing was asked of the cloud under this
                // name, and a successor that finds it may ask.
                _ => {
                    l.rents.remove(&name);
                }
            },
            LeaderCall::SettleRent { name, ids, last } => match reply {
                StateReply::Committed { .. } if !last => {
                    if let Some(r) = l.rents.get_mut(&name) {
                        r.got.retain(|id| !ids.contains(id));
                        r.retry_at = now;
                    }
                }
                StateReply::Committed { .. } => {
                    if let Some(r) = l.rents.remove(&name) {
                        debug!(name, machines = r.got.len(), "request settled");
                    }
                }
                _ => {
                    if let Some(r) = l.rents.get_mut(&name) {
                        r.retry_at = now + Micros::from_millis(500);
                    }
                }
            },
            LeaderCall::Machines { ids, .. } => {
                for id in ids {
                    l.writing.remove(&id);
                }
            }
            LeaderCall::Forget | LeaderCall::TypesWritten => {}
            LeaderCall::Types
            | LeaderCall::List
            | LeaderCall::Rent { .. }
            | LeaderCall::Delete { .. } => {}
        }
    }

    pub(crate) fn leader_cloud_reply(&mut self, version: u64, call: LeaderCall, reply: CloudReply) {
        let now = self.now;
        let lag = self.cfg.list_lag;
        if self.fleet_token(call.duty()) != Some(version) {
            return;
        }
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if matches!(reply, CloudReply::Failed) {
            l.cloud_rest = now + Micros::from_millis(700);
        }
        match (call, reply) {
            (LeaderCall::Types, reply) => {
                l.types_busy = false;
                l.types_next = now + Micros::from_secs(2);
                if let CloudReply::Types(types) = reply {
                    l.types_next = now + Micros::from_secs(30);
                    let value = serde_json::to_value(&types).unwrap_or_default();
                    self.types_known(types);
                    let apply = vec![Write::Put {
                        key: "types".to_owned(),
                        value,
                        lease: None,
                    }];
                    self.leader_commit(vec![], apply, LeaderCall::TypesWritten);
                }
            }
            (LeaderCall::List, reply) => {
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
            (LeaderCall::Rent { name }, reply) => {
                let Some(r) = l.rents.get_mut(&name) else {
                    return;
                };
                let offer = (r.record.kind.clone(), r.record.zone.clone(), r.record.spot);
                match reply {
                    CloudReply::Rented(ids) => {
                        info!(name, machines = ?ids.iter().map(|i| i.as_str()).collect::<Vec<_>>(), "rented");
                        if (ids.len() as u32) < r.record.count {
                            l.refused.insert(offer, (now + REFUSED_FOR, 1));
                        } else {
                            l.refused.remove(&offer);
                        }
                        for id in &ids {
                            l.boots.rented(id.clone(), &r.record.kind, now);
                        }
                        r.got = ids;
                    }
                    CloudReply::NoCapacity => {
                        let times = l.refused.get(&offer).map_or(1, |r| (r.1 + 1).min(4));
                        info!(name, kind = %offer.0, zone = %offer.1, spot = offer.2, times, "no capacity");
                        l.refused
                            .insert(offer, (now + REFUSED_FOR.times(i64::from(times)), times));
                    }
                    _ => {
                        // Unknown: the same name again, which rents nothing twice.
                        r.step = RentStep::Ready;
                        r.retry_at = now + Micros::from_secs(1);
                        return;
                    }
                }
                r.step = RentStep::Settling;
                r.retry_at = now;
            }
            (LeaderCall::Delete { ids }, reply) => {
                l.delete_busy = false;
                if matches!(reply, CloudReply::Deleted) {
                    for id in &ids {
                        l.gone.insert(id.clone(), now);
                    }
                    let apply = ids
                        .iter()
                        .map(|id| Write::Delete {
                            key: machine_key(id),
                        })
                        .collect();
                    // The owners learn of it from the records' removal; ours may know at once.
                    self.leader_commit(vec![], apply, LeaderCall::Forget);
                }
            }
            _ => {}
        }
    }
}
