//! The users' API: parses submissions, checking them field by field, and writes the responses.

use crate::http::{self, Reply};
use seamfront_core::port::{Answer, JobState};
use seamfront_core::types::{JobId, JobKind, JobSpec, Micros, Priority, Resources};
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use thiserror::Error;

/// Maximum number of tasks in a job.
pub const TASKS_MAX: u64 = 100_000;
/// Maximum length of a name in bytes.
const NAME_BYTES_MAX: usize = 200;
/// Maximum number of machine types that a job may list.
const TYPES_MAX: usize = 200;
/// Largest amount of a resource or number of seconds.
const AMOUNT_MAX: f64 = 1e9;
const MB_PER_GB: f64 = 1e3;
const MICROS_PER_SECOND: i64 = 1_000_000;

/// Whether `id` is a valid job id: `j-` and 1 to 30 digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("j-").is_some_and(|digits| {
        (1..=30).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// The value that a field of a submission must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ExpectedValue {
    /// A string that is neither empty nor too long.
    #[error("must be a text of 1 to {NAME_BYTES_MAX} bytes")]
    Text,
    /// An amount or a number of seconds.
    #[error("must be a number from 0 to 1e9")]
    Amount,
    /// A boolean.
    #[error("must be true or false")]
    Flag,
    /// A number of tasks.
    #[error("must be a whole number from 1 to {TASKS_MAX}")]
    TaskCount,
    /// A list of machine types, or null.
    #[error("must be a list of texts or null")]
    TypeList,
    /// A list whose elements are machine types.
    #[error("must hold texts")]
    TypeNames,
    /// A list of job ids, or null.
    #[error("must be a list of job ids or null")]
    JobIdList,
    /// A list whose elements are job ids.
    #[error("must hold job ids")]
    JobIds,
}

/// Why a submission is refused; the message is sent to the client.
#[derive(Debug, Error)]
pub enum MalformedSubmission {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The body is JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// A required field is absent or null.
    #[error("{field}: missing")]
    Missing {
        /// The field's name on the wire.
        field: &'static str,
    },
    /// A field has a value of another type or out of range.
    #[error("{field}: {expected}")]
    Invalid {
        /// The field's name on the wire.
        field: &'static str,
        /// The value that it must have.
        expected: ExpectedValue,
    },
    /// A field has none of the values that it may have.
    #[error("{field}: `{value}` is unknown")]
    UnknownValue {
        /// The field's name on the wire.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The job's id is invalid.
    #[error("id: `{id}` is not j- and digits")]
    InvalidId {
        /// The id.
        id: String,
    },
    /// The job depends on itself.
    #[error("espera: names the job itself")]
    DependsOnItself,
}

/// A submission's fields by their names on the wire; null counts as absent.
struct Fields<'a>(&'a Map<String, Value>);

impl Fields<'_> {
    fn get(&self, field: &str) -> Option<&Value> {
        self.0.get(field).filter(|value| !value.is_null())
    }

    fn required(&self, field: &'static str) -> Result<&Value, MalformedSubmission> {
        self.get(field)
            .ok_or(MalformedSubmission::Missing { field })
    }

    fn text(&self, field: &'static str) -> Result<String, MalformedSubmission> {
        match self.required(field)? {
            Value::String(text) if !text.is_empty() && text.len() <= NAME_BYTES_MAX => {
                Ok(text.clone())
            }
            _ => Err(invalid(field, ExpectedValue::Text)),
        }
    }

    fn optional_text(&self, field: &'static str) -> Result<Option<String>, MalformedSubmission> {
        self.get(field).map(|_| self.text(field)).transpose()
    }

    fn amount(&self, field: &'static str) -> Result<f64, MalformedSubmission> {
        match self.required(field)?.as_f64() {
            Some(amount) if amount.is_finite() && (0.0..=AMOUNT_MAX).contains(&amount) => {
                Ok(amount)
            }
            _ => Err(invalid(field, ExpectedValue::Amount)),
        }
    }

    fn duration(&self, field: &'static str) -> Result<Micros, MalformedSubmission> {
        self.amount(field).map(Micros::from_secs_decimal)
    }

    fn optional_duration(
        &self,
        field: &'static str,
    ) -> Result<Option<Micros>, MalformedSubmission> {
        self.get(field).map(|_| self.duration(field)).transpose()
    }

    fn flag(&self, field: &'static str) -> Result<bool, MalformedSubmission> {
        match self.required(field)? {
            Value::Bool(flag) => Ok(*flag),
            _ => Err(invalid(field, ExpectedValue::Flag)),
        }
    }

    fn one_of<T: Copy>(
        &self,
        field: &'static str,
        choices: &[(&str, T)],
    ) -> Result<T, MalformedSubmission> {
        let value = self.text(field)?;
        match choices.iter().find(|(name, _)| *name == value) {
            Some((_, choice)) => Ok(*choice),
            None => Err(MalformedSubmission::UnknownValue { field, value }),
        }
    }

    fn task_count(&self, field: &'static str) -> Result<u32, MalformedSubmission> {
        match self.required(field)?.as_u64() {
            Some(count @ 1..=TASKS_MAX) => Ok(count as u32),
            _ => Err(invalid(field, ExpectedValue::TaskCount)),
        }
    }

    fn machine_types(
        &self,
        field: &'static str,
    ) -> Result<Option<Vec<String>>, MalformedSubmission> {
        let list = match self.get(field) {
            None => return Ok(None),
            Some(Value::Array(list)) if list.len() <= TYPES_MAX => list,
            Some(_) => return Err(invalid(field, ExpectedValue::TypeList)),
        };
        let name = |value: &Value| {
            value
                .as_str()
                .filter(|name| name.len() <= NAME_BYTES_MAX)
                .map(str::to_owned)
                .ok_or(invalid(field, ExpectedValue::TypeNames))
        };
        list.iter().map(name).collect::<Result<_, _>>().map(Some)
    }

    /// The jobs that must be done first, in order and without duplicates.
    fn dependencies(
        &self,
        field: &'static str,
        own_id: &str,
    ) -> Result<Vec<JobId>, MalformedSubmission> {
        let Some(value) = self.get(field) else {
            return Ok(Vec::new());
        };
        let list = value
            .as_array()
            .ok_or(invalid(field, ExpectedValue::JobIdList))?;
        let mut dependencies = BTreeSet::new();
        for value in list {
            let id = value
                .as_str()
                .filter(|id| valid_id(id))
                .ok_or(invalid(field, ExpectedValue::JobIds))?;
            if id == own_id {
                return Err(MalformedSubmission::DependsOnItself);
            }
            dependencies.insert(JobId::from(id));
        }
        Ok(dependencies.into_iter().collect())
    }
}

