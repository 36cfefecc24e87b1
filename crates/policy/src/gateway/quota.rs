//! Quotas of client accounts, which all hosts keep together.
//!
//! Handles accounts whose callers ask for more than they were sold, at any hosts. Each host has an
//! equal share of every quota and lends it to one host, the ledger, as an account's callers may
//! all meet one host. The ledger keeps a token bucket for each account at the part of the rate that
//! was lent to it, so two ledgers together give no more than the rate. Hosts draw from it for what
//! they expect in the next moments. What is drawn is valid for a short time, which comes out of
//! the margin that the bound of a quota leaves beyond its rate and burst.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_wire::Map;

use super::account::{Directory, Quota};

/// Parameters of quotas.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Length of the sliding window in which an account's use is bounded.
    pub window: Duration,
    /// Part of rate and burst by which the use in a window may exceed them.
    pub tolerance: f64,
    /// Units by which the use in a window may exceed them as well.
    pub slack: f64,
    /// Time after which a newly linked host counts as a lender. Until then, its earlier ledger may
    /// not have noticed that the host has left. Covers a message between failure domains.
    pub lending_delay: Duration,
    /// Time for which a host that has lost its ledger goes on at the rate at which it drew. Covers
    /// the silence after which a link ends, and `lending_delay` at the next ledger.
    pub bridging_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            tolerance: 0.1,
            slack: 0.0,
            lending_delay: Duration::from_millis(300),
            bridging_time: Duration::from_secs(3),
        }
    }
}

/// Divisor of the margin that gives the validity of drawn units, and another time as long in which
/// they may be given back. The rest is for hosts that change their ledger.
const MARGIN_DIVISOR: f64 = 4.0;

/// Divisor of the margin that gives the time whose units a new ledger has at once, as accounts
/// within their quotas would be refused with an empty bucket.
const FIRST_FILL_DIVISOR: f64 = 8.0;

/// Bounds of the validity of drawn units.
const VALIDITY_RANGE: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(500));

/// Upper bound of the age at which units may be given back.
const MAX_RETURN_AGE: Duration = Duration::from_secs(2);

/// Time after which a caller is told to return that is refused as this host reaches no ledger and
/// has no share of its own. Covers opening a link, and the time until the host counts there.
const NO_LEDGER_DELAY: Duration = Duration::from_secs(1);

/// Longest time after which a refused caller is told to return.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(5);

impl Settings {
    /// Returns the time for which a quota's rate may go on beyond its window.
    fn margin(&self, quota: Quota) -> f64 {
        let allowed = quota.rate * self.window.as_secs_f64() + quota.burst;
        (allowed * self.tolerance + self.slack) / quota.rate.max(f64::MIN_POSITIVE)
    }

    /// Returns the time for which drawn units are valid.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cranberryridge_policy::gateway::account::{Quota, Unit};
    /// use cranberryridge_policy::gateway::quota::Settings;
    /// let quota = Quota { rate: 100.0, burst: 0.0, unit: Unit::Requests };
    /// assert_eq!(Settings::default().validity(quota), Duration::from_millis(200));
    /// ```
    pub fn validity(&self, quota: Quota) -> Duration {
        let (least, most) = VALIDITY_RANGE;
        let seconds = self.margin(quota) / MARGIN_DIVISOR;
        Duration::from_secs_f64(seconds.min(most.as_secs_f64())).max(least)
    }

    /// Returns the age up to which units of a request that did not run may be used again.
    pub fn return_age(&self, quota: Quota) -> Duration {
        let seconds = self.margin(quota) / MARGIN_DIVISOR;
        Duration::from_secs_f64(seconds.min(MAX_RETURN_AGE.as_secs_f64()))
    }

    /// Returns the units that a new ledger has at once.
    fn first_fill(&self, quota: Quota) -> f64 {
        quota.rate * self.margin(quota) / FIRST_FILL_DIVISOR
    }

    /// Returns the largest number of units that may be used in a window.
    pub fn bound(&self, quota: Quota) -> f64 {
        let allowed = quota.rate * self.window.as_secs_f64() + quota.burst;
        allowed * (1.0 + self.tolerance) + self.slack
    }
}

