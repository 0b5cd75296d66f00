//! Commands by which operators see who holds which duty, and move one by hand. Everything is read from the key-value
//! store, so they work beside controllers that run, and without any.

use crate::http::Client;
use crate::settings::Service;
use crate::store_client;
use seamfront_core::fleet_duties::{lease_settings, LEADER_CLAIM};
use seamfront_core::port::{Entry, StoreReply, StoreRequest, Write};
use seamfront_lease::keys;
use seamfront_lease::record::{self, ClaimRecord, LogRecord, MemberRecord, MoveRecord, FORMAT};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use thiserror::Error;

/// Why a command could not be carried out.
#[derive(Debug, Error)]
pub enum DutyCommandError {
    /// The key-value store could not be read.
    #[error("state service: not read: {0:?}")]
    NotRead(StoreReply),
    /// The key-value store did not take a write.
    #[error("state service: not written: {0:?}")]
    NotWritten(StoreReply),
    /// A duty cannot be moved to someone who is no member.
    #[error("move-duty: {0:?} is no member")]
    UnknownMember(String),
    /// There is no such duty.
    #[error("move-duty: {duty:?} is no duty; there is {}", known.join(", "))]
    UnknownDuty {
        /// What was asked for.
        duty: String,
        /// The duties that there are.
        known: Vec<String>,
    },
    /// A member with duties on is up, or holds a duty.
    #[error("end-duties: {key} is there: end all controllers that have duties on first")]
    InUse {
        /// The key in the store that shows it.
        key: String,
    },
}

/// A request to move a duty, as it is given on the command line: `DUTY=MEMBER`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveRequest {
    /// The duty.
    pub duty: String,
    /// Who is to hold it.
    pub to: String,
}

/// The argument of a move is not `DUTY=MEMBER`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("must be DUTY=MEMBER")]
pub struct MalformedMoveRequest;

impl std::str::FromStr for MoveRequest {
    type Err = MalformedMoveRequest;

    fn from_str(text: &str) -> Result<MoveRequest, MalformedMoveRequest> {
        let (duty, to) = text.split_once('=').ok_or(MalformedMoveRequest)?;
        Ok(MoveRequest {
            duty: duty.to_owned(),
            to: to.to_owned(),
        })
    }
}

/// Describes who holds which duty, who is up, and which operations are open.
pub fn show(settings: &Service) -> Result<String, DutyCommandError> {
    async_io::block_on(async {
        let client = Client::default();
        let control = list(&client, settings, keys::CONTROL_PREFIX).await?;
        let logs = list(&client, settings, keys::LOG_PREFIX).await?;
        Ok(describe(&control, &logs))
    })
}

/// Asks the holder of a duty to hand it over.
pub fn request_move(settings: &Service, request: &MoveRequest) -> Result<(), DutyCommandError> {
    if !settings.core.members.contains(&request.to) {
        return Err(DutyCommandError::UnknownMember(request.to.clone()));
    }
    let lease = lease_settings(&settings.core);
    if !lease.duties.contains(&request.duty) {
        return Err(DutyCommandError::UnknownDuty {
            duty: request.duty.clone(),
            known: lease.duties,
        });
    }
    // Duties of an affinity group always have the same holder.
    let group = if lease.affinity_group.contains(&request.duty) {
        lease.affinity_group
    } else {
        vec![request.duty.clone()]
    };
    let value = record::write(&MoveRecord {
        format: FORMAT,
        to: request.to.clone(),
    });
    let put = |duty: &String| Write::Put {
        key: keys::move_request(duty),
        value: value.clone(),
        lease: None,
    };
    let writes = group.iter().map(put).collect();
    async_io::block_on(commit(&Client::default(), settings, Vec::new(), writes))
}

/// The way back: removes the switch and what stands in the leader's claim, so that controllers with duties off have a
/// leader again. Refused while a member with duties on is up or holds a duty; the same is a condition of the removal.
pub fn end(settings: &Service) -> Result<(), DutyCommandError> {
    async_io::block_on(async {
        let client = Client::default();
        let control = list(&client, settings, keys::CONTROL_PREFIX).await?;
        check_unused(&control)?;
        let leader = leader_claim(&client, settings).await?;
        let Some(switch) = control.iter().find(|entry| entry.key == keys::SWITCH) else {
            return Ok(());
        };
        let conditions = end_conditions(settings, switch, leader.as_ref());
        let writes = end_writes(&control, leader);
        commit(&client, settings, conditions, writes).await
    })
}

/// Refuses while a member with duties on is up or holds a duty.
fn check_unused(control: &[Entry]) -> Result<(), DutyCommandError> {
    let in_use = |entry: &&Entry| {
        entry.key.starts_with(keys::MEMBER_PREFIX) || entry.key.starts_with(keys::CLAIM_PREFIX)
    };
    match control.iter().find(in_use) {
        Some(entry) => Err(DutyCommandError::InUse {
            key: entry.key.clone(),
        }),
        None => Ok(()),
    }
}

