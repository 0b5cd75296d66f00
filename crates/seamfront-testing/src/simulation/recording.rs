//! Records what a history shows to the outside, so that two versions of the sources can be compared with
//! `scripts/compare-decisions`: every request to the state service and the cloud, every order to a worker, every answer
//! to a user, every message between controllers and every committed write, one line each with its virtual time and
//! controller.
//!
//! With `SEAMFRONT_RECORD_DIR=DIR` each history writes one file there, named after its scenario and seed; without it
//! nothing is recorded. Bodies of more than [`LONGEST`] characters are cut and end with their length and hash, unless
//! `SEAMFRONT_RECORD_FULL=1`.
//!
//! A record names no type and no field of the sources: no `Debug` form, only keys, paths, names, numbers and JSON
//! as it is stored or sent. A renaming therefore leaves it as it is.

use super::{
    Answer, Asked, BTreeMap, ClientRequestId, CloudRequest, Effect, JobState, Micros, Order,
    Simulation, StoreReply, StoreRequest, Write,
};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::path::Path;

/// Characters of a line's body that are kept in any case.
const LONGEST: usize = 240;

/// The scenario that a test plays, and how many of its histories each seed has begun.
struct Scenario {
    id: &'static str,
    begun: BTreeMap<u64, u32>,
}

thread_local! {
    static SCENARIO: RefCell<Option<Scenario>> = const { RefCell::new(None) };
}

/// Names the scenario whose histories the calling test plays from now on. The records of two versions are matched by
/// this name: it stays as it is when the test is renamed or moved, and no other test has the same.
pub fn scenario(id: &'static str) {
    SCENARIO.set(Some(Scenario {
        id,
        begun: BTreeMap::new(),
    }));
}

/// The name of the record of a history that begins with this seed.
fn name_of_next(seed: u64) -> String {
    SCENARIO.with_borrow_mut(|scenario| {
        let scenario = scenario
            .as_mut()
            .expect("a test that plays histories calls `scenario` first");
        let begun = scenario.begun.entry(seed).or_default();
        *begun += 1;
        match *begun {
            1 => format!("{}-{seed}.txt", scenario.id),
            again => format!("{}-{seed}-{again}.txt", scenario.id),
        }
    })
}

/// FNV-1a, which is the same on all versions of the toolchain.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn shortened(body: &str) -> String {
    if body.chars().count() <= LONGEST {
        return body.to_owned();
    }
    let start: String = body.chars().take(LONGEST).collect();
    format!("{start}... {} bytes, hash {:016x}", body.len(), hash(body))
}

/// Writes the record of one history.
pub struct Recorder {
    out: BufWriter<File>,
    full: bool,
    /// Entries of the store's log that are in the record.
    logged: usize,
}

