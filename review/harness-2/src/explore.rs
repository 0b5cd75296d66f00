//! Not a case: random jobs and random disruptions, two or three at once, with all rules checked. `explore` prints what broke.

use crate::cases::{choir, Outcome};
use crate::deploy::{Deployment, Plan};
use crate::store::chance;
use crate::world::Job;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

pub fn plan() -> Plan {
    let zones = ["qahira", "iskandariya"];
    let mut plan = choir((0..6).map(|i| ("maqam", zones[i % 2], i == 5)).collect());
    plan.types[0].boot_s = 4.0;
    plan.types[1].boot_s = 4.0;
    plan.teams = vec![("a", 16.0, 24.0, 0.0, 0.0), ("b", 8.0, 16.0, 0.0, 0.0), ("c", 8.0, 32.0, 0.0, 0.0)];
    plan.times.lease_s = 8.0;
    plan.times.cancel_s = 16.0;
    plan.times.report_s = 1.0;
    plan.times.gang_wait_s = 10.0;
    plan.times.list_lag_s = 4.0;
    plan
}

#[derive(Default, Clone)]
struct Told {
    accepted: Option<Instant>,
    done: Option<Instant>,
    withdrawn: Option<Instant>,
    asked_to_cancel: bool,
    answered: Option<Instant>,
}

fn pick(n: usize) -> usize {
    ((chance() * n as f64) as usize).min(n - 1)
}

pub fn play(d: &mut Deployment, trouble: bool) -> Outcome {
    let length: f64 = std::env::var("LENGTH").ok().and_then(|t| t.parse().ok()).unwrap_or(70.0);
    let mut told: BTreeMap<String, Told> = BTreeMap::new();
    let mut last = 0;
    let mut ends: Vec<(Instant, Box<dyn FnOnce(&mut Deployment)>)> = Vec::new();
    let begun = Instant::now();
    let (mut next_job, mut next_fault) = (begun, begun + Duration::from_secs(8));
    loop {
        let now = Instant::now();
        let elapsed = now.duration_since(begun).as_secs_f64();
        let mut i = 0;
        while i < ends.len() {
            if ends[i].0 <= now {
                let (_, end) = ends.remove(i);
                end(d);
            } else {
                i += 1;
            }
        }
        if elapsed > length && ends.is_empty() {
            break;
        }
        if elapsed < length && now >= next_job {
            next_job = now + Duration::from_secs_f64(0.2 + chance());
            last += 1;
            submit(d, &mut told, last);
        }
        if trouble && elapsed < length - 10.0 && now >= next_fault {
            next_fault = now + Duration::from_secs_f64(1.0 + 8.0 * chance());
            fault(d, &mut ends);
        }
        let ids: Vec<String> = told.keys().cloned().collect();
        for _ in 0..6 {
            if ids.is_empty() {
                break;
            }
            let id = ids[pick(ids.len())].clone();
            look(d, &mut told, &id);
        }
        if chance() < 0.15 && !ids.is_empty() {
            let id = ids[ids.len() - 1 - pick(ids.len().min(12))].clone();
            cancel(d, &mut told, &id);
        }
        d.locked(|w| w.check_cancelled());
        for i in d.ended() {
            d.locked(|w| w.violation(format!("crash: controller {i} ended by itself")));
            d.start_controller(i);
        }
        std::thread::sleep(Duration::from_millis(60));
    }
    // The troubles are over: everything accepted and not cancelled has to be done.
    let end = Instant::now() + Duration::from_secs(90);
    loop {
        let ids: Vec<String> = told.keys().cloned().collect();
        for id in &ids {
            look(d, &mut told, id);
        }
        d.locked(|w| w.check_cancelled());
        let open: Vec<String> = ids
            .iter()
            .filter(|id| {
                let t = &told[*id];
                t.accepted.is_some() && t.done.is_none() && t.withdrawn.is_none() && d.job(id).kind != "service"
            })
            .cloned()
            .collect();
        if open.is_empty() {
            break;
        }
        if Instant::now() > end {
            d.note(format!("left: {open:?}"));
            for id in &open {
                if let Some(m) = d.locked(|w| w.has_room(id)).filter(|_| d.job(id).kind == "array") {
                    d.locked(|w| w.violation(format!("left: {id}, room on {m}")));
                }
            }
            break;
        }
        std::thread::sleep(Duration::from_secs(2));
    }
    let broken = d.locked(|w| w.broken.clone());
    for line in &broken {
        println!("  {line}");
    }
    let n = d.locked(|w| (w.jobs.len(), w.jobs.values().map(|j| j.starts).sum::<u32>(), w.machines.len()));
    println!("  jobs, starts, machines: {n:?}");
    Outcome::Held
}

