//! What operators see of duties, and how they move one by hand. Everything is read from the state service, so it works
//! beside controllers that run, and without any.

use crate::http::Client;
use crate::settings::Service;
use crate::store_client;
use seamfront_core::fleet_duties::LEADER_CLAIM;
use seamfront_core::port::{Entry, StoreReply, StoreRequest, Write};
use seamfront_lease::keys;
use seamfront_lease::record::{self, ClaimRecord, LogRecord, MemberRecord, MoveRecord, FORMAT};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use thiserror::Error;

/// Why a command could not be carried out.
#[derive(Debug, Error)]
pub enum DutyCommandError {
    /// The state service did not answer as it should.
    #[error("state service: {0}")]
    State(String),
    /// What was asked for makes no sense.
    #[error("{field}: {reason}")]
    Invalid {
        /// The argument.
        field: &'static str,
        /// What is wrong with it.
        reason: String,
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

impl std::str::FromStr for MoveRequest {
    type Err = String;

    fn from_str(text: &str) -> Result<MoveRequest, String> {
        let (duty, to) = text.split_once('=').ok_or("must be DUTY=MEMBER")?;
        Ok(MoveRequest {
            duty: duty.to_owned(),
            to: to.to_owned(),
        })
    }
}

/// Prints who holds what, who is up, and what is open.
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
    let invalid = |field, reason: String| Err(DutyCommandError::Invalid { field, reason });
    if !settings.core.members.contains(&request.to) {
        return invalid("move-duty", format!("{:?} is no member", request.to));
    }
    let lease = seamfront_core::fleet_duties::lease_settings(&settings.core);
    if !lease.duties.contains(&request.duty) {
        return invalid(
            "move-duty",
            format!(
                "{:?} is no duty; there is {}",
                request.duty,
                lease.duties.join(", ")
            ),
        );
    }
    // What belongs together goes together.
    let group = if lease.together.contains(&request.duty) {
        lease.together
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
    let commit = StoreRequest::CompareAndSwap {
        conditions: Vec::new(),
        writes: group.iter().map(put).collect(),
    };
    async_io::block_on(async {
        match store_client::call(&Client::default(), settings.state, &commit).await {
            StoreReply::Committed { .. } => Ok(()),
            other => Err(DutyCommandError::State(format!("not written: {other:?}"))),
        }
    })
}

/// The way back: removes the switch and what stands in the leader's claim, so that controllers with duties off have a
/// leader again. Refused while a member with duties on is up or holds a duty; the same is a condition of the removal.
pub fn end(settings: &Service) -> Result<(), DutyCommandError> {
    let lease = seamfront_core::fleet_duties::lease_settings(&settings.core);
    async_io::block_on(async {
        let client = Client::default();
        let control = list(&client, settings, keys::CONTROL_PREFIX).await?;
        let in_use = |entry: &&Entry| {
            entry.key.starts_with(keys::MEMBER_PREFIX) || entry.key.starts_with(keys::CLAIM_PREFIX)
        };
        if let Some(entry) = control.iter().find(in_use) {
            let reason = format!(
                "{} is there: end all controllers that have duties on first",
                entry.key
            );
            return Err(DutyCommandError::Invalid {
                field: "end-duties",
                reason,
            });
        }
        let leader = match store_client::call(
            &client,
            settings.state,
            &StoreRequest::Get {
                key: LEADER_CLAIM.to_owned(),
            },
        )
        .await
        {
            StoreReply::Entry(entry) => Some(entry),
            StoreReply::Missing => None,
            other => return Err(DutyCommandError::State(format!("not read: {other:?}"))),
        };
        let switch = control.iter().find(|entry| entry.key == keys::SWITCH);
        let Some(switch) = switch else { return Ok(()) };
        let mut conditions = vec![(keys::SWITCH.to_owned(), switch.version)];
        conditions.extend(lease.duties.iter().map(|duty| (keys::claim(duty), 0)));
        conditions.extend(lease.members.iter().map(|member| (keys::member(member), 0)));
        let mut writes = vec![Write::Delete {
            key: keys::SWITCH.to_owned(),
        }];
        if let Some(leader) = leader {
            conditions.push((leader.key.clone(), leader.version));
            writes.push(Write::Delete { key: leader.key });
        }
        // The next switch waits until all have begun with duties on again.
        let versions = control
            .iter()
            .filter(|entry| entry.key.starts_with(keys::VERSION_PREFIX));
        writes.extend(versions.map(|entry| Write::Delete {
            key: entry.key.clone(),
        }));
        match store_client::call(
            &client,
            settings.state,
            &StoreRequest::CompareAndSwap { conditions, writes },
        )
        .await
        {
            StoreReply::Committed { .. } => Ok(()),
            other => Err(DutyCommandError::State(format!("not written: {other:?}"))),
        }
    })
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
            other => return Err(DutyCommandError::State(format!("not read: {other:?}"))),
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
