//! Prompt parts that crash the engines which begin to answer them.
//!
//! Requests with such a part need have nothing else in common, and all that run beside
//! one are lost with it. A run is on probation until some time after its first event. One
//! that a crash ends on probation is evidence against each part of its prompt. One that
//! outlives its probation proves them harmless from the time at which it was sent: a part
//! that crashes engines would have crashed this one.
//!
//! Evidence of several hosts adds up in any order. A part's crashes count
//!
//! - once for runs that overlap: of many runs that a failing rack ends, each has the
//!   parts that most prompts share;
//! - half if another endpoint crashed at the same time, which speaks for a common cause.
//!
//! Parts that are always together share their crashes. A request is not refused for one
//! of them if it lacks another that explains all of its crashes but one. If it then crashes
//! engines, the other no longer explains them; if it does not, it is proof.
//!
//! Crashes of runs with a part that most requests to a service have cannot be told from
//! faults of the engines, or from crashes whose culprit was not observed, and its bar
//! protects few requests. Such a part is tried soon, and after each further crash half as
//! often.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::{Rng, RngExt};

use cranberryridge_wire::id::{Digest, Incarnation};
use cranberryridge_wire::Map;

/// Time after its first event for which a run is on probation.
pub const PROBATION: Duration = Duration::from_millis(250);

/// Weight from which on a part is barred.
const BARRING_WEIGHT: u32 = 6;

/// Weight of a crash of one endpoint alone. One of several at the same time has half of
/// it.
const SINGLE_CRASH_WEIGHT: u32 = 2;

/// Maximum weight of a part's crashes that another one does not explain, for it to explain
/// the part's being lost. A crash whose culprit was not observed, as its host ended or its
/// caller left, must not bar a part beside the culprit.
const MAX_UNEXPLAINED_WEIGHT: u32 = 2;

/// Maximum time between crashes of several endpoints that count as simultaneous.
const SIMULTANEOUS_CRASHES: Duration = Duration::from_millis(100);

/// Maximum difference between two hosts' times of the same crash. An endpoint takes
/// longer to start again.
const MAX_CRASH_SKEW: Duration = Duration::from_millis(300);

/// Interval at which hosts tell each other proofs of a part that was lost in crashes.
const PROOF_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a request that tries a part has the part for itself.
const TRIAL_TIME: Duration = Duration::from_secs(10);

/// Time after its last crash for which a part that most requests have is barred at first.
/// Each further crash doubles it.
const FIRST_COMMON_RETENTION: Duration = Duration::from_secs(5);

/// Maximum number of services whose recent requests are kept.
const MAX_SERVICES: usize = 256;

/// Number of recent requests to a service that tell which parts most of them have.
const SAMPLE_LEN: usize = 64;

/// Least number of them that have a part which most have.
const MIN_COMMON: usize = SAMPLE_LEN * 3 / 4;

/// Mean of the shortest time between two of them, as one caller may send many equal ones at
/// once. It varies, as callers may send theirs at regular intervals.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of losses that are kept for one part. The oldest are forgotten first.
const MAX_LOSSES: usize = 32;

/// Maximum number of crashes that are kept to tell which ones were simultaneous.
const MAX_CRASHES: usize = 256;

/// Parameters of a table.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time after a part's last crash for which it is barred. If it is not barred, its
    /// crashes are then forgotten.
    pub retention: Duration,
    /// Further time for which the part stays barred at hosts that did not observe its
    /// last crash. It should differ from host to host, so that one of them tries it first
    /// and the others hear of the result.
    pub trial_delay: Duration,
    /// Maximum number of parts in the table.
    pub max_parts: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            trial_delay: Duration::from_secs(30),
            max_parts: 1024,
        }
    }
}

