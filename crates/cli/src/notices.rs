//! The `notices` command, which lists the store's eras and what endpoints said about
//! themselves, from the gateways' logs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use anyhow::Result;
use getopts::Options;
use serde::Deserialize;

use crate::{logs, options};

/// Messages of the lines that a gateway logs for a new era and for endpoints.
const ERA_MESSAGE: &str = "store: new era";
const LEAVING_MESSAGES: [&str; 2] = [
    "endpoint: leaving, as it says",
    "endpoint: leaving, as another host says",
];
const REST_MESSAGE: &str = "endpoint: rests";
const BAD_REST_MESSAGE: &str = "endpoint: rest unreadable, ignored";
const LIMIT_MESSAGES: [&str; 2] = [
    "endpoint: limit changed, as it says",
    "endpoint: limit changed, as another host says",
];

/// Fields of a log line that are needed here.
#[derive(Debug, Deserialize)]
struct Line {
    msg: String,
    #[serde(default)]
    daemon: String,
    #[serde(default)]
    ts: String,
    #[serde(default)]
    era: u64,
    #[serde(default)]
    endpoint: String,
    #[serde(default)]
    rest_ms: u64,
    /// Limit in requests per second, `None` if it has ended.
    #[serde(default)]
    rate: Option<f64>,
}

/// What the logs say.
#[derive(Debug, Default)]
struct Notices {
    /// Hosts by the last era that each of them learned of.
    eras: BTreeMap<String, u64>,
    /// Endpoints by id.
    endpoints: BTreeMap<String, Endpoint>,
}

/// What one endpoint said.
#[derive(Debug, Default)]
struct Endpoint {
    /// Hosts that know that it is shutting down.
    leaving: BTreeSet<String>,
    /// Time of the first such line.
    leaving_since: String,
    /// Number of rests that it asked for, and the longest in milliseconds.
    rests: u64,
    longest_rest_ms: u64,
    /// Number of rests that could not be read.
    bad_rests: u64,
    /// Last limit that each host learned of, with the time of its line.
    limits: BTreeMap<String, (String, Option<f64>)>,
}

impl Notices {
    fn record(&mut self, line: Line) {
        let message = line.msg.as_str();
        if message == ERA_MESSAGE {
            self.eras.insert(line.daemon, line.era);
            return;
        }
        let is_leaving = LEAVING_MESSAGES.contains(&message);
        let is_limit = LIMIT_MESSAGES.contains(&message);
        if !is_leaving && !is_limit && ![REST_MESSAGE, BAD_REST_MESSAGE].contains(&message) {
            return;
        }
        let endpoint = self.endpoints.entry(line.endpoint).or_default();
        if is_limit {
            let last = endpoint.limits.entry(line.daemon).or_default();
            if line.ts >= last.0 {
                *last = (line.ts, line.rate);
            }
        } else if is_leaving {
            if endpoint.leaving.is_empty() || line.ts < endpoint.leaving_since {
                endpoint.leaving_since = line.ts;
            }
            endpoint.leaving.insert(line.daemon);
        } else if message == REST_MESSAGE {
            endpoint.rests += 1;
            endpoint.longest_rest_ms = endpoint.longest_rest_ms.max(line.rest_ms);
        } else {
            endpoint.bad_rests += 1;
        }
    }

    /// Formats the notices as a table.
    fn table(&self) -> String {
        let mut hosts_by_era = BTreeMap::<u64, Vec<&str>>::new();
        for (host, era) in &self.eras {
            hosts_by_era.entry(*era).or_default().push(host);
        }
        let mut table = String::new();
        for (era, hosts) in hosts_by_era.iter().rev() {
            // Writing to a string never fails.
            let _ = writeln!(
                table,
                "era {era}: {} hosts, {}",
                hosts.len(),
                hosts.join(" ")
            );
        }
        for (id, endpoint) in &self.endpoints {
            let mut facts = Vec::new();
            if !endpoint.leaving.is_empty() {
                let hosts = endpoint.leaving.len();
                facts.push(format!(
                    "leaving since {}, known to {hosts} hosts",
                    endpoint.leaving_since
                ));
            }
            if endpoint.rests > 0 {
                facts.push(format!(
                    "{} rests, the longest {} ms",
                    endpoint.rests, endpoint.longest_rest_ms
                ));
            }
            if endpoint.bad_rests > 0 {
                facts.push(format!("{} unreadable rests", endpoint.bad_rests));
            }
            let limits = || endpoint.limits.values();
            if let Some((time, rate)) = limits().max_by_key(|(time, _)| time) {
                let hosts = limits().filter(|(_, other)| other == rate).count();
                let rate = rate.map_or("none".into(), |rate| format!("{rate} a second"));
                facts.push(format!("limit {rate} since {time}, known to {hosts} hosts"));
            }
            let _ = writeln!(table, "{id}: {}", facts.join("; "));
        }
        table
    }
}

/// Runs the command and returns its exit code.
pub fn run(arguments: &[String]) -> Result<i32> {
    let brief = "Usage: cranberryridge notices [FILE]...";
    let Some(matches) = options::parse(Options::new(), brief, arguments)? else {
        return Ok(0);
    };
    let mut notices = Notices::default();
    logs::read(&matches.free, |line| notices.record(line))?;
    options::print(&notices.table());
    Ok(0)
}
