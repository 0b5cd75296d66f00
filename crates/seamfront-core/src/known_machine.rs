//! A machine as the view of the store shows it.

use crate::machine::MachineRecord;
use crate::types::Micros;

/// A machine as the view of the store shows it.
#[derive(Clone, Debug)]
pub(crate) struct KnownMachine {
    /// Its record.
    pub(crate) record: MachineRecord,
    /// Version of the record.
    pub(crate) version: u64,
    /// Since when it has been seen to belong to its present shard, or to none.
    pub(crate) assigned_at: Micros,
}
