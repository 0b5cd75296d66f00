//! A harness that drives one engine with a store of its own that replies at once. Nothing else answers the engine.

use crate::shard_harness::job;
use crate::store::Store;
use seamfront_core::port::{Answer, ClientRequestId, Command, Effect};
use seamfront_core::types::{JobId, JobSpec, Micros, Priority, Settings};
use seamfront_core::Engine;
use std::collections::BTreeMap;

/// Interval between two steps.
const STEP: Micros = Micros::from_millis(50);

/// Stores the jobs of a pipeline in which each job needs all jobs of the stage before, and an urgent last job. Returns
/// the number of dependencies.
///
/// # Panics
///
/// If a spec cannot be encoded.
pub fn store_pipeline(store: &mut Store, stages: usize, width: usize) -> usize {
    let mut previous: Vec<JobId> = Vec::new();
    let mut dependencies = 0;
    for stage in 0..=stages {
        let jobs = if stage == stages { 1 } else { width };
        let mut current = Vec::new();
        for place in 0..jobs {
            let spec = JobSpec {
                dependencies: previous.clone(),
                priority: if stage == stages {
                    Priority::Urgent
                } else {
                    Priority::BestEffort
                },
                ..(*job(&format!("j-{:06}", stage * width + place), 1)).clone()
            };
            dependencies += spec.dependencies.len();
            store.revision += 1;
            let value = serde_json::to_value(&spec).expect("a spec can be encoded");
            let key = format!("job/{}", spec.id);
            store.keys.insert(key, (value, store.revision, None));
            current.push(spec.id);
        }
        previous = current;
    }
    dependencies
}

/// An engine with its store.
pub struct EngineHarness {
    pub engine: Engine,
    pub store: Store,
    /// Answers to users' requests, by request.
    pub answers: BTreeMap<ClientRequestId, Answer>,
    /// Number of items examined in the step that examined the most.
    pub most_items_in_a_step: i64,
    now: Micros,
    commands: Vec<Command>,
}

impl EngineHarness {
    /// An engine that has not been stepped yet.
    pub fn new(settings: Settings, store: Store) -> EngineHarness {
        EngineHarness {
            engine: Engine::new(settings),
            store,
            answers: BTreeMap::new(),
            most_items_in_a_step: 0,
            now: Micros::ZERO,
            commands: Vec::new(),
        }
    }

    /// Hands a submission to the next step.
    pub fn submit(&mut self, request: ClientRequestId, spec: JobSpec) {
        self.commands.push(Command::Submit {
            to: request,
            spec: Box::new(spec),
        });
    }

    /// Steps the engine at intervals for this long.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            let commands = std::mem::take(&mut self.commands);
            let before = self.engine.items_examined();
            let effects = self.engine.step(self.now, self.now, commands);
            let examined = self.engine.items_examined() - before;
            self.most_items_in_a_step = self.most_items_in_a_step.max(examined);
            for effect in effects {
                self.handle(effect);
            }
        }
    }

    fn handle(&mut self, effect: Effect) {
        match effect {
            Effect::Store { call, request } => {
                if let Some(reply) = self.store.execute(self.now, &request) {
                    self.commands.push(Command::Store { call, reply });
                }
            }
            Effect::Answer { to, answer } => {
                self.answers.insert(to, answer);
            }
            _ => {}
        }
    }
}