/// The quotas of all accounts, at the host that gives units to others.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::gateway::account::{Quota, Unit};
/// use cranberryridge_policy::gateway::quota::{Ledger, Settings};
/// let (mut ledger, now) = (Ledger::new(Settings::default()), Instant::now());
/// let quota = Quota { rate: 100.0, burst: 50.0, unit: Unit::Requests };
/// ledger.add_lender(now, 1);
/// assert!(ledger.draw(now, "branch", quota, 1, 1).is_err());
/// let later = now + Duration::from_secs(3);
/// ledger.update(later, 1, true);
/// ledger.update(later + Duration::from_secs(1), 1, true);
/// assert_eq!(ledger.draw(later + Duration::from_secs(1), "branch", quota, 1, 20), Ok(20));
/// ```
#[derive(Debug, Default)]
pub struct Ledger {
    settings: Settings,
    entries: Map<CompactString, Entry>,
    /// Links of the hosts that lend their shares, with the time at which each began.
    lenders: Map<u64, Instant>,
    /// Part of each quota that has been lent to this host since `updated_at`.
    share: f64,
    /// Integral of `share` over the time since the first lender, in seconds.
    funded: f64,
    updated_at: Option<Instant>,
}

/// State of one account's quota.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Units that are left. Negative behind a request that is larger than the burst.
    level: f64,
    /// Value of [`Ledger::funded`] at which the level was computed.
    funded: f64,
    /// Time at which the next refused caller is told to return.
    next_return: Instant,
}

/// Part of the units that are left after a request which may be drawn in advance.
const PREFETCH_SHARE: f64 = 0.5;

/// Reason for which a ledger gives no units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No host lends its share to this ledger for long enough.
    NotLent,
    /// The quota is used up until this time has passed.
    Exhausted(Duration),
}

/// Part of the lent shares that counts while this host may be unknown to others, who may then
/// count fewer hosts.
const UNANNOUNCED_SHARE: f64 = 0.5;

impl Ledger {
    /// Creates a ledger to which nothing is lent.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds the host of a link that lends its share to this ledger.
    pub fn add_lender(&mut self, now: Instant, link: u64) {
        if self.lenders.is_empty() {
            // Another ledger may have given out everything until now.
            self.entries.clear();
            self.funded = 0.0;
            self.updated_at = Some(now);
            self.share = 0.0;
        }
        self.lenders.entry(link).or_insert(now);
    }

    /// Removes the host of a link.
    pub fn remove_lender(&mut self, link: u64) {
        self.lenders.remove(&link);
    }

    /// Returns the part of each quota that is lent to this host.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Recomputes the part of each quota that is lent to this host, given the number of known
    /// hosts and whether others still know this one.
    pub fn update(&mut self, now: Instant, known_hosts: usize, is_announced: bool) {
        self.advance(now);
        let delay = self.settings.lending_delay;
        let lending = self.lenders.values().filter(|since| now >= **since + delay);
        let hosts = known_hosts.max(self.lenders.len()).max(1);
        let share = lending.count() as f64 / hosts as f64;
        self.share = if is_announced {
            share
        } else {
            share * UNANNOUNCED_SHARE
        };
    }

    /// Adds the time since the last call at the share that was lent meanwhile.
    fn advance(&mut self, now: Instant) {
        if let Some(updated_at) = self.updated_at {
            let time = now.saturating_duration_since(updated_at);
            self.funded += time.as_secs_f64() * self.share;
        }
        self.updated_at = Some(now);
    }

