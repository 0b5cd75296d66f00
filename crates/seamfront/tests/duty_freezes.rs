//! Real processes that hold duties, on loopback: they are frozen and resumed at drawn steps, requests of theirs are
//! carried out after their successors', and the cloud's ledger is read afterwards. Asserted are counts and order, never
//! speed. `FREEZES=1000` plays a long run.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::{kill_process, Pid, Signal};
use seamfront_core::types::Micros;
use seamfront_testing::cloud::Cloud;
use seamfront_testing::http;
use seamfront_testing::store_service::StoreService;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MEMBERS: usize = 5;
const FREEZES: usize = 100;
const TARGET: usize = 6;
const LEASE_MS: u64 = 1_000;
const ANSWER_MS: u64 = 400;
const LIST_LAG: Micros = Micros::from_millis(2_000);
/// Members that are frozen at once at the most, so that somebody is there to take over.
const FROZEN: usize = 3;
const SEED: u64 = 20_261_202;
/// Nothing here takes so long for each freeze unless it hangs.
const PATIENCE: Duration = Duration::from_secs(6);

struct Member {
    process: Child,
    frozen: bool,
    /// Requests until the next freeze.
    steps: u32,
}

#[derive(Default)]
struct Counts {
    freezes: usize,
    /// Requests that were carried out while their sender was frozen, after some time.
    held_back: usize,
    /// Freezes of whoever held the duty of returning.
    holders_of_returns: usize,
}

struct Shared {
    rng: StdRng,
    members: BTreeMap<String, Member>,
    counts: Counts,
    wanted: usize,
    cloud: Cloud,
    /// By machine, the operation that returns it, as the logs recorded it.
    returned_by: BTreeMap<String, String>,
    broken: Vec<String>,
    /// By duty: the last claim that was written.
    holders: BTreeMap<String, String>,
}

type Simulation = Arc<Mutex<Shared>>;

/// What happens to a request that a member is frozen at.
struct Freeze {
    /// How long the request waits before it is carried out.
    hold_back: Duration,
    /// How long the process stays frozen after that.
    thaw_after: Duration,
}

impl Shared {
    /// Whether the member is to be frozen at this request. It is frozen at once if so.
    fn freeze(&mut self, name: &str, important: bool) -> Option<Freeze> {
        let frozen = self.members.values().filter(|member| member.frozen).count();
        let over = self.counts.freezes >= self.wanted || frozen >= FROZEN;
        let member = self.members.get_mut(name)?;
        // What acts on the outside counts more, so that freezes are often in the midst of that.
        member.steps = member.steps.saturating_sub(if important { 8 } else { 1 });
        if over || member.frozen || member.steps > 0 {
            return None;
        }
        let pid = Pid::from_raw(member.process.id() as i32)?;
        kill_process(pid, Signal::STOP).ok()?;
        member.frozen = true;
        member.steps = self.rng.random_range(8..60);
        self.counts.freezes += 1;
        self.counts.holders_of_returns += usize::from(
            self.holders
                .get("returning")
                .is_some_and(|holder| holder == name),
        );
        let lease = LEASE_MS as i64;
        let mut draw = |most: i64| Duration::from_millis(self.rng.random_range(0..most) as u64);
        let thaw_after = draw(3 * lease);
        let hold_back = if draw(2).is_zero() {
            Duration::ZERO
        } else {
            draw(2 * lease)
        };
        self.counts.held_back += usize::from(!hold_back.is_zero());
        Some(Freeze {
            hold_back,
            thaw_after,
        })
    }

