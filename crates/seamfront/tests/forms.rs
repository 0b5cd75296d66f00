//! Checks the formats of HTTP requests and replies, of the gRPC call between controllers and of the settings files
//! against literal texts. What the adapters send is compared byte for byte as a server receives it, and what they parse
//! is given to them as text.

use bytes::Bytes;
use hyper::body::{Body, Frame};
use seamfront::http::{Client, Reply};
use seamfront::{
    cloud_client, duty_admin, peer_transport, settings, store_client, user_api, worker_api,
};
use seamfront_core::port::*;
use seamfront_core::types::*;
use seamfront_testing::controller_process::ControllerBinary;
use serde_json::Value;
use std::future::Future;
use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::mpsc::{channel, Receiver};
use std::task::{Context, Poll};

/// The program under test.
const SEAMFRONT: ControllerBinary = ControllerBinary::at(env!("CARGO_BIN_EXE_seamfront"));

// ---- users -----------------------------------------------------------------------------------

const SUBMISSION: &str = r#"{"id":"j-000031","fornada":"nightly","equipe":"sound","feitio":"group","vez":"urgent","paes":12,"cores":2.5,"accelerators":0.5,"ram_gb":12.25,"receita":"img-3","pull_gb":1.5,"modelos":["g4","g8"],"praca":"b","one_zone":true,"scatter":false,"emprestados":true,"assa_s":90.5,"vira_s":15.0,"guarda_s":2.5,"entrega_s":600.0,"espera":["j-7","j-8"]}"#;
/// The same job as its stored record, before the time of submission is set.
const STORED_JOB: &str = r#"{"id":"j-000031","class":"nightly","team":"sound","kind":"Gang","priority":"Urgent","tasks":12,"need":{"c":2500,"g":500,"r":12250},"types":["g4","g8"],"zone":"b","one_zone":true,"spread":false,"spot":true,"image":"img-3","image_mb":1500,"estimate":90500000,"checkpoint":15000000,"save":2500000,"deadline":600000000,"submitted":0,"needs":["j-7","j-8"]}"#;

/// Parses a submission and serializes the job as it is stored.
fn stored_job(text: &str) -> String {
    let spec =
        user_api::parse_submission(text.as_bytes()).unwrap_or_else(|e| panic!("{text}: {e}"));
    serde_json::to_string(&spec).unwrap()
}

