//! Failure cases of a single member, one for each test: the test decides when the member's requests reach the store and
//! what it replies, and writes the records of the other members itself.

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

fn writes_key(request: &StoreRequest, key: &str) -> bool {
    match request {
        StoreRequest::CompareAndSwap { writes, .. } => writes
            .iter()
            .any(|w| matches!(w, Write::Put { key: k, .. } if k == key)),
        _ => false,
    }
}

/// A member, its store, and the member's requests, which the test may delay.
struct Harness {
    now: Micros,
    store: Store,
    manager: DutyManager,
    /// All effects but requests to the store.
    effects: Vec<Effect>,
    /// Requests that the store has not replied to.
    pending_requests: Vec<(CallId, StoreRequest)>,
    /// Attempts to perform operations: name of the operation and number of the attempt.
    attempts: Vec<(OperationName, u64)>,
    /// Number of requests that write the claim.
    claim_writes: usize,
}

impl Harness {
    fn new(settings: LeaseSettings) -> Harness {
        let manager = DutyManager::new(settings).expect("valid settings");
        let store = Store::with_limits(100, LIMITS.value_bytes, LIMITS.transaction_changes);
        let now = ms(1_000_000);
        Harness {
            now,
            store,
            manager,
            effects: Vec::new(),
            pending_requests: Vec::new(),
            attempts: Vec::new(),
            claim_writes: 0,
        }
    }

    /// A harness whose member holds the duty and is active.
    fn with_active_duty() -> Harness {
        let mut harness = Harness::new(settings());
        harness.run(ms(2_000));
        assert!(harness.fencing_token() > 0);
        harness.effects.clear();
        harness
    }

    fn fencing_token(&self) -> u64 {
        self.manager.active().first().map_or(0, |held| held.1)
    }

    /// Runs one step of the manager; its requests stay pending until the test lets the store execute them.
    fn step(&mut self, commands: Vec<Command>) {
        for effect in self.manager.step(self.now, commands) {
            match effect {
                Effect::Store { call, request } => {
                    self.claim_writes += usize::from(writes_key(&request, &keys::claim(DUTY)));
                    self.pending_requests.push((call, request));
                }
                Effect::Perform {
                    ref operation,
                    attempt,
                    ..
                } => {
                    self.attempts.push((operation.name, attempt));
                    self.effects.push(effect);
                }
                other => self.effects.push(other),
            }
        }
    }

    /// Lets the store execute all pending requests, and passes its replies to the manager.
    fn execute_pending_requests(&mut self) {
        self.store.expire(self.now);
        for (call, request) in std::mem::take(&mut self.pending_requests) {
            match self.store.execute(self.now, &request) {
                Some(reply) => self.step(vec![Command::Store { call, reply }]),
                None => self.pending_requests.push((call, request)),
            }
        }
    }

    fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += ms(50);
            self.step(Vec::new());
            self.execute_pending_requests();
        }
    }

    /// Removes the first pending transaction that writes this key, without executing it.
    fn take_commit(&mut self, key: &str) -> (CallId, StoreRequest) {
        let index = self
            .pending_requests
            .iter()
            .position(|(_, request)| writes_key(request, key))
            .expect("a pending transaction writes the key");
        self.pending_requests.remove(index)
    }

    fn reply_unknown(&mut self, call: CallId) {
        self.step(vec![Command::Store {
            call,
            reply: StoreReply::Unknown,
        }]);
    }

    fn begin_operation(&mut self, request: RequestId) {
        self.step(vec![Command::Begin {
            request,
            duty: DUTY.to_owned(),
            payload: json!({"count": 1}),
        }]);
    }

    fn finish_attempt(&mut self, (operation, attempt): (OperationName, u64), outcome: Outcome) {
        self.step(vec![Command::Performed {
            duty: DUTY.to_owned(),
            operation,
            attempt,
            outcome,
        }]);
    }

    fn done_outcome() -> Outcome {
        Outcome::Done {
            writes: vec![Write::Put {
                key: "machine/i-1".to_owned(),
                value: json!({}),
                lease: None,
            }],
        }
    }

    /// Registers another member under a lease of its own, and returns the lease.
    fn add_other_member(&mut self, settings: &LeaseSettings) -> u64 {
        let Some(StoreReply::Lease { id }) = self
            .store
            .execute(self.now, &StoreRequest::GrantLease { ttl: ms(600_000) })
        else {
            panic!("the store granted no lease");
        };
        let record = MemberRecord {
            format: FORMAT,
            lease: id,
            load: 0,
            leaving: false,
            settings: settings.shared(),
        };
        self.put(&keys::member("n1"), record::encode(&record), Some(id));
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
            other => panic!("the store did not commit: {other:?}"),
        }
    }

    /// Claims the duty for the other member, as if this member's lease had expired. Returns the new fencing token.
    fn claim_for_other_member(&mut self, lease: u64) -> u64 {
        self.put(
            &keys::claim(DUTY),
            json!({"format": FORMAT, "member": "n1", "lease": lease}),
            Some(lease),
        )
    }

    fn stored_log(&self) -> Value {
        self.store
            .keys
            .get(&keys::log(DUTY))
            .map_or(Value::Null, |entry| entry.0.clone())
    }

    fn loss_reasons(&self) -> Vec<LossReason> {
        let reason = |effect: &Effect| match effect {
            Effect::Lost { reason, .. } => Some(*reason),
            _ => None,
        };
        self.effects.iter().filter_map(reason).collect()
    }

    fn settled_count(&self) -> usize {
        self.effects
            .iter()
            .filter(|effect| matches!(effect, Effect::Settled { .. }))
            .count()
    }
}

#[test]
fn an_operation_is_performed_only_after_its_log_record_is_committed() {
    let mut harness = Harness::with_active_duty();
    harness.begin_operation(1);
    let (call, commit) = harness.take_commit(&keys::log(DUTY));
    harness.run(ms(500));
    assert!(harness.attempts.is_empty());
    let reply = harness
        .store
        .execute(harness.now, &commit)
        .expect("the store replies");
    harness.step(vec![Command::Store { call, reply }]);
    assert_eq!(harness.attempts.len(), 1);
}

