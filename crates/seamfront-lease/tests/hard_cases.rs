//! One hard case each, step by step: a single member whose requests the test answers, beside others that the test plays.

use seamfront_lease::port::*;
use seamfront_lease::record::{self, MemberRecord, OperationName, Settlement, FORMAT};
use seamfront_lease::settings::{LeaseSettings, StoreLimits};
use seamfront_lease::store::{StoreReply, StoreRequest, Write};
use seamfront_lease::time::Micros;
use seamfront_lease::{keys, DutyManager};
use seamfront_testing::store::Store;
use serde_json::{json, Value};

const LIMITS: StoreLimits = StoreLimits {
    value_bytes: 8_192,
    transaction_changes: 10,
    changes_per_second: 50,
};
const DUTY: &str = "renting";

fn ms(n: i64) -> Micros {
    Micros::from_millis(n)
}

fn settings() -> LeaseSettings {
    LeaseSettings::new("n0", &["n0", "n1"], &[DUTY], LIMITS)
}

fn writes(request: &StoreRequest, key: &str) -> bool {
    match request {
        StoreRequest::CompareAndSwap { writes, .. } => writes
            .iter()
            .any(|w| matches!(w, Write::Put { key: k, .. } if k == key)),
        _ => false,
    }
}

/// A member, its store, and requests that the test holds back.
struct Rig {
    now: Micros,
    store: Store,
    manager: DutyManager,
    told: Vec<Effect>,
    waiting: Vec<(CallId, StoreRequest)>,
    performing: Vec<(OperationName, u64)>,
    /// Attempts to write the claim.
    claims: usize,
}

impl Rig {
    fn new(settings: LeaseSettings) -> Rig {
        let manager = DutyManager::new(settings).expect("settings");
        let store = Store::with_limits(100, LIMITS.value_bytes, LIMITS.transaction_changes);
        let now = ms(1_000_000);
        Rig {
            now,
            store,
            manager,
            told: Vec::new(),
            waiting: Vec::new(),
            performing: Vec::new(),
            claims: 0,
        }
    }

    /// A rig whose member holds the duty.
    fn active() -> Rig {
        let mut rig = Rig::new(settings());
        rig.run(ms(2_000));
        assert!(rig.fencing_token() > 0);
        rig.told.clear();
        rig
    }

    fn fencing_token(&self) -> u64 {
        self.manager.active().first().map_or(0, |held| held.1)
    }

    /// One step; requests wait until the test lets them through.
    fn step(&mut self, commands: Vec<Command>) {
        for effect in self.manager.step(self.now, commands) {
            match effect {
                Effect::Store { call, request } => {
                    self.claims += usize::from(writes(&request, &keys::claim(DUTY)));
                    self.waiting.push((call, request));
                }
                Effect::Perform {
                    ref operation,
                    attempt,
                    ..
                } => {
                    self.performing.push((operation.name, attempt));
                    self.told.push(effect);
                }
                other => self.told.push(other),
            }
        }
    }

