//! The structure of the platform's TOML file. Only names and types are checked here, values in
//! `validate`.

use serde::Deserialize;

/// The whole file.
#[derive(Deserialize)]
pub(super) struct PlatformFile {
    pub member: String,
    pub bind: String,
    pub mesh_addr: String,
    #[serde(default)]
    pub members: Vec<FilePeer>,
    pub outside: FileExternalServices,
    pub params: FileParams,
}

/// Another controller.
#[derive(Deserialize)]
pub(super) struct FilePeer {
    pub member: String,
    pub peer_addr: String,
}

/// Addresses of the external services.
#[derive(Deserialize)]
pub(super) struct FileExternalServices {
    pub cloud: String,
    pub state: String,
}

/// Parameters of the cluster.
#[derive(Deserialize)]
pub(super) struct FileParams {
    #[serde(default)]
    pub teams: Vec<FileTeam>,
    #[serde(default)]
    pub objectives: Vec<FileObjective>,
    pub workers: FileAgentTimes,
    pub state: FileStoreLimits,
    pub cloud: FileCloudLimits,
    pub limits: FileProcessLimits,
}

/// A team with its guarantee and its limit.
#[derive(Deserialize)]
pub(super) struct FileTeam {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Deserialize)]
pub(super) struct FileObjective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Intervals and timeouts of the agents.
#[derive(Deserialize)]
pub(super) struct FileAgentTimes {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Deserialize)]
pub(super) struct FileStoreLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: i64,
    /// Limits that the key-value store will have from an unannounced time on.
    #[serde(default)]
    pub next: FileNextStoreLimits,
}

/// Future limits of the key-value store; an absent one does not change.
#[derive(Default, Deserialize)]
pub(super) struct FileNextStoreLimits {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<i64>,
}

impl FileStoreLimits {
    /// The smaller of each present and future limit, which is safe at any time.
    pub fn strictest(&self) -> FileStoreLimits {
        let smaller =
            |present: f64, next: Option<f64>| next.map_or(present, |next| next.min(present));
        FileStoreLimits {
            rps: smaller(self.rps, self.next.rps),
            write_rps: smaller(self.write_rps, self.next.write_rps),
            value_kb: smaller(self.value_kb, self.next.value_kb),
            txn_ops: self
                .next
                .txn_ops
                .map_or(self.txn_ops, |next| next.min(self.txn_ops)),
            next: FileNextStoreLimits::default(),
        }
    }
}

/// Limits of the cloud API.
#[derive(Deserialize)]
pub(super) struct FileCloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Deserialize)]
pub(super) struct FileProcessLimits {
    pub fd_limit: i64,
}
