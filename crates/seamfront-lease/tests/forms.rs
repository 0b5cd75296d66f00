//! Stored records of duties under their keys, to the letter: single values decoded and encoded again, and what a
//! member writes as it runs against a store.

use seamfront_lease::keys;
use seamfront_lease::port::{Command, Effect, Outcome};
use seamfront_lease::record::*;
use seamfront_lease::settings::{LeaseSettings, StoreLimits};
use seamfront_lease::store::{StoreReply, StoreRequest, Write};
use seamfront_lease::time::Micros;
use seamfront_lease::DutyManager;
use seamfront_testing::store::Store;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json, Value};

/// Reads a stored text and writes it again; each of the fields must be there.
fn kept<T: Serialize + DeserializeOwned>(text: &str, required: &[&str]) {
    let value: Value = serde_json::from_str(text).unwrap();
    let record: T = read("some/key", &value).unwrap_or_else(|e| panic!("{text}: {e}"));
    assert_eq!(write(&record).to_string(), text);
    for field in required {
        let mut lacking = value.clone();
        assert!(
            lacking.as_object_mut().unwrap().remove(*field).is_some(),
            "{field} is not in {text}"
        );
        assert!(
            read::<T>("some/key", &lacking).is_err(),
            "{text} is read without {field}"
        );
    }
    // Fields of a later version of this format are ignored.
    let mut later = value;
    if let Some(fields) = later.as_object_mut() {
        fields.insert("later".to_owned(), json!([1]));
        assert_eq!(
            write(&read::<T>("some/key", &later).unwrap()).to_string(),
            text
        );
    }
}

#[test]
fn keys_in_the_store() {
    let found = [
        keys::claim("renting"),
        keys::member("n0"),
        keys::version("n0"),
        keys::move_request("renting"),
        keys::SWITCH.to_owned(),
        keys::log("renting"),
    ];
    let expected = [
        "duty/claim/renting",
        "duty/member/n0",
        "duty/version/n0",
        "duty/move/renting",
        "duty/switch",
        "duty-log/renting",
    ];
    assert_eq!(found, expected);
    let prefixes = [
        keys::CONTROL_PREFIX,
        keys::CLAIM_PREFIX,
        keys::MEMBER_PREFIX,
        keys::VERSION_PREFIX,
        keys::MOVE_PREFIX,
        keys::LOG_PREFIX,
    ];
    assert_eq!(
        prefixes,
        [
            "duty/",
            "duty/claim/",
            "duty/member/",
            "duty/version/",
            "duty/move/",
            "duty-log/"
        ]
    );
    assert_eq!(FORMAT, 1);
}

