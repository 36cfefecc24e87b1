//! Charges requests to the quotas of their client accounts.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_policy::answer::deadline::Moment;
use cranberryridge_policy::gateway::account::{Account, Quota, Unit};
use cranberryridge_policy::gateway::quota::{Decision, Settings, Standing, Wallet};
use cranberryridge_wire::code::Code;

use super::dialect::TokenCount;
use super::refusal::Refusal;
use super::schedule::{draw, Drawing};
use super::{lock, Shared};
use crate::clock::Clock;
use crate::net::Net;

/// Difference between the advances of both clocks from which the process counts as suspended.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Time for which the requests at a host that has just started wait for a ledger, as the host may
/// use nothing by itself yet. Covers opening a link, and the time until the host counts there.
const FIRST_LINK_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which these requests look for a ledger.
const FIRST_LINK_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What this host may still charge to quotas.
#[derive(Debug)]
pub struct Registry {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    wallet: Wallet,
    /// Time of the last charge.
    last_used: Option<Moment>,
    /// Version of the configuration whose accounts are kept.
    configuration_version: u64,
    /// Whether a ledger has answered since the start.
    was_linked: bool,
}

impl Registry {
    /// Creates a registry that has drawn nothing.
    pub fn new(settings: Settings) -> Self {
        Self {
            state: Mutex::new(State {
                wallet: Wallet::new(settings),
                last_used: None,
                configuration_version: 0,
                was_linked: false,
            }),
        }
    }

    /// Returns whether no ledger has answered since the start.
    fn is_fresh(&self) -> bool {
        !lock(&self.state).was_linked
    }
}

impl State {
    /// Drops the units that were drawn before the host was suspended, as the clock by which they
    /// expire stood still.
    fn resume(&mut self, moment: Moment) {
        if let Some(last) = self.last_used.replace(moment) {
            let uptime = moment.uptime.saturating_sub(last.uptime);
            let time = moment.now.saturating_duration_since(last.now);
            if uptime > time + MIN_SUSPENSION {
                self.wallet.clear();
            }
        }
    }
}

/// Units that a request has taken from its account's quota. They are given back on drop if the
/// request did not run.
#[derive(Debug)]
pub struct Charge<N, C: Clock, D> {
    shared: Arc<Shared<N, C, D>>,
    account: CompactString,
    quota: Quota,
    units: u32,
    charged_at: Instant,
    /// Whether an endpoint may have run the request.
    is_spent: AtomicBool,
}

impl<N, C: Clock, D> Charge<N, C, D> {
    /// Returns whether an endpoint may have run the request.
    pub fn is_spent(&self) -> bool {
        self.is_spent.load(Ordering::Relaxed)
    }

    /// Sets whether an endpoint may have run the request.
    pub fn set_spent(&self, is_spent: bool) {
        self.is_spent.store(is_spent, Ordering::Relaxed);
    }
}

impl<N, C: Clock, D> Drop for Charge<N, C, D> {
    fn drop(&mut self) {
        if self.is_spent() {
            return;
        }
        let now = self.shared.clock.now();
        let mut state = lock(&self.shared.quotas.state);
        let wallet = &mut state.wallet;
        let (account, units) = (&self.account, self.units);
        if wallet.give_back(now, account, self.quota, units, self.charged_at) {
            self.shared.metrics.count("quota.given_back");
        }
    }
}

