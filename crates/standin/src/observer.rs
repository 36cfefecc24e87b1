//! Checks the guarantees of a deployment. The evidence is only what callers
//! received and what engines and plain services ran.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use cranberryridge::wire::code::Code;
use cranberryridge::wire::id::Version;
use cranberryridge::wire::Map;

use crate::ledger::{Event, Ledger};

/// Records calls, engine work and configurations, and lists the broken
/// guarantees at the end.
#[derive(Debug, Default)]
pub struct Observer {
    settings: Settings,
    ledger: Ledger,
    /// Calls by name.
    calls: Map<String, Call>,
    /// Requests that held engine memory at the times of the checks.
    samples: Vec<Sample>,
    /// Engines whose sidecars are draining, and since when.
    drains: Map<SocketAddr, Instant>,
    /// Versions whose acceptance was reported to an operator.
    publications: Vec<Publication>,
    /// Versions that daemons had in force.
    observations: Vec<Observation>,
}

/// Time limits of the guarantees.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest time that engine memory stays held after its caller has gone:
    /// the silence after which an entry counts as dead, the time for which a
    /// stream is kept for resumption, and one second for the engine.
    pub release_limit: Duration,
    /// Longest time for which a draining engine may still get new work.
    pub drain_limit: Duration,
    /// Longest time from the acceptance of a configuration until it is in
    /// force.
    pub rollout_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            release_limit: Duration::from_millis(4500),
            drain_limit: Duration::from_secs(3),
            rollout_limit: Duration::from_secs(3),
        }
    }
}

/// What a caller requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An answer of a model, which must be this text.
    Model(String),
    /// A plain call that may run more than once.
    Idempotent,
    /// A plain call that may run at most once.
    AtMostOnce,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer: the text of a model, or the tag that a plain service
    /// received.
    Answered(String),
    /// A refusal or failure with a result code.
    Refused {
        /// The result code.
        code: u16,
        /// Whether the code's class is *not run*.
        not_run: bool,
    },
    /// The connection broke before the answer was complete.
    Truncated,
    /// The caller hung up.
    HungUp,
}

impl Outcome {
    /// Returns whether the call counts as not cut off: the caller has its
    /// answer, hung up, may repeat a request that did not run, or its key runs
    /// elsewhere.
    fn is_acceptable(&self) -> bool {
        match self {
            Self::Answered(_) | Self::HungUp => true,
            Self::Refused { code, not_run } => *not_run || *code == Code::KeyRunning.number(),
            Self::Truncated => false,
        }
    }
}

/// A broken guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An engine held memory for a caller that had gone.
    MemoryHeld {
        /// The caller's tag.
        tag: String,
        /// The request's id at the engine.
        id: String,
        /// Time between the end of the call and the last check that found the
        /// memory held.
        after: Duration,
    },
    /// A call had more than one outcome.
    AnsweredTwice {
        /// The caller's tag.
        tag: String,
    },
    /// A caller received an answer that belongs to another call or is
    /// incomplete.
    WrongAnswer {
        /// The caller's tag.
        tag: String,
        /// The answer that the caller received.
        got: String,
    },
    /// A call had no outcome although its caller stayed.
    NoOutcome {
        /// The caller's tag.
        tag: String,
    },
    /// A request ran although its caller received *not run*.
    RanAfterRefusal {
        /// The caller's tag.
        tag: String,
        /// The result code.
        code: u16,
    },
    /// A call that may run at most once ran more often.
    RanTwice {
        /// The call's key.
        tag: String,
        /// Number of runs.
        runs: u32,
    },
    /// A draining engine got new work after the limit.
    WorkWhileDraining {
        /// The engine's address.
        engine: SocketAddr,
        /// Time between the start of the drain and the new work.
        after: Duration,
    },
    /// A graceful shutdown cut a request off.
    CutByShutdown {
        /// The caller's tag.
        tag: String,
    },
    /// A daemon still had an older configuration in force after the limit.
    OutdatedConfiguration {
        /// The daemon's name.
        daemon: String,
        /// The version in force.
        version: Version,
    },
    /// A daemon went back to an older configuration.
    RevertedConfiguration {
        /// The daemon's name.
        daemon: String,
        /// The older version.
        to: Version,
    },
}

