//! Serving what waits, the most urgent first: from machines that lie idle, that are on their way, that can be rented,
//! and at last from those that lesser work uses.

use super::renting::Overview;
use super::{cheap, price_of, Picture, Plan, Supply, CHEAP_FACTOR};
use crate::port::Need;
use crate::types::*;
use std::collections::{BTreeMap, BTreeSet};

/// How long ordinary work waits before lesser work is stopped elsewhere for it.
const PATIENCE: Micros = Micros::from_secs(5);
/// Machines cleared at once: what they free is seen before more work is stopped.
const CLEAR_MAX: usize = 3;
/// Boot time of a type that the cloud no longer lists.
const UNKNOWN_BOOT: Micros = Micros::from_secs(60);

/// Needs in the order in which they are served.
pub(super) fn in_order<'a>(picture: &Picture<'a>) -> Vec<(usize, &'a Need)> {
    let mut needs = picture.needs.clone();
    needs.sort_by_key(|(_, n)| {
        (
            turn(n.priority, n.overdue),
            !n.guaranteed,
            n.left.unwrap_or(Micros::MAX),
            Micros::ZERO - n.waited,
        )
    });
    needs
}

/// A machine that is on its way to a shard, with the room that nobody has been given yet.
struct Coming<'a> {
    shard: usize,
    kind: &'a str,
    zone: &'a str,
    spot: bool,
    room: Amounts,
}

/// What may serve one need: it may have to be in one zone by now.
pub(super) struct Target<'a> {
    pub(super) shard: usize,
    pub(super) need: &'a Need,
    zone: Option<&'a str>,
    /// Tasks that have no place in the plan yet.
    pub(super) rest: u32,
}

impl<'a> Target<'a> {
    /// Where nothing can be rented any more in the zone that it gathers in, another zone must hold all of it.
    fn new(picture: &Picture, shard: usize, need: &'a Need) -> Target<'a> {
        let zone = need.zone.as_deref().or(need.gathering.as_deref());
        if need.zone.is_none() && zone.is_some_and(|z| !picture.on_offer(need, z)) {
            let rest = if need.together {
                need.total
            } else {
                need.count
            };
            return Target {
                shard,
                need,
                zone: None,
                rest,
            };
        }
        Target {
            shard,
            need,
            zone,
            rest: need.count,
        }
    }

    /// Whether such a machine may run it.
    pub(super) fn allows(&self, kind: &str, zone: &str, spot: bool) -> bool {
        (self.need.spot || !spot)
            && self.zone.is_none_or(|want| want == zone)
            && self
                .need
                .types
                .as_ref()
                .is_none_or(|types| types.iter().any(|t| t == kind))
    }

    fn allows_machine(&self, m: &Supply) -> bool {
        self.allows(&m.record.kind, &m.record.zone, m.record.spot)
    }

    /// Whether a machine of that size suits it; `room` is what is left of it.
    pub(super) fn suits(&self, size: Amounts, types: &[MachineType]) -> bool {
        suits(self.need.task, self.need.types.as_deref(), size, types)
    }

    /// Gives places on a machine with that room to what has none.
    fn take(&mut self, room: Amounts) -> i64 {
        let taken = room.fits(self.need.task).min(i64::from(self.rest));
        self.rest -= taken as u32;
        taken
    }
}

/// A plan in the making.
pub(super) struct Planner<'p, 'a> {
    pub(super) picture: &'p Picture<'a>,
    pub(super) plan: Plan,
    pub(super) overview: Overview<'a>,
    /// Machines with nothing on them, those let go already first.
    idle: Vec<&'p Supply<'a>>,
    /// Machines on which gangs hold room.
    gathered: Vec<&'p Supply<'a>>,
    /// What may be cleared for more important work, the least loss first.
    lesser: Vec<&'p Supply<'a>>,
    /// Lowered as needs take it.
    coming: Vec<Coming<'p>>,
    /// By shard: gangs that wait there and whose order has not come yet.
    gangs_to_come: BTreeMap<usize, u32>,
    /// Machines that a need keeps or takes.
    wanted: BTreeSet<&'p MachineId>,
    cleared: BTreeSet<&'p MachineId>,
}

impl<'p, 'a> Planner<'p, 'a> {
    pub(super) fn new(picture: &'p Picture<'a>) -> Self {
        let not_clearing = |m: &&Supply| m.up() && !picture.clearing.contains_key(m.id);
        let up: Vec<&Supply> = picture.machines.iter().filter(not_clearing).collect();
        let mut lesser: Vec<&Supply> = up
            .iter()
            .filter(|m| m.view.is_some_and(|v| v.least.is_some()))
            .copied()
            .collect();
        lesser.sort_by_key(|m| (m.view.map(|v| v.loss), m.id));
        let mut idle: Vec<&Supply> = up.into_iter().filter(|m| m.idle().is_some()).collect();
        idle.sort_by_key(|m| (!m.view.is_some_and(|v| v.released), m.id));
        let mut gangs_to_come: BTreeMap<usize, u32> = BTreeMap::new();
        for (shard, _) in picture.needs.iter().filter(|(_, n)| n.together) {
            *gangs_to_come.entry(*shard).or_default() += 1;
        }
        let mut planner = Planner {
            picture,
            plan: Plan::default(),
            overview: Overview::of(picture),
            idle,
            gathered: picture.machines.iter().filter(|m| m.gathered()).collect(),
            lesser,
            coming: Vec::new(),
            gangs_to_come,
            wanted: BTreeSet::new(),
            cleared: BTreeSet::new(),
        };
        planner.note_rents();
        picture
            .machines
            .iter()
            .for_each(|m| planner.note_machine(m));
        planner
    }