async fn leader_claim(
    client: &Client,
    settings: &Service,
) -> Result<Option<Entry>, DutyCommandError> {
    let request = StoreRequest::Get {
        key: LEADER_CLAIM.to_owned(),
    };
    match store_client::call(client, settings.state, &request).await {
        StoreReply::Entry(entry) => Ok(Some(entry)),
        StoreReply::Missing => Ok(None),
        other => Err(DutyCommandError::NotRead(other)),
    }
}

/// Nothing has changed since it was read: the switch, the leader's claim, no claim of a duty and no
/// member.
fn end_conditions(
    settings: &Service,
    switch: &Entry,
    leader: Option<&Entry>,
) -> Vec<(String, u64)> {
    let lease = lease_settings(&settings.core);
    let mut conditions = vec![(keys::SWITCH.to_owned(), switch.version)];
    conditions.extend(lease.duties.iter().map(|duty| (keys::claim(duty), 0)));
    conditions.extend(lease.members.iter().map(|member| (keys::member(member), 0)));
    conditions.extend(leader.map(|leader| (leader.key.clone(), leader.version)));
    conditions
}

/// Removes the switch, the leader's claim, and what members said of their versions: the next switch
/// waits until all have started with duties on again.
fn end_writes(control: &[Entry], leader: Option<Entry>) -> Vec<Write> {
    let mut writes = vec![Write::Delete {
        key: keys::SWITCH.to_owned(),
    }];
    writes.extend(leader.map(|leader| Write::Delete { key: leader.key }));
    let versions = control
        .iter()
        .filter(|entry| entry.key.starts_with(keys::VERSION_PREFIX));
    writes.extend(versions.map(|entry| Write::Delete {
        key: entry.key.clone(),
    }));
    writes
}

async fn commit(
    client: &Client,
    settings: &Service,
    conditions: Vec<(String, u64)>,
    writes: Vec<Write>,
) -> Result<(), DutyCommandError> {
    let request = StoreRequest::CompareAndSwap { conditions, writes };
    match store_client::call(client, settings.state, &request).await {
        StoreReply::Committed { .. } => Ok(()),
        other => Err(DutyCommandError::NotWritten(other)),
    }
}

async fn list(
    client: &Client,
    settings: &Service,
    prefix: &str,
) -> Result<Vec<Entry>, DutyCommandError> {
    let mut all = Vec::new();
    loop {
        let after = all.last().map(|entry: &Entry| entry.key.clone());
        let request = StoreRequest::List {
            prefix: prefix.to_owned(),
            after,
        };
        match store_client::call(client, settings.state, &request).await {
            StoreReply::Page { entries, more, .. } => {
                all.extend(entries);
                if !more {
                    return Ok(all);
                }
            }
            other => return Err(DutyCommandError::NotRead(other)),
        }
    }
}

/// A line for each duty, member and request. What can't be read is said to be so.
fn describe(control: &[Entry], logs: &[Entry]) -> String {
    let logs: BTreeMap<&str, &Entry> = logs
        .iter()
        .filter_map(|entry| Some((entry.key.strip_prefix(keys::LOG_PREFIX)?, entry)))
        .collect();
    let mut text = String::new();
    for entry in control {
        let line = if let Some(duty) = entry.key.strip_prefix(keys::CLAIM_PREFIX) {
            describe_claim(duty, entry, logs.get(duty).copied())
        } else if let Some(member) = entry.key.strip_prefix(keys::MEMBER_PREFIX) {
            describe_member(member, entry)
        } else if let Some(duty) = entry.key.strip_prefix(keys::MOVE_PREFIX) {
            describe_move(duty, entry)
        } else {
            continue;
        };
        let _ = writeln!(text, "{line}");
    }
    if text.is_empty() {
        text.push_str("no duty is held and no member is up\n");
    }
    text
}

fn describe_claim(duty: &str, entry: &Entry, log: Option<&Entry>) -> String {
    let claim = match record::read::<ClaimRecord>(&entry.key, &entry.value) {
        Ok(claim) => claim,
        Err(error) => return format!("duty {duty}: {error}"),
    };
    let log = log.map(|log| record::read::<LogRecord>(&log.key, &log.value));
    let operations = match log {
        None => "no operations yet".to_owned(),
        Some(Ok(log)) => format!("{} open, {} ended", log.open.len(), log.ended),
        Some(Err(error)) => error.to_string(),
    };
    format!(
        "duty {duty}: held by {} under token {}; {operations}",
        claim.member, entry.version
    )
}

fn describe_member(member: &str, entry: &Entry) -> String {
    match record::read::<MemberRecord>(&entry.key, &entry.value) {
        Ok(record) if record.leaving => format!("member {member}: leaving"),
        Ok(record) => format!("member {member}: up, load {} percent", record.load),
        Err(error) => format!("member {member}: {error}"),
    }
}

fn describe_move(duty: &str, entry: &Entry) -> String {
    match record::read::<MoveRecord>(&entry.key, &entry.value) {
        Ok(request) => format!("duty {duty}: to be moved to {}", request.to),
        Err(error) => format!("duty {duty}: {error}"),
    }
}
