//! Configuration under faults of the log, over pipes on a paused clock.

use std::time::Duration;

use rand::{rngs::StdRng, SeedableRng};

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::net::memory::Memory;
use cranberryridge::platform::log::Http;
use cranberryridge::publish::{Draft, Effect, Error, Publisher};
use cranberryridge::wire::id::Version;
use cranberryridge::wire::record::{Record, Service};
use cranberryridge::wire::service;
use cranberryridge_standin::fleet::{Fleet, Plan, LOG_PORT};
use cranberryridge_standin::log::Faults;

/// Limit for the time until a change is in force at every daemon.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(3);

type Deployment = Fleet<Memory, Tokio>;

/// Starts a deployment and waits until it is ready.
async fn fleet(plan: Plan) -> (Memory, Deployment) {
    let net = Memory::default();
    let fleet = Fleet::start(net.clone(), Tokio, plan).await.unwrap();
    fleet.publish(Version::default(), fleet.services());
    let ready = tokio::time::timeout(Duration::from_secs(10), fleet.wait_ready());
    ready.await.expect("fleet not ready");
    (net, fleet)
}

/// Returns a publisher that writes to the deployment's log.
fn publisher(net: &Memory, plan: &Plan) -> Publisher<Http<Memory>> {
    Publisher::new(Http::new(Client::new(
        net.clone(),
        plan.address(1, LOG_PORT),
    )))
}

/// Returns a service with the given target for its first token.
fn service_with_target(name: &str, target: u32) -> Service {
    let text = format!("name = \"{name}\"\nmodel = \"{name}\"\nfirst_token_ms = {target}\n");
    service::parse(&text).unwrap()
}

/// Returns a draft that changes one service.
fn draft(author: &str, service: Service) -> Draft {
    Draft {
        author: author.into(),
        services: vec![service],
        ..Draft::default()
    }
}

/// Returns the target of a service at each daemon, entries first.
fn targets(fleet: &Deployment, name: &str) -> Vec<Option<u32>> {
    let entries = fleet.entries.iter().map(|entry| entry.shared());
    let entries = entries.map(|shared| shared.configuration.borrow().clone());
    let sidecars = fleet.sidecars.iter().map(|sidecar| sidecar.shared());
    let sidecars = sidecars.map(|shared| shared.configuration.borrow().clone());
    let target = |service: &std::sync::Arc<Service>| service.first_token_ms;
    entries
        .chain(sidecars)
        .map(|configuration| configuration.services.get(name).map(target))
        .collect()
}

