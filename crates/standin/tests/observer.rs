//! The observer's checks bite: for each promise, a driver with its mechanism
//! switched off is caught.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use cranberryridge::wire::id::Version;
use cranberryridge_standin::ledger::{Ledger, Stage};
use cranberryridge_standin::observer::{Kind, Observer, Outcome, Settings, Violation};

/// A driver that keeps each promise unless told not to.
#[derive(Clone, Copy, Debug, Default)]
struct Driver {
    /// Memory is held for a caller that is gone.
    leaks: bool,
    /// The answer's end is sent twice.
    ends_twice: bool,
    /// Another caller's answer is passed on.
    crosses: bool,
    /// An answer is called whole before its last token.
    shortens: bool,
    /// A caller is left without an end.
    forgets: bool,
    /// What ran is refused as not run.
    denies: bool,
    /// A repeat of a key runs again.
    repeats: bool,
    /// A leaving engine gets new work.
    feeds_leavers: bool,
    /// A shutdown cuts its requests off.
    cuts: bool,
    /// A configuration is not taken up.
    ignores: bool,
    /// A configuration is given up for an older one.
    reverts: bool,
}

impl Driver {
    /// Plays a short history and returns what the observer makes of it.
    fn play(self) -> Vec<Violation> {
        let ledger = Ledger::default();
        let mut observer = Observer::new(Settings::default(), ledger.clone());
        let start = Instant::now();
        let at = |seconds: u64| start + Duration::from_secs(seconds);
        let engine = "127.0.0.1:7100".parse::<SocketAddr>().unwrap();

        observer.record_call("model", "model", Kind::Model("a b c".into()));
        ledger.record_stage(engine, "1-d", "model prompt", Stage::Generate);
        let text = match self {
            Self { crosses: true, .. } => "x y z",
            Self { shortens: true, .. } => "a b",
            _ => "a b c",
        };
        let outcome = match self.denies {
            true => Outcome::Refused {
                code: 1103,
                not_run: true,
            },
            false => Outcome::Answered(text.into()),
        };
        if !self.forgets {
            observer.record_outcome("model", at(1), outcome.clone());
        }
        if self.ends_twice {
            observer.record_outcome("model", at(1), outcome);
        }

        observer.record_call("gone", "gone", Kind::Model(String::new()));
        ledger.record_stage(engine, "2-p", "gone prompt", Stage::Prefill);
        observer.record_outcome("gone", at(1), Outcome::HungUp);
        observer.record_memory(at(5), vec!["2-p".into()]);
        if self.leaks {
            observer.record_memory(at(6), vec!["2-p".into()]);
        }

        for name in ["once", "again"] {
            observer.record_call(name, "key", Kind::AtMostOnce);
            observer.record_outcome(name, at(2), Outcome::Answered("once".into()));
        }
        ledger.record_run("once");
        if self.repeats {
            ledger.record_run("again");
        }

        observer.record_call("sheltered", "sheltered", Kind::Model("s".into()));
        observer.protect("sheltered");
        let outcome = match self.cuts {
            true => Outcome::Truncated,
            false => Outcome::Answered("s".into()),
        };
        observer.record_outcome("sheltered", at(3), outcome);

        observer.record_publication(at(4), Version(2));
        observer.record_version(at(5), "entry", Version(1));
        let version = if self.ignores { 1 } else { 2 };
        observer.record_version(at(8), "entry", Version(version));
        if self.reverts {
            observer.record_version(at(9), "entry", Version(1));
        }

        let left = if self.feeds_leavers { 4 } else { 2 };
        observer.record_drain(start - Duration::from_secs(left), engine);
        observer.violations()
    }
}

/// Whether a driver with one promise broken is caught by the check for it.
fn caught(driver: Driver, check: impl Fn(&Violation) -> bool) {
    let violations = driver.play();
    assert!(violations.iter().any(check), "{driver:?}: {violations:?}");
}

#[tokio::test(start_paused = true)]
async fn a_driver_that_keeps_its_promises_is_not_blamed() {
    assert_eq!(Driver::default().play(), []);
}

/// A test that breaks one promise of the driver.
macro_rules! bites {
    ($($test:ident: $broken:ident, $violation:ident;)+) => {$(
        #[tokio::test(start_paused = true)]
        async fn $test() {
            let driver = Driver { $broken: true, ..Driver::default() };
            caught(driver, |violation| matches!(violation, Violation::$violation { .. }));
        }
    )+};
}

bites! {
    memory_held_for_a_caller_that_is_gone: leaks, MemoryHeld;
    a_second_end: ends_twice, AnsweredTwice;
    another_callers_answer: crosses, WrongAnswer;
    an_answer_that_is_not_whole: shortens, WrongAnswer;
    a_caller_without_an_end: forgets, NoOutcome;
    a_run_that_was_called_not_run: denies, RanAfterRefusal;
    a_second_run: repeats, RanTwice;
    work_for_a_leaving_engine: feeds_leavers, WorkWhileDraining;
    a_request_cut_off_by_a_shutdown: cuts, CutByShutdown;
    a_configuration_not_in_force: ignores, OutdatedConfiguration;
    a_configuration_that_reverts: reverts, RevertedConfiguration;
}
