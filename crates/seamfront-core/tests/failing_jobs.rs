//! Jobs that were submitted with a mistake and fail on every machine until they are cancelled: they are retried with
//! backoff, take hardly any capacity from other jobs and do not get machines quarantined. Each test drives one shard.

use seamfront_core::job::{Job, Phase};
use seamfront_core::port::*;
use seamfront_core::types::*;
use seamfront_testing::shard_harness::{job, s, ShardHarness, CLAIM_TOKEN};
use std::collections::BTreeMap;
use std::rc::Rc;

const MACHINES: usize = 6;

/// A shard whose agents run all tasks that they are ordered to, with exits that the test decides.
struct ScriptedShard {
    harness: ShardHarness,
    now: Micros,
    sequence: u64,
    /// Maximum number of tasks of one failing job that were placed at a time.
    max_failing_tasks: usize,
    /// Number of tasks started, by job.
    starts: BTreeMap<JobId, u32>,
}

impl ScriptedShard {
    fn new(jobs: Vec<JobSpec>) -> ScriptedShard {
        let mut harness = ShardHarness::new(MACHINES, 0);
        for spec in jobs {
            harness.shard.add_job(Rc::new(spec), 5, s(101));
        }
        ScriptedShard {
            harness,
            now: s(101),
            sequence: 1,
            max_failing_tasks: 0,
            starts: BTreeMap::new(),
        }
    }

    fn job(&self, id: &str) -> &Job {
        &self.harness.shard.jobs[&JobId::from(id)]
    }

    /// Advances by half a second: each machine sends a heartbeat in which all tasks started there have the exit that
    /// `exit_of` returns, then a scheduling cycle runs and its records count as written.
    fn step(&mut self, exit_of: impl Fn(&TaskKey, &MachineId) -> Exit) {
        self.now += Micros::from_millis(500);
        let now = self.now;
        self.sequence += 1;
        for m in 0..MACHINES {
            let placed = &self.harness.shard.machines[&machine(m)].tasks;
            let tasks = placed
                .iter()
                .filter_map(|t| self.exited(t, &machine(m), &exit_of))
                .collect();
            let heartbeat = Heartbeat {
                tasks,
                ..seamfront_testing::shard_harness::heartbeat(
                    &format!("i-{m}"),
                    1,
                    self.sequence,
                    CLAIM_TOKEN,
                    &[],
                )
            };
            self.harness.heartbeat(now, &heartbeat);
        }
        let failing: Vec<JobId> = self
            .harness
            .shard
            .jobs
            .iter()
            .filter(|(_, j)| j.failing())
            .map(|(id, _)| id.clone())
            .collect();
        self.harness.with(now, seamfront_core::shard::Shard::tick);
        self.harness
            .with(now, seamfront_core::shard::Shard::run_scheduling_cycle);
        for job in failing
            .iter()
            .filter_map(|id| self.harness.shard.jobs.get(id))
        {
            self.max_failing_tasks = self.max_failing_tasks.max(job.tasks.len());
        }
        for j in self.harness.shard.jobs.values_mut() {
            for placement in j.tasks.values_mut().filter(|p| p.phase == Phase::Recording) {
                placement.phase = Phase::Ordered;
                *self.starts.entry(j.spec.id.clone()).or_default() += 1;
            }
        }
    }

    fn exited(
        &self,
        task: &TaskKey,
        machine: &MachineId,
        exit_of: impl Fn(&TaskKey, &MachineId) -> Exit,
    ) -> Option<TaskStatus> {
        let placement = self.job(task.job.as_str()).tasks.get(&task.index)?;
        let state = TaskState::Exited(exit_of(task, machine));
        (placement.phase > Phase::Recording).then(|| TaskStatus {
            task: task.clone(),
            attempt: placement.attempt,
            state,
        })
    }

    fn quarantined(&self) -> Vec<usize> {
        (0..MACHINES)
            .filter(|m| {
                self.harness.shard.machines[&machine(*m)]
                    .health
                    .quarantined()
            })
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
fn job_failing_everywhere_is_retried_with_few_tasks_and_growing_backoff() {
    let mut shard = ScriptedShard::new(vec![array("j-0", 24), array("j-1", 24), array("j-2", 24)]);
    for _ in 0..600 {
        shard.step(|_, _| Exit::Error);
        assert_eq!(
            shard.quarantined(),
            Vec::<usize>::new(),
            "machines were quarantined for failures of the jobs"
        );
    }
    for id in ["j-0", "j-1", "j-2"] {
        let errors = shard.job(id).consecutive_errors;
        // Three attempts at first, then one after each backoff of 2, 4, 8, 16 and from then on 32 s.
        assert!(
            (12..18).contains(&errors),
            "{id}: {errors} failed attempts in five minutes"
        );
        assert!(shard.job(id).live());
    }
    assert!(
        shard.max_failing_tasks <= 2,
        "{} tasks of a failing job placed at once",
        shard.max_failing_tasks
    );
    assert!(shard.starts.values().all(|n| *n < 60), "{:?}", shard.starts);
}

/// Only the first tasks fail. Other tasks of the job are tried too, and the first that completes ends the backoff.
#[test]
fn failing_job_recovers_when_a_later_task_completes() {
    let mut shard = ScriptedShard::new(vec![array("j-0", 40)]);
    let exit_of = |t: &TaskKey, _: &MachineId| {
        if t.index < 30 {
            Exit::Error
        } else {
            Exit::Done
        }
    };
    for _ in 0..120 {
        shard.step(exit_of);
    }
    assert!(
        shard.job("j-0").done.count() >= 9,
        "only {} tasks are done after a minute",
        shard.job("j-0").done.count()
    );
}

/// The failures of healthy jobs identify a faulty machine even while other jobs fail everywhere.
#[test]
fn faulty_machine_is_quarantined_while_other_jobs_fail_everywhere() {
    let mut shard = ScriptedShard::new((0..6).map(|k| array(&format!("j-{k}"), 30)).collect());
    let fails_everywhere = |t: &TaskKey| t.job == JobId::from("j-0") || t.job == JobId::from("j-1");
    for _ in 0..40 {
        shard.step(|t, m| {
            if fails_everywhere(t) || *m == machine(3) {
                Exit::Error
            } else {
                Exit::Done
            }
        });
    }
    assert_eq!(shard.quarantined(), [3]);
}

/// The number of consecutive errors survives a failover, so that the backoff continues to grow.
#[test]
fn successor_adopts_the_error_count_of_a_failing_job() {
    let mut former = Job::new(job("j-0", 4), 5, s(90));
    former.consecutive_errors = 6;
    let mut adopted = Job::new(job("j-0", 4), 5, s(100));
    adopted.adopt(former.to_record(), 9, 0, s(100));
    assert_eq!(adopted.consecutive_errors, 6);
    assert!(adopted.failing() && adopted.remaining_attempts() == 2);
}
