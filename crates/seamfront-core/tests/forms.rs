//! Stored records and messages between controllers, to the letter: what this version writes, and what it reads of the
//! version in production. A change of any text here is a change of what is stored or sent, and needs a migration.
//!
//! The first half decodes and encodes single values. The second half runs an engine against a store and compares keys
//! and values as they are written; then it hands the same texts to a new engine and looks at what it does with them.

use seamfront_core::capacity::ProvisioningRecord;
use seamfront_core::gang::Member;
use seamfront_core::machine::{machine_key, MachineRecord};
use seamfront_core::port::*;
use seamfront_core::record::{decode, encode, part_key, parts_prefix, Layout, WorkRecord};
use seamfront_core::store_session::ClaimValue;
use seamfront_core::types::*;
use seamfront_core::user_api::{end_key, job_key, EndRecord};
use seamfront_core::Engine;
use seamfront_testing::store::Store;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

// ---- single values ---------------------------------------------------------------------------

/// As records are stored: through a JSON value, whose fields are sorted.
fn stored<T: Serialize>(value: &T) -> String {
    serde_json::to_value(value).unwrap().to_string()
}

/// Reads a stored text and writes it again.
fn kept<T: Serialize + DeserializeOwned>(text: &str) {
    let value: Value = serde_json::from_str(text).unwrap();
    let read: T = serde_json::from_value(value).unwrap_or_else(|e| panic!("{text}: {e}"));
    assert_eq!(stored(&read), text);
}

/// Reads a stored text of another version, and compares what would be written instead of it.
fn read_as<T: Serialize + DeserializeOwned>(old: &str, new: &str) {
    let read: T = serde_json::from_str(old).unwrap_or_else(|e| panic!("{old}: {e}"));
    assert_eq!(stored(&read), new);
}

/// Without this field the text must be refused.
fn required<T: DeserializeOwned>(text: &str, fields: &[&str]) {
    for field in fields {
        let mut value: Value = serde_json::from_str(text).unwrap();
        assert!(
            value.as_object_mut().unwrap().remove(*field).is_some(),
            "{field} is not in {text}"
        );
        assert!(
            serde_json::from_value::<T>(value).is_err(),
            "{text} is read without {field}"
        );
    }
}

const JOB: &str = r#"{"checkpoint":30000000,"class":"train","deadline":900000000,"estimate":240000000,"id":"j-000412","image":"img-07","image_mb":6200,"kind":"Gang","need":{"c":8000,"g":1000,"r":64000},"needs":["j-1","j-2"],"needs_parts":3,"one_zone":true,"priority":"Urgent","save":4000000,"spot":true,"spread":false,"submitted":1700000000000017,"tasks":16,"team":"vision","types":["g8","g4"],"zone":"a"}"#;
const JOB_LEAST: &str = r#"{"checkpoint":0,"class":"c","deadline":null,"estimate":0,"id":"j-1","image":"i","image_mb":0,"kind":"Service","need":{"c":0,"g":0,"r":0},"one_zone":false,"priority":"BestEffort","save":0,"spot":false,"spread":true,"submitted":0,"tasks":1,"team":"t","types":null,"zone":null}"#;

#[test]
fn job_records() {
    kept::<JobSpec>(JOB);
    kept::<JobSpec>(JOB_LEAST);
    for kind in ["Array", "Gang", "Service"] {
        kept::<JobSpec>(&JOB.replace("\"Gang\"", &format!("{kind:?}")));
    }
    for priority in ["Critical", "Urgent", "Normal", "BestEffort"] {
        kept::<JobSpec>(&JOB.replace("\"Urgent\"", &format!("{priority:?}")));
    }
    for (kind, text) in [
        (JobKind::Array, "Array"),
        (JobKind::Gang, "Gang"),
        (JobKind::Service, "Service"),
    ] {
        assert_eq!(stored(&kind), format!("{text:?}"));
    }
    // Also in the order in which the version in production declares the fields, and with fields of a later version.
    read_as::<JobSpec>(
        r#"{"id":"j-1","class":"c","team":"t","kind":"Service","priority":"BestEffort","tasks":1,"need":{"c":0,"g":0,"r":0},"types":null,"zone":null,"one_zone":false,"spread":true,"spot":false,"image":"i","image_mb":0,"estimate":0,"checkpoint":0,"save":0,"deadline":null,"submitted":0,"later":{"a":[1]}}"#,
        JOB_LEAST,
    );
    // What may be null may be missing.
    let short = JOB_LEAST
        .replace("\"deadline\":null,", "")
        .replace(",\"types\":null,\"zone\":null", "");
    read_as::<JobSpec>(&short, JOB_LEAST);
    let all =
        "checkpoint class estimate id image image_mb kind need one_zone priority save spot spread submitted tasks team";
    required::<JobSpec>(JOB, &all.split(' ').collect::<Vec<_>>());
}

