//! The observer detects every kind of violation: for each, a simulated
//! deployment breaks one guarantee.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use cranberryridge::wire::id::Version;
use cranberryridge_standin::ledger::{Ledger, Stage};
use cranberryridge_standin::observer::{Kind, Observer, Outcome, Settings, Violation};

/// A simulated deployment that keeps every guarantee except those set here.
#[derive(Clone, Copy, Debug, Default)]
struct Simulation {
    /// Memory stays held for a caller that has gone.
    leaks_memory: bool,
    /// A request is answered twice.
    answers_twice: bool,
    /// A caller gets another caller's answer.
    swaps_answers: bool,
    /// An answer counts as complete before its last token.
    truncates_answers: bool,
    /// A caller gets no outcome.
    drops_outcomes: bool,
    /// A request that ran is refused as *not run*.
    denies_runs: bool,
    /// A call with the same key runs again.
    repeats_keys: bool,
    /// A draining engine gets new work.
    feeds_draining_engines: bool,
    /// A shutdown cuts its requests off.
    cuts_requests: bool,
    /// A daemon doesn't take up a new configuration.
    ignores_configurations: bool,
    /// A daemon goes back to an older configuration.
    reverts_configurations: bool,
}

impl Simulation {
    /// Runs a short history and returns the violations that the observer finds.
    fn run(self) -> Vec<Violation> {
        let ledger = Ledger::default();
        let mut observer = Observer::new(Settings::default(), ledger.clone());
        let start = Instant::now();
        let at = |seconds: u64| start + Duration::from_secs(seconds);
        let engine = "127.0.0.1:7100".parse::<SocketAddr>().unwrap();

        observer.record_call("model", "model", Kind::Model("a b c".into()));
        ledger.record_stage(engine, "1-d", "model prompt", Stage::Generate);
        let text = match self {
            Self {
                swaps_answers: true,
                ..
            } => "x y z",
            Self {
                truncates_answers: true,
                ..
            } => "a b",
            _ => "a b c",
        };
        let outcome = match self.denies_runs {
            true => Outcome::Refused {
                code: 1103,
                not_run: true,
            },
            false => Outcome::Answered(text.into()),
        };
        if !self.drops_outcomes {
            observer.record_outcome("model", at(1), outcome.clone());
        }
        if self.answers_twice {
            observer.record_outcome("model", at(1), outcome);
        }

        observer.record_call("gone", "gone", Kind::Model(String::new()));
        ledger.record_stage(engine, "2-p", "gone prompt", Stage::Prefill);
        observer.record_outcome("gone", at(1), Outcome::HungUp);
        observer.record_memory(at(5), vec!["2-p".into()]);
        if self.leaks_memory {
            observer.record_memory(at(6), vec!["2-p".into()]);
        }

        for name in ["once", "again"] {
            observer.record_call(name, "key", Kind::AtMostOnce);
            observer.record_outcome(name, at(2), Outcome::Answered("once".into()));
        }
        ledger.record_run("once");
        if self.repeats_keys {
            ledger.record_run("again");
        }

        observer.record_call("sheltered", "sheltered", Kind::Model("s".into()));
        observer.protect("sheltered");
        let outcome = match self.cuts_requests {
            true => Outcome::Truncated,
            false => Outcome::Answered("s".into()),
        };
        observer.record_outcome("sheltered", at(3), outcome);

        observer.record_publication(at(4), Version(2));
        observer.record_version(at(5), "entry", Version(1));
        let version = if self.ignores_configurations { 1 } else { 2 };
        observer.record_version(at(8), "entry", Version(version));
        if self.reverts_configurations {
            observer.record_version(at(9), "entry", Version(1));
        }

        let drain_age = if self.feeds_draining_engines { 4 } else { 2 };
        observer.record_drain(start - Duration::from_secs(drain_age), engine);
        observer.violations()
    }
}

/// Asserts that the observer reports a violation that the check matches.
fn assert_detected(simulation: Simulation, check: impl Fn(&Violation) -> bool) {
    let violations = simulation.run();
    assert!(
        violations.iter().any(check),
        "{simulation:?}: {violations:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_deployment_that_keeps_its_guarantees_has_no_violation() {
    assert_eq!(Simulation::default().run(), []);
}

/// Generates a test for each guarantee that breaks it alone.
macro_rules! detects {
    ($($test:ident: $broken:ident, $violation:ident;)+) => {$(
        #[tokio::test(start_paused = true)]
        async fn $test() {
            let simulation = Simulation { $broken: true, ..Simulation::default() };
            assert_detected(simulation, |violation| matches!(violation, Violation::$violation { .. }));
        }
    )+};
}

detects! {
    memory_held_for_a_caller_that_is_gone: leaks_memory, MemoryHeld;
    a_second_outcome: answers_twice, AnsweredTwice;
    another_callers_answer: swaps_answers, WrongAnswer;
    an_answer_that_is_not_whole: truncates_answers, WrongAnswer;
    a_caller_without_an_outcome: drops_outcomes, NoOutcome;
    a_run_that_was_refused_as_not_run: denies_runs, RanAfterRefusal;
    a_second_run: repeats_keys, RanTwice;
    work_for_a_draining_engine: feeds_draining_engines, WorkWhileDraining;
    a_request_cut_off_by_a_shutdown: cuts_requests, CutByShutdown;
    a_configuration_not_in_force: ignores_configurations, OutdatedConfiguration;
    a_configuration_that_reverts: reverts_configurations, RevertedConfiguration;
}
