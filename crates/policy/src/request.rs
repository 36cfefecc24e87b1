//! State machine of a model request at the entry.
//!
//! The machine owns two attempts at once: one at a prefill endpoint and one at the
//! decode endpoint that takes the result. It ensures that no prefill starts without a
//! place for its result, that late, duplicated or reordered events are dropped, and that
//! a request ends exactly once.
//!
//! A request counts as run once the machine has sent a prefill, unless the endpoint
//! answers that it did not run it. From then on the machine gives no code of the class
//! *not run*. Prompt tokens are wasted if no event of an answer followed from them.

use std::time::{Duration, Instant};

use cranberryridge_wire::code::{Class, Code};

use crate::place::Pair;

mod step;

pub use step::{Action, Event, Leg, Settings};

/// State machine of one model request.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    /// Time by which the request must have ended.
    deadline: Instant,
    phase: Phase,
    /// Number of the current attempt, counted from 1.
    attempt: u32,
    /// Endpoints of the current attempt.
    pair: Option<Pair>,
    /// State of the hold on decode memory.
    hold: Hold,
    prefill: Prefill,
    /// Position of the next event of the answer.
    next_position: u32,
    /// Resumptions in a row since the last new event of the answer.
    resumptions: u32,
    /// Number of retries after failures.
    failures: u32,
    /// Number of refusals in a row.
    refusals: u32,
    /// Prompt tokens that were read but whose result was not used.
    wasted_tokens: u32,
    /// Prompt tokens of the current prefill result, while no event followed from it.
    unused_tokens: u32,
    /// Whether an engine may have run an earlier prefill.
    may_have_run: bool,
    /// Code of the last attempt that ran and failed.
    last_failure: Option<Code>,
    /// Whether a result of this attempt expired because its hold was predicted to be
    /// granted earlier than it was.
    mispredicted: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Endpoints are being chosen.
    Placing,
    /// The attempts are in progress, the decode has not started.
    Preparing,
    /// The decode endpoint generates the answer.
    Decoding,
    /// The request has ended; the caller gets nothing more.
    Ended,
}

/// State of the hold on decode memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hold {
    Requested,
    /// Predicted to be granted at this time.
    Queued(Instant),
    Granted,
}

/// State of the prefill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Prefill {
    /// Not started, or refused.
    Idle,
    /// Requested or running.
    Running,
    /// Finished; the endpoint keeps the result until this time.
    Ready(Instant),
}

impl Machine {
    /// Creates the machine of a request that has not begun.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cranberryridge_policy::request::{Action, Event, Machine, Settings};
    /// let now = Instant::now();
    /// let mut machine = Machine::new(Settings::default(), now + Duration::from_secs(9));
    /// assert_eq!(machine.handle(now, Event::Begin), vec![Action::Place(Duration::ZERO)]);
    /// ```
    pub fn new(settings: Settings, deadline: Instant) -> Self {
        Self {
            settings,
            deadline,
            phase: Phase::Placing,
            attempt: 0,
            pair: None,
            hold: Hold::Requested,
            prefill: Prefill::Idle,
            next_position: 0,
            resumptions: 0,
            failures: 0,
            refusals: 0,
            wasted_tokens: 0,
            unused_tokens: 0,
            may_have_run: false,
            last_failure: None,
            mispredicted: false,
        }
    }

    /// Whether the request has ended.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Prompt tokens that were read so far but whose result was not used.
    pub fn wasted_tokens(&self) -> u32 {
        self.wasted_tokens
    }

    /// Latest time at which the driver must send an [`Event::Tick`].
    pub fn next_tick(&self) -> Instant {
        match (self.phase, self.prefill) {
            (Phase::Preparing, Prefill::Ready(expiry)) => expiry.min(self.deadline),
            _ => self.deadline,
        }
    }

