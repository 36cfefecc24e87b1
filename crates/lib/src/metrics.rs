//! Counters, sent to a statsd server, latencies and held memory. All are also kept for the status
//! page and for Prometheus scrapers.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

use prometheus_client::encoding::text;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use cranberryridge_wire::code::Code;
use cranberryridge_wire::Map;

/// Counters and latencies of one daemon. Clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    /// Totals since the start, by name.
    counts: Arc<Mutex<Map<String, u64>>>,
    latencies: Family<Label, Histogram>,
    /// Memory that is held, in bytes.
    held: Family<HeldLabel, Gauge>,
}

/// Label of a series.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    name: String,
}

/// Label of held memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HeldLabel {
    service: String,
    purpose: String,
}

/// Upper bounds of the latency histograms' buckets: narrow around the targets of 300 ms
/// and one second, wide above.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

impl Default for Metrics {
    fn default() -> Self {
        Self::new(StatsdClient::from_sink("cranberryridge", NopMetricSink))
    }
}

impl Metrics {
    /// Creates metrics whose counters are sent to a statsd server over UDP.
    ///
    /// # Errors
    ///
    /// If no UDP socket can be opened.
    pub fn with_statsd(server: SocketAddr) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        let sink = QueuingMetricSink::from(UdpMetricSink::from(server, socket)?);
        Ok(Self::new(StatsdClient::from_sink("cranberryridge", sink)))
    }

    fn new(client: StatsdClient) -> Self {
        Self {
            client: Arc::new(client),
            counts: Arc::default(),
            latencies: Family::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS_SECONDS)),
            held: Family::default(),
        }
    }

    /// Increments a counter by one.
    ///
    /// # Examples
    ///
    /// ```
    /// let metrics = cranberryridge::metrics::Metrics::default();
    /// metrics.count("request.answered");
    /// assert_eq!(metrics.get("request.answered"), 1);
    /// ```
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Increments a counter.
    pub fn add(&self, name: &str, increment: u64) {
        // A failure to send a metric must not fail the request.
        let _ = self.client.count(name, increment);
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        match counts.get_mut(name) {
            Some(count) => *count += increment,
            None => {
                counts.insert(name.to_owned(), increment);
            }
        }
    }

    /// Records a duration in the latency histogram of that name.
    pub fn observe(&self, name: &str, time: Duration) {
        let label = Label { name: name.into() };
        let histogram = self.latencies.get_or_create(&label);
        histogram.observe(time.as_secs_f64());
    }

    /// Returns the gauge of the bytes that a service holds for a purpose.
    ///
    /// # Examples
    ///
    /// ```
    /// let metrics = cranberryridge::metrics::Metrics::default();
    /// metrics.held_bytes("orders", "answers").inc_by(100);
    /// let text = metrics.exposition();
    /// let series = "cranberryridge_held_bytes{service=\"orders\",purpose=\"answers\"} 100";
    /// assert!(text.contains(series));
    /// ```
    pub fn held_bytes(&self, service: &str, purpose: &str) -> Gauge {
        let label = HeldLabel {
            service: service.into(),
            purpose: purpose.into(),
        };
        self.held.get_or_create(&label).clone()
    }

    /// Returns all counters, latencies and held memory in the OpenMetrics text format.
    ///
    /// # Examples
    ///
    /// ```
    /// let metrics = cranberryridge::metrics::Metrics::default();
    /// metrics.count("request.answered");
    /// metrics.observe("first", std::time::Duration::from_millis(120));
    /// let text = metrics.exposition();
    /// assert!(text.contains("cranberryridge_events_total{name=\"request.answered\"} 1"));
    /// assert!(text.contains("cranberryridge_latency_seconds_bucket"));
    /// ```
    pub fn exposition(&self) -> String {
        let mut registry = Registry::with_prefix("cranberryridge");
        let counters = Family::<Label, Counter>::default();
        for (name, count) in self.counts() {
            counters.get_or_create(&Label { name }).inc_by(count);
        }
        registry.register("events", "Events by name", counters);
        registry.register_with_unit(
            "latency",
            "Latencies by name",
            Unit::Seconds,
            self.latencies.clone(),
        );
        registry.register_with_unit(
            "held",
            "Held memory by service and purpose",
            Unit::Bytes,
            self.held.clone(),
        );
        let mut text = String::new();
        // Writing to a string never fails.
        let _ = text::encode(&mut text, &registry);
        text
    }

    /// Counts a refused or failed request in `refused.CODE`.
    pub fn count_refusal(&self, code: Code) {
        self.count(&format!("refused.{}", code.slug()));
    }

    /// Counts a retry in `retry.CODE`, by the code that caused it.
    pub fn count_retry(&self, code: Code) {
        self.count(&format!("retry.{}", code.slug()));
    }

    /// Returns the total of a counter, 0 if it was never incremented.
    pub fn get(&self, name: &str) -> u64 {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.get(name).copied().unwrap_or_default()
    }

    /// Returns the totals of all counters, sorted by name.
    pub fn counts(&self) -> Vec<(String, u64)> {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut sorted = counts
            .iter()
            .map(|(name, count)| (name.clone(), *count))
            .collect::<Vec<_>>();
        sorted.sort();
        sorted
    }
}
