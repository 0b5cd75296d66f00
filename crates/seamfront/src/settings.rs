//! The platform's TOML and the operators' INI, each field checked and named when it is wrong.

use ini::Ini;
use seamfront_core::types::{Micros, Milestone, Objective, Resources, Settings, Team, Tuning};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;

/// What is wrong with the settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("{path}: {why}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        why: String,
    },
    /// A field is missing or makes no sense.
    #[error("{field}: {why}")]
    Invalid {
        /// The field.
        field: String,
        /// What it must be.
        why: String,
    },
}

fn invalid(field: impl Into<String>, why: impl Into<String>) -> SettingsError {
    SettingsError::Invalid {
        field: field.into(),
        why: why.into(),
    }
}

/// Everything a process needs: the core's settings and the addresses round it.
#[derive(Clone, Debug)]
pub struct Service {
    /// What the core is to know.
    pub core: Settings,
    /// Where users, workers and health checks connect.
    pub bind: SocketAddr,
    /// Where the other controllers connect.
    pub mesh: SocketAddr,
    /// By member; this node's own is its mesh address.
    pub peers: Vec<SocketAddr>,
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
    /// Sockets that the process may have open.
    pub sockets: usize,
}

impl Service {
    /// Turns duties on where they are wanted, and refuses settings with which they could not work.
    pub fn with_duties(mut self, wanted: bool) -> Result<Service, SettingsError> {
        self.core.tuning.duties |= wanted;
        if self.core.tuning.duties {
            let settings = seamfront_core::fleet_duties::lease_settings(&self.core);
            settings
                .validate()
                .map_err(|e| invalid(format!("duties: {}", e.field), e.reason))?;
        }
        Ok(self)
    }
}

#[derive(Deserialize)]
struct File {
    member: String,
    bind: String,
    mesh_addr: String,
    #[serde(default)]
    members: Vec<FileMember>,
    outside: FileOutside,
    params: FileParams,
}

#[derive(Deserialize)]
struct FileMember {
    member: String,
    peer_addr: String,
}

#[derive(Deserialize)]
struct FileOutside {
    cloud: String,
    state: String,
}

#[derive(Deserialize)]
struct FileParams {
    #[serde(default)]
    teams: Vec<FileTeam>,
    #[serde(default)]
    objectives: Vec<FileObjective>,
    workers: FileWorkers,
    state: FileState,
    cloud: FileCloud,
    limits: FileLimits,
}

#[derive(Deserialize)]
struct FileTeam {
    name: String,
    cpus: f64,
    cpus_max: f64,
    gpus: f64,
    gpus_max: f64,
}

#[derive(Deserialize)]
struct FileObjective {
    kind: String,
    #[serde(default)]
    class: Option<String>,
    #[serde(default)]
    within_s: Option<f64>,
}

#[derive(Deserialize)]
struct FileWorkers {
    report_s: f64,
    lease_s: f64,
    gang_wait_s: f64,
    gang_peer_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize)]
struct FileState {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: i64,
    /// Limits that the state service will have from some moment on, without notice.
    #[serde(default)]
    next: FileStateNext,
}

#[derive(Default, Deserialize)]
struct FileStateNext {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<i64>,
}

impl FileState {
    /// The smaller of what holds now and what will: these hold at any time.
    fn at_any_time(&self) -> FileState {
        let least = |now: f64, next: Option<f64>| next.map_or(now, |n| n.min(now));
        FileState {
            rps: least(self.rps, self.next.rps),
            write_rps: least(self.write_rps, self.next.write_rps),
            value_kb: least(self.value_kb, self.next.value_kb),
            txn_ops: self
                .next
                .txn_ops
                .map_or(self.txn_ops, |n| n.min(self.txn_ops)),
            next: FileStateNext::default(),
        }
    }
}

#[derive(Deserialize)]
struct FileCloud {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Deserialize)]
struct FileLimits {
    fd_limit: i64,
}

/// Reads the settings file, and the operators' own beside it.
pub fn load(path: &Path) -> Result<Service, SettingsError> {
    let unreadable = |p: &Path, why: String| SettingsError::Unreadable {
        path: p.display().to_string(),
        why,
    };
    let text = std::fs::read_to_string(path).map_err(|e| unreadable(path, e.to_string()))?;
    let ini_path = path.with_file_name("seamfront.ini");
    let ini = match std::fs::read_to_string(&ini_path) {
        Ok(t) => Some(t),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => None,
        Err(e) => return Err(unreadable(&ini_path, e.to_string())),
    };
    parse(&text, ini.as_deref())
}

