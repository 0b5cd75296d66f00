//! The exact texts of stored records and of messages between controllers: what this version writes, and how it reads
//! what the version in production has written. Changing any text here changes a storage or wire format and needs a
//! migration.
//!
//! The first half decodes and encodes single values. The second half runs an engine with a store and compares the keys
//! and values that it writes, then gives such texts to a new engine and checks how it continues from them.

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

/// The text of a record as it is stored: written through a JSON value, which sorts the fields.
fn stored_text<T: Serialize>(value: &T) -> String {
    serde_json::to_value(value).unwrap().to_string()
}

/// Asserts that a stored text is read and written again unchanged.
fn assert_round_trip<T: Serialize + DeserializeOwned>(text: &str) {
    let value: Value = serde_json::from_str(text).unwrap();
    let read: T = serde_json::from_value(value).unwrap_or_else(|e| panic!("{text}: {e}"));
    assert_eq!(stored_text(&read), text);
}

/// Asserts that a stored text of another version is read, and written again as `new`.
fn assert_rewritten<T: Serialize + DeserializeOwned>(old: &str, new: &str) {
    let read: T = serde_json::from_str(old).unwrap_or_else(|e| panic!("{old}: {e}"));
    assert_eq!(stored_text(&read), new);
}

/// Asserts that a text which lacks any one of these fields is rejected.
fn assert_required<T: DeserializeOwned>(text: &str, fields: &[&str]) {
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
const JOB_MINIMAL: &str = r#"{"checkpoint":0,"class":"c","deadline":null,"estimate":0,"id":"j-1","image":"i","image_mb":0,"kind":"Service","need":{"c":0,"g":0,"r":0},"one_zone":false,"priority":"BestEffort","save":0,"spot":false,"spread":true,"submitted":0,"tasks":1,"team":"t","types":null,"zone":null}"#;

#[test]
fn job_records_keep_their_stored_form() {
    assert_round_trip::<JobSpec>(JOB);
    assert_round_trip::<JobSpec>(JOB_MINIMAL);
    for kind in ["Array", "Gang", "Service"] {
        assert_round_trip::<JobSpec>(&JOB.replace("\"Gang\"", &format!("{kind:?}")));
    }
    for priority in ["Critical", "Urgent", "Normal", "BestEffort"] {
        assert_round_trip::<JobSpec>(&JOB.replace("\"Urgent\"", &format!("{priority:?}")));
    }
    for (kind, text) in [
        (JobKind::Array, "Array"),
        (JobKind::Gang, "Gang"),
        (JobKind::Service, "Service"),
    ] {
        assert_eq!(stored_text(&kind), format!("{text:?}"));
    }
    // Also with the fields in the order in which the version in production declares them, and with a field of a later
    // version.
    assert_rewritten::<JobSpec>(
        r#"{"id":"j-1","class":"c","team":"t","kind":"Service","priority":"BestEffort","tasks":1,"need":{"c":0,"g":0,"r":0},"types":null,"zone":null,"one_zone":false,"spread":true,"spot":false,"image":"i","image_mb":0,"estimate":0,"checkpoint":0,"save":0,"deadline":null,"submitted":0,"later":{"a":[1]}}"#,
        JOB_MINIMAL,
    );
    // Fields that may be null may be missing.
    let short = JOB_MINIMAL
        .replace("\"deadline\":null,", "")
        .replace(",\"types\":null,\"zone\":null", "");
    assert_rewritten::<JobSpec>(&short, JOB_MINIMAL);
    let required_fields =
        "checkpoint class estimate id image image_mb kind need one_zone priority save spot spread submitted tasks team";
    assert_required::<JobSpec>(JOB, &required_fields.split(' ').collect::<Vec<_>>());
}

const WORK: &str = r#"{"a":[[0,2],[3,1]],"d":[[0,2],[4,5]],"dr":true,"e":7,"n":12,"need":{"c":1000,"g":500,"r":2000},"p":{"i-000231":[[2,4,6],[5,6,7]],"i-000232":[[7,8,1]]},"pk":3,"team":"vision"}"#;
const WORK_MINIMAL: &str =
    r#"{"a":[],"d":[],"dr":false,"e":0,"n":1,"need":{"c":0,"g":0,"r":0},"p":{},"pk":0,"team":"t"}"#;

#[test]
fn work_records_keep_their_stored_form() {
    assert_round_trip::<WorkRecord>(WORK);
    assert_round_trip::<WorkRecord>(WORK_MINIMAL);
    assert_required::<WorkRecord>(WORK, &["a", "d", "dr", "e", "n", "need", "p", "pk", "team"]);
    // With the fields in the order in which the version in production writes them.
    let old = r#"{"team":"vision","need":{"c":1000,"g":500,"r":2000},"e":7,"dr":true,"a":[[0,2],[3,1]],"n":12,"d":[[0,2],[4,5]],"p":{"i-000231":[[2,4,6],[5,6,7]],"i-000232":[[7,8,1]]},"pk":3}"#;
    assert_rewritten::<WorkRecord>(old, WORK);
}

/// Splits a record that exceeds the size of a value with `encode`, and puts it together with `decode`.
#[test]
fn work_records_are_split_into_parts_and_read_back() {
    let whole: WorkRecord = serde_json::from_str(WORK).unwrap();
    let unsplit = encode(&whole, &Layout::single(2_048), &[]).unwrap();
    assert_eq!(
        (
            unsplit.head.to_string().as_str(),
            unsplit.parts.len(),
            unsplit.bytes
        ),
        (WORK, 0, WORK.len())
    );
    assert_eq!(decode(unsplit.head, &BTreeMap::new()).unwrap(), whole);

    let split = encode(
        &whole,
        &Layout {
            value_bytes: 120,
            parts: 6,
            parts_bytes: 720,
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
    // All lists of a part are optional.
    let empty = read(&head.replace("\"parts\":2", "\"parts\":1"), &["{}"]).unwrap();
    assert!(empty.attempts.is_empty() && empty.placed.is_empty() && empty.done.count() == 0);
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
fn other_records_and_keys_keep_their_stored_form() {
    for end in [
        r#"{"cancelled":true,"tasks":3}"#,
        r#"{"cancelled":false,"tasks":100000}"#,
    ] {
        assert_round_trip::<EndRecord>(end);
        assert_required::<EndRecord>(end, &["cancelled", "tasks"]);
    }
    let machine = r#"{"kind":"g8","share":1,"spot":true,"zone":"a"}"#;
    let terminating = r#"{"kind":"g8","share":null,"spot":false,"zone":"b"}"#;
    assert_round_trip::<MachineRecord>(machine);
    assert_round_trip::<MachineRecord>(terminating);
    assert_required::<MachineRecord>(machine, &["kind", "spot", "zone"]);
    assert_rewritten::<MachineRecord>(r#"{"share":1,"kind":"g8","zone":"a","spot":true}"#, machine);
    assert_rewritten::<MachineRecord>(r#"{"kind":"g8","zone":"b","spot":false}"#, terminating);
    let provisioning = r#"{"count":12,"kind":"g8","share":2,"spot":false,"zone":"b"}"#;
    assert_round_trip::<ProvisioningRecord>(provisioning);
    assert_required::<ProvisioningRecord>(
        provisioning,
        &["count", "kind", "share", "spot", "zone"],
    );
    assert_rewritten::<ProvisioningRecord>(
        r#"{"share":2,"kind":"g8","zone":"b","spot":false,"count":12}"#,
        provisioning,
    );
    let claim = r#"{"lease":4,"member":"n0"}"#;
    assert_round_trip::<ClaimValue>(claim);
    assert_required::<ClaimValue>(claim, &["lease", "member"]);
    assert_rewritten::<ClaimValue>(r#"{"member":"n0","lease":4}"#, claim);
    assert_round_trip::<Vec<JobId>>(r#"["j-1","j-000412"]"#);
    assert_eq!(job_key(&"j-7".into()), "job/j-7");
    assert_eq!(end_key(&"j-7".into()), "end/j-7");
    assert_eq!(machine_key(&"i-000231".into()), "machine/i-000231");
}

#[test]
fn machine_types_and_scalar_values_keep_their_stored_form() {
    assert_round_trip::<MachineType>(
        r#"{"boot":45000000,"cache_mb":200000,"fetch_mb_s":1000,"name":"g8","price":12000,"size":{"c":96000,"g":8000,"r":768000},"spot_price":4500,"zones":["a","b"]}"#,
    );
    let members = "Blocked Reserved Pending Running Preempting Preempted Done Failed";
    for member in members.split(' ') {
        assert_round_trip::<Member>(&format!("{member:?}"));
    }
    assert_round_trip::<Micros>("-1500000");
    assert_eq!(stored_text(&Micros::from_millis(250)), "250000");
    assert_eq!(
        stored_text(&Resources::rounded_up(1.5, 0.25, 4.0)),
        r#"{"c":1500,"g":250,"r":4000}"#
    );
    assert_round_trip::<TaskNames>(r#"{"job":"j-1","machine":"i-1"}"#);
}

#[derive(Serialize, serde::Deserialize)]
struct TaskNames {
    job: JobId,
    machine: MachineId,
}

// ---- messages between controllers ------------------------------------------------------------

/// Reads a message and writes it again as it is sent, with the fields in the order of their declaration.
fn reencoded(text: &str) -> String {
    let message: PeerMessage = serde_json::from_str(text).unwrap_or_else(|e| panic!("{text}: {e}"));
    serde_json::to_string(&message).unwrap()
}

const REQUEST: &str = r#"{"job":"j-1","task":{"c":1,"g":2,"r":3},"count":2,"total":3,"together":true,"one_zone":false,"gathering":"a","spread":true,"priority":"Normal","guaranteed":false,"overdue":true,"types":["g8","g4"],"zone":"b","spot":false,"image_mb":5,"estimate":6,"waited":7,"left":8,"service":true}"#;
const MACHINE_VIEW: &str = r#"{"i":"i-1","v":4,"n":true,"u":{"c":1,"g":0,"r":2},"p":{"c":1,"g":0,"r":1},"e":9,"g":true,"r":true,"b":true,"t":true,"l":"Urgent","w":3}"#;

fn shard_message(requests: &str, machines: &str) -> String {
    format!(r#"{{"Share":{{"share":1,"version":7,"needs":[{requests}],"machines":[{machines}]}}}}"#)
}

#[test]
fn peer_messages_keep_their_wire_form() {
    let nulls = REQUEST
        .replace("\"gathering\":\"a\"", "\"gathering\":null")
        .replace("[\"g8\",\"g4\"]", "null")
        .replace("\"zone\":\"b\"", "\"zone\":null")
        .replace("\"left\":8", "\"left\":null");
    let mut texts = vec![
        r#"{"Alive":{"ready":true,"claims":[["share/0",7],["leader",9]],"awaited":3}}"#.to_owned(),
        r#"{"Alive":{"ready":false,"claims":[],"awaited":0}}"#.to_owned(),
        shard_message("", ""),
        shard_message(REQUEST, MACHINE_VIEW),
        shard_message(&nulls, r#"{"i":"i-2","v":5}"#),
        r#"{"Release":{"share":1,"machines":["i-1","i-2"],"above":"Urgent"}}"#.to_owned(),
        r#"{"Release":{"share":0,"machines":[],"above":null}}"#.to_owned(),
        r#"{"Cancelled":{"job":"j-1","tasks":3}}"#.to_owned(),
        r#"{"Progress":{"jobs":[["j-1",2,1],["j-2",0,5]]}}"#.to_owned(),
        r#"{"Progress":{"jobs":[]}}"#.to_owned(),
    ];
    for priority in ["Critical", "Urgent", "Normal", "BestEffort"] {
        texts.push(shard_message(
            &REQUEST.replace("Normal", priority),
            &MACHINE_VIEW.replace("Urgent", priority),
        ));
        texts.push(format!(
            r#"{{"Release":{{"share":1,"machines":["i-1"],"above":{priority:?}}}}}"#
        ));
    }
    // Each optional field of a machine view by itself; the others have their defaults and are left out.
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
        texts.push(shard_message(
            "",
            &format!(r#"{{"i":"i-1","v":4,{field}}}"#),
        ));
    }
    for text in texts {
        assert_eq!(reencoded(&text), text);
    }
}

/// Other versions may leave out optional fields, and send fields that this version does not know.
#[test]
fn peer_messages_of_other_versions_are_read() {
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
        assert_eq!(reencoded(old), new);
    }
    let explicit_defaults =
        r#"{"i":"i-1","v":4,"n":false,"u":{"c":0,"g":0,"r":0},"e":null,"l":null,"w":0,"later":1}"#;
    assert_eq!(
        reencoded(&shard_message("", explicit_defaults)),
        shard_message("", r#"{"i":"i-1","v":4}"#)
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

/// Largest value that the engine writes to the store. Small, so that the work record of a gang of twelve is split.
const VALUE_BYTES: usize = 300;

/// One controller with stand-ins for the store, the cloud API and the agents, which complete the tasks they are given.
struct TestCluster {
    now: Micros,
    engine: Engine,
    store: Store,
    /// Store requests that have not been replied to, open watches among them.
    pending_requests: Vec<(CallId, StoreRequest)>,
    /// Key and value of each committed write, in order, with `gone` as the value of a deletion.
    written: Vec<(String, String)>,
    cloud_requests: Vec<CloudRequest>,
    answers: Vec<Answer>,
    agents: BTreeMap<MachineId, Agent>,
    /// Jobs whose tasks do not end by themselves.
    endless: BTreeSet<JobId>,
    /// Commands for the next step.
    next_commands: Vec<Command>,
    last_client_request: ClientRequestId,
    /// The machine of each heartbeat that has not been replied to.
    unanswered_heartbeats: BTreeMap<ClientRequestId, MachineId>,
    messages: Vec<PeerMessage>,
    /// Whether cloud API calls succeed.
    cloud_available: bool,
}

#[derive(Default)]
struct Agent {
    sequence: u64,
    fencing_token: u64,
    tasks: BTreeMap<TaskKey, (u64, TaskState)>,
}

fn machine_type() -> MachineType {
    let text = r#"{"boot":1000000,"cache_mb":9000,"fetch_mb_s":1000,"name":"m","price":100,"size":{"c":4000,"g":0,"r":16000},"spot_price":50,"zones":["z"]}"#;
    serde_json::from_str(text).unwrap()
}

impl TestCluster {
    fn new(members: &[&str], entries: &[(&str, &str)]) -> TestCluster {
        let mut settings = seamfront_testing::shard_harness::settings();
        settings.members = members.iter().map(|m| (*m).to_owned()).collect();
        settings.value_bytes = VALUE_BYTES;
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
        TestCluster {
            now: Micros::from_secs(100),
            engine: Engine::new(settings),
            store,
            pending_requests: vec![],
            written: vec![],
            cloud_requests: vec![],
            answers: vec![],
            agents: BTreeMap::new(),
            endless: BTreeSet::new(),
            next_commands: vec![],
            last_client_request: 0,
            unanswered_heartbeats: BTreeMap::new(),
            messages: vec![],
            cloud_available: true,
        }
    }

    fn next_client_request(&mut self) -> ClientRequestId {
        self.last_client_request += 1;
        self.last_client_request
    }

    fn submit(&mut self, spec: JobSpec) {
        let to = self.next_client_request();
        self.next_commands.push(Command::Submit {
            to,
            spec: Box::new(spec),
        });
    }

    fn poll(&mut self, id: &str) -> Answer {
        let to = self.next_client_request();
        self.next_commands.push(Command::Poll { to, id: id.into() });
        self.answers.clear();
        self.run(1_000);
        self.answers.pop().expect("the poll is answered")
    }

    fn run(&mut self, millis: i64) {
        let end = self.now + Micros::from_millis(millis);
        while self.now < end {
            self.now += Micros::from_millis(50);
            if self.now.0 % 1_000_000 == 0 {
                self.send_heartbeats();
            }
            let commands = std::mem::take(&mut self.next_commands);
            for effect in self.engine.step(self.now, self.now, commands) {
                self.apply_effect(effect);
            }
            self.store.expire(self.now);
            for (call, request) in std::mem::take(&mut self.pending_requests) {
                self.execute(call, request);
            }
        }
    }

    fn execute(&mut self, call: CallId, request: StoreRequest) {
        let Some(reply) = self.store.execute(self.now, &request) else {
            return self.pending_requests.push((call, request));
        };
        if let (StoreRequest::CompareAndSwap { writes, .. }, StoreReply::Committed { .. }) =
            (&request, &reply)
        {
            self.written.extend(writes.iter().map(|write| match write {
                Write::Put { key, value, .. } => (key.clone(), value.to_string()),
                Write::Delete { key } => (key.clone(), "gone".to_owned()),
            }));
        }
        self.next_commands.push(Command::Store { call, reply });
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Store { call, request } => self.pending_requests.push((call, request)),
            Effect::Answer { answer, .. } => self.answers.push(answer),
            Effect::SendToPeer { message, .. } => self.messages.push(message),
            Effect::HeartbeatReply {
                to,
                fencing_token,
                orders,
            } => {
                let machine = self
                    .unanswered_heartbeats
                    .remove(&to)
                    .expect("each reply belongs to a heartbeat");
                self.apply_orders(&machine, fencing_token, orders);
            }
            Effect::SendDirect {
                call,
                machine,
                fencing_token,
                orders,
                ..
            } => {
                self.apply_orders(&machine, fencing_token, orders);
                let heartbeat = Box::new(self.heartbeat_of(&machine));
                self.next_commands.push(Command::DirectResult {
                    call,
                    machine,
                    outcome: DirectOutcome::Settled { heartbeat },
                });
            }
            Effect::Cloud { call, request, .. } => {
                let reply = match &request {
                    _ if !self.cloud_available => CloudReply::Failed,
                    CloudRequest::MachineTypes => CloudReply::MachineTypes(vec![machine_type()]),
                    CloudRequest::Provision { count, .. } => {
                        let first = self.agents.len();
                        let ids = (0..*count as usize)
                            .map(|k| MachineId::from(format!("i-{:06}", first + k).as_str()));
                        let ids: Vec<MachineId> = ids.collect();
                        self.agents
                            .extend(ids.iter().map(|id| (id.clone(), Agent::default())));
                        CloudReply::Provisioned(ids)
                    }
                    CloudRequest::Terminate { machines } => {
                        self.agents.retain(|id, _| !machines.contains(id));
                        CloudReply::Terminated
                    }
                    CloudRequest::ListMachines { .. } => {
                        let listed = |id: &MachineId| ListedMachine {
                            id: id.clone(),
                            machine_type: "m".into(),
                            zone: "z".into(),
                            spot: true,
                            state: ListedState::Running,
                            age: Micros::from_secs(20),
                        };
                        CloudReply::Page {
                            machines: self.agents.keys().map(listed).collect(),
                            more: false,
                        }
                    }
                };
                self.cloud_requests.push(request);
                self.next_commands.push(Command::Cloud { call, reply });
            }
            Effect::Redirect { .. } | Effect::HealthReply { .. } => {}
        }
    }

    fn apply_orders(&mut self, machine: &MachineId, fencing_token: u64, orders: Vec<Order>) {
        let Some(agent) = self.agents.get_mut(machine) else {
            return;
        };
        agent.fencing_token = fencing_token;
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    agent
                        .tasks
                        .entry(task)
                        .or_insert((attempt, TaskState::Running));
                }
                Order::Stop { task, attempt, .. } => {
                    agent.tasks.insert(
                        task,
                        (attempt, TaskState::Exited(Exit::Stopped { saved: false })),
                    );
                }
                Order::Forget { task, .. } => {
                    agent.tasks.remove(&task);
                }
            }
        }
    }

    fn heartbeat_of(&mut self, machine: &MachineId) -> Heartbeat {
        let agent = self.agents.entry(machine.clone()).or_default();
        agent.sequence += 1;
        let tasks = agent.tasks.iter();
        let tasks = tasks.map(|(task, (attempt, state))| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: *state,
        });
        Heartbeat {
            machine: machine.clone(),
            addr: "10.0.0.1:9000".into(),
            incarnation: 1,
            sequence: agent.sequence,
            fencing_token: agent.fencing_token,
            preemption_notice: None,
            tasks: tasks.collect(),
        }
    }

    fn send_heartbeats(&mut self) {
        for machine in self.agents.keys().cloned().collect::<Vec<_>>() {
            let to = self.next_client_request();
            let heartbeat = Box::new(self.heartbeat_of(&machine));
            self.unanswered_heartbeats.insert(to, machine.clone());
            self.next_commands
                .push(Command::Heartbeat { to, heartbeat });
            // A task that was reported as running once is done in the next heartbeat.
            let endless = &self.endless;
            let agent = self.agents.get_mut(&machine).unwrap();
            for (task, (_, state)) in &mut agent.tasks {
                if *state == TaskState::Running && !endless.contains(&task.job) {
                    *state = TaskState::Exited(Exit::Done);
                }
            }
        }
    }

    /// The writes of all keys with this prefix, without immediate repetitions.
    fn writes_under(&self, prefix: &str) -> Vec<String> {
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

/// The lines of a text without indentation and empty lines.
fn lines(text: &str) -> Vec<&str> {
    text.lines()
        .map(str::trim_start)
        .filter(|line| !line.is_empty())
        .collect()
}

#[test]
fn engine_writes_keys_and_values_in_their_stored_form() {
    let mut cluster = TestCluster::new(&["a"], &[]);
    cluster.run(10_000);
    cluster.submit(spec(SMALL_JOB));
    cluster.endless.insert("j-2".into());
    cluster.submit(spec(
        &SMALL_JOB
            .replace("j-1", "j-2")
            .replace("Array", "Gang")
            .replace("\"tasks\":1", "\"tasks\":12"),
    ));
    cluster.run(500);
    cluster.submit(JobSpec {
        dependencies: vec!["j-1".into(), "j-2".into()],
        ..spec(&SMALL_JOB.replace("j-1", "j-3"))
    });
    cluster.run(20_000);
    let to = cluster.next_client_request();
    cluster.next_commands.push(Command::Cancel {
        to,
        id: "j-2".into(),
    });
    cluster.run(200_000);
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
        .flat_map(|prefix| cluster.writes_under(prefix))
        .collect();
    assert_eq!(seen, lines(expected));
    // The lists above leave out nothing but the records of the other machines.
    let unlisted = |w: &&(String, String)| !shown.iter().any(|prefix| w.0.starts_with(prefix));
    assert!(cluster
        .written
        .iter()
        .filter(unlisted)
        .all(|w| w.0.starts_with("machine/i-0000")));
}

#[test]
fn engine_with_duties_writes_keys_and_values_in_their_stored_form() {
    let leftovers = [
        ("part/0/j-8/00000", r#"{"a":[[0,1]]}"#),
        ("end/j-8", r#"{"cancelled":false,"tasks":1}"#),
    ];
    let mut cluster = TestCluster::new(&["a"], &leftovers);
    let mut settings = seamfront_testing::shard_harness::settings();
    settings.members = vec!["a".into()];
    settings.value_bytes = 4_096;
    settings.tuning.duties = true;
    cluster.engine = Engine::new(settings);
    cluster.run(10_000);
    cluster.submit(spec(SMALL_JOB));
    cluster.run(200_000);
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
        .flat_map(|prefix| cluster.writes_under(prefix))
        .collect();
    assert_eq!(seen, lines(expected));
}

/// Jobs, tasks, gangs and provisioning requests stored by the version in production are continued where they stand.
#[test]
fn engine_continues_from_records_of_the_version_in_production() {
    let job_text = |id: &str, tasks: u32| {
        let tail = format!("\"tasks\":{tasks},");
        SMALL_JOB.replace("j-1", id).replace("\"tasks\":1,", &tail)
    };
    let (one, four) = (job_text("j-1", 3), job_text("j-4", 1));
    let five = job_text("j-5", 1).replace("\"one_zone\"", "\"needs_parts\":1,\"one_zone\"");
    let six = job_text("j-6", 3).replace("Array", "Gang");
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
    let mut cluster = TestCluster::new(&["a"], &entries);
    cluster.endless = ["j-1", "j-4", "j-5", "j-6"].map(JobId::from).into();
    for (machine, job, index, attempt) in [
        (0, "j-1", 1, 4),
        (1, "j-1", 2, 8),
        (2, "j-6", 0, 5),
        (3, "j-6", 1, 5),
        (4, "j-6", 2, 5),
    ] {
        let agent = cluster
            .agents
            .entry(format!("i-{machine:06}").as_str().into())
            .or_default();
        agent.tasks.insert(
            TaskKey {
                job: job.into(),
                index,
            },
            (attempt, TaskState::Running),
        );
    }
    cluster.run(12_000);
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
        assert_eq!(cluster.poll(id), status(id, state, done, running));
    }
    assert_eq!(cluster.poll("j-7"), Answer::NotFound);
    let provision = CloudRequest::Provision {
        name: "r-1-1".into(),
        machine_type: "m".into(),
        zone: "z".into(),
        spot: true,
        count: 2,
    };
    assert_eq!(
        cluster
            .cloud_requests
            .iter()
            .find(|call| matches!(call, CloudRequest::Provision { .. })),
        Some(&provision)
    );
    assert_eq!(cluster.writes_under("format/"), Vec::<String>::new());
    // The provisioned machines belong to the shard that the record names. j-4, which was queued, is placed; j-5 depends
    // on it and stays queued.
    let expected = r#"
        share/0 {"lease":1,"member":"a"}
        leader {"lease":1,"member":"a"}
        types [{"boot":1000000,"cache_mb":9000,"fetch_mb_s":1000,"name":"m","price":100,"size":{"c":4000,"g":0,"r":16000},"spot_price":50,"zones":["z"]}]
        machine/i-000005 {"kind":"m","share":0,"spot":true,"zone":"z"}
        machine/i-000006 {"kind":"m","share":0,"spot":true,"zone":"z"}
        rent/r-1-1 gone
        work/0/j-4 {"a":[],"d":[],"dr":false,"e":0,"n":2,"need":{"c":3000,"g":0,"r":1000},"p":{"i-000005":[[0,1,1]]},"pk":0,"team":"t"}
    "#;
    assert_eq!(cluster.writes_under(""), lines(expected));
}

/// While the cloud API fails, the stored machine types decide which jobs can run at all.
#[test]
fn stored_machine_types_are_used_while_the_cloud_api_fails() {
    let types = r#"[{"name":"m","size":{"c":4000,"g":0,"r":16000},"cache_mb":9000,"fetch_mb_s":1000,"price":100,"spot_price":50,"boot":1000000,"zones":["z"]}]"#;
    let retry_later = |answer: &Answer| matches!(answer, Answer::RetryLater { .. });
    for (entries, known) in [(vec![("types", types)], true), (vec![], false)] {
        let mut cluster = TestCluster::new(&["a"], &entries);
        cluster.cloud_available = false;
        cluster.run(10_000);
        cluster.submit(spec(&SMALL_JOB.replace("3000", "5000")));
        cluster.run(3_000);
        let no_machine_fits = Answer::Rejected(SubmissionError::NoMachineFits);
        assert!(
            if known {
                cluster.answers == [no_machine_fits]
            } else {
                cluster.answers.iter().all(retry_later)
            },
            "{:?}",
            cluster.answers
        );
    }
}

/// The engine leaves claims of another member alone, and announces its own to the other members.
#[test]
fn claims_of_other_members_are_respected_and_own_claims_announced() {
    let claim = r#"{"member":"b","lease":77}"#;
    let mut cluster = TestCluster::new(&["a", "b"], &[("share/0", claim), ("leader", claim)]);
    cluster.run(20_000);
    let shown = ["share/", "leader", "format/"];
    let seen: Vec<String> = shown
        .iter()
        .flat_map(|prefix| cluster.writes_under(prefix))
        .collect();
    assert_eq!(
        seen,
        [
            r#"share/1 {"lease":1,"member":"a"}"#,
            r#"format/a {"parts":true}"#
        ]
    );
    let messages: BTreeSet<String> = cluster
        .messages
        .iter()
        .map(|m| serde_json::to_string(m).unwrap())
        .collect();
    let expected = [
        r#"{"Alive":{"ready":false,"claims":[],"awaited":0}}"#,
        r#"{"Alive":{"ready":true,"claims":[["share/1",4]],"awaited":0}}"#,
        r#"{"Share":{"share":1,"version":4,"needs":[],"machines":[]}}"#,
    ];
    assert_eq!(messages, expected.map(str::to_owned).into());
}
