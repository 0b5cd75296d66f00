//! The users' protocol: strict about what comes in, one JSON object for what goes out.

use crate::http::Reply;
use seamfront_core::port::{Answer, JobState};
use seamfront_core::types::{JobId, JobKind, JobSpec, Micros, Priority, Resources};
use serde_json::{json, Map, Value};

/// Tasks of a job at the most.
pub const TASKS_MAX: u64 = 100_000;
const NAME_MAX: usize = 200;
const TYPES_MAX: usize = 200;

/// Job ids are `j-` and digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|n| (1..=30).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

struct Fields<'a>(&'a Map<String, Value>);

impl Fields<'_> {
    fn get(&self, name: &str) -> Option<&Value> {
        self.0.get(name).filter(|v| !v.is_null())
    }

    fn text(&self, name: &str) -> Result<String, String> {
        match self.get(name) {
            Some(Value::String(s)) if !s.is_empty() && s.len() <= NAME_MAX => Ok(s.clone()),
            Some(_) => Err(format!("{name}: must be a text of 1 to {NAME_MAX} bytes")),
            None => Err(format!("{name}: missing")),
        }
    }

    fn optional_text(&self, name: &str) -> Result<Option<String>, String> {
        self.get(name).map(|_| self.text(name)).transpose()
    }

    fn amount(&self, name: &str) -> Result<f64, String> {
        match self.get(name) {
            Some(v) => match v.as_f64() {
                Some(x) if x.is_finite() && (0.0..=1e9).contains(&x) => Ok(x),
                _ => Err(format!("{name}: must be a number from 0 to 1e9")),
            },
            None => Err(format!("{name}: missing")),
        }
    }

    fn span(&self, name: &str) -> Result<Micros, String> {
        self.amount(name).map(Micros::from_secs_decimal)
    }

    fn flag(&self, name: &str) -> Result<bool, String> {
        match self.get(name) {
            Some(Value::Bool(b)) => Ok(*b),
            Some(_) => Err(format!("{name}: must be true or false")),
            None => Err(format!("{name}: missing")),
        }
    }

    fn one_of<T: Copy>(&self, name: &str, choices: &[(&str, T)]) -> Result<T, String> {
        let text = self.text(name)?;
        choices
            .iter()
            .find(|c| c.0 == text)
            .map(|c| c.1)
            .ok_or_else(|| format!("{name}: `{text}` is unknown"))
    }
}

/// Reads a submission; the error names the field.
pub fn parse_submission(body: &[u8]) -> Result<JobSpec, String> {
    let value: Value = serde_json::from_slice(body).map_err(|e| format!("not JSON: {e}"))?;
    let f = Fields(value.as_object().ok_or("not an object")?);
    let id = f.text("id")?;
    if !valid_id(&id) {
        return Err(format!("id: `{id}` is not j- and digits"));
    }
    let tasks = match f.get("paes") {
        Some(v) => match v.as_u64() {
            Some(n @ 1..=TASKS_MAX) => n as u32,
            _ => {
                return Err(format!(
                    "paes: must be a whole number from 1 to {TASKS_MAX}"
                ))
            }
        },
        None => return Err("paes: missing".to_owned()),
    };
    let types = match f.get("modelos") {
        None => None,
        Some(Value::Array(a)) if a.len() <= TYPES_MAX => {
            let names = a.iter().map(|v| {
                v.as_str()
                    .filter(|s| s.len() <= NAME_MAX)
                    .map(str::to_owned)
            });
            Some(
                names
                    .collect::<Option<Vec<String>>>()
                    .ok_or("modelos: must hold texts")?,
            )
        }
        Some(_) => return Err("modelos: must be a list of texts or null".to_owned()),
    };
    let task_resources = Resources::needed(
        f.amount("cores")?,
        f.amount("accelerators")?,
        f.amount("ram_gb")?,
    );
    Ok(JobSpec {
        id: id.as_str().into(),
        class: f.text("fornada")?,
        team: f.text("equipe")?,
        kind: f.one_of(
            "feitio",
            &[
                ("array", JobKind::Array),
                ("group", JobKind::Gang),
                ("service", JobKind::Service),
            ],
        )?,
        priority: f.one_of(
            "vez",
            &[
                ("critical", Priority::Critical),
                ("urgent", Priority::Urgent),
                ("normal", Priority::Normal),
                ("best_effort", Priority::BestEffort),
            ],
        )?,
        tasks,
        task_resources,
        types,
        zone: f.optional_text("praca")?,
        one_zone: f.flag("one_zone")?,
        spread: f.flag("scatter")?,
        spot: f.flag("emprestados")?,
        image: f.text("receita")?,
        image_mb: (f.amount("pull_gb")? * 1e3).ceil() as i64,
        estimate: f.span("assa_s")?,
        checkpoint: f.span("vira_s")?,
        save: f.span("guarda_s")?,
        deadline: f
            .get("entrega_s")
            .map(|_| f.span("entrega_s"))
            .transpose()?,
        submitted: Micros::ZERO,
        dependencies: dependencies(&f, &id)?,
        dependency_parts: 0,
    })
}

/// Jobs that have to be done first; each counts once.
fn dependencies(f: &Fields, own: &str) -> Result<Vec<JobId>, String> {
    let Some(value) = f.get("espera") else {
        return Ok(Vec::new());
    };
    let list = value
        .as_array()
        .ok_or("espera: must be a list of job ids or null")?;
    let mut dependencies = std::collections::BTreeSet::new();
    for v in list {
        let id = v
            .as_str()
            .filter(|s| valid_id(s))
            .ok_or("espera: must hold job ids")?;
        if id == own {
            return Err("espera: names the job itself".to_owned());
        }
        dependencies.insert(JobId::from(id));
    }
    Ok(dependencies.into_iter().collect())
}

/// What a user is told.
pub fn reply(answer: &Answer) -> Reply {
    match answer {
        Answer::Status {
            created,
            id,
            state,
            done,
            running,
        } => {
            let state = match state {
                JobState::Queued => "queued",
                JobState::Running => "running",
                JobState::Done => "done",
                JobState::Cancelled => "withdrawn",
            };
            let body = json!({"id": id.as_str(), "ponto": state, "done": done, "running": running});
            Reply::json(if *created { 201 } else { 200 }, body.to_string())
        }
        Answer::NotFound => Reply::error(404, "no such job"),
        Answer::Rejected(why) => Reply::error(422, &why.to_string()),
        Answer::RetryLater { after } => Reply::later((after.0 / 1_000_000).max(1) as u64),
    }
}
