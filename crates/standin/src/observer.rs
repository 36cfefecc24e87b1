//! Checks what must always hold, from what callers received and what engines
//! and plain services ran, and from nothing else.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use cranberryridge::wire::code::Code;
use cranberryridge::wire::id::Version;
use cranberryridge::wire::Map;

use crate::ledger::{Event, Ledger};

/// Sees callers, engines and services, and judges at the end.
#[derive(Debug, Default)]
pub struct Observer {
    /// Bounds of the promises.
    settings: Settings,
    /// What was run.
    ledger: Ledger,
    /// Calls by name.
    calls: Map<String, Call>,
    /// Who held engine memory, and when.
    samples: Vec<Sample>,
    /// Engines that left, and when their sidecars said so.
    drains: Map<SocketAddr, Instant>,
    /// Versions that operators were told are accepted.
    publications: Vec<Publication>,
    /// Versions that daemons ran.
    observations: Vec<Observation>,
}

/// Bounds of the promises.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest time that engine memory is held after its caller has gone: the
    /// silence after which an entry is taken for dead, the time that a stream
    /// is kept for its resumption, and a second for the engine.
    pub release_limit: Duration,
    /// Longest time that a leaving engine may get new work.
    pub drain_limit: Duration,
    /// Longest time until an accepted configuration is in force.
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

/// What a caller asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model's answer, which is to be this text.
    Model(String),
    /// A plain call that may run more than once.
    Idempotent,
    /// A plain call that may run at most once.
    AtMostOnce,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer that says it is whole: a model's text, or the tag that a
    /// plain service saw.
    Answered(String),
    /// A numbered refusal or failure, and whether it says *not run*.
    Refused {
        /// The result code.
        code: u16,
        /// Whether its class is *not run*.
        not_run: bool,
    },
    /// The connection broke before the answer was whole.
    Truncated,
    /// The caller hung up.
    HungUp,
}

impl Outcome {
    /// Whether nothing was cut off: the caller has its answer, hung up itself,
    /// may send again what did not run, or the same key runs elsewhere.
    fn is_acceptable(&self) -> bool {
        match self {
            Self::Answered(_) | Self::HungUp => true,
            Self::Refused { code, not_run } => *not_run || *code == Code::KeyRunning.number(),
            Self::Truncated => false,
        }
    }
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Engine memory was held for a caller who had gone.
    MemoryHeld {
        /// The caller's tag.
        tag: String,
        /// The id at the engine.
        id: String,
        /// How long after the caller's end.
        after: Duration,
    },
    /// A request was answered more than once.
    AnsweredTwice {
        /// The caller's tag.
        tag: String,
    },
    /// A caller got an answer that is not its own or not whole.
    WrongAnswer {
        /// The caller's tag.
        tag: String,
        /// What came.
        got: String,
    },
    /// A caller that stayed got no end.
    NoOutcome {
        /// The caller's tag.
        tag: String,
    },
    /// A caller was told *not run*, but the request ran.
    RanAfterRefusal {
        /// The caller's tag.
        tag: String,
        /// The result code.
        code: u16,
    },
    /// A call that may run at most once ran more often.
    RanTwice {
        /// The caller's tag.
        tag: String,
        /// How often.
        runs: u32,
    },
    /// An engine that was leaving got new work.
    WorkWhileDraining {
        /// The engine.
        engine: SocketAddr,
        /// How long after it said that it leaves.
        after: Duration,
    },
    /// A graceful shutdown cut a request off.
    CutByShutdown {
        /// The caller's tag.
        tag: String,
    },
    /// A configuration was not in force in time.
    OutdatedConfiguration {
        /// The daemon.
        daemon: String,
        /// The version.
        version: Version,
    },
    /// A daemon went back to an older configuration.
    RevertedConfiguration {
        /// The daemon.
        daemon: String,
        /// The version it went back to.
        to: Version,
    },
}

