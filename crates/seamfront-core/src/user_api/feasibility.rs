//! Whether a submitted job can ever run: a job that cannot is refused with the reason, since an accepted one must run.

use super::UserContext;
use crate::port::SubmissionError;
use crate::quota::within_limit;
use crate::record::Layout;
use crate::record_size::max_gang_machines;
use crate::types::{JobKind, JobSpec, MachineType};
use std::collections::BTreeSet;

impl UserContext<'_> {
    /// Checks whether a job can ever run: some machine type fits a task, the team's limit allows it, and the store
    /// accepts its records.
    pub(super) fn check_feasible(&self, spec: &JobSpec) -> Result<(), SubmissionError> {
        let settings = self.job_context.settings;
        let team = settings.team(&spec.team);
        let team = team.ok_or(SubmissionError::UnknownTeam)?;
        let types = suitable_types(self.machine_types, spec);
        if types.is_empty() {
            return Err(SubmissionError::NoMachineFits);
        }
        if !within_limit(team, spec) {
            return Err(SubmissionError::OverLimit);
        }
        if spec.kind == JobKind::Gang {
            check_gang_zones(spec, &types)?;
            let layout = Layout::in_parts(settings.value_bytes, settings.max_txn_changes);
            check_gang_record(spec, &types, &layout)?;
        }
        check_texts(spec, settings.value_bytes)
    }
}

/// Machine types that fit a task and that the job allows, in some zone.
fn suitable_types<'t>(types: &'t [MachineType], spec: &JobSpec) -> Vec<&'t MachineType> {
    let fits = |t: &&MachineType| {
        t.size.fits(spec.task_resources) > 0
            && t.zones.iter().any(|z| spec.allows(&t.name, z, false))
    };
    types.iter().filter(fits).collect()
}

/// Checks that the members of a gang may be placed all at once: at most half of a spread job may be in one zone.
fn check_gang_zones(spec: &JobSpec, types: &[&MachineType]) -> Result<(), SubmissionError> {
    if spec.max_tasks_per_zone() >= spec.tasks {
        return Ok(());
    }
    let zones: BTreeSet<&str> = types
        .iter()
        .flat_map(|t| t.zones.iter().filter(|z| spec.allows(&t.name, z, false)))
        .map(String::as_str)
        .collect();
    if spec.one_zone || zones.len() < 2 {
        return Err(SubmissionError::OneZoneOnly);
    }
    Ok(())
}

/// Checks that the record of a gang can name the machines that it needs at least. A gang is recorded as a whole.
fn check_gang_record(
    spec: &JobSpec,
    types: &[&MachineType],
    layout: &Layout,
) -> Result<(), SubmissionError> {
    let tasks = i64::from(spec.tasks);
    let most_on_a_machine = types
        .iter()
        .map(|t| t.size.fits(spec.task_resources))
        .max()
        .unwrap_or(1)
        .clamp(1, tasks.max(1));
    let needed = (tasks as usize).div_ceil(most_on_a_machine as usize);
    let most = max_gang_machines(spec, layout);
    if needed > most {
        return Err(SubmissionError::TooManyMachines { needed, most });
    }
    Ok(())
}

/// Checks that the store accepts the job's own record: its texts may take half of a value, and the other fields fit into
/// the rest. A long list of dependencies is stored apart from it.
fn check_texts(spec: &JobSpec, value_bytes: usize) -> Result<(), SubmissionError> {
    let encoded = |text: &String| serde_json::to_string(text).map_or(0, |text| text.len());
    let types = spec.types.iter().flatten();
    let texts = [&spec.class, &spec.team, &spec.image];
    let bytes: usize = texts
        .into_iter()
        .chain(&spec.zone)
        .chain(types)
        .map(encoded)
        .sum();
    let most = value_bytes / 2;
    if bytes > most {
        return Err(SubmissionError::TextsTooLong { bytes, most });
    }
    Ok(())
}
