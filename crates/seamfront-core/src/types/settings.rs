//! Settings that the engine is started with.

use super::{Micros, Objective, Resources};

/// A team with its guarantee and its limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Resources that its unfinished jobs are guaranteed.
    pub guarantee: Resources,
    /// Most that its jobs may use; zero in a field means no limit there.
    pub limit: Resources,
}

/// The engine's configuration, from the platform's file and the INI.
#[derive(Clone, Debug)]
pub struct Settings {
    /// All member names in order, this one included.
    pub members: Vec<String>,
    /// Index of this controller in `members`.
    pub me: usize,
    /// All teams.
    pub teams: Vec<Team>,
    /// Service-level objectives of classes of jobs.
    pub objectives: Vec<Objective>,
    /// Time between a worker's heartbeats.
    pub heartbeat_interval: Micros,
    /// A worker's lease.
    pub lease: Micros,
    /// How long a gang's member waits for the others.
    pub gang_wait: Micros,
    /// Time in which gang members notice that one is missing.
    pub gang_peer: Micros,
    /// Time until nothing of a cancelled job may be left.
    pub cancel: Micros,
    /// Requests a second that the key-value store takes.
    pub state_rps: i64,
    /// Writes a second that it takes.
    pub write_rps: i64,
    /// Bytes that it takes in a value.
    pub value_bytes: usize,
    /// Changes that it takes in a transaction.
    pub txn_ops: usize,
    /// Requests a second that the cloud takes.
    pub cloud_rps: i64,
    /// How far the cloud's list lags behind.
    pub list_lag: Micros,
    /// Operators' own settings.
    pub tuning: Tuning,
}

/// The operators' own settings (INI).
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Lease of a claim.
    pub claim_ttl: Micros,
    /// Time between moves of machines from one shard to another.
    pub move_every: Micros,
    /// How long an idle machine is kept.
    pub idle_keep: Micros,
    /// Attempts after which a gang is parked.
    pub retry_limit: u32,
    /// Whether duties with leases of their own are on.
    pub duties: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            claim_ttl: Micros::from_millis(4_000),
            move_every: Micros::from_secs(2),
            idle_keep: Micros::from_secs(40),
            retry_limit: 3,
            duties: false,
        }
    }
}

impl Settings {
    /// How long a holder may act on one verification of its claim (T in docs/design.md): a cancellation that did not
    /// reach it must still be carried out in time, by expiry of the workers' leases.
    pub fn verification_ttl(&self) -> Micros {
        let margin = Micros::from_millis(3_500);
        let ttl = self.cancel - self.lease.with_drift() - margin;
        ttl.max(Micros::from_secs(2))
    }

    /// Whether the settings leave enough time for [`Settings::verification_ttl`].
    pub fn verification_ttl_fits(&self) -> bool {
        self.cancel - self.lease.with_drift() >= Micros::from_millis(5_500)
    }

    /// Least time between two requests of one controller to the store for the same purpose, so that all controllers
    /// together take a fifth of the store's rate.
    pub fn ask_every(&self) -> Micros {
        let every = Micros(5_000_000 * self.members.len() as i64 / self.state_rps.max(1));
        every.min(Micros::from_millis(200))
    }

    /// The shard of a team: teams are assigned to shards in turn, the largest first, so that shards are of like size.
    pub fn shard_of(&self, team: &str) -> Option<usize> {
        let mut order: Vec<&Team> = self.teams.iter().collect();
        let size = |t: &Team| t.guarantee.cpus + 8 * t.guarantee.gpus;
        order.sort_by(|a, b| size(b).cmp(&size(a)).then(a.name.cmp(&b.name)));
        order
            .iter()
            .position(|t| t.name == team)
            .map(|i| i % self.members.len())
    }

    /// A team by its name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }
}
