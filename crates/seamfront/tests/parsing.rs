//! Checks that submissions, heartbeats and settings are validated strictly and that errors name the invalid field.

use seamfront::{settings, user_api, worker_api};
use seamfront_core::port::{Exit, TaskState};
use serde_json::{json, Value};

fn submission() -> Value {
    json!({"id":"j-000412","fornada":"train","equipe":"vision","feitio":"group","vez":"urgent","paes":16,
        "cores":8.0,"accelerators":1.0,"ram_gb":64.0,"receita":"img-07","pull_gb":6.2,"modelos":["g8"],"praca":null,
        "one_zone":true,"scatter":false,"emprestados":true,"assa_s":240.0,"vira_s":30.0,"guarda_s":4.0,
        "entrega_s":900.0,"new_field":[1,2]})
}

fn parse(v: &Value) -> Result<seamfront_core::types::JobSpec, String> {
    user_api::parse_submission(v.to_string().as_bytes()).map_err(|e| e.to_string())
}

#[test]
fn a_complete_submission_is_parsed() {
    let job = parse(&submission()).unwrap();
    assert_eq!(
        (job.tasks, job.task_resources.cpus, job.task_resources.gpus),
        (16, 8_000, 1_000)
    );
    assert_eq!(job.checkpoint_time.0, 4_000_000);
    let mut v = submission();
    for optional in ["modelos", "praca", "entrega_s"] {
        v.as_object_mut().unwrap().remove(optional);
    }
    let job = parse(&v).unwrap();
    assert!(job.types.is_none() && job.zone.is_none() && job.deadline.is_none());
}

#[test]
fn a_submission_without_a_required_field_is_rejected() {
    let required = [
        "id",
        "fornada",
        "equipe",
        "feitio",
        "vez",
        "paes",
        "cores",
        "accelerators",
        "ram_gb",
        "receita",
        "pull_gb",
        "one_zone",
        "scatter",
        "emprestados",
        "assa_s",
        "vira_s",
        "guarda_s",
    ];
    for field in required {
        let mut v = submission();
        v.as_object_mut().unwrap().remove(field);
        let err = parse(&v).expect_err(field);
        assert_eq!(err, format!("{field}: missing"));
    }
}

#[test]
fn errors_name_the_invalid_submission_field() {
    let invalid_values: [(&str, Vec<Value>); 14] = [
        (
            "id",
            vec![
                json!(7),
                json!("x-1"),
                json!("j-"),
                json!("j-1a"),
                json!(""),
                Value::Null,
            ],
        ),
        (
            "paes",
            vec![
                json!(0),
                json!(100_001),
                json!(1.5),
                json!(16.0),
                json!("3"),
                json!(-1),
                Value::Null,
            ],
        ),
        (
            "cores",
            vec![json!(-1), json!("8"), json!(1e300), Value::Null],
        ),
        ("accelerators", vec![json!(-0.5), json!([])]),
        ("ram_gb", vec![json!(true)]),
        ("feitio", vec![json!("band"), json!(1)]),
        ("vez", vec![json!("low"), Value::Null]),
        ("modelos", vec![json!("g8"), json!([1])]),
        ("praca", vec![json!(3)]),
        ("one_zone", vec![json!("yes"), Value::Null]),
        ("emprestados", vec![json!(1)]),
        ("assa_s", vec![json!(-2), Value::Null]),
        ("entrega_s", vec![json!(-2), json!("soon")]),
        ("equipe", vec![json!({}), Value::Null]),
    ];
    for (field, values) in invalid_values {
        for bad in values {
            let mut v = submission();
            v[field] = bad.clone();
            let err = parse(&v).expect_err(&format!("{field} = {bad}"));
            assert!(err.starts_with(field), "{field} = {bad}: {err}");
        }
    }
    for text in ["", "[]", "7", "{", "{\"id\":\"j-1\"", "\u{0}"] {
        assert!(
            user_api::parse_submission(text.as_bytes()).is_err(),
            "{text}"
        );
    }
}

