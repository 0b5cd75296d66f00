//! Settings that the engine is started with: those of the platform and those of the operators.

use super::{Micros, Objective, Resources};

/// A team with its quota: a guarantee and a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Resources guaranteed to its unfinished jobs.
    pub guarantee: Resources,
    /// Maximum resources that its jobs may use; a resource that is zero here is not limited.
    pub limit: Resources,
}

/// The engine's configuration, from the platform's file and the operators' INI file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names of all members in order, this controller included.
    pub members: Vec<String>,
    /// Index of this controller in `members`.
    pub member_index: usize,
    /// All teams.
    pub teams: Vec<Team>,
    /// Service-level objectives of the classes of jobs.
    pub objectives: Vec<Objective>,
    /// Interval between an agent's heartbeats.
    pub heartbeat_interval: Micros,
    /// Duration of an agent's lease.
    pub lease: Micros,
    /// How long a task of a gang waits for the others.
    pub gang_wait: Micros,
    /// Time within which the tasks of a gang notice that one of them is missing.
    pub gang_loss_detection: Micros,
    /// Time from a job's cancellation after which none of its tasks may be left on any machine.
    pub cancellation_time: Micros,
    /// Requests per second that the key-value store accepts.
    pub store_rps: i64,
    /// Writes per second that the key-value store accepts.
    pub write_rps: i64,
    /// Maximum size of a value in the key-value store, in bytes.
    pub value_bytes: usize,
    /// Maximum number of changes in a transaction of the key-value store.
    pub max_txn_changes: usize,
    /// Requests per second that the cloud API accepts.
    pub cloud_rps: i64,
    /// How far the cloud's list of machines may lag behind.
    pub list_lag: Micros,
    /// The operators' settings.
    pub tuning: Tuning,
}

/// The operators' settings, from their INI file.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Duration of the lease of a claim.
    pub claim_ttl: Micros,
    /// Minimum interval between requests to shards to release machines.
    pub release_request_interval: Micros,
    /// How long an idle machine is kept.
    pub idle_timeout: Micros,
    /// Attempts of a gang's member after which the gang backs off.
    pub gang_retry_limit: u32,
    /// Whether duties with leases of their own are enabled.
    pub duties: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            claim_ttl: Micros::from_millis(4_000),
            release_request_interval: Micros::from_secs(2),
            idle_timeout: Micros::from_secs(40),
            gang_retry_limit: 3,
            duties: false,
        }
    }
}

impl Settings {
    /// How long a holder may act after one verification of its claim (T in docs/design.md). A cancellation of which the
    /// holder does not learn must still take effect in time, by the expiry of the agents' leases.
    pub fn verification_ttl(&self) -> Micros {
        let margin = Micros::from_millis(3_500);
        let ttl = self.cancellation_time - self.lease.with_drift() - margin;
        ttl.max(Micros::from_secs(2))
    }

    /// Whether [`Settings::cancellation_time`] leaves room for the agents' lease, the margin and the minimum of
    /// [`Settings::verification_ttl`].
    pub fn verification_ttl_fits(&self) -> bool {
        self.cancellation_time - self.lease.with_drift() >= Micros::from_millis(5_500)
    }

    /// Minimum interval between two requests of one controller to the store for the same purpose, so that all
    /// controllers together use a fifth of the store's request rate. It is never longer than 200 ms.
    pub fn min_request_interval(&self) -> Micros {
        let every = Micros(5_000_000 * self.members.len() as i64 / self.store_rps.max(1));
        every.min(Micros::from_millis(200))
    }

    /// The shard of a team. Teams are assigned to shards in turn, the largest guarantee first, so that shards are of
    /// similar size.
    pub fn shard_of(&self, team: &str) -> Option<usize> {
        let mut order: Vec<&Team> = self.teams.iter().collect();
        let size = |t: &Team| t.guarantee.cpus + 8 * t.guarantee.gpus;
        order.sort_by(|a, b| size(b).cmp(&size(a)).then(a.name.cmp(&b.name)));
        order
            .iter()
            .position(|t| t.name == team)
            .map(|i| i % self.members.len())
    }

    /// The team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }
}
