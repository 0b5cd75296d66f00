//! Value types shared by all modules: time, identifiers, resources, job specifications, machine types and settings.

mod identifiers;
mod job_spec;
mod machine_type;
mod objective;
mod priority;
mod resources;
mod settings;

pub use identifiers::{JobId, MachineId, TaskKey};
pub use job_spec::{JobKind, JobSpec};
pub use machine_type::{accelerators_allowed, MachineType};
pub use objective::{Milestone, Objective, START_DEADLINE};
pub use priority::{queue_rank, Priority};
pub use resources::Resources;
pub use seamfront_lease::time::Micros;
pub use settings::{Settings, Team, Tuning};
