//! The entry hosts, and this host's share of what they may do together.
//!
//! Hosts learn of each other from announcements. Their shares of a limit must not
//! add up to more than the whole while some know of fewer hosts than others, so a
//! share begins late and ends early: a host has none before all others know it,
//! nor after they may have given it up.
//!
//! The store keeps the last announcement of each host for ever, and tells no time with it. A host that
//! reads it for the first time cannot know how old it is, so others remove it once its host is gone.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;

/// Part of its share that a host keeps while it cannot read announcements. With one
/// half, up to three hosts may join for each that cannot read.
const STALE_SHARE: f64 = 0.5;

/// Parameters of announcements.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval at which a host announces itself and reads the announcements of
    /// others.
    pub announce_interval: Duration,
    /// Time after which a host without announcements counts as gone. Allows three
    /// lost announcements.
    pub expiry: Duration,
    /// Maximum delay of an announcement and its reading, beyond the interval.
    pub max_delay: Duration,
    /// Time for which what a host did counts against a shared limit.
    pub window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            announce_interval: Duration::from_secs(10),
            expiry: Duration::from_secs(35),
            max_delay: Duration::from_secs(2),
            window: Duration::from_secs(10),
        }
    }
}

/// The entry hosts with a recent announcement, by name, each with a record of type
/// `T`.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::gateway::roster::{Roster, Settings};
/// let (mut roster, now) = (Roster::new(Settings::default()), Instant::now());
/// roster.record(now, "front-1".into(), ());
/// roster.record(now, "front-2".into(), ());
/// roster.record_announcement(now);
/// roster.finish_reading(now);
/// assert_eq!(roster.share(now), 0.0);
/// let later = now + Duration::from_secs(12);
/// roster.finish_reading(later);
/// assert_eq!(roster.share(later), 0.5);
/// ```
#[derive(Clone, Debug)]
pub struct Roster<T> {
    settings: Settings,
    /// Hosts with the time of their last announcement.
    hosts: BTreeMap<CompactString, (Instant, T)>,
    /// Hosts that are gone, with the time at which their announcement was removed from the store.
    /// `None` while the store has it.
    gone: BTreeMap<CompactString, Option<Instant>>,
    /// Time of the last reading, or `None` before the first.
    read_at: Option<Instant>,
    /// First and last of this host's announcements in an unbroken series, or
    /// `None` before the first.
    announced: Option<(Instant, Instant)>,
}

impl<T> Roster<T> {
    /// Creates a roster without hosts.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            hosts: BTreeMap::new(),
            gone: BTreeMap::new(),
            read_at: None,
            announced: None,
        }
    }

    /// Records the announcement of a host, this one or another.
    pub fn record(&mut self, now: Instant, name: CompactString, host: T) {
        self.gone.remove(&name);
        self.hosts.insert(name, (now, host));
    }

    /// Records an announcement from an older copy of the store. It does not
    /// replace a known one, which may be newer, nor does it bring a host back that is gone.
    pub fn record_restored(&mut self, now: Instant, name: CompactString, host: T) {
        match self.gone.get_mut(&name) {
            Some(removed_at) => *removed_at = None,
            None => {
                self.hosts.entry(name).or_insert((now, host));
            }
        }
    }

    /// Records that the announcement of a host was removed from the store, as the host is gone.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cranberryridge_policy::gateway::roster::{Roster, Settings};
    /// let (mut roster, now) = (Roster::new(Settings::default()), Instant::now());
    /// roster.record(now, "front-1".into(), ());
    /// for seconds in (0..=40).step_by(10) {
    ///     roster.finish_reading(now + Duration::from_secs(seconds));
    /// }
    /// assert!(roster.removable().eq(["front-1"]));
    /// roster.record_removal(now + Duration::from_secs(40), "front-1");
    /// assert_eq!(roster.removable().count(), 0);
    /// ```
    pub fn record_removal(&mut self, now: Instant, name: &str) {
        self.hosts.remove(name);
        self.gone.insert(name.into(), Some(now));
    }

    /// Returns the hosts that are gone and whose announcement the store still has.
    pub fn removable(&self) -> impl Iterator<Item = &CompactString> {
        let present = self
            .gone
            .iter()
            .filter(|(_, removed_at)| removed_at.is_none());
        present.map(|(name, _)| name)
    }

    /// Records that the store has accepted this host's announcement, which was sent
    /// at `sent_at`.
    pub fn record_announcement(&mut self, sent_at: Instant) {
        let first = match self.announced {
            Some((first, last)) if sent_at < last + self.share_ttl() => first,
            _ => sent_at,
        };
        self.announced = Some((first, sent_at));
    }

    /// Records that all announcements have been read, and removes the hosts that
    /// count as gone. A time in which none could be read counts as one interval.
    pub fn finish_reading(&mut self, now: Instant) {
        let unread = self.read_at.map(|at| now.saturating_duration_since(at));
        let unread = unread.unwrap_or_default();
        let excess = unread.saturating_sub(self.settings.announce_interval);
        self.read_at = Some(now);
        let expiry = self.settings.expiry;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < expiry;
        // Copies of the store are younger than that.
        self.gone
            .retain(|_, removed_at| removed_at.is_none_or(is_recent));
        let gone = &mut self.gone;
        self.hosts.retain(|name, (at, _)| {
            *at = (*at + excess).min(now);
            let is_recent = is_recent(*at);
            if !is_recent {
                gone.insert(name.clone(), None);
            }
            is_recent
        });
    }

    /// Returns the number of known hosts.
    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the record of a host, or `None` if it is not known.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.hosts.get(name).map(|(_, host)| host)
    }

    /// Returns the records of the known hosts with their names, in order of the
    /// names.
    pub fn iter(&self) -> impl Iterator<Item = (&CompactString, &T)> {
        self.hosts.iter().map(|(name, (_, host))| (name, host))
    }

    /// Returns the part of a shared limit that this host may use, from 0 to 1.
    ///
    /// It is 0 until all others have read the first announcement, and what an
    /// earlier process at this host did no longer counts. It is 0 again once others
    /// may have removed this host, and halved while hosts may have joined that this
    /// host has not read of.
    pub fn share(&self, now: Instant) -> f64 {
        let (Some((first, last)), Some(read_at)) = (self.announced, self.read_at) else {
            return 0.0;
        };
        let read_by_all = self.read_by_all_time();
        let begins_at = first + read_by_all.max(self.settings.window);
        if now < begins_at || now >= last + self.share_ttl() {
            return 0.0;
        }
        let equal_share = 1.0 / self.count().max(1) as f64;
        if now < read_at + read_by_all {
            equal_share
        } else {
            equal_share * STALE_SHARE
        }
    }

    /// Returns whether no host has removed this one, as its last announcement is too recent.
    pub fn is_listed(&self, now: Instant) -> bool {
        self.announced
            .is_some_and(|(_, last)| now < last + self.share_ttl())
    }

    /// Returns whether all hosts know of this one: they have read its first announcement,
    /// and do not yet miss the last one.
    pub fn is_known_to_all(&self, now: Instant) -> bool {
        self.announced.is_some_and(|(first, last)| {
            now >= first + self.read_by_all_time() && now < last + self.share_ttl()
        })
    }

    /// Time after an announcement by which all hosts have read it.
    fn read_by_all_time(&self) -> Duration {
        self.settings.announce_interval + self.settings.max_delay
    }

    /// Time after an announcement for which this host has its share. What it did
    /// last no longer counts when others remove it.
    fn share_ttl(&self) -> Duration {
        self.settings.expiry.saturating_sub(self.settings.window)
    }
}
