//! Checks the platform's settings and translates them to the core's. The error names the first invalid
//! field in the order of the checks.

use super::platform_file::{FileObjective, FileParams, FileStoreLimits, FileTeam, PlatformFile};
use super::{invalid, ControllerSettings, SettingsError};
use seamfront_core::types::{Micros, Milestone, Objective, Resources, Settings, Team, Tuning};
use std::net::SocketAddr;

/// Longest time in the platform's file.
const SECONDS_MAX: f64 = 1e6;
/// Largest rate, size or amount in the platform's file.
const COUNT_MAX: f64 = 1e9;
const BYTES_PER_KB: f64 = 1024.0;
/// Bounds of the number of changes in a transaction of the key-value store.
const TXN_OPS_MIN: i64 = 4;
const TXN_OPS_MAX: i64 = 10_000;
/// Fewest file descriptors that a controller can run with.
const FD_LIMIT_MIN: i64 = 64;

/// A member and the address at which the others reach it. Members are ordered by name, so that
/// their order is the same at all of them.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Member {
    name: String,
    peer_address: SocketAddr,
}

/// The settings of a controller, from the platform's file and the operators' settings that `tuning`
/// reads.
pub(super) fn controller_settings(
    file: &PlatformFile,
    tuning: impl FnOnce() -> Result<Tuning, SettingsError>,
) -> Result<ControllerSettings, SettingsError> {
    if file.member.is_empty() {
        return Err(invalid("member", "must not be empty"));
    }
    let peer_address = address("mesh_addr", &file.mesh_addr)?;
    let members = members(file, peer_address)?;
    let core = core_settings(file, &members, tuning)?;
    Ok(ControllerSettings {
        bind: address("bind", &file.bind)?,
        mesh: peer_address,
        peers: members.iter().map(|member| member.peer_address).collect(),
        cloud: address("outside.cloud", &file.outside.cloud)?,
        store: address("outside.state", &file.outside.state)?,
        sockets: file.params.limits.fd_limit as usize,
        core,
    })
}

fn members(file: &PlatformFile, peer_address: SocketAddr) -> Result<Vec<Member>, SettingsError> {
    let mut members = vec![Member {
        name: file.member.clone(),
        peer_address,
    }];
    for other in &file.members {
        if members.iter().any(|member| member.name == other.member) {
            return Err(invalid(
                "members.member",
                format!("`{}` is named twice", other.member),
            ));
        }
        members.push(Member {
            name: other.member.clone(),
            peer_address: address("members.peer_addr", &other.peer_addr)?,
        });
    }
    members.sort();
    Ok(members)
}

fn core_settings(
    file: &PlatformFile,
    members: &[Member],
    tuning: impl FnOnce() -> Result<Tuning, SettingsError>,
) -> Result<Settings, SettingsError> {
    let params = &file.params;
    let teams = teams(&params.teams)?;
    let objectives = objectives(&params.objectives)?;
    let store = params.state.strictest();
    check_limits(params, &store)?;
    let workers = &params.workers;
    let is_self = |member: &Member| member.name == file.member;
    Ok(Settings {
        member_index: members.iter().position(is_self).unwrap_or(0),
        members: members.iter().map(|member| member.name.clone()).collect(),
        teams,
        objectives,
        heartbeat_interval: seconds("params.workers.report_s", workers.report_s)?,
        lease: seconds("params.workers.lease_s", workers.lease_s)?,
        gang_wait: seconds("params.workers.gang_wait_s", workers.gang_wait_s)?,
        gang_loss_detection: seconds("params.workers.gang_peer_s", workers.gang_peer_s)?,
        cancellation_time: seconds("params.workers.cancel_s", workers.cancel_s)?,
        store_rps: count("params.state.rps", store.rps, "requests a second")?,
        write_rps: count("params.state.write_rps", store.write_rps, "writes a second")?,
        value_bytes: count(
            "params.state.value_kb",
            store.value_kb * BYTES_PER_KB,
            "bytes",
        )? as usize,
        max_txn_changes: store.txn_ops as usize,
        cloud_rps: count("params.cloud.rps", params.cloud.rps, "requests a second")?,
        list_lag: seconds("params.cloud.list_lag_s", params.cloud.list_lag_s)?,
        tuning: tuning()?,
    })
}

