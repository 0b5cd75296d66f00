//! The scheduler with duties on, in the seeded world: renting, returning and moving under tokens of their own. All rules
//! are checked after each step, and that whoever acts on the cloud holds the duty.

use seamfront_core::types::*;
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::{
    add_coverage, count, fault_pairs_of_all_kinds, simulate_at_scale, Coverage,
};
use seamfront_testing::simulation::{ms, Fault, Scale, Simulation, CONTROLLERS, SMALL};

const DUTIES: Scale = Scale {
    duties: true,
    ..SMALL
};
const CLAIMS: [&str; 3] = [
    "duty/claim/renting",
    "duty/claim/returning",
    "duty/claim/moving",
];
const ACTED: &str = "a duty acted on the cloud";

/// Holders of duties crash, are refused by the store, cut off, or stand still.
fn holders_in_trouble(w: &mut Simulation, troubles: i64) {
    fault_pairs_of_all_kinds(w, troubles);
    for k in 0..8 {
        let at = 6_000 + 10_000 * k + w.draw(0..6_000);
        let claim = CLAIMS[w.draw(0..3) as usize];
        let until = ms(at + w.draw(500..15_000));
        let back = ms(w.draw(100..6_000));
        let fault = match w.draw(0..4) {
            0 => Fault::CrashHolder { claim, back },
            1 => Fault::RefuseHolder { claim, until },
            2 => Fault::IsolateHolder { claim, until },
            _ => Fault::PauseController {
                controller: w.draw(0..CONTROLLERS as i64) as usize,
                until,
            },
        };
        w.fault(ms(at), fault);
    }
    w.fault(
        ms(5_000),
        Fault::LoseCommitAnswers {
            until: ms(troubles / 2),
        },
    );
}

#[test]
fn no_rule_breaks_while_holders_of_duties_are_in_trouble() {
    scenario("duties.no_rule_breaks_while_holders_of_duties_are_in_trouble");
    let mut coverage = Coverage::new();
    for seed in 5_000..5_010 {
        let w = simulate_at_scale(seed, DUTIES, holders_in_trouble);
        assert_eq!(
            w.count_keys("duty/switch"),
            1,
            "seed {seed}: the leader's claim carries everything still"
        );
        add_coverage(&mut coverage, w.coverage);
    }
    assert!(count(&coverage, ACTED) > 1_000, "{coverage:?}");
}

#[test]
fn in_calm_hours_one_member_holds_what_belongs_together() {
    scenario("duties.in_calm_hours_one_member_holds_what_belongs_together");
    for seed in 5_100..5_104 {
        let mut w = simulate_at_scale(seed, DUTIES, |_, _| {});
        let end = w.now + ms(60_000);
        w.run_until(end);
        let holders: Vec<Option<usize>> = CLAIMS.iter().map(|claim| w.holder(claim)).collect();
        assert!(
            holders[0].is_some() && holders.iter().all(|holder| *holder == holders[0]),
            "{holders:?}"
        );
        assert_eq!(w.holder("leader"), None, "the former claim names a member");
        // What is under way was begun under the present token: everything of former holders is settled.
        let fencing_token = w.claim_version(CLAIMS[0]).expect("a claim");
        let foreign = |key: &String| !key.starts_with(&format!("rent/r-{fencing_token}-"));
        assert!(
            !w.stored_keys("rent/").iter().any(foreign),
            "{:?}",
            w.stored_keys("rent/")
        );
    }
}

/// The version in production, which knows no duties, and this one with duties on, upgraded one by one among all troubles.
#[test]
fn duties_begin_when_the_last_controller_is_upgraded() {
    scenario("duties.duties_begin_when_the_last_controller_is_upgraded");
    let mut coverage = Coverage::new();
    for seed in 5_200..5_208 {
        let mut w = Simulation::sized(seed, DUTIES);
        w.faults_end = ms(150_000);
        w.start_with_old_version();
        for n in 0..40 {
            let spec = w.job(n);
            let (at, id, service) = (
                w.draw(500..110_000),
                spec.id.clone(),
                spec.kind == JobKind::Service,
            );
            w.submit(ms(at), spec);
            if service || w.draw(0..4) == 0 {
                let later = w.draw(2_000..30_000);
                w.cancel(ms(at + later), id);
            }
        }
        fault_pairs_of_all_kinds(&mut w, 90_000);
        for controller in 0..CONTROLLERS {
            let at = 20_000 + 25_000 * controller as i64 + w.draw(0..8_000);
            w.fault(
                ms(at - 9_000),
                Fault::Crash {
                    controllers: vec![controller],
                    back: ms(1_000),
                },
            );
            let back = ms(w.draw(300..5_000));
            w.fault(ms(at), Fault::Upgrade { controller, back });
        }
        w.run_until(ms(60_000));
        assert_eq!(
            w.count_keys("duty/claim/"),
            0,
            "seed {seed}: duties beside an old controller"
        );
        w.run_until(ms(480_000));
        assert_eq!(w.unfinished(), Vec::<String>::new(), "seed {seed}");
        assert_eq!(w.count_keys("duty/claim/"), 4, "seed {seed}");
        add_coverage(&mut coverage, w.coverage);
    }
    assert!(count(&coverage, ACTED) > 200, "{coverage:?}");
}