const WORK: &str = r#"{"a":[[0,2],[3,1]],"d":[[0,2],[4,5]],"dr":true,"e":7,"n":12,"need":{"c":1000,"g":500,"r":2000},"p":{"i-000231":[[2,4,6],[5,6,7]],"i-000232":[[7,8,1]]},"pk":3,"team":"vision"}"#;
const WORK_LEAST: &str =
    r#"{"a":[],"d":[],"dr":false,"e":0,"n":1,"need":{"c":0,"g":0,"r":0},"p":{},"pk":0,"team":"t"}"#;

#[test]
fn work_records() {
    kept::<WorkRecord>(WORK);
    kept::<WorkRecord>(WORK_LEAST);
    required::<WorkRecord>(WORK, &["a", "d", "dr", "e", "n", "need", "p", "pk", "team"]);
    // As the version in production wrote it.
    let old = r#"{"team":"vision","need":{"c":1000,"g":500,"r":2000},"e":7,"dr":true,"a":[[0,2],[3,1]],"n":12,"d":[[0,2],[4,5]],"p":{"i-000231":[[2,4,6],[5,6,7]],"i-000232":[[7,8,1]]},"pk":3}"#;
    read_as::<WorkRecord>(old, WORK);
}

/// Through the functions that lay a record out and put it together again.
#[test]
fn work_records_in_parts() {
    let whole: WorkRecord = serde_json::from_str(WORK).unwrap();
    let one = encode(&whole, &Layout::single(2_048), &[]).unwrap();
    assert_eq!(
        (one.head.to_string().as_str(), one.parts.len(), one.bytes),
        (WORK, 0, WORK.len())
    );
    assert_eq!(decode(one.head, &BTreeMap::new()).unwrap(), whole);

    let split = encode(
        &whole,
        &Layout {
            value_bytes: 120,
            parts: 6,
        },
        &[],
    )
    .unwrap();
    let head = r#"{"dr":true,"e":7,"n":12,"need":{"c":1000,"g":500,"r":2000},"parts":2,"pk":3,"team":"vision"}"#;
    let parts = [
        r#"{"a":[[0,2],[3,1]],"d":[[0,2],[4,5]],"p":{"i-000231":[[2,4,6],[5,6,7]]}}"#,
        r#"{"p":{"i-000232":[[7,8,1]]}}"#,
    ];
    assert_eq!(split.head.to_string(), head);
    assert_eq!(
        split.parts.iter().map(Value::to_string).collect::<Vec<_>>(),
        parts
    );
    let values = |texts: &[&str]| -> BTreeMap<u32, Value> {
        texts
            .iter()
            .enumerate()
            .map(|(k, text)| (k as u32, serde_json::from_str(text).unwrap()))
            .collect()
    };
    let read =
        |head: &str, texts: &[&str]| decode(serde_json::from_str(head).unwrap(), &values(texts));
    assert_eq!(read(head, &parts).unwrap(), whole);
    // A part may lack each of its lists.
    let least = read(&head.replace("\"parts\":2", "\"parts\":1"), &["{}"]).unwrap();
    assert!(least.attempts.is_empty() && least.placed.is_empty() && least.done.count() == 0);
    for field in ["dr", "e", "n", "need", "pk", "team"] {
        let mut lacking: Value = serde_json::from_str(head).unwrap();
        lacking.as_object_mut().unwrap().remove(field);
        assert!(
            decode(lacking, &values(&parts)).is_err(),
            "read without {field}"
        );
    }
    assert_eq!(
        (
            parts_prefix(1).as_str(),
            part_key(1, &"j-2".into(), 0).as_str()
        ),
        ("part/1/", "part/1/j-2/00000")
    );
}