/// Charges a request to the quota of its account. Returns `None` if there is none.
///
/// # Errors
///
/// Returns a refusal if the quota is used up, or the request does not state its size properly.
pub async fn charge<N, C, D>(
    shared: &Arc<Shared<N, C, D>>,
    account: Option<&Arc<Account>>,
    tokens: TokenCount,
) -> Result<Option<Charge<N, C, D>>, Refusal>
where
    N: Net,
    C: Clock,
    D: Send + Sync + 'static,
{
    let quota = account.and_then(|account| Some((account, account.quota?)));
    let Some((account, quota)) = quota else {
        return Ok(None);
    };
    let tokens = match tokens {
        TokenCount::Missing => None,
        TokenCount::Stated(tokens) => Some(tokens),
        TokenCount::Invalid if quota.unit == Unit::Requests => None,
        TokenCount::Invalid => return Err(Refusal::new(Code::BadRequest)),
    };
    let units = quota.cost(tokens);
    let name = &account.name;
    let begun_at = shared.clock.now();
    lock(&shared.quotas.state)
        .wallet
        .record_demand(begun_at, name, units);
    let mut taken = take_units(shared, name, quota, units).await;
    while taken.is_err() && shared.quotas.is_fresh() {
        if shared.clock.now() >= begun_at + FIRST_LINK_TIMEOUT {
            break;
        }
        tokio::time::sleep(FIRST_LINK_POLL_INTERVAL).await;
        taken = take_units(shared, name, quota, units).await;
    }
    if let Err(wait) = taken {
        shared.metrics.count("quota.refused");
        return Err(Refusal::at_earliest(Code::Quota, wait));
    }
    Ok(Some(Charge {
        account: name.clone(),
        quota,
        units,
        charged_at: shared.clock.now(),
        is_spent: AtomicBool::new(false),
        shared: shared.clone(),
    }))
}

/// Takes units of an account's quota, from the ledger if this host has too few.
///
/// # Errors
///
/// Returns the time after which there may be enough.
async fn take_units<N, C, D>(
    shared: &Arc<Shared<N, C, D>>,
    account: &CompactString,
    quota: Quota,
    units: u32,
) -> Result<(), Duration>
where
    N: Net,
    C: Clock,
    D: Send + Sync + 'static,
{
    let requested_at = shared.clock.now();
    let share = lock(&shared.hosts).share(requested_at);
    let standing = if shared.has_ledger() {
        Standing::Linked
    } else {
        Standing::Alone { share }
    };
    let decision = {
        let mut state = lock(&shared.quotas.state);
        state.resume(shared.clock.moment());
        let table = shared.table.load();
        if state.configuration_version != table.version() {
            state.configuration_version = table.version();
            state.wallet.retain(table.accounts());
        }
        state
            .wallet
            .charge(requested_at, account, quota, units, standing)
    };
    let (needed, wanted) = match decision {
        Decision::Granted { prefetch } => {
            if prefetch > 0 {
                tokio::spawn(prefetch_units(
                    shared.clone(),
                    account.clone(),
                    quota,
                    prefetch,
                ));
            }
            return Ok(());
        }
        Decision::Refused(wait) => return Err(wait),
        Decision::Draw { needed, wanted } => (needed, wanted),
    };
    let drawing = draw(shared, account, needed, wanted).await;
    let now = shared.clock.now();
    let mut state = lock(&shared.quotas.state);
    state.was_linked |= !matches!(drawing, Drawing::Unavailable);
    let wallet = &mut state.wallet;
    match drawing {
        Drawing::Given(given) => {
            let is_valid = wallet.receive(now, requested_at, account, quota, given, needed);
            is_valid.then_some(()).ok_or(Duration::ZERO)
        }
        Drawing::Exhausted(wait) => {
            wallet.record_answer(account);
            Err(wait)
        }
        Drawing::Unavailable => {
            shared.metrics.count("quota.no_ledger");
            match wallet.charge_alone(now, account, quota, units, share) {
                Decision::Refused(wait) => Err(wait),
                Decision::Granted { .. } | Decision::Draw { .. } => Ok(()),
            }
        }
    }
}

/// Draws units for the next requests of an account.
async fn prefetch_units<N, C, D>(
    shared: Arc<Shared<N, C, D>>,
    account: CompactString,
    quota: Quota,
    units: u32,
) where
    N: Net,
    C: Clock,
    D: Send + Sync + 'static,
{
    let requested_at = shared.clock.now();
    let drawing = draw(&shared, &account, 0, units).await;
    let now = shared.clock.now();
    let mut state = lock(&shared.quotas.state);
    if let Drawing::Given(given) = drawing {
        state
            .wallet
            .receive(now, requested_at, &account, quota, given, 0);
    }
    state.wallet.finish_prefetch(&account);
}
