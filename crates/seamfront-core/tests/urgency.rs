//! Priorities and due times that jobs pass on to their dependencies, in simulated runs. The work is counted and nothing
//! is timed, so the results do not depend on the speed of the computer.

use seamfront_core::types::*;
use seamfront_testing::engine_harness::{store_pipeline, EngineHarness};
use seamfront_testing::shard_harness::settings;
use seamfront_testing::simulation::recording::scenario;
use seamfront_testing::simulation::scenarios::init_logging_if_selected;
use seamfront_testing::simulation::{ms, Fault, Scale, Simulation, CONTROLLERS, SMALL};
use seamfront_testing::store::Store;

/// Scale of the runs: few machines, pages of the store of the usual size.
const PIPELINES: Scale = Scale {
    page: 500,
    limits: [0; 10],
    ..SMALL
};

/// A job of one task that any machine can run.
fn plain_job(simulation: &mut Simulation, number: u32, priority: Priority) -> JobSpec {
    JobSpec {
        class: "step".into(),
        team: "a".into(),
        kind: JobKind::Array,
        priority,
        tasks: 1,
        task_resources: Resources::rounded_up(1.0, 0.0, 1.0),
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        deadline: None,
        ..simulation.job(number)
    }
}

fn ids_of(stage: &[JobSpec]) -> Vec<JobId> {
    stage.iter().map(|spec| spec.id.clone()).collect()
}

/// A pipeline in which each job needs all jobs of the stage before, and an urgent job with a deadline that needs the
/// last stage. Estimates double from stage to stage, and the longer jobs of a stage come first in the order of ids.
fn pipeline_of_stages(simulation: &mut Simulation, stages: u32, width: u32) -> Vec<JobSpec> {
    let mut jobs: Vec<JobSpec> = Vec::new();
    let mut previous: Vec<JobId> = Vec::new();
    for stage in 0..stages {
        let mut current = Vec::new();
        for place in 0..width {
            let shortest = Micros::from_secs(1 << stage);
            let mut spec = plain_job(simulation, 1 + stage * width + place, Priority::BestEffort);
            spec.estimate = shortest + shortest
                - shortest
                    .times(i64::from(place))
                    .divided_by(i64::from(width));
            spec.dependencies.clone_from(&previous);
            current.push(spec);
        }
        previous = ids_of(&current);
        jobs.extend(current);
    }
    let mut last = plain_job(simulation, 1 + stages * width, Priority::Urgent);
    last.deadline = Some(Micros::from_secs(20_000));
    last.dependencies = previous;
    jobs.push(last);
    jobs
}

/// A simulated run in which a pipeline is submitted at once.
struct PipelineRun {
    simulation: Simulation,
    jobs: usize,
    dependencies: usize,
}

impl PipelineRun {
    fn new(seed: u64, stages: u32, width: u32) -> PipelineRun {
        init_logging_if_selected(seed);
        let mut simulation = Simulation::sized(seed, PIPELINES);
        simulation.faults_end = ms(1_000);
        let jobs = pipeline_of_stages(&mut simulation, stages, width);
        let count = jobs.len();
        let dependencies = jobs.iter().map(|spec| spec.dependencies.len()).sum();
        for spec in jobs {
            simulation.submit(ms(1_000), spec);
        }
        PipelineRun {
            simulation,
            jobs: count,
            dependencies,
        }
    }

    /// Checks that all jobs were accepted, and that no step has examined each job and each dependency more than a few
    /// times.
    fn assert_work_is_bounded(&self) {
        let (jobs, dependencies) = (self.jobs, self.dependencies);
        assert_eq!(self.simulation.accepted_jobs(), jobs);
        let most = self.simulation.most_items_in_a_step;
        let bound = 4 * (jobs + dependencies) as i64;
        assert!(
            most <= bound,
            "{most} items in a step for {jobs} jobs with {dependencies} dependencies"
        );
    }
}

/// Guards against work that grows with the number of paths through a pipeline instead of the number of its jobs and
/// dependencies (`docs/incidents/urgency-along-every-path.md`). Every controller examined 4.1 million items and kept a
/// copy of a job for each change of its urgency in the step in which the last job became known, and again after each
/// restart.
#[test]
fn a_step_examines_each_job_and_each_dependency_of_a_wide_pipeline_a_few_times_at_most() {
    scenario("urgency.a_wide_pipeline_is_submitted_and_all_controllers_restart");
    let mut run = PipelineRun::new(6_000, 11, 15);
    run.simulation.fault(
        ms(30_000),
        Fault::Crash {
            controllers: (0..CONTROLLERS).collect(),
            restart_after: ms(500),
        },
    );
    run.simulation.run_until(ms(40_000));
    run.assert_work_is_bounded();
}