    fn thaw(&mut self, name: &str) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if let Some(pid) = Pid::from_raw(member.process.id() as i32) {
            let _ = kill_process(pid, Signal::CONT);
        }
        member.frozen = false;
    }

    /// Reads a claim or a log that a member has written.
    fn note_commit(&mut self, body: &Value) {
        for change in body["apply"].as_array().into_iter().flatten() {
            let key = change["write"].as_str().unwrap_or("");
            if let Some(duty) = key.strip_prefix("duty/claim/") {
                let holder = change["data"]["member"].as_str().unwrap_or("").to_owned();
                self.holders.insert(duty.to_owned(), holder);
            }
            if key == "duty-log/returning" {
                self.note_returns(&change["data"]);
            }
        }
    }

    /// A machine stands in one return only.
    fn note_returns(&mut self, log: &Value) {
        for operation in log["open"].as_array().into_iter().flatten() {
            let name = operation["name"].to_string();
            for machine in operation["payload"]["return"]["machines"]
                .as_array()
                .into_iter()
                .flatten()
            {
                let machine = machine.as_str().unwrap_or("").to_owned();
                let first = self
                    .returned_by
                    .entry(machine.clone())
                    .or_insert(name.clone());
                if *first != name {
                    self.broken
                        .push(format!("{machine} is returned by {first} and by {name}"));
                }
            }
        }
    }

    fn rent(&mut self, now: Micros, body: &Value) -> (u16, Value) {
        let order = body["encomenda"].as_str().unwrap_or("").to_owned();
        let count = body["count"].as_u64().unwrap_or(0) as usize;
        let machines = self
            .cloud
            .provision(now, &order, count, true)
            .unwrap_or_default();
        let live = self.cloud.live().len();
        if live > TARGET {
            self.broken.push(format!(
                "{live} machines after {order}, at most {TARGET} may be"
            ));
        }
        (200, json!({ "fornalhas": machines }))
    }

    fn list(&self, now: Micros) -> (u16, Value) {
        let machine =
            |id: String| json!({"id": id, "modelo": "small", "praca": "a", "ponto": "running"});
        let listed: Vec<Value> = self
            .cloud
            .list_at(now - LIST_LAG)
            .into_iter()
            .map(machine)
            .collect();
        (200, json!({ "fornalhas": listed, "more": false }))
    }

    fn delete(&mut self, now: Micros, body: &Value) -> (u16, Value) {
        let names = body["fornalhas"].as_array().into_iter().flatten();
        let names: Vec<String> = names
            .filter_map(|name| name.as_str().map(str::to_owned))
            .collect();
        self.cloud.terminate(now, &names);
        (200, json!({}))
    }
}

/// Serves a member; it may be frozen at any request, before or after that is carried out.
fn with_freezes(
    world: &Simulation,
    member: &str,
    important: bool,
    carry_out: impl FnOnce() -> (u16, Value),
) -> (u16, Value) {
    let freeze = world.lock().unwrap().freeze(member, important);
    let Some(freeze) = freeze else {
        return carry_out();
    };
    std::thread::sleep(freeze.hold_back);
    let answer = carry_out();
    let (world, member) = (world.clone(), member.to_owned());
    std::thread::spawn(move || {
        std::thread::sleep(freeze.thaw_after);
        world.lock().unwrap().thaw(&member);
    });
    answer
}

fn program() -> PathBuf {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    path.push("examples");
    path.push("duty_holder");
    path
}

fn start(world: &Simulation, service: &StoreService, name: &str, names: &str) {
    let (shared, member, states) = (world.clone(), name.to_owned(), service.clone());
    let state = http::serve(move |method, path, body| {
        let commit = path.starts_with("/commit");
        with_freezes(&shared, &member, commit, || {
            let answer = states.handle(method, path, &body);
            if commit && answer.0 == 200 {
                shared.lock().unwrap().note_commit(&body);
            }
            answer
        })
    });
    let (shared, member, clock) = (world.clone(), name.to_owned(), service.clone());
    let cloud = http::serve(move |method, path, body| {
        with_freezes(&shared, &member, method == "POST", || {
            let mut shared = shared.lock().unwrap();
            match path {
                "/hosts" if method == "POST" => shared.rent(clock.now(), &body),
                "/hosts/delete" => shared.delete(clock.now(), &body),
                _ => shared.list(clock.now()),
            }
        })
    });
    let process = Command::new(program())
        .args([
            "--member",
            name,
            "--members",
            names,
            "--target",
            &TARGET.to_string(),
        ])
        .args(["--state", &state.to_string(), "--cloud", &cloud.to_string()])
        .args([
            "--lease-ms",
            &LEASE_MS.to_string(),
            "--answer-ms",
            &ANSWER_MS.to_string(),
        ])
        .stderr(Stdio::null())
        .spawn()
        .expect("the example duty_holder is built with the tests");
    world.lock().unwrap().members.insert(
        name.to_owned(),
        Member {
            process,
            frozen: false,
            steps: 40,
        },
    );
}

