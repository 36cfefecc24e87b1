//! Order of client accounts that compete for room.
//!
//! Guards against the surge of one account, which takes the room of all others if requests are
//! served by size alone. Each account has a virtual clock (Zhang's *VirtualClock*), which its requests
//! advance by their size, relative to what the account was sold or usually asks for. The common
//! virtual time advances by what all accounts ask for. Requests of an account that is ahead of it
//! wait behind those of others. A surge of all accounts puts none ahead, and a lead fades, as
//! requests come at random.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_wire::Map;

/// Virtual clocks of the accounts that ask one service.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::gateway::fairness::Clock;
/// let (mut clock, now) = (Clock::default(), Instant::now());
/// for second in 0..10 {
///     let now = now + Duration::from_secs(second);
///     assert_eq!(clock.charge(now, "calm", Some(1000.0), 1000), 0);
///     for _ in 0..7 {
///         clock.charge(now, "surging", Some(1000.0), 1000);
///     }
///     assert!(clock.charge(now, "surging", Some(1000.0), 1000) > 0);
/// }
/// ```
#[derive(Debug, Default)]
pub struct Clock {
    accounts: Map<CompactString, Account>,
    /// Virtual time in seconds, which an account passes by asking for what it was sold.
    virtual_time: f64,
    /// Advance of the virtual time per second.
    pace: f64,
    /// Time up to which the virtual time has advanced, `None` before the first request.
    updated_at: Option<Instant>,
    /// Time at which the pace is computed anew.
    pace_due: Option<Instant>,
}

/// Clock of one account.
#[derive(Clone, Copy, Debug)]
struct Account {
    /// Virtual time up to which the account has asked, at `updated_at`.
    finish: f64,
    updated_at: Instant,
    /// Tokens per second that it was sold, or `None` if it has no quota.
    sold: Option<f64>,
    /// Tokens per second that it asks for now.
    recent: Average,
    /// Tokens per second that it usually asks for.
    usual: Average,
}

/// Exponential average of a rate.
#[derive(Clone, Copy, Debug)]
struct Average {
    per_second: f64,
    began_at: Instant,
    updated_at: Instant,
}

/// Time constant of what an account asks for now. Shorter than a surge.
const RECENT_TIME: Duration = Duration::from_secs(1);

/// Time constant of what an account usually asks for. Longer than a surge.
const USUAL_TIME: Duration = Duration::from_secs(30);

/// Interval at which the pace is computed. Bounds the cost at many accounts.
const PACE_INTERVAL: Duration = Duration::from_millis(100);

/// Rate below which an account counts as idle, in tokens per second.
const MIN_RATE: f64 = 1.0;

/// Number of an account's own requests by which it may be ahead without waiting behind others.
const MAX_LEAD_REQUESTS: f64 = 3.0;

/// Virtual time by which an account may be ahead without waiting behind others.
const MIN_LEAD: f64 = 0.5;

/// Largest virtual time by which an account may be ahead. What it used while there was room is
/// not held against it for longer than a surge.
const MAX_LEAD: f64 = 4.0;

/// Time constant with which a lead fades. Shorter than a surge, longer than the gaps between an
/// account's requests.
const LEAD_TIME: Duration = Duration::from_secs(2);

/// Virtual time by which requests of one rank may be ahead of each other.
const RANK_SPAN: f64 = 0.5;

impl Average {
    fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            began_at: now,
            updated_at: now,
        }
    }

    /// Returns the rate, of which the part before the first request is unknown.
    fn rate(&self, now: Instant, time: Duration) -> f64 {
        let age = now
            .saturating_duration_since(self.began_at)
            .max(RECENT_TIME);
        let known = 1.0 - (-age.as_secs_f64() / time.as_secs_f64()).exp();
        self.decayed(now, time) / known
    }

    fn decayed(&self, now: Instant, time: Duration) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.per_second * (-age.as_secs_f64() / time.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant, amount: f64, time: Duration) {
        self.per_second = self.decayed(now, time) + amount / time.as_secs_f64();
        self.updated_at = now;
    }
}

impl Account {
    /// Returns the tokens per second by which the account's clock is measured.
    fn need(&self, now: Instant) -> f64 {
        let usual = || self.usual.rate(now, USUAL_TIME);
        self.sold.unwrap_or_else(usual).max(MIN_RATE)
    }
}

impl Clock {
    /// Records that an account asks for tokens, given the tokens per second that it was sold.
    /// Returns the rank of the request: 0 unless the account is ahead of others.
    pub fn charge(&mut self, now: Instant, name: &str, sold: Option<f64>, tokens: u32) -> u32 {
        self.advance(now);
        let virtual_time = self.virtual_time;
        let account = match self.accounts.get_mut(name) {
            Some(account) => account,
            None => self.accounts.entry(name.into()).or_insert(Account {
                finish: virtual_time,
                updated_at: now,
                sold,
                recent: Average::new(now),
                usual: Average::new(now),
            }),
        };
        let tokens = f64::from(tokens);
        account.sold = sold;
        account.recent.add(now, tokens, RECENT_TIME);
        account.usual.add(now, tokens, USUAL_TIME);
        let age = now.saturating_duration_since(account.updated_at);
        let fading = (-age.as_secs_f64() / LEAD_TIME.as_secs_f64()).exp();
        let lead = (account.finish - virtual_time).max(0.0) * fading;
        let start = virtual_time + lead;
        account.updated_at = now;
        let length = tokens / account.need(now);
        account.finish = (start + length).min(virtual_time + MAX_LEAD.max(length));
        let allowed = MIN_LEAD.max(MAX_LEAD_REQUESTS * length).min(MAX_LEAD / 2.0);
        let excess = start - virtual_time - allowed;
        // The conversion saturates.
        (excess / RANK_SPAN).ceil().max(0.0) as u32
    }

    /// Advances the virtual time by what all accounts ask for, relative to what they were sold.
    fn advance(&mut self, now: Instant) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let time = now.saturating_duration_since(updated_at);
        self.virtual_time += time.as_secs_f64() * self.pace;
        if self.pace_due.is_some_and(|due| now < due) {
            return;
        }
        self.pace_due = Some(now + PACE_INTERVAL);
        let is_used = |account: &Account| account.usual.rate(now, USUAL_TIME) >= MIN_RATE;
        self.accounts.retain(|_, account| is_used(account));
        let (mut asked, mut needed) = (0.0, 0.0);
        for account in self.accounts.values() {
            let recent = account.recent.rate(now, RECENT_TIME);
            if recent >= MIN_RATE {
                asked += recent;
                needed += account.need(now);
            }
        }
        self.pace = if needed > 0.0 { asked / needed } else { 0.0 };
    }
}