    /// Gives `needed` units of an account's quota, and some of those that are `wanted` beyond
    /// them, as far as others are left some as well.
    ///
    /// # Errors
    ///
    /// Returns the reason if there are fewer than `needed`.
    pub fn draw(
        &mut self,
        now: Instant,
        account: &str,
        quota: Quota,
        needed: u32,
        wanted: u32,
    ) -> Result<u32, Denial> {
        self.advance(now);
        if self.share <= 0.0 {
            return Err(Denial::NotLent);
        }
        let (rate, burst) = (quota.rate * self.share, quota.burst * self.share);
        let funded = self.funded;
        let first_fill = self.settings.first_fill(quota) * self.share;
        let entry = match self.entries.get_mut(account) {
            Some(entry) => entry,
            None => self.entries.entry(account.into()).or_insert(Entry {
                level: first_fill,
                funded: 0.0,
                next_return: now,
            }),
        };
        entry.level = (entry.level + quota.rate * (funded - entry.funded)).min(burst);
        entry.funded = funded;
        let needed_units = f64::from(needed);
        // A request that is larger than the burst waits until nothing else is used.
        if entry.level >= needed_units.min(burst) {
            let spare = (entry.level - needed_units).max(0.0) * PREFETCH_SHARE;
            let extra = f64::from(wanted.saturating_sub(needed)).min(spare);
            let given = needed + extra as u32;
            entry.level -= f64::from(given);
            return Ok(given);
        }
        let missing = needed_units.min(burst) - entry.level;
        let due =
            now + Duration::from_secs_f64((missing / rate).min(MAX_RETURN_DELAY.as_secs_f64()));
        let at = entry.next_return.max(due);
        let interval = (needed_units / rate).min(MAX_RETURN_DELAY.as_secs_f64());
        entry.next_return = (at + Duration::from_secs_f64(interval)).min(now + MAX_RETURN_DELAY);
        Err(Denial::Exhausted(at.saturating_duration_since(now)))
    }

    /// Forgets the accounts that are no longer configured or have no quota.
    pub fn retain(&mut self, accounts: &Directory) {
        self.entries
            .retain(|name, _| accounts.quota(name).is_some());
    }
}

/// Whether a host can ask its ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// The ledger can be asked.
    Linked,
    /// The ledger cannot be asked. The host has this part of each quota itself.
    Alone {
        /// Part of each quota, from 0 to 1.
        share: f64,
    },
}

/// Decision on a request's units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The request may go on. `prefetch` more units should be drawn for the next ones.
    Granted {
        /// Units to draw, or zero.
        prefetch: u32,
    },
    /// Units must be drawn before the request may go on.
    Draw {
        /// Units for the request.
        needed: u32,
        /// Units for it and the next ones.
        wanted: u32,
    },
    /// The quota is used up until this time has passed.
    Refused(Duration),
}

/// Units of all accounts at one host.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cranberryridge_policy::gateway::account::{Quota, Unit};
/// use cranberryridge_policy::gateway::quota::{Decision, Settings, Standing, Wallet};
/// let (mut wallet, now) = (Wallet::new(Settings::default()), Instant::now());
/// let quota = Quota { rate: 100.0, burst: 50.0, unit: Unit::Requests };
/// let charge = |wallet: &mut Wallet| wallet.charge(now, "branch", quota, 1, Standing::Linked);
/// assert!(matches!(charge(&mut wallet), Decision::Draw { needed: 1, .. }));
/// assert!(wallet.receive(now, now, "branch", quota, 2, 1));
/// assert!(matches!(charge(&mut wallet), Decision::Granted { .. }));
/// ```
#[derive(Debug)]
pub struct Wallet {
    settings: Settings,
    entries: Map<CompactString, Allowance>,
}

/// Units of one account at one host.
#[derive(Debug)]
struct Allowance {
    /// Units with the time until which they are valid, oldest first.
    grants: VecDeque<(u32, Instant)>,
    /// Units asked for.
    demand: Meter,
    /// Requests that asked for them.
    requests: Meter,
    /// Units drawn.
    drawn: Meter,
    /// Units that this host may use by itself while the ledger cannot be asked, and the time at
    /// which they were computed. `None` before that.
    own: Option<(f64, Instant)>,
    /// Time since which the ledger gives nothing, `None` while it answers.
    alone_since: Option<Instant>,
    /// Whether units are being drawn in advance.
    is_prefetching: bool,
}