    /// Handles an event and returns the actions to execute in order. Events after the
    /// end and events of earlier attempts have no effect.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        if self.is_ended() || self.is_stale(event) {
            return Vec::new();
        }
        match event {
            Event::Begin => vec![Action::Place(Duration::ZERO)],
            Event::Placed(pair) => self.on_placed(now, pair),
            Event::Unplaced(code) => self.on_unplaced(now, code),
            Event::RetryDenied(code) => self.fail(code, Duration::ZERO),
            Event::Granted(leg, _) => self.on_granted(now, leg),
            Event::Queued(leg, _, wait) => self.on_queued(now, leg, wait),
            Event::Refused(leg, _, code, retry) => self.on_refused(now, leg, code, retry),
            Event::Prefilled(_, tokens, lifetime) => self.on_prefilled(now, tokens, lifetime),
            Event::Token(_, position) => self.on_token(now, position),
            Event::Done(_, count) => self.on_done(now, count),
            Event::Failed(leg, _, code) => self.on_failed(now, leg, code),
            Event::StreamLost(leg, _) => self.on_stream_lost(now, leg),
            Event::CallerGone => self.end(),
            Event::Tick => self.on_tick(now),
        }
    }

    /// Whether an event belongs to an earlier attempt or does not fit the phase.
    fn is_stale(&self, event: Event) -> bool {
        match event {
            Event::Granted(_, attempt)
            | Event::Queued(_, attempt, _)
            | Event::Refused(_, attempt, _, _)
            | Event::Prefilled(attempt, _, _)
            | Event::Token(attempt, _)
            | Event::Done(attempt, _)
            | Event::Failed(_, attempt, _)
            | Event::StreamLost(_, attempt) => {
                attempt != self.attempt || self.phase == Phase::Placing
            }
            Event::Placed(_) | Event::Unplaced(_) | Event::RetryDenied(_) => {
                self.phase != Phase::Placing
            }
            Event::Begin | Event::CallerGone | Event::Tick => false,
        }
    }

    /// Starts an attempt with its hold, or with its prefill if the prefill comes first.
    fn on_placed(&mut self, now: Instant, pair: Pair) -> Vec<Action> {
        self.attempt += 1;
        self.pair = Some(pair);
        self.phase = Phase::Preparing;
        self.hold = Hold::Requested;
        self.prefill = Prefill::Idle;
        self.resumptions = 0;
        self.mispredicted = false;
        if !self.settings.hold_first {
            self.prefill = Prefill::Running;
            return vec![Action::Prefill(pair, self.attempt)];
        }
        let mut actions = vec![Action::Hold(pair, self.attempt)];
        actions.extend(self.proceed(now));
        actions
    }

    /// Handles the grant of the hold or the admission of the prefill.
    fn on_granted(&mut self, now: Instant, leg: Leg) -> Vec<Action> {
        match leg {
            Leg::Decode => self.hold = Hold::Granted,
            Leg::Prefill => self.refusals = 0,
        }
        self.proceed(now)
    }

    /// Handles a hold that is queued.
    fn on_queued(&mut self, now: Instant, leg: Leg, wait: Duration) -> Vec<Action> {
        if leg == Leg::Decode && self.hold != Hold::Granted {
            self.hold = Hold::Queued(now + wait);
        }
        self.proceed(now)
    }

    /// Handles a finished prefill.
    fn on_prefilled(&mut self, now: Instant, tokens: u32, lifetime: Duration) -> Vec<Action> {
        if self.prefill != Prefill::Running {
            return Vec::new();
        }
        self.prefill = Prefill::Ready(now + lifetime);
        self.unused_tokens = tokens;
        match self.pair {
            Some(pair) if !self.settings.hold_first => vec![Action::Hold(pair, self.attempt)],
            _ => self.proceed(now),
        }
    }

    /// Starts the next step that the state allows.
    fn proceed(&mut self, now: Instant) -> Vec<Action> {
        let Some(pair) = self.pair else {
            return Vec::new();
        };
        match (self.hold, self.prefill) {
            (Hold::Granted, Prefill::Ready(_)) if self.phase == Phase::Preparing => {
                self.phase = Phase::Decoding;
                vec![Action::Decode(self.attempt)]
            }
            (hold, Prefill::Idle) if self.can_start_prefill(now, hold, pair) => {
                self.prefill = Prefill::Running;
                vec![Action::Prefill(pair, self.attempt)]
            }
            _ => Vec::new(),
        }
    }

    /// Whether the hold will be granted by the time a prefill started now is finished.
    /// The higher the weight of waste, the less a prediction counts; from 0.5 on it does
    /// not count. After a wrong prediction, predictions do not count either.
    fn can_start_prefill(&self, now: Instant, hold: Hold, pair: Pair) -> bool {
        match hold {
            Hold::Granted => true,
            Hold::Requested => false,
            Hold::Queued(_) if self.mispredicted => false,
            Hold::Queued(free) => {
                let weight = 1.0 - 2.0 * self.settings.waste_weight;
                weight > 0.0 && free <= now + pair.prefill_time.mul_f64(weight)
            }
        }
    }

    /// Handles a refusal by a sidecar. A refusal of the prefill counts only while the
    /// prefill is requested. A refusal to continue an answer is a failure.
    fn on_refused(&mut self, now: Instant, leg: Leg, code: Code, retry: Duration) -> Vec<Action> {
        if self.phase == Phase::Decoding {
            return match leg {
                Leg::Prefill => Vec::new(),
                Leg::Decode => self.retry_or_fail(now, Code::EndpointFailed),
            };
        }
        if leg == Leg::Prefill {
            if self.prefill != Prefill::Running {
                return Vec::new();
            }
            self.prefill = Prefill::Idle;
        }
        self.place_elsewhere(now, code, retry)
    }

    /// Handles a choice without an open endpoint. Connections that broke together come
    /// back within moments, so the choice is repeated with a linear backoff.
    fn on_unplaced(&mut self, now: Instant, code: Code) -> Vec<Action> {
        let pause =
            self.settings.placement_pause * (self.refusals + 1).min(self.settings.max_refusals);
        self.place_again(now, code, Duration::ZERO, pause)
    }

    /// Handles an attempt that did not run: chooses again or fails.
    fn place_elsewhere(&mut self, now: Instant, code: Code, retry: Duration) -> Vec<Action> {
        self.place_again(now, code, retry, Duration::ZERO)
    }

    /// Chooses endpoints again after a pause, unless the code is permanent, the refusals
    /// are exhausted or the deadline comes first.
    fn place_again(
        &mut self,
        now: Instant,
        code: Code,
        retry: Duration,
        pause: Duration,
    ) -> Vec<Action> {
        let mut actions = self.close_attempts();
        self.refusals += 1;
        let last = self.refusals > self.settings.max_refusals;
        let permanent = matches!(code, Code::PromptTooLong | Code::Barred | Code::BadBody);
        let late = code == Code::TooLate && !self.settings.serve_late;
        if permanent || late || (last && !self.settings.serve_late) {
            actions.extend(self.fail(code, retry));
            return actions;
        }
        let pause = if last {
            pause.max(self.settings.placement_pause).max(retry)
        } else {
            pause
        };
        if now + pause >= self.deadline {
            actions.extend(self.fail(code, retry));
            return actions;
        }
        actions.push(Action::Place(pause));
        actions
    }

    /// Handles an event of the answer. Only the next one in order counts; duplicates are
    /// dropped, and after a gap the missing events are requested again.
    fn on_token(&mut self, now: Instant, position: u32) -> Vec<Action> {
        if self.phase != Phase::Decoding || position < self.next_position {
            return Vec::new();
        }
        if position > self.next_position {
            return self.resume(now);
        }
        self.next_position += 1;
        self.unused_tokens = 0;
        self.resumptions = 0;
        vec![Action::Emit]
    }

    /// Handles the end of the answer, which counts only once every event has arrived.
    fn on_done(&mut self, now: Instant, count: u32) -> Vec<Action> {
        if self.phase != Phase::Decoding {
            return Vec::new();
        }
        if count > self.next_position {
            return self.resume(now);
        }
        if count < self.next_position {
            return self.retry_or_fail(now, Code::EndpointFailed);
        }
        let mut actions = self.end();
        actions.push(Action::Finish);
        actions
    }

    /// Handles the failure of an endpoint. The failure of a prefill that is already
    /// finished comes late and is dropped; one of the class *not run* means that the
    /// endpoint never began.
    fn on_failed(&mut self, now: Instant, leg: Leg, code: Code) -> Vec<Action> {
        if leg == Leg::Prefill {
            if self.prefill != Prefill::Running {
                return Vec::new();
            }
            if code.class() == Class::NotRun {
                self.prefill = Prefill::Idle;
            }
        }
        self.retry_or_fail(now, code)
    }

    /// Handles an attempt that failed after it started: retries or fails.
    fn retry_or_fail(&mut self, now: Instant, code: Code) -> Vec<Action> {
        let mut actions = self.close_attempts();
        if code.class() != Class::NotRun {
            self.last_failure = Some(code);
        }
        let begun = self.settings.streaming && self.next_position > 0;
        self.failures += 1;
        let permanent = code == Code::Barred || code == Code::BadBody;
        if permanent || begun || self.failures > self.settings.max_failures || now >= self.deadline
        {
            actions.extend(self.fail(code, Duration::ZERO));
            return actions;
        }
        if self.next_position > 0 {
            self.next_position = 0;
            actions.push(Action::Reset);
        }
        actions.push(Action::Retry(code, self.failures));
        actions
    }

    /// Handles a broken stream. An answer is resumed; a hold whose prefill was not
    /// requested yet is requested elsewhere; otherwise the attempt has failed.
    fn on_stream_lost(&mut self, now: Instant, leg: Leg) -> Vec<Action> {
        match (leg, self.phase) {
            (Leg::Decode, Phase::Decoding) => self.resume(now),
            (Leg::Decode, _) if self.prefill == Prefill::Idle => {
                self.place_elsewhere(now, Code::NoEndpoint, Duration::ZERO)
            }
            (Leg::Prefill, _) if self.prefill != Prefill::Running => Vec::new(),
            _ => self.retry_or_fail(now, Code::EndpointFailed),
        }
    }

    /// Requests the rest of the answer, up to the limit of resumptions in a row.
    fn resume(&mut self, now: Instant) -> Vec<Action> {
        if self.resumptions >= self.settings.max_resumptions {
            return self.retry_or_fail(now, Code::EndpointFailed);
        }
        self.resumptions += 1;
        vec![Action::Resume(self.attempt, self.next_position)]
    }

    /// Checks the deadline and the lifetime of the prefill result.
    fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        if now >= self.deadline {
            return self.fail(Code::TooLate, Duration::ZERO);
        }
        match self.prefill {
            Prefill::Ready(expiry) if self.phase == Phase::Preparing && now >= expiry => {
                if !self.settings.hold_first {
                    return self.retry_or_fail(now, Code::TransferFailed);
                }
                self.prefill = Prefill::Idle;
                self.may_have_run = true;
                self.mispredicted = true;
                self.count_waste();
                self.proceed(now)
            }
            _ => Vec::new(),
        }
    }

    /// Closes both attempts.
    fn close_attempts(&mut self) -> Vec<Action> {
        if self.phase == Phase::Placing {
            return Vec::new();
        }
        self.may_have_run |= self.prefill != Prefill::Idle;
        self.count_waste();
        self.phase = Phase::Placing;
        vec![Action::Close(Leg::Prefill), Action::Close(Leg::Decode)]
    }

    /// Counts the unused tokens of the current result as wasted, once.
    fn count_waste(&mut self) {
        self.wasted_tokens += std::mem::take(&mut self.unused_tokens);
    }

    /// Ends the request and closes its attempts.
    fn end(&mut self) -> Vec<Action> {
        let actions = self.close_attempts();
        self.phase = Phase::Ended;
        actions
    }

    /// Ends the request with a failure.
    fn fail(&mut self, code: Code, retry: Duration) -> Vec<Action> {
        let mut actions = self.end();
        actions.push(Action::Fail(self.overall_code(code), retry));
        actions
    }

    /// Code that is true of the request as a whole: a request that may have run must not
    /// be reported as not run.
    fn overall_code(&self, code: Code) -> Code {
        match code {
            _ if !self.may_have_run || code.class() != Class::NotRun => code,
            Code::TooLate => Code::Deadline,
            _ => self.last_failure.unwrap_or(Code::EndpointFailed),
        }
    }
}
