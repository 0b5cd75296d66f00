//! A harness that drives one engine with a store of its own that replies at once. Nothing else answers the engine.

use crate::store::Store;
use seamfront_core::port::{Answer, ClientRequestId, Command, Effect};
use seamfront_core::types::{JobSpec, Micros, Settings};
use seamfront_core::Engine;
use std::collections::BTreeMap;

/// Interval between two steps.
const STEP: Micros = Micros::from_millis(50);

/// An engine with its store.
pub struct EngineHarness {
    pub engine: Engine,
    pub store: Store,
    /// Answers to users' requests, by request.
    pub answers: BTreeMap<ClientRequestId, Answer>,
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
            let effects = self.engine.step(self.now, self.now, commands);
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
