//! Runs the controller binary on loopback against HTTP stand-ins for the key-value store, the cloud API and the agents.
//! Jobs are accepted, run and cancelled, invalid requests are rejected, and the controller is killed and restarted.

use seamfront_testing::controller_process::{eventually, unused_address, ControllerBinary};
use seamfront_testing::http::{call, call_with_retry_after, serve};
use seamfront_testing::store_service::start_store_service;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The program under test.
const SEAMFRONT: ControllerBinary = ControllerBinary::at(env!("CARGO_BIN_EXE_seamfront"));

// ---- stand-ins for the cloud API and the agents ------------------------------------------

/// The agents on all provisioned machines, by machine.
type Machines = Arc<Mutex<BTreeMap<String, Arc<Mutex<Worker>>>>>;

/// Starts a cloud API. Each machine that it provisions runs an agent that sends heartbeats to the controllers.
fn start_cloud(controllers: Vec<SocketAddr>) -> (SocketAddr, Machines) {
    let machines: Machines = Arc::default();
    let shared = machines.clone();
    let addr = serve(move |_, path, body| {
        let mut machines = shared.lock().unwrap();
        match path.split('?').next().unwrap_or("") {
            "/machine_types" => (
                200,
                json!({"modelos":[{"name":"m","cores":4,"ram_gb":16,"cache_gb":50,"fetch_gb_per_s":1.0,"hourly":1.0,
                    "spot_price":0.5,"boot_s":1,"pracas":["zone-1"]}]}),
            ),
            "/hosts" if body.is_null() => {
                let list: Vec<Value> = machines
                    .keys()
                    .map(|id| {
                        json!({"id":id,"addr":"127.0.0.1:1","modelo":"m","praca":"zone-1","emprestados":false,
                            "ponto":"running","held_s":5.0})
                    })
                    .collect();
                (200, json!({"fornalhas": list, "more": false}))
            }
            "/hosts" => {
                let mut ids = Vec::new();
                for _ in 0..body["count"].as_u64().unwrap_or(0).min(4) {
                    let id = format!("i-{:06}", machines.len());
                    machines.insert(id.clone(), Worker::start(id.clone(), controllers.clone()));
                    ids.push(id);
                }
                (200, json!({ "fornalhas": ids }))
            }
            _ => {
                for id in body["fornalhas"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter_map(|v| v.as_str())
                {
                    if let Some(w) = machines.get(id) {
                        w.lock().unwrap().terminated = true;
                    }
                }
                (200, json!({}))
            }
        }
    });
    (addr, machines)
}

/// The agent on a machine.
struct Worker {
    addr: String,
    fencing_token: u64,
    sequence: u64,
    /// Attempt and time of exit, by task.
    tasks: BTreeMap<String, (u64, Instant)>,
    terminated: bool,
    /// Every task that was ever started, once for each start.
    started: Vec<String>,
}

impl Worker {
    fn start(id: String, controllers: Vec<SocketAddr>) -> Arc<Mutex<Worker>> {
        let w = Worker {
            addr: String::new(),
            fencing_token: 0,
            sequence: 0,
            tasks: BTreeMap::new(),
            terminated: false,
            started: vec![],
        };
        let w = Arc::new(Mutex::new(w));
        let (mine, name) = (w.clone(), id.clone());
        let addr = serve(move |_, _, body| {
            let mut w = mine.lock().unwrap();
            let ok = body["bastao"].as_u64() >= Some(w.fencing_token) && !w.terminated;
            if ok {
                w.fencing_token = body["bastao"].as_u64().unwrap_or(0);
                w.apply_orders(&body["ordens"]);
            }
            (if ok { 200 } else { 409 }, w.heartbeat(&name))
        });
        w.lock().unwrap().addr = addr.to_string();
        let mine = w.clone();
        std::thread::spawn(move || {
            let mut controller = 0;
            loop {
                let heartbeat = {
                    let mut w = mine.lock().unwrap();
                    if w.terminated {
                        return;
                    }
                    w.heartbeat(&id)
                };
                match call(
                    controllers[controller % controllers.len()],
                    "POST",
                    "/hello",
                    &heartbeat.to_string(),
                ) {
                    Some((200, body)) => {
                        let mut w = mine.lock().unwrap();
                        if body["bastao"].as_u64() >= Some(w.fencing_token) {
                            w.fencing_token = body["bastao"].as_u64().unwrap_or(0);
                            w.apply_orders(&body["ordens"]);
                        }
                    }
                    _ => controller += 1,
                }
                std::thread::sleep(Duration::from_millis(150));
            }
        });
        w
    }

    fn apply_orders(&mut self, orders: &Value) {
        for order in orders.as_array().into_iter().flatten() {
            let task = order["pao"].as_str().unwrap_or("").to_owned();
            match order["ordem"].as_str() {
                Some("run") if !self.tasks.contains_key(&task) => {
                    let attempt = order["tentativa"].as_u64().unwrap_or(0);
                    let duration_s = if task.starts_with("j-9") { 3_600 } else { 1 };
                    self.started.push(task.clone());
                    self.tasks.insert(
                        task,
                        (attempt, Instant::now() + Duration::from_secs(duration_s)),
                    );
                }
                Some("stop") => {
                    if let Some(t) = self.tasks.get_mut(&task) {
                        t.1 = Instant::now();
                    }
                }
                Some("clear") => {
                    self.tasks.remove(&task);
                }
                _ => {}
            }
        }
    }

    fn heartbeat(&mut self, id: &str) -> Value {
        self.sequence += 1;
        let task_status = |(k, t): (&String, &(u64, Instant))| {
            if t.1 > Instant::now() {
                json!({"pao": k, "tentativa": t.0, "ponto": "running"})
            } else {
                json!({"pao": k, "tentativa": t.0, "ponto": "exited",
                    "motivo": if k.starts_with("j-9") { "halted" } else { "done" }})
            }
        };
        let tasks: Vec<Value> = self.tasks.iter().map(task_status).collect();
        json!({"fornalha": id, "addr": self.addr, "modelo": "m", "praca": "zone-1", "emprestados": false, "turno": 1,
            "conta": self.sequence, "bastao": self.fencing_token, "aviso_s": null, "paes": tasks})
    }
}

// ---- requests and tests ------------------------------------------------------------------

/// The body of a submission that the controller accepts.
fn job(id: &str, kind: &str, tasks: u32, team: &str) -> String {
    json!({"id":id,"fornada":"c","equipe":team,"feitio":kind,"vez":"normal","paes":tasks,"cores":1.0,
        "accelerators":0.0,"ram_gb":1.0,"receita":"img","pull_gb":0.1,"modelos":null,"praca":null,"one_zone":false,
        "scatter":false,"emprestados":false,"assa_s":1.0,"vira_s":0.0,"guarda_s":0.0,"entrega_s":null})
    .to_string()
}

/// The body of [`job`] with one field replaced, or removed if the value is null.
fn job_with(id: &str, kind: &str, tasks: u32, field: &str, value: Value) -> String {
    let mut body: Value = serde_json::from_str(&job(id, kind, tasks, "research")).unwrap();
    match value {
        Value::Null => body.as_object_mut().unwrap().remove(field),
        value => body
            .as_object_mut()
            .unwrap()
            .insert(field.to_owned(), value),
    };
    body.to_string()
}

/// A controller that cannot reach the key-value store cannot decide on valid requests. Users must be told immediately
/// to retry later, instead of waiting for a reply.
#[test]
fn without_the_store_users_are_told_immediately_to_retry_later() {
    let dir = std::env::temp_dir().join(format!("seamfront-e2e-away-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (bind, mesh, peer, unreachable) = (
        unused_address(),
        unused_address(),
        unused_address(),
        unused_address(),
    );
    let text = include_str!("../../../docs/settings.example.toml")
        .replace("127.0.0.1:8080", &bind.to_string())
        .replace("127.0.0.1:8081", &mesh.to_string())
        .replace("127.0.0.1:8091", &peer.to_string())
        .replace("127.0.0.1:8443", &unreachable.to_string())
        .replace("127.0.0.1:2379", &unreachable.to_string());
    let controller = SEAMFRONT.start(&dir, &text, &[]);
    eventually("listening", || call(bind, "GET", "/up", ""));
    let requests = [
        (
            "POST",
            "/submissions",
            job("j-000001", "array", 1, "research"),
        ),
        ("GET", "/submissions/j-000001", String::new()),
        ("POST", "/submissions/j-000001/abort", String::new()),
    ];
    for (method, path, body) in requests {
        let (status, retry_after, _) =
            call_with_retry_after(bind, method, path, &body).expect("an answer");
        assert_eq!(status, 503, "{method} {path}");
        assert!(
            retry_after.is_some_and(|s| (1..=30).contains(&s)),
            "{method} {path}: {retry_after:?}"
        );
    }
    // A malformed body is rejected even so: that needs nothing from the store.
    assert_eq!(
        call(bind, "POST", "/submissions", "{}").map(|r| r.0),
        Some(400)
    );
    drop(controller);
    let _ = std::fs::remove_dir_all(&dir);
}

#[test]
fn a_controller_serves_users_and_workers_across_a_restart() {
    let dir = std::env::temp_dir().join(format!("seamfront-e2e-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (bind, mesh, peer) = (unused_address(), unused_address(), unused_address());
    let store = start_store_service();
    let (cloud, machines) = start_cloud(vec![bind]);
    let text = include_str!("../../../docs/settings.example.toml")
        .replace("127.0.0.1:8080", &bind.to_string())
        .replace("127.0.0.1:8081", &mesh.to_string())
        .replace("127.0.0.1:8091", &peer.to_string())
        .replace("127.0.0.1:8443", &cloud.to_string())
        .replace("127.0.0.1:2379", &store.to_string());
    let controller = SEAMFRONT.start(&dir, &text, &[]);
    eventually("healthy", || {
        call(bind, "GET", "/up", "").filter(|r| r.0 == 200)
    });

    let submit = |body: &str| call(bind, "POST", "/submissions", body);
    let status = |r: Option<(u16, Value)>| r.map(|r| r.0);
    assert_eq!(status(submit("{}")), Some(400));
    assert_eq!(
        status(submit(&job("j-000001", "array", 3, "nobody"))),
        Some(422)
    );
    assert_eq!(status(submit(&"x".repeat(70_000))), Some(400));
    // The first four fit no machine type. The gang and the service exceed their team's limit, since all of their tasks
    // run at the same time.
    for (kind, tasks, field, value) in [
        ("array", 1, "cores", json!(900.0)),
        ("array", 1, "accelerators", json!(9.0)),
        ("array", 1, "modelos", json!(["none"])),
        ("array", 1, "praca", json!("nowhere")),
        ("group", 70, "cores", json!(1.0)),
        ("service", 70, "cores", json!(1.0)),
    ] {
        let body = job_with("j-000002", kind, tasks, field, value);
        assert_eq!(status(submit(&body)), Some(422), "{body}");
    }
    for field in [
        "feitio",
        "paes",
        "cores",
        "receita",
        "emprestados",
        "guarda_s",
    ] {
        assert_eq!(
            status(submit(&job_with(
                "j-000002",
                "array",
                1,
                field,
                Value::Null
            ))),
            Some(400),
            "{field}"
        );
    }
    assert_eq!(
        status(call(bind, "GET", "/submissions/j-000002", "")),
        Some(404),
        "a rejected job must not be known"
    );
    assert_eq!(
        status(call(bind, "GET", "/submissions/j-777777", "")),
        Some(404)
    );
    assert_eq!(status(call(bind, "GET", "/nothing", "")), Some(404));
    assert_eq!(
        status(call(bind, "DELETE", "/submissions/j-000001", "")),
        Some(405)
    );
    assert_eq!(status(call(bind, "POST", "/hello", "{}")), Some(400));

    assert_eq!(
        status(submit(&job("j-000010", "array", 6, "research"))),
        Some(201)
    );
    assert_eq!(
        status(submit(&job("j-000010", "array", 6, "research"))),
        Some(200)
    );
    // A submission with a known id is a repetition, even if its body differs and would be rejected.
    let repeated = job_with("j-000010", "array", 6, "cores", json!(900.0));
    assert_eq!(status(submit(&repeated)), Some(200));
    assert_eq!(
        status(submit(&job("j-000011", "group", 2, "research"))),
        Some(201)
    );
    assert_eq!(
        status(submit(&job("j-900001", "service", 2, "research"))),
        Some(201)
    );
    let state_of = |id: &str| {
        let (status, body) = call(bind, "GET", &format!("/submissions/{id}"), "")?;
        (status == 200).then(|| body["ponto"].as_str().unwrap_or("").to_owned())
    };
    let is = |id: &str, state: &str| state_of(id).filter(|s| s == state);
    eventually("array done", || is("j-000010", "done"));
    eventually("gang done", || is("j-000011", "done"));
    eventually("service running", || is("j-900001", "running"));

    // A job with dependencies runs once all of these are done, and is cancelled with any of them.
    let submit_after = |id: &str, dependencies: Value| {
        let mut body: Value = serde_json::from_str(&job(id, "array", 1, "research")).unwrap();
        body["espera"] = dependencies;
        submit(&body.to_string())
    };
    assert_eq!(
        status(submit_after("j-000020", json!(["j-777777"]))),
        Some(422)
    );
    assert_eq!(
        status(submit_after("j-000020", json!("j-000010"))),
        Some(400)
    );
    assert_eq!(
        status(submit_after("j-000020", json!(["j-000010"]))),
        Some(201)
    );
    assert_eq!(
        status(submit_after("j-000021", json!(["j-000010", "j-000020"]))),
        Some(201)
    );
    eventually("dependency chain done", || is("j-000021", "done"));
    assert_eq!(
        status(submit(&job("j-900002", "service", 1, "research"))),
        Some(201)
    );
    eventually("second service running", || is("j-900002", "running"));
    assert_eq!(
        status(submit_after("j-000030", json!(["j-900002"]))),
        Some(201)
    );
    assert_eq!(
        status(submit_after("j-000031", json!(["j-000030"]))),
        Some(201)
    );
    assert_eq!(state_of("j-000031").as_deref(), Some("queued"));
    eventually("the second service is cancelled", || {
        call(bind, "POST", "/submissions/j-900002/abort", "").filter(|r| r.0 == 200)
    });
    eventually("cancelled with its dependency", || {
        is("j-000030", "withdrawn")
    });
    eventually("cancelled at the end of the dependency chain", || {
        is("j-000031", "withdrawn")
    });
    let (s, body) = submit_after("j-000032", json!(["j-000031"])).unwrap();
    assert_eq!((s, body["ponto"].as_str()), (201, Some("withdrawn")));

    drop(controller);
    let controller = SEAMFRONT.start(&dir, &text, &[]);
    eventually("service still known after a restart", || {
        is("j-900001", "running")
    });
    assert_eq!(state_of("j-000010").as_deref(), Some("done"));
    let (s, body) = eventually("the first service is cancelled", || {
        call(bind, "POST", "/submissions/j-900001/abort", "").filter(|r| r.0 == 200)
    });
    assert_eq!((s, body["ponto"].as_str()), (200, Some("withdrawn")));
    eventually("no machine has tasks of the cancelled services", || {
        let machines = machines.lock().unwrap();
        let left = machines
            .values()
            .any(|w| w.lock().unwrap().tasks.keys().any(|k| k.starts_with("j-9")));
        (!left).then_some(())
    });
    let mut started: Vec<String> = Vec::new();
    for w in machines.lock().unwrap().values() {
        started.extend(w.lock().unwrap().started.iter().cloned());
    }
    started.sort();
    let before = started.len();
    started.dedup();
    assert_eq!(
        before,
        started.len(),
        "a task was started twice: {started:?}"
    );
    assert_eq!(started.len(), 13);
    drop(controller);
    let _ = std::fs::remove_dir_all(&dir);
}