#[test]
fn records() {
    kept::<ClaimRecord>(
        r#"{"format":1,"lease":7,"member":"n0"}"#,
        &["format", "lease", "member"],
    );
    kept::<MemberRecord>(
        r#"{"format":1,"lease":7,"leaving":true,"load":35,"settings":{"duties":["renting","moving"],"lease_ms":4000,"members":["n0","n1"]}}"#,
        &["format", "lease", "leaving", "load", "settings"],
    );
    kept::<SharedSettings>(
        r#"{"duties":[],"lease_ms":1,"members":[]}"#,
        &["duties", "lease_ms", "members"],
    );
    kept::<VersionRecord>(r#"{"format":1}"#, &["format"]);
    kept::<MoveRecord>(r#"{"format":1,"to":"n1"}"#, &["format", "to"]);
    kept::<SwitchRecord>(
        r#"{"by":"n0","ended":41,"format":1}"#,
        &["by", "ended", "format"],
    );
    kept::<FormerClaimRecord>(r#"{"lease":0,"member":""}"#, &["lease", "member"]);
    kept::<OperationName>(r#"{"number":3,"token":41}"#, &["number", "token"]);
    kept::<Operation>(
        r#"{"name":{"number":3,"token":41},"payload":{"any":[1,null]}}"#,
        &["name"],
    );
    kept::<Settlement>(r#""done""#, &[]);
    kept::<Settlement>(r#""not_done""#, &[]);
    kept::<SettledOperation>(
        r#"{"name":{"number":3,"token":41},"settlement":"not_done"}"#,
        &["name", "settlement"],
    );
    let fields = ["ended", "format", "open", "recent", "sequence", "token"];
    kept::<LogRecord>(
        r#"{"ended":0,"format":1,"open":[],"recent":[],"sequence":0,"token":0}"#,
        &fields,
    );
    kept::<LogRecord>(
        r#"{"ended":2,"format":1,"open":[{"name":{"number":3,"token":41},"payload":{"count":1}}],"recent":[{"name":{"number":1,"token":41},"settlement":"done"},{"name":{"number":2,"token":41},"settlement":"not_done"}],"sequence":5,"token":41}"#,
        &fields,
    );
    assert_eq!(
        OperationName {
            fencing_token: 41,
            number: 3
        }
        .to_string(),
        "41-3"
    );
}

#[test]
fn a_newer_format_is_refused() {
    let refused = read::<VersionRecord>("duty/version/n0", &json!({"format": 2})).unwrap_err();
    assert_eq!(
        refused.to_string(),
        "duty/version/n0: format 2 is newer than 1"
    );
}

// ---- a member and its store ------------------------------------------------------------------

struct Rig {
    now: Micros,
    store: Store,
    manager: DutyManager,
    waiting: Vec<(u64, StoreRequest)>,
    next: Vec<Command>,
    /// Key, value and lease of each write, in order.
    written: Vec<String>,
    told: Vec<Effect>,
}

impl Rig {
    fn new(member: &str, former: Option<&str>) -> Rig {
        let limits = StoreLimits {
            value_bytes: 8_192,
            transaction_changes: 10,
            changes_per_second: 50,
        };
        let mut settings = LeaseSettings::new(member, &["n0", "n1"], &["renting"], limits);
        settings.former_claim = former.map(str::to_owned);
        let manager = DutyManager::new(settings).unwrap();
        let (waiting, next, written, told) = (vec![], vec![], vec![], vec![]);
        Rig {
            now: Micros::from_secs(1),
            store: Store::with_page_size(100),
            manager,
            waiting,
            next,
            written,
            told,
        }
    }

    fn put(&mut self, key: &str, value: &str, lease: Option<u64>) {
        let value = serde_json::from_str(value).unwrap();
        let writes = vec![Write::Put {
            key: key.to_owned(),
            value,
            lease,
        }];
        let reply = self.store.execute(
            self.now,
            &StoreRequest::CompareAndSwap {
                conditions: vec![],
                writes,
            },
        );
        assert!(
            matches!(reply, Some(StoreReply::Committed { .. })),
            "{reply:?}"
        );
    }

    fn lease(&mut self) -> u64 {
        match self.store.execute(
            self.now,
            &StoreRequest::GrantLease {
                ttl: Micros::from_secs(600),
            },
        ) {
            Some(StoreReply::Lease { id }) => id,
            other => panic!("no lease: {other:?}"),
        }
    }

    fn run(&mut self, millis: i64) {
        let end = self.now + Micros::from_millis(millis);
        while self.now < end {
            self.now += Micros::from_millis(50);
            let commands = std::mem::take(&mut self.next);
            for effect in self.manager.step(self.now, commands) {
                match effect {
                    Effect::Store { call, request } => self.waiting.push((call, request)),
                    other => self.told.push(other),
                }
            }
            self.store.expire(self.now);
            for (call, request) in std::mem::take(&mut self.waiting) {
                let Some(reply) = self.store.execute(self.now, &request) else {
                    self.waiting.push((call, request));
                    continue;
                };
                if let (StoreRequest::CompareAndSwap { writes, .. }, StoreReply::Committed { .. }) =
                    (&request, &reply)
                {
                    self.written.extend(writes.iter().map(|write| match write {
                        Write::Put {
                            key,
                            value,
                            lease: None,
                        } => format!("{key} {value}"),
                        Write::Put {
                            key,
                            value,
                            lease: Some(lease),
                        } => format!("{key} {value} under {lease}"),
                        Write::Delete { key } => format!("{key} gone"),
                    }));
                }
                self.next.push(Command::Store { call, reply });
            }
        }
    }

    fn begin(&mut self, request: u64, payload: Value) {
        self.next.push(Command::Begin {
            request,
            duty: "renting".to_owned(),
            payload,
        });
        self.run(200);
    }

    /// Ends the attempt that was asked for last.
    fn performed(&mut self, outcome: Outcome) {
        let mut attempts = self.told.iter().filter_map(|effect| match effect {
            Effect::Perform {
                operation, attempt, ..
            } => Some((operation.name, *attempt)),
            _ => None,
        });
        let (operation, attempt) = attempts.next_back().expect("an attempt");
        self.next.push(Command::Performed {
            duty: "renting".to_owned(),
            operation,
            attempt,
            outcome,
        });
        self.run(200);
    }
}

/// The lines of a text, without the spaces before them.
fn lines(text: &str) -> Vec<&str> {
    text.lines()
        .map(str::trim_start)
        .filter(|line| !line.is_empty())
        .collect()
}

#[test]
fn what_a_member_writes() {
    let mut rig = Rig::new("n0", None);
    rig.run(2_000);
    rig.begin(1, json!({"count": 1}));
    rig.performed(Outcome::Done { writes: vec![] });
    rig.begin(2, json!("text"));
    rig.performed(Outcome::NotDone);
    rig.begin(3, json!([3]));
    rig.next.push(Command::SetLoad(40));
    rig.run(6_000);
    rig.next.push(Command::Leave);
    rig.run(1_000);
    let expected = r#"
        duty/member/n0 {"format":1,"lease":1,"leaving":false,"load":0,"settings":{"duties":["renting"],"lease_ms":4000,"members":["n0","n1"]}} under 1
        duty/claim/renting {"format":1,"lease":1,"member":"n0"} under 1
        duty-log/renting {"ended":0,"format":1,"open":[{"name":{"number":1,"token":2},"payload":{"count":1}}],"recent":[],"sequence":1,"token":2}
        duty-log/renting {"ended":1,"format":1,"open":[],"recent":[{"name":{"number":1,"token":2},"settlement":"done"}],"sequence":2,"token":2}
        duty-log/renting {"ended":1,"format":1,"open":[{"name":{"number":2,"token":2},"payload":"text"}],"recent":[{"name":{"number":1,"token":2},"settlement":"done"}],"sequence":3,"token":2}
        duty-log/renting {"ended":2,"format":1,"open":[],"recent":[{"name":{"number":1,"token":2},"settlement":"done"},{"name":{"number":2,"token":2},"settlement":"not_done"}],"sequence":4,"token":2}
        duty-log/renting {"ended":2,"format":1,"open":[{"name":{"number":3,"token":2},"payload":[3]}],"recent":[{"name":{"number":1,"token":2},"settlement":"done"},{"name":{"number":2,"token":2},"settlement":"not_done"}],"sequence":5,"token":2}
        duty/member/n0 {"format":1,"lease":1,"leaving":false,"load":40,"settings":{"duties":["renting"],"lease_ms":4000,"members":["n0","n1"]}} under 1
        duty/member/n0 {"format":1,"lease":1,"leaving":true,"load":40,"settings":{"duties":["renting"],"lease_ms":4000,"members":["n0","n1"]}} under 1
        duty/claim/renting gone
        duty/member/n0 gone
    "#;
    assert_eq!(rig.written, lines(expected));
}

/// The claim, the log and the request of another member's making are read: the open operation is settled, and the duty
/// is then moved.
#[test]
fn what_a_member_reads() {
    let mut rig = Rig::new("n0", None);
    rig.put(
        "duty-log/renting",
        r#"{"ended":2,"format":1,"open":[{"name":{"number":3,"token":41},"payload":{"count":1}}],"recent":[{"name":{"number":1,"token":41},"settlement":"done"}],"sequence":5,"token":41}"#,
        None,
    );
    rig.run(2_000);
    rig.performed(Outcome::NotDone);
    let other = rig.lease();
    let member = format!(
        r#"{{"format":1,"lease":{other},"load":0,"leaving":false,"settings":{{"duties":["renting"],"lease_ms":4000,"members":["n0","n1"]}}}}"#
    );
    rig.put("duty/member/n1", &member, Some(other));
    rig.run(500);
    rig.put("duty/move/renting", r#"{"format":1,"to":"n1"}"#, None);
    rig.run(2_000);
    let expected = r#"
        duty/member/n0 {"format":1,"lease":1,"leaving":false,"load":0,"settings":{"duties":["renting"],"lease_ms":4000,"members":["n0","n1"]}} under 1
        duty/claim/renting {"format":1,"lease":1,"member":"n0"} under 1
        duty-log/renting {"ended":3,"format":1,"open":[],"recent":[{"name":{"number":1,"token":41},"settlement":"done"},{"name":{"number":3,"token":41},"settlement":"not_done"}],"sequence":1,"token":3}
        duty/claim/renting {"format":1,"lease":2,"member":"n1"} under 2
        duty/move/renting gone
    "#;
    assert_eq!(rig.written, lines(expected));
}

#[test]
fn the_switch() {
    let mut rig = Rig::new("n0", Some("leader"));
    rig.put("leader", r#"{"member":"n0","lease":1}"#, None);
    rig.put("duty/version/n1", r#"{"format":1}"#, None);
    let version = rig.store.keys["leader"].1;
    rig.next.push(Command::FormerClaim(Some(version)));
    rig.run(2_000);
    let expected = r#"
        duty/member/n0 {"format":1,"lease":1,"leaving":false,"load":0,"settings":{"duties":["renting"],"lease_ms":4000,"members":["n0","n1"]}} under 1
        duty/version/n0 {"format":1}
        leader {"lease":0,"member":""}
        duty/switch {"by":"n0","ended":1,"format":1}
        duty/claim/renting {"format":1,"lease":1,"member":"n0"} under 1
    "#;
    assert_eq!(rig.written, lines(expected));
    // Another member finds it done.
    let mut rig = Rig::new("n1", Some("leader"));
    rig.put("duty/switch", r#"{"by":"n0","ended":1,"format":1}"#, None);
    rig.run(3_000);
    assert!(rig.manager.duties_in_force());
    let expected = r#"
        duty/member/n1 {"format":1,"lease":1,"leaving":false,"load":0,"settings":{"duties":["renting"],"lease_ms":4000,"members":["n0","n1"]}} under 1
        duty/version/n1 {"format":1}
        duty/claim/renting {"format":1,"lease":1,"member":"n1"} under 1
    "#;
    assert_eq!(rig.written, lines(expected));
}
