//! Records the externally visible behaviour of a simulated run, so that two versions of the sources can be compared
//! with `scripts/compare-decisions`: every request to the store and the cloud, every order to an agent, every answer
//! to a user, every message between controllers and every committed write, one line each with its virtual time and
//! controller.
//!
//! With `SEAMFRONT_RECORD_DIR=DIR` each run writes one file there, named after its scenario and seed; without it
//! nothing is recorded. Bodies of more than [`MAX_BODY_CHARS`] characters are cut and end with their length and hash,
//! unless `SEAMFRONT_RECORD_FULL=1`.
//!
//! A record contains no names of types or fields, nor `Debug` output, only keys, paths, names, numbers and JSON as it
//! is stored or sent. Renaming identifiers therefore does not change it.

use super::{
    Answer, BTreeMap, ClientRequestId, CloudRequest, Effect, JobState, Micros, Order,
    PendingRequest, Simulation, StoreReply, StoreRequest, Write,
};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::path::Path;

/// Longest body of a line that is recorded uncut.
const MAX_BODY_CHARS: usize = 240;

/// The scenario of a test, and how many runs it has started with each seed.
struct Scenario {
    id: &'static str,
    runs_started: BTreeMap<u64, u32>,
}

thread_local! {
    static SCENARIO: RefCell<Option<Scenario>> = const { RefCell::new(None) };
}

/// Sets the scenario of all runs that the calling test starts from now on. The records of two versions are matched by
/// this id: it is unique, and it stays when the test is renamed or moved.
pub fn scenario(id: &'static str) {
    SCENARIO.set(Some(Scenario {
        id,
        runs_started: BTreeMap::new(),
    }));
}

/// The file name of the record of the next run with this seed.
fn next_record_name(seed: u64) -> String {
    SCENARIO.with_borrow_mut(|scenario| {
        let scenario = scenario
            .as_mut()
            .expect("a test calls `scenario` before its first simulated run");
        let runs_started = scenario.runs_started.entry(seed).or_default();
        *runs_started += 1;
        match *runs_started {
            1 => format!("{}-{seed}.txt", scenario.id),
            again => format!("{}-{seed}-{again}.txt", scenario.id),
        }
    })
}

/// FNV-1a, which does not depend on the version of the toolchain.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn shortened(body: &str) -> String {
    if body.chars().count() <= MAX_BODY_CHARS {
        return body.to_owned();
    }
    let start: String = body.chars().take(MAX_BODY_CHARS).collect();
    format!("{start}... {} bytes, hash {:016x}", body.len(), hash(body))
}

/// Writes the record of one run.
pub struct Recorder {
    out: BufWriter<File>,
    full: bool,
    /// Number of entries of the store's log that are in the record.
    recorded_writes: usize,
}

impl Recorder {
    /// None unless `SEAMFRONT_RECORD_DIR` is set.
    pub fn from_env(seed: u64) -> Option<Recorder> {
        let dir = std::env::var_os("SEAMFRONT_RECORD_DIR")?;
        let path = Path::new(&dir).join(next_record_name(seed));
        // Never overwritten, since two runs of one name could not be told apart.
        let file = File::create_new(&path)
            .unwrap_or_else(|e| panic!("cannot create the record {}: {e}", path.display()));
        let full = std::env::var("SEAMFRONT_RECORD_FULL").is_ok_and(|v| v == "1");
        Some(Recorder {
            out: BufWriter::new(file),
            full,
            recorded_writes: 0,
        })
    }

    fn line(&mut self, now: Micros, by: &str, body: &str) {
        let body = if self.full {
            body.to_owned()
        } else {
            shortened(body)
        };
        let (seconds, rest) = (now.0 / 1_000_000, now.0 % 1_000_000);
        writeln!(self.out, "{seconds}.{rest:06} {by} {body}").expect("cannot write to the record");
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let flushed = self.out.flush();
        assert!(
            flushed.is_ok() || std::thread::panicking(),
            "cannot flush the record: {flushed:?}"
        );
    }
}

