//! What comes in from users, workers and settings is read strictly, and errors name the field.

use seamfront::{settings, users, workers};
use seamfront_core::port::{Exit, TaskState};
use serde_json::{json, Value};

fn submission() -> Value {
    json!({"id":"j-000412","fornada":"train","equipe":"vision","feitio":"group","vez":"urgent","paes":16,
        "cores":8.0,"accelerators":1.0,"ram_gb":64.0,"receita":"img-07","pull_gb":6.2,"modelos":["g8"],"praca":null,
        "one_zone":true,"scatter":false,"emprestados":true,"assa_s":240.0,"vira_s":30.0,"guarda_s":4.0,
        "entrega_s":900.0,"new_field":[1,2]})
}

fn parse(v: &Value) -> Result<seamfront_core::types::JobSpec, String> {
    users::parse_submission(v.to_string().as_bytes())
}

#[test]
fn a_whole_submission_is_taken() {
    let job = parse(&submission()).unwrap();
    assert_eq!((job.tasks, job.need.cpus, job.need.gpus), (16, 8_000, 1_000));
    assert_eq!(job.save.0, 4_000_000);
    let mut v = submission();
    for optional in ["modelos", "praca", "entrega_s"] {
        v.as_object_mut().unwrap().remove(optional);
    }
    let job = parse(&v).unwrap();
    assert!(job.types.is_none() && job.zone.is_none() && job.deadline.is_none());
}

#[test]
fn every_bad_field_is_named() {
    let wrong: [(&str, Vec<Value>); 14] = [
        ("id", vec![json!(7), json!("x-1"), json!("j-"), json!("j-1a"), json!(""), Value::Null]),
        ("paes", vec![json!(0), json!(100_001), json!(1.5), json!(16.0), json!("3"), json!(-1), Value::Null]),
        ("cores", vec![json!(-1), json!("8"), json!(1e300), Value::Null]),
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
    for (field, values) in wrong {
        for bad in values {
            let mut v = submission();
            v[field] = bad.clone();
            let err = parse(&v).expect_err(&format!("{field} = {bad}"));
            assert!(err.starts_with(field), "{field} = {bad}: {err}");
        }
    }
    for text in ["", "[]", "7", "{", "{\"id\":\"j-1\"", "\u{0}"] {
        assert!(users::parse_submission(text.as_bytes()).is_err(), "{text}");
    }
}

#[test]
fn a_report_that_is_not_understood_is_refused_whole() {
    let report = |tasks: Value| {
        json!({"fornalha":"i-1","addr":"10.1.0.1:9","turno":1,"conta":8,"bastao":41,"aviso_s":null,"paes":tasks})
            .to_string()
    };
    let good = json!([{"pao":"j-1/3","tentativa":2,"ponto":"running"},
        {"pao":"j-2/0","tentativa":1,"ponto":"exited","motivo":"halted","saved":true}]);
    let r = workers::parse_report(report(good).as_bytes()).unwrap();
    assert_eq!(r.tasks[1].state, TaskState::Exited(Exit::Stopped { saved: true }));
    assert_eq!(r.tasks[0].task.to_string(), "j-1/3");
    for bad in [
        json!([{"pao":"j-1/3","tentativa":2,"ponto":"dancing"}]),
        json!([{"pao":"j-1","tentativa":2,"ponto":"running"}]),
        json!([{"pao":"j-1/x","tentativa":2,"ponto":"running"}]),
        json!([{"pao":"j-1/1","tentativa":-2,"ponto":"running"}]),
        json!([{"pao":"j-1/1","tentativa":1,"ponto":"exited","motivo":"boredom"}]),
    ] {
        assert!(workers::parse_report(report(bad.clone()).as_bytes()).is_err(), "{bad}");
    }
}

#[test]
fn settings_are_checked_and_fields_named() {
    let good = include_str!("../../../docs/settings.example.toml");
    let ini = include_str!("../../../docs/seamfront.example.ini");
    let s = settings::parse(good, Some(ini)).expect("the examples are valid");
    assert_eq!(s.core.members, ["alpha", "beta"]);
    assert_eq!(s.core.tuning.idle_keep, seamfront_core::types::Tuning::default().idle_keep);
    assert!(settings::parse(&good.replace("ram_mb", "unknown_field"), None).is_ok());
    for (from, to, field) in [
        ("report_s = 2.0", "report_s = -2.0", "report_s"),
        ("txn_ops = 48", "txn_ops = 0", "txn_ops"),
        ("127.0.0.1:8443", "cloud.example", "outside.cloud"),
        ("lease_s = 15.0", "", "lease_s"),
        ("cpus_max = 64.0", "cpus_max = nan", "cpus_max"),
        ("member = \"beta\"", "member = \"alpha\"", "members"),
        ("fd_limit = 2000", "fd_limit = 3", "fd_limit"),
    ] {
        assert!(good.contains(from));
        let e = settings::parse(&good.replacen(from, to, 1), None).expect_err(field).to_string();
        assert!(e.contains(field) && !e.contains('\n'), "{field}: {e}");
    }
    for (bad, field) in [
        ("[gangs]\nretry_limit = none", "gangs.retry_limit"),
        ("[fleet]\nidle = 3", "fleet.idle"),
        ("ttl_s = 3", "ttl_s"),
    ] {
        let e = settings::parse(good, Some(bad)).expect_err(field).to_string();
        assert!(e.contains(field), "{e}");
    }
}