#[test]
fn other_records() {
    for end in [
        r#"{"cancelled":true,"tasks":3}"#,
        r#"{"cancelled":false,"tasks":100000}"#,
    ] {
        kept::<EndRecord>(end);
        required::<EndRecord>(end, &["cancelled", "tasks"]);
    }
    let machine = r#"{"kind":"g8","share":1,"spot":true,"zone":"a"}"#;
    let returned = r#"{"kind":"g8","share":null,"spot":false,"zone":"b"}"#;
    kept::<MachineRecord>(machine);
    kept::<MachineRecord>(returned);
    required::<MachineRecord>(machine, &["kind", "spot", "zone"]);
    read_as::<MachineRecord>(r#"{"share":1,"kind":"g8","zone":"a","spot":true}"#, machine);
    read_as::<MachineRecord>(r#"{"kind":"g8","zone":"b","spot":false}"#, returned);
    let rent = r#"{"count":12,"kind":"g8","share":2,"spot":false,"zone":"b"}"#;
    kept::<ProvisioningRecord>(rent);
    required::<ProvisioningRecord>(rent, &["count", "kind", "share", "spot", "zone"]);
    read_as::<ProvisioningRecord>(
        r#"{"share":2,"kind":"g8","zone":"b","spot":false,"count":12}"#,
        rent,
    );
    let claim = r#"{"lease":4,"member":"n0"}"#;
    kept::<ClaimValue>(claim);
    required::<ClaimValue>(claim, &["lease", "member"]);
    read_as::<ClaimValue>(r#"{"member":"n0","lease":4}"#, claim);
    kept::<Vec<JobId>>(r#"["j-1","j-000412"]"#);
    assert_eq!(job_key(&"j-7".into()), "job/j-7");
    assert_eq!(end_key(&"j-7".into()), "end/j-7");
    assert_eq!(machine_key(&"i-000231".into()), "machine/i-000231");
}

#[test]
fn plain_values() {
    kept::<MachineType>(
        r#"{"boot":45000000,"cache_mb":200000,"fetch_mb_s":1000,"name":"g8","price":12000,"size":{"c":96000,"g":8000,"r":768000},"spot_price":4500,"zones":["a","b"]}"#,
    );
    let members = "Blocked Reserved Pending Running Preempting Preempted Done Failed";
    for member in members.split(' ') {
        kept::<Member>(&format!("{member:?}"));
    }
    kept::<Micros>("-1500000");
    assert_eq!(stored(&Micros::from_millis(250)), "250000");
    assert_eq!(
        stored(&Resources::rounded_up(1.5, 0.25, 4.0)),
        r#"{"c":1500,"g":250,"r":4000}"#
    );
    kept::<TaskNames>(r#"{"job":"j-1","machine":"i-1"}"#);
}

#[derive(Serialize, serde::Deserialize)]
struct TaskNames {
    job: JobId,
    machine: MachineId,
}

// ---- messages between controllers ------------------------------------------------------------

/// As messages are sent: in the order in which their fields are declared.
fn sent_again(text: &str) -> String {
    let message: PeerMessage = serde_json::from_str(text).unwrap_or_else(|e| panic!("{text}: {e}"));
    serde_json::to_string(&message).unwrap()
}

const NEED: &str = r#"{"job":"j-1","task":{"c":1,"g":2,"r":3},"count":2,"total":3,"together":true,"one_zone":false,"gathering":"a","spread":true,"priority":"Normal","guaranteed":false,"overdue":true,"types":["g8","g4"],"zone":"b","spot":false,"image_mb":5,"estimate":6,"waited":7,"left":8,"service":true}"#;
const VIEW: &str = r#"{"i":"i-1","v":4,"n":true,"u":{"c":1,"g":0,"r":2},"p":{"c":1,"g":0,"r":1},"e":9,"g":true,"r":true,"b":true,"t":true,"l":"Urgent","w":3}"#;

fn shard(requests: &str, machines: &str) -> String {
    format!(r#"{{"Share":{{"share":1,"version":7,"needs":[{requests}],"machines":[{machines}]}}}}"#)
}

#[test]
fn messages() {
    let none = NEED
        .replace("\"gathering\":\"a\"", "\"gathering\":null")
        .replace("[\"g8\",\"g4\"]", "null")
        .replace("\"zone\":\"b\"", "\"zone\":null")
        .replace("\"left\":8", "\"left\":null");
    let mut texts = vec![
        r#"{"Alive":{"ready":true,"claims":[["share/0",7],["leader",9]],"awaited":3}}"#.to_owned(),
        r#"{"Alive":{"ready":false,"claims":[],"awaited":0}}"#.to_owned(),
        shard("", ""),
        shard(NEED, VIEW),
        shard(&none, r#"{"i":"i-2","v":5}"#),
        r#"{"Release":{"share":1,"machines":["i-1","i-2"],"above":"Urgent"}}"#.to_owned(),
        r#"{"Release":{"share":0,"machines":[],"above":null}}"#.to_owned(),
        r#"{"Cancelled":{"job":"j-1","tasks":3}}"#.to_owned(),
        r#"{"Progress":{"jobs":[["j-1",2,1],["j-2",0,5]]}}"#.to_owned(),
        r#"{"Progress":{"jobs":[]}}"#.to_owned(),
    ];
    for priority in ["Critical", "Urgent", "Normal", "BestEffort"] {
        texts.push(shard(
            &NEED.replace("Normal", priority),
            &VIEW.replace("Urgent", priority),
        ));
        texts.push(format!(
            r#"{{"Release":{{"share":1,"machines":["i-1"],"above":{priority:?}}}}}"#
        ));
    }
    // Each field of a machine's view by itself, the others left out.
    for field in [
        r#""n":true"#,
        r#""u":{"c":1,"g":2,"r":3}"#,
        r#""p":{"c":1,"g":2,"r":3}"#,
        r#""e":9"#,
        r#""g":true"#,
        r#""r":true"#,
        r#""b":true"#,
        r#""t":true"#,
        r#""l":"Normal""#,
        r#""w":3"#,
    ] {
        texts.push(shard("", &format!(r#"{{"i":"i-1","v":4,{field}}}"#)));
    }
    for text in texts {
        assert_eq!(sent_again(&text), text);
    }
}

/// What other versions may send: fields left out that may be, and fields that this version does not know.
#[test]
fn messages_of_other_versions() {
    for (old, new) in [
        (
            r#"{"Alive":{"ready":true,"claims":[]}}"#,
            r#"{"Alive":{"ready":true,"claims":[],"awaited":0}}"#,
        ),
        (
            r#"{"Release":{"share":1,"machines":[]}}"#,
            r#"{"Release":{"share":1,"machines":[],"above":null}}"#,
        ),
        (
            r#"{"Cancelled":{"later":1,"tasks":3,"job":"j-1"}}"#,
            r#"{"Cancelled":{"job":"j-1","tasks":3}}"#,
        ),
    ] {
        assert_eq!(sent_again(old), new);
    }
    let usual =
        r#"{"i":"i-1","v":4,"n":false,"u":{"c":0,"g":0,"r":0},"e":null,"l":null,"w":0,"later":1}"#;
    assert_eq!(
        sent_again(&shard("", usual)),
        shard("", r#"{"i":"i-1","v":4}"#)
    );
    for bad in [
        r#"{"Later":{}}"#,
        r#"{"Alive":{"ready":true}}"#,
        r#"{"Cancelled":{"job":"j-1"}}"#,
    ] {
        assert!(serde_json::from_str::<PeerMessage>(bad).is_err(), "{bad}");
    }
}

// ---- an engine and its store -----------------------------------------------------------------

/// Values are laid out for a store that takes no more than this.
const VALUE: usize = 300;

/// One controller, the store, and a cloud whose workers finish or fail what they are given.
struct Site {
    now: Micros,
    engine: Engine,
    store: Store,
    waiting: Vec<(CallId, StoreRequest)>,
    /// Key and value of each write, in order; `gone` for removals.
    written: Vec<(String, String)>,
    cloud: Vec<CloudRequest>,
    answers: Vec<Answer>,
    workers: BTreeMap<MachineId, Worker>,
    /// Jobs whose tasks do not end by themselves.
    endless: BTreeSet<JobId>,
    /// Commands for the next step.
    next: Vec<Command>,
    requests: ClientRequestId,
    asked: BTreeMap<ClientRequestId, MachineId>,
    messages: Vec<PeerMessage>,
    cloud_answers: bool,
}

#[derive(Default)]
struct Worker {
    sequence: u64,
    fencing_token: u64,
    tasks: BTreeMap<TaskKey, (u64, TaskState)>,
}

fn type_on_offer() -> MachineType {
    let text = r#"{"boot":1000000,"cache_mb":9000,"fetch_mb_s":1000,"name":"m","price":100,"size":{"c":4000,"g":0,"r":16000},"spot_price":50,"zones":["z"]}"#;
    serde_json::from_str(text).unwrap()
}

impl Site {
    fn new(members: &[&str], entries: &[(&str, &str)]) -> Site {
        let mut settings = seamfront_testing::shard_harness::settings();
        settings.members = members.iter().map(|m| (*m).to_owned()).collect();
        settings.value_bytes = VALUE;
        let mut store = Store::with_page_size(100);
        for (key, value) in entries {
            let value = serde_json::from_str(value).unwrap();
            let writes = vec![Write::Put {
                key: (*key).to_owned(),
                value,
                lease: None,
            }];
            store.execute(
                Micros::ZERO,
                &StoreRequest::CompareAndSwap {
                    conditions: vec![],
                    writes,
                },
            );
        }
        Site {
            now: Micros::from_secs(100),
            engine: Engine::new(settings),
            store,
            waiting: vec![],
            written: vec![],
            cloud: vec![],
            answers: vec![],
            workers: BTreeMap::new(),
            endless: BTreeSet::new(),
            next: vec![],
            requests: 0,
            asked: BTreeMap::new(),
            messages: vec![],
            cloud_answers: true,
        }
    }

    fn request(&mut self) -> ClientRequestId {
        self.requests += 1;
        self.requests
    }

    fn submit(&mut self, spec: JobSpec) {
        let to = self.request();
        self.next.push(Command::Submit {
            to,
            spec: Box::new(spec),
        });
    }

    fn poll(&mut self, id: &str) -> Answer {
        let to = self.request();
        self.next.push(Command::Poll { to, id: id.into() });
        self.answers.clear();
        self.run(1_000);
        self.answers.pop().expect("an answer")
    }

    fn run(&mut self, millis: i64) {
        let end = self.now + Micros::from_millis(millis);
        while self.now < end {
            self.now += Micros::from_millis(50);
            if self.now.0 % 1_000_000 == 0 {
                self.heartbeat();
            }
            let commands = std::mem::take(&mut self.next);
            for effect in self.engine.step(self.now, self.now, commands) {
                self.carry_out(effect);
            }
            self.store.expire(self.now);
            for (call, request) in std::mem::take(&mut self.waiting) {
                self.ask_store(call, request);
            }
        }
    }

    fn ask_store(&mut self, call: CallId, request: StoreRequest) {
        let Some(reply) = self.store.execute(self.now, &request) else {
            return self.waiting.push((call, request));
        };
        if let (StoreRequest::CompareAndSwap { writes, .. }, StoreReply::Committed { .. }) =
            (&request, &reply)
        {
            self.written.extend(writes.iter().map(|write| match write {
                Write::Put { key, value, .. } => (key.clone(), value.to_string()),
                Write::Delete { key } => (key.clone(), "gone".to_owned()),
            }));
        }
        self.next.push(Command::Store { call, reply });
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Store { call, request } => self.waiting.push((call, request)),
            Effect::Answer { answer, .. } => self.answers.push(answer),
            Effect::SendToPeer { message, .. } => self.messages.push(message),
            Effect::HeartbeatReply {
                to,
                fencing_token,
                orders,
            } => {
                let machine = self.asked.remove(&to).expect("a machine");
                self.obey(&machine, fencing_token, orders);
            }
            Effect::SendDirect {
                call,
                machine,
                fencing_token,
                orders,
                ..
            } => {
                self.obey(&machine, fencing_token, orders);
                let heartbeat = Box::new(self.report_of(&machine));
                self.next.push(Command::DirectResult {
                    call,
                    machine,
                    outcome: DirectOutcome::Settled { heartbeat },
                });
            }
            Effect::Cloud { call, request, .. } => {
                let reply = match &request {
                    _ if !self.cloud_answers => CloudReply::Failed,
                    CloudRequest::MachineTypes => CloudReply::MachineTypes(vec![type_on_offer()]),
                    CloudRequest::Provision { count, .. } => {
                        let first = self.workers.len();
                        let ids = (0..*count as usize)
                            .map(|k| MachineId::from(format!("i-{:06}", first + k).as_str()));
                        let ids: Vec<MachineId> = ids.collect();
                        self.workers
                            .extend(ids.iter().map(|id| (id.clone(), Worker::default())));
                        CloudReply::Provisioned(ids)
                    }
                    CloudRequest::Terminate { machines } => {
                        self.workers.retain(|id, _| !machines.contains(id));
                        CloudReply::Terminated
                    }
                    CloudRequest::ListMachines { .. } => {
                        let listed = |id: &MachineId| ListedMachine {
                            id: id.clone(),
                            kind: "m".into(),
                            zone: "z".into(),
                            spot: true,
                            state: ListedState::Running,
                            age: Micros::from_secs(20),
                        };
                        CloudReply::Page {
                            machines: self.workers.keys().map(listed).collect(),
                            more: false,
                        }
                    }
                };
                self.cloud.push(request);
                self.next.push(Command::Cloud { call, reply });
            }
            Effect::Redirect { .. } | Effect::HealthReply { .. } => {}
        }
    }

    fn obey(&mut self, machine: &MachineId, fencing_token: u64, orders: Vec<Order>) {
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        worker.fencing_token = fencing_token;
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    worker
                        .tasks
                        .entry(task)
                        .or_insert((attempt, TaskState::Running));
                }
                Order::Stop { task, attempt, .. } => {
                    worker.tasks.insert(
                        task,
                        (attempt, TaskState::Exited(Exit::Stopped { saved: false })),
                    );
                }
                Order::Forget { task, .. } => {
                    worker.tasks.remove(&task);
                }
            }
        }
    }

    fn report_of(&mut self, machine: &MachineId) -> Heartbeat {
        let worker = self.workers.entry(machine.clone()).or_default();
        worker.sequence += 1;
        let tasks = worker.tasks.iter();
        let tasks = tasks.map(|(task, (attempt, state))| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: *state,
        });
        Heartbeat {
            machine: machine.clone(),
            addr: "10.0.0.1:9000".into(),
            incarnation: 1,
            sequence: worker.sequence,
            fencing_token: worker.fencing_token,
            preemption_notice: None,
            tasks: tasks.collect(),
        }
    }

    fn heartbeat(&mut self) {
        for machine in self.workers.keys().cloned().collect::<Vec<_>>() {
            let to = self.request();
            let heartbeat = Box::new(self.report_of(&machine));
            self.asked.insert(to, machine.clone());
            self.next.push(Command::Heartbeat { to, heartbeat });
            // What was shown running once is done the next time.
            let endless = &self.endless;
            let worker = self.workers.get_mut(&machine).unwrap();
            for (task, (_, state)) in &mut worker.tasks {
                if *state == TaskState::Running && !endless.contains(&task.job) {
                    *state = TaskState::Exited(Exit::Done);
                }
            }
        }
    }

    fn writes(&self, prefix: &str) -> Vec<String> {
        let lines = self.written.iter().filter(|w| w.0.starts_with(prefix));
        let mut lines: Vec<String> = lines.map(|(key, value)| format!("{key} {value}")).collect();
        lines.dedup();
        lines
    }
}

fn spec(text: &str) -> JobSpec {
    serde_json::from_str(text).unwrap()
}

const SMALL_JOB: &str = r#"{"checkpoint":0,"class":"c","deadline":null,"estimate":10000000,"id":"j-1","image":"i","image_mb":10,"kind":"Array","need":{"c":3000,"g":0,"r":1000},"one_zone":false,"priority":"Normal","save":0,"spot":true,"spread":false,"submitted":0,"tasks":1,"team":"t","types":null,"zone":null}"#;

/// The lines of a text, without the spaces before them.
fn lines(text: &str) -> Vec<&str> {
    text.lines()
        .map(str::trim_start)
        .filter(|line| !line.is_empty())
        .collect()
}

#[test]
fn what_an_engine_writes() {
    let mut site = Site::new(&["a"], &[]);
    site.run(10_000);
    site.submit(spec(SMALL_JOB));
    site.endless.insert("j-2".into());
    site.submit(spec(
        &SMALL_JOB
            .replace("j-1", "j-2")
            .replace("Array", "Gang")
            .replace("\"tasks\":1", "\"tasks\":12"),
    ));
    site.run(500);
    site.submit(JobSpec {
        dependencies: vec!["j-1".into(), "j-2".into()],
        ..spec(&SMALL_JOB.replace("j-1", "j-3"))
    });
    site.run(20_000);
    let to = site.request();
    site.next.push(Command::Cancel {
        to,
        id: "j-2".into(),
    });
    site.run(200_000);
    let expected = r#"
        format/a {"parts":true}
        share/0 {"lease":1,"member":"a"}
        leader {"lease":1,"member":"a"}
        types [{"boot":1000000,"cache_mb":9000,"fetch_mb_s":1000,"name":"m","price":100,"size":{"c":4000,"g":0,"r":16000},"spot_price":50,"zones":["z"]}]
        job/j-1 {"checkpoint":0,"class":"c","deadline":null,"estimate":10000000,"id":"j-1","image":"i","image_mb":10,"kind":"Array","need":{"c":3000,"g":0,"r":1000},"one_zone":false,"priority":"Normal","save":0,"spot":true,"spread":false,"submitted":110050000,"tasks":1,"team":"t","types":null,"zone":null}
        job/j-2 {"checkpoint":0,"class":"c","deadline":null,"estimate":10000000,"id":"j-2","image":"i","image_mb":10,"kind":"Gang","need":{"c":3000,"g":0,"r":1000},"one_zone":false,"priority":"Normal","save":0,"spot":true,"spread":false,"submitted":110050000,"tasks":12,"team":"t","types":null,"zone":null}
        job/j-3 {"checkpoint":0,"class":"c","deadline":null,"estimate":10000000,"id":"j-3","image":"i","image_mb":10,"kind":"Array","need":{"c":3000,"g":0,"r":1000},"needs_parts":1,"one_zone":false,"priority":"Normal","save":0,"spot":true,"spread":false,"submitted":110550000,"tasks":1,"team":"t","types":null,"zone":null}
        job/j-1 gone
        job/j-2 gone
        job/j-3 gone
        end/j-1 {"cancelled":false,"tasks":1}
        end/j-2 {"cancelled":true,"tasks":12}
        end/j-3 {"cancelled":true,"tasks":1}
        needs/j-3/00001 ["j-1","j-2"]
        rent/r-2-1 {"count":1,"kind":"m","share":0,"spot":true,"zone":"z"}
        rent/r-2-2 {"count":12,"kind":"m","share":0,"spot":true,"zone":"z"}
        rent/r-2-1 gone
        rent/r-2-2 gone
        machine/i-000000 {"kind":"m","share":0,"spot":true,"zone":"z"}
        machine/i-000000 {"kind":"m","share":null,"spot":true,"zone":"z"}
        machine/i-000000 gone
        work/0/j-1 {"a":[],"d":[],"dr":false,"e":0,"n":2,"need":{"c":3000,"g":0,"r":1000},"p":{"i-000000":[[0,1,1]]},"pk":0,"team":"t"}
        work/0/j-2 {"dr":false,"e":1,"n":1,"need":{"c":3000,"g":0,"r":1000},"parts":2,"pk":0,"team":"t"}
        work/0/j-1 gone
        work/0/j-2 gone
        part/0/j-2/00000 {"p":{"i-000001":[[0,1,1]],"i-000002":[[1,2,1]],"i-000003":[[2,3,1]],"i-000004":[[3,4,1]],"i-000005":[[4,5,1]],"i-000006":[[5,6,1]],"i-000007":[[6,7,1]],"i-000008":[[7,8,1]]}}
        part/0/j-2/00001 {"p":{"i-000009":[[8,9,1]],"i-000010":[[9,10,1]],"i-000011":[[10,11,1]],"i-000012":[[11,12,1]]}}
        part/0/j-2/00001 gone
        part/0/j-2/00000 gone
    "#;
    let shown = [
        "format/",
        "share/",
        "leader",
        "types",
        "job/",
        "end/",
        "needs/",
        "rent/",
        "machine/i-000000",
        "work/",
        "part/",
    ];
    let seen: Vec<String> = shown
        .iter()
        .flat_map(|prefix| site.writes(prefix))
        .collect();
    assert_eq!(seen, lines(expected));
    // Nothing but the other machines' records is left out above.
    let other = |w: &&(String, String)| !shown.iter().any(|prefix| w.0.starts_with(prefix));
    assert!(site
        .written
        .iter()
        .filter(other)
        .all(|w| w.0.starts_with("machine/i-0000")));
}

#[test]
fn what_an_engine_with_duties_writes() {
    let leftovers = [
        ("part/0/j-8/00000", r#"{"a":[[0,1]]}"#),
        ("end/j-8", r#"{"cancelled":false,"tasks":1}"#),
    ];
    let mut site = Site::new(&["a"], &leftovers);
    let mut settings = seamfront_testing::shard_harness::settings();
    settings.members = vec!["a".into()];
    settings.value_bytes = 4_096;
    settings.tuning.duties = true;
    site.engine = Engine::new(settings);
    site.run(10_000);
    site.submit(spec(SMALL_JOB));
    site.run(200_000);
    let expected = r#"
        leader {"lease":1,"member":"a"}
        leader {"lease":0,"member":""}
        duty/member/a {"format":1,"lease":2,"leaving":false,"load":0,"settings":{"duties":["cleaning","renting","returning","moving"],"lease_ms":4000,"members":["a"]}}
        duty/version/a {"format":1}
        duty/switch {"by":"a","ended":6,"format":1}
        duty/claim/cleaning {"format":1,"lease":2,"member":"a"}
        duty/claim/renting {"format":1,"lease":2,"member":"a"}
        duty/claim/returning {"format":1,"lease":2,"member":"a"}
        duty/claim/moving {"format":1,"lease":2,"member":"a"}
        duty-log/cleaning {"ended":0,"format":1,"open":[],"recent":[],"sequence":1,"token":9}
        rent/r-10-1 {"count":1,"kind":"m","share":0,"spot":true,"zone":"z"}
        rent/r-10-1 gone
        part/0/j-8/00000 gone
    "#;
    let shown = ["leader", "duty/", "duty-log/", "rent/", "part/"];
    let seen: Vec<String> = shown
        .iter()
        .flat_map(|prefix| site.writes(prefix))
        .collect();
    assert_eq!(seen, lines(expected));
}

/// What the version in production has left in the store is taken up where it stands.
#[test]
fn what_an_engine_reads() {
    let live = |id: &str, tasks: u32| {
        let tail = format!("\"tasks\":{tasks},");
        SMALL_JOB.replace("j-1", id).replace("\"tasks\":1,", &tail)
    };
    let (one, four) = (live("j-1", 3), live("j-4", 1));
    let five = live("j-5", 1).replace("\"one_zone\"", "\"needs_parts\":1,\"one_zone\"");
    let six = live("j-6", 3).replace("Array", "Gang");
    let head =
        r#"{"dr":false,"e":5,"n":1,"need":{"c":3000,"g":0,"r":1000},"parts":2,"pk":0,"team":"t"}"#;
    let machine = r#"{"share":0,"kind":"m","zone":"z","spot":true}"#;
    let mut entries = vec![
        ("format/a", r#"{"parts":true}"#),
        ("end/j-8", r#"{"cancelled":false,"tasks":7}"#),
        ("end/j-9", r#"{"cancelled":true,"tasks":2}"#),
        ("job/j-1", one.as_str()),
        (
            "work/0/j-1",
            r#"{"team":"t","need":{"c":3000,"g":0,"r":1000},"e":0,"dr":false,"a":[],"n":9,"d":[[0,1]],"p":{"i-000000":[[1,2,4]],"i-000001":[[2,3,8]]},"pk":0}"#,
        ),
        ("job/j-4", four.as_str()),
        ("job/j-5", five.as_str()),
        ("needs/j-5/00001", r#"["j-4"]"#),
        ("job/j-6", six.as_str()),
        ("work/0/j-6", head),
        (
            "part/0/j-6/00000",
            r#"{"a":[[0,2]],"p":{"i-000002":[[0,1,5]],"i-000003":[[1,2,5]]}}"#,
        ),
        ("part/0/j-6/00001", r#"{"p":{"i-000004":[[2,3,5]]}}"#),
        (
            "rent/r-1-1",
            r#"{"share":0,"kind":"m","zone":"z","spot":true,"count":2}"#,
        ),
    ];
    let machines = [
        "machine/i-000000",
        "machine/i-000001",
        "machine/i-000002",
        "machine/i-000003",
        "machine/i-000004",
    ];
    entries.extend(machines.map(|key| (key, machine)));
    let mut site = Site::new(&["a"], &entries);
    site.endless = ["j-1", "j-4", "j-5", "j-6"].map(JobId::from).into();
    for (machine, job, index, attempt) in [
        (0, "j-1", 1, 4),
        (1, "j-1", 2, 8),
        (2, "j-6", 0, 5),
        (3, "j-6", 1, 5),
        (4, "j-6", 2, 5),
    ] {
        let worker = site
            .workers
            .entry(format!("i-{machine:06}").as_str().into())
            .or_default();
        worker.tasks.insert(
            TaskKey {
                job: job.into(),
                index,
            },
            (attempt, TaskState::Running),
        );
    }
    site.run(12_000);
    let status = |id: &str, state, done, running| Answer::Status {
        created: false,
        id: id.into(),
        state,
        done,
        running,
    };
    for (id, state, done, running) in [
        ("j-1", JobState::Running, 1, 2),
        ("j-4", JobState::Running, 0, 1),
        ("j-5", JobState::Queued, 0, 0),
        ("j-6", JobState::Running, 0, 3),
        ("j-8", JobState::Done, 7, 0),
        ("j-9", JobState::Cancelled, 0, 0),
    ] {
        assert_eq!(site.poll(id), status(id, state, done, running));
    }
    assert_eq!(site.poll("j-7"), Answer::NotFound);
    let rented = CloudRequest::Provision {
        name: "r-1-1".into(),
        kind: "m".into(),
        zone: "z".into(),
        spot: true,
        count: 2,
    };
    assert_eq!(
        site.cloud
            .iter()
            .find(|call| matches!(call, CloudRequest::Provision { .. })),
        Some(&rented)
    );
    assert_eq!(site.writes("format/"), Vec::<String>::new());
    // What was rented belongs to the shard that the record names; the waiting job goes on, the one behind it waits.
    let expected = r#"
        share/0 {"lease":1,"member":"a"}
        leader {"lease":1,"member":"a"}
        types [{"boot":1000000,"cache_mb":9000,"fetch_mb_s":1000,"name":"m","price":100,"size":{"c":4000,"g":0,"r":16000},"spot_price":50,"zones":["z"]}]
        machine/i-000005 {"kind":"m","share":0,"spot":true,"zone":"z"}
        machine/i-000006 {"kind":"m","share":0,"spot":true,"zone":"z"}
        rent/r-1-1 gone
        work/0/j-4 {"a":[],"d":[],"dr":false,"e":0,"n":2,"need":{"c":3000,"g":0,"r":1000},"p":{"i-000005":[[0,1,1]]},"pk":0,"team":"t"}
    "#;
    assert_eq!(site.writes(""), lines(expected));
}

/// Without the cloud's word, the machine types in the store tell which jobs can run.
#[test]
fn stored_machine_types_are_read() {
    let types = r#"[{"name":"m","size":{"c":4000,"g":0,"r":16000},"cache_mb":9000,"fetch_mb_s":1000,"price":100,"spot_price":50,"boot":1000000,"zones":["z"]}]"#;
    let later = |answer: &Answer| matches!(answer, Answer::RetryLater { .. });
    for (entries, known) in [(vec![("types", types)], true), (vec![], false)] {
        let mut site = Site::new(&["a"], &entries);
        site.cloud_answers = false;
        site.run(10_000);
        site.submit(spec(&SMALL_JOB.replace("3000", "5000")));
        site.run(3_000);
        let impossible = Answer::Rejected(SubmissionError::NoMachineFits);
        assert!(
            if known {
                site.answers == [impossible]
            } else {
                site.answers.iter().all(later)
            },
            "{:?}",
            site.answers
        );
    }
}

/// Claims of another member are seen for what they are, and what is held is told.
#[test]
fn claims_and_messages() {
    let claim = r#"{"member":"b","lease":77}"#;
    let mut site = Site::new(&["a", "b"], &[("share/0", claim), ("leader", claim)]);
    site.run(20_000);
    let shown = ["share/", "leader", "format/"];
    let seen: Vec<String> = shown
        .iter()
        .flat_map(|prefix| site.writes(prefix))
        .collect();
    assert_eq!(
        seen,
        [
            r#"share/1 {"lease":1,"member":"a"}"#,
            r#"format/a {"parts":true}"#
        ]
    );
    let sent: BTreeSet<String> = site
        .messages
        .iter()
        .map(|m| serde_json::to_string(m).unwrap())
        .collect();
    let expected = [
        r#"{"Alive":{"ready":false,"claims":[],"awaited":0}}"#,
        r#"{"Alive":{"ready":true,"claims":[["share/1",4]],"awaited":0}}"#,
        r#"{"Share":{"share":1,"version":4,"needs":[],"machines":[]}}"#,
    ];
    assert_eq!(sent, expected.map(str::to_owned).into());
}
