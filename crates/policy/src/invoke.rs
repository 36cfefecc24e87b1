//! A plain call's life at the entry.
//!
//! A call that is not idempotent is sent at most once, unless the sidecar that
//! it was sent to says that it never saw it and now bars it.

use std::time::Instant;

use cranberryridge_wire::code::{Class, Code};
use cranberryridge_wire::message::Verdict;

/// A plain call's life.
#[derive(Debug)]
pub struct Machine {
    /// Rules.
    settings: Settings,
    /// When the call must be over.
    deadline: Instant,
    /// Where it stands.
    phase: Phase,
    /// Number of the present attempt.
    attempt: u32,
    /// Retries so far.
    retries: u32,
    /// Why an attempt so far may have run, if one may have.
    uncertain_run: Option<Code>,
}

/// Rules of a call's life.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether the call is bound to one sidecar and never sent again.
    pub pinned: bool,
    /// Most retries.
    pub max_retries: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            idempotent: false,
            pinned: false,
            max_retries: 4,
        }
    }
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The call begins.
    Begin,
    /// It was sent.
    Sent,
    /// No endpoint is there.
    Unplaced(Code),
    /// The retry budget is spent.
    RetryDenied,
    /// The attempt did not run.
    Refused(u32, Code),
    /// The answer's head.
    Head(u32),
    /// Part of the answer's body.
    Body(u32),
    /// The answer's end.
    Done(u32),
    /// The attempt ran and failed.
    Failed(u32, Code),
    /// The attempt's stream broke.
    StreamLost(u32),
    /// What became of the attempt, in its sidecar's words.
    Settled(u32, Verdict),
    /// Its sidecar could not be asked.
    SettleFailed(u32),
    /// The caller is gone.
    CallerGone,
    /// A timer went off.
    Tick,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose an endpoint and send the attempt.
    Send(u32),
    /// Take a retry from the budget, then send the attempt.
    Retry(Code, u32),
    /// Ask the sidecar what became of the attempt.
    Settle(u32),
    /// Pass the event at hand to the caller.
    Emit,
    /// End the answer.
    Finish,
    /// End with a failure.
    Fail(Code),
}

/// Where a call stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing was sent.
    Idle,
    /// An attempt was sent.
    Sent,
    /// The answer's head reached the caller.
    Answering,
    /// The sidecar is asked what became of the attempt.
    Settling,
    /// The caller has its end.
    Ended,
}

impl Machine {
    /// A life that has not begun.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use cranberryridge_policy::invoke::{Action, Event, Machine, Settings};
    /// use cranberryridge_wire::code::Code;
    /// let now = Instant::now();
    /// let mut machine = Machine::new(Settings::default(), now + std::time::Duration::from_secs(9));
    /// assert_eq!(machine.handle(now, Event::Begin), Some(Action::Send(1)));
    /// machine.handle(now, Event::Sent);
    /// assert_eq!(machine.handle(now, Event::StreamLost(1)), Some(Action::Settle(1)));
    /// assert_eq!(machine.handle(now, Event::SettleFailed(1)), Some(Action::Fail(Code::ConnectionLost)));
    /// ```
    pub fn new(settings: Settings, deadline: Instant) -> Self {
        Self {
            settings,
            deadline,
            phase: Phase::Idle,
            attempt: 0,
            retries: 0,
            uncertain_run: None,
        }
    }

