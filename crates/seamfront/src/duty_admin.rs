//! Operators' commands on duties: show their holders, request a transfer, turn duties off. The commands only access
//! the key-value store, so they work with or without running controllers.

use crate::http::Client;
use crate::settings::ControllerSettings;
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
    #[error("can't read {key} from the key-value store: {reply:?}")]
    ReadFailed {
        /// The key or prefix.
        key: String,
        /// The outcome of the read.
        reply: StoreReply,
    },
    /// The key-value store did not confirm a transaction.
    #[error("can't commit the changes to the key-value store: {0:?}")]
    CommitFailed(StoreReply),
    /// The duty was to be transferred to a name that is not a member's.
    #[error("move-duty: {0:?} is not a member in the settings")]
    UnknownMember(String),
    /// There is no such duty.
    #[error("move-duty: unknown duty {duty:?}; the duties are {}", known.join(", "))]
    UnknownDuty {
        /// The name that was given.
        duty: String,
        /// Names of the existing duties.
        known: Vec<String>,
    },
    /// A member with duties on is up, or holds a duty.
    #[error(
        "end-duties: {key} is in the key-value store: stop all controllers with duties on first"
    )]
    InUse {
        /// The key that shows it.
        key: String,
    },
}

/// A request to transfer a duty, given on the command line as `DUTY=MEMBER`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveRequest {
    /// The duty.
    pub duty: String,
    /// The member that is to hold it.
    pub to: String,
}

/// The argument does not have the form `DUTY=MEMBER`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("must have the form DUTY=MEMBER")]
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

/// Describes the duties with their holders and numbers of operations, the members that are up, and the
/// requested transfers.
pub fn show(settings: &ControllerSettings) -> Result<String, DutyCommandError> {
    async_io::block_on(async {
        let client = Client::default();
        let control = list(&client, settings, keys::CONTROL_PREFIX).await?;
        let logs = list(&client, settings, keys::LOG_PREFIX).await?;
        Ok(describe(&control, &logs))
    })
}

/// Requests that the holder of a duty transfer it to a member.
pub fn request_move(
    settings: &ControllerSettings,
    request: &MoveRequest,
) -> Result<(), DutyCommandError> {
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
    // All duties of an affinity group always have the same holder.
    let group = if lease.affinity_group.contains(&request.duty) {
        lease.affinity_group
    } else {
        vec![request.duty.clone()]
    };
    let value = record::encode(&MoveRecord {
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

/// Reverts the switch to duties: deletes its record and the marker in the leader's claim, so that controllers with
/// duties off can elect a leader again. Refused while a member with duties on is up or holds a duty; the transaction
/// has the same condition.
pub fn end(settings: &ControllerSettings) -> Result<(), DutyCommandError> {
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

/// Fails while a member with duties on is up or holds a duty.
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
    settings: &ControllerSettings,
) -> Result<Option<Entry>, DutyCommandError> {
    let request = StoreRequest::Get {
        key: LEADER_CLAIM.to_owned(),
    };
    match store_client::call(client, settings.store, &request).await {
        StoreReply::Entry(entry) => Ok(Some(entry)),
        StoreReply::Missing => Ok(None),
        reply => Err(DutyCommandError::ReadFailed {
            key: LEADER_CLAIM.to_owned(),
            reply,
        }),
    }
}

/// Conditions that nothing has changed since it was read: the switch and the leader's claim have the
/// same versions, and there is still no claim on a duty and no member with duties on.
fn end_conditions(
    settings: &ControllerSettings,
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

/// Deletes the switch, the leader's claim, and the members' version keys. Without these the next
/// switch waits until all members have started with duties on again.
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
    settings: &ControllerSettings,
    conditions: Vec<(String, u64)>,
    writes: Vec<Write>,
) -> Result<(), DutyCommandError> {
    let request = StoreRequest::CompareAndSwap { conditions, writes };
    match store_client::call(client, settings.store, &request).await {
        StoreReply::Committed { .. } => Ok(()),
        reply => Err(DutyCommandError::CommitFailed(reply)),
    }
}

async fn list(
    client: &Client,
    settings: &ControllerSettings,
    prefix: &str,
) -> Result<Vec<Entry>, DutyCommandError> {
    let mut all = Vec::new();
    loop {
        let after = all.last().map(|entry: &Entry| entry.key.clone());
        let request = StoreRequest::List {
            prefix: prefix.to_owned(),
            after,
        };
        match store_client::call(client, settings.store, &request).await {
            StoreReply::Page { entries, more, .. } => {
                all.extend(entries);
                if !more {
                    return Ok(all);
                }
            }
            reply => {
                return Err(DutyCommandError::ReadFailed {
                    key: prefix.to_owned(),
                    reply,
                })
            }
        }
    }
}

/// One line for each duty, member and requested transfer. A record that can't be decoded is shown with
/// its error.
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
    let claim = match record::decode::<ClaimRecord>(&entry.key, &entry.value) {
        Ok(claim) => claim,
        Err(error) => return format!("duty {duty}: {error}"),
    };
    let log = log.map(|log| record::decode::<LogRecord>(&log.key, &log.value));
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
    match record::decode::<MemberRecord>(&entry.key, &entry.value) {
        Ok(record) if record.leaving => format!("member {member}: leaving"),
        Ok(record) => format!("member {member}: up, load {} percent", record.load),
        Err(error) => format!("member {member}: {error}"),
    }
}

fn describe_move(duty: &str, entry: &Entry) -> String {
    match record::decode::<MoveRecord>(&entry.key, &entry.value) {
        Ok(request) => format!("duty {duty}: to be moved to {}", request.to),
        Err(error) => format!("duty {duty}: {error}"),
    }
}