/// Exponential average of a rate.
#[derive(Clone, Copy, Debug)]
struct Meter {
    per_second: f64,
    updated_at: Instant,
}

/// Time constant of the averages of demand and drawn units. Longer than the gaps between requests
/// of a busy account, shorter than a surge.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

impl Meter {
    fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            updated_at: now,
        }
    }

    fn rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.per_second * (-age / AVERAGING_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant, units: u32) {
        let rate = self.rate(now) + f64::from(units) / AVERAGING_TIME.as_secs_f64();
        *self = Self {
            per_second: rate,
            updated_at: now,
        };
    }
}

/// Number of requests expected within a validity from which units are drawn in advance.
const MIN_EXPECTED_REQUESTS: f64 = 4.0;

/// Maximum number of grants of an account that are kept apart. Further ones are lost.
const MAX_GRANTS: usize = 256;

impl Allowance {
    fn new(now: Instant) -> Self {
        Self {
            grants: VecDeque::new(),
            demand: Meter::new(now),
            requests: Meter::new(now),
            drawn: Meter::new(now),
            own: None,
            alone_since: None,
            is_prefetching: false,
        }
    }

    /// Removes units that are no longer valid and returns the sum of the others.
    fn valid_units(&mut self, now: Instant) -> u32 {
        self.grants.retain(|(_, until)| now < *until);
        let units = self.grants.iter().map(|(units, _)| *units);
        units.fold(0, u32::saturating_add)
    }

    /// Removes valid units, earliest expiry first.
    fn take(&mut self, mut units: u32) {
        while let Some((first, _)) = self.grants.front_mut() {
            let taken = units.min(*first);
            *first -= taken;
            units -= taken;
            if *first > 0 {
                return;
            }
            self.grants.pop_front();
        }
    }

    fn add(&mut self, units: u32, until: Instant) {
        if units > 0 && self.grants.len() < MAX_GRANTS {
            let later = self.grants.iter().position(|(_, other)| *other > until);
            let at = later.unwrap_or(self.grants.len());
            self.grants.insert(at, (units, until));
        }
    }
}

impl Wallet {
    /// Creates a wallet without units.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            entries: Map::default(),
        }
    }

    /// Records that a request asks for units of an account's quota. Called once for each request.
    pub fn record_demand(&mut self, now: Instant, account: &str, units: u32) {
        let entry = self.entry(now, account);
        entry.demand.add(now, units);
        entry.requests.add(now, 1);
    }

    /// Decides on a request that costs some units of an account's quota, and takes them if there
    /// are enough.
    pub fn charge(
        &mut self,
        now: Instant,
        account: &str,
        quota: Quota,
        cost: u32,
        standing: Standing,
    ) -> Decision {
        let settings = self.settings;
        let entry = self.entry(now, account);
        let valid = entry.valid_units(now);
        if valid >= cost {
            entry.take(cost);
            let expected = entry.expected(now, settings.validity(quota));
            let prefetch = match standing {
                Standing::Linked if valid - cost < expected / 2 && !entry.is_prefetching => {
                    expected
                }
                _ => 0,
            };
            entry.is_prefetching |= prefetch > 0;
            return Decision::Granted { prefetch };
        }
        match standing {
            Standing::Alone { share } => self.charge_alone(now, account, quota, cost, share),
            Standing::Linked => Decision::Draw {
                needed: cost,
                wanted: cost.saturating_add(entry.expected(now, settings.validity(quota))),
            },
        }
    }

    /// Decides on a request while the ledger cannot be asked or has no share: at the rate of this
    /// host's own part of the quota, and for a while at that at which it drew before.
    pub fn charge_alone(
        &mut self,
        now: Instant,
        account: &str,
        quota: Quota,
        cost: u32,
        share: f64,
    ) -> Decision {
        let settings = self.settings;
        let entry = self.entry(now, account);
        let since = *entry.alone_since.get_or_insert(now);
        entry.charge_alone(now, quota, cost, share, since, settings)
    }

    /// Records that the ledger has answered a request for an account's units.
    pub fn record_answer(&mut self, account: &str) {
        if let Some(entry) = self.entries.get_mut(account) {
            entry.alone_since = None;
        }
    }

    /// Adds the units that the ledger gave in answer to a request of `requested_at`, and takes
    /// `needed` of them. Returns whether they are still valid.
    pub fn receive(
        &mut self,
        now: Instant,
        requested_at: Instant,
        account: &str,
        quota: Quota,
        units: u32,
        needed: u32,
    ) -> bool {
        self.record_answer(account);
        let until = requested_at + self.settings.validity(quota);
        let entry = self.entry(now, account);
        entry.drawn.add(now, units);
        let is_valid = now < until && units >= needed;
        if is_valid {
            entry.add(units - needed, until);
        }
        is_valid
    }

    /// Records that units are no longer being drawn in advance.
    pub fn finish_prefetch(&mut self, account: &str) {
        if let Some(entry) = self.entries.get_mut(account) {
            entry.is_prefetching = false;
        }
    }

    /// Takes back the units of a request that was charged at `charged_at` and did not run, if they
    /// are young enough. Returns whether they were.
    pub fn give_back(
        &mut self,
        now: Instant,
        account: &str,
        quota: Quota,
        units: u32,
        charged_at: Instant,
    ) -> bool {
        let until = charged_at + self.settings.return_age(quota);
        if now < until {
            self.entry(now, account).add(units, until);
        }
        now < until
    }

    /// Drops all units. Called after the process was suspended, as they may have expired.
    pub fn clear(&mut self) {
        self.entries
            .values_mut()
            .for_each(|entry| entry.grants.clear());
    }

    /// Forgets the accounts that are no longer configured or have no quota.
    pub fn retain(&mut self, accounts: &Directory) {
        self.entries
            .retain(|name, _| accounts.quota(name).is_some());
    }

    fn entry(&mut self, now: Instant, account: &str) -> &mut Allowance {
        let new = || Allowance::new(now);
        self.entries.entry(account.into()).or_insert_with(new)
    }
}

