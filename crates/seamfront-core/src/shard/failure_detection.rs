//! Failure detection: decides which machines are condemned, that is, to be terminated whatever may run on them.

use super::{warn, BTreeMap, Context, Job, JobId, Micros, Shard, StopReason};
use crate::machine::Machine;

/// Boot time assumed for a machine whose type is not known.
const DEFAULT_BOOT_TIME: Micros = Micros::from_secs(60);
/// A machine that never sent a heartbeat counts as failed after four boot times and this margin.
const BOOT_MARGIN: Micros = Micros::from_secs(30);
/// A silent machine counts as failed after four heartbeat intervals and this margin.
const SILENCE_MARGIN: Micros = Micros::from_secs(4);
/// A silent spot machine counts as failed after one and a half heartbeat intervals and this margin: an agent waits 4 s
/// for a reply and takes 1 s to try another controller.
const SPOT_SILENCE_MARGIN: Micros = Micros::from_secs(5);
/// If more machines than this, and more than a third of those that were up, fail at once, a fault of this controller's
/// own network is more likely.
const MAX_FAILURES_AT_ONCE: usize = 2;

/// How long machines may be silent, or leave replies unacknowledged, before they count as failed.
struct SilenceLimits {
    /// Limit for machines that are not spot machines.
    on_demand: Micros,
    /// Spot machines are preempted without notice far more often than networks fail, so only one lost heartbeat is
    /// tolerated.
    spot: Micros,
    /// How long a former holder may still reply to an agent that has not shown our token.
    former_holder_ttl: Micros,
}

impl SilenceLimits {
    fn new(context: &Context) -> Self {
        let heartbeat_interval = context.settings.heartbeat_interval;
        let on_demand = heartbeat_interval.times(4) + SILENCE_MARGIN;
        let spot = heartbeat_interval.times(3).divided_by(2) + SPOT_SILENCE_MARGIN;
        SilenceLimits {
            on_demand,
            spot: on_demand.min(spot),
            former_holder_ttl: context.settings.verification_ttl().with_drift(),
        }
    }

    fn limit_for(&self, m: &Machine) -> Micros {
        match (m.agent.last_acknowledged, m.record.spot) {
            (None, _) => self.on_demand + self.former_holder_ttl,
            (_, true) => self.spot,
            (_, false) => self.on_demand,
        }
    }
}

/// Whether so many machines fail at once that a fault of this controller's own network is more likely. They then count
/// as failed only once their agents' leases must have expired.
struct MassFailures {
    /// Many machines send no heartbeats.
    silent: bool,
    /// Many machines send heartbeats but do not seem to receive our replies; counted separately.
    unacknowledging: bool,
}

/// The reasons to condemn a machine.
struct Failure {
    unreachable: bool,
    preempted: bool,
    cancellation_due: bool,
    quarantined: bool,
}

impl Failure {
    fn any(&self) -> bool {
        self.unreachable || self.preempted || self.cancellation_due || self.quarantined
    }
}

impl Shard {
    /// Condemns machines that should be terminated whatever may run on them, and clears the mark where no reason is
    /// left. Only the shard's holder can decide this, and only while its claim is valid: the decommissioning is written
    /// under that claim.
    pub fn detect_failures(&mut self, context: &Context) {
        let limits = SilenceLimits::new(context);
        let mass = self.mass_failures(context, &limits);
        for m in self.machines.values_mut() {
            let failure = failure_of(context, m, &self.jobs, &limits, &mass);
            let condemned = context.claim_verified && failure.any();
            if condemned && !m.lifecycle.condemned {
                log_condemned(context, m, &failure);
            }
            m.lifecycle.condemned = condemned;
        }
    }

    fn mass_failures(&self, context: &Context, limits: &SilenceLimits) -> MassFailures {
        let (mut up, mut silent, mut unacknowledging) = (0, 0, 0);
        for m in self.machines.values().filter(|m| was_up(m)) {
            let limit = limits.limit_for(m);
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
    limits: &SilenceLimits,
    mass: &MassFailures,
) -> Failure {
    let silent = m.silent_for(context.now);
    let two_intervals = context.settings.heartbeat_interval.times(2);
    let deadline = m.lifecycle.preemption_deadline;
    // If the settings leave too little time for cancelled tasks to end by lease expiry, a silent machine that may hold
    // one is condemned before the cancellation is due.
    let leases_too_long = !context.settings.verification_ttl_fits();
    Failure {
        unreachable: unreachable(context, m, limits, mass),
        preempted: deadline.is_some_and(|t| t + two_intervals < context.now)
            && silent > two_intervals,
        cancellation_due: leases_too_long
            && silent > two_intervals
            && holds_cancelled_task(context, m, jobs),
        quarantined: m.health.quarantined() && m.empty(),
    }
}

/// Whether a machine has been silent, or has left replies unacknowledged, for too long.
fn unreachable(
    context: &Context,
    m: &Machine,
    limits: &SilenceLimits,
    mass: &MassFailures,
) -> bool {
    let silent = m.silent_for(context.now);
    if !was_up(m) {
        let machine_type = context
            .types
            .iter()
            .find(|t| t.name == m.record.machine_type);
        let boot = machine_type.map_or(DEFAULT_BOOT_TIME, |t| t.boot);
        return silent > boot.times(4) + BOOT_MARGIN;
    }
    let limit = limits.limit_for(m);
    let unacknowledged = m.agent.unacknowledged_for(context.now);
    (silent > limit && !mass.silent)
        || (unacknowledged > limit && !mass.unacknowledging)
        || silent > limits.former_holder_ttl + context.settings.lease.times(3).divided_by(2)
}

/// Whether a task that may be on the machine was cancelled so long ago that half of the time allowed for a cancellation
/// has passed.
fn holds_cancelled_task(context: &Context, m: &Machine, jobs: &BTreeMap<JobId, Job>) -> bool {
    m.tasks
        .iter()
        .filter_map(|task| jobs.get(&task.job)?.tasks.get(&task.index)?.stop)
        .any(|stop| {
            stop.cause == StopReason::Cancelled
                && context.now - stop.since > context.settings.cancellation_time.divided_by(2)
        })
}

fn log_condemned(context: &Context, m: &Machine, failure: &Failure) {
    warn!(
        machine = %m.id,
        unreachable = failure.unreachable,
        preempted = failure.preempted,
        cancellation_due = failure.cancellation_due,
        quarantined = m.health.quarantined(),
        silent_ms = m.silent_for(context.now).0 / 1_000,
        unacknowledged_ms = m.agent.unacknowledged_for(context.now).0 / 1_000,
        "machine condemned"
    );
}