fn invalid(field: &'static str, expected: ExpectedValue) -> MalformedSubmission {
    MalformedSubmission::Invalid { field, expected }
}

const JOB_KINDS: [(&str, JobKind); 3] = [
    ("array", JobKind::Array),
    ("group", JobKind::Gang),
    ("service", JobKind::Service),
];

const PRIORITIES: [(&str, Priority); 4] = [
    ("critical", Priority::Critical),
    ("urgent", Priority::Urgent),
    ("normal", Priority::Normal),
    ("best_effort", Priority::BestEffort),
];

/// Parses a submission; the error names the field.
pub fn parse_submission(body: &[u8]) -> Result<JobSpec, MalformedSubmission> {
    let value: Value = serde_json::from_slice(body)?;
    let fields = Fields(value.as_object().ok_or(MalformedSubmission::NotAnObject)?);
    let id = fields.text("id")?;
    if !valid_id(&id) {
        return Err(MalformedSubmission::InvalidId { id });
    }
    // The response names the first invalid field in this order of checks.
    let tasks = fields.task_count("paes")?;
    let types = fields.machine_types("modelos")?;
    let task_resources = Resources::rounded_up(
        fields.amount("cores")?,
        fields.amount("accelerators")?,
        fields.amount("ram_gb")?,
    );
    Ok(JobSpec {
        id: id.as_str().into(),
        class: fields.text("fornada")?,
        team: fields.text("equipe")?,
        kind: fields.one_of("feitio", &JOB_KINDS)?,
        priority: fields.one_of("vez", &PRIORITIES)?,
        tasks,
        task_resources,
        types,
        zone: fields.optional_text("praca")?,
        one_zone: fields.flag("one_zone")?,
        spread: fields.flag("scatter")?,
        spot: fields.flag("emprestados")?,
        image: fields.text("receita")?,
        image_mb: (fields.amount("pull_gb")? * MB_PER_GB).ceil() as i64,
        estimate: fields.duration("assa_s")?,
        checkpoint_interval: fields.duration("vira_s")?,
        checkpoint_time: fields.duration("guarda_s")?,
        deadline: fields.optional_duration("entrega_s")?,
        submitted: Micros::ZERO,
        dependencies: fields.dependencies("espera", &id)?,
        dependency_parts: 0,
    })
}

/// A job's state in responses; fields in the order of their names on the wire.
#[derive(Serialize)]
struct WireStatus<'a> {
    done: u32,
    id: &'a str,
    #[serde(rename = "ponto")]
    state: &'static str,
    running: u32,
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Cancelled => "withdrawn",
    }
}

/// The HTTP reply to a user's request.
pub fn reply(answer: &Answer) -> Reply {
    match answer {
        Answer::Status {
            created,
            id,
            state,
            done,
            running,
        } => {
            let status = WireStatus {
                done: *done,
                id: id.as_str(),
                state: state_name(*state),
                running: *running,
            };
            Reply::json(if *created { 201 } else { 200 }, http::json_text(&status))
        }
        Answer::NotFound => Reply::error(404, "no such job"),
        Answer::Rejected(why) => Reply::error(422, &why.to_string()),
        Answer::RetryLater { after } => {
            Reply::retry_later((after.0 / MICROS_PER_SECOND).max(1) as u64)
        }
    }
}
