//! Admission of work to one endpoint, at its sidecar.
//!
//! The sidecar alone admits work, so that many entries with stale views never
//! overcommit an engine's memory. What does not fit waits, ordered by the
//! time left until it is due.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use cranberryridge_wire::code::Code;

slotmap::new_key_type! {
    /// One piece of work at a gate.
    pub struct Key;
}

/// Admits work to one endpoint.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::gate::{Demand, Gate, Settings, Verdict};
/// let now = Instant::now();
/// let mut gate = Gate::new(Settings { slots: 1, ..Settings::default() });
/// let demand = Demand { due: now, max_wait: Duration::from_secs(1), ..Demand::new(now) };
/// let (first, verdict) = gate.request(now, demand);
/// assert_eq!(verdict, Verdict::Granted);
/// let (second, verdict) = gate.request(now, demand);
/// assert!(matches!(verdict, Verdict::Queued(_)));
/// gate.release(now, first);
/// assert_eq!(gate.advance(now), vec![(second, Verdict::Granted)]);
/// ```
#[derive(Debug)]
pub struct Gate {
    /// What the endpoint can take.
    settings: Settings,
    /// Work that runs or waits.
    tasks: SlotMap<Key, Task>,
    /// Keys of the work that waits.
    queue: Vec<Key>,
    /// Work that waits to begin in its place.
    start_queue: VecDeque<Key>,
    /// Requests with a place.
    admitted: u32,
    /// Pages granted.
    admitted_pages: u32,
    /// Requests that began.
    started: u32,
    /// Pages of those.
    started_pages: u32,
    /// Cost units of the work that runs or waits.
    backlog: u64,
    /// Mean time that work holds its place.
    mean_hold: Duration,
    /// When the gate was last asked.
    last_update: Option<Instant>,
}

/// What an endpoint can take.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Most requests at once.
    pub slots: u32,
    /// Memory in pages; 0 where memory is no limit.
    pub pages: u32,
    /// Cost units worked off a second; 0 where work does not add up.
    pub rate: u32,
    /// How much of the wait makes up for a later due time.
    pub aging: f64,
    /// Whether work waits in the order of time left rather than of arrival.
    pub order_by_slack: bool,
    /// Whether work is refused that can no longer be in time.
    pub refuse_early: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 20,
            pages: 0,
            rate: 0,
            aging: 0.5,
            order_by_slack: true,
            refuse_early: true,
        }
    }
}

/// One request for a place.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Pages needed.
    pub pages: u32,
    /// Cost units, for a prefill its uncached tokens.
    pub cost: u32,
    /// When the first token is due.
    pub due: Instant,
    /// Work after admission until the first token.
    pub time_to_first_token: Duration,
    /// Whether the work is served although it is late.
    pub serve_late: bool,
    /// Longest wait, zero to be refused at once.
    pub max_wait: Duration,
    /// How far places count that should be free when the work begins, 0 to 1.
    pub overcommit: f64,
}

impl Demand {
    /// An ask for one slot that is due now.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::gate::Demand;
    /// assert_eq!(Demand::new(std::time::Instant::now()).pages, 0);
    /// ```
    pub fn new(due: Instant) -> Self {
        Self {
            pages: 0,
            cost: 0,
            due,
            time_to_first_token: Duration::ZERO,
            serve_late: true,
            max_wait: Duration::ZERO,
            overcommit: 0.0,
        }
    }
}

/// What becomes of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The place is there.
    Granted,
    /// The work waits, for about this long.
    Queued(Duration),
    /// The work did not and will not run.
    Refused(Code),
    /// The work begins, after it waited for its place to be free in truth.
    Started,
}

/// Load of a gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Pages free.
    pub free: u32,
    /// Cost units waiting or running.
    pub backlog: u64,
    /// Predicted wait of a new request.
    pub wait: Duration,
}

/// A piece of work.
#[derive(Debug)]
struct Task {
    /// What was asked.
    demand: Demand,
    /// When.
    queued_at: Instant,
    /// When it got its place.
    granted_at: Option<Instant>,
    /// Whether it began.
    started: bool,
}

