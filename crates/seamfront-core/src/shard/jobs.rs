//! Jobs of a shard: how they are added, adopted from a former holder's records, and ended.

use super::{
    debug, info, spec_of_ended_job, stop_remaining_tasks, task_removal, BTreeSet, Context, Ending,
    Job, JobId, JobSpec, MachineId, Micros, Phase, Rc, Removal, Shard, ShardPhase, Stop,
    StopReason, StoredRecord, TaskKey,
};

impl Shard {
    /// Adds a live job, unless it is known already.
    pub fn add_job(&mut self, spec: Rc<JobSpec>, version: u64, now: Micros) {
        let id = spec.id.clone();
        self.jobs
            .entry(id)
            .or_insert_with(|| Job::new(spec, version, now));
        self.dirty = true;
    }

    /// Updates whether a job is blocked on its dependencies, and its effective spec: its priority and deadline also
    /// follow from the jobs that depend on it.
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

    /// Adopts a record of the former holder. A job that has ended since then (it is missing from the view of live jobs,
    /// which is newer than the claim) is adopted only so that its tasks are stopped and its record is removed.
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
            job.backoff_until = now + task_removal::failure_backoff(job.consecutive_errors);
        }
        if ended {
            job.ending = Some(Ending::Cancelled);
        } else if job.done.count() == job.spec.tasks {
            job.ending = Some(Ending::Completing);
        }
        for (i, p) in &mut job.tasks {
            self.quota.charge(&job.spec.team, job.spec.task_resources);
            if ended {
                p.stop = Some(Stop::immediate(StopReason::Cancelled, now));
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

    /// Pauses a job whose record by the former holder cannot be read. Tasks that the former holder started may run
    /// anywhere: until a whole lease after its last reply no task of the job is started, and those that agents list are
    /// stopped.
    pub fn pause_unreadable_job(&mut self, id: &JobId, until: Micros) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.backoff_until = until;
            job.record.version = None;
            job.record.mark_changed();
        }
    }

    /// Machines on which adopted records place tasks and that are not in this shard.
    pub fn machines_outside_shard(&self) -> BTreeSet<MachineId> {
        let named = self
            .jobs
            .values()
            .flat_map(|j| j.tasks.values().map(|p| &p.machine));
        named
            .filter(|id| !self.machines.contains_key(*id))
            .cloned()
            .collect()
    }

    /// Makes the shard ready once all records are adopted. Tasks on machines that no longer exist are lost.
    pub fn finish_loading(&mut self, context: &mut Context) {
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
        for task in lost {
            self.remove_task(context, &task, Removal::Lost);
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.drop_if_finished(context, &id);
        }
        info!(
            shard = self.index,
            fencing_token = self.version,
            jobs = self.jobs.len(),
            machines = self.machines.len(),
            "shard ready"
        );
    }

    /// Handles the removal of `job/<id>` from the store: we have recorded the job as done, or it was cancelled.
    pub fn job_ended(&mut self, context: &mut Context, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match job.ending {
            // All tasks are done, whatever the outcome of our own unanswered write.
            Some(Ending::Completing) => {
                job.ending = Some(Ending::Done);
                stop_remaining_tasks(job, context.now);
            }
            Some(_) => return,
            None => {
                debug!(job = %id, "job cancelled; stopping its tasks");
                job.ending = Some(Ending::Cancelled);
                let mut never_sent = Vec::new();
                for (i, p) in &mut job.tasks {
                    if p.phase == Phase::Recording {
                        never_sent.push(TaskKey {
                            job: id.clone(),
                            index: *i,
                        });
                    }
                    p.stop = Some(Stop::immediate(StopReason::Cancelled, context.now));
                }
                for task in never_sent {
                    self.remove_task(context, &task, Removal::Lost);
                }
            }
        }
        self.drop_if_finished(context, id);
        self.dirty = true;
    }

    /// Completes the drain of a gang if possible, and drops a job that has ended once neither tasks nor a record of it
    /// are left.
    pub(super) fn drop_if_finished(&mut self, context: &mut Context, id: &JobId) {
        self.complete_gang_drain(context, id);
        let Some(job) = self.jobs.get(id) else { return };
        let ended = matches!(job.ending, Some(Ending::Done | Ending::Cancelled));
        if ended && job.tasks.is_empty() && job.record.version == Some(0) && !job.record.in_flight {
            self.jobs.remove(id);
        }
    }
}
