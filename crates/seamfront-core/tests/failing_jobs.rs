//! Jobs that were submitted with a mistake and fail on every machine until they are cancelled: they are tried on and
//! cost others next to nothing. One shard in the hand.

use seamfront_core::job::{Job, Phase};
use seamfront_core::port::*;
use seamfront_core::types::*;
use seamfront_testing::shard_harness::{job, s, ShardHarness, CLAIM};
use std::collections::BTreeMap;
use std::rc::Rc;

const MACHINES: usize = 6;

/// One shard whose workers run what they are told to and end tasks as a test decides.
struct Play {
    held: ShardHarness,
    now: Micros,
    sequence: u64,
    /// Most tasks of one job placed at a time after it had begun to fail.
    most_tried: usize,
    /// How often a task of each job was started.
    starts: BTreeMap<JobId, u32>,
}

impl Play {
    fn new(jobs: Vec<JobSpec>) -> Play {
        let mut held = ShardHarness::new(MACHINES, 0);
        for spec in jobs {
            held.shard.add_job(Rc::new(spec), 5, s(101));
        }
        Play {
            held,
            now: s(101),
            sequence: 1,
            most_tried: 0,
            starts: BTreeMap::new(),
        }
    }

    fn job(&self, id: &str) -> &Job {
        &self.held.shard.jobs[&JobId::from(id)]
    }

    /// Half a second: a round, its records written, then a report of each machine in which all that was started there
    /// has ended as `ends` says.
    fn step(&mut self, ends: impl Fn(&TaskKey, &MachineId) -> Exit) {
        self.now += Micros::from_millis(500);
        let now = self.now;
        self.sequence += 1;
        for m in 0..MACHINES {
            let placed = &self.held.shard.machines[&machine(m)].tasks;
            let tasks = placed
                .iter()
                .filter_map(|t| self.ended(t, &machine(m), &ends))
                .collect();
            let heartbeat = Heartbeat {
                tasks,
                ..seamfront_testing::shard_harness::heartbeat(
                    &format!("i-{m}"),
                    1,
                    self.sequence,
                    CLAIM,
                    &[],
                )
            };
            self.held.heartbeat(now, &heartbeat);
        }
        let failing: Vec<JobId> = self
            .held
            .shard
            .jobs
            .iter()
            .filter(|(_, j)| j.failing())
            .map(|(id, _)| id.clone())
            .collect();
        self.held.with(now, seamfront_core::shard::Shard::tick);
        self.held
            .with(now, seamfront_core::shard::Shard::run_scheduling_cycle);
        for job in failing.iter().filter_map(|id| self.held.shard.jobs.get(id)) {
            self.most_tried = self.most_tried.max(job.tasks.len());
        }
        for j in self.held.shard.jobs.values_mut() {
            for p in j.tasks.values_mut().filter(|p| p.phase == Phase::Recording) {
                p.phase = Phase::Ordered;
                *self.starts.entry(j.spec.id.clone()).or_default() += 1;
            }
        }
    }

    fn ended(
        &self,
        task: &TaskKey,
        machine: &MachineId,
        ends: impl Fn(&TaskKey, &MachineId) -> Exit,
    ) -> Option<TaskStatus> {
        let placement = self.job(task.job.as_str()).tasks.get(&task.index)?;
        let state = TaskState::Exited(ends(task, machine));
        (placement.phase > Phase::Recording).then(|| TaskStatus {
            task: task.clone(),
            attempt: placement.attempt,
            state,
        })
    }

    fn quarantined(&self) -> Vec<usize> {
        (0..MACHINES)
            .filter(|m| self.held.shard.machines[&machine(*m)].health.quarantined())
            .collect()
    }
}

fn machine(m: usize) -> MachineId {
    format!("i-{m}").as_str().into()
}

fn array(id: &str, tasks: u32) -> JobSpec {
    (*job(id, tasks)).clone()
}

#[test]
fn a_job_that_fails_everywhere_is_tried_on_by_few_tasks_after_growing_pauses() {
    let mut p = Play::new(vec![array("j-0", 24), array("j-1", 24), array("j-2", 24)]);
    for _ in 0..600 {
        p.step(|_, _| Exit::Error);
        assert_eq!(
            p.quarantined(),
            Vec::<usize>::new(),
            "machines are blamed for the jobs' mistakes"
        );
    }
    for id in ["j-0", "j-1", "j-2"] {
        let errors = p.job(id).consecutive_errors;
        // Three at first, then pauses of 2, 4, 8, 16 and always 32 s.
        assert!(
            (12..18).contains(&errors),
            "{id}: {errors} failed tries in five minutes"
        );
        assert!(p.job(id).live());
    }
    assert!(p.most_tried <= 2, "{} tasks tried at once", p.most_tried);
    assert!(p.starts.values().all(|n| *n < 60), "{:?}", p.starts);
}

/// Only the first tasks are bad: others are tried too, and the first that completes ends the pause.
#[test]
fn a_job_whose_later_tasks_would_do_recovers() {
    let mut p = Play::new(vec![array("j-0", 40)]);
    let bad = |t: &TaskKey, _: &MachineId| {
        if t.index < 30 {
            Exit::Error
        } else {
            Exit::Done
        }
    };
    for _ in 0..120 {
        p.step(bad);
    }
    assert!(
        p.job("j-0").done.count() >= 9,
        "only {} are done after a minute",
        p.job("j-0").done.count()
    );
}

/// Healthy jobs find a faulty machine even while other jobs fail everywhere.
#[test]
fn a_faulty_machine_is_found_among_jobs_that_fail_everywhere() {
    let mut p = Play::new((0..6).map(|k| array(&format!("j-{k}"), 30)).collect());
    let broken = |t: &TaskKey| t.job == JobId::from("j-0") || t.job == JobId::from("j-1");
    for _ in 0..40 {
        p.step(|t, m| {
            if broken(t) || *m == machine(3) {
                Exit::Error
            } else {
                Exit::Done
            }
        });
    }
    assert_eq!(p.quarantined(), [3]);
}

/// What was known of a job's failures outlives its holder, so that its pauses go on growing.
#[test]
fn a_successor_knows_how_often_a_job_has_failed() {
    let mut former = Job::new(job("j-0", 4), 5, s(90));
    former.consecutive_errors = 6;
    let mut next = Job::new(job("j-0", 4), 5, s(100));
    next.adopt(former.to_record(), 9, 0, s(100));
    assert_eq!(next.consecutive_errors, 6);
    assert!(next.failing() && next.remaining_attempts() == 2);
}