impl Allowance {
    /// Returns the units that are expected to be asked for while drawn ones are valid. None if few
    /// requests are expected, as what is not used in time is lost to the account.
    fn expected(&self, now: Instant, validity: Duration) -> u32 {
        if self.requests.rate(now) * validity.as_secs_f64() < MIN_EXPECTED_REQUESTS {
            return 0;
        }
        // The conversion saturates.
        (self.demand.rate(now) * validity.as_secs_f64() / 2.0) as u32
    }

    /// Decides on a request while the ledger cannot be asked since a time.
    fn charge_alone(
        &mut self,
        now: Instant,
        quota: Quota,
        cost: u32,
        share: f64,
        since: Instant,
        settings: Settings,
    ) -> Decision {
        let bridged_until = since + settings.bridging_time;
        let bridging_rate = if now < bridged_until {
            self.drawn.rate(since)
        } else {
            0.0
        };
        let rate = bridging_rate.max(quota.rate * share);
        let ahead = bridging_rate * settings.validity(quota).as_secs_f64();
        let burst = (quota.burst * share).max(ahead);
        let (level, filled_at) = match self.own {
            Some((level, filled_at)) if filled_at >= since => (level, filled_at),
            // What is given ahead is given once in a window, however often the ledger is lost.
            Some((level, filled_at)) if now < filled_at + settings.window => (level, since),
            _ => (ahead, since),
        };
        let elapsed = now.saturating_duration_since(filled_at);
        let level = (level + rate * elapsed.as_secs_f64()).min(burst);
        let cost = f64::from(cost);
        let is_granted = rate > 0.0 && level >= cost.min(burst);
        self.own = Some((if is_granted { level - cost } else { level }, now));
        if is_granted {
            return Decision::Granted { prefetch: 0 };
        }
        let missing = cost.min(burst) - level;
        let wait = if rate > 0.0 {
            Duration::from_secs_f64((missing / rate).min(MAX_RETURN_DELAY.as_secs_f64()))
        } else {
            NO_LEDGER_DELAY
        };
        Decision::Refused(wait)
    }
}
