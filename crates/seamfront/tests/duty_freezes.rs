//! Runs real processes that hold duties, on loopback. Processes are frozen and resumed at random requests, some of
//! which are carried out only after those of a successor. Afterwards the cloud's ledger is checked. Assertions are on
//! counts and order, never on speed. The environment variable `FREEZES` sets the number of freezes; `FREEZES=1000` is a
//! long run.

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
const DEFAULT_FREEZES: usize = 100;
const TARGET_MACHINES: usize = 6;
const LEASE_MS: u64 = 1_000;
const ANSWER_MS: u64 = 400;
const LIST_LAG: Micros = Micros::from_millis(2_000);
/// The most members that are frozen at the same time, so that at least two can acquire duties.
const MAX_FROZEN_MEMBERS: usize = 3;
const SEED: u64 = 20_261_202;
/// For each freeze. Only a run that hangs takes longer.
const TIMEOUT_PER_FREEZE: Duration = Duration::from_secs(6);

struct Member {
    process: Child,
    frozen: bool,
    /// Counts down to the next freeze. Each request counts as one, or as more if it has side effects.
    countdown: u32,
}

#[derive(Default)]
struct Counts {
    freezes: usize,
    /// Requests that were delayed and carried out while their sender was frozen.
    delayed_requests: usize,
    /// Freezes of the member that held the `returning` duty, which terminates machines.
    termination_holder_freezes: usize,
}

/// What the stand-ins of all members share.
struct TestState {
    rng: StdRng,
    members: BTreeMap<String, Member>,
    counts: Counts,
    wanted_freezes: usize,
    cloud: Cloud,
    /// The operation that terminates a machine, by machine, as recorded in the operation logs.
    terminated_by: BTreeMap<String, String>,
    /// Descriptions of violated invariants.
    violations: Vec<String>,
    /// The member in the last claim that was written, by duty.
    holders: BTreeMap<String, String>,
}

type SharedState = Arc<Mutex<TestState>>;

/// The delays of a request at which a member is frozen.
struct Freeze {
    /// Delay before the request is carried out.
    request_delay: Duration,
    /// How long the process stays frozen after that.
    resume_after: Duration,
}

impl TestState {
    /// Counts a request of the member and freezes its process if the next freeze is due.
    fn count_request(&mut self, name: &str, has_side_effects: bool) -> Option<Freeze> {
        let frozen = self.members.values().filter(|member| member.frozen).count();
        let limit_reached =
            self.counts.freezes >= self.wanted_freezes || frozen >= MAX_FROZEN_MEMBERS;
        let member = self.members.get_mut(name)?;
        // Requests with side effects count more, so that many freezes fall on them.
        member.countdown = member
            .countdown
            .saturating_sub(if has_side_effects { 8 } else { 1 });
        if limit_reached || member.frozen || member.countdown > 0 {
            return None;
        }
        let pid = Pid::from_raw(member.process.id() as i32)?;
        kill_process(pid, Signal::STOP).ok()?;
        member.frozen = true;
        member.countdown = self.rng.random_range(8..60);
        self.counts.freezes += 1;
        self.counts.termination_holder_freezes += usize::from(
            self.holders
                .get("returning")
                .is_some_and(|holder| holder == name),
        );
        let lease_ms = LEASE_MS as i64;
        let mut random_ms = |end: i64| Duration::from_millis(self.rng.random_range(0..end) as u64);
        let resume_after = random_ms(3 * lease_ms);
        let request_delay = if random_ms(2).is_zero() {
            Duration::ZERO
        } else {
            random_ms(2 * lease_ms)
        };
        self.counts.delayed_requests += usize::from(!request_delay.is_zero());
        Some(Freeze {
            request_delay,
            resume_after,
        })
    }