fn submit(d: &mut Deployment, told: &mut BTreeMap<String, Told>, number: usize) {
    let id = format!("j-{number:06}");
    let team = ["a", "b", "c"][pick(3)];
    let kind = ["array", "array", "array", "group", "service"][pick(5)];
    let tasks = 1 + pick(4) as u32;
    let mut job = Job::new(&id, team, kind, tasks, 1.0 + pick(3) as f64, 1.0 + pick(4) as f64);
    job.run_s = 1.0 + 8.0 * chance();
    job.estimate_s = if kind == "service" { 0.0 } else { job.run_s };
    job.priority = if kind == "service" { "critical" } else { ["urgent", "normal", "best_effort"][pick(3)] };
    job.image = format!("img-{}", pick(3));
    job.pull_gb = 0.3;
    job.spot = pick(2) == 0;
    job.scatter = kind == "service" && pick(2) == 0;
    job.one_zone = kind == "group" && pick(2) == 0;
    if kind != "service" && number > 3 && pick(4) == 0 {
        let known: Vec<String> = told.iter().filter(|(id, t)| t.accepted.is_some() && d.job(id).kind != "service").map(|(id, _)| id.clone()).collect();
        if !known.is_empty() {
            let first = known[known.len() - 1 - pick(known.len().min(4))].clone();
            job.needs = vec![first];
        }
    }
    let body = job.body();
    d.locked(|w| w.jobs.insert(id.clone(), job));
    told.insert(id.clone(), Told::default());
    resubmit(d, told, &id, &body);
    if pick(4) == 0 {
        look(d, told, &id);
    }
}

fn resubmit(d: &mut Deployment, told: &mut BTreeMap<String, Told>, id: &str, body: &str) {
    let before = told[id].clone();
    let node = pick(d.binds.len());
    let answer = d.call(node, "POST", "/submissions", body, 1.0);
    if let Some((status, answer)) = answer {
        d.note(format!("submit {id} at {node}: {status} {answer}"));
        match status {
            200 | 201 => state(d, told, id, &before, answer.get("ponto").str(), node),
            400 | 422 if before.accepted.is_some() => d.locked(|w| w.violation(format!("forgotten: {id} repeated gets {status}"))),
            422 => d.locked(|w| w.note("422")),
            _ => {}
        }
    }
}

fn look(d: &mut Deployment, told: &mut BTreeMap<String, Told>, id: &str) {
    let before = told[id].clone();
    if before.accepted.is_none() || pick(20) == 0 {
        let body = d.job(id).body();
        return resubmit(d, told, id, &body);
    }
    let node = pick(d.binds.len());
    let Some((status, answer)) = d.call(node, "GET", &format!("/submissions/{id}"), "", 0.7) else { return };
    match status {
        200 => state(d, told, id, &before, answer.get("ponto").str(), node),
        404 => d.locked(|w| w.violation(format!("forgotten: {id} gets 404 at {node}"))),
        _ => {}
    }
}