#[derive(Debug)]
struct Call {
    /// Identifies the work. A repeated call has the same key.
    key: String,
    kind: Kind,
    /// Whether a graceful shutdown is the only fault that could affect it.
    protected: bool,
    /// Outcomes in the order of their arrival; more than one is a violation.
    ends: Vec<End>,
}

/// An outcome of a call, with its time.
#[derive(Debug)]
struct End {
    at: Instant,
    outcome: Outcome,
}

/// A request that held engine memory at some time.
#[derive(Debug)]
struct Sample {
    at: Instant,
    /// The request's id at the engine.
    id: String,
}

/// A version whose acceptance was reported, with the time of the report.
#[derive(Debug)]
struct Publication {
    at: Instant,
    version: Version,
}

/// A version that a daemon had in force at some time.
#[derive(Debug)]
struct Observation {
    at: Instant,
    /// Name of the daemon's incarnation. Each has its own, as a restarted daemon
    /// may begin at an older version.
    daemon: String,
    version: Version,
}

impl Observer {
    /// Creates an observer and starts the tracing of engine work in the ledger.
    pub fn new(settings: Settings, ledger: Ledger) -> Self {
        ledger.start_tracing();
        Self {
            settings,
            ledger,
            ..Self::default()
        }
    }

    /// Records that a caller sends a call. Its runs carry `name` in the ledger.
    /// A repeated call has another name and the same key.
    pub fn record_call(&mut self, name: &str, key: &str, kind: Kind) {
        let call = Call {
            key: key.to_owned(),
            kind,
            protected: false,
            ends: Vec::new(),
        };
        self.calls.insert(name.to_owned(), call);
    }

    /// Records an outcome of a call.
    pub fn record_outcome(&mut self, name: &str, at: Instant, outcome: Outcome) {
        if let Some(call) = self.calls.get_mut(name) {
            call.ends.push(End { at, outcome });
        }
    }

    /// Marks a call that must survive the graceful shutdown that begins now. No
    /// other fault may affect it.
    pub fn protect(&mut self, name: &str) {
        if let Some(call) = self.calls.get_mut(name) {
            call.protected = true;
        }
    }

    /// Records the ids of the requests that hold engine memory.
    pub fn record_memory(&mut self, at: Instant, held: Vec<String>) {
        self.samples
            .extend(held.into_iter().map(|id| Sample { at, id }));
    }

    /// Records that a sidecar that isn't draining serves an engine again.
    pub fn record_return(&mut self, engine: SocketAddr) {
        self.drains.remove(&engine);
    }

    /// Records that an engine's sidecar starts to drain.
    pub fn record_drain(&mut self, at: Instant, engine: SocketAddr) {
        self.drains.insert(engine, at);
    }

    /// Records that the acceptance of a version was reported to an operator.
    pub fn record_publication(&mut self, at: Instant, version: Version) {
        self.publications.push(Publication { at, version });
    }

    /// Records the version that an incarnation of a daemon has in force.
    pub fn record_version(&mut self, at: Instant, daemon: &str, version: Version) {
        self.observations.push(Observation {
            at,
            daemon: daemon.to_owned(),
            version,
        });
    }

    /// Returns all broken guarantees.
    pub fn violations(&self) -> Vec<Violation> {
        let mut all = self.check_memory();
        all.extend(self.check_answers());
        all.extend(self.check_not_run());
        all.extend(self.check_at_most_once());
        all.extend(self.check_drains());
        all.extend(self.check_shutdowns());
        all.extend(self.check_configurations());
        all
    }

    /// Checks that no engine holds memory for a caller that has gone.
    pub fn check_memory(&self) -> Vec<Violation> {
        let events = self.ledger.events();
        let tags = events.iter().map(|event| (event.id.as_str(), &event.tag));
        let tags = tags.collect::<Map<_, _>>();
        let mut held = Map::<&str, Violation>::default();
        for sample in &self.samples {
            let Some(tag) = tags.get(sample.id.as_str()) else {
                continue;
            };
            let end = self.calls.get(*tag).and_then(|call| call.ends.first());
            let Some(end) = end else { continue };
            let after = sample.at.saturating_duration_since(end.at);
            if after > self.settings.release_limit {
                let violation = Violation::MemoryHeld {
                    tag: (*tag).clone(),
                    id: sample.id.clone(),
                    after,
                };
                held.insert(&sample.id, violation);
            }
        }
        held.into_values().collect()
    }