/// Reads settings from their texts.
pub fn parse(toml_text: &str, ini_text: Option<&str>) -> Result<Service, SettingsError> {
    let file: File = toml::from_str(toml_text).map_err(|e| {
        // The parser's message names the field; one line is enough.
        invalid(
            "settings",
            e.to_string()
                .split('\n')
                .filter(|l| !l.trim().is_empty())
                .collect::<Vec<_>>()
                .join(" | "),
        )
    })?;
    let addr = |field: &str, s: &str| {
        s.parse::<SocketAddr>()
            .map_err(|_| invalid(field, format!("`{s}` is not IP:PORT")))
    };
    let secs = |field: &str, v: f64| {
        if v.is_finite() && v > 0.0 && v <= 1e6 {
            Ok(Micros::from_secs_decimal(v))
        } else {
            Err(invalid(field, "must be a positive number of seconds"))
        }
    };
    let count = |field: &str, v: f64| {
        if v.is_finite() && (1.0..=1e9).contains(&v) {
            Ok(v as i64)
        } else {
            Err(invalid(field, "must be at least 1"))
        }
    };
    if file.member.is_empty() {
        return Err(invalid("member", "is empty"));
    }
    let mesh = addr("mesh_addr", &file.mesh_addr)?;
    let mut members = vec![(file.member.clone(), mesh)];
    for m in &file.members {
        if members.iter().any(|x| x.0 == m.member) {
            return Err(invalid(
                "members.member",
                format!("`{}` is named twice", m.member),
            ));
        }
        members.push((m.member.clone(), addr("members.peer_addr", &m.peer_addr)?));
    }
    members.sort();
    let mut teams = Vec::new();
    for t in &file.params.teams {
        for (f, v) in [
            ("cpus", t.cpus),
            ("cpus_max", t.cpus_max),
            ("gpus", t.gpus),
            ("gpus_max", t.gpus_max),
        ] {
            if !v.is_finite() || !(0.0..=1e9).contains(&v) {
                return Err(invalid(
                    format!("params.teams.{f}"),
                    format!("of `{}` must not be negative", t.name),
                ));
            }
        }
        if teams.iter().any(|x: &Team| x.name == t.name) {
            return Err(invalid(
                "params.teams.name",
                format!("`{}` is named twice", t.name),
            ));
        }
        teams.push(Team {
            name: t.name.clone(),
            guarantee: Resources::offered(t.cpus, t.gpus, 0.0),
            limit: Resources::offered(t.cpus_max, t.gpus_max, 0.0),
        });
    }
    let p = &file.params;
    let state = p.state.at_any_time();
    let mut objectives = Vec::new();
    for o in &p.objectives {
        // Other kinds may come; what names no class or no time tells a scheduler nothing here.
        let milestone = match o.kind.as_str() {
            "wait" => Milestone::Started,
            "finished" => Milestone::Finished,
            _ => continue,
        };
        if let (Some(class), Some(within)) = (&o.class, o.within_s) {
            objectives.push(Objective {
                class: class.clone(),
                milestone,
                within: secs("params.objectives.within_s", within)?,
            });
        }
    }
    if !(4..=10_000).contains(&state.txn_ops) {
        return Err(invalid("params.state.txn_ops", "must be from 4 to 10000"));
    }
    if p.limits.fd_limit < 64 {
        return Err(invalid("params.limits.fd_limit", "must be at least 64"));
    }
    let core = Settings {
        me: members.iter().position(|m| m.0 == file.member).unwrap_or(0),
        members: members.iter().map(|m| m.0.clone()).collect(),
        teams,
        objectives,
        heartbeat_interval: secs("params.workers.report_s", p.workers.report_s)?,
        lease: secs("params.workers.lease_s", p.workers.lease_s)?,
        gang_wait: secs("params.workers.gang_wait_s", p.workers.gang_wait_s)?,
        gang_peer: secs("params.workers.gang_peer_s", p.workers.gang_peer_s)?,
        cancel: secs("params.workers.cancel_s", p.workers.cancel_s)?,
        state_rps: count("params.state.rps", state.rps)?,
        write_rps: count("params.state.write_rps", state.write_rps)?,
        value_bytes: (count("params.state.value_kb", state.value_kb * 1024.0)?) as usize,
        txn_ops: state.txn_ops as usize,
        cloud_rps: count("params.cloud.rps", p.cloud.rps)?,
        list_lag: secs("params.cloud.list_lag_s", p.cloud.list_lag_s)?,
        tuning: ini_text.map_or(Ok(Tuning::default()), tuning)?,
    };
    Ok(Service {
        bind: addr("bind", &file.bind)?,
        mesh,
        peers: members.iter().map(|m| m.1).collect(),
        cloud: addr("outside.cloud", &file.outside.cloud)?,
        state: addr("outside.state", &file.outside.state)?,
        sockets: p.limits.fd_limit as usize,
        core,
    })
}

/// The operators' own file. Unknown sections and keys are mistakes and refused.
fn tuning(text: &str) -> Result<Tuning, SettingsError> {
    let ini = Ini::load_from_str(text).map_err(|e| invalid("seamfront.ini", e.to_string()))?;
    let mut t = Tuning::default();
    for (section, props) in ini.iter() {
        for (key, value) in props.iter() {
            let field = format!("{}.{key}", section.unwrap_or(""));
            let bad = |why: &str| {
                invalid(
                    format!("seamfront.ini: {field}"),
                    format!("`{value}` {why}"),
                )
            };
            let secs = |least: f64, most: f64| match value.trim().parse::<f64>() {
                Ok(v) if (least..=most).contains(&v) => Ok(Micros::from_secs_decimal(v)),
                _ => Err(bad(&format!("must be seconds from {least} to {most}"))),
            };
            match field.as_str() {
                "claims.ttl_s" => t.claim_ttl = secs(1.0, 60.0)?,
                "shares.move_every_s" => t.move_every = secs(0.25, 600.0)?,
                "fleet.idle_keep_s" => t.idle_keep = secs(0.0, 86_400.0)?,
                "gangs.retry_limit" => {
                    t.retry_limit = match value.trim().parse() {
                        Ok(n @ 1..=1_000) => n,
                        _ => return Err(bad("must be a whole number from 1 to 1000")),
                    }
                }
                "duties.on" => {
                    t.duties = match value.trim() {
                        "yes" => true,
                        "no" => false,
                        _ => return Err(bad("must be yes or no")),
                    }
                }
                _ => return Err(bad("belongs to a setting that does not exist")),
            }
        }
    }
    Ok(t)
}