/// The writes of a transaction as JSON.
fn writes_json(writes: &[Write]) -> Vec<Value> {
    let one = |write: &Write| match write {
        Write::Put { key, value, lease } => json!({"put": key, "value": value, "lease": lease}),
        Write::Delete { key } => json!({ "delete": key }),
    };
    writes.iter().map(one).collect()
}

fn store_request_text(request: &StoreRequest) -> String {
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

fn cloud_request_text(request: &CloudRequest, until: Option<Micros>) -> String {
    let call = match request {
        CloudRequest::MachineTypes => "GET /machine_types".to_owned(),
        CloudRequest::Provision {
            name,
            machine_type,
            zone,
            spot,
            count,
        } => {
            format!(
                "POST /hosts {}",
                json!([name, machine_type, zone, spot, count])
            )
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

fn pending_request_text(request: Option<&(PendingRequest, Micros)>) -> String {
    match request.map(|(request, _)| request) {
        Some(PendingRequest::Heartbeat {
            machine,
            incarnation,
            sequence,
            ..
        }) => format!("report of {machine} {incarnation}/{sequence}"),
        Some(PendingRequest::Submit { job }) => format!("submission of {job}"),
        Some(PendingRequest::Poll { job }) => format!("question about {job}"),
        Some(PendingRequest::Cancel { job }) => format!("cancellation of {job}"),
        Some(PendingRequest::InvalidSubmission) => "submission of what can't run".to_owned(),
        None => "what nobody waits for".to_owned(),
    }
}

impl Simulation {
    /// Records an effect of a controller before it is handled.
    pub(super) fn record_effect(&mut self, controller: usize, generation: u64, effect: &Effect) {
        if self.recorder.is_none() {
            return;
        }
        let request_of = |to: &ClientRequestId| {
            pending_request_text(self.pending_requests.get(&(controller, generation, *to)))
        };
        let body = match effect {
            Effect::Store { request, .. } => format!("store: {}", store_request_text(request)),
            Effect::Cloud { request, until, .. } => {
                format!("cloud: {}", cloud_request_text(request, *until))
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
                let message =
                    serde_json::to_value(message).expect("peer messages serialize to JSON");
                format!("message to {}: {message}", self.settings.members[*to])
            }
            Effect::HeartbeatReply {
                to,
                fencing_token,
                orders,
            } => {
                format!(
                    "answer to {}: token {fencing_token}: {}",
                    request_of(to),
                    orders_text(orders)
                )
            }
            Effect::Redirect { to, member } => {
                let owner = member.map_or("unknown", |m| self.settings.members[m].as_str());
                format!("answer to {}: owner {owner}", request_of(to))
            }
            Effect::HealthReply { to, ready } => format!("answer to a health check: {to} {ready}"),
            Effect::Answer { to, answer } => {
                format!("answer to {}: {}", request_of(to), answer_text(answer))
            }
        };
        let by = self.settings.members[controller].clone();
        self.record(&by, &body);
    }

    /// Executes a controller's request in the store and records its writes.
    pub(super) fn execute_in_store(
        &mut self,
        controller: usize,
        request: &StoreRequest,
    ) -> Option<StoreReply> {
        let reply = self.store.execute(self.now, request);
        if self.recorder.is_some() {
            let by = self.settings.members[controller].clone();
            self.record_writes(&by);
        }
        reply
    }

    /// Removes the keys of expired leases from the store and records that.
    pub(super) fn expire_leases(&mut self) {
        self.store.expire(self.now);
        self.record_writes("store");
    }

    /// Records the writes to the store since the last call.
    pub(super) fn record_writes(&mut self, by: &str) {
        let Some(recorder) = &mut self.recorder else {
            return;
        };
        for (revision, key, value) in &self.store.log[recorder.recorded_writes..] {
            let body = match value {
                Some(value) => format!("written at {revision}: {key} {value}"),
                None => format!("removed at {revision}: {key}"),
            };
            recorder.line(self.now, by, &body);
        }
        recorder.recorded_writes = self.store.log.len();
    }

    fn record(&mut self, by: &str, body: &str) {
        if let Some(recorder) = &mut self.recorder {
            recorder.line(self.now, by, body);
        }
    }
}
