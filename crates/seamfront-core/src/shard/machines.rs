//! Machines of a shard: how they are added, moved to another shard and deleted.

use super::{
    info, Context, Machine, MachineId, MachineRecord, Micros, Removal, Resources, Shard, TaskKey,
};

impl Shard {
    /// Adds a machine, or applies a change of its record.
    pub fn add_machine(
        &mut self,
        id: MachineId,
        record: MachineRecord,
        version: u64,
        size: Resources,
        now: Micros,
    ) {
        if let Some(m) = self.machines.get_mut(&id) {
            if version > m.version {
                m.version = version;
                // The leader kept the machine here or assigned it to us again, or we raised its token ourselves.
                m.lifecycle.released_since = None;
                m.lifecycle.draining_since = None;
            }
            // The engine's view may lag behind our own writes: an older record would put a machine that we have just
            // given up back into use.
            if version >= m.version {
                m.record = record;
            }
            m.size = size;
        } else {
            let mut m = Machine::new(id.clone(), record, version, size, now);
            for (job, j) in &self.jobs {
                for (i, _) in j.tasks.iter().filter(|(_, p)| p.machine == id) {
                    m.used.add(j.spec.task_resources);
                    m.tasks.insert(TaskKey {
                        job: job.clone(),
                        index: *i,
                    });
                }
            }
            self.direct_start_candidates.insert(id.clone());
            self.machines.insert(id, m);
        }
        self.dirty = true;
    }

    /// Handles a record that assigns the machine to another shard, or to none because it is being terminated.
    pub fn machine_moved(&mut self, id: &MachineId, record: MachineRecord, version: u64) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        if m.tasks.is_empty() && m.fencing.direct_command.is_none() {
            self.machines.remove(id);
        } else {
            // Being terminated with tasks on it: they are gone once the record is deleted or the lease has expired.
            m.record = MachineRecord {
                shard: None,
                ..record
            };
            m.version = version;
        }
        self.dirty = true;
    }

    /// Handles the deletion of a machine's record: the cloud has confirmed the termination, so all tasks on it are
    /// gone.
    pub fn machine_deleted(&mut self, context: &mut Context, id: &MachineId) {
        let Some(m) = self.machines.remove(id) else {
            return;
        };
        info!(machine = %id, tasks = m.tasks.len(), "machine deleted");
        for task in m.tasks {
            self.remove_task(context, &task, Removal::Lost);
        }
        self.dirty = true;
    }
}