    /// Whether the caller has its end.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// When an [`Event::Tick`] is due.
    pub fn next_tick(&self) -> Instant {
        self.deadline
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Option<Action> {
        if self.is_ended() || self.is_stale(event) {
            return None;
        }
        match event {
            Event::Begin => self.send(),
            Event::Sent => self.enter(Phase::Sent),
            Event::Unplaced(code) => self.fail(code),
            Event::RetryDenied => self.fail(Code::RetryBudget),
            Event::Refused(_, code) => self.on_refused(now, code),
            Event::Head(_) => {
                self.phase = Phase::Answering;
                Some(Action::Emit)
            }
            Event::Body(_) => Some(Action::Emit),
            Event::Done(_) => {
                self.phase = Phase::Ended;
                Some(Action::Finish)
            }
            Event::Failed(_, code) => self.on_failed(now, code),
            Event::StreamLost(_) => self.on_stream_lost(now),
            Event::Settled(_, verdict) => self.on_settled(now, verdict),
            Event::SettleFailed(_) => self.fail(Code::ConnectionLost),
            Event::CallerGone => self.enter(Phase::Ended),
            Event::Tick if now >= self.deadline => self.fail(self.deadline_code()),
            Event::Tick => None,
        }
    }

    /// Whether an event is of an earlier attempt, or out of turn.
    fn is_stale(&self, event: Event) -> bool {
        match event {
            Event::Head(attempt) => attempt != self.attempt || self.phase != Phase::Sent,
            Event::Body(attempt) | Event::Done(attempt) => {
                attempt != self.attempt || self.phase != Phase::Answering
            }
            Event::Settled(attempt, _) | Event::SettleFailed(attempt) => {
                attempt != self.attempt || self.phase != Phase::Settling
            }
            Event::Refused(attempt, _) | Event::Failed(attempt, _) | Event::StreamLost(attempt) => {
                attempt != self.attempt || self.phase == Phase::Settling
            }
            _ => false,
        }
    }

    /// Sends the next attempt.
    fn send(&mut self) -> Option<Action> {
        self.attempt += 1;
        self.phase = Phase::Idle;
        Some(Action::Send(self.attempt))
    }

    /// Moves on without an action.
    fn enter(&mut self, phase: Phase) -> Option<Action> {
        self.phase = phase;
        None
    }

    /// The attempt did not run, so any call may be sent again. A refusal of
    /// what has begun to answer is no refusal.
    fn on_refused(&mut self, now: Instant, code: Code) -> Option<Action> {
        if self.phase == Phase::Answering {
            return self.fail(Code::ConnectionLost);
        }
        let elsewhere = matches!(
            code,
            Code::Full | Code::Draining | Code::NoEndpoint | Code::Settled
        );
        if elsewhere && !self.settings.pinned {
            return self.retry(now, code);
        }
        self.fail(code)
    }

    /// The attempt ran and failed.
    fn on_failed(&mut self, now: Instant, code: Code) -> Option<Action> {
        // What a sidecar has begun is never told as not run.
        let code = match code.class() {
            Class::NotRun => Code::ConnectionLost,
            Class::RanAndFailed | Class::Unknown => code,
        };
        self.uncertain_run = Some(code);
        let idempotent = self.settings.idempotent && self.phase != Phase::Answering;
        if idempotent && code != Code::EndpointCrashed {
            return self.retry(now, code);
        }
        self.fail(code)
    }

    /// The stream broke.
    fn on_stream_lost(&mut self, now: Instant) -> Option<Action> {
        match self.phase {
            Phase::Idle => self.retry(now, Code::NoEndpoint),
            Phase::Answering => self.fail(Code::ConnectionLost),
            _ if self.settings.idempotent => {
                self.uncertain_run = Some(Code::ConnectionLost);
                self.retry(now, Code::ConnectionLost)
            }
            _ => {
                self.phase = Phase::Settling;
                Some(Action::Settle(self.attempt))
            }
        }
    }

    /// The sidecar said what became of the attempt.
    fn on_settled(&mut self, now: Instant, verdict: Verdict) -> Option<Action> {
        match verdict {
            Verdict::Barred if self.settings.pinned => self.fail(Code::Settled),
            Verdict::Barred => self.retry(now, Code::Settled),
            Verdict::Running | Verdict::Ended | Verdict::Forgotten => {
                self.fail(Code::ConnectionLost)
            }
        }
    }

    /// Sends again, within the limits.
    fn retry(&mut self, now: Instant, code: Code) -> Option<Action> {
        let exhausted = self.retries >= self.settings.max_retries || now >= self.deadline;
        if exhausted || self.settings.pinned {
            return self.fail(code);
        }
        self.retries += 1;
        self.attempt += 1;
        self.phase = Phase::Idle;
        Some(Action::Retry(code, self.attempt))
    }

    /// Ends with a failure. A call is told as not run only when no attempt of
    /// it may have run.
    fn fail(&mut self, code: Code) -> Option<Action> {
        self.phase = Phase::Ended;
        let uncertain_run = self.uncertain_run.filter(|_| code.class() == Class::NotRun);
        Some(Action::Fail(uncertain_run.unwrap_or(code)))
    }

    /// The code of a call that ran past its deadline.
    fn deadline_code(&self) -> Code {
        match self.phase {
            Phase::Idle => Code::TooLate,
            _ => Code::Overdue,
        }
    }
}