    pub(super) fn into_plan(self) -> Plan {
        self.plan
    }

    fn note_rents(&mut self) {
        for r in &self.picture.rents {
            let Some(t) = self.picture.types.iter().find(|t| t.name == r.kind) else {
                continue;
            };
            for _ in 0..r.count {
                let (kind, zone) = (r.kind.as_str(), r.zone.as_str());
                self.coming.push(Coming {
                    shard: r.shard,
                    kind,
                    zone,
                    spot: r.spot,
                    room: t.size,
                });
            }
        }
    }

    /// What is cleared for a shard, or boots and is not late, is on its way there.
    fn note_machine(&mut self, m: &'p Supply<'a>) {
        let p = self.picture;
        let r = m.record;
        let coming = |shard: usize| Coming {
            shard,
            kind: r.kind.as_str(),
            zone: r.zone.as_str(),
            spot: r.spot,
            room: m.size,
        };
        if let Some((to, _)) = p.clearing.get(m.id) {
            self.coming.push(coming(*to));
            if m.view.is_some_and(|v| v.released) {
                self.plan.moves.push((m.id.clone(), *to));
            }
            return;
        }
        let boot = p
            .types
            .iter()
            .find(|t| t.name == r.kind)
            .map_or(UNKNOWN_BOOT, |t| t.boot);
        let not_up = m.view.is_none_or(|v| !v.up) && !m.bad();
        if m.view.is_some_and(|v| !v.up) && p.boots.given_up(m.id, boot, p.now) {
            self.plan.returns.push(m.id.clone());
        } else if not_up && m.age < p.boots.late_after(&r.kind, boot) {
            self.coming.push(coming(m.shard));
        }
    }

    /// Finds machines for what waits in a shard.
    pub(super) fn serve(&mut self, shard: usize, need: &Need) {
        if let Some(n) = self.gangs_to_come.get_mut(&shard).filter(|_| need.together) {
            *n -= 1;
        }
        let mut target = Target::new(self.picture, shard, need);
        self.keep_held(&target);
        self.move_idle(&mut target);
        if target.rest == 0 {
            return;
        }
        self.count_coming(&mut target);
        if target.rest == 0 {
            return;
        }
        let rented = self.plan.rents.len();
        self.rent_for(&target);
        // Live services do not wait for a machine to boot, nor does urgent work that would be late by
        // then; other work is helped at lesser work's cost only if there is nothing to rent.
        let patience = if need.guaranteed {
            PATIENCE.over(4)
        } else {
            PATIENCE
        };
        let nothing_to_rent = self.plan.rents.len() == rented;
        if need.service || (nothing_to_rent && need.waited > patience) {
            self.clear_lesser(&mut target);
        }
    }