    fn resume(&mut self, name: &str) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if let Some(pid) = Pid::from_raw(member.process.id() as i32) {
            let _ = kill_process(pid, Signal::CONT);
        }
        member.frozen = false;
    }

    /// Records the claims and checks the operation logs that a transaction has written.
    fn record_commit(&mut self, body: &Value) {
        for change in body["apply"].as_array().into_iter().flatten() {
            let key = change["write"].as_str().unwrap_or("");
            if let Some(duty) = key.strip_prefix("duty/claim/") {
                let holder = change["data"]["member"].as_str().unwrap_or("").to_owned();
                self.holders.insert(duty.to_owned(), holder);
            }
            if key == "duty-log/returning" {
                self.check_terminations(&change["data"]);
            }
        }
    }

    /// Checks the invariant that at most one operation terminates a machine.
    fn check_terminations(&mut self, log: &Value) {
        for operation in log["open"].as_array().into_iter().flatten() {
            let name = operation["name"].to_string();
            for machine in operation["payload"]["return"]["machines"]
                .as_array()
                .into_iter()
                .flatten()
            {
                let machine = machine.as_str().unwrap_or("").to_owned();
                let first = self
                    .terminated_by
                    .entry(machine.clone())
                    .or_insert(name.clone());
                if *first != name {
                    self.violations.push(format!(
                        "machine {machine} is terminated by operation {first} and by {name}"
                    ));
                }
            }
        }
    }

    fn provision(&mut self, now: Micros, body: &Value) -> (u16, Value) {
        let request = body["encomenda"].as_str().unwrap_or("").to_owned();
        let count = body["count"].as_u64().unwrap_or(0) as usize;
        let machines = self
            .cloud
            .provision(now, &request, count, true)
            .unwrap_or_default();
        let live = self.cloud.live().len();
        if live > TARGET_MACHINES {
            self.violations.push(format!(
                "{live} machines after request {request}, but at most {TARGET_MACHINES} are allowed"
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

    fn terminate(&mut self, now: Micros, body: &Value) -> (u16, Value) {
        let names = body["fornalhas"].as_array().into_iter().flatten();
        let names: Vec<String> = names
            .filter_map(|name| name.as_str().map(str::to_owned))
            .collect();
        self.cloud.terminate(now, &names);
        (200, json!({}))
    }
}

/// Carries out a request of a member. If the member is frozen at this request, the request may be delayed, and the
/// process is resumed some time after the request was carried out.
fn carry_out_with_freezes(
    state: &SharedState,
    member: &str,
    has_side_effects: bool,
    carry_out: impl FnOnce() -> (u16, Value),
) -> (u16, Value) {
    let freeze = state
        .lock()
        .unwrap()
        .count_request(member, has_side_effects);
    let Some(freeze) = freeze else {
        return carry_out();
    };
    std::thread::sleep(freeze.request_delay);
    let answer = carry_out();
    let (state, member) = (state.clone(), member.to_owned());
    std::thread::spawn(move || {
        std::thread::sleep(freeze.resume_after);
        state.lock().unwrap().resume(&member);
    });
    answer
}

/// The path of the example program `duty_holder`, next to the test binaries.
fn duty_holder_path() -> PathBuf {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    path.push("examples");
    path.push("duty_holder");
    path
}

/// Starts a member. It reaches the shared store and cloud API at addresses of its own, which identify its requests.
fn start_member(state: &SharedState, store: &StoreService, name: &str, names: &str) {
    let (shared, member, shared_store) = (state.clone(), name.to_owned(), store.clone());
    let store_addr = http::serve(move |method, path, body| {
        let commit = path.starts_with("/commit");
        carry_out_with_freezes(&shared, &member, commit, || {
            let answer = shared_store.handle(method, path, &body);
            if commit && answer.0 == 200 {
                shared.lock().unwrap().record_commit(&body);
            }
            answer
        })
    });
    let (shared, member, clock) = (state.clone(), name.to_owned(), store.clone());
    let cloud_addr = http::serve(move |method, path, body| {
        carry_out_with_freezes(&shared, &member, method == "POST", || {
            let mut shared = shared.lock().unwrap();
            match path {
                "/hosts" if method == "POST" => shared.provision(clock.now(), &body),
                "/hosts/delete" => shared.terminate(clock.now(), &body),
                _ => shared.list(clock.now()),
            }
        })
    });
    let process = Command::new(duty_holder_path())
        .args([
            "--member",
            name,
            "--members",
            names,
            "--target",
            &TARGET_MACHINES.to_string(),
        ])
        .args([
            "--state",
            &store_addr.to_string(),
            "--cloud",
            &cloud_addr.to_string(),
        ])
        .args([
            "--lease-ms",
            &LEASE_MS.to_string(),
            "--answer-ms",
            &ANSWER_MS.to_string(),
        ])
        .stderr(Stdio::null())
        .spawn()
        .expect("the example duty_holder starts; cargo builds it with the tests");
    state.lock().unwrap().members.insert(
        name.to_owned(),
        Member {
            process,
            frozen: false,
            countdown: 40,
        },
    );
}

/// Kills the processes of all members when it is dropped, also after a failed check.
struct Processes(SharedState);

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

/// The machines that have a record in the store.
fn recorded_machines(store: &StoreService) -> BTreeSet<String> {
    let entries = store.store.lock().unwrap();
    entries
        .keys
        .keys()
        .filter_map(|key| key.strip_prefix("machine/").map(str::to_owned))
        .collect()
}

/// Waits for a condition, and fails on a violated invariant or after the timeout for this number of freezes.
fn wait_until(
    state: &SharedState,
    wanted_freezes: usize,
    description: &str,
    done: impl Fn(&TestState) -> bool,
) {
    let begin = Instant::now();
    loop {
        {
            let shared = state.lock().unwrap();
            assert!(shared.violations.is_empty(), "{:?}", shared.violations);
            if done(&shared) {
                return;
            }
        }
        assert!(
            begin.elapsed() < TIMEOUT_PER_FREEZE * wanted_freezes.max(DEFAULT_FREEZES) as u32,
            "timed out waiting for {description}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn holders_frozen_at_any_request_provision_and_terminate_no_machine_twice() {
    let wanted_freezes = std::env::var("FREEZES")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(DEFAULT_FREEZES);
    let state: SharedState = Arc::new(Mutex::new(TestState {
        rng: StdRng::seed_from_u64(SEED),
        members: BTreeMap::new(),
        counts: Counts::default(),
        wanted_freezes,
        cloud: Cloud::default(),
        terminated_by: BTreeMap::new(),
        violations: Vec::new(),
        holders: BTreeMap::new(),
    }));
    let store = StoreService::new();
    let names: Vec<String> = (0..MEMBERS).map(|member| format!("n{member}")).collect();
    let _processes = Processes(state.clone());
    for name in &names {
        start_member(&state, &store, name, &names.join(","));
    }
    wait_until(
        &state,
        wanted_freezes,
        "the end of the last freeze",
        |shared| {
            shared.counts.freezes >= wanted_freezes
                && shared.members.values().all(|member| !member.frozen)
        },
    );
    // Machines are terminated throughout the run, so ledger and records agree only between two terminations.
    let agree = |shared: &TestState| recorded_machines(&store) == *shared.cloud.live();
    wait_until(
        &state,
        wanted_freezes,
        "a moment at which the records agree with the ledger",
        agree,
    );
    let shared = state.lock().unwrap();
    let (counts, ledger) = (&shared.counts, &shared.cloud.ledger);
    let terminated = ledger
        .values()
        .filter(|machine| machine.terminated_at.is_some())
        .count();
    println!(
        "{} freezes, {} with a delayed request, {} of the holder of the returning duty; \
         {} machines, {terminated} terminated; {} provisioning and {} termination requests repeated",
        counts.freezes,
        counts.delayed_requests,
        counts.termination_holder_freezes,
        ledger.len(),
        shared.cloud.repeated_provisions,
        shared.cloud.repeated_terminations,
    );
    assert!(counts.freezes >= wanted_freezes);
    assert!(
        counts.delayed_requests * 5 >= wanted_freezes,
        "too few requests were delayed"
    );
    assert!(
        counts.termination_holder_freezes * 20 >= wanted_freezes,
        "the holder of the returning duty was frozen too seldom"
    );
    assert!(
        terminated * 2 >= wanted_freezes,
        "too few machines were terminated"
    );
    assert_eq!(shared.cloud.provisioned_after_refusal, 0);
    // `check_terminations` has checked that each recorded termination names another machine. In addition, no machine
    // that still runs, and costs money, may be missing in the records.
    let unrecorded: Vec<&String> = shared
        .cloud
        .live()
        .iter()
        .filter(|m| !recorded_machines(&store).contains(*m))
        .collect();
    assert!(
        unrecorded.is_empty(),
        "running machines without a record: {unrecorded:?}"
    );
}
