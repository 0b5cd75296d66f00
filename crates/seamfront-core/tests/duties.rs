//! Simulated runs of the scheduler with duties enabled: scale-out, scale-in and rebalancing have fencing tokens of
//! their own. All invariants are checked after every step, also that a controller that calls the cloud API holds the
//! duty.

use seamfront_core::types::*;
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::{
    add_coverage, coverage_count, fault_pairs_of_all_kinds, simulate_at_scale, Coverage,
};
use seamfront_testing::simulation::{ms, Fault, Scale, Simulation, CONTROLLERS, SMALL};

const DUTIES_ENABLED: Scale = Scale {
    duties: true,
    ..SMALL
};
const FLEET_DUTY_CLAIMS: [&str; 3] = [
    "duty/claim/renting",
    "duty/claim/returning",
    "duty/claim/moving",
];
const DUTY_CALLED_CLOUD: &str = "a duty acted on the cloud";

/// Holders of duties crash, are refused by the store or are cut off, and controllers freeze, besides faults of all
/// kinds.
fn faults_of_duty_holders(simulation: &mut Simulation, faults_end_ms: i64) {
    fault_pairs_of_all_kinds(simulation, faults_end_ms);
    for k in 0..8 {
        let at = 6_000 + 10_000 * k + simulation.draw(0..6_000);
        let claim = FLEET_DUTY_CLAIMS[simulation.draw(0..3) as usize];
        let until = ms(at + simulation.draw(500..15_000));
        let restart_after = ms(simulation.draw(100..6_000));
        let fault = match simulation.draw(0..4) {
            0 => Fault::CrashHolder {
                claim,
                restart_after,
            },
            1 => Fault::RefuseHolder { claim, until },
            2 => Fault::IsolateHolder { claim, until },
            _ => Fault::PauseController {
                controller: simulation.draw(0..CONTROLLERS as i64) as usize,
                until,
            },
        };
        simulation.fault(ms(at), fault);
    }
    simulation.fault(
        ms(5_000),
        Fault::LoseCommitAnswers {
            until: ms(faults_end_ms / 2),
        },
    );
}

#[test]
fn invariants_hold_when_duty_holders_crash_freeze_or_are_cut_off() {
    scenario("duties.no_rule_breaks_while_holders_of_duties_are_in_trouble");
    let mut coverage = Coverage::new();
    for seed in 5_000..5_010 {
        let simulation = simulate_at_scale(seed, DUTIES_ENABLED, faults_of_duty_holders);
        assert_eq!(
            simulation.count_keys("duty/switch"),
            1,
            "seed {seed}: the leader's claim still covers all duties"
        );
        add_coverage(&mut coverage, simulation.coverage);
    }
    assert!(
        coverage_count(&coverage, DUTY_CALLED_CLOUD) > 1_000,
        "{coverage:?}"
    );
}

#[test]
fn one_member_holds_all_fleet_duties_without_faults() {
    scenario("duties.in_calm_hours_one_member_holds_what_belongs_together");
    for seed in 5_100..5_104 {
        let mut simulation = simulate_at_scale(seed, DUTIES_ENABLED, |_, _| {});
        let end = simulation.now + ms(60_000);
        simulation.run_until(end);
        let holders: Vec<Option<usize>> = FLEET_DUTY_CLAIMS
            .iter()
            .map(|claim| simulation.holder(claim))
            .collect();
        assert!(
            holders[0].is_some() && holders.iter().all(|holder| *holder == holders[0]),
            "{holders:?}"
        );
        assert_eq!(
            simulation.holder("leader"),
            None,
            "the leader's claim still has a holder"
        );
        // All provisioning in progress was started under the current fencing token: the operations of former holders
        // are settled.
        let fencing_token = simulation
            .claim_version(FLEET_DUTY_CLAIMS[0])
            .expect("a claim");
        let of_former_holder = |key: &String| !key.starts_with(&format!("rent/r-{fencing_token}-"));
        assert!(
            !simulation.stored_keys("rent/").iter().any(of_former_holder),
            "{:?}",
            simulation.stored_keys("rent/")
        );
    }
}

/// Controllers of the version in production, which does not support duties, are upgraded one by one to this version
/// with duties enabled, under faults of all kinds.
#[test]
fn duties_start_only_when_the_last_controller_is_upgraded() {
    scenario("duties.duties_begin_when_the_last_controller_is_upgraded");
    let mut coverage = Coverage::new();
    for seed in 5_200..5_208 {
        let mut simulation = Simulation::sized(seed, DUTIES_ENABLED);
        simulation.faults_end = ms(150_000);
        simulation.start_with_old_version();
        for n in 0..40 {
            let spec = simulation.job(n);
            let (at, id, service) = (
                simulation.draw(500..110_000),
                spec.id.clone(),
                spec.kind == JobKind::Service,
            );
            simulation.submit(ms(at), spec);
            if service || simulation.draw(0..4) == 0 {
                let cancel_delay = simulation.draw(2_000..30_000);
                simulation.cancel(ms(at + cancel_delay), id);
            }
        }
        fault_pairs_of_all_kinds(&mut simulation, 90_000);
        for controller in 0..CONTROLLERS {
            let at = 20_000 + 25_000 * controller as i64 + simulation.draw(0..8_000);
            simulation.fault(
                ms(at - 9_000),
                Fault::Crash {
                    controllers: vec![controller],
                    restart_after: ms(1_000),
                },
            );
            let restart_after = ms(simulation.draw(300..5_000));
            simulation.fault(
                ms(at),
                Fault::Upgrade {
                    controller,
                    restart_after,
                },
            );
        }
        simulation.run_until(ms(60_000));
        assert_eq!(
            simulation.count_keys("duty/claim/"),
            0,
            "seed {seed}: duties were claimed beside a controller of the old version"
        );
        simulation.run_until(ms(480_000));
        assert_eq!(
            simulation.unfinished_jobs(),
            Vec::<String>::new(),
            "seed {seed}"
        );
        assert_eq!(simulation.count_keys("duty/claim/"), 4, "seed {seed}");
        add_coverage(&mut coverage, simulation.coverage);
    }
    assert!(
        coverage_count(&coverage, DUTY_CALLED_CLOUD) > 200,
        "{coverage:?}"
    );
}