    /// Carries out what waits.
    fn answer_all(&mut self) {
        self.store.expire(self.now);
        for (call, request) in std::mem::take(&mut self.waiting) {
            match self.store.execute(self.now, &request) {
                Some(reply) => self.step(vec![Command::Store { call, reply }]),
                None => self.waiting.push((call, request)),
            }
        }
    }

    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(50);
            self.step(Vec::new());
            self.answer_all();
        }
    }

    /// Takes the next request that is a commit with these changes out of what waits, without carrying it out.
    fn take_commit(&mut self, key: &str) -> (CallId, StoreRequest) {
        let index = self
            .waiting
            .iter()
            .position(|(_, request)| writes(request, key))
            .expect("no such commit waits");
        self.waiting.remove(index)
    }

    fn unanswered(&mut self, call: CallId) {
        self.step(vec![Command::Store {
            call,
            reply: StoreReply::Unknown,
        }]);
    }

    fn begin(&mut self, request: RequestId) {
        self.step(vec![Command::Begin {
            request,
            duty: DUTY.to_owned(),
            payload: json!({"count": 1}),
        }]);
    }

    fn performed(&mut self, (operation, attempt): (OperationName, u64), outcome: Outcome) {
        self.step(vec![Command::Performed {
            duty: DUTY.to_owned(),
            operation,
            attempt,
            outcome,
        }]);
    }

    fn done() -> Outcome {
        Outcome::Done {
            writes: vec![Write::Put {
                key: "machine/i-1".to_owned(),
                value: json!({}),
                lease: None,
            }],
        }
    }

    /// Another member that is up, with a lease of its own.
    fn neighbour(&mut self, settings: &LeaseSettings) -> u64 {
        let Some(StoreReply::Lease { id }) = self
            .store
            .execute(self.now, &StoreRequest::GrantLease { ttl: ms(600_000) })
        else {
            panic!("no lease");
        };
        let record = MemberRecord {
            format: FORMAT,
            lease: id,
            load: 0,
            leaving: false,
            settings: settings.shared(),
        };
        self.put(&keys::member("n1"), record::write(&record), Some(id));
        id
    }

    fn put(&mut self, key: &str, value: Value, lease: Option<u64>) -> u64 {
        let writes = vec![Write::Put {
            key: key.to_owned(),
            value,
            lease,
        }];
        match self.store.execute(
            self.now,
            &StoreRequest::CompareAndSwap {
                conditions: Vec::new(),
                writes,
            },
        ) {
            Some(StoreReply::Committed { revision }) => revision,
            other => panic!("not written: {other:?}"),
        }
    }

    /// The neighbour takes the duty, as if the member's lease had ended.
    fn replace(&mut self, lease: u64) -> u64 {
        self.put(
            &keys::claim(DUTY),
            json!({"format": FORMAT, "member": "n1", "lease": lease}),
            Some(lease),
        )
    }

    fn log(&self) -> Value {
        self.store
            .keys
            .get(&keys::log(DUTY))
            .map_or(Value::Null, |entry| entry.0.clone())
    }

    fn lost(&self) -> Vec<LossReason> {
        let reason = |effect: &Effect| match effect {
            Effect::Lost { reason, .. } => Some(*reason),
            _ => None,
        };
        self.told.iter().filter_map(reason).collect()
    }

    fn settled(&self) -> usize {
        self.told
            .iter()
            .filter(|effect| matches!(effect, Effect::Settled { .. }))
            .count()
    }
}

#[test]
fn nothing_is_performed_before_it_is_recorded() {
    let mut rig = Rig::active();
    rig.begin(1);
    let (call, commit) = rig.take_commit(&keys::log(DUTY));
    rig.run(ms(500));
    assert!(rig.performing.is_empty());
    let reply = rig.store.execute(rig.now, &commit).expect("a reply");
    rig.step(vec![Command::Store { call, reply }]);
    assert_eq!(rig.performing.len(), 1);
}

#[test]
fn a_holder_frozen_for_a_minute_proves_its_claim_before_it_goes_on() {
    let mut rig = Rig::active();
    let lease = rig.neighbour(&settings());
    rig.begin(1);
    let (call, commit) = rig.take_commit(&keys::log(DUTY));
    let reply = rig.store.execute(rig.now, &commit).expect("a reply");
    // The answer is there, the process is not.
    rig.now += ms(60_000);
    rig.store.expire(rig.now);
    let successor = rig.replace(lease);
    rig.step(vec![Command::Store { call, reply }]);
    assert!(rig.performing.is_empty(), "acted without a proof");
    rig.run(ms(1_000));
    assert!(rig.performing.is_empty());
    assert_eq!(rig.lost().len(), 1);
    let replaced: Vec<&Effect> = rig
        .told
        .iter()
        .filter(|e| matches!(e, Effect::Replaced { .. }))
        .collect();
    let expected = Successor {
        member: "n1".to_owned(),
        fencing_token: successor,
    };
    assert!(
        matches!(replaced[..], [Effect::Replaced { successor, .. }] if *successor == expected),
        "{replaced:?}"
    );
}