/// Waits until every daemon has a target, and fails after the limit.
async fn wait_in_force(fleet: &Deployment, name: &str, target: u32) {
    let wait = async {
        while targets(fleet, name)
            .iter()
            .any(|found| *found != Some(target))
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let within = tokio::time::timeout(ROLLOUT_LIMIT, wait).await;
    assert!(within.is_ok(), "{:?}", targets(fleet, name));
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_everywhere_in_time() {
    let plan = Plan {
        prefill_runners: 60,
        decode_runners: 60,
        plain_runners: 60,
        entries: 4,
        ..Plan::default()
    };
    let (net, fleet) = fleet(plan).await;
    let mut publisher = publisher(&net, &fleet.plan);
    let mut random = StdRng::seed_from_u64(1);
    let draft = draft("ops", service_with_target("new", 700));
    let done = publisher.publish(&draft, &mut random);
    assert_eq!(done.await.unwrap(), Effect::InForce(Version(2)));
    wait_in_force(&fleet, "new", 700).await;
}

#[tokio::test(start_paused = true)]
async fn of_operators_that_race_for_a_service_one_wins() {
    let (net, fleet) = fleet(Plan::default()).await;
    let tasks = (0..8u32).map(|operator| {
        let mut publisher = publisher(&net, &fleet.plan);
        tokio::spawn(async move {
            let mut random = StdRng::seed_from_u64(u64::from(operator));
            publisher.current().await.unwrap();
            tokio::time::sleep(Duration::from_millis(10)).await;
            let author = format!("operator-{operator}");
            let draft = draft(&author, service_with_target("new", 100 + operator));
            publisher.publish(&draft, &mut random).await
        })
    });
    let mut won = Vec::new();
    for (operator, task) in tasks.collect::<Vec<_>>().into_iter().enumerate() {
        match task.await.unwrap() {
            Ok(Effect::InForce(_)) => won.push(operator as u32),
            Err(Error::Conflict { services, .. }) => assert_eq!(services, "new"),
            other => panic!("{other:?}"),
        }
    }
    // An operator that begins after another has ended may change the service
    // again, so the last winner's value is the one in force.
    assert!(!won.is_empty());
    let mut last = publisher(&net, &fleet.plan);
    let target = last.current().await.unwrap().services["new"].first_token_ms;
    assert!(won.contains(&(target - 100)));
    wait_in_force(&fleet, "new", target).await;
}

#[tokio::test(start_paused = true)]
async fn operators_of_different_services_all_win() {
    let (net, fleet) = fleet(Plan::default()).await;
    let tasks = (0..8u32).map(|operator| {
        let mut publisher = publisher(&net, &fleet.plan);
        tokio::spawn(async move {
            let mut random = StdRng::seed_from_u64(u64::from(operator));
            let draft = draft("ops", service_with_target(&format!("new-{operator}"), 100));
            publisher.publish(&draft, &mut random).await
        })
    });
    for task in tasks.collect::<Vec<_>>() {
        assert!(matches!(task.await.unwrap(), Ok(Effect::InForce(_))));
    }
    for operator in 0..8 {
        wait_in_force(&fleet, &format!("new-{operator}"), 100).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_settled_by_reading() {
    let (net, fleet) = fleet(Plan::default()).await;
    fleet.log.set_faults(Faults {
        lose_answers: true,
        ..Faults::default()
    });
    let mut publisher = publisher(&net, &fleet.plan);
    let mut random = StdRng::seed_from_u64(1);
    let draft = draft("ops", service_with_target("new", 700));
    let done = publisher.publish(&draft, &mut random);
    assert_eq!(done.await.unwrap(), Effect::InForce(Version(2)));
    assert_eq!(fleet.log.records().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_lost_append_is_never_called_published() {
    let (net, fleet) = fleet(Plan::default()).await;
    fleet.log.set_faults(Faults {
        lose_appends: true,
        ..Faults::default()
    });
    let mut publisher = publisher(&net, &fleet.plan);
    let mut random = StdRng::seed_from_u64(1);
    let draft = draft("ops", service_with_target("new", 700));
    let done = publisher.publish(&draft, &mut random);
    assert!(matches!(done.await, Err(Error::Unclear(_))));
    assert_eq!(targets(&fleet, "new")[0], None);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_published_while_the_log_is_down() {
    let (net, fleet) = fleet(Plan::default()).await;
    let mut publisher = publisher(&net, &fleet.plan);
    publisher.current().await.unwrap();
    fleet.log.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let mut random = StdRng::seed_from_u64(1);
    let draft = draft("ops", service_with_target("new", 700));
    let done = publisher.publish(&draft, &mut random);
    assert!(matches!(done.await, Err(Error::Unreadable(_))));
    fleet.log.set_faults(Faults::default());
    assert_eq!(fleet.log.records().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_slow_log_delays_a_change_by_no_more_than_its_own_time() {
    let (net, fleet) = fleet(Plan::default()).await;
    fleet.log.set_faults(Faults {
        delay: Duration::from_millis(900),
        ..Faults::default()
    });
    let mut publisher = publisher(&net, &fleet.plan);
    let mut random = StdRng::seed_from_u64(1);
    let draft = draft("ops", service_with_target("new", 700));
    let done = publisher.publish(&draft, &mut random);
    assert_eq!(done.await.unwrap(), Effect::InForce(Version(2)));
    wait_in_force(&fleet, "new", 700).await;
}

#[tokio::test(start_paused = true)]
async fn fresh_daemons_take_over_from_peers_while_the_log_is_down() {
    let (net, mut fleet) = fleet(Plan::default()).await;
    fleet.log.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let entry = fleet.add_entry(&net, &Tokio).await.unwrap();
    let sidecar = fleet.add_plain(&net, &Tokio).await.unwrap();
    let fresh = async {
        let version = |configuration: &std::sync::Arc<_>| -> Version {
            let configuration: &cranberryridge::policy::publish::Configuration = configuration;
            configuration.version
        };
        loop {
            let entry = version(&fleet.entries[entry].shared().configuration.borrow());
            let sidecar = version(&fleet.sidecars[sidecar].shared().configuration.borrow());
            if entry == Version(1) && sidecar == Version(1) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let within = tokio::time::timeout(ROLLOUT_LIMIT, fresh).await;
    assert!(within.is_ok(), "no configuration from peers");
    fleet.log.set_faults(Faults::default());
    let mut publisher = publisher(&net, &fleet.plan);
    let mut random = StdRng::seed_from_u64(1);
    let draft = draft("ops", service_with_target("new", 700));
    let done = publisher.publish(&draft, &mut random);
    done.await.unwrap();
    wait_in_force(&fleet, "new", 700).await;
}

#[tokio::test(start_paused = true)]
async fn the_configuration_in_force_is_copied_again_and_survives_retention() {
    let (net, fleet) = fleet(Plan::default()).await;
    tokio::time::sleep(Duration::from_secs(1500)).await;
    let records = fleet.log.records();
    let copies = records.iter().filter(|entry| {
        let record = serde_json::from_str::<Record>(&entry.data);
        matches!(record, Ok(Record::Copy(_)))
    });
    let copies = copies.map(|entry| entry.offset).collect::<Vec<_>>();
    assert!((2..=8).contains(&copies.len()), "{copies:?}");
    fleet.log.trim(*copies.last().unwrap());
    let mut publisher = publisher(&net, &fleet.plan);
    let current = publisher.current().await.unwrap();
    assert_eq!(current.version, Version(1));
    let mut random = StdRng::seed_from_u64(1);
    let draft = draft("ops", service_with_target("new", 700));
    let done = publisher.publish(&draft, &mut random);
    assert!(matches!(done.await.unwrap(), Effect::InForce(_)));
    wait_in_force(&fleet, "new", 700).await;
}

#[tokio::test(start_paused = true)]
async fn services_are_removed_by_name_and_by_whole_folders() {
    let (net, fleet) = fleet(Plan::default()).await;
    let mut publisher = publisher(&net, &fleet.plan);
    let mut random = StdRng::seed_from_u64(1);
    let whole = Draft {
        author: "ops".into(),
        services: vec![service_with_target("new", 700)],
        replace_all: true,
        ..Draft::default()
    };
    let lines = whole.difference(&publisher.current().await.unwrap());
    assert_eq!(
        lines,
        ["orders: removed", "summaries: removed", "new: added"]
    );
    publisher.publish(&whole, &mut random).await.unwrap();
    assert_eq!(publisher.current().await.unwrap().services.len(), 1);
    let changed = draft("ops", service_with_target("new", 701));
    let lines = changed.difference(&publisher.current().await.unwrap());
    assert_eq!(lines, ["new.first_token_ms: 700 -> 701"]);
    let removal = Draft {
        removed: vec!["new".into()],
        ..Draft::default()
    };
    publisher.publish(&removal, &mut random).await.unwrap();
    assert!(publisher.current().await.unwrap().services.is_empty());
    let again = publisher.publish(&removal, &mut random).await.unwrap();
    assert!(matches!(again, Effect::Unchanged(_)));
}
