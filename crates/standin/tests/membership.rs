//! Membership under faults of the host list, over pipes on a paused clock.

use std::time::Duration;

use cranberryridge::clock::Tokio;
use cranberryridge::net::memory::Memory;
use cranberryridge::wire::id::Version;
use cranberryridge_standin::fleet::{Fleet, Plan};

/// Limit for the time until an entry acts on a sidecar's notice.
const NOTICE_LIMIT: Duration = Duration::from_millis(500);

/// Starts a deployment and waits until it is ready.
async fn fleet() -> Fleet<Memory, Tokio> {
    let net = Memory::default();
    let fleet = Fleet::start(net, Tokio, Plan::default()).await.unwrap();
    fleet.publish(Version::default(), fleet.services());
    let ready = tokio::time::timeout(Duration::from_secs(10), fleet.wait_ready());
    ready.await.expect("fleet not ready");
    fleet
}

/// Returns the number of endpoints that the first entry sends work to.
fn open_endpoints(fleet: &Fleet<Memory, Tokio>) -> usize {
    let snapshot = fleet.entries[0].shared().snapshot.load();
    let view = &snapshot.view;
    view.endpoints
        .keys()
        .filter(|key| view.is_open(*key))
        .count()
}

#[tokio::test(start_paused = true)]
async fn an_empty_list_removes_no_host() {
    let fleet = fleet().await;
    fleet.hosts.set_rows(Vec::new());
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(open_endpoints(&fleet), fleet.sidecars.len());
    assert!(fleet.entries[0].metrics().get("hosts.empty") > 0);
}

#[tokio::test(start_paused = true)]
async fn a_slow_list_delays_no_drain() {
    let fleet = fleet().await;
    fleet.hosts.set_delay(Duration::from_secs(30));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let drained = fleet.sidecars[0].clone();
    tokio::spawn(async move { drained.drain().await });
    tokio::time::sleep(NOTICE_LIMIT).await;
    assert_eq!(open_endpoints(&fleet), fleet.sidecars.len() - 1);
}

#[tokio::test(start_paused = true)]
async fn a_listed_leaving_host_gets_no_work_within_seconds() {
    let fleet = fleet().await;
    let mut rows = fleet.hosts.rows();
    rows[0].leaving = true;
    fleet.hosts.set_rows(rows);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(open_endpoints(&fleet), fleet.sidecars.len() - 1);
}