/// Evidence about prompt parts.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::gateway::part::{Crash, Loss, Settings, Table};
/// use cranberryridge_wire::id::{Digest, Incarnation};
/// let (mut table, mut now) = (Table::new(Settings::default()), Instant::now());
/// let (part, other) = (Digest([1, 2]), Digest([3, 4]));
/// for endpoint in [7, 8, 9] {
///     assert_eq!(table.admit(now, &[part]), Ok(()));
///     let sent_at = now + Duration::from_secs(1);
///     now = sent_at + Duration::from_secs(1);
///     let crash = Crash { endpoint: Incarnation(endpoint), at: now };
///     table.record_loss(now, part, Loss { crash, sent_at }, true);
/// }
/// assert!(table.admit(now, &[part]).is_err());
/// assert_eq!(table.admit(now, &[other]), Ok(()));
/// ```
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    rows: Map<Digest, Row>,
    /// Crashes of runs on probation, whatever their parts, oldest first.
    crashes: Vec<Crash>,
    /// Recent requests by service.
    services: Map<CompactString, Sample>,
}

/// Sample of the recent requests to one service.
#[derive(Debug, Default)]
struct Sample {
    /// Time from which on the next request is taken, or `None` if none was.
    next_at: Option<Instant>,
    /// Parts of the requests, oldest first.
    arrivals: VecDeque<Box<[Digest]>>,
}

/// Crash of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Number that stands for the endpoint.
    pub endpoint: Incarnation,
    /// Time at which a run on it was lost.
    pub at: Instant,
}

/// Run on probation that a crash ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// The crash.
    pub crash: Crash,
    /// Time at which the run was sent.
    pub sent_at: Instant,
}

/// Evidence about one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A crash ended a run with the part on probation.
    Loss(Loss),
    /// A run with the part, sent at this time, outlived its probation.
    Proof(Instant),
}

/// What is known of one part.
#[derive(Debug, Default)]
struct Row {
    /// Losses, oldest crash first.
    losses: Vec<Counted>,
    /// Time at which the latest run was sent that outlived its probation.
    proven_at: Option<Instant>,
    /// Whether this host observed the last crash.
    has_seen_last: bool,
    /// Time of the last request that was let through to try the part.
    tried_at: Option<Instant>,
    /// Time at which the run was sent that was last told to other hosts as proof.
    told_at: Option<Instant>,
}

/// Loss with its weight.
#[derive(Clone, Copy, Debug)]
struct Counted {
    loss: Loss,
    /// Whether no other endpoint crashed at the same time.
    is_single: bool,
}

impl Counted {
    /// Returns the weight of the loss if it overlaps with none that counts.
    fn weight(&self) -> u32 {
        if self.is_single {
            SINGLE_CRASH_WEIGHT
        } else {
            SINGLE_CRASH_WEIGHT / 2
        }
    }
}

impl Crash {
    /// Returns whether another endpoint crashed at the same time.
    fn is_simultaneous(&self, other: &Self) -> bool {
        self.endpoint != other.endpoint && distance(self.at, other.at) <= SIMULTANEOUS_CRASHES
    }

    /// Returns whether two hosts mean the same crash.
    fn is_same(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && distance(self.at, other.at) < MAX_CRASH_SKEW
    }
}

impl Loss {
    /// Returns whether a crash ended the run although its host noticed that only later, as
    /// when it was paused.
    fn was_lost_by(&self, crash: &Crash) -> bool {
        crash.endpoint == self.crash.endpoint && self.sent_at < crash.at && crash.at < self.crash.at
    }
}

impl Sample {
    /// Records the parts of a request.
    fn record<R: Rng>(&mut self, now: Instant, parts: &[Digest], random: &mut R) {
        if self.next_at.is_some_and(|next_at| now < next_at) {
            return;
        }
        if self.arrivals.len() >= SAMPLE_LEN {
            self.arrivals.pop_front();
        }
        self.next_at = Some(now + SAMPLE_INTERVAL.mul_f64(random.random_range(0.5..1.5)));
        self.arrivals.push_back(parts.into());
    }

    /// Returns whether most requests have a part.
    fn is_common(&self, part: Digest) -> bool {
        let arrivals = self.arrivals.iter();
        arrivals.filter(|parts| parts.contains(&part)).count() >= MIN_COMMON
    }
}

impl Row {
    /// Returns the losses that no proof has refuted, oldest crash first.
    fn unrefuted(&self) -> impl Iterator<Item = &Counted> {
        let proven_at = self.proven_at;
        let losses = self.losses.iter();
        losses.filter(move |counted| proven_at.is_none_or(|at| at < counted.loss.crash.at))
    }