/// The lease may end a lease after the last renewal was *sent*, however late its answer came, and whatever transactions
/// have shown since.
#[test]
fn a_proof_counts_from_its_sending() {
    let mut rig = Rig::active();
    rig.run(ms(4_000));
    rig.now += ms(1_000);
    rig.step(Vec::new());
    let sent = rig.now;
    let index = rig
        .waiting
        .iter()
        .position(|(_, request)| matches!(request, StoreRequest::RenewLease { .. }));
    let (call, _) = rig.waiting.remove(index.expect("a renewal"));
    rig.now += ms(1_400);
    rig.step(vec![Command::Store {
        call,
        reply: StoreReply::Renewed,
    }]);
    // All further renewals are refused; transactions are not.
    rig.now += ms(1_100);
    rig.begin(1);
    for (call, request) in std::mem::take(&mut rig.waiting) {
        let refused = matches!(request, StoreRequest::RenewLease { .. });
        let reply = if refused {
            Some(StoreReply::Refused)
        } else {
            rig.store.execute(rig.now, &request)
        };
        if let Some(reply) = reply {
            rig.step(vec![Command::Store { call, reply }]);
        }
    }
    let permit = rig.manager.permit(DUTY).expect("a permit");
    assert!(
        permit.until <= sent + settings().acting_time(),
        "the lease is relied on beyond its time"
    );
}

#[test]
fn an_outcome_of_another_attempt_changes_nothing() {
    let mut rig = Rig::active();
    rig.begin(1);
    rig.answer_all();
    let first = rig.performing[0];
    rig.performed(first, Outcome::Unknown);
    rig.run(ms(1_000));
    let second = rig.performing[1];
    // The first attempt's refusal comes after all, while the second may have rented.
    rig.performed(first, Outcome::NotDone);
    rig.run(ms(200));
    assert_eq!(rig.settled(), 0, "settled by another attempt's refusal");
    rig.performed(second, Rig::done());
    rig.run(ms(200));
    assert_eq!(rig.settled(), 1);
    assert!(rig.store.keys.contains_key("machine/i-1"));
}

#[test]
fn an_answer_that_comes_after_the_replacement_changes_nothing() {
    let mut rig = Rig::active();
    let lease = rig.neighbour(&settings());
    rig.begin(1);
    rig.answer_all();
    let attempt = rig.performing[0];
    rig.replace(lease);
    rig.performed(attempt, Rig::done());
    rig.run(ms(500));
    assert_eq!(rig.lost(), [LossReason::TokenRefused]);
    assert!(
        !rig.store.keys.contains_key("machine/i-1"),
        "written under a void token"
    );
    assert_eq!(
        rig.log()["open"].as_array().map(Vec::len),
        Some(1),
        "the operation is the successor's now"
    );
}

#[test]
fn open_operations_of_a_predecessor_come_first() {
    let mut rig = Rig::new(settings());
    // Tokens are revisions: the predecessor's is lower than any that comes.
    for n in 0..10 {
        rig.put("x", json!(n), None);
    }
    let open = json!([{"name": {"token": 3, "number": 7}, "payload": {"count": 2}}]);
    let log = json!({"format": FORMAT, "token": 3, "sequence": 9, "ended": 5, "open": open, "recent": []});
    rig.put(&keys::log(DUTY), log, None);
    rig.run(ms(2_000));
    let old = OperationName {
        fencing_token: 3,
        number: 7,
    };
    assert_eq!(rig.performing.first().map(|p| p.0), Some(old));
    assert_eq!(
        rig.fencing_token(),
        0,
        "active with open operations of a predecessor"
    );
    rig.begin(1);
    let rejected = Effect::Rejected {
        request: 1,
        rejection: Rejection::NotHeld,
    };
    assert!(rig.told.contains(&rejected));
    let attempt = rig.performing[0];
    rig.performed(attempt, Outcome::NotDone);
    rig.run(ms(500));
    assert!(rig.fencing_token() > 0);
    let settled = rig
        .told
        .iter()
        .any(|e| matches!(e, Effect::Settled { operation, .. } if operation.name == old));
    assert!(settled);
    assert_eq!(rig.log()["ended"], json!(6));
}

#[test]
fn a_record_without_an_answer_is_read_and_sent_again_to_the_letter() {
    for applied in [true, false] {
        let mut rig = Rig::active();
        rig.begin(1);
        let (call, commit) = rig.take_commit(&keys::log(DUTY));
        if applied {
            rig.store.execute(rig.now, &commit);
        }
        rig.unanswered(call);
        rig.run(ms(1_000));
        assert_eq!(rig.performing.len(), 1, "applied: {applied}");
        let before = rig.log();
        // The copy that went unanswered comes after all.
        rig.store.execute(rig.now, &commit);
        assert_eq!(rig.log(), before, "carried out twice");
        let attempt = rig.performing[0];
        rig.performed(attempt, Rig::done());
        rig.run(ms(500));
        assert_eq!(rig.settled(), 1);
        rig.store.execute(rig.now, &commit);
        assert_eq!(
            rig.log()["open"],
            json!([]),
            "an operation that has ended is open again"
        );
    }
}