    /// Checks that each call has exactly one outcome, and that an answer is
    /// complete and belongs to its call.
    pub fn check_answers(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (name, call) in &self.calls {
            match call.ends.len() {
                0 => violations.push(Violation::NoOutcome { tag: name.clone() }),
                1 => {}
                _ => violations.push(Violation::AnsweredTwice { tag: name.clone() }),
            }
            for end in &call.ends {
                let Outcome::Answered(got) = &end.outcome else {
                    continue;
                };
                let own = match &call.kind {
                    Kind::Model(text) => got == text,
                    Kind::Idempotent | Kind::AtMostOnce => self.is_same_work(call, got),
                };
                if !own {
                    violations.push(Violation::WrongAnswer {
                        tag: name.clone(),
                        got: got.clone(),
                    });
                }
            }
        }
        violations
    }

    /// Checks that requests refused as *not run* did not run.
    pub fn check_not_run(&self) -> Vec<Violation> {
        let events = self.ledger.events();
        let ran = |tag: &String| {
            self.ledger.runs(tag) > 0 || events.iter().any(|event: &Event| event.tag == *tag)
        };
        let mut violations = Vec::new();
        for (name, call) in &self.calls {
            for end in &call.ends {
                if let Outcome::Refused {
                    code,
                    not_run: true,
                } = end.outcome
                {
                    if ran(name) {
                        violations.push(Violation::RanAfterRefusal {
                            tag: name.clone(),
                            code,
                        });
                    }
                }
            }
        }
        violations
    }

    /// Checks that calls that may run at most once did not run twice.
    pub fn check_at_most_once(&self) -> Vec<Violation> {
        let mut runs = Map::<&String, u32>::default();
        for (name, call) in &self.calls {
            if call.kind == Kind::AtMostOnce {
                *runs.entry(&call.key).or_default() += self.ledger.runs(name);
            }
        }
        let repeated = runs.into_iter().filter(|(_, runs)| *runs > 1);
        repeated
            .map(|(key, runs)| Violation::RanTwice {
                tag: key.clone(),
                runs,
            })
            .collect()
    }

    /// Returns whether the run under `name` belongs to the same work as the
    /// call.
    fn is_same_work(&self, call: &Call, name: &str) -> bool {
        let other = self.calls.get(name);
        other.is_some_and(|other| other.key == call.key)
    }

    /// Checks that draining engines get no new work after the limit.
    pub fn check_drains(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut first_seen = Map::<String, Instant>::default();
        for event in self.ledger.events() {
            let since = *first_seen.entry(event.id.clone()).or_insert(event.at);
            let Some(drain_start) = self.drains.get(&event.engine) else {
                continue;
            };
            let after = since.saturating_duration_since(*drain_start);
            if since == event.at && after > self.settings.drain_limit {
                violations.push(Violation::WorkWhileDraining {
                    engine: event.engine,
                    after,
                });
            }
        }
        violations
    }

    /// Checks that graceful shutdowns cut no request off.
    pub fn check_shutdowns(&self) -> Vec<Violation> {
        let protected = self.calls.iter().filter(|(_, call)| call.protected);
        let cut = protected.filter(|(_, call)| {
            let mut ends = call.ends.iter();
            !ends.any(|end| end.outcome.is_acceptable())
        });
        cut.map(|(tag, _)| Violation::CutByShutdown { tag: tag.clone() })
            .collect()
    }

    /// Checks that accepted configurations are in force in time and that no
    /// daemon goes back to an older one.
    pub fn check_configurations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut highest = Map::<&str, Version>::default();
        for observation in &self.observations {
            let newest = highest
                .entry(&observation.daemon)
                .or_insert(observation.version);
            if observation.version < *newest {
                violations.push(Violation::RevertedConfiguration {
                    daemon: observation.daemon.clone(),
                    to: observation.version,
                });
            }
            *newest = observation.version.max(*newest);
            let due = self.publications.iter().filter(|publication| {
                publication.at + self.settings.rollout_limit < observation.at
            });
            let newest = due.map(|publication| publication.version).max();
            if newest.is_some_and(|newest| observation.version < newest) {
                violations.push(Violation::OutdatedConfiguration {
                    daemon: observation.daemon.clone(),
                    version: observation.version,
                });
            }
        }
        violations
    }
}