    /// Returns the crashes that no proof has refuted, oldest first.
    fn crashes(&self) -> impl Iterator<Item = Crash> + '_ {
        self.unrefuted().map(|counted| counted.loss.crash)
    }

    /// Returns the time of the last crash, or `None` if all are refuted.
    fn last_crash(&self) -> Option<Instant> {
        self.crashes().last().map(|crash| crash.at)
    }

    /// Returns whether this part was lost in nearly all crashes that count against another.
    fn explains(&self, other: &Self) -> bool {
        let is_unexplained = |crash: &Crash| !self.crashes().any(|own| own.is_same(crash));
        other.weight(is_unexplained) <= MAX_UNEXPLAINED_WEIGHT
    }

    /// Takes into account that an endpoint has crashed, whatever the parts of its runs.
    fn record_crash(&mut self, crash: Crash) {
        for counted in &mut self.losses {
            if counted.loss.was_lost_by(&crash) {
                counted.loss.crash = crash;
            }
            if counted.loss.crash.is_simultaneous(&crash) {
                counted.is_single = false;
            }
        }
        self.losses.sort_by_key(|counted| counted.loss.crash.at);
        self.losses
            .dedup_by(|later, earlier| later.loss.crash == earlier.loss.crash);
    }

    /// Returns whether the crashes suffice to bar the part.
    fn is_dangerous(&self) -> bool {
        self.weight(|_| true) >= BARRING_WEIGHT
    }

    /// Returns the time after the last crash for which the part is barred if most requests
    /// have it.
    fn common_retention(&self) -> Duration {
        let excess = self.weight(|_| true).saturating_sub(BARRING_WEIGHT);
        let factor = 2_u32.saturating_pow(excess / SINGLE_CRASH_WEIGHT);
        FIRST_COMMON_RETENTION.saturating_mul(factor)
    }

    /// Returns the weight of the crashes that pass a filter. Of runs that overlap, one
    /// counts.
    fn weight(&self, filter: impl Fn(&Crash) -> bool) -> u32 {
        let mut weight = 0;
        let mut counted_until = None;
        let losses = self.unrefuted();
        for counted in losses.filter(|counted| filter(&counted.loss.crash)) {
            if counted_until.is_none_or(|until| until < counted.loss.sent_at) {
                weight += counted.weight();
                counted_until = Some(counted.loss.crash.at);
            }
        }
        weight
    }
}