#[test]
fn a_fenced_change_without_an_answer_is_never_made_after_it_was_called_a_conflict() {
    let mut rig = Rig::active();
    let key = "machine/i-9".to_owned();
    let writes = vec![Write::Put {
        key: key.clone(),
        value: json!({}),
        lease: None,
    }];
    let commit = Command::Commit {
        request: 5,
        duty: DUTY.to_owned(),
        conditions: vec![(key.clone(), 0)],
        writes,
    };
    rig.step(vec![commit]);
    let (call, late) = rig.take_commit(&key);
    rig.unanswered(call);
    // Meanwhile somebody else writes the record.
    rig.put(&key, json!({"other": true}), None);
    rig.run(ms(1_500));
    let outcome = rig.told.iter().find_map(|effect| match effect {
        Effect::Committed {
            request: 5,
            outcome,
        } => Some(outcome.clone()),
        _ => None,
    });
    assert_eq!(outcome, Some(CommitOutcome::Conflict(vec![key.clone()])));
    // The record is removed, and the late copy's own condition holds again.
    rig.store.execute(
        rig.now,
        &StoreRequest::CompareAndSwap {
            conditions: vec![],
            writes: vec![Write::Delete { key: key.clone() }],
        },
    );
    rig.store.execute(rig.now, &late);
    assert!(
        !rig.store.keys.contains_key(&key),
        "written after it was called a conflict"
    );
}

#[test]
fn a_claim_without_an_answer_is_learned_from_the_view() {
    let mut rig = Rig::new(settings());
    let call = loop {
        rig.now += ms(50);
        rig.step(Vec::new());
        if rig
            .waiting
            .iter()
            .any(|(_, request)| writes(request, &keys::claim(DUTY)))
        {
            let (call, commit) = rig.take_commit(&keys::claim(DUTY));
            rig.store.execute(rig.now, &commit);
            break call;
        }
        rig.answer_all();
    };
    rig.unanswered(call);
    rig.run(ms(1_000));
    assert!(rig.fencing_token() > 0);
}

#[test]
fn a_transfer_without_an_answer_ends_acting_and_never_comes_true_later() {
    let mut rig = Rig::active();
    let lease = rig.neighbour(&settings());
    rig.run(ms(200));
    rig.begin(1);
    rig.answer_all();
    let first = rig.performing[0];
    rig.performed(first, Rig::done());
    rig.run(ms(200));
    let before = rig.fencing_token();
    rig.step(vec![Command::Transfer {
        duty: DUTY.to_owned(),
        to: Some("n1".to_owned()),
    }]);
    rig.step(Vec::new());
    let (call, transfer) = rig.take_commit(&keys::claim(DUTY));
    assert_eq!(
        rig.fencing_token(),
        0,
        "acts although the transfer may have been made"
    );
    rig.unanswered(call);
    assert_eq!(rig.lost(), [LossReason::Transferred]);
    rig.run(ms(1_000));
    assert!(
        rig.fencing_token() > before,
        "the claim that stayed ours is taken under another token"
    );
    rig.store.execute(rig.now, &transfer);
    let claim = rig.store.keys.get(&keys::claim(DUTY)).expect("a claim");
    assert_ne!(
        claim.2,
        Some(lease),
        "the late transfer has taken the duty away"
    );
}

#[test]
fn a_transfer_to_a_member_that_is_gone_keeps_the_duty() {
    let mut rig = Rig::active();
    rig.neighbour(&settings());
    rig.run(ms(200));
    let before = rig.fencing_token();
    rig.step(vec![Command::Transfer {
        duty: DUTY.to_owned(),
        to: Some("n1".to_owned()),
    }]);
    let member = Write::Delete {
        key: keys::member("n1"),
    };
    rig.store.execute(
        rig.now,
        &StoreRequest::CompareAndSwap {
            conditions: vec![],
            writes: vec![member],
        },
    );
    rig.run(ms(1_000));
    assert_eq!(rig.fencing_token(), before);
    assert!(rig.lost().is_empty());
}

