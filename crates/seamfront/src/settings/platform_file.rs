//! The platform's TOML file as it is written; nothing is checked here but names and types.

use serde::Deserialize;

/// The whole file.
#[derive(Deserialize)]
pub(super) struct File {
    pub member: String,
    pub bind: String,
    pub mesh_addr: String,
    #[serde(default)]
    pub members: Vec<FileMember>,
    pub outside: FileOutside,
    pub params: FileParams,
}

/// Another member of the cluster.
#[derive(Deserialize)]
pub(super) struct FileMember {
    pub member: String,
    pub peer_addr: String,
}

/// Addresses of the services that the cluster depends on.
#[derive(Deserialize)]
pub(super) struct FileOutside {
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
    pub workers: FileWorkers,
    pub state: FileState,
    pub cloud: FileCloud,
    pub limits: FileLimits,
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

/// Times of the workers.
#[derive(Deserialize)]
pub(super) struct FileWorkers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Deserialize)]
pub(super) struct FileState {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: i64,
    /// Limits that the key-value store will have from some moment on, without notice.
    #[serde(default)]
    pub next: FileStateNext,
}

/// Limits that the key-value store will have; what is absent stays as it is.
#[derive(Default, Deserialize)]
pub(super) struct FileStateNext {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<i64>,
}

impl FileState {
    /// The smaller of the present and the coming limits: these hold at any time.
    pub fn at_any_time(&self) -> FileState {
        let smaller = |now: f64, next: Option<f64>| next.map_or(now, |next| next.min(now));
        FileState {
            rps: smaller(self.rps, self.next.rps),
            write_rps: smaller(self.write_rps, self.next.write_rps),
            value_kb: smaller(self.value_kb, self.next.value_kb),
            txn_ops: self
                .next
                .txn_ops
                .map_or(self.txn_ops, |next| next.min(self.txn_ops)),
            next: FileStateNext::default(),
        }
    }
}

/// Limits of the cloud.
#[derive(Deserialize)]
pub(super) struct FileCloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Deserialize)]
pub(super) struct FileLimits {
    pub fd_limit: i64,
}