/// Number of dependencies that a pass may examine in one step, besides those of the last job visited.
const MAX_DEPENDENCIES_PER_STEP: usize = 10_000;

/// Guards against steps that last as long as the largest pipeline makes them: nobody is answered during a step.
#[test]
fn a_pass_over_a_very_large_pipeline_is_divided_among_steps() {
    let mut store = Store::with_page_size(1_000);
    let (stages, width) = (6, 150);
    let dependencies = store_pipeline(&mut store, stages, width);
    let mut harness = EngineHarness::new(settings(), store);
    harness.run(Micros::from_secs(3));
    let most = harness.most_items_in_a_step;
    // Each job counts as visited, and the shard examines its jobs, too.
    let bound = MAX_DEPENDENCIES_PER_STEP + 4 * stages * width;
    assert!(most <= bound as i64, "{most} items in a step");
    let examined = harness.engine.items_examined();
    assert!(
        examined >= dependencies as i64,
        "{examined} of {dependencies}"
    );
}

/// Guards against answers that cost as much as all that a job needs, directly and through others, for each question.
/// One step examined 198,234 items for questions that came together (`docs/incidents/urgency-along-every-path.md`).
#[test]
fn questions_about_a_wide_pipeline_do_not_examine_it_anew_each_time() {
    scenario("urgency.many_users_ask_about_the_jobs_of_a_wide_pipeline");
    let mut run = PipelineRun::new(6_300, 6, 40);
    run.simulation.run_until(ms(40_000));
    run.simulation.fault(
        ms(40_000),
        Fault::PollStorm {
            until: ms(50_000),
            factor: 20,
        },
    );
    run.simulation.run_until(ms(50_000));
    run.assert_work_is_bounded();
}

/// Submits, to team `a`, an array that fills all machines to the end, and a job that is never done. The latter takes up
/// the guarantee of the team, which would let other jobs start whatever their priority.
fn submit_competitors(simulation: &mut Simulation) {
    let mut failing = plain_job(simulation, 3, Priority::Urgent);
    (failing.class, failing.tasks) = ("failing".into(), 8);
    simulation.make_failing(&failing);
    simulation.submit(ms(10_000), failing);
    let mut competitor = plain_job(simulation, 1, Priority::Normal);
    (competitor.class, competitor.tasks) = ("competitor".into(), 5_000);
    simulation.submit(ms(20_000), competitor);
}

/// Guards against urgencies that are lost in a restart (`docs/incidents/urgency-lost.md`): the jobs are read in the order
/// of their ids, and a dependency that came after its dependents got nothing from them. It then waited behind work of
/// lower priority.
#[test]
fn a_dependency_that_is_read_after_its_dependents_keeps_their_priority() {
    scenario("urgency.all_controllers_restart_and_read_a_dependency_last");
    init_logging_if_selected(6_100);
    let mut simulation = Simulation::sized(6_100, PIPELINES);
    simulation.faults_end = ms(1_000);
    submit_competitors(&mut simulation);
    // Keeps the dependency from starting until the restart is over.
    let mut gate = plain_job(&mut simulation, 2, Priority::Critical);
    (gate.class, gate.tasks) = ("gate".into(), 200);
    let mut dependency = plain_job(&mut simulation, 900, Priority::BestEffort);
    dependency.dependencies = vec![gate.id.clone()];
    let dependency_id = dependency.id.clone();
    let mut dependent = plain_job(&mut simulation, 500, Priority::BestEffort);
    dependent.dependencies = vec![dependency.id.clone()];
    let mut last = plain_job(&mut simulation, 100, Priority::Urgent);
    last.dependencies = vec![dependent.id.clone()];
    for spec in [gate, dependency, dependent, last] {
        simulation.submit(ms(40_000), spec);
    }
    simulation.fault(
        ms(43_000),
        Fault::Crash {
            controllers: (0..CONTROLLERS).collect(),
            restart_after: ms(500),
        },
    );
    simulation.run_until(ms(46_000));
    let unfinished = simulation.unfinished_jobs().len();
    assert_eq!(
        unfinished, 6,
        "the gate was done before the restart was over"
    );
    simulation.run_until(ms(120_000));
    let started = &simulation.ground_truth.first_started_at;
    assert!(
        started.contains_key(&dependency_id),
        "waits behind normal work"
    );
}