fn state(d: &mut Deployment, told: &mut BTreeMap<String, Told>, id: &str, before: &Told, state: &str, node: usize) {
    let now = Instant::now();
    let job = d.job(id);
    let cancelled_before = |told: &BTreeMap<String, Told>, id: &str| -> Option<bool> { told.get(id).map(|t| t.asked_to_cancel) };
    let mut to_visit = job.needs.clone();
    let (mut needed_cancelled, mut needed_withdrawn) = (false, None);
    while let Some(needed) = to_visit.pop() {
        needed_cancelled |= cancelled_before(told, &needed).unwrap_or(false);
        if let Some(at) = told.get(&needed).and_then(|t| t.withdrawn) {
            needed_withdrawn = Some(needed_withdrawn.map_or(at, |b: Instant| b.min(at)));
        }
        to_visit.extend(d.job(&needed).needs);
    }
    let mut broken = Vec::new();
    if before.done.is_some() && state != "done" {
        broken.push(format!("went_back: {id} is {state} at {node} after done"));
    }
    if before.withdrawn.is_some() && state != "withdrawn" {
        broken.push(format!("went_back: {id} is {state} at {node} after withdrawn"));
    }
    if state == "withdrawn" && !before.asked_to_cancel && !needed_cancelled {
        broken.push(format!("went_back: {id} is withdrawn at {node}, but nobody cancelled it"));
    }
    if state == "done" && (job.done.len() as u32) < job.tasks {
        broken.push(format!("not_done: {id} is done at {node}, but only {:?} are", job.done));
    }
    let cancel_s = d.locked(|w| w.times.cancel_s);
    if matches!(state, "queued" | "running") && needed_withdrawn.is_some_and(|at| now.duration_since(at).as_secs_f64() > cancel_s + 1.0) {
        broken.push(format!("orphaned: {id} is {state} at {node}"));
    }
    for line in broken {
        d.locked(|w| w.violation(line));
    }
    let t = told.get_mut(id).unwrap();
    t.answered = Some(now);
    t.accepted.get_or_insert(now);
    match state {
        "done" => {
            t.done.get_or_insert(now);
        }
        "withdrawn" => {
            t.withdrawn.get_or_insert(now);
            d.locked(|w| w.jobs.get_mut(id).unwrap().withdrawn.get_or_insert(now).to_owned());
        }
        _ => {}
    }
}

fn cancel(d: &mut Deployment, told: &mut BTreeMap<String, Told>, id: &str) {
    let before = told[id].clone();
    if before.accepted.is_none() {
        return;
    }
    told.get_mut(id).unwrap().asked_to_cancel = true;
    let node = pick(d.binds.len());
    if let Some((200, answer)) = d.call(node, "POST", &format!("/submissions/{id}/abort"), "", 1.0) {
        d.note(format!("cancel {id} at {node}: {answer}"));
        let mut before = before;
        before.asked_to_cancel = true;
        state(d, told, id, &before, answer.get("ponto").str(), node);
        if pick(2) == 0 {
            look(d, told, id);
        }
    }
}

