//! Checks of the platform's settings. The first field that is wrong, in the order of the checks, is
//! the one that the error names.

use super::platform_file::{File, FileObjective, FileParams, FileState, FileTeam};
use super::{invalid, Service, SettingsError};
use seamfront_core::types::{Micros, Milestone, Objective, Resources, Settings, Team, Tuning};
use std::net::SocketAddr;

const SECONDS_MAX: f64 = 1e6;
const COUNT_MAX: f64 = 1e9;
const BYTES_PER_KB: f64 = 1024.0;
const TXN_OPS_MIN: i64 = 4;
const TXN_OPS_MAX: i64 = 10_000;
/// File descriptors that a process needs at the least.
const FD_LIMIT_MIN: i64 = 64;

/// A member of the cluster and where the others reach it; members are ordered by name.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Member {
    name: String,
    peer_address: SocketAddr,
}

/// The settings of a process, from the platform's file and the tuning that `tuning` reads.
pub(super) fn service(
    file: &File,
    tuning: impl FnOnce() -> Result<Tuning, SettingsError>,
) -> Result<Service, SettingsError> {
    if file.member.is_empty() {
        return Err(invalid("member", "is empty"));
    }
    let peer_address = address("mesh_addr", &file.mesh_addr)?;
    let members = members(file, peer_address)?;
    let core = core_settings(file, &members, tuning)?;
    Ok(Service {
        bind: address("bind", &file.bind)?,
        mesh: peer_address,
        peers: members.iter().map(|member| member.peer_address).collect(),
        cloud: address("outside.cloud", &file.outside.cloud)?,
        state: address("outside.state", &file.outside.state)?,
        sockets: file.params.limits.fd_limit as usize,
        core,
    })
}

fn members(file: &File, peer_address: SocketAddr) -> Result<Vec<Member>, SettingsError> {
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
    file: &File,
    members: &[Member],
    tuning: impl FnOnce() -> Result<Tuning, SettingsError>,
) -> Result<Settings, SettingsError> {
    let params = &file.params;
    let teams = teams(&params.teams)?;
    let objectives = objectives(&params.objectives)?;
    let state = params.state.at_any_time();
    check_limits(params, &state)?;
    let workers = &params.workers;
    let own_name = |member: &Member| member.name == file.member;
    Ok(Settings {
        member_index: members.iter().position(own_name).unwrap_or(0),
        members: members.iter().map(|member| member.name.clone()).collect(),
        teams,
        objectives,
        heartbeat_interval: seconds("params.workers.report_s", workers.report_s)?,
        lease: seconds("params.workers.lease_s", workers.lease_s)?,
        gang_wait: seconds("params.workers.gang_wait_s", workers.gang_wait_s)?,
        gang_loss_detection: seconds("params.workers.gang_peer_s", workers.gang_peer_s)?,
        cancellation_time: seconds("params.workers.cancel_s", workers.cancel_s)?,
        store_rps: count("params.state.rps", state.rps)?,
        write_rps: count("params.state.write_rps", state.write_rps)?,
        value_bytes: count("params.state.value_kb", state.value_kb * BYTES_PER_KB)? as usize,
        max_txn_changes: state.txn_ops as usize,
        cloud_rps: count("params.cloud.rps", params.cloud.rps)?,
        list_lag: seconds("params.cloud.list_lag_s", params.cloud.list_lag_s)?,
        tuning: tuning()?,
    })
}

fn teams(wire: &[FileTeam]) -> Result<Vec<Team>, SettingsError> {
    let mut teams: Vec<Team> = Vec::new();
    for team in wire {
        check_amounts(team)?;
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

fn check_amounts(team: &FileTeam) -> Result<(), SettingsError> {
    for (field, amount) in [
        ("cpus", team.cpus),
        ("cpus_max", team.cpus_max),
        ("gpus", team.gpus),
        ("gpus_max", team.gpus_max),
    ] {
        if !amount.is_finite() || !(0.0..=COUNT_MAX).contains(&amount) {
            return Err(invalid(
                format!("params.teams.{field}"),
                format!("of `{}` must not be negative", team.name),
            ));
        }
    }
    Ok(())
}

fn objectives(wire: &[FileObjective]) -> Result<Vec<Objective>, SettingsError> {
    let mut objectives = Vec::new();
    for objective in wire {
        // Other kinds may come; one without a class or a time has no meaning to a scheduler.
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

fn check_limits(params: &FileParams, state: &FileState) -> Result<(), SettingsError> {
    if !(TXN_OPS_MIN..=TXN_OPS_MAX).contains(&state.txn_ops) {
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
        .map_err(|_| invalid(field, format!("`{text}` is not IP:PORT")))
}

fn seconds(field: &str, value: f64) -> Result<Micros, SettingsError> {
    if value.is_finite() && value > 0.0 && value <= SECONDS_MAX {
        Ok(Micros::from_secs_decimal(value))
    } else {
        Err(invalid(field, "must be a positive number of seconds"))
    }
}

fn count(field: &str, value: f64) -> Result<i64, SettingsError> {
    if value.is_finite() && (1.0..=COUNT_MAX).contains(&value) {
        Ok(value as i64)
    } else {
        Err(invalid(field, "must be at least 1"))
    }
}
