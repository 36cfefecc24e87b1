//! State machine of a plain call at the entry.
//!
//! A call that is not idempotent is sent again only if the sidecar of the previous
//! attempt refused it, or answers that it never received it and has now barred it.

use std::time::Instant;

use cranberryridge_wire::code::{Class, Code};
use cranberryridge_wire::message::Verdict;

/// State machine of one plain call.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    /// Time by which the call must have ended.
    deadline: Instant,
    phase: Phase,
    /// Number of the current attempt, counted from 1.
    attempt: u32,
    /// Number of retries.
    retries: u32,
    /// Why an earlier attempt may have run; `None` if none did.
    uncertain_run: Option<Code>,
}

/// Rules of the state machine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether only one sidecar may run the call, so that it is never sent again.
    pub pinned: bool,
    /// Maximum number of retries.
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

/// Inputs of the state machine. A `u32` is the number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The call begins.
    Begin,
    /// The attempt may have left the entry.
    Sent,
    /// No endpoint is open.
    Unplaced(Code),
    /// The retry budget is exhausted.
    RetryDenied,
    /// The attempt did not run.
    Refused(u32, Code),
    /// The head of the answer arrived.
    Head(u32),
    /// A part of the answer's body arrived.
    Body(u32),
    /// The answer is complete.
    Done(u32),
    /// The attempt ran and failed.
    Failed(u32, Code),
    /// The attempt's stream broke.
    StreamLost(u32),
    /// The sidecar's verdict on an attempt whose stream broke.
    Settled(u32, Verdict),
    /// The sidecar did not answer the request for a verdict.
    SettleFailed(u32),
    /// The caller disconnected.
    CallerGone,
    /// A timer fired.
    Tick,
}

/// Outputs of the state machine, for the entry to execute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose an endpoint and send the attempt.
    Send(u32),
    /// Take a retry from the budget, then send the attempt. Holds the code that caused it.
    Retry(Code, u32),
    /// Request the sidecar's verdict on the attempt.
    Settle(u32),
    /// Pass the current event to the caller.
    Emit,
    /// Finish the answer.
    Finish,
    /// Fail with a code.
    Fail(Code),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The attempt was not sent yet.
    Idle,
    /// The attempt was sent.
    Sent,
    /// The caller received the head of the answer.
    Answering,
    /// The sidecar was asked for its verdict on the attempt.
    Settling,
    /// The call has ended; the caller gets nothing more.
    Ended,
}

impl Machine {
    /// Creates the machine of a call that has not begun.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use cranberryridge_policy::invoke::{Action, Event, Machine, Settings};
    /// use cranberryridge_wire::code::Code;
    /// let now = Instant::now();
    /// let deadline = now + std::time::Duration::from_secs(9);
    /// let mut machine = Machine::new(Settings::default(), deadline);
    /// assert_eq!(machine.handle(now, Event::Begin), Some(Action::Send(1)));
    /// machine.handle(now, Event::Sent);
    /// assert_eq!(machine.handle(now, Event::StreamLost(1)), Some(Action::Settle(1)));
    /// let end = Some(Action::Fail(Code::ConnectionLost));
    /// assert_eq!(machine.handle(now, Event::SettleFailed(1)), end);
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

    /// Whether the call has ended.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Time at which the driver must send an [`Event::Tick`]: the deadline.
    pub fn next_tick(&self) -> Instant {
        self.deadline
    }

    /// Handles an event and returns the action to execute. Events after the end, of
    /// earlier attempts or out of order have no effect.
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

    /// Whether an event belongs to an earlier attempt or does not fit the phase.
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

    /// Sends the first attempt.
    fn send(&mut self) -> Option<Action> {
        self.attempt += 1;
        self.phase = Phase::Idle;
        Some(Action::Send(self.attempt))
    }

    /// Changes the phase without an action.
    fn enter(&mut self, phase: Phase) -> Option<Action> {
        self.phase = phase;
        None
    }

    /// Handles an attempt that did not run: any call may be sent again. Once the answer
    /// has begun, a refusal counts as a lost connection.
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

    /// Handles an attempt that ran and failed.
    fn on_failed(&mut self, now: Instant, code: Code) -> Option<Action> {
        // Work that a sidecar has begun must not be reported as not run.
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

    /// Handles a broken stream.
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

    /// Handles the sidecar's verdict on the attempt.
    fn on_settled(&mut self, now: Instant, verdict: Verdict) -> Option<Action> {
        match verdict {
            Verdict::Barred if self.settings.pinned => self.fail(Code::Settled),
            Verdict::Barred => self.retry(now, Code::Settled),
            Verdict::Running | Verdict::Ended | Verdict::Forgotten => {
                self.fail(Code::ConnectionLost)
            }
        }
    }

    /// Sends the call again, within the limits.
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

    /// Ends with a failure. The call is reported as not run only if none of its attempts
    /// may have run.
    fn fail(&mut self, code: Code) -> Option<Action> {
        self.phase = Phase::Ended;
        let uncertain_run = self.uncertain_run.filter(|_| code.class() == Class::NotRun);
        Some(Action::Fail(uncertain_run.unwrap_or(code)))
    }

    /// Code of a call that passed its deadline.
    fn deadline_code(&self) -> Code {
        match self.phase {
            Phase::Idle => Code::TooLate,
            _ => Code::Overdue,
        }
    }
}
