//! Failure detection: machines to be returned to the cloud with whatever may be on them.

use super::{warn, BTreeMap, Cause, Context, Job, JobId, Micros, Shard};
use crate::machine::Machine;

/// Boot time of a machine whose type is not known.
const DEFAULT_BOOT_TIME: Micros = Micros::from_secs(60);
/// A machine that never sent a heartbeat has failed after four boot times and this margin.
const BOOT_MARGIN: Micros = Micros::from_secs(30);
/// Added to four heartbeat intervals before a silent machine has failed.
const SILENT_MARGIN: Micros = Micros::from_secs(4);
/// Added to one and a half heartbeat intervals for spot machines: a worker waits 4 s for the reply and 1 s to try
/// elsewhere.
const SPOT_SILENT_MARGIN: Micros = Micros::from_secs(5);
/// Failures of more machines at once than this, and of more than a third, point to our own network.
const MAX_FAILURES_AT_ONCE: usize = 2;

/// How long machines may be silent, or leave replies unacknowledged.
struct SilentLimits {
    ordinary: Micros,
    /// Spot machines are preempted without a notice far more often than networks fail: of them only one lost
    /// heartbeat is forgiven.
    spot: Micros,
    /// For how long a worker that has not shown our token may be content with a former holder's replies.
    former_holder: Micros,
}

impl SilentLimits {
    fn new(context: &Context) -> Self {
        let heartbeat_interval = context.settings.heartbeat_interval;
        let ordinary = heartbeat_interval.times(4) + SILENT_MARGIN;
        let spot = heartbeat_interval.times(3).over(2) + SPOT_SILENT_MARGIN;
        SilentLimits {
            ordinary,
            spot: ordinary.min(spot),
            former_holder: context.settings.verification_ttl().with_drift(),
        }
    }

    fn of(&self, m: &Machine) -> Micros {
        match (m.agent.last_acknowledged, m.record.spot) {
            (None, _) => self.ordinary + self.former_holder,
            (_, true) => self.spot,
            (_, false) => self.ordinary,
        }
    }
}

/// Failures of so many machines at once that they rather are failures of our own network: the leases decide.
struct MassFailures {
    silent: bool,
    /// Counted by itself: machines whose heartbeats arrive and that do not seem to receive our replies.
    unacknowledging: bool,
}

/// Why a machine is condemned.
struct Failure {
    gone: bool,
    preempted: bool,
    cancellation_due: bool,
    quarantined: bool,
}

impl Failure {
    fn any(&self) -> bool {
        self.gone || self.preempted || self.cancellation_due || self.quarantined
    }
}

impl Shard {
    /// Condemns machines that should be returned with whatever may be on them. Only their holder can tell, and only
    /// while its claim stands: the decommissioning is written under that claim.
    pub fn detect_failures(&mut self, context: &Context) {
        let limits = SilentLimits::new(context);
        let mass = self.mass_failures(context, &limits);
        for m in self.machines.values_mut() {
            let failure = failure_of(context, m, &self.jobs, &limits, &mass);
            let condemned = context.lease_valid && failure.any();
            if condemned && !m.lifecycle.condemned {
                log_condemned(context, m, &failure);
            }
            m.lifecycle.condemned = condemned;
        }
    }

    fn mass_failures(&self, context: &Context, limits: &SilentLimits) -> MassFailures {
        let (mut up, mut silent, mut unacknowledging) = (0, 0, 0);
        for m in self.machines.values().filter(|m| was_up(m)) {
            let limit = limits.of(m);
            up += 1;
            silent += usize::from(m.silent_for(context.now) > limit);
            unacknowledging += usize::from(m.agent.unacknowledged_for(context.now) > limit);
        }
        let many = |failed: usize| failed * 3 > up && failed > MAX_FAILURES_AT_ONCE;
        MassFailures {
            silent: many(silent),
            unacknowledging: many(unacknowledging),
        }
    }
}

/// Whether a machine was up: it has sent a heartbeat, or a former holder's records show tasks on it.
fn was_up(m: &Machine) -> bool {
    m.agent.last_heartbeat.is_some() || !m.tasks.is_empty()
}

fn failure_of(
    context: &Context,
    m: &Machine,
    jobs: &BTreeMap<JobId, Job>,
    limits: &SilentLimits,
    mass: &MassFailures,
) -> Failure {
    let silent = m.silent_for(context.now);
    let two_intervals = context.settings.heartbeat_interval.times(2);
    let deadline = m.lifecycle.preemption_deadline;
    // Where the settings leave the leases no time to end a cancelled task, a machine that sends no heartbeats while
    // it may hold one is deleted before the cancellation falls due.
    let leases_too_long = !context.settings.verification_ttl_fits();
    Failure {
        gone: gone(context, m, limits, mass),
        preempted: deadline.is_some_and(|t| t + two_intervals < context.now)
            && silent > two_intervals,
        cancellation_due: leases_too_long
            && silent > two_intervals
            && holds_cancelled_task(context, m, jobs),
        quarantined: m.health.quarantined() && m.empty(),
    }
}

/// Whether a machine has been silent, or has not acknowledged replies, for too long.
fn gone(context: &Context, m: &Machine, limits: &SilentLimits, mass: &MassFailures) -> bool {
    let silent = m.silent_for(context.now);
    if !was_up(m) {
        let machine_type = context.types.iter().find(|t| t.name == m.record.kind);
        let boot = machine_type.map_or(DEFAULT_BOOT_TIME, |t| t.boot);
        return silent > boot.times(4) + BOOT_MARGIN;
    }
    let limit = limits.of(m);
    let unacknowledged = m.agent.unacknowledged_for(context.now);
    (silent > limit && !mass.silent)
        || (unacknowledged > limit && !mass.unacknowledging)
        || silent > limits.former_holder + context.settings.lease.times(3).over(2)
}

/// Whether a task that may be on the machine was cancelled more than half of the allowed time ago.
fn holds_cancelled_task(context: &Context, m: &Machine, jobs: &BTreeMap<JobId, Job>) -> bool {
    m.tasks
        .iter()
        .filter_map(|task| jobs.get(&task.job)?.tasks.get(&task.index)?.stop)
        .any(|stop| {
            stop.cause == Cause::Cancelled
                && context.now - stop.since > context.settings.cancel.over(2)
        })
}

fn log_condemned(context: &Context, m: &Machine, failure: &Failure) {
    warn!(
        machine = %m.id,
        gone = failure.gone,
        preempted = failure.preempted,
        cancellation_due = failure.cancellation_due,
        quarantined = m.health.quarantined(),
        silent_ms = m.silent_for(context.now).0 / 1_000,
        unacknowledged_ms = m.agent.unacknowledged_for(context.now).0 / 1_000,
        "machine condemned"
    );
}