/// Ends the processes, also when a check fails.
struct Processes(Simulation);

impl Drop for Processes {
    fn drop(&mut self) {
        let mut shared = self
            .0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        for member in shared.members.values_mut() {
            let _ = member.process.kill();
            let _ = member.process.wait();
        }
    }
}

fn known(service: &StoreService) -> BTreeSet<String> {
    let store = service.store.lock().unwrap();
    store
        .keys
        .keys()
        .filter_map(|key| key.strip_prefix("machine/").map(str::to_owned))
        .collect()
}

fn wait_until(world: &Simulation, wanted: usize, what: &str, done: impl Fn(&Shared) -> bool) {
    let begin = Instant::now();
    loop {
        {
            let shared = world.lock().unwrap();
            assert!(shared.broken.is_empty(), "{:?}", shared.broken);
            if done(&shared) {
                return;
            }
        }
        assert!(
            begin.elapsed() < PATIENCE * wanted.max(FREEZES) as u32,
            "{what} has not come"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn holders_frozen_at_any_step_rent_and_return_nothing_twice() {
    let wanted = std::env::var("FREEZES")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(FREEZES);
    let world: Simulation = Arc::new(Mutex::new(Shared {
        rng: StdRng::seed_from_u64(SEED),
        members: BTreeMap::new(),
        counts: Counts::default(),
        wanted,
        cloud: Cloud::default(),
        returned_by: BTreeMap::new(),
        broken: Vec::new(),
        holders: BTreeMap::new(),
    }));
    let service = StoreService::new();
    let names: Vec<String> = (0..MEMBERS).map(|member| format!("n{member}")).collect();
    let _processes = Processes(world.clone());
    for name in &names {
        start(&world, &service, name, &names.join(","));
    }
    wait_until(&world, wanted, "the last freeze", |shared| {
        shared.counts.freezes >= wanted && shared.members.values().all(|member| !member.frozen)
    });
    // Returns go on for ever, so the ledger and the records agree only between two of them.
    let agree = |shared: &Shared| known(&service) == *shared.cloud.live();
    wait_until(
        &world,
        wanted,
        "a moment in which all machines are known",
        agree,
    );
    let shared = world.lock().unwrap();
    let (counts, ledger) = (&shared.counts, &shared.cloud.ledger);
    let returned = ledger
        .values()
        .filter(|machine| machine.terminated_at.is_some())
        .count();
    println!(
        "{} freezes, {} with a request held back, {} of the holder of returns; {} machines, {returned} returned; \
         {} orders and {} returns repeated",
        counts.freezes,
        counts.held_back,
        counts.holders_of_returns,
        ledger.len(),
        shared.cloud.repeated_provisions,
        shared.cloud.repeated_terminations,
    );
    assert!(counts.freezes >= wanted);
    assert!(
        counts.held_back * 5 >= wanted,
        "too few requests were held back"
    );
    assert!(
        counts.holders_of_returns * 20 >= wanted,
        "too few holders were frozen"
    );
    assert!(returned * 2 >= wanted, "too little was done");
    assert_eq!(shared.cloud.provisioned_after_refusal, 0);
    // Each return that was recorded names another machine, and none that is paid for was recorded as returned.
    let paid: Vec<&String> = shared
        .cloud
        .live()
        .iter()
        .filter(|m| !known(&service).contains(*m))
        .collect();
    assert!(paid.is_empty(), "nobody knows {paid:?}");
}
