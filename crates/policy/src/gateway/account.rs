//! Client accounts, the keys by which callers name them, and what they are sold.

use std::sync::Arc;

use compact_str::CompactString;

use cranberryridge_wire::id::Digest;
use cranberryridge_wire::{Map, Set};

/// A client account in the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// Name of the account, which endpoints are told.
    pub name: CompactString,
    /// Digests of the account's keys. The keys themselves are not kept.
    pub keys: Vec<Digest>,
    /// Rank of the account's requests, 0 is the highest. `None` if that of their route counts.
    pub priority: Option<u8>,
    /// Limit of the account's work, or `None` if there is none.
    pub quota: Option<Quota>,
}

impl Account {
    /// Returns the tokens per second that the account was sold, or `None` if it has no quota in
    /// tokens.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::gateway::account::Account;
    /// assert_eq!(Account::default().sold_tokens(), None);
    /// ```
    pub fn sold_tokens(&self) -> Option<f64> {
        let quota = self.quota?;
        matches!(quota.unit, Unit::Tokens { .. }).then_some(quota.rate)
    }
}

/// Limit of an account's work at all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once, beyond the rate.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts one.
    Requests,
    /// A request counts its tokens.
    Tokens {
        /// Tokens of a request that does not state how many it has.
        unstated: u32,
    },
}

/// Largest rate and burst of a quota, in units. Larger ones are taken for mistakes.
const MAX_UNITS: f64 = 1e12;

impl Quota {
    /// Returns what a request counts, given the number of tokens that it states.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::gateway::account::{Quota, Unit};
    /// let unit = Unit::Tokens { unstated: 200 };
    /// let quota = Quota { rate: 1000.0, burst: 1000.0, unit };
    /// assert_eq!(quota.cost(Some(1540)), 1540);
    /// assert_eq!(quota.cost(None), 200);
    /// assert_eq!(Quota { unit: Unit::Requests, ..quota }.cost(Some(1540)), 1);
    /// ```
    pub fn cost(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { unstated } => tokens.unwrap_or(unstated),
        }
    }
}

/// Key in a caller's request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Key {
    /// The request names no key.
    #[default]
    Missing,
    /// The request names one key, of which this is the digest.
    Named(Digest),
    /// The request names several keys.
    Ambiguous,
}

impl Key {
    /// Returns the key in the values of a request's key headers.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::gateway::account::Key;
    /// assert_eq!(Key::from_values([]), Key::Missing);
    /// assert_eq!(Key::from_values([b" k1 ".as_slice()]), Key::from_values([b"k1".as_slice()]));
    /// assert_eq!(Key::from_values([b"k1".as_slice(), b"k2"]), Key::Ambiguous);
    /// ```
    pub fn from_values<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut values = values.into_iter().map(<[u8]>::trim_ascii);
        match (values.next(), values.next()) {
            (None, _) => Self::Missing,
            (Some([]), None) => Self::Missing,
            (Some(value), None) => Self::Named(Digest::of(&[value])),
            (Some(_), Some(_)) => Self::Ambiguous,
        }
    }
}

/// Order in which requests are served. The least goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    /// Priority of the account, or of the route if the account has none.
    pub priority: u8,
    /// Priority of the route, which decides among requests of equal accounts.
    pub route_priority: u8,
}

impl Urgency {
    /// Returns the urgency of an account's request on a route.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::gateway::account::{Account, Urgency};
    /// let gold = Account { priority: Some(0), ..Account::default() };
    /// assert!(Urgency::new(Some(&gold), 2) < Urgency::new(None, 1));
    /// assert!(Urgency::new(Some(&gold), 0) < Urgency::new(Some(&gold), 2));
    /// ```
    pub fn new(account: Option<&Account>, route_priority: u8) -> Self {
        let own = account.and_then(|account| account.priority);
        Self {
            priority: own.unwrap_or(route_priority),
            route_priority,
        }
    }
}

