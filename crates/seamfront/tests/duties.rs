//! Two controllers with duties on: they clean up, show who holds what, and a duty is moved by hand.

use seamfront_testing::controller_process::{eventually, unused_address, ControllerBinary};
use seamfront_testing::{http, store_service::StoreService};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The program under test.
const SEAMFRONT: ControllerBinary = ControllerBinary::at(env!("CARGO_BIN_EXE_seamfront"));

struct Pair {
    dir: PathBuf,
    state: SocketAddr,
    service: StoreService,
    mesh: [SocketAddr; 2],
}

impl Pair {
    fn new(name: &str) -> Pair {
        let dir = std::env::temp_dir().join(format!("seamfront-{name}-{}", std::process::id()));
        let service = StoreService::new();
        let shared = service.clone();
        let state = http::serve(move |method, path, body| shared.handle(method, path, &body));
        Pair {
            dir,
            state,
            service,
            mesh: [unused_address(), unused_address()],
        }
    }

    /// Settings of one of the two; each has a folder of its own.
    fn settings(&self, member: usize) -> (PathBuf, String) {
        let names = ["alpha", "beta"];
        let dir = self.dir.join(names[member]);
        std::fs::create_dir_all(&dir).unwrap();
        let text = include_str!("../../../docs/settings.example.toml")
            .replace(
                "member = \"beta\"",
                &format!("member = \"{}\"", names[1 - member]),
            )
            .replacen(
                "member = \"alpha\"",
                &format!("member = \"{}\"", names[member]),
                1,
            )
            .replace("127.0.0.1:8080", &unused_address().to_string())
            .replace("127.0.0.1:8081", &self.mesh[member].to_string())
            .replace("127.0.0.1:8091", &self.mesh[1 - member].to_string())
            .replace("127.0.0.1:8443", &unused_address().to_string())
            .replace("127.0.0.1:2379", &self.state.to_string());
        (dir, text)
    }

    fn put(&self, key: &str) {
        let body = json!({"when": [], "apply": [{"write": key, "data": []}]});
        assert_eq!(self.service.handle("POST", "/commit", &body).0, 200);
    }

    fn has(&self, key: &str) -> bool {
        self.service
            .handle("GET", &format!("/kv/{key}"), &json!(null))
            .0
            == 200
    }

    fn holder(&self) -> Option<String> {
        let (_, claim) = self
            .service
            .handle("GET", "/kv/duty/claim/cleaning", &json!(null));
        claim["data"]["member"].as_str().map(str::to_owned)
    }
}

impl Drop for Pair {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn run(settings: &Path, args: &[&str]) -> (bool, String) {
    let output = SEAMFRONT
        .command()
        .args(args)
        .arg("--config")
        .arg(settings)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.success(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[test]
fn controllers_clean_up_and_a_duty_is_moved_by_hand() {
    let pair = Pair::new("duties");
    for key in [
        "needs/j-000007/00001",
        "part/0/j-000007/00000",
        "needs/j-000008/00001",
        "end/j-000007",
    ] {
        pair.put(key);
    }
    let ((alpha, alpha_text), (beta, beta_text)) = (pair.settings(0), pair.settings(1));
    let first = SEAMFRONT.start(&alpha, &alpha_text, &["--duties"]);
    let second = SEAMFRONT.start(&beta, &beta_text, &["--duties"]);
    let settings = alpha.join("settings.toml");
    eventually("cleaned up", || {
        (!pair.has("needs/j-000007/00001") && !pair.has("part/0/j-000007/00000")).then_some(())
    });
    assert!(pair.has("needs/j-000008/00001"), "its job has not ended");

    eventually("both up", || {
        let (worked, text) = run(&settings, &["--show-duties"]);
        (worked && text.contains("member alpha: up") && text.contains("member beta: up"))
            .then_some(())
    });
    let holder = pair.holder().expect("a holder");
    let other = if holder == "alpha" { "beta" } else { "alpha" };
    let (worked, text) = run(
        &settings,
        &["--show-duties", "--move-duty", &format!("cleaning={other}")],
    );
    assert!(worked, "{text}");
    assert!(text.contains("duty cleaning: held by"), "{text}");
    eventually("moved", || pair.holder().filter(|now| now == other));
    assert!(!pair.has("duty/move/cleaning"), "the request is done with");

    // A successor takes over from one that is killed.
    let (worked, text) = run(&settings, &["--move-duty", "cleaning=alpha"]);
    assert!(worked, "{text}");
    eventually("moved to the first", || {
        pair.holder().filter(|now| now == "alpha")
    });
    drop(first);
    eventually("taken over", || pair.holder().filter(|now| now == "beta"));
    drop(second);

    for wrong in ["cleaning=nobody", "baking=beta", "cleaning"] {
        let (worked, text) = run(&settings, &["--move-duty", wrong]);
        assert!(!worked && text.contains("move-duty"), "{wrong}: {text}");
    }
}

/// Once all have begun with duties off, one command gives them a leader again.
#[test]
fn the_way_back_to_one_leader() {
    let pair = Pair::new("duties-back");
    let ((alpha, alpha_text), (beta, beta_text)) = (pair.settings(0), pair.settings(1));
    let first = SEAMFRONT.start(&alpha, &alpha_text, &["--duties"]);
    let second = SEAMFRONT.start(&beta, &beta_text, &["--duties"]);
    let settings = alpha.join("settings.toml");
    eventually("duties in force", || pair.has("duty/switch").then_some(()));
    eventually("held", || pair.holder());
    let (worked, text) = run(&settings, &["--end-duties"]);
    assert!(!worked && text.contains("end-duties"), "{text}");
    drop((first, second));
    let _first = SEAMFRONT.start(&alpha, &alpha_text, &[]);
    eventually("ended", || {
        run(&settings, &["--end-duties"]).0.then_some(())
    });
    let leader = || {
        let (_, claim) = pair.service.handle("GET", "/kv/leader", &json!(null));
        claim["data"]["member"]
            .as_str()
            .filter(|member| *member == "alpha")
            .map(str::to_owned)
    };
    eventually("a leader", leader);
    assert!(!pair.has("duty/switch"));
}

#[test]
fn settings_with_which_duties_could_not_work_are_refused_by_name() {
    let pair = Pair::new("duties-refused");
    let (dir, text) = pair.settings(0);
    let path = dir.join("settings.toml");
    std::fs::write(&path, text).unwrap();
    std::fs::write(dir.join("seamfront.ini"), "[claims]\nttl_s = 1\n").unwrap();
    assert!(run(&path, &["--check"]).0);
    let (worked, text) = run(&path, &["--check", "--duties"]);
    assert!(!worked && text.contains("lease"), "{text}");
    std::fs::write(dir.join("seamfront.ini"), "[duties]\non = perhaps\n").unwrap();
    let (worked, text) = run(&path, &["--check"]);
    assert!(!worked && text.contains("duties.on"), "{text}");
}
