//! Releases beside gateways that are cut off or stand still for seconds.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::RngExt;
use tokio::time::Instant;

use cranberryridge_standin::store;

use super::proxy::{Mode, Proxy};
use super::site::Site;

/// Time after which a gateway that was out of step no longer counts as such.
const CATCH_UP_TIME: Duration = Duration::from_secs(3);

/// Time for which links reset connections that have lost their bytes.
const RESET_TIME: Duration = Duration::from_millis(50);

/// How links that are cut treat connections.
const CUT_MODES: [Mode; 3] = [Mode::Silent, Mode::Silent, Mode::RequestsOnly];

/// A link of a gateway.
pub struct Link {
    /// Gateway that connects, by index.
    pub from: usize,
    /// Gateway that it connects to, by index, or `None` for the store.
    pub to: Option<usize>,
    /// Proxy that the link leads through.
    pub proxy: Proxy,
}

/// Gateways that are out of step. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Skewed(Arc<Mutex<Vec<Gateway>>>);

/// A gateway that is out of step, and until when it counts as such, or `None` while it is.
type Gateway = (SocketAddr, Option<Instant>);

impl Skewed {
    /// Returns the gateways that are out of step or were a moment ago.
    pub fn current(&self) -> Vec<SocketAddr> {
        let mut gateways = self.0.lock().unwrap();
        gateways.retain(|(_, until)| until.is_none_or(|until| Instant::now() < until));
        gateways.iter().map(|(gateway, _)| *gateway).collect()
    }

    /// Replaces the gateways by those that are out of step from now on.
    fn begin(&self, gateways: impl Iterator<Item = SocketAddr>) {
        *self.0.lock().unwrap() = gateways.map(|gateway| (gateway, None)).collect();
    }

    /// Lets the gateways catch up.
    fn end(&self) {
        for (_, until) in &mut *self.0.lock().unwrap() {
            *until = Some(Instant::now() + CATCH_UP_TIME);
        }
    }
}

/// What brings gateways out of step.
enum Cause {
    /// A signal has frozen them.
    Pause,
    /// Links are cut, by index. What was sent meanwhile arrives late, or is lost.
    Cut { links: Vec<usize>, is_lost: bool },
}

/// A time in which gateways are out of step.
struct Episode {
    /// The gateways, by index.
    gateways: Vec<usize>,
    cause: Cause,
    until: Instant,
    /// Time at which engines of the next version join, or `None` if they have.
    joins_at: Option<Instant>,
}

/// Releases, one beside each time in which gateways are out of step.
pub struct Releases {
    skewed: Skewed,
    spares_skewed: bool,
    current: Option<Episode>,
    next_at: Instant,
}

impl Releases {
    /// Plans the first release. Signals of other faults spare the gateways that are out of step
    /// if `spares_skewed`.
    pub fn new(skewed: Skewed, spares_skewed: bool) -> Self {
        Self {
            skewed,
            spares_skewed,
            current: None,
            next_at: Instant::now() + Duration::from_secs(1),
        }
    }

    /// Does what is due. Each call ends outages of the store, in which no engine could join.
    pub async fn step(&mut self, site: &mut Site, random: &mut StdRng) {
        site.store.set_fault(store::Fault::None);
        let now = Instant::now();
        match &mut self.current {
            Some(episode) if now >= episode.until => {
                self.end(site).await;
                self.next_at = now + Duration::from_millis(random.random_range(500..2000));
            }
            Some(episode) if episode.joins_at.is_some_and(|at| now >= at) => {
                episode.joins_at = None;
                site.list_next_version();
            }
            None if now >= self.next_at => self.begin(site, random),
            _ => {}
        }
    }

    /// Brings one or two gateways out of step.
    fn begin(&mut self, site: &mut Site, random: &mut StdRng) {
        let count = random.random_range(1..=2);
        let gateways = (0..site.process_count()).sample(random, count);
        let cause = if random.random_ratio(1, 3) {
            for gateway in &gateways {
                site.send_signal(*gateway, "STOP");
            }
            Cause::Pause
        } else {
            cut(site, &gateways, random)
        };
        let addresses = site.gateways();
        let addresses = gateways.iter().map(|gateway| addresses[*gateway]);
        self.skewed.begin(addresses);
        if self.spares_skewed {
            site.spared.clone_from(&gateways);
        }
        let now = Instant::now();
        self.current = Some(Episode {
            gateways,
            cause,
            until: now + Duration::from_millis(random.random_range(3000..10_000)),
            joins_at: Some(now + Duration::from_millis(random.random_range(0..1000))),
        });
    }

    /// Lets the gateways that are out of step catch up.
    pub async fn end(&mut self, site: &mut Site) {
        let Some(episode) = self.current.take() else {
            return;
        };
        match episode.cause {
            Cause::Pause => {
                for gateway in episode.gateways {
                    site.send_signal(gateway, "CONT");
                }
            }
            Cause::Cut { links, is_lost } => {
                let links = links.into_iter().map(|index| &site.links[index].proxy);
                if is_lost {
                    links.clone().for_each(|link| link.set(Mode::Reset));
                    tokio::time::sleep(RESET_TIME).await;
                }
                links.for_each(|link| link.set(Mode::Open));
            }
        }
        site.spared.clear();
        self.skewed.end();
    }
}

/// Cuts gateways off from the store, the other gateways or both. Two of them may still reach
/// each other.
fn cut(site: &Site, gateways: &[usize], random: &mut StdRng) -> Cause {
    let (from_store, from_gateways) = [(true, false), (false, true), (true, true)]
        .choose(random)
        .copied()
        .unwrap_or_default();
    let is_one_side = random.random_ratio(1, 2);
    let mode = CUT_MODES.choose(random).copied().unwrap_or_default();
    let is_cut = |link: &Link| {
        let from = gateways.contains(&link.from);
        let Some(to) = link.to.map(|to| gateways.contains(&to)) else {
            return from_store && from;
        };
        from_gateways && (from || to) && !(is_one_side && from && to)
    };
    let links = (0..site.links.len()).filter(|index| is_cut(&site.links[*index]));
    let links = links.collect::<Vec<_>>();
    for index in &links {
        site.links[*index].proxy.set(mode);
    }
    Cause::Cut {
        links,
        is_lost: random.random_ratio(1, 3),
    }
}