fn teams(entries: &[FileTeam]) -> Result<Vec<Team>, SettingsError> {
    let mut teams: Vec<Team> = Vec::new();
    for team in entries {
        check_team_amounts(team)?;
        if teams.iter().any(|known| known.name == team.name) {
            return Err(invalid(
                "params.teams.name",
                format!("`{}` is named twice", team.name),
            ));
        }
        teams.push(Team {
            name: team.name.clone(),
            guarantee: Resources::rounded_down(team.cpus, team.gpus, 0.0),
            limit: Resources::rounded_down(team.cpus_max, team.gpus_max, 0.0),
        });
    }
    Ok(teams)
}

fn check_team_amounts(team: &FileTeam) -> Result<(), SettingsError> {
    for (field, amount) in [
        ("cpus", team.cpus),
        ("cpus_max", team.cpus_max),
        ("gpus", team.gpus),
        ("gpus_max", team.gpus_max),
    ] {
        if !amount.is_finite() || !(0.0..=COUNT_MAX).contains(&amount) {
            return Err(invalid(
                format!("params.teams.{field}"),
                format!("of `{}` must be a number from 0 to {COUNT_MAX}", team.name),
            ));
        }
    }
    Ok(())
}

fn objectives(entries: &[FileObjective]) -> Result<Vec<Objective>, SettingsError> {
    let mut objectives = Vec::new();
    for objective in entries {
        // Unknown kinds are ignored, since the platform may add some; so are objectives without a class
        // or a time, which mean nothing to a scheduler.
        let milestone = match objective.kind.as_str() {
            "wait" => Milestone::Started,
            "finished" => Milestone::Finished,
            _ => continue,
        };
        if let (Some(class), Some(within)) = (&objective.class, objective.within_s) {
            objectives.push(Objective {
                class: class.clone(),
                milestone,
                within: seconds("params.objectives.within_s", within)?,
            });
        }
    }
    Ok(objectives)
}

fn check_limits(params: &FileParams, store: &FileStoreLimits) -> Result<(), SettingsError> {
    if !(TXN_OPS_MIN..=TXN_OPS_MAX).contains(&store.txn_ops) {
        return Err(invalid(
            "params.state.txn_ops",
            format!("must be from {TXN_OPS_MIN} to {TXN_OPS_MAX}"),
        ));
    }
    if params.limits.fd_limit < FD_LIMIT_MIN {
        return Err(invalid(
            "params.limits.fd_limit",
            format!("must be at least {FD_LIMIT_MIN}"),
        ));
    }
    Ok(())
}

fn address(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse::<SocketAddr>()
        .map_err(|_| invalid(field, format!("`{text}` does not have the form IP:PORT")))
}

fn seconds(field: &str, value: f64) -> Result<Micros, SettingsError> {
    if value.is_finite() && value > 0.0 && value <= SECONDS_MAX {
        Ok(Micros::from_secs_decimal(value))
    } else {
        Err(invalid(
            field,
            format!("must be a number of seconds above 0 and up to {SECONDS_MAX}"),
        ))
    }
}

/// Checks a number of `unit`, which the error names, and rounds it down.
fn count(field: &str, value: f64, unit: &str) -> Result<i64, SettingsError> {
    if value.is_finite() && (1.0..=COUNT_MAX).contains(&value) {
        Ok(value as i64)
    } else {
        Err(invalid(
            field,
            format!("must be from 1 to {COUNT_MAX} {unit}"),
        ))
    }
}