/// A caller's call.
#[derive(Debug)]
struct Call {
    /// Names the work; a call sent again has the same.
    key: String,
    /// What was asked for.
    kind: Kind,
    /// Whether only a graceful shutdown could harm it.
    protected: bool,
    /// Its ends.
    ends: Vec<End>,
}

/// An end of a call.
#[derive(Debug)]
struct End {
    /// When.
    at: Instant,
    /// How.
    outcome: Outcome,
}

/// Who held engine memory at a time.
#[derive(Debug)]
struct Sample {
    /// When.
    at: Instant,
    /// The id at the engine.
    id: String,
}

/// A version that was accepted.
#[derive(Debug)]
struct Publication {
    /// When.
    at: Instant,
    /// The version.
    version: Version,
}

/// A version that a daemon ran.
#[derive(Debug)]
struct Observation {
    /// When.
    at: Instant,
    /// The daemon's life.
    daemon: String,
    /// The version.
    version: Version,
}

impl Observer {
    /// An observer of a ledger, which keeps what engines do from here on.
    pub fn new(settings: Settings, ledger: Ledger) -> Self {
        ledger.start_tracing();
        Self {
            settings,
            ledger,
            ..Self::default()
        }
    }

    /// A caller sends a call, whose runs are noted under its name. One that is
    /// sent again has another name, and the same key.
    pub fn record_call(&mut self, name: &str, key: &str, kind: Kind) {
        let call = Call {
            key: key.to_owned(),
            kind,
            protected: false,
            ends: Vec::new(),
        };
        self.calls.insert(name.to_owned(), call);
    }

    /// A caller has an end.
    pub fn record_outcome(&mut self, name: &str, at: Instant, outcome: Outcome) {
        if let Some(call) = self.calls.get_mut(name) {
            call.ends.push(End { at, outcome });
        }
    }

    /// A graceful shutdown begins; nothing else may harm this call.
    pub fn protect(&mut self, name: &str) {
        if let Some(call) = self.calls.get_mut(name) {
            call.protected = true;
        }
    }

    /// These ids hold engine memory.
    pub fn record_memory(&mut self, at: Instant, held: Vec<String>) {
        self.samples
            .extend(held.into_iter().map(|id| Sample { at, id }));
    }

    /// An engine has a sidecar that does not leave.
    pub fn record_return(&mut self, engine: SocketAddr) {
        self.drains.remove(&engine);
    }

    /// An engine's sidecar says that it leaves.
    pub fn record_drain(&mut self, at: Instant, engine: SocketAddr) {
        self.drains.insert(engine, at);
    }

    /// A version is accepted.
    pub fn record_publication(&mut self, at: Instant, version: Version) {
        self.publications.push(Publication { at, version });
    }

    /// A daemon's life runs a version.
    pub fn record_version(&mut self, at: Instant, daemon: &str, version: Version) {
        self.observations.push(Observation {
            at,
            daemon: daemon.to_owned(),
            version,
        });
    }

    /// Every broken promise.
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

    /// No engine memory is held for a caller who is gone.
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

    /// No request is answered twice, and each caller that stays gets an end:
    /// its own whole answer if it is told so.
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

    /// What was refused as *not run* did not run.
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

    /// What may run at most once does.
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

    /// Whether a run noted under a name is of the same work as a call.
    fn is_same_work(&self, call: &Call, name: &str) -> bool {
        let other = self.calls.get(name);
        other.is_some_and(|other| other.key == call.key)
    }

    /// An engine that leaves gets no new work after a while.
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

    /// A graceful shutdown cuts off nothing.
    pub fn check_shutdowns(&self) -> Vec<Violation> {
        let protected = self.calls.iter().filter(|(_, call)| call.protected);
        let cut = protected.filter(|(_, call)| {
            let mut ends = call.ends.iter();
            !ends.any(|end| end.outcome.is_acceptable())
        });
        cut.map(|(tag, _)| Violation::CutByShutdown { tag: tag.clone() })
            .collect()
    }

    /// An accepted configuration is in force in time, and none is given up for
    /// an older one.
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