fn fault(d: &mut Deployment, ends: &mut Vec<(Instant, Box<dyn FnOnce(&mut Deployment)>)>) {
    let n = d.binds.len();
    let node = pick(n);
    let now = Instant::now();
    let after = |seconds: f64| now + Duration::from_secs_f64(seconds);
    let machine = |d: &Deployment| {
        d.locked(|w| {
            let live: Vec<String> = w.machines.values().filter(|m| m.gone.is_none() && m.up < now).map(|m| m.id.clone()).collect();
            (!live.is_empty()).then(|| live[pick(live.len())].clone())
        })
    };
    match pick(18) {
        0 | 1 => {
            d.kill_controller(node);
            ends.push((after([0.2, 5.0][pick(2)]), Box::new(move |d| d.start_controller(node))));
        }
        2 => {
            for i in 0..n {
                d.kill_controller(i);
                ends.push((after(0.3 + 5.0 * chance()), Box::new(move |d| d.start_controller(i))));
            }
        }
        3 | 4 => {
            d.signal(node, "STOP");
            ends.push((after(2.0 + 18.0 * chance()), Box::new(move |d| d.signal(node, "CONT"))));
        }
        5 => {
            d.note(format!("store refuses {node}"));
            d.store.fault(|f| f.refused[node] = true);
            ends.push((after(3.0 + 15.0 * chance()), Box::new(move |d| {
                d.note(format!("store refuses {node} no more"));
                d.store.fault(|f| f.refused[node] = false);
            })));
        }
        6 => {
            d.note(format!("store cut from {node}"));
            d.store.fault(|f| f.cut[node] = true);
            ends.push((after(3.0 + 15.0 * chance()), Box::new(move |d| {
                d.note(format!("store cut from {node} no more"));
                d.store.fault(|f| f.cut[node] = false);
            })));
        }
        7 => {
            d.note("store outage");
            d.store.fault(|f| f.outage = true);
            ends.push((after(3.0 + 15.0 * chance()), Box::new(move |d| {
                d.note("store outage over");
                d.store.fault(|f| f.outage = false);
            })));
        }
        8 => {
            if let Some(id) = machine(d) {
                d.locked(|w| {
                    w.machines.get_mut(&id).unwrap().died = true;
                    w.remove_machine(&id, "it stops");
                });
            }
        }
        9 => {
            if let Some(id) = machine(d) {
                let lasts = 1.0 + 7.0 * chance();
                d.locked(|w| w.hang(&id, true, Duration::ZERO));
                ends.push((after(lasts), Box::new(move |d| d.locked(|w| w.hang(&id, false, Duration::from_secs_f64(lasts))))));
            }
        }
        10 => {
            if let Some(id) = machine(d) {
                let what = pick(3);
                let set = move |d: &mut Deployment, on: bool, id: &str| {
                    d.locked(|w| {
                        w.note(format!("machine {id} fault {what}: {on}"));
                        let m = w.machines.get_mut(id).unwrap();
                        match what {
                            0 => m.cut = on,
                            1 => m.deaf = on,
                            _ => m.mute = on,
                        }
                    });
                };
                set(d, true, &id);
                ends.push((after(2.0 + 14.0 * chance()), Box::new(move |d| set(d, false, &id))));
            }
        }
        11 => {
            let at_once = pick(2) == 0;
            d.note(format!("late writes, at once: {at_once}"));
            d.store.fault(|f| (f.late_writes, f.late_at_once) = (0.1 + 0.3 * chance(), at_once));
            ends.push((after(5.0 + 10.0 * chance()), Box::new(|d| d.store.fault(|f| f.late_writes = 0.0))));
        }
        12 => {
            d.note("late commands");
            d.locked(|w| w.late_commands = 0.5);
            ends.push((after(5.0 + 15.0 * chance()), Box::new(|d| d.locked(|w| w.late_commands = 0.0))));
        }
        14..=16 => {
            let state = pick(2) == 0;
            d.note(format!("{node} cut from the others, from the store: {state}"));
            d.mesh_cut.lock().unwrap()[node] = true;
            if state {
                d.store.fault(|f| f.cut[node] = true);
            }
            ends.push((after(3.0 + 15.0 * chance()), Box::new(move |d| {
                d.note(format!("{node} cut no more"));
                d.mesh_cut.lock().unwrap()[node] = false;
                d.store.fault(|f| f.cut[node] = false);
            })));
        }
        13 => {
            d.note("late reports");
            d.locked(|w| w.late_reports = 0.5);
            ends.push((after(5.0 + 15.0 * chance()), Box::new(|d| d.locked(|w| w.late_reports = 0.0))));
        }
        _ => {
            let slow = Duration::from_millis(100 + (900.0 * chance()) as u64);
            d.note(format!("store slow by {slow:?}"));
            d.store.fault(|f| f.slow = slow);
            ends.push((after(3.0 + 10.0 * chance()), Box::new(|d| d.store.fault(|f| f.slow = Duration::ZERO))));
        }
    }
}
