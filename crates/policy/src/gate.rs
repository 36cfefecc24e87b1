//! Admission control for one endpoint, at its sidecar.
//!
//! Only the sidecar admits work, so entries with stale views cannot overcommit an
//! engine's memory, however many there are. Work that does not fit is queued, ordered
//! by the time left until it is due.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use cranberryridge_wire::code::Code;

slotmap::new_key_type! {
    /// Identifies one task at a gate.
    pub struct Key;
}

/// Admits tasks to one endpoint and queues those that do not fit.
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
    /// Capacity of the endpoint and rules of the queue.
    settings: Settings,
    /// All admitted and queued tasks.
    tasks: SlotMap<Key, Task>,
    /// Keys of the queued tasks.
    queue: Vec<Key>,
    /// Admitted tasks that are to start and wait until their slot is actually free.
    start_queue: VecDeque<Key>,
    /// Number of admitted tasks, started or not.
    admitted: u32,
    /// Pages of the admitted tasks.
    admitted_pages: u32,
    /// Number of started tasks.
    started: u32,
    /// Pages of the started tasks.
    started_pages: u32,
    /// Cost units of all admitted and queued tasks.
    backlog: u64,
    /// Moving average of the time that a task holds its slot.
    mean_hold: Duration,
    /// Time of the last call that changed the gate.
    last_update: Option<Instant>,
}

/// Capacity of an endpoint and rules of its queue.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum number of concurrent tasks.
    pub slots: u32,
    /// Memory in pages; 0 if memory is no limit.
    pub pages: u32,
    /// Cost units processed per second; 0 if the endpoint's work is not measured in
    /// cost units.
    pub rate: u32,
    /// Share of a task's waiting time that counts as an earlier due time, so that
    /// tasks with a late due time are not starved.
    pub aging: f64,
    /// Whether the queue is ordered by the time left until a task is due rather
    /// than by arrival.
    pub order_by_slack: bool,
    /// Whether a task is refused on arrival if it is predicted to be late or to wait
    /// too long.
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

/// A task's demand on an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Memory in pages.
    pub pages: u32,
    /// Cost units; for a prefill its uncached tokens.
    pub cost: u32,
    /// Time at which the first token is due.
    pub due: Instant,
    /// Time from admission to the first token, without the processing of `cost`.
    pub time_to_first_token: Duration,
    /// Whether the task is served even if it is late.
    pub serve_late: bool,
    /// Maximum time in the queue; with zero, a task that does not fit is refused at
    /// once.
    pub max_wait: Duration,
    /// Share, from 0 to 1, of the slots predicted to be free when the task starts
    /// that it may be admitted into in advance.
    pub overcommit: f64,
}

impl Demand {
    /// Creates a demand for one slot without memory or cost.
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

/// Result of a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The task is admitted.
    Granted,
    /// The task is queued, with its predicted wait.
    Queued(Duration),
    /// The task did not run and will not run.
    Refused(Code),
    /// An overcommitted task starts, because its slot is now actually free.
    Started,
}

/// Load of a gate, as the sidecar reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of admitted tasks.
    pub running: u32,
    /// Number of queued tasks.
    pub queued: u32,
    /// Number of pages not granted.
    pub free: u32,
    /// Cost units of all admitted and queued tasks.
    pub backlog: u64,
    /// Predicted wait of a new task with one page.
    pub wait: Duration,
}

/// An admitted or queued task.
#[derive(Debug)]
struct Task {
    demand: Demand,
    /// Time of the request for admission.
    queued_at: Instant,
    /// Time of admission, later of the start; `None` while the task is queued.
    granted_at: Option<Instant>,
    started: bool,
}

impl Gate {
    /// Creates the gate of an idle endpoint.
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

    /// Requests admission. A refused demand leaves no state behind.
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

    /// Removes a task, whether admitted or queued. Removing it again does nothing.
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

    /// Starts an admitted task. Returns false if its slot was overcommitted and is
    /// not free yet; [`Gate::advance`] then returns [`Verdict::Started`] for it later.
    pub fn start(&mut self, now: Instant, key: Key) -> bool {
        if !self.tasks.contains_key(key) {
            return false;
        }
        let first = self.start_queue.is_empty();
        self.start_queue.push_back(key);
        first && !self.start_ready(now).is_empty()
    }

    /// Starts waiting tasks in order while they fit.
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
            // The holding time counts from the start, not from the admission.
            task.granted_at = Some(now);
            self.started += 1;
            self.started_pages += pages;
            started.push(key);
        }
        started
    }

    /// Admits what now fits and refuses what waited too long. Returns the tasks whose
    /// state changed.
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

    /// Returns the current load.
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

    /// Removes queued tasks that exceeded their maximum wait or can no longer be in time.
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

    /// Whether a demand fits beside the admitted tasks.
    fn fits(&self, demand: &Demand) -> bool {
        let overcommitted = self.overcommitted_slots(demand);
        let slots = self.settings.slots + overcommitted;
        let pages =
            self.settings.pages + self.settings.pages * overcommitted / self.settings.slots.max(1);
        let memory = self.settings.pages == 0 || self.admitted_pages + demand.pages <= pages;
        memory && self.admitted < slots
    }

    /// Number of slots that are predicted to be free when a demand's work starts.
    fn overcommitted_slots(&self, demand: &Demand) -> u32 {
        if self.mean_hold.is_zero() || demand.overcommit <= 0.0 {
            return 0;
        }
        let fraction = demand.time_to_first_token.as_secs_f64() / self.mean_hold.as_secs_f64();
        (f64::from(self.started) * fraction.min(1.0) * demand.overcommit) as u32
    }

    /// Admits a task.
    fn grant(&mut self, now: Instant, key: Key) {
        let task = &mut self.tasks[key];
        task.granted_at = Some(now);
        self.admitted += 1;
        self.admitted_pages += task.demand.pages;
    }

    /// Predicts how long a demand waits in the queue.
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

    /// Time that the endpoint takes for a number of cost units.
    fn processing_time(&self, cost: u64) -> Duration {
        if self.settings.rate == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(cost as f64 / f64::from(self.settings.rate))
    }
}

/// Sort key of the queue: late tasks last, otherwise by due time, moved forward by a
/// share of the time waited.
fn urgency(task: &Task, now: Instant, aging: f64) -> (bool, Instant) {
    let waited = now.saturating_duration_since(task.queued_at);
    let late = now + task.demand.time_to_first_token > task.demand.due;
    let due = task.demand.due;
    (late, due.checked_sub(waited.mul_f64(aging)).unwrap_or(due))
}

/// Exponential moving average with weight 1/8 for the newest value.
fn moving_average(mean: Duration, value: Duration) -> Duration {
    if mean.is_zero() {
        return value;
    }
    mean * 7 / 8 + value / 8
}