/// Reason for which accounts are not put in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Two accounts have one name.
    #[error("two client accounts are named {0:?}")]
    RepeatedName(CompactString),
    /// A key names several accounts.
    #[error("client accounts {0:?} and {1:?} have a key in common")]
    SharedKey(CompactString, CompactString),
    /// A key is empty.
    #[error("client account {0:?} has an empty key")]
    EmptyKey(CompactString),
    /// A quota is negative or too large.
    #[error("the quota of client account {0:?} is not a number from 0 to 10^12")]
    BadQuota(CompactString),
}

/// Returns whether a number may be a rate or burst of a quota.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::gateway::account::is_amount;
/// assert!(is_amount(0.0) && is_amount(1e9));
/// assert!(!is_amount(-1.0) && !is_amount(1e300) && !is_amount(f64::NAN));
/// ```
pub fn is_amount(units: f64) -> bool {
    (0.0..=MAX_UNITS).contains(&units)
}

/// Checks a list of accounts.
///
/// # Errors
///
/// Returns the first reason for which the accounts cannot be told apart or served.
pub fn check(accounts: &[Account]) -> Result<(), Error> {
    let mut names = Set::default();
    let mut owners = Map::<Digest, &Account>::default();
    for account in accounts {
        let name = &account.name;
        if !names.insert(name) {
            return Err(Error::RepeatedName(name.clone()));
        }
        for key in &account.keys {
            if *key == Digest::of(&[b""]) {
                return Err(Error::EmptyKey(name.clone()));
            }
            let owner = owners.insert(*key, account);
            if let Some(owner) = owner.filter(|owner| owner.name != *name) {
                return Err(Error::SharedKey(owner.name.clone(), name.clone()));
            }
        }
        let amounts = account.quota.map(|quota| [quota.rate, quota.burst]);
        let mut amounts = amounts.into_iter().flatten();
        if !amounts.all(is_amount) {
            return Err(Error::BadQuota(name.clone()));
        }
    }
    Ok(())
}

/// The accounts of a configuration, by key and by name.
///
/// Keys are compared by their digests, so that a look-up takes the same time for known and
/// unknown ones.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::gateway::account::{Account, Directory, Key};
/// use cranberryridge_wire::id::Digest;
/// let account = Account {
///     name: "branch".into(),
///     keys: vec![Digest::of(&[b"k1"])],
///     ..Account::default()
/// };
/// let directory = Directory::new(Some(vec![account]));
/// let found = directory.find(Key::from_values([b"k1".as_slice()]));
/// assert_eq!(found.unwrap().name, "branch");
/// assert!(directory.find(Key::from_values([b"k2".as_slice()])).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Directory {
    is_configured: bool,
    by_key: Map<Digest, Arc<Account>>,
    by_name: Map<CompactString, Arc<Account>>,
}

impl Directory {
    /// Indexes accounts. `None` if the deployment has none, so that requests need no key.
    pub fn new(accounts: Option<Vec<Account>>) -> Self {
        let is_configured = accounts.is_some();
        let accounts = accounts.into_iter().flatten().map(Arc::new);
        let mut directory = Self {
            is_configured,
            ..Self::default()
        };
        for account in accounts {
            let keys = account.keys.iter().map(|key| (*key, account.clone()));
            directory.by_key.extend(keys);
            directory.by_name.insert(account.name.clone(), account);
        }
        directory
    }

    /// Returns whether the deployment has accounts, so that requests need a key.
    pub fn is_configured(&self) -> bool {
        self.is_configured
    }

    /// Returns the account that a key names.
    pub fn find(&self, key: Key) -> Option<&Arc<Account>> {
        match key {
            Key::Named(digest) => self.by_key.get(&digest),
            Key::Missing | Key::Ambiguous => None,
        }
    }

    /// Returns an account by its name.
    pub fn get(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// Returns the quota of an account, `None` if it has none or is not known.
    pub fn quota(&self, name: &str) -> Option<Quota> {
        self.get(name)?.quota
    }

    /// Returns all accounts.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }

    /// Returns whether an account has a quota.
    pub fn has_quotas(&self) -> bool {
        self.iter().any(|account| account.quota.is_some())
    }
}
