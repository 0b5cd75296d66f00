//! Runs two controllers with duties enabled: garbage collection, the operator commands on duties, failover of a duty,
//! the return to a single leader, and the validation of settings.

use seamfront_testing::controller_process::{eventually, unused_address, ControllerBinary};
use seamfront_testing::{http, store_service::StoreService};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The program under test.
const SEAMFRONT: ControllerBinary = ControllerBinary::at(env!("CARGO_BIN_EXE_seamfront"));

/// Two members, `alpha` and `beta`, and their key-value store.
struct Pair {
    dir: PathBuf,
    store_addr: SocketAddr,
    store: StoreService,
    mesh_addrs: [SocketAddr; 2],
}

impl Pair {
    fn new(name: &str) -> Pair {
        let dir = std::env::temp_dir().join(format!("seamfront-{name}-{}", std::process::id()));
        let store = StoreService::new();
        let shared = store.clone();
        let store_addr = http::serve(move |method, path, body| shared.handle(method, path, &body));
        Pair {
            dir,
            store_addr,
            store,
            mesh_addrs: [unused_address(), unused_address()],
        }
    }

    /// The folder and the settings of a member, by its index. Each member has a folder of its own.
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
            .replace("127.0.0.1:8081", &self.mesh_addrs[member].to_string())
            .replace("127.0.0.1:8091", &self.mesh_addrs[1 - member].to_string())
            .replace("127.0.0.1:8443", &unused_address().to_string())
            .replace("127.0.0.1:2379", &self.store_addr.to_string());
        (dir, text)
    }

    fn put(&self, key: &str) {
        let body = json!({"when": [], "apply": [{"write": key, "data": []}]});
        assert_eq!(self.store.handle("POST", "/commit", &body).0, 200);
    }

    fn has(&self, key: &str) -> bool {
        self.store
            .handle("GET", &format!("/kv/{key}"), &json!(null))
            .0
            == 200
    }

    /// The member that holds the `cleaning` duty.
    fn holder(&self) -> Option<String> {
        let (_, claim) = self
            .store
            .handle("GET", "/kv/duty/claim/cleaning", &json!(null));
        claim["data"]["member"].as_str().map(str::to_owned)
    }
}

impl Drop for Pair {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Runs a command of the program to its end. Returns whether it succeeded, and its output.
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
fn records_of_ended_jobs_are_removed_and_a_duty_is_transferred_on_request_and_on_failover() {
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
    eventually("the records of the ended job are removed", || {
        (!pair.has("needs/j-000007/00001") && !pair.has("part/0/j-000007/00000")).then_some(())
    });
    assert!(
        pair.has("needs/j-000008/00001"),
        "a record of a job that has not ended was removed"
    );

    eventually("both members are up", || {
        let (succeeded, text) = run(&settings, &["--show-duties"]);
        (succeeded && text.contains("member alpha: up") && text.contains("member beta: up"))
            .then_some(())
    });
    let holder = pair.holder().expect("a holder");
    let other = if holder == "alpha" { "beta" } else { "alpha" };
    let (succeeded, text) = run(
        &settings,
        &["--show-duties", "--move-duty", &format!("cleaning={other}")],
    );
    assert!(succeeded, "{text}");
    assert!(text.contains("duty cleaning: held by"), "{text}");
    eventually("the duty is transferred as requested", || {
        pair.holder().filter(|now| now == other)
    });
    assert!(
        !pair.has("duty/move/cleaning"),
        "the transfer request must be removed"
    );

    // When the holder is killed, the other member acquires the duty.
    let (succeeded, text) = run(&settings, &["--move-duty", "cleaning=alpha"]);
    assert!(succeeded, "{text}");
    eventually("the duty is transferred to alpha", || {
        pair.holder().filter(|now| now == "alpha")
    });
    drop(first);
    eventually("beta acquires the duty of the killed alpha", || {
        pair.holder().filter(|now| now == "beta")
    });
    drop(second);

    for invalid in ["cleaning=nobody", "baking=beta", "cleaning"] {
        let (succeeded, text) = run(&settings, &["--move-duty", invalid]);
        assert!(
            !succeeded && text.contains("move-duty"),
            "{invalid}: {text}"
        );
    }
}

/// Once no running controller has duties enabled, `--end-duties` makes the controllers elect a single leader again.
/// While a controller has them enabled, the command is refused.
#[test]
fn ending_duties_returns_the_controllers_to_one_leader() {
    let pair = Pair::new("duties-back");
    let ((alpha, alpha_text), (beta, beta_text)) = (pair.settings(0), pair.settings(1));
    let first = SEAMFRONT.start(&alpha, &alpha_text, &["--duties"]);
    let second = SEAMFRONT.start(&beta, &beta_text, &["--duties"]);
    let settings = alpha.join("settings.toml");
    eventually("duties are active", || {
        pair.has("duty/switch").then_some(())
    });
    eventually("the cleaning duty is held", || pair.holder());
    let (succeeded, text) = run(&settings, &["--end-duties"]);
    assert!(!succeeded && text.contains("end-duties"), "{text}");
    drop((first, second));
    let _first = SEAMFRONT.start(&alpha, &alpha_text, &[]);
    eventually("duties are ended", || {
        run(&settings, &["--end-duties"]).0.then_some(())
    });
    let leader = || {
        let (_, claim) = pair.store.handle("GET", "/kv/leader", &json!(null));
        claim["data"]["member"]
            .as_str()
            .filter(|member| *member == "alpha")
            .map(str::to_owned)
    };
    eventually("alpha is the leader", leader);
    assert!(!pair.has("duty/switch"));
}

#[test]
fn invalid_settings_of_duties_are_rejected_by_name() {
    let pair = Pair::new("duties-refused");
    let (dir, text) = pair.settings(0);
    let path = dir.join("settings.toml");
    std::fs::write(&path, text).unwrap();
    std::fs::write(dir.join("seamfront.ini"), "[claims]\nttl_s = 1\n").unwrap();
    assert!(run(&path, &["--check"]).0);
    let (succeeded, text) = run(&path, &["--check", "--duties"]);
    assert!(!succeeded && text.contains("lease"), "{text}");
    std::fs::write(dir.join("seamfront.ini"), "[duties]\non = perhaps\n").unwrap();
    let (succeeded, text) = run(&path, &["--check"]);
    assert!(!succeeded && text.contains("duties.on"), "{text}");
}