impl Table {
    /// Creates an empty table.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            rows: Map::default(),
            crashes: Vec::new(),
            services: Map::default(),
        }
    }

    /// Records that a request to a service has arrived, whether or not it is admitted.
    /// `random` decides when the next one is taken into the sample.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cranberryridge_policy::gateway::part::{Settings, Table};
    /// use cranberryridge_wire::id::Digest;
    /// let (mut table, now) = (Table::new(Settings::default()), Instant::now());
    /// table.record_arrival(now, "model", &[Digest([1, 2])], &mut rand::rng());
    /// assert_eq!(table.admit(now, &[Digest([1, 2])]), Ok(()));
    /// ```
    pub fn record_arrival<R: Rng>(
        &mut self,
        now: Instant,
        service: &str,
        parts: &[Digest],
        random: &mut R,
    ) {
        if !self.services.contains_key(service) {
            self.make_room_for_service();
            self.services.insert(service.into(), Sample::default());
        }
        if let Some(sample) = self.services.get_mut(service) {
            sample.record(now, parts, random);
        }
    }

    /// Admits a request with these parts. If the bar of a part has lapsed, the first
    /// request tries it, and others follow only after a proof.
    ///
    /// # Errors
    ///
    /// Returns the time for which the request is refused.
    pub fn admit(&mut self, now: Instant, parts: &[Digest]) -> Result<(), Duration> {
        let barred = self.barred_rows(parts).collect::<Vec<_>>();
        for (part, row) in &barred {
            let lapses_at = self.lapse_time(*part, row);
            let tried_until = row.tried_at.map(|at| at + TRIAL_TIME);
            let until = lapses_at.max(tried_until);
            if let Some(until) = until.filter(|until| now < *until) {
                return Err(until - now);
            }
        }
        for part in barred.into_iter().map(|(part, _)| part).collect::<Vec<_>>() {
            if let Some(row) = self.rows.get_mut(&part) {
                row.tried_at = Some(now);
            }
        }
        Ok(())
    }

    /// Returns the time for which a request that was admitted is refused after all, or
    /// `None` if it is not.
    pub fn barred_time(&self, now: Instant, parts: &[Digest]) -> Option<Duration> {
        let barred = self.barred_rows(parts);
        let lapse_times = barred.filter_map(|(part, row)| self.lapse_time(part, row));
        let until = lapse_times.max().filter(|until| now < *until)?;
        Some(until - now)
    }

    /// Returns whether one of the parts was lost in a crash that still counts.
    pub fn is_suspected(&self, parts: &[Digest]) -> bool {
        let mut rows = parts.iter().filter_map(|part| self.rows.get(part));
        rows.any(|row| row.last_crash().is_some())
    }

    /// Records evidence about a part. `is_own` tells whether this host observed it.
    /// Returns whether it is new and matters.
    pub fn record(&mut self, now: Instant, part: Digest, evidence: Evidence, is_own: bool) -> bool {
        match evidence {
            Evidence::Loss(loss) => self.record_loss(now, part, loss, is_own),
            Evidence::Proof(sent_at) => self.record_proof(part, sent_at),
        }
    }

    /// Records that a crash ended a run on probation. `is_own` tells whether this host
    /// observed it. Returns whether the crash is new for the part.
    pub fn record_loss(&mut self, now: Instant, part: Digest, loss: Loss, is_own: bool) -> bool {
        let mut earlier = self.crashes.iter().filter(|crash| loss.was_lost_by(crash));
        let crash = earlier.next().copied().unwrap_or(loss.crash);
        let loss = Loss { crash, ..loss };
        self.record_crash(crash);
        if !self.rows.contains_key(&part) {
            self.make_room(now);
        }
        let mut crashes = self.crashes.iter();
        let is_single = !crashes.any(|other| loss.crash.is_simultaneous(other));
        let row = self.rows.entry(part).or_default();
        let mut known = row.losses.iter().map(|counted| counted.loss.crash);
        if known.any(|crash| crash.is_same(&loss.crash)) {
            return false;
        }
        let expires_at = row.last_crash().map(|at| at + self.settings.retention);
        if !row.is_dangerous() && expires_at.is_some_and(|at| at <= loss.crash.at) {
            row.losses.clear();
        }
        let is_earlier = |counted: &Counted| counted.loss.crash.at <= loss.crash.at;
        let index = row.losses.partition_point(is_earlier);
        if index == row.losses.len() {
            row.has_seen_last = is_own;
            row.tried_at = None;
        }
        row.losses.insert(index, Counted { loss, is_single });
        if row.losses.len() > MAX_LOSSES {
            row.losses.remove(0);
        }
        true
    }

    /// Records that a run with the part, sent at this time, outlived its probation.
    /// Returns whether other hosts have to know: if this refutes a crash, and now and then
    /// after that, as another host may have a later time for the crash.
    pub fn record_proof(&mut self, part: Digest, sent_at: Instant) -> bool {
        let Some(row) = self.rows.get_mut(&part) else {
            return false;
        };
        let refutes = row.crashes().any(|crash| crash.at <= sent_at);
        row.proven_at = row.proven_at.max(Some(sent_at));
        let last_loss = row.losses.last().map(|counted| counted.loss.crash.at);
        let is_recent = last_loss.is_some_and(|at| sent_at < at + self.settings.retention);
        let is_due = row.told_at.is_none_or(|at| sent_at >= at + PROOF_INTERVAL);
        let is_news = refutes || (is_recent && is_due);
        if is_news {
            row.told_at = Some(sent_at);
        }
        is_news
    }

    /// Returns all evidence that counts, that against barred parts first.
    pub fn evidence(&self) -> Vec<(Digest, Evidence)> {
        let mut rows = self.rows.iter().collect::<Vec<_>>();
        rows.sort_by_key(|(_, row)| (!row.is_dangerous(), std::cmp::Reverse(row.last_crash())));
        let evidence = rows.into_iter().flat_map(|(part, row)| {
            let proof = row.proven_at.map(Evidence::Proof);
            let losses = row.unrefuted().map(|counted| Evidence::Loss(counted.loss));
            proof
                .into_iter()
                .chain(losses)
                .map(|evidence| (*part, evidence))
        });
        evidence.collect()
    }

    /// Returns the parts for which a request is refused unless their bars have lapsed.
    fn barred_rows<'a>(
        &'a self,
        parts: &'a [Digest],
    ) -> impl Iterator<Item = (Digest, &'a Row)> + 'a {
        let rows = parts
            .iter()
            .filter_map(|part| Some((*part, self.rows.get(part)?)));
        rows.filter(|(part, row)| row.is_dangerous() && !self.is_explained(*part, row, parts))
    }

    /// Returns whether a part that the request lacks explains the crashes of one that it has.
    /// Of two that explain each other, the one that most requests have does not, as runs with it
    /// are lost in any crash.
    fn is_explained(&self, part: Digest, row: &Row, parts: &[Digest]) -> bool {
        let mut others = self.rows.iter().filter(|(part, _)| !parts.contains(*part));
        others.any(|(other_part, other)| {
            other.explains(row)
                && !(row.explains(other) && self.is_common(*other_part) && !self.is_common(part))
        })
    }

    /// Returns the time at which the bar of a part lapses, or `None` if all its crashes
    /// are refuted.
    fn lapse_time(&self, part: Digest, row: &Row) -> Option<Instant> {
        let full = self.settings.retention;
        let retention = if self.is_common(part) {
            row.common_retention().min(full)
        } else {
            full
        };
        let delay = if row.has_seen_last {
            Duration::ZERO
        } else {
            // As much shorter as the bar itself.
            let share = retention.as_secs_f64() / full.as_secs_f64();
            self.settings.trial_delay.mul_f64(share)
        };
        Some(row.last_crash()? + retention + delay)
    }

    /// Returns whether most recent requests to a service have a part.
    fn is_common(&self, part: Digest) -> bool {
        let mut services = self.services.values();
        services.any(|sample| sample.is_common(part))
    }

    /// Forgets the service that has had no request for longest, if there are too many.
    fn make_room_for_service(&mut self) {
        if self.services.len() < MAX_SERVICES {
            return;
        }
        let longest = self
            .services
            .iter()
            .min_by_key(|(_, sample)| sample.next_at);
        let longest = longest.map(|(service, _)| service.clone());
        longest.and_then(|service| self.services.remove(&service));
    }

    /// Adds to the crashes that may be simultaneous with others.
    fn record_crash(&mut self, crash: Crash) {
        if self.crashes.iter().any(|known| known.is_same(&crash)) {
            return;
        }
        for row in self.rows.values_mut() {
            row.record_crash(crash);
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
    }

    /// Removes parts whose evidence has expired, but for those that are still to be tried.
    /// If the table is still full, removes one that is not barred, or else the one with
    /// the oldest crash.
    fn make_room(&mut self, now: Instant) {
        if self.rows.len() < self.settings.max_parts {
            return;
        }
        let mut rows = std::mem::take(&mut self.rows);
        let retention = self.settings.retention;
        let is_recent = |row: &Row| row.last_crash().is_some_and(|at| now < at + retention);
        rows.retain(|_, row| is_recent(row) || row.is_dangerous());
        if rows.len() >= self.settings.max_parts {
            let oldest = rows.iter();
            let oldest = oldest.min_by_key(|(_, row)| (row.is_dangerous(), row.last_crash()));
            let oldest = oldest.map(|(part, _)| *part);
            oldest.and_then(|oldest| rows.remove(&oldest));
        }
        self.rows = rows;
    }
}

/// Returns the time between two moments, in either order.
fn distance(one: Instant, other: Instant) -> Duration {
    one.max(other) - one.min(other)
}
