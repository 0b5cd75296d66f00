//! Machines as this controller's view of the store shows them.

use crate::machine::MachineRecord;
use crate::types::Micros;

/// A machine as this controller's view of the store shows it.
#[derive(Clone, Debug)]
pub(crate) struct KnownMachine {
    /// Its record.
    pub(crate) record: MachineRecord,
    /// Version of the record.
    pub(crate) version: u64,
    /// When the view first showed it in its current shard, or in none.
    pub(crate) assigned_at: Micros,
}