#[test]
fn a_clock_that_goes_back_voids_all_proofs() {
    let mut rig = Rig::active();
    let member_now = rig.now;
    rig.run(ms(2_000));
    rig.now = member_now - ms(500_000);
    rig.step(Vec::new());
    assert!(rig.manager.permit(DUTY).is_none());
    // The store's clock goes on. Transactions prove the claim again, but nothing the lease until it is renewed: how long
    // ago that was is not known.
    let store_now = member_now + ms(2_000);
    rig.begin(1);
    for _ in 0..4 {
        for (call, request) in std::mem::take(&mut rig.waiting) {
            let refused = matches!(request, StoreRequest::RenewLease { .. });
            let reply = if refused {
                Some(StoreReply::Refused)
            } else {
                rig.store.execute(store_now, &request)
            };
            if let Some(reply) = reply {
                rig.step(vec![Command::Store { call, reply }]);
            }
        }
        rig.now += ms(50);
    }
    assert!(
        rig.manager.permit(DUTY).is_none(),
        "a renewal of before the jump is relied on"
    );
    assert!(rig.performing.is_empty());
}

#[test]
fn acting_ends_before_the_lease_whatever_the_drift() {
    let settings = settings();
    let slow = settings.acting_time().0 * 10_005 / 10_000;
    assert!(Micros(slow) < settings.lease - ms(100));
}

#[test]
fn a_former_incarnations_claim_is_taken_at_once_and_under_another_token() {
    let mut rig = Rig::active();
    let before = rig.fencing_token();
    rig.waiting.clear();
    rig.manager = DutyManager::new(settings()).expect("settings");
    rig.run(ms(600));
    assert!(
        rig.fencing_token() > before,
        "back within a fraction of a second"
    );
}

#[test]
fn a_second_process_of_the_same_name_ends_the_first() {
    let mut rig = Rig::active();
    let Some(StoreReply::Lease { id }) = rig
        .store
        .execute(rig.now, &StoreRequest::GrantLease { ttl: ms(60_000) })
    else {
        panic!("no lease");
    };
    let settings = settings().shared();
    let record = MemberRecord {
        format: FORMAT,
        lease: id,
        load: 0,
        leaving: false,
        settings,
    };
    rig.put(&keys::member("n0"), record::write(&record), Some(id));
    rig.run(ms(1_000));
    assert_eq!(rig.lost(), [LossReason::Superseded]);
    rig.run(ms(10_000));
    assert_eq!(rig.fencing_token(), 0);
}

#[test]
fn other_settings_than_those_in_force_keep_a_member_out() {
    let mut other = settings();
    other.lease = ms(6_000);
    let mut rig = Rig::new(settings());
    rig.neighbour(&other);
    rig.run(ms(5_000));
    assert_eq!(rig.fencing_token(), 0);
    assert!(
        !rig.store.keys.contains_key(&keys::member("n0")),
        "registered with other settings"
    );
    // Once the other has gone, there is nothing to differ from.
    let member = Write::Delete {
        key: keys::member("n1"),
    };
    rig.store.execute(
        rig.now,
        &StoreRequest::CompareAndSwap {
            conditions: vec![],
            writes: vec![member],
        },
    );
    rig.run(ms(2_000));
    assert!(rig.fencing_token() > 0);
}

#[test]
fn a_log_that_cannot_be_read_is_left_as_it_is() {
    for log in [
        json!({"format": 99, "open": []}),
        json!({"format": 1, "open": "x"}),
        json!("x"),
    ] {
        let mut rig = Rig::new(settings());
        let version = rig.put(&keys::log(DUTY), log.clone(), None);
        rig.run(ms(30_000));
        assert_eq!(rig.fencing_token(), 0);
        let stored = rig.store.keys.get(&keys::log(DUTY)).expect("the log");
        assert_eq!(
            (&stored.0, stored.1),
            (&log, version),
            "written over or deleted"
        );
        assert!(rig
            .lost()
            .iter()
            .all(|reason| *reason == LossReason::UnreadableLog));
        assert!(rig.lost().len() < 5, "claimed again and again");
    }
}