#[test]
fn a_heartbeat_with_an_invalid_task_is_rejected() {
    let body = |tasks: Value| {
        json!({"fornalha":"i-1","addr":"10.1.0.1:9","turno":1,"conta":8,"bastao":41,"aviso_s":null,"paes":tasks})
            .to_string()
    };
    let valid = json!([{"pao":"j-1/3","tentativa":2,"ponto":"running"},
        {"pao":"j-2/0","tentativa":1,"ponto":"exited","motivo":"halted","saved":true}]);
    let heartbeat = worker_api::parse_heartbeat(body(valid).as_bytes()).unwrap();
    assert_eq!(
        heartbeat.tasks[1].state,
        TaskState::Exited(Exit::Stopped { saved: true })
    );
    assert_eq!(heartbeat.tasks[0].task.to_string(), "j-1/3");
    for bad in [
        json!([{"pao":"j-1/3","tentativa":2,"ponto":"dancing"}]),
        json!([{"pao":"j-1","tentativa":2,"ponto":"running"}]),
        json!([{"pao":"j-1/x","tentativa":2,"ponto":"running"}]),
        json!([{"pao":"j-1/1","tentativa":-2,"ponto":"running"}]),
        json!([{"pao":"j-1/1","tentativa":1,"ponto":"exited","motivo":"boredom"}]),
    ] {
        assert!(
            worker_api::parse_heartbeat(body(bad.clone()).as_bytes()).is_err(),
            "{bad}"
        );
    }
}

#[test]
fn settings_errors_name_the_invalid_field() {
    let example = include_str!("../../../docs/settings.example.toml");
    let ini = include_str!("../../../docs/seamfront.example.ini");
    let s = settings::parse(example, Some(ini)).expect("the examples are valid");
    assert_eq!(s.core.members, ["alpha", "beta"]);
    assert_eq!(
        s.core.tuning.idle_timeout,
        seamfront_core::types::Tuning::default().idle_timeout
    );
    assert!(settings::parse(&example.replace("ram_mb", "unknown_field"), None).is_ok());
    for (from, to, field) in [
        ("report_s = 2.0", "report_s = -2.0", "report_s"),
        ("txn_ops = 48", "txn_ops = 0", "txn_ops"),
        ("127.0.0.1:8443", "cloud.example", "outside.cloud"),
        ("lease_s = 15.0", "", "lease_s"),
        ("cpus_max = 64.0", "cpus_max = nan", "cpus_max"),
        ("member = \"beta\"", "member = \"alpha\"", "members"),
        ("fd_limit = 2000", "fd_limit = 3", "fd_limit"),
    ] {
        assert!(example.contains(from));
        let error = settings::parse(&example.replacen(from, to, 1), None)
            .expect_err(field)
            .to_string();
        assert!(
            error.contains(field) && !error.contains('\n'),
            "{field}: {error}"
        );
    }
    for (bad, field) in [
        ("[gangs]\nretry_limit = none", "gangs.retry_limit"),
        ("[fleet]\nidle = 3", "fleet.idle"),
        ("ttl_s = 3", "ttl_s"),
    ] {
        let error = settings::parse(example, Some(bad))
            .expect_err(field)
            .to_string();
        assert!(error.contains(field), "{error}");
    }
}

#[test]
fn dependencies_are_validated_and_deduplicated() {
    let body = |dependencies: Value| {
        let mut v = json!({"id":"j-7","fornada":"c","equipe":"t","feitio":"array","vez":"normal","paes":1,"cores":1.0,
            "accelerators":0.0,"ram_gb":1.0,"receita":"i","pull_gb":1.0,"modelos":null,"praca":null,"one_zone":false,
            "scatter":false,"emprestados":true,"assa_s":1.0,"vira_s":0.0,"guarda_s":0.0,"entrega_s":null});
        v["espera"] = dependencies;
        v.to_string()
    };
    let parse = |dependencies: Value| user_api::parse_submission(body(dependencies).as_bytes());
    assert_eq!(parse(Value::Null).unwrap().dependencies, []);
    assert_eq!(parse(json!([])).unwrap().dependencies, []);
    let dependencies = parse(json!(["j-9", "j-8", "j-9"])).unwrap().dependencies;
    assert_eq!(
        dependencies
            .iter()
            .map(seamfront_core::types::JobId::as_str)
            .collect::<Vec<_>>(),
        ["j-8", "j-9"]
    );
    for bad in [
        json!("j-8"),
        json!([8]),
        json!(["j-x"]),
        json!(["j-7"]),
        json!({"j-8": 1}),
        json!([null]),
    ] {
        assert!(
            parse(bad.clone())
                .unwrap_err()
                .to_string()
                .contains("espera"),
            "{bad}"
        );
    }
}

