//! Jobs of a shard: submitted, adopted from the records of a former holder, ended.

use super::{
    info, spec_of_ended_job, stop_rest, task_removal, BTreeSet, Cause, Context, Ending, Job, JobId,
    JobSpec, MachineId, Micros, Phase, Rc, Removal, Shard, ShardPhase, Stop, StoredRecord, TaskKey,
};

impl Shard {
    /// Takes in a live job, unless it is known.
    pub fn add_job(&mut self, spec: Rc<JobSpec>, version: u64, now: Micros) {
        let id = spec.id.clone();
        self.jobs
            .entry(id)
            .or_insert_with(|| Job::new(spec, version, now));
        self.dirty = true;
    }

    /// Whether a job waits for others to be done, and what it asks for as things stand: how important it is and
    /// until when it must be done also follow from the jobs that need it.
    pub fn update_dependencies(
        &mut self,
        id: &JobId,
        spec: Rc<JobSpec>,
        blocked: bool,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.blocked && !blocked {
            job.waiting_since = now;
        }
        (job.spec, job.blocked) = (spec, blocked);
        self.dirty = true;
    }

    /// Takes over a record of the former holder's. A job that has ended since (it is missing from
    /// the view of live jobs, which is newer than the claim) is only cleared away.
    pub fn adopt_record(
        &mut self,
        id: JobId,
        live: Option<(Rc<JobSpec>, u64)>,
        stored: StoredRecord,
        now: Micros,
    ) {
        let ended = live.is_none();
        let StoredRecord {
            record,
            version,
            parts_end,
        } = stored;
        let (spec, job_version) =
            live.unwrap_or_else(|| (Rc::new(spec_of_ended_job(&id, &record)), 0));
        let mut job = Job::new(spec, job_version, now);
        job.adopt(record, version, parts_end, now);
        if job.failing() {
            job.paused_until = now + task_removal::pause_after(job.consecutive_errors);
        }
        if ended {
            job.ending = Some(Ending::Cancelled);
        } else if job.done.count() == job.spec.tasks {
            job.ending = Some(Ending::Completing);
        }
        for (i, p) in &mut job.tasks {
            self.quota.charge(&job.spec.team, job.spec.task_resources);
            if ended {
                p.stop = Some(Stop::immediate(Cause::Cancelled, now));
            }
            if let Some(m) = self.machines.get_mut(&p.machine) {
                m.used.add(job.spec.task_resources);
                m.image_cache.fetches_changed = true;
                m.tasks.insert(TaskKey {
                    job: id.clone(),
                    index: *i,
                });
            }
        }
        self.jobs.insert(id, job);
        self.dirty = true;
    }

    /// A record of the former holder's that cannot be read. What it started may run anywhere: until a whole lease
    /// after its last answer nothing of the job is started, and what machines show of it is stopped.
    pub fn hold_unreadable(&mut self, id: &JobId, until: Micros) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.paused_until = until;
            job.record.version = None;
            job.record.touch();
        }
    }

    /// Machines that records name and this shard does not have.
    pub fn placed_elsewhere(&self) -> BTreeSet<MachineId> {
        let named = self
            .jobs
            .values()
            .flat_map(|j| j.tasks.values().map(|p| &p.machine));
        named
            .filter(|id| !self.machines.contains_key(*id))
            .cloned()
            .collect()
    }

    /// After all records are read: what stands on machines that no longer exist is gone.
    pub fn loaded(&mut self, context: &mut Context) {
        self.phase = ShardPhase::Ready;
        let lost: Vec<TaskKey> = self
            .jobs
            .iter()
            .flat_map(|(id, j)| {
                j.tasks
                    .iter()
                    .filter(|(_, p)| !self.machines.contains_key(&p.machine))
                    .map(|(i, _)| TaskKey {
                        job: id.clone(),
                        index: *i,
                    })
            })
            .collect();
        for t in lost {
            self.remove_task(context, &t, Removal::Lost);
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.settle_job(context, &id);
        }
        info!(
            shard = self.index,
            jobs = self.jobs.len(),
            machines = self.machines.len(),
            "shard ready"
        );
    }

    /// `job/<id>` is gone from the store: the job has ended, by us or by its user.
    pub fn job_ended(&mut self, context: &mut Context, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match job.ending {
            // Whatever became of our own unanswered write, all tasks are done.
            Some(Ending::Completing) => {
                job.ending = Some(Ending::Done);
                stop_rest(job, context.now);
            }
            Some(_) => return,
            None => {
                info!(job = %id, "job cancelled; stopping its tasks");
                job.ending = Some(Ending::Cancelled);
                let mut never_sent = Vec::new();
                for (i, p) in &mut job.tasks {
                    if p.phase == Phase::Recording {
                        never_sent.push(TaskKey {
                            job: id.clone(),
                            index: *i,
                        });
                    }
                    p.stop = Some(Stop::immediate(Cause::Cancelled, context.now));
                }
                for t in never_sent {
                    self.remove_task(context, &t, Removal::Lost);
                }
            }
        }
        self.settle_job(context, id);
        self.dirty = true;
    }

    /// Drops a job that has ended once nothing of it is left, record included.
    pub(super) fn settle_job(&mut self, context: &mut Context, id: &JobId) {
        self.check_gang(context, id);
        let Some(job) = self.jobs.get(id) else { return };
        let over = matches!(job.ending, Some(Ending::Done | Ending::Cancelled));
        if over && job.tasks.is_empty() && job.record.version == Some(0) && !job.record.in_flight {
            self.jobs.remove(id);
        }
    }
}