    /// What it holds already is not for those that come after it. What those hold is for it: gangs
    /// that each hold a part of what none of them can do with would all wait for ever.
    fn keep_held(&mut self, target: &Target) {
        let need = target.need;
        let mut held = if need.together {
            need.total.saturating_sub(need.count)
        } else {
            0
        };
        for m in self.gathered.iter().filter(|m| m.shard == target.shard) {
            if held > 0 && m.size.fits(need.task) > 0 && target.allows_machine(m) {
                self.wanted.insert(m.id);
                held = held.saturating_sub(m.size.fits(need.task).min(i64::from(held)) as u32);
            }
        }
    }

    /// What lies idle elsewhere: it is there now, while what is on its way may take long.
    fn move_idle(&mut self, target: &mut Target) {
        let need = target.need;
        let mut zone_pick: Option<&str> = None;
        for m in &self.idle {
            if target.rest == 0 || self.wanted.contains(m.id) || m.shard == target.shard {
                continue;
            }
            let fits = m.size.fits(need.task) > 0 && target.suits(m.size, self.picture.types);
            if !fits || !target.allows_machine(m) {
                continue;
            }
            if need.one_zone && zone_pick.is_some_and(|z| z != m.record.zone) {
                continue;
            }
            zone_pick = Some(&m.record.zone);
            self.wanted.insert(m.id);
            self.plan.moves.push((m.id.clone(), target.shard));
            target.take(m.size);
        }
    }

    /// What is on its way to this shard.
    fn count_coming(&mut self, target: &mut Target) {
        let shard = target.shard;
        for c in self.coming.iter_mut().filter(|c| c.shard == shard) {
            let suits = target.suits(c.room, self.picture.types);
            if target.rest > 0 && suits && target.allows(c.kind, c.zone, c.spot) {
                let taken = target.take(c.room);
                c.room.sub(target.need.task.times(taken));
            }
        }
    }

    /// What a gang holds is not idle where lesser work uses the rest of the machine, nor where such work is being
    /// stopped for that gang: unless the gang comes after this need, it is the gang's, or gangs of several shards
    /// would clear it from each other without end.
    fn held_for_earlier(&self, m: &Supply) -> bool {
        let gang_to_come = self.gangs_to_come.get(&m.shard).is_some_and(|n| *n > 0);
        self.wanted.contains(m.id) || (m.gathered() && !gang_to_come)
    }

    fn clear_lesser(&mut self, target: &mut Target) {
        let need = target.need;
        for m in &self.lesser {
            if target.rest == 0 || self.cleared.len() >= CLEAR_MAX {
                break;
            }
            let helps = m.shard != target.shard
                && m.view
                    .is_some_and(|v| v.least.is_some_and(|l| l > need.priority))
                && m.size.fits(need.task) > 0
                && target.allows_machine(m)
                && target.suits(m.size, self.picture.types);
            if !helps || self.cleared.contains(m.id) || self.held_for_earlier(m) {
                continue;
            }
            self.cleared.insert(m.id);
            self.plan
                .clear
                .push((m.id.clone(), target.shard, need.priority));
            target.take(m.size);
        }
    }

    /// What nobody wants and has been idle for long is returned.
    pub(super) fn return_spare(&mut self) {
        let p = self.picture;
        for m in &self.idle {
            let cheap = cheap(p.types, price_of(p.types, &m.record.kind, m.record.spot));
            let keep = p
                .tuning
                .idle_keep
                .times(if cheap { CHEAP_FACTOR } else { 1 });
            let spare =
                m.idle().is_some_and(|t| t > keep) && !m.gathered() && !self.wanted.contains(m.id);
            if spare {
                self.plan.returns.push(m.id.clone());
            }
        }
    }
}