/// Limits of the key-value store that are announced for a later time apply from the start where they are smaller,
/// field by field.
#[test]
fn the_smaller_of_current_and_announced_store_limits_applies() {
    let example = include_str!("../../../docs/settings.example.toml");
    let parse_with = |next: &str| {
        settings::parse(
            &example.replace("[params.cloud]", &format!("{next}\n[params.cloud]")),
            None,
        )
    };
    let current = parse_with("").unwrap().core;
    let s = parse_with("[params.state.next]\nwrite_rps = 20.0\nvalue_kb = 2.0\ntxn_ops = 16\n")
        .unwrap()
        .core;
    assert_eq!(
        (s.write_rps, s.value_bytes, s.max_txn_changes, s.store_rps),
        (20, 2_048, 16, current.store_rps)
    );
    let s = parse_with("[params.state.next]\nwrite_rps = 9000.0\nvalue_kb = 900.0\n")
        .unwrap()
        .core;
    assert_eq!(
        (s.write_rps, s.value_bytes, s.max_txn_changes),
        (
            current.write_rps,
            current.value_bytes,
            current.max_txn_changes
        )
    );
    assert!(parse_with("[params.state.next]\ntxn_ops = 0\n").is_err());
}

/// Records and messages exactly as the version in production writes them must be read and written back unchanged, since
/// both versions read each other's during an upgrade. That version ignores unknown fields. A job without dependencies
/// is written without the `needs` field, as that version writes it.
#[test]
fn records_and_messages_of_the_version_in_production_are_read_and_written_unchanged() {
    use seamfront_core::record::WorkRecord;
    let job = r#"{"id":"j-000412","class":"c","team":"t","kind":"Array","priority":"Urgent","tasks":3,"need":{"c":1000,"g":0,"r":2000},"types":null,"zone":null,"one_zone":false,"spread":false,"spot":true,"image":"i","image_mb":100,"estimate":1000000,"checkpoint":0,"save":0,"deadline":null,"submitted":17}"#;
    let spec: seamfront_core::types::JobSpec = serde_json::from_str(job).unwrap();
    assert!(spec.dependencies.is_empty());
    let as_value = |text: &str| serde_json::from_str::<Value>(text).unwrap();
    assert_eq!(
        serde_json::to_value(&spec).unwrap(),
        as_value(job),
        "a job without dependencies is written as the version in production writes it"
    );
    let work = r#"{"team":"t","need":{"c":1000,"g":0,"r":2000},"e":1,"dr":false,"a":[[0,2]],"n":7,"d":[[0,2],[4,5]],"p":{"i-000231":[[2,4,6]]},"pk":0}"#;
    let record: WorkRecord = serde_json::from_str(work).unwrap();
    assert_eq!(serde_json::to_value(&record).unwrap(), as_value(work));
    for text in [
        r#"{"Alive":{"ready":true,"claims":[["share/0",7]],"awaited":3}}"#,
        r#"{"Share":{"share":1,"version":7,"needs":[{"job":"j-1","task":{"c":1,"g":0,"r":2},"count":2,"total":3,"together":true,"one_zone":false,"gathering":null,"spread":false,"priority":"Normal","guaranteed":true,"overdue":false,"types":["g8"],"zone":null,"spot":true,"image_mb":5,"estimate":6,"waited":7,"left":null,"service":false}],"machines":[{"i":"i-1","v":4,"n":true,"u":{"c":1,"g":0,"r":2},"p":{"c":1,"g":0,"r":2},"e":9,"g":true,"r":true,"b":true,"t":true,"l":"Urgent","w":3}]}}"#,
        r#"{"Release":{"share":1,"machines":["i-1"],"above":"Urgent"}}"#,
        r#"{"Cancelled":{"job":"j-1","tasks":3}}"#,
        r#"{"Progress":{"jobs":[["j-1",2,1]]}}"#,
    ] {
        let message: seamfront_core::port::PeerMessage = serde_json::from_str(text).unwrap();
        assert_eq!(serde_json::to_value(&message).unwrap(), as_value(text));
    }
    let machine = r#"{"share":1,"kind":"g8","zone":"a","spot":true}"#;
    let record: seamfront_core::machine::MachineRecord = serde_json::from_str(machine).unwrap();
    assert_eq!(serde_json::to_value(&record).unwrap(), as_value(machine));
    let claim = r#"{"member":"n0","lease":4}"#;
    let value: seamfront_core::store_session::ClaimValue = serde_json::from_str(claim).unwrap();
    assert_eq!(serde_json::to_value(&value).unwrap(), as_value(claim));
    for end in [
        r#"{"cancelled":true,"tasks":3}"#,
        r#"{"cancelled":false,"tasks":3}"#,
    ] {
        let record: seamfront_core::user_api::EndRecord = serde_json::from_str(end).unwrap();
        assert_eq!(serde_json::to_value(record).unwrap(), as_value(end));
    }
}