impl Recorder {
    /// None unless records are asked for.
    pub fn from_env(seed: u64) -> Option<Recorder> {
        let dir = std::env::var_os("SEAMFRONT_RECORD_DIR")?;
        let path = Path::new(&dir).join(name_of_next(seed));
        // Not overwritten: two histories of one name could not be told apart.
        let file = File::create_new(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        let full = std::env::var("SEAMFRONT_RECORD_FULL").is_ok_and(|v| v == "1");
        Some(Recorder {
            out: BufWriter::new(file),
            full,
            logged: 0,
        })
    }

    fn line(&mut self, now: Micros, by: &str, body: &str) {
        let body = if self.full {
            body.to_owned()
        } else {
            shortened(body)
        };
        let (seconds, rest) = (now.0 / 1_000_000, now.0 % 1_000_000);
        writeln!(self.out, "{seconds}.{rest:06} {by} {body}").expect("the record can be written");
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let flushed = self.out.flush();
        assert!(
            flushed.is_ok() || std::thread::panicking(),
            "the record can't be written: {flushed:?}"
        );
    }
}

/// Writes of a transaction.
fn writes_json(writes: &[Write]) -> Vec<Value> {
    let one = |write: &Write| match write {
        Write::Put { key, value, lease } => json!({"put": key, "value": value, "lease": lease}),
        Write::Delete { key } => json!({ "delete": key }),
    };
    writes.iter().map(one).collect()
}

fn state_text(request: &StoreRequest) -> String {
    match request {
        StoreRequest::Get { key } => format!("GET /kv/{key}"),
        StoreRequest::List { prefix, after } => {
            format!(
                "GET /kv?prefix={prefix}&after={}",
                after.as_deref().unwrap_or_default()
            )
        }
        StoreRequest::CompareAndSwap { conditions, writes } => {
            format!(
                "POST /commit {}",
                json!({"when": conditions, "apply": writes_json(writes)})
            )
        }
        StoreRequest::GrantLease { ttl } => format!("POST /grants {}us", ttl.0),
        StoreRequest::RenewLease { lease } => format!("POST /grants/{lease}/renew"),
        StoreRequest::Watch {
            prefix,
            after,
            wait,
        } => {
            format!(
                "GET /changes?prefix={prefix}&after={after}&hold={}us",
                wait.0
            )
        }
    }
}

fn cloud_text(request: &CloudRequest, until: Option<Micros>) -> String {
    let call = match request {
        CloudRequest::MachineTypes => "GET /machine_types".to_owned(),
        CloudRequest::Provision {
            name,
            kind,
            zone,
            spot,
            count,
        } => {
            format!("POST /hosts {}", json!([name, kind, zone, spot, count]))
        }
        CloudRequest::Terminate { machines } => {
            let names: Vec<&str> = machines
                .iter()
                .map(seamfront_core::types::MachineId::as_str)
                .collect();
            format!("POST /hosts/delete {}", json!(names))
        }
        CloudRequest::ListMachines { after } => {
            format!(
                "GET /hosts?after={}",
                after.as_ref().map_or("", |m| m.as_str())
            )
        }
    };
    until.map_or(call.clone(), |t| format!("{call} before {}us", t.0))
}

fn orders_text(orders: &[Order]) -> String {
    let one = |order: &Order| match order {
        Order::Start { task, attempt } => format!("start {task} {attempt}"),
        Order::Stop {
            task,
            attempt,
            grace,
        } => format!("stop {task} {attempt} {}us", grace.0),
        Order::Forget { task, attempt } => format!("forget {task} {attempt}"),
    };
    orders.iter().map(one).collect::<Vec<_>>().join(", ")
}

fn answer_text(answer: &Answer) -> String {
    match answer {
        Answer::Status {
            created,
            id,
            state,
            done,
            running,
        } => {
            let status = if *created { 201 } else { 200 };
            let state = match state {
                JobState::Queued => "queued",
                JobState::Running => "running",
                JobState::Done => "done",
                JobState::Cancelled => "cancelled",
            };
            format!("{status} {id} {state} done {done} running {running}")
        }
        Answer::NotFound => "404".to_owned(),
        Answer::Rejected(why) => format!("422 {why}"),
        Answer::RetryLater { after } => format!("503 after {}us", after.0),
    }
}

fn asked_text(asked: Option<&(Asked, Micros)>) -> String {
    match asked.map(|(asked, _)| asked) {
        Some(Asked::Heartbeat {
            machine,
            incarnation,
            sequence,
            ..
        }) => format!("report of {machine} {incarnation}/{sequence}"),
        Some(Asked::Submit { job }) => format!("submission of {job}"),
        Some(Asked::Poll { job }) => format!("question about {job}"),
        Some(Asked::Cancel { job }) => format!("cancellation of {job}"),
        Some(Asked::Impossible) => "submission of what can't run".to_owned(),
        None => "what nobody waits for".to_owned(),
    }
}

impl Simulation {
    /// Records what a controller has put out, as soon as it has.
    pub(super) fn record_effect(&mut self, node: usize, life: u64, effect: &Effect) {
        if self.recorder.is_none() {
            return;
        }
        let asked = |to: &ClientRequestId| asked_text(self.asked.get(&(node, life, *to)));
        let body = match effect {
            Effect::Store { request, .. } => format!("store: {}", state_text(request)),
            Effect::Cloud { request, until, .. } => {
                format!("cloud: {}", cloud_text(request, *until))
            }
            Effect::SendDirect {
                machine,
                addr,
                incarnation,
                fencing_token,
                orders,
                ..
            } => {
                format!(
                    "command to {machine} at {addr}, session {incarnation}, token {fencing_token}: {}",
                    orders_text(orders)
                )
            }
            Effect::SendToPeer { to, message } => {
                let message = serde_json::to_value(message).expect("a message can be sent");
                format!("message to {}: {message}", self.settings.members[*to])
            }
            Effect::HeartbeatReply {
                to,
                fencing_token,
                orders,
            } => {
                format!(
                    "answer to {}: token {fencing_token}: {}",
                    asked(to),
                    orders_text(orders)
                )
            }
            Effect::Redirect { to, member } => {
                let owner = member.map_or("unknown", |m| self.settings.members[m].as_str());
                format!("answer to {}: owner {owner}", asked(to))
            }
            Effect::HealthReply { to, ready } => format!("answer to a health check: {to} {ready}"),
            Effect::Answer { to, answer } => {
                format!("answer to {}: {}", asked(to), answer_text(answer))
            }
        };
        let by = self.settings.members[node].clone();
        self.record(&by, &body);
    }

    /// The store carries a request of a controller's out.
    pub(super) fn store_executes(
        &mut self,
        node: usize,
        request: &StoreRequest,
    ) -> Option<StoreReply> {
        let reply = self.store.execute(self.now, request);
        if self.recorder.is_some() {
            let by = self.settings.members[node].clone();
            self.record_writes(&by);
        }
        reply
    }

    /// The store removes what was attached to leases that have ended.
    pub(super) fn leases_expire(&mut self) {
        self.store.expire(self.now);
        self.record_writes("store");
    }

    /// Records what was written to the store since the last time.
    pub(super) fn record_writes(&mut self, by: &str) {
        let Some(recorder) = &mut self.recorder else {
            return;
        };
        for (revision, key, value) in &self.store.log[recorder.logged..] {
            let body = match value {
                Some(value) => format!("written at {revision}: {key} {value}"),
                None => format!("removed at {revision}: {key}"),
            };
            recorder.line(self.now, by, &body);
        }
        recorder.logged = self.store.log.len();
    }

    fn record(&mut self, by: &str, body: &str) {
        if let Some(recorder) = &mut self.recorder {
            recorder.line(self.now, by, body);
        }
    }
}
