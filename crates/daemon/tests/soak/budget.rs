//! Check of the retry budget that all gateways share.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use cranberryridge_standin::runner::Runner;

use super::load::Row;

/// Retries in [`WINDOW`] that need no requests, for each service.
pub const FIXED_RETRIES: usize = 50;

/// Retries that each request adds.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// Time in which retries are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Asserts that no window has more sends of a service's requests beyond the first of
/// each than its requests and the fixed part allow. Requests count in the window, half a
/// window before or a window before, whichever has most.
pub fn assert_within_budget(seed: u64, rows: &[Row], runners: &[Runner]) {
    let services = [
        ("orders", &["book", "read", "late-book", "late-read"][..]),
        ("model", &["note", "list", "late-note"]),
    ];
    for (service, routes) in services {
        let requests = rows.iter().filter(|row| routes.contains(&row.route));
        let requests = sorted(requests.map(|row| row.sent_at));
        let is_model = |runner: &&Runner| runner.settings.phase.is_some() == (service == "model");
        let retries = sorted(retries(runners.iter().filter(is_model)));
        let mut most = 0;
        for from in &retries {
            let before = [0, 1, 2].map(|halves| *from - WINDOW / 2 * halves);
            let requests = before.map(|from| count(&requests, from)).into_iter().max();
            let requests = requests.unwrap_or_default();
            let sent = count(&retries, *from);
            let allowed = RETRIES_PER_REQUEST * requests as f64 + FIXED_RETRIES as f64;
            assert!(
                sent as f64 <= allowed,
                "seed {seed}: {sent} retries of {requests} requests to {service}"
            );
            most = most.max(sent);
        }
        println!("soak: seed {seed}: at most {most} retries to {service} in a window");
    }
}

/// Returns the times of all sends beyond the first of each request. The first prompt
/// read that an engine accepts is no send.
fn retries<'a>(runners: impl Iterator<Item = &'a Runner>) -> Vec<Instant> {
    let mut calls = runners.flat_map(Runner::calls).collect::<Vec<_>>();
    calls.sort_by_key(|call| call.received_at);
    let mut read = HashSet::new();
    let mut sent = HashMap::<_, u32>::new();
    let mut retries = Vec::new();
    for call in calls {
        let attempt = call.headers["attempt-id"].clone();
        if call.is_prefill && read.insert(attempt.clone()) {
            continue;
        }
        let sent = sent.entry(attempt).or_default();
        if *sent > 0 {
            retries.push(call.received_at);
        }
        *sent += 1;
    }
    retries
}

/// Returns times in order.
fn sorted(times: impl IntoIterator<Item = Instant>) -> Vec<Instant> {
    let mut times = times.into_iter().collect::<Vec<_>>();
    times.sort();
    times
}

/// Returns how many of the sorted times are in the window that begins at `from`.
fn count(times: &[Instant], from: Instant) -> usize {
    let before = times.partition_point(|at| *at < from);
    times.partition_point(|at| *at < from + WINDOW) - before
}