#[test]
fn submissions_are_parsed_and_stored() {
    assert_eq!(stored_job(SUBMISSION), STORED_JOB);
    for (wire, stored) in [
        ("array", "Array"),
        ("group", "Gang"),
        ("service", "Service"),
    ] {
        let text = SUBMISSION.replace("\"group\"", &format!("{wire:?}"));
        assert_eq!(
            stored_job(&text),
            STORED_JOB.replace("\"Gang\"", &format!("{stored:?}"))
        );
    }
    let priorities = [
        ("critical", "Critical"),
        ("urgent", "Urgent"),
        ("normal", "Normal"),
        ("best_effort", "BestEffort"),
    ];
    for (wire, stored) in priorities {
        let text = SUBMISSION.replace("\"urgent\"", &format!("{wire:?}"));
        assert_eq!(
            stored_job(&text),
            STORED_JOB.replace("\"Urgent\"", &format!("{stored:?}"))
        );
    }
    for field in ["one_zone", "scatter", "emprestados"] {
        let stored_field = match field {
            "scatter" => "spread",
            "emprestados" => "spot",
            other => other,
        };
        let (on, off) = (format!("\"{field}\":true"), format!("\"{field}\":false"));
        let (stored_on, stored_off) = (
            format!("\"{stored_field}\":true"),
            format!("\"{stored_field}\":false"),
        );
        let (toggled, expected) = if SUBMISSION.contains(&on) {
            (
                SUBMISSION.replace(&on, &off),
                STORED_JOB.replace(&stored_on, &stored_off),
            )
        } else {
            (
                SUBMISSION.replace(&off, &on),
                STORED_JOB.replace(&stored_off, &stored_on),
            )
        };
        assert_eq!(stored_job(&toggled), expected);
    }
    // Optional fields may be null or missing.
    let minimal = STORED_JOB
        .replace(r#"["g4","g8"]"#, "null")
        .replace(r#""zone":"b""#, r#""zone":null"#)
        .replace("600000000", "null")
        .replace(r#","needs":["j-7","j-8"]"#, "");
    let null = SUBMISSION
        .replace(r#"["g4","g8"]"#, "null")
        .replace(r#""praca":"b""#, r#""praca":null"#)
        .replace("600.0", "null")
        .replace(r#"["j-7","j-8"]"#, "null");
    assert_eq!(stored_job(&null), minimal);
    let mut missing: Value = serde_json::from_str(SUBMISSION).unwrap();
    for field in ["modelos", "praca", "entrega_s", "espera"] {
        assert!(missing.as_object_mut().unwrap().remove(field).is_some());
    }
    assert_eq!(stored_job(&missing.to_string()), minimal);
}

fn text_of(reply: &Reply) -> String {
    format!("{} {} {:?}", reply.status, reply.body, reply.retry_after)
}

#[test]
fn replies_to_users() {
    let status = |created, state, done, running| {
        text_of(&user_api::reply(&Answer::Status {
            created,
            id: "j-4".into(),
            state,
            done,
            running,
        }))
    };
    assert_eq!(
        status(true, JobState::Queued, 0, 0),
        r#"201 {"done":0,"id":"j-4","ponto":"queued","running":0} None"#
    );
    assert_eq!(
        status(false, JobState::Running, 3, 13),
        r#"200 {"done":3,"id":"j-4","ponto":"running","running":13} None"#
    );
    assert_eq!(
        status(false, JobState::Done, 16, 0),
        r#"200 {"done":16,"id":"j-4","ponto":"done","running":0} None"#
    );
    assert_eq!(
        status(false, JobState::Cancelled, 1, 0),
        r#"200 {"done":1,"id":"j-4","ponto":"withdrawn","running":0} None"#
    );
    for (answer, expected) in [
        (Answer::NotFound, r#"404 {"error":"no such job"} None"#),
        (
            Answer::Rejected(SubmissionError::UnknownTeam),
            r#"422 {"error":"equipe: unknown team"} None"#,
        ),
        (
            Answer::Rejected(SubmissionError::NoMachineFits),
            r#"422 {"error":"no allowed machine type fits a task"} None"#,
        ),
        (
            Answer::Rejected(SubmissionError::OverLimit),
            r#"422 {"error":"the job needs more than its team's limit"} None"#,
        ),
        (
            Answer::Rejected(SubmissionError::UnknownDependency("j-9".into())),
            r#"422 {"error":"espera: j-9 was never accepted"} None"#,
        ),
        (
            Answer::Rejected(SubmissionError::TooManyMachines {
                needed: 900,
                most: 800,
            }),
            r#"422 {"error":"paes: the gang needs at least 900 machines, and its record can name 800 at most"} None"#,
        ),
        (
            Answer::Rejected(SubmissionError::OneZoneOnly),
            r#"422 {"error":"scatter: the gang needs machines in two zones, and may use those of one"} None"#,
        ),
        (
            Answer::Rejected(SubmissionError::TextsTooLong {
                bytes: 3_000,
                most: 1_024,
            }),
            r#"422 {"error":"fornada, equipe, receita, praca and modelos take 3000 bytes together, more than 1024"} None"#,
        ),
        (
            Answer::RetryLater {
                after: Micros::from_secs(3),
            },
            r#"503 {"error":"come back later"} Some(3)"#,
        ),
        (
            Answer::RetryLater {
                after: Micros::ZERO,
            },
            r#"503 {"error":"come back later"} Some(1)"#,
        ),
    ] {
        assert_eq!(text_of(&user_api::reply(&answer)), expected);
    }
}

// ---- workers ---------------------------------------------------------------------------------

const HEARTBEAT: &str = r#"{"fornalha":"i-000031","addr":"10.2.0.31:9100","modelo":"g4","praca":"b","emprestados":true,"turno":3,"conta":19,"bastao":77,"aviso_s":31.5,"paes":[{"pao":"j-5/2","tentativa":4,"ponto":"running"}]}"#;

/// One line for a heartbeat: its fields in a fixed order, followed by its tasks, each after a `|`.
fn heartbeat_text(body: &str) -> Result<String, String> {
    let heartbeat = worker_api::parse_heartbeat(body.as_bytes()).map_err(|e| e.to_string())?;
    let tasks: String = heartbeat
        .tasks
        .iter()
        .map(|t| format!(" | {} {} {:?}", t.task, t.attempt, t.state))
        .collect();
    let notice = heartbeat.preemption_notice.map(|n| n.0);
    Ok(format!(
        "{} {} {} {} {} {notice:?}{tasks}",
        heartbeat.machine,
        heartbeat.addr,
        heartbeat.incarnation,
        heartbeat.sequence,
        heartbeat.fencing_token
    ))
}

#[test]
fn heartbeats_of_workers_are_parsed() {
    let head = "i-000031 10.2.0.31:9100 3 19 77 Some(31500000)";
    assert_eq!(
        heartbeat_text(HEARTBEAT).unwrap(),
        format!("{head} | j-5/2 4 Running")
    );
    let states = [
        (r#""ponto":"pulling""#, TaskState::Fetching),
        (r#""ponto":"gathering""#, TaskState::Waiting),
        (r#""ponto":"running""#, TaskState::Running),
        (r#""ponto":"saving""#, TaskState::Saving),
        (
            r#""ponto":"exited","motivo":"done""#,
            TaskState::Exited(Exit::Done),
        ),
        (
            r#""ponto":"exited","motivo":"halted""#,
            TaskState::Exited(Exit::Stopped { saved: false }),
        ),
        (
            r#""ponto":"exited","motivo":"halted","saved":false"#,
            TaskState::Exited(Exit::Stopped { saved: false }),
        ),
        (
            r#""ponto":"exited","motivo":"halted","saved":true"#,
            TaskState::Exited(Exit::Stopped { saved: true }),
        ),
        (
            r#""ponto":"exited","motivo":"peers""#,
            TaskState::Exited(Exit::PeerLost),
        ),
        (
            r#""ponto":"exited","motivo":"alone""#,
            TaskState::Exited(Exit::GangIncomplete),
        ),
        (
            r#""ponto":"exited","motivo":"error""#,
            TaskState::Exited(Exit::Error),
        ),
        (
            r#""ponto":"exited","motivo":"no_room""#,
            TaskState::Exited(Exit::NoRoom),
        ),
        (
            r#""ponto":"exited","motivo":"in_use""#,
            TaskState::Exited(Exit::OtherAttemptPresent),
        ),
        (
            r#""ponto":"exited","motivo":"unknown""#,
            TaskState::Exited(Exit::Unknown),
        ),
    ];
    for (text, state) in states {
        let body = HEARTBEAT.replace(r#""ponto":"running""#, text);
        assert_eq!(
            heartbeat_text(&body).unwrap(),
            format!("{head} | j-5/2 4 {state:?}")
        );
    }
    // Optional fields may be null or missing.
    let minimal = "i-000031 10.2.0.31:9100 3 19 0 None";
    assert_eq!(
        heartbeat_text(r#"{"fornalha":"i-000031","addr":"10.2.0.31:9100","turno":3,"conta":19}"#)
            .unwrap(),
        minimal
    );
    let null = r#"{"fornalha":"i-000031","addr":"10.2.0.31:9100","turno":3,"conta":19,"aviso_s":null,"paes":[]}"#;
    assert_eq!(heartbeat_text(null).unwrap(), minimal);
    for field in ["fornalha", "addr", "turno", "conta"] {
        let mut incomplete: Value = serde_json::from_str(HEARTBEAT).unwrap();
        incomplete.as_object_mut().unwrap().remove(field);
        assert!(
            heartbeat_text(&incomplete.to_string())
                .unwrap_err()
                .contains(field),
            "{field}"
        );
    }
    for (field, text) in [
        ("pao", r#""pao":"j-5/2","#),
        ("tentativa", r#""tentativa":4,"#),
        ("ponto", r#","ponto":"running""#),
    ] {
        assert!(
            heartbeat_text(&HEARTBEAT.replace(text, ""))
                .unwrap_err()
                .contains(field),
            "{field}"
        );
    }
}

fn all_orders() -> Vec<Order> {
    let task = |index| TaskKey {
        job: "j-5".into(),
        index,
    };
    vec![
        Order::Start {
            task: task(2),
            attempt: 4,
        },
        Order::Stop {
            task: task(3),
            attempt: 1,
            grace: Micros::from_millis(2_500),
        },
        Order::Stop {
            task: task(3),
            attempt: 1,
            grace: Micros::ZERO,
        },
        Order::Forget {
            task: task(0),
            attempt: 9,
        },
    ]
}

const ORDERS: &str = r#"[{"ordem":"run","pao":"j-5/2","tentativa":4},{"folga_s":2.5,"ordem":"stop","pao":"j-5/3","tentativa":1},{"folga_s":0.0,"ordem":"stop","pao":"j-5/3","tentativa":1},{"ordem":"clear","pao":"j-5/0","tentativa":9}]"#;

#[test]
fn replies_to_workers() {
    assert_eq!(
        text_of(&worker_api::orders_reply(77, &all_orders())),
        format!(r#"200 {{"bastao":77,"ordens":{ORDERS}}} None"#)
    );
    assert_eq!(
        text_of(&worker_api::orders_reply(0, &[])),
        r#"200 {"bastao":0,"ordens":[]} None"#
    );
    assert_eq!(
        text_of(&worker_api::elsewhere_reply(Some("beta"))),
        r#"421 {"mestre":"beta"} None"#
    );
    assert_eq!(text_of(&worker_api::elsewhere_reply(None)), "421 {} None");
}

// ---- requests as a server receives them ------------------------------------------------------

/// Starts a server that sends the same reply to each request. The receiver gets the method, path and body of each.
fn start_server(status: u16, body: &str) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, received) = channel();
    let reply = format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut out = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            while let Some((first, body)) = seamfront_testing::http::read_message(&mut reader) {
                let request = first.trim_end().trim_end_matches(" HTTP/1.1");
                let text = format!("{request} {}", String::from_utf8(body).unwrap());
                if sender.send(text.trim_end().to_owned()).is_err()
                    || out.write_all(reply.as_bytes()).is_err()
                {
                    break;
                }
            }
        }
    });
    (addr, received)
}

#[test]
fn orders_sent_directly_to_a_worker() {
    let send = |status, body: &str| {
        let (addr, received) = start_server(status, body);
        let client = Client::default();
        let (to, orders) = (addr.to_string(), all_orders());
        let outcome = async_io::block_on(worker_api::direct(&client, &to, 3, 77, &orders));
        let expected = format!(r#"POST /commands {{"bastao":77,"ordens":{ORDERS},"turno":3}}"#);
        assert_eq!(received.recv().unwrap(), expected);
        outcome
    };
    for status in [200, 409] {
        let DirectOutcome::Settled { heartbeat } = send(status, HEARTBEAT) else {
            panic!("{status}: not settled")
        };
        assert_eq!(
            (
                heartbeat.machine.as_str(),
                heartbeat.incarnation,
                heartbeat.sequence,
                heartbeat.fencing_token
            ),
            ("i-000031", 3, 19, 77)
        );
    }
    assert!(matches!(send(400, "{}"), DirectOutcome::Unknown));
    assert!(matches!(send(200, "{}"), DirectOutcome::Unknown));
}

// ---- the key-value store ---------------------------------------------------------------------

/// Sends a request to the store, compares what a server receives, and returns the parsed reply as text.
fn call_store(request: &StoreRequest, expected: &str, status: u16, body: &str) -> String {
    let (addr, received) = start_server(status, body);
    let reply = async_io::block_on(store_client::call(&Client::default(), addr, request));
    assert_eq!(received.recv().unwrap(), expected);
    let entry = |e: Entry| format!("{} {} {}", e.key, e.value, e.version);
    match reply {
        StoreReply::Entry(e) => format!("entry {}", entry(e)),
        StoreReply::Missing => "missing".to_owned(),
        StoreReply::Page {
            entries,
            more,
            revision,
        } => {
            let entries: Vec<String> = entries.into_iter().map(entry).collect();
            format!("page {} more {more} at {revision}", entries.join(", "))
        }
        StoreReply::Committed { revision } => format!("committed {revision}"),
        StoreReply::Conflict { failed } => format!("conflict {}", failed.join(", ")),
        StoreReply::Lease { id } => format!("lease {id}"),
        StoreReply::Renewed => "renewed".to_owned(),
        StoreReply::Changes { revision, events } => {
            let shown = |(key, value, at): (String, Option<Value>, u64)| {
                format!(
                    "{key} {} {at}",
                    value.map_or("gone".to_owned(), |v| v.to_string())
                )
            };
            let events: Vec<String> = events.into_iter().map(shown).collect();
            format!("changes {} to {revision}", events.join(", "))
        }
        StoreReply::Compacted => "too old".to_owned(),
        StoreReply::NoSuchLease => "no such lease".to_owned(),
        StoreReply::Refused => "refused".to_owned(),
        StoreReply::Unknown => "unknown".to_owned(),
    }
}

#[test]
fn read_requests_and_replies_of_the_store() {
    let get = StoreRequest::Get {
        key: "job/j-4".into(),
    };
    let sent = "GET /kv/job/j-4";
    let pair = r#"{"key":"job/j-4","data":{"a":[1]},"rasura":31,"vale":7}"#;
    assert_eq!(
        call_store(&get, sent, 200, pair),
        r#"entry job/j-4 {"a":[1]} 31"#
    );
    assert_eq!(
        call_store(&get, sent, 200, r#"{"key":"a","rasura":3}"#),
        "entry a null 3"
    );
    assert_eq!(call_store(&get, sent, 404, r#"{"caderno":40}"#), "missing");
    for incomplete in [r#"{"data":1,"rasura":3}"#, r#"{"key":"a","data":1}"#] {
        assert_eq!(call_store(&get, sent, 200, incomplete), "unknown");
    }
    for (status, expected) in [
        (429, "refused"),
        (503, "refused"),
        (400, "refused"),
        (500, "unknown"),
    ] {
        assert_eq!(call_store(&get, sent, status, "{}"), expected);
    }

    let list = |after: Option<&str>| StoreRequest::List {
        prefix: "work/0/".into(),
        after: after.map(str::to_owned),
    };
    let page = r#"{"pairs":[{"key":"work/0/j-1","data":{},"rasura":5},{"key":"work/0/j-2","data":[],"rasura":6}],"more":true,"caderno":44}"#;
    assert_eq!(
        call_store(&list(None), "GET /kv?prefix=work/0/&page=300", 200, page),
        "page work/0/j-1 {} 5, work/0/j-2 [] 6 more true at 44"
    );
    let sent = "GET /kv?prefix=work/0/&after=work/0/j-2&page=300";
    assert_eq!(
        call_store(
            &list(Some("work/0/j-2")),
            sent,
            200,
            r#"{"pairs":[],"caderno":45}"#
        ),
        "page  more false at 45"
    );
    assert_eq!(
        call_store(
            &list(Some("work/0/j-2")),
            sent,
            200,
            r#"{"pairs":[],"more":false}"#
        ),
        "unknown"
    );

    let changes = StoreRequest::Watch {
        prefix: "duty/".into(),
        after: 31,
        wait: Micros::from_millis(1_500),
    };
    let sent = "GET /changes?prefix=duty/&after=31&hold_ms=1500";
    let body = r#"{"caderno":40,"events":[{"write":"duty/b","data":{"x":1},"rasura":39},{"remove":"duty/a","rasura":33}]}"#;
    assert_eq!(
        call_store(&changes, sent, 200, body),
        r#"changes duty/a gone 33, duty/b {"x":1} 39 to 40"#
    );
    assert_eq!(
        call_store(&changes, sent, 200, r#"{"caderno":41}"#),
        "changes  to 41"
    );
    assert_eq!(
        call_store(
            &changes,
            sent,
            200,
            r#"{"caderno":41,"events":[{"rasura":40}]}"#
        ),
        "unknown"
    );
    assert_eq!(call_store(&changes, sent, 410, "{}"), "too old");
}

#[test]
fn write_requests_and_replies_of_the_store() {
    let put = |lease| Write::Put {
        key: "a/b".into(),
        value: serde_json::json!({"x": null}),
        lease,
    };
    let commit = |writes| StoreRequest::CompareAndSwap {
        conditions: vec![("a/b".into(), 0), ("leader".into(), 41)],
        writes,
    };
    let all = commit(vec![
        put(Some(7)),
        put(None),
        Write::Delete { key: "c/d".into() },
    ]);
    let sent = r#"POST /commit {"apply":[{"data":{"x":null},"vale":7,"write":"a/b"},{"data":{"x":null},"write":"a/b"},{"remove":"c/d"}],"when":[{"key":"a/b","rasura":0},{"key":"leader","rasura":41}]}"#;
    assert_eq!(
        call_store(&all, sent, 200, r#"{"caderno":42}"#),
        "committed 42"
    );
    assert_eq!(
        call_store(
            &all,
            sent,
            409,
            r#"{"failed":["a/b","leader"],"caderno":43}"#
        ),
        "conflict a/b, leader"
    );
    assert_eq!(call_store(&all, sent, 409, "{}"), "conflict ");
    assert_eq!(
        call_store(&all, sent, 400, r#"{"error":"no such lease"}"#),
        "no such lease"
    );
    assert_eq!(
        call_store(&all, sent, 400, r#"{"error":"malformed"}"#),
        "refused"
    );
    assert_eq!(call_store(&all, sent, 200, "{}"), "unknown");
    let compare =
        r#"POST /commit {"when":[{"key":"a/b","rasura":0},{"key":"leader","rasura":41}]}"#;
    assert_eq!(
        call_store(&commit(vec![]), compare, 200, r#"{"caderno":42}"#),
        "committed 42"
    );

    let grant = StoreRequest::GrantLease {
        ttl: Micros::from_secs(4),
    };
    assert_eq!(
        call_store(
            &grant,
            r#"POST /grants {"ttl_ms":4000}"#,
            200,
            r#"{"vale":7}"#
        ),
        "lease 7"
    );
    let renew = StoreRequest::RenewLease { lease: 7 };
    assert_eq!(
        call_store(&renew, "POST /grants/7/renew", 200, "{}"),
        "renewed"
    );
    assert_eq!(
        call_store(&renew, "POST /grants/7/renew", 404, "{}"),
        "no such lease"
    );
}

// ---- the cloud -------------------------------------------------------------------------------

/// Sends a request to the cloud API, compares what a server receives, and returns the parsed reply as text.
fn call_cloud(request: &CloudRequest, expected: &str, status: u16, body: &str) -> String {
    let (addr, received) = start_server(status, body);
    let reply = async_io::block_on(cloud_client::call(&Client::default(), addr, request));
    assert_eq!(received.recv().unwrap(), expected);
    match reply {
        CloudReply::MachineTypes(types) => serde_json::to_string(&types).unwrap(),
        CloudReply::Provisioned(ids) => format!("rented {ids:?}"),
        CloudReply::NoCapacity => "no capacity".to_owned(),
        CloudReply::Terminated => "deleted".to_owned(),
        CloudReply::Page { machines, more } => {
            let shown = |m: &ListedMachine| {
                format!(
                    "{} {} {} {} {:?} {}",
                    m.id, m.machine_type, m.zone, m.spot, m.state, m.age.0
                )
            };
            format!(
                "{} more {more}",
                machines.iter().map(shown).collect::<Vec<_>>().join(", ")
            )
        }
        CloudReply::Failed => "failed".to_owned(),
    }
}

#[test]
fn requests_and_replies_of_the_cloud_api() {
    let types = r#"{"modelos":[{"name":"g4","cores":48,"accelerators":4,"ram_gb":384.5,"cache_gb":100,"fetch_gb_per_s":0.5,"hourly":6.25,"spot_price":2.125,"boot_s":40.5,"pracas":["a","b"]},{"name":"m","cores":8,"ram_gb":32,"pracas":[]}]}"#;
    assert_eq!(
        call_cloud(
            &CloudRequest::MachineTypes,
            "GET /machine_types",
            200,
            types
        ),
        r#"[{"name":"g4","size":{"c":48000,"g":4000,"r":384500},"cache_mb":100000,"fetch_mb_s":500,"price":6250,"spot_price":2125,"boot":40500000,"zones":["a","b"]},{"name":"m","size":{"c":8000,"g":0,"r":32000},"cache_mb":0,"fetch_mb_s":0,"price":0,"spot_price":0,"boot":0,"zones":[]}]"#
    );
    for incomplete in [
        r"{}",
        r#"{"modelos":[{"cores":8,"ram_gb":32,"pracas":[]}]}"#,
    ] {
        assert_eq!(
            call_cloud(
                &CloudRequest::MachineTypes,
                "GET /machine_types",
                200,
                incomplete
            ),
            "failed"
        );
    }

    let provision = CloudRequest::Provision {
        name: "r-41-2".into(),
        machine_type: "g4".into(),
        zone: "b".into(),
        spot: true,
        count: 12,
    };
    let sent = r#"POST /hosts {"count":12,"emprestados":true,"encomenda":"r-41-2","modelo":"g4","praca":"b"}"#;
    assert_eq!(
        call_cloud(&provision, sent, 200, r#"{"fornalhas":["i-1","i-2"]}"#),
        r#"rented ["i-1", "i-2"]"#
    );
    assert_eq!(
        call_cloud(&provision, sent, 503, r#"{"error":"no capacity"}"#),
        "no capacity"
    );
    assert_eq!(
        call_cloud(&provision, sent, 503, r#"{"error":"trouble"}"#),
        "failed"
    );
    assert_eq!(call_cloud(&provision, sent, 200, "{}"), "failed");

    let terminate = CloudRequest::Terminate {
        machines: vec!["i-1".into(), "i-2".into()],
    };
    assert_eq!(
        call_cloud(
            &terminate,
            r#"POST /hosts/delete {"fornalhas":["i-1","i-2"]}"#,
            200,
            "{}"
        ),
        "deleted"
    );

    let list = |after: Option<&str>| CloudRequest::ListMachines {
        after: after.map(Into::into),
    };
    let machine = r#"{"id":"i-1","addr":"10.2.0.1:9100","modelo":"g4","praca":"b","emprestados":true,"ponto":"starting","held_s":61.5}"#;
    let more = format!(
        r#"{{"fornalhas":[{machine},{},{},{{"id":"i-4","modelo":"m","praca":"a","ponto":"running"}}],"more":true}}"#,
        machine.replace("i-1", "i-2").replace("starting", "running"),
        machine.replace("i-1", "i-3").replace("starting", "failed"),
    );
    assert_eq!(
        call_cloud(&list(None), "GET /hosts?page=500", 200, &more),
        "i-1 g4 b true Starting 61500000, i-2 g4 b true Running 61500000, i-3 g4 b true Failed 61500000, \
         i-4 m a false Running 0 more true"
    );
    let sent = "GET /hosts?after=i-4&page=500";
    assert_eq!(
        call_cloud(&list(Some("i-4")), sent, 200, r#"{"fornalhas":[]}"#),
        " more false"
    );
    assert_eq!(call_cloud(&list(Some("i-4")), sent, 200, "{}"), "failed");
    assert_eq!(call_cloud(&list(Some("i-4")), sent, 429, "{}"), "failed");
}

// ---- settings --------------------------------------------------------------------------------

/// The settings file that the platform provides.
const PLATFORM: &str = r#"
member = "alpha"
location = "zone-7"
bind = "127.0.0.1:7001"
mesh_addr = "127.0.0.1:7002"

[[members]]
member = "gamma"
location = "zone-8"
peer_addr = "127.0.0.1:7003"

[[members]]
member = "aaa"
peer_addr = "127.0.0.1:7004"

[outside]
cloud = "127.0.0.1:7005"
state = "127.0.0.1:7006"

[params]
zones = ["zone-7"]

[[params.teams]]
name = "sound"
cpus = 1.0
cpus_max = 2.0
gpus = 3.0
gpus_max = 4.0

[[params.teams]]
name = "vision"
cpus = 5.5
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[params.objectives]]
kind = "wait"
class = "nightly"
within_s = 61.0

[[params.objectives]]
kind = "finished"
class = "daily"
within_s = 62.5

[[params.objectives]]
kind = "price"

[params.workers]
report_s = 2.25
lease_s = 11.0
gang_wait_s = 12.0
gang_peer_s = 3.5
cancel_s = 33.0

[params.state]
rps = 201.0
write_rps = 81.0
value_kb = 31.0
txn_ops = 47

[params.cloud]
rps = 6.0
list_lag_s = 9.5

[params.limits]
fd_limit = 1999
"#;

/// The settings file of the operators.
const OPERATORS: &str = "[claims]\nttl_s = 5\n[shares]\nmove_every_s = 1.5\n[fleet]\nidle_keep_s = 41.5\n[gangs]\nretry_limit = 7\n[duties]\non = yes\n";

/// All settings as text, a line for each group of settings.
fn settings_text(toml: &str, ini: Option<&str>) -> String {
    let settings = settings::parse(toml, ini).unwrap_or_else(|e| panic!("{e}"));
    let peers: Vec<String> = settings.peers.iter().map(SocketAddr::to_string).collect();
    let core = &settings.core;
    let mut lines = vec![
        format!(
            "{} of {} at {}",
            core.member_index,
            core.members.join(" "),
            peers.join(" ")
        ),
        format!(
            "bind {} mesh {} cloud {} state {} sockets {}",
            settings.bind, settings.mesh, settings.cloud, settings.store, settings.sockets
        ),
    ];
    for team in &core.teams {
        let (guarantee, limit) = (team.guarantee, team.limit);
        lines.push(format!(
            "team {} {} {} {} up to {} {} {}",
            team.name,
            guarantee.cpus,
            guarantee.gpus,
            guarantee.ram,
            limit.cpus,
            limit.gpus,
            limit.ram
        ));
    }
    for objective in &core.objectives {
        lines.push(format!(
            "class {} started {} within {}",
            objective.class,
            objective.milestone == Milestone::Started,
            objective.within.0
        ));
    }
    let workers = [
        core.heartbeat_interval,
        core.lease,
        core.gang_wait,
        core.gang_loss_detection,
        core.cancellation_time,
    ]
    .map(|t| t.0);
    lines.push(format!("workers {workers:?}"));
    lines.push(format!(
        "state {} {} {} {}",
        core.store_rps, core.write_rps, core.value_bytes, core.max_txn_changes
    ));
    lines.push(format!("cloud {} {}", core.cloud_rps, core.list_lag.0));
    let tuning = &core.tuning;
    let times = [
        tuning.claim_ttl,
        tuning.release_request_interval,
        tuning.idle_timeout,
    ]
    .map(|t| t.0);
    lines.push(format!(
        "operators {times:?} {} {}",
        tuning.gang_retry_limit, tuning.duties
    ));
    lines.join("\n")
}

/// [`settings_text`] of `PLATFORM` and `OPERATORS`.
const SETTINGS: &str = "1 of aaa alpha gamma at 127.0.0.1:7004 127.0.0.1:7002 127.0.0.1:7003
bind 127.0.0.1:7001 mesh 127.0.0.1:7002 cloud 127.0.0.1:7005 state 127.0.0.1:7006 sockets 1999
team sound 1000 3000 0 up to 2000 4000 0
team vision 5500 0 0 up to 0 0 0
class nightly started true within 61000000
class daily started false within 62500000
workers [2250000, 11000000, 12000000, 3500000, 33000000]
state 201 81 31744 47
cloud 6 9500000
operators [5000000, 1500000, 41500000] 7 true";
/// The last line of `SETTINGS` when the operators set nothing.
const DEFAULTS: &str = "operators [4000000, 2000000, 40000000] 3 false";

#[test]
fn settings_files_are_parsed() {
    assert_eq!(settings_text(PLATFORM, Some(OPERATORS)), SETTINGS);
    let operators = SETTINGS.lines().last().unwrap();
    assert_eq!(
        settings_text(PLATFORM, None),
        SETTINGS.replace(operators, DEFAULTS)
    );
    assert_eq!(
        settings_text(PLATFORM, Some("")),
        SETTINGS.replace(operators, DEFAULTS)
    );
    // Each of the operators' settings alone; the others keep their defaults.
    for (line, ini) in [
        (
            "operators [6000000, 2000000, 40000000] 3 false",
            "[claims]\nttl_s = 6\n",
        ),
        (
            "operators [4000000, 3000000, 40000000] 3 false",
            "[shares]\nmove_every_s = 3\n",
        ),
        (
            "operators [4000000, 2000000, 1000000] 3 false",
            "[fleet]\nidle_keep_s = 1\n",
        ),
        (
            "operators [4000000, 2000000, 40000000] 9 false",
            "[gangs]\nretry_limit = 9\n",
        ),
        (
            "operators [4000000, 2000000, 40000000] 3 true",
            "[duties]\non = yes\n",
        ),
        (
            "operators [4000000, 2000000, 40000000] 3 false",
            "[duties]\non = no\n",
        ),
    ] {
        assert_eq!(
            settings_text(PLATFORM, Some(ini)),
            SETTINGS.replace(operators, line)
        );
    }
    // Each announced limit of the store alone.
    let state = "state 201 81 31744 47";
    for (next, line) in [
        ("rps = 101.0", "state 101 81 31744 47"),
        ("write_rps = 41.0", "state 201 41 31744 47"),
        ("value_kb = 2.0", "state 201 81 2048 47"),
        ("txn_ops = 15", "state 201 81 31744 15"),
    ] {
        let toml = PLATFORM.replace(
            "[params.cloud]",
            &format!("[params.state.next]\n{next}\n\n[params.cloud]"),
        );
        assert_eq!(
            settings_text(&toml, Some(OPERATORS)),
            SETTINGS.replace(state, line)
        );
    }
}

/// Every required setting of the platform is named in the error if it is missing.
#[test]
fn errors_name_the_missing_setting() {
    let required =
        "member bind mesh_addr peer_addr cloud state name cpus cpus_max gpus gpus_max kind report_s lease_s \
                    gang_wait_s gang_peer_s cancel_s rps write_rps value_kb txn_ops list_lag_s fd_limit";
    for field in required.split_whitespace() {
        let line = PLATFORM
            .lines()
            .find(|line| line.starts_with(&format!("{field} = ")))
            .expect(field);
        let error = settings::parse(&PLATFORM.replacen(line, "", 1), None)
            .expect_err(field)
            .to_string();
        assert!(error.contains(&format!("`{field}`")), "{field}: {error}");
    }
    // The lists of teams and objectives are optional.
    let at = PLATFORM.find("[[params.teams]]").unwrap();
    let end = PLATFORM.find("[params.workers]").unwrap();
    let toml = format!("{}{}", &PLATFORM[..at], &PLATFORM[end..]);
    let lists = |line: &&str| !line.starts_with("team") && !line.starts_with("class");
    let expected: Vec<&str> = SETTINGS.lines().filter(lists).collect();
    assert_eq!(settings_text(&toml, Some(OPERATORS)), expected.join("\n"));
}

// ---- between controllers ---------------------------------------------------------------------

type Executor = async_executor::LocalExecutor<'static>;

#[derive(Clone, Copy)]
struct Spawn(&'static Executor);

impl<F: Future<Output: 'static> + 'static> hyper::rt::Executor<F> for Spawn {
    fn execute(&self, f: F) {
        self.0.spawn(f).detach();
    }
}

/// A body with at most one data frame.
struct SingleFrame(Option<Bytes>);

impl Body for SingleFrame {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Poll::Ready(self.0.take().map(|bytes| Ok(Frame::data(bytes))))
    }
}

/// All data of a body, and the gRPC status in its trailers.
async fn read_all(mut body: hyper::body::Incoming) -> (Vec<u8>, Option<String>) {
    let (mut data, mut status) = (Vec::new(), None);
    while let Some(Ok(frame)) = std::future::poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await
    {
        match frame.into_data() {
            Ok(bytes) => data.extend(bytes),
            Err(frame) => {
                let trailers = frame.into_trailers().unwrap_or_default();
                status = trailers
                    .get("grpc-status")
                    .map(|s| s.to_str().unwrap().to_owned());
            }
        }
    }
    (data, status)
}

/// A gRPC message frame: the flag for "not compressed", the length and the text.
fn grpc_frame(text: &str) -> Vec<u8> {
    [
        &[0],
        &(text.len() as u32).to_be_bytes()[..],
        text.as_bytes(),
    ]
    .concat()
}

const ENVELOPE: &str = r#"{"from":"alpha","message":{"Cancelled":{"job":"j-1","tasks":3}}}"#;

#[test]
fn a_message_is_sent_to_another_controller() {
    let ex: &'static Executor = Box::leak(Box::default());
    async_io::block_on(ex.run(async {
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        let (queue, messages) = async_channel::unbounded();
        ex.spawn(peer_transport::deliver(
            ex,
            "alpha".into(),
            "beta".into(),
            to,
            messages,
        ))
        .detach();
        queue
            .send(PeerMessage::Cancelled {
                job: "j-1".into(),
                tasks: 3,
            })
            .await
            .unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (sender, received) = async_channel::unbounded();
        let handler =
            hyper::service::service_fn(move |request: http::Request<hyper::body::Incoming>| {
                let sender = sender.clone();
                async move {
                    let kind = request.headers()["content-type"]
                        .to_str()
                        .unwrap()
                        .to_owned();
                    let head = format!("{} {} {kind}", request.method(), request.uri().path());
                    let (data, _) = read_all(request.into_body()).await;
                    sender.send((head, data)).await.unwrap();
                    Ok::<_, std::convert::Infallible>(http::Response::new(SingleFrame(None)))
                }
            });
        let io = smol_hyper::rt::FuturesIo::new(stream);
        ex.spawn(hyper::server::conn::http2::Builder::new(Spawn(ex)).serve_connection(io, handler))
            .detach();
        let (head, data) = received.recv().await.unwrap();
        assert_eq!(head, "POST /seamfront.Mesh/Deliver application/grpc");
        assert_eq!(data, grpc_frame(ENVELOPE));
    }));
}

#[test]
fn messages_from_another_controller_are_received_or_rejected() {
    let ex: &'static Executor = Box::leak(Box::default());
    async_io::block_on(ex.run(async {
        let bind = seamfront_testing::controller_process::unused_address();
        let (queue, commands) = async_channel::unbounded();
        ex.spawn(peer_transport::serve(
            ex,
            bind,
            vec!["beta".into(), "alpha".into()],
            queue,
        ))
        .detach();
        let stream = loop {
            match async_net::TcpStream::connect(bind).await {
                Ok(stream) => break stream,
                Err(_) => futures_lite::future::yield_now().await,
            }
        };
        let io = smol_hyper::rt::FuturesIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http2::handshake(Spawn(ex), io)
            .await
            .unwrap();
        ex.spawn(connection).detach();
        for (text, status, answer) in [
            (ENVELOPE, "0", grpc_frame("{}")),
            (&ENVELOPE.replace("alpha", "nobody"), "7", vec![]),
            (r#"{"from":"alpha"}"#, "3", vec![]),
        ] {
            let request = http::Request::post(format!("http://{bind}/seamfront.Mesh/Deliver"))
                .header("content-type", "application/grpc")
                .header("te", "trailers")
                .body(SingleFrame(Some(grpc_frame(text).into())))
                .unwrap();
            let response = sender.send_request(request).await.unwrap();
            let in_head = response
                .headers()
                .get("grpc-status")
                .map(|s| s.to_str().unwrap().to_owned());
            let (data, in_trailers) = read_all(response.into_body()).await;
            assert_eq!(
                (in_head.or(in_trailers).as_deref(), data),
                (Some(status), answer),
                "{text}"
            );
        }
        let Ok(Command::Peer { from, message }) = commands.try_recv() else {
            panic!("the valid message was not received")
        };
        assert_eq!(
            (from, message),
            (
                1,
                PeerMessage::Cancelled {
                    job: "j-1".into(),
                    tasks: 3
                }
            )
        );
        assert!(commands.is_empty());
    }));
}

#[test]
fn envelopes_and_receipts_are_serialized() {
    let read: peer_transport::Envelope = serde_json::from_str(ENVELOPE).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), ENVELOPE);
    let receipt: peer_transport::Receipt = serde_json::from_str(r#"{"later":1}"#).unwrap();
    assert_eq!(serde_json::to_string(&receipt).unwrap(), "{}");
}

// ---- the HTTP server of a controller ---------------------------------------------------------

/// Sends a request and returns the status and body of the reply.
fn request(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<String> {
    let mut stream = TcpStream::connect(to).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let (first, body) = seamfront_testing::http::read_message(&mut BufReader::new(stream))?;
    Some(format!(
        "{} {}",
        first.split(' ').nth(1)?,
        String::from_utf8(body).ok()?
    ))
}

#[test]
fn replies_of_a_running_controller() {
    let types =
        r#"{"modelos":[{"name":"g4","cores":48,"accelerators":4,"ram_gb":384,"pracas":["b"]}]}"#;
    let (cloud, _requests) = start_server(200, types);
    let at = seamfront_testing::controller_process::unused_address();
    let dir = std::env::temp_dir().join(format!("seamfront-forms-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let members = PLATFORM.find("[[members]]").unwrap()..PLATFORM.find("[outside]").unwrap();
    let text = PLATFORM
        .replace(&PLATFORM[members], "")
        .replace("127.0.0.1:7001", &at.to_string())
        .replace(
            "127.0.0.1:7002",
            &seamfront_testing::controller_process::unused_address().to_string(),
        )
        .replace("127.0.0.1:7005", &cloud.to_string())
        .replace(
            "127.0.0.1:7006",
            &seamfront_testing::store_service::start_store_service().to_string(),
        );
    let _controller = SEAMFRONT.start(&dir, &text, &[]);
    let submission = SUBMISSION
        .replace(r#","espera":["j-7","j-8"]"#, "")
        .replace("\"sound\"", "\"vision\"");
    let accepted = seamfront_testing::controller_process::eventually("the job is accepted", || {
        request(at, "POST", "/submissions", &submission).filter(|answer| !answer.starts_with("503"))
    });
    assert_eq!(
        accepted,
        r#"201 {"done":0,"id":"j-000031","ponto":"queued","running":0}"#
    );
    let too_long = " ".repeat(65 * 1024);
    for (method, path, body, expected) in [
        ("GET", "/up", "", "200 {}"),
        (
            "POST",
            "/submissions",
            submission.as_str(),
            r#"200 {"done":0,"id":"j-000031","ponto":"queued","running":0}"#,
        ),
        (
            "GET",
            "/submissions/j-000031",
            "",
            r#"200 {"done":0,"id":"j-000031","ponto":"queued","running":0}"#,
        ),
        (
            "POST",
            "/submissions/j-000031/abort",
            "",
            r#"200 {"done":0,"id":"j-000031","ponto":"withdrawn","running":0}"#,
        ),
        (
            "GET",
            "/submissions/j-5",
            "",
            r#"404 {"error":"no such job"}"#,
        ),
        (
            "GET",
            "/submissions/other",
            "",
            r#"404 {"error":"no such job"}"#,
        ),
        (
            "POST",
            "/submissions/other/abort",
            "",
            r#"404 {"error":"no such job"}"#,
        ),
        (
            "POST",
            "/submissions",
            "[]",
            r#"400 {"error":"not an object"}"#,
        ),
        (
            "POST",
            "/submissions",
            too_long.as_str(),
            r#"400 {"error":"body: too long"}"#,
        ),
        (
            "POST",
            "/hello",
            too_long.as_str(),
            r#"400 {"error":"body: too long"}"#,
        ),
        ("POST", "/hello", HEARTBEAT, "421 {}"),
        ("GET", "/hello", "", r#"405 {"error":"method not allowed"}"#),
        ("POST", "/up", "", r#"405 {"error":"method not allowed"}"#),
        (
            "POST",
            "/submissions/j-5",
            "",
            r#"405 {"error":"method not allowed"}"#,
        ),
        (
            "GET",
            "/submissions/j-5/abort",
            "",
            r#"405 {"error":"method not allowed"}"#,
        ),
        ("GET", "/other", "", r#"404 {"error":"no such path"}"#),
    ] {
        assert_eq!(
            request(at, method, path, body).as_deref(),
            Some(expected),
            "{method} {path}"
        );
    }
    let _ = std::fs::remove_dir_all(&dir);
}

// ---- operator commands on duties -------------------------------------------------------------

#[test]
fn operator_commands_on_duties_read_and_write_the_store() {
    let store = seamfront_testing::store_service::StoreService::new();
    let put = |key: &str, value: &str| {
        let body = format!(r#"{{"when":[],"apply":[{{"write":"{key}","data":{value}}}]}}"#);
        assert_eq!(
            store
                .handle("POST", "/commit", &serde_json::from_str(&body).unwrap())
                .0,
            200
        );
    };
    let all_entries = || -> Vec<String> {
        let entries = store.store.lock().unwrap();
        entries
            .keys
            .iter()
            .map(|(key, entry)| format!("{key} {}", entry.0))
            .collect()
    };
    let shared = store.clone();
    let store_addr = seamfront_testing::http::serve(move |method, path, body| {
        shared.handle(method, path, &body)
    });
    let settings = settings::parse(
        &PLATFORM.replace("127.0.0.1:7006", &store_addr.to_string()),
        None,
    )
    .unwrap();
    assert_eq!(
        duty_admin::show(&settings).unwrap(),
        "no duty is held and no member is up\n"
    );
    let request: duty_admin::MoveRequest = "cleaning=gamma".parse().unwrap();
    duty_admin::request_move(&settings, &request).unwrap();
    let request: duty_admin::MoveRequest = "moving=aaa".parse().unwrap();
    duty_admin::request_move(&settings, &request).unwrap();
    assert_eq!(
        all_entries(),
        [
            r#"duty/move/cleaning {"format":1,"to":"gamma"}"#,
            r#"duty/move/moving {"format":1,"to":"aaa"}"#,
            r#"duty/move/renting {"format":1,"to":"aaa"}"#,
            r#"duty/move/returning {"format":1,"to":"aaa"}"#,
        ]
    );
    put(
        "duty/claim/cleaning",
        r#"{"format":1,"lease":7,"member":"alpha"}"#,
    );
    put(
        "duty/claim/renting",
        r#"{"format":1,"lease":7,"member":"alpha"}"#,
    );
    put(
        "duty-log/renting",
        r#"{"ended":2,"format":1,"open":[{"name":{"number":3,"token":41},"payload":{}}],"recent":[],"sequence":5,"token":41}"#,
    );
    let member = r#"{"format":1,"lease":7,"leaving":false,"load":35,"settings":{"duties":[],"lease_ms":4000,"members":[]}}"#;
    put("duty/member/alpha", member);
    put(
        "duty/member/gamma",
        &member.replace("\"leaving\":false", "\"leaving\":true"),
    );
    put("duty/switch", r#"{"by":"alpha","ended":3,"format":1}"#);
    put("duty/version/alpha", r#"{"format":1}"#);
    put("leader", r#"{"lease":0,"member":""}"#);
    let shown = "duty cleaning: held by alpha under token 3; no operations yet
duty renting: held by alpha under token 4; 1 open, 2 ended
member alpha: up, load 35 percent
member gamma: leaving
duty cleaning: to be moved to gamma
duty moving: to be moved to aaa
duty renting: to be moved to aaa
duty returning: to be moved to aaa
";
    assert_eq!(duty_admin::show(&settings).unwrap(), shown);
    assert!(duty_admin::end(&settings)
        .unwrap_err()
        .to_string()
        .contains("duty/claim/cleaning"));
    for key in [
        "duty/claim/cleaning",
        "duty/claim/renting",
        "duty/member/alpha",
        "duty/member/gamma",
    ] {
        let body = format!(r#"{{"when":[],"apply":[{{"remove":"{key}"}}]}}"#);
        assert_eq!(
            store
                .handle("POST", "/commit", &serde_json::from_str(&body).unwrap())
                .0,
            200
        );
    }
    duty_admin::end(&settings).unwrap();
    let remaining: Vec<String> = all_entries()
        .iter()
        .map(|line| line.split(' ').next().unwrap().to_owned())
        .collect();
    let moves = [
        "duty/move/cleaning",
        "duty/move/moving",
        "duty/move/renting",
        "duty/move/returning",
    ];
    assert_eq!(remaining, [&["duty-log/renting"], &moves[..]].concat());
}