#[test]
fn a_holder_frozen_past_its_lease_performs_nothing_and_learns_its_successor() {
    let mut harness = Harness::with_active_duty();
    let lease = harness.add_other_member(&settings());
    harness.begin_operation(1);
    let (call, commit) = harness.take_commit(&keys::log(DUTY));
    let reply = harness
        .store
        .execute(harness.now, &commit)
        .expect("the store replies");
    // The reply arrives while the process is frozen.
    harness.now += ms(60_000);
    harness.store.expire(harness.now);
    let successor = harness.claim_for_other_member(lease);
    harness.step(vec![Command::Store { call, reply }]);
    assert!(
        harness.attempts.is_empty(),
        "an operation is performed although the lease has expired"
    );
    harness.run(ms(1_000));
    assert!(harness.attempts.is_empty());
    assert_eq!(harness.loss_reasons().len(), 1);
    let replaced: Vec<&Effect> = harness
        .effects
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

/// The lease may expire one lease duration after the last successful renewal was *sent*. A late reply to the renewal,
/// or a transaction that succeeds later, must not extend the permit beyond that.
#[test]
fn a_permit_is_bounded_by_the_time_at_which_the_renewal_was_sent() {
    let mut harness = Harness::with_active_duty();
    harness.run(ms(4_000));
    harness.now += ms(1_000);
    harness.step(Vec::new());
    let sent = harness.now;
    let index = harness
        .pending_requests
        .iter()
        .position(|(_, request)| matches!(request, StoreRequest::RenewLease { .. }));
    let (call, _) = harness
        .pending_requests
        .remove(index.expect("a pending lease renewal"));
    harness.now += ms(1_400);
    harness.step(vec![Command::Store {
        call,
        reply: StoreReply::Renewed,
    }]);
    // All further renewals are refused, while transactions succeed.
    harness.now += ms(1_100);
    harness.begin_operation(1);
    for (call, request) in std::mem::take(&mut harness.pending_requests) {
        let refused = matches!(request, StoreRequest::RenewLease { .. });
        let reply = if refused {
            Some(StoreReply::Refused)
        } else {
            harness.store.execute(harness.now, &request)
        };
        if let Some(reply) = reply {
            harness.step(vec![Command::Store { call, reply }]);
        }
    }
    let permit = harness.manager.permit(DUTY).expect("the duty has a permit");
    assert!(
        permit.until <= sent + settings().acting_time(),
        "the permit outlasts the acting time after the renewal was sent"
    );
}

#[test]
fn a_late_outcome_of_an_earlier_attempt_does_not_settle_an_operation() {
    let mut harness = Harness::with_active_duty();
    harness.begin_operation(1);
    harness.execute_pending_requests();
    let first = harness.attempts[0];
    harness.finish_attempt(first, Outcome::Unknown);
    harness.run(ms(1_000));
    let second = harness.attempts[1];
    // The refusal of the first attempt arrives late, when the second one may have provisioned machines.
    harness.finish_attempt(first, Outcome::NotDone);
    harness.run(ms(200));
    assert_eq!(
        harness.settled_count(),
        0,
        "settled by the outcome of an earlier attempt"
    );
    harness.finish_attempt(second, Harness::done_outcome());
    harness.run(ms(200));
    assert_eq!(harness.settled_count(), 1);
    assert!(harness.store.keys.contains_key("machine/i-1"));
}

#[test]
fn an_outcome_that_arrives_after_another_member_claimed_the_duty_is_not_written() {
    let mut harness = Harness::with_active_duty();
    let lease = harness.add_other_member(&settings());
    harness.begin_operation(1);
    harness.execute_pending_requests();
    let attempt = harness.attempts[0];
    harness.claim_for_other_member(lease);
    harness.finish_attempt(attempt, Harness::done_outcome());
    harness.run(ms(500));
    assert_eq!(harness.loss_reasons(), [LossReason::TokenRefused]);
    assert!(
        !harness.store.keys.contains_key("machine/i-1"),
        "written under an outdated fencing token"
    );
    assert_eq!(
        harness.stored_log()["open"].as_array().map(Vec::len),
        Some(1),
        "the operation must stay open for the successor to settle"
    );
}

#[test]
fn open_operations_of_a_predecessor_are_settled_before_the_duty_is_active() {
    let mut harness = Harness::new(settings());
    // Fencing tokens are revisions of the store. These writes raise the revision above the predecessor's token.
    for n in 0..10 {
        harness.put("x", json!(n), None);
    }
    let open = json!([{"name": {"token": 3, "number": 7}, "payload": {"count": 2}}]);
    let log = json!({"format": FORMAT, "token": 3, "sequence": 9, "ended": 5, "open": open, "recent": []});
    harness.put(&keys::log(DUTY), log, None);
    harness.run(ms(2_000));
    let old = OperationName {
        fencing_token: 3,
        number: 7,
    };
    assert_eq!(harness.attempts.first().map(|p| p.0), Some(old));
    assert_eq!(
        harness.fencing_token(),
        0,
        "active before the predecessor's operations are settled"
    );
    harness.begin_operation(1);
    let rejected = Effect::Rejected {
        request: 1,
        rejection: Rejection::NotHeld,
    };
    assert!(harness.effects.contains(&rejected));
    let attempt = harness.attempts[0];
    harness.finish_attempt(attempt, Outcome::NotDone);
    harness.run(ms(500));
    assert!(harness.fencing_token() > 0);
    let settled = harness
        .effects
        .iter()
        .any(|e| matches!(e, Effect::Settled { operation, .. } if operation.name == old));
    assert!(settled);
    assert_eq!(harness.stored_log()["ended"], json!(6));
}

#[test]
fn a_log_write_with_an_unknown_outcome_takes_effect_once() {
    for applied in [true, false] {
        let mut harness = Harness::with_active_duty();
        harness.begin_operation(1);
        let (call, commit) = harness.take_commit(&keys::log(DUTY));
        if applied {
            harness.store.execute(harness.now, &commit);
        }
        harness.reply_unknown(call);
        harness.run(ms(1_000));
        assert_eq!(harness.attempts.len(), 1, "applied: {applied}");
        let before = harness.stored_log();
        // The transaction with the unknown outcome reaches the store late.
        harness.store.execute(harness.now, &commit);
        assert_eq!(
            harness.stored_log(),
            before,
            "the late transaction was applied a second time"
        );
        let attempt = harness.attempts[0];
        harness.finish_attempt(attempt, Harness::done_outcome());
        harness.run(ms(500));
        assert_eq!(harness.settled_count(), 1);
        harness.store.execute(harness.now, &commit);
        assert_eq!(
            harness.stored_log()["open"],
            json!([]),
            "a settled operation is open again"
        );
    }
}

#[test]
fn a_commit_reported_as_a_conflict_after_an_unknown_outcome_is_never_applied_late() {
    let mut harness = Harness::with_active_duty();
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
    harness.step(vec![commit]);
    let (call, late) = harness.take_commit(&key);
    harness.reply_unknown(call);
    // Another client writes the record in the meantime.
    harness.put(&key, json!({"other": true}), None);
    harness.run(ms(1_500));
    let outcome = harness.effects.iter().find_map(|effect| match effect {
        Effect::Committed {
            request: 5,
            outcome,
        } => Some(outcome.clone()),
        _ => None,
    });
    assert_eq!(outcome, Some(CommitOutcome::Conflict(vec![key.clone()])));
    // The record is deleted, so that the condition of the late transaction holds again.
    harness.store.execute(
        harness.now,
        &StoreRequest::CompareAndSwap {
            conditions: vec![],
            writes: vec![Write::Delete { key: key.clone() }],
        },
    );
    harness.store.execute(harness.now, &late);
    assert!(
        !harness.store.keys.contains_key(&key),
        "applied after it was reported as a conflict"
    );
}

#[test]
fn a_claim_whose_reply_was_lost_is_found_in_the_view() {
    let mut harness = Harness::new(settings());
    let call = loop {
        harness.now += ms(50);
        harness.step(Vec::new());
        if harness
            .pending_requests
            .iter()
            .any(|(_, request)| writes_key(request, &keys::claim(DUTY)))
        {
            let (call, commit) = harness.take_commit(&keys::claim(DUTY));
            harness.store.execute(harness.now, &commit);
            break call;
        }
        harness.execute_pending_requests();
    };
    harness.reply_unknown(call);
    harness.run(ms(1_000));
    assert!(harness.fencing_token() > 0);
}

#[test]
fn a_transfer_with_an_unknown_outcome_ends_the_permit_and_is_never_applied_late() {
    let mut harness = Harness::with_active_duty();
    let lease = harness.add_other_member(&settings());
    harness.run(ms(200));
    harness.begin_operation(1);
    harness.execute_pending_requests();
    let first = harness.attempts[0];
    harness.finish_attempt(first, Harness::done_outcome());
    harness.run(ms(200));
    let before = harness.fencing_token();
    harness.step(vec![Command::Transfer {
        duty: DUTY.to_owned(),
        to: Some("n1".to_owned()),
    }]);
    harness.step(Vec::new());
    let (call, transfer) = harness.take_commit(&keys::claim(DUTY));
    assert_eq!(
        harness.fencing_token(),
        0,
        "active although the transfer may have been applied"
    );
    harness.reply_unknown(call);
    assert_eq!(harness.loss_reasons(), [LossReason::Transferred]);
    harness.run(ms(1_000));
    assert!(
        harness.fencing_token() > before,
        "the duty that was not transferred must be claimed again under a higher token"
    );
    harness.store.execute(harness.now, &transfer);
    let claim = harness
        .store
        .keys
        .get(&keys::claim(DUTY))
        .expect("the duty is claimed");
    assert_ne!(claim.2, Some(lease), "the late transfer was applied");
}

#[test]
fn a_transfer_to_a_member_that_is_gone_leaves_the_duty_with_its_holder() {
    let mut harness = Harness::with_active_duty();
    harness.add_other_member(&settings());
    harness.run(ms(200));
    let before = harness.fencing_token();
    harness.step(vec![Command::Transfer {
        duty: DUTY.to_owned(),
        to: Some("n1".to_owned()),
    }]);
    let member = Write::Delete {
        key: keys::member("n1"),
    };
    harness.store.execute(
        harness.now,
        &StoreRequest::CompareAndSwap {
            conditions: vec![],
            writes: vec![member],
        },
    );
    harness.run(ms(1_000));
    assert_eq!(harness.fencing_token(), before);
    assert!(harness.loss_reasons().is_empty());
}

#[test]
fn a_clock_that_jumps_back_ends_the_permit_until_the_lease_is_renewed() {
    let mut harness = Harness::with_active_duty();
    let member_now = harness.now;
    harness.run(ms(2_000));
    harness.now = member_now - ms(500_000);
    harness.step(Vec::new());
    assert!(harness.manager.permit(DUTY).is_none());
    // The store's clock goes on. Transactions verify the claim again, but only a renewal verifies the lease, since the
    // time that has passed since the last one is unknown.
    let store_now = member_now + ms(2_000);
    harness.begin_operation(1);
    for _ in 0..4 {
        for (call, request) in std::mem::take(&mut harness.pending_requests) {
            let refused = matches!(request, StoreRequest::RenewLease { .. });
            let reply = if refused {
                Some(StoreReply::Refused)
            } else {
                harness.store.execute(store_now, &request)
            };
            if let Some(reply) = reply {
                harness.step(vec![Command::Store { call, reply }]);
            }
        }
        harness.now += ms(50);
    }
    assert!(
        harness.manager.permit(DUTY).is_none(),
        "the permit relies on a renewal from before the clock jump"
    );
    assert!(harness.attempts.is_empty());
}

#[test]
fn acting_time_ends_before_the_lease_even_if_the_clock_runs_slow() {
    let settings = settings();
    // The length of the acting time by the store's clock, if the member's clock runs 0.05 % slow.
    let acting_time_by_store = settings.acting_time().0 * 10_005 / 10_000;
    assert!(Micros(acting_time_by_store) < settings.lease - ms(100));
}

#[test]
fn a_restarted_member_claims_its_duty_at_once_under_a_higher_token() {
    let mut harness = Harness::with_active_duty();
    let before = harness.fencing_token();
    harness.pending_requests.clear();
    harness.manager = DutyManager::new(settings()).expect("valid settings");
    harness.run(ms(600));
    assert!(
        harness.fencing_token() > before,
        "not active again within a fraction of a second"
    );
}

#[test]
fn a_second_process_under_the_same_name_stops_the_first() {
    let mut harness = Harness::with_active_duty();
    let Some(StoreReply::Lease { id }) = harness
        .store
        .execute(harness.now, &StoreRequest::GrantLease { ttl: ms(60_000) })
    else {
        panic!("the store granted no lease");
    };
    let settings = settings().shared();
    let record = MemberRecord {
        format: FORMAT,
        lease: id,
        load: 0,
        leaving: false,
        settings,
    };
    harness.put(&keys::member("n0"), record::encode(&record), Some(id));
    harness.run(ms(1_000));
    assert_eq!(harness.loss_reasons(), [LossReason::Superseded]);
    harness.run(ms(10_000));
    assert_eq!(harness.fencing_token(), 0);
}

#[test]
fn a_member_with_differing_settings_registers_only_after_the_other_is_gone() {
    let mut other = settings();
    other.lease = ms(6_000);
    let mut harness = Harness::new(settings());
    harness.add_other_member(&other);
    harness.run(ms(5_000));
    assert_eq!(harness.fencing_token(), 0);
    assert!(
        !harness.store.keys.contains_key(&keys::member("n0")),
        "registered with settings that differ from another member's"
    );
    // Once the other member is gone, no settings are left that differ.
    let member = Write::Delete {
        key: keys::member("n1"),
    };
    harness.store.execute(
        harness.now,
        &StoreRequest::CompareAndSwap {
            conditions: vec![],
            writes: vec![member],
        },
    );
    harness.run(ms(2_000));
    assert!(harness.fencing_token() > 0);
}

#[test]
fn an_unreadable_log_is_neither_changed_nor_claimed_repeatedly() {
    for log in [
        json!({"format": 99, "open": []}),
        json!({"format": 1, "open": "x"}),
        json!("x"),
    ] {
        let mut harness = Harness::new(settings());
        let version = harness.put(&keys::log(DUTY), log.clone(), None);
        harness.run(ms(30_000));
        assert_eq!(harness.fencing_token(), 0);
        let stored = harness
            .store
            .keys
            .get(&keys::log(DUTY))
            .expect("the log is still stored");
        assert_eq!(
            (&stored.0, stored.1),
            (&log, version),
            "the unreadable log was overwritten or deleted"
        );
        assert!(harness
            .loss_reasons()
            .iter()
            .all(|reason| *reason == LossReason::UnreadableLog));
        assert!(
            harness.loss_reasons().len() < 5,
            "the duty was claimed repeatedly"
        );
    }
}

#[test]
fn an_unreadable_claim_counts_as_held() {
    let mut harness = Harness::new(settings());
    harness.put(&keys::claim(DUTY), json!({"format": 99}), None);
    harness.run(ms(10_000));
    assert_eq!(harness.fencing_token(), 0);
    assert_eq!(
        harness.store.keys[&keys::claim(DUTY)].0,
        json!({"format": 99})
    );
    assert_eq!(
        harness.claim_writes, 0,
        "the member tried to claim the duty"
    );
}

#[test]
fn an_outcome_larger_than_a_transaction_is_written_in_several() {
    let mut harness = Harness::with_active_duty();
    harness.begin_operation(1);
    harness.execute_pending_requests();
    let put = |n: usize| Write::Put {
        key: format!("machine/i-{n:03}"),
        value: json!({}),
        lease: None,
    };
    let attempt = harness.attempts[0];
    harness.finish_attempt(
        attempt,
        Outcome::Done {
            writes: (0..35).map(put).collect(),
        },
    );
    harness.run(ms(3_000));
    assert_eq!(
        harness
            .store
            .keys
            .keys()
            .filter(|key| key.starts_with("machine/"))
            .count(),
        35
    );
    assert_eq!(harness.settled_count(), 1);
    let settled = harness.effects.iter().any(|e| {
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
fn too_many_or_too_large_operations_and_unknown_duties_are_rejected() {
    let mut harness = Harness::with_active_duty();
    for request in 1..=40 {
        harness.begin_operation(request);
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
    assert_eq!(harness.effects.iter().filter(many).count(), 8);
    let mut harness = Harness::with_active_duty();
    let payload = json!({"text": "x".repeat(5_000)});
    harness.step(vec![Command::Begin {
        request: 1,
        duty: DUTY.to_owned(),
        payload,
    }]);
    assert!(harness.effects.contains(&Effect::Rejected {
        request: 1,
        rejection: Rejection::TooLarge
    }));
    harness.step(vec![Command::Begin {
        request: 2,
        duty: "baking".to_owned(),
        payload: json!({}),
    }]);
    assert!(harness.effects.contains(&Effect::Rejected {
        request: 2,
        rejection: Rejection::UnknownDuty
    }));
}

#[test]
fn a_leaving_member_without_a_successor_deletes_its_claims_and_registration() {
    let mut harness = Harness::with_active_duty();
    harness.step(vec![Command::Leave]);
    harness.run(ms(3_000));
    assert!(harness.effects.contains(&Effect::Left));
    assert!(
        harness
            .store
            .keys
            .keys()
            .all(|key| !key.starts_with(keys::CONTROL_PREFIX)),
        "keys of the member are left in the store"
    );
}

#[test]
fn a_leaving_member_transfers_its_duty_without_deleting_the_claim() {
    let mut harness = Harness::with_active_duty();
    let lease = harness.add_other_member(&settings());
    harness.run(ms(200));
    let before = harness.store.revision;
    harness.step(vec![Command::Leave]);
    harness.run(ms(3_000));
    assert!(harness.effects.contains(&Effect::Left));
    let claim = &harness.store.keys[&keys::claim(DUTY)];
    assert_eq!(claim.2, Some(lease));
    let changes = StoreRequest::Watch {
        prefix: keys::CLAIM_PREFIX.to_owned(),
        after: before,
        wait: Micros::ZERO,
    };
    let Some(StoreReply::Changes { events, .. }) = harness.store.execute(harness.now, &changes)
    else {
        panic!("the store replied without changes")
    };
    assert!(
        events.iter().all(|event| event.1.is_some()),
        "the claim was deleted in between: {events:?}"
    );
}

#[test]
fn an_operators_move_request_transfers_the_duty_and_is_deleted() {
    let mut harness = Harness::with_active_duty();
    let lease = harness.add_other_member(&settings());
    harness.put(
        &keys::move_request(DUTY),
        json!({"format": FORMAT, "to": "n1"}),
        None,
    );
    harness.run(ms(1_000));
    assert_eq!(harness.store.keys[&keys::claim(DUTY)].2, Some(lease));
    assert!(!harness.store.keys.contains_key(&keys::move_request(DUTY)));
}

#[test]
fn invalid_settings_are_refused_with_the_name_of_the_field() {
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

// ---- the switch from the former claim to a claim for each duty ---------------------------------

fn with_former_claim() -> LeaseSettings {
    LeaseSettings {
        former_claim: Some("leader".to_owned()),
        ..settings()
    }
}

#[test]
fn duties_begin_only_after_every_member_supports_them() {
    let mut harness = Harness::new(with_former_claim());
    let version = harness.put("leader", json!({"member": "n0", "lease": 1}), None);
    harness.step(vec![Command::FormerClaim(Some(version))]);
    harness.run(ms(5_000));
    assert_eq!(
        harness.fencing_token(),
        0,
        "active before n1 has recorded that it supports duties"
    );
    harness.put(&keys::version("n1"), json!({"format": FORMAT}), None);
    harness.run(ms(2_000));
    assert!(harness.fencing_token() > 0);
    // A process of the old version that comes back can't acquire the former claim.
    let value = json!({"member": "n1", "lease": 77});
    let writes = vec![Write::Put {
        key: "leader".to_owned(),
        value,
        lease: None,
    }];
    let acquire = StoreRequest::CompareAndSwap {
        conditions: vec![("leader".to_owned(), 0)],
        writes: writes.clone(),
    };
    assert!(matches!(
        harness.store.execute(harness.now, &acquire),
        Some(StoreReply::Conflict { .. })
    ));
    // A transaction that it sent earlier, fenced by the former claim, fails.
    let late = StoreRequest::CompareAndSwap {
        conditions: vec![("leader".to_owned(), version)],
        writes,
    };
    assert!(matches!(
        harness.store.execute(harness.now, &late),
        Some(StoreReply::Conflict { .. })
    ));
    assert_eq!(
        harness.store.keys["leader"].2, None,
        "the former claim must not be bound to a lease, which could expire"
    );
}

#[test]
fn only_the_holder_of_the_former_claim_makes_the_switch() {
    let mut harness = Harness::new(with_former_claim());
    let version = harness.put("leader", json!({"member": "n1", "lease": 1}), None);
    harness.put(&keys::version("n1"), json!({"format": FORMAT}), None);
    harness.run(ms(3_000));
    assert!(!harness.store.keys.contains_key(keys::SWITCH));
    // Nor by a former holder that has not noticed yet that it was replaced.
    harness.put("leader", json!({"member": "n1", "lease": 2}), None);
    harness.step(vec![Command::FormerClaim(Some(version))]);
    harness.run(ms(3_000));
    assert!(!harness.store.keys.contains_key(keys::SWITCH));
    assert_eq!(harness.fencing_token(), 0);
}