#[test]
fn a_claim_that_cannot_be_read_is_not_free() {
    let mut rig = Rig::new(settings());
    rig.put(&keys::claim(DUTY), json!({"format": 99}), None);
    rig.run(ms(10_000));
    assert_eq!(rig.fencing_token(), 0);
    assert_eq!(rig.store.keys[&keys::claim(DUTY)].0, json!({"format": 99}));
    assert_eq!(rig.claims, 0, "taken for free");
}

#[test]
fn an_outcome_with_more_changes_than_a_transaction_takes_is_written_in_several() {
    let mut rig = Rig::active();
    rig.begin(1);
    rig.answer_all();
    let put = |n: usize| Write::Put {
        key: format!("machine/i-{n:03}"),
        value: json!({}),
        lease: None,
    };
    let attempt = rig.performing[0];
    rig.performed(
        attempt,
        Outcome::Done {
            writes: (0..35).map(put).collect(),
        },
    );
    rig.run(ms(3_000));
    assert_eq!(
        rig.store
            .keys
            .keys()
            .filter(|key| key.starts_with("machine/"))
            .count(),
        35
    );
    assert_eq!(rig.settled(), 1);
    let settled = rig.told.iter().any(|e| {
        matches!(
            e,
            Effect::Settled {
                settlement: Settlement::Done,
                ..
            }
        )
    });
    assert!(settled);
}

#[test]
fn open_operations_and_payloads_are_bounded() {
    let mut rig = Rig::active();
    for request in 1..=40 {
        rig.begin(request);
    }
    let many = |effect: &&Effect| {
        matches!(
            effect,
            Effect::Rejected {
                rejection: Rejection::TooManyOpen,
                ..
            }
        )
    };
    assert_eq!(rig.told.iter().filter(many).count(), 8);
    let mut rig = Rig::active();
    let payload = json!({"text": "x".repeat(5_000)});
    rig.step(vec![Command::Begin {
        request: 1,
        duty: DUTY.to_owned(),
        payload,
    }]);
    assert!(rig.told.contains(&Effect::Rejected {
        request: 1,
        rejection: Rejection::TooLarge
    }));
    rig.step(vec![Command::Begin {
        request: 2,
        duty: "baking".to_owned(),
        payload: json!({}),
    }]);
    assert!(rig.told.contains(&Effect::Rejected {
        request: 2,
        rejection: Rejection::UnknownDuty
    }));
}

#[test]
fn leaving_gives_every_duty_up_and_then_the_name() {
    let mut rig = Rig::active();
    rig.step(vec![Command::Leave]);
    rig.run(ms(3_000));
    assert!(rig.told.contains(&Effect::Left));
    assert!(
        rig.store
            .keys
            .keys()
            .all(|key| !key.starts_with(keys::CONTROL_PREFIX)),
        "left something behind"
    );
}

#[test]
fn leaving_hands_over_without_a_moment_in_which_nobody_holds() {
    let mut rig = Rig::active();
    let lease = rig.neighbour(&settings());
    rig.run(ms(200));
    let before = rig.store.revision;
    rig.step(vec![Command::Leave]);
    rig.run(ms(3_000));
    assert!(rig.told.contains(&Effect::Left));
    let claim = &rig.store.keys[&keys::claim(DUTY)];
    assert_eq!(claim.2, Some(lease));
    let changes = StoreRequest::Watch {
        prefix: keys::CLAIM_PREFIX.to_owned(),
        after: before,
        wait: Micros::ZERO,
    };
    let Some(StoreReply::Changes { events, .. }) = rig.store.execute(rig.now, &changes) else {
        panic!("no changes")
    };
    assert!(
        events.iter().all(|event| event.1.is_some()),
        "nobody held it: {events:?}"
    );
}

#[test]
fn an_operators_request_moves_a_duty_once() {
    let mut rig = Rig::active();
    let lease = rig.neighbour(&settings());
    rig.put(
        &keys::move_request(DUTY),
        json!({"format": FORMAT, "to": "n1"}),
        None,
    );
    rig.run(ms(1_000));
    assert_eq!(rig.store.keys[&keys::claim(DUTY)].2, Some(lease));
    assert!(!rig.store.keys.contains_key(&keys::move_request(DUTY)));
}

