//! Tests of changes of routes.

use std::time::Duration;

use cranberryridge_policy::gateway::route::{Configuration, Kind, Route, Table, Target};

/// Returns a route with a path prefix to services with weights.
fn route(path_prefix: &str, kind: Kind, targets: &[(&str, u32)]) -> Route {
    let targets = targets.iter().map(|(service, weight)| Target {
        service: (*service).into(),
        weight: *weight,
    });
    Route {
        name: path_prefix.into(),
        host: "desk.example".into(),
        path_prefix: path_prefix.into(),
        kind,
        timeout: Duration::from_secs(3),
        latency_target: Duration::from_secs(1),
        max_event_gap: Duration::from_millis(300),
        max_attempts: 2,
        priority: 1,
        is_open: false,
        targets: targets.collect(),
    }
}

fn table(routes: Vec<Route>) -> Table {
    Table::new(Configuration {
        version: 1,
        routes,
        ..Configuration::default()
    })
}

/// Returns the services to which routes were moved, once each.
fn moved<'a>(before: &'a Table, after: &'a Table) -> Vec<&'a str> {
    let moved = after.moved_services(before);
    let mut moved = moved.map(|service| service.as_str()).collect::<Vec<_>>();
    moved.sort_unstable();
    moved.dedup();
    moved
}

#[test]
fn a_route_of_streams_that_leads_to_another_service_is_moved() {
    let stream = |targets| table(vec![route("/list/", Kind::ResumableStream, targets)]);
    let model = stream(&[("model", 1)]);
    assert_eq!(moved(&Table::default(), &model), [""; 0]);
    assert_eq!(moved(&model, &model), [""; 0]);
    assert_eq!(moved(&model, &stream(&[("other", 1)])), ["other"]);
    let split = stream(&[("model", 1), ("other", 1)]);
    assert_eq!(moved(&model, &split), ["model", "other"]);
    let shifted = stream(&[("model", 1), ("other", 3)]);
    assert_eq!(moved(&split, &shifted), ["model", "other"]);
}

#[test]
fn only_routes_of_streams_are_moved() {
    let of_kind = |kind, service| table(vec![route("/list/", kind, &[(service, 1)])]);
    for kind in [Kind::Stream, Kind::ResumableStream] {
        let before = of_kind(kind, "model");
        for now in [Kind::Stream, Kind::ResumableStream] {
            assert_eq!(moved(&before, &of_kind(now, "other")), ["other"]);
            assert_eq!(moved(&before, &of_kind(now, "model")), [""; 0]);
        }
        for plain in [Kind::Idempotent, Kind::Single] {
            assert_eq!(moved(&before, &of_kind(plain, "other")), [""; 0]);
            assert_eq!(moved(&of_kind(plain, "other"), &before), [""; 0]);
        }
    }
}

#[test]
fn a_longer_prefix_that_comes_or_goes_moves_its_paths() {
    let list = route("/list/", Kind::ResumableStream, &[("model", 1)]);
    let long = route("/list/long/", Kind::ResumableStream, &[("other", 1)]);
    let (one, two) = (table(vec![list.clone()]), table(vec![list, long]));
    assert_eq!(moved(&one, &two), ["other"]);
    assert_eq!(moved(&two, &one), ["model"]);
}