impl Gate {
    /// A gate before an idle endpoint.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            tasks: SlotMap::with_key(),
            queue: Vec::new(),
            start_queue: VecDeque::new(),
            admitted: 0,
            admitted_pages: 0,
            started: 0,
            started_pages: 0,
            backlog: 0,
            mean_hold: Duration::ZERO,
            last_update: None,
        }
    }

    /// Takes an ask. A refused one leaves nothing behind.
    pub fn request(&mut self, now: Instant, demand: Demand) -> (Key, Verdict) {
        if self.settings.pages > 0 && demand.pages > self.settings.pages {
            return (Key::default(), Verdict::Refused(Code::PromptTooLong));
        }

        self.last_update = Some(now);
        let demand = Demand {
            time_to_first_token: demand.time_to_first_token
                + self.processing_time(u64::from(demand.cost)),
            ..demand
        };
        let wait = self.predicted_wait(&demand);
        if self.settings.refuse_early
            && !demand.serve_late
            && now + wait + demand.time_to_first_token > demand.due
        {
            return (Key::default(), Verdict::Refused(Code::TooLate));
        }

        let fits = self.queue.is_empty() && self.fits(&demand);
        let full = !self.settings.refuse_early && demand.max_wait.is_zero()
            || self.settings.refuse_early && wait.max(Duration::from_millis(1)) > demand.max_wait;
        if !fits && full {
            return (Key::default(), Verdict::Refused(Code::Full));
        }

        let key = self.tasks.insert(Task {
            demand,
            queued_at: now,
            granted_at: None,
            started: false,
        });
        self.backlog += u64::from(demand.cost);
        if fits {
            self.grant(now, key);
            return (key, Verdict::Granted);
        }
        self.queue.push(key);
        (key, Verdict::Queued(wait))
    }

    /// Frees a piece of work, whether it runs or waits. Freeing it again does
    /// nothing.
    pub fn release(&mut self, now: Instant, key: Key) {
        let Some(task) = self.tasks.remove(key) else {
            return;
        };
        self.last_update = Some(now);
        self.backlog -= u64::from(task.demand.cost);
        let Some(granted_at) = task.granted_at else {
            self.queue.retain(|queued| *queued != key);
            return;
        };
        self.admitted -= 1;
        self.admitted_pages -= task.demand.pages;
        if task.started {
            self.started -= 1;
            self.started_pages -= task.demand.pages;
        }
        self.start_queue.retain(|queued| *queued != key);
        self.mean_hold = moving_average(self.mean_hold, now.saturating_duration_since(granted_at));
    }

    /// Begins work that has its place. Returns false where the place was lent
    /// and is not free yet; [`Verdict::Started`] follows then.
    pub fn start(&mut self, now: Instant, key: Key) -> bool {
        if !self.tasks.contains_key(key) {
            return false;
        }
        let first = self.start_queue.is_empty();
        self.start_queue.push_back(key);
        first && !self.start_ready(now).is_empty()
    }

    /// Begins what waits and fits.
    fn start_ready(&mut self, now: Instant) -> Vec<Key> {
        let mut started = Vec::new();
        while let Some(key) = self.start_queue.front().copied() {
            let pages = self.tasks[key].demand.pages;
            let memory =
                self.settings.pages == 0 || self.started_pages + pages <= self.settings.pages;
            if !memory || self.started >= self.settings.slots {
                break;
            }
            self.start_queue.pop_front();
            let task = &mut self.tasks[key];
            task.started = true;
            // From here on the time counts that it takes.
            task.granted_at = Some(now);
            self.started += 1;
            self.started_pages += pages;
            started.push(key);
        }
        started
    }

    /// Admits what now fits and refuses what waited too long.
    pub fn advance(&mut self, now: Instant) -> Vec<(Key, Verdict)> {
        self.last_update = Some(now);
        let mut verdicts = self.expire(now);
        let started = self
            .start_ready(now)
            .into_iter()
            .map(|key| (key, Verdict::Started));
        verdicts.extend(started);
        let aging = self.settings.aging;
        let mut queue = std::mem::take(&mut self.queue);
        if self.settings.order_by_slack {
            queue.sort_by_key(|key| urgency(&self.tasks[*key], now, aging));
        }

        let mut admitted = 0;
        for key in &queue {
            let demand = self.tasks[*key].demand;
            if !self.fits(&demand) {
                break;
            }
            self.grant(now, *key);
            verdicts.push((*key, Verdict::Granted));
            admitted += 1;
        }
        queue.drain(..admitted);
        self.queue = queue;
        verdicts
    }

    /// The load now.
    pub fn load(&self) -> Load {
        Load {
            running: self.admitted,
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            free: self.settings.pages.saturating_sub(self.admitted_pages),
            backlog: self.backlog,
            wait: self.predicted_wait(&Demand {
                pages: 1,
                ..Demand::new(self.last_update.unwrap_or_else(Instant::now))
            }),
        }
    }

    /// Takes out what waited past its patience or can no longer be in time.
    fn expire(&mut self, now: Instant) -> Vec<(Key, Verdict)> {
        let mut verdicts = Vec::new();
        for key in self.queue.clone() {
            let task = &self.tasks[key];
            let code = if self.settings.refuse_early
                && !task.demand.serve_late
                && now + task.demand.time_to_first_token > task.demand.due
            {
                Code::TooLate
            } else if now >= task.queued_at + task.demand.max_wait {
                Code::Full
            } else {
                continue;
            };
            self.release(now, key);
            verdicts.push((key, Verdict::Refused(code)));
        }
        verdicts
    }

    /// Whether an ask fits beside what runs.
    fn fits(&self, demand: &Demand) -> bool {
        let overcommitted = self.overcommitted_slots(demand);
        let slots = self.settings.slots + overcommitted;
        let pages =
            self.settings.pages + self.settings.pages * overcommitted / self.settings.slots.max(1);
        let memory = self.settings.pages == 0 || self.admitted_pages + demand.pages <= pages;
        memory && self.admitted < slots
    }

    /// Places that should be free by the time that an ask's work begins.
    fn overcommitted_slots(&self, demand: &Demand) -> u32 {
        if self.mean_hold.is_zero() || demand.overcommit <= 0.0 {
            return 0;
        }
        let fraction = demand.time_to_first_token.as_secs_f64() / self.mean_hold.as_secs_f64();
        (f64::from(self.started) * fraction.min(1.0) * demand.overcommit) as u32
    }

    /// Gives a piece of work its place.
    fn grant(&mut self, now: Instant, key: Key) {
        let task = &mut self.tasks[key];
        task.granted_at = Some(now);
        self.admitted += 1;
        self.admitted_pages += task.demand.pages;
    }

    /// Predicted wait of an ask.
    fn predicted_wait(&self, demand: &Demand) -> Duration {
        if self.settings.rate > 0 {
            return self.processing_time(self.backlog);
        }
        if self.queue.is_empty() && self.fits(demand) {
            return Duration::ZERO;
        }
        let ahead = self.queue.len() as u32 + 1;
        self.mean_hold * ahead / self.settings.slots.max(1)
    }

    /// The time that cost units take.
    fn processing_time(&self, cost: u64) -> Duration {
        if self.settings.rate == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(cost as f64 / f64::from(self.settings.rate))
    }
}

/// Order in the queue: late work last, then by time left, less a share of the
/// time waited.
fn urgency(task: &Task, now: Instant, aging: f64) -> (bool, Instant) {
    let waited = now.saturating_duration_since(task.queued_at);
    let late = now + task.demand.time_to_first_token > task.demand.due;
    let due = task.demand.due;
    (late, due.checked_sub(waited.mul_f64(aging)).unwrap_or(due))
}

/// A running mean that weighs the newest value by an eighth.
fn moving_average(mean: Duration, value: Duration) -> Duration {
    if mean.is_zero() {
        return value;
    }
    mean * 7 / 8 + value / 8
}
