//! Waits until the daemons run a version.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
use serde_json::Value;

use cranberryridge_wire::id::Version;

use crate::{status, EXIT_TIMEOUT};

/// Interval at which the entries are queried.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of the progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Progress of a version across the daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Rollout {
    /// Number of known daemons.
    seen: usize,
    /// Names of the daemons that run an older version or do not answer.
    behind: Vec<String>,
}

/// Waits until the entries, and the sidecars that they are connected to, run a version.
/// Returns the exit code.
pub async fn wait(
    entries: &[SocketAddr],
    version: Version,
    started: Instant,
    timeout: Duration,
) -> Result<i32> {
    if entries.is_empty() {
        println!("name entries with --entry to wait until the daemons run it");
        return Ok(0);
    }
    let mut last_progress = Instant::now();
    loop {
        let rollout = query(entries, version).await;
        let millis = started.elapsed().as_millis();
        let updated = rollout.seen - rollout.behind.len();
        if rollout.behind.is_empty() {
            println!(
                "version {version} is in force on all {} daemons after {millis} ms",
                rollout.seen
            );
            return Ok(0);
        }
        if started.elapsed() > timeout {
            eprintln!(
                "version {version} on {updated} of {} daemons after {millis} ms",
                rollout.seen
            );
            eprintln!("    behind: {}", rollout.behind.join(", "));
            eprintln!("    hint: see docs/operators/publishing.md");
            return Ok(EXIT_TIMEOUT);
        }
        if last_progress.elapsed() > PROGRESS_INTERVAL {
            last_progress = Instant::now();
            eprintln!("version {version} on {updated} of {} daemons", rollout.seen);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Queries every entry once.
async fn query(entries: &[SocketAddr], version: Version) -> Rollout {
    let mut daemons = std::collections::BTreeMap::<String, bool>::new();
    for entry in entries {
        let Ok(document) = status::get(*entry, "/status").await else {
            daemons.insert(entry.to_string(), false);
            continue;
        };
        let is_updated = |daemon: &Value| daemon["version"].as_u64() >= Some(version.0);
        daemons.insert(entry.to_string(), is_updated(&document));
        for sidecar in document["sidecars"].as_array().into_iter().flatten() {
            if sidecar["connected"] != true {
                continue;
            }
            let name = sidecar["name"].as_str().unwrap_or_default().to_owned();
            // A sidecar counts as updated once any entry has seen it with the version.
            *daemons.entry(name).or_default() |= is_updated(sidecar);
        }
    }
    let behind = daemons.iter().filter(|(_, is_updated)| !**is_updated);
    Rollout {
        seen: daemons.len(),
        behind: behind.map(|(name, _)| name.clone()).collect(),
    }
}