#[test]
fn settings_that_could_not_work_are_refused_by_name() {
    let refused = |change: fn(&mut LeaseSettings)| {
        let mut settings = settings();
        change(&mut settings);
        DutyManager::new(settings).err().map(|error| error.field)
    };
    assert_eq!(refused(|_| {}), None);
    assert_eq!(refused(|s| s.lease = ms(2_000)), Some("lease"));
    assert_eq!(refused(|s| s.lease = ms(601_000)), Some("lease"));
    assert_eq!(refused(|s| s.store_answer = ms(3_000)), Some("lease"));
    assert_eq!(
        refused(|s| s.store_answer = Micros::ZERO),
        Some("store_answer")
    );
    assert_eq!(refused(|s| s.member = "n9".to_owned()), Some("member"));
    assert_eq!(refused(|s| s.duties.clear()), Some("duties"));
    assert_eq!(
        refused(|s| s.duties = vec!["a b".to_owned()]),
        Some("duties")
    );
    assert_eq!(
        refused(|s| s.members = vec!["n0".to_owned(), "n0".to_owned()]),
        Some("members")
    );
    assert_eq!(refused(|s| s.open_operations = 0), Some("open_operations"));
    assert_eq!(
        refused(|s| s.limits.value_bytes = 100),
        Some("limits.value_bytes")
    );
    assert_eq!(
        refused(|s| s.limits.transaction_changes = 2),
        Some("limits.transaction_changes")
    );
    assert_eq!(
        refused(|s| s.limits.changes_per_second = 0),
        Some("limits.changes_per_second")
    );
    assert_eq!(
        refused(|s| s.takeover_step = Micros::ZERO),
        Some("takeover_step")
    );
}

// ---- the switch from one claim to many -----------------------------------------------------

fn with_former_claim() -> LeaseSettings {
    LeaseSettings {
        former_claim: Some("leader".to_owned()),
        ..settings()
    }
}

#[test]
fn duties_begin_only_once_every_member_knows_them() {
    let mut rig = Rig::new(with_former_claim());
    let version = rig.put("leader", json!({"member": "n0", "lease": 1}), None);
    rig.step(vec![Command::FormerClaim(Some(version))]);
    rig.run(ms(5_000));
    assert_eq!(
        rig.fencing_token(),
        0,
        "n1 has not said that it knows duties"
    );
    rig.put(&keys::version("n1"), json!({"format": FORMAT}), None);
    rig.run(ms(2_000));
    assert!(rig.fencing_token() > 0);
    // An old process that comes back finds a claim that it can't take.
    let value = json!({"member": "n1", "lease": 77});
    let writes = vec![Write::Put {
        key: "leader".to_owned(),
        value,
        lease: None,
    }];
    let take = StoreRequest::CompareAndSwap {
        conditions: vec![("leader".to_owned(), 0)],
        writes: writes.clone(),
    };
    assert!(matches!(
        rig.store.execute(rig.now, &take),
        Some(StoreReply::Conflict { .. })
    ));
    // What it may still have under way under the former claim fails.
    let late = StoreRequest::CompareAndSwap {
        conditions: vec![("leader".to_owned(), version)],
        writes,
    };
    assert!(matches!(
        rig.store.execute(rig.now, &late),
        Some(StoreReply::Conflict { .. })
    ));
    assert_eq!(
        rig.store.keys["leader"].2, None,
        "what stands there must not end with a lease"
    );
}

#[test]
fn the_switch_is_made_by_the_holder_of_the_former_claim_only() {
    let mut rig = Rig::new(with_former_claim());
    let version = rig.put("leader", json!({"member": "n1", "lease": 1}), None);
    rig.put(&keys::version("n1"), json!({"format": FORMAT}), None);
    rig.run(ms(3_000));
    assert!(!rig.store.keys.contains_key(keys::SWITCH));
    // A holder that was replaced a moment ago does not know yet.
    rig.put("leader", json!({"member": "n1", "lease": 2}), None);
    rig.step(vec![Command::FormerClaim(Some(version))]);
    rig.run(ms(3_000));
    assert!(!rig.store.keys.contains_key(keys::SWITCH));
    assert_eq!(rig.fencing_token(), 0);
}
