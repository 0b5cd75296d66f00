//! Machines of a shard: assigned, moved to another shard, deleted.

use super::{
    info, Context, Machine, MachineId, MachineRecord, Micros, Removal, Resources, Shard, TaskKey,
};

impl Shard {
    /// Takes in a machine, or what has changed in its record.
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
                // Kept or given back by the leader, or fenced anew by ourselves.
                m.lifecycle.released_since = None;
                m.lifecycle.draining_since = None;
            }
            // The engine's view may be behind what we wrote ourselves: one that we gave up a moment ago
            // would be used again.
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
            self.unsent.insert(id.clone());
            self.machines.insert(id, m);
        }
        self.dirty = true;
    }

    /// The machine's record says that it is another shard's or is being returned.
    pub fn machine_moved(&mut self, id: &MachineId, record: MachineRecord, version: u64) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        if m.tasks.is_empty() && m.fencing.direct_command.is_none() {
            self.machines.remove(id);
        } else {
            // Being returned with tasks on it: they are gone when the record is, or their lease.
            m.record = MachineRecord {
                shard: None,
                ..record
            };
            m.version = version;
        }
        self.dirty = true;
    }

    /// The cloud has answered that it is deleted, so everything on it is gone.
    pub fn machine_deleted(&mut self, context: &mut Context, id: &MachineId) {
        let Some(m) = self.machines.remove(id) else {
            return;
        };
        info!(machine = %id, tasks = m.tasks.len(), "machine deleted");
        for t in m.tasks {
            self.remove_task(context, &t, Removal::Lost);
        }
        self.dirty = true;
    }
}