/// Guards against urgencies that are lost where a controller accepts a job before its view shows a dependency that
/// another controller has accepted a moment ago (`docs/incidents/urgency-lost.md`).
#[test]
fn a_dependency_that_the_view_shows_after_its_dependent_gets_the_priority_of_that() {
    scenario("urgency.a_dependent_is_accepted_before_the_view_shows_its_dependency");
    for seed in 6_200..6_224 {
        init_logging_if_selected(seed);
        let mut simulation = Simulation::sized(seed, PIPELINES);
        simulation.faults_end = ms(1_000);
        submit_competitors(&mut simulation);
        let dependency = plain_job(&mut simulation, 900, Priority::BestEffort);
        let dependency_id = dependency.id.clone();
        let mut last = plain_job(&mut simulation, 100, Priority::Urgent);
        last.dependencies = vec![dependency.id.clone()];
        simulation.submit(ms(40_000), dependency);
        simulation.submit(ms(40_000), last);
        simulation.fault(ms(39_000), Fault::SlowStore { until: ms(45_000) });
        simulation.run_until(ms(90_000));
        let started = &simulation.ground_truth.first_started_at;
        assert!(
            started.contains_key(&dependency_id),
            "seed {seed}: waits behind normal work"
        );
    }
}

/// Limit of team `b` in CPUs. Its guarantee is 8.
const LIMIT_OF_TEAM_B: i64 = 12;

/// A service of team `b`, with tasks of one CPU.
fn service_of_team_b(simulation: &mut Simulation, number: u32, tasks: u32) -> JobSpec {
    JobSpec {
        class: "service".into(),
        team: "b".into(),
        kind: JobKind::Service,
        tasks,
        ..plain_job(simulation, number, Priority::Critical)
    }
}

/// A job may not be left waiting for longer while a machine that fits has room.
const MAX_WAIT_MS: i64 = 90_000;

/// Guards against jobs that are left waiting beside room that is kept for services: once one service has ended, the machine
/// that it has left, and machines that are drained for the job, are given back unused, again and again.
#[test]
fn a_job_is_placed_beside_room_that_is_kept_for_services() {
    scenario("urgency.a_job_waits_beside_room_kept_for_services");
    init_logging_if_selected(6_100);
    let mut limits = [0; 10];
    limits[1] = LIMIT_OF_TEAM_B;
    let mut simulation = Simulation::sized(
        6_100,
        Scale {
            limits,
            ..PIPELINES
        },
    );
    simulation.faults_end = ms(1_000);
    // One service uses up the guarantee of team b and stays, one uses up its limit until the restart is over.
    let staying = service_of_team_b(&mut simulation, 1, 8);
    let cancelled = service_of_team_b(&mut simulation, 2, 4);
    let cancelled_id = cancelled.id.clone();
    let mut competitor = plain_job(&mut simulation, 3, Priority::Normal);
    (competitor.class, competitor.tasks) = ("competitor".into(), 5_000);
    let mut dependency = plain_job(&mut simulation, 900, Priority::BestEffort);
    dependency.team = "b".into();
    let dependency_id = dependency.id.clone();
    let mut dependent = plain_job(&mut simulation, 500, Priority::BestEffort);
    dependent.dependencies = vec![dependency.id.clone()];
    let mut last = plain_job(&mut simulation, 100, Priority::Urgent);
    last.dependencies = vec![dependent.id.clone()];
    for (at, spec) in [(1, staying), (1, cancelled), (20, competitor)] {
        simulation.submit(ms(1_000 * at), spec);
    }
    for spec in [dependency, dependent, last] {
        simulation.submit(ms(40_000), spec);
    }
    simulation.fault(
        ms(50_000),
        Fault::Crash {
            controllers: (0..CONTROLLERS).collect(),
            restart_after: ms(500),
        },
    );
    simulation.cancel(ms(70_000), cancelled_id);
    simulation.run_until(ms(70_000));
    let started = &simulation.ground_truth.first_started_at;
    assert!(
        !started.contains_key(&dependency_id),
        "its team is at its limit"
    );
    simulation.run_until(ms(70_000 + MAX_WAIT_MS));
    let started = &simulation.ground_truth.first_started_at;
    assert!(
        started.contains_key(&dependency_id),
        "left waiting for 90 s"
    );
}
