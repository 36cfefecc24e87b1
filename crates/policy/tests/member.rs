//! Membership when host lists lag, are empty or contradict the sidecars.

use std::net::SocketAddr;
use std::time::Instant;

use bolero::TypeGenerator;

use cranberryridge_policy::member::{
    EndpointKey, Host, View, LISTS_UNTIL_REMOVAL, MAX_ENDPOINTS_PER_SIDECAR,
};
use cranberryridge_wire::id::{Incarnation, Version};
use cranberryridge_wire::message::{Endpoint, Kind, Load, Report, Welcome};

/// Address of a numbered host.
fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7200))
}

/// Creates a numbered host.
fn host(number: u8, leaving: bool) -> Host {
    Host {
        address: address(number),
        domain: "a".into(),
        leaving,
    }
}

/// Creates the welcome of an incarnation with a number of endpoints.
fn welcome(incarnation: u64, endpoints: u16) -> Welcome {
    let endpoint = |index| Endpoint {
        index,
        kind: Kind::Plain,
        serves: "orders".into(),
        pages: 1,
        slots: 1,
        rate: 1,
        link: 1,
    };
    Welcome {
        name: "sidecar".into(),
        domain: "a".into(),
        incarnation: Incarnation(incarnation),
        endpoints: (0..endpoints).map(endpoint).collect(),
    }
}

/// Creates a report of one ready endpoint.
fn report(draining: bool) -> Report {
    Report {
        sequence: 1,
        version: Version(1),
        draining,
        loads: vec![Load {
            endpoint: 0,
            ready: true,
            running: 0,
            queued: 0,
            free: 1,
            backlog: 0,
            wait: Default::default(),
        }],
        suspects: vec![],
    }
}

/// Creates a view with one connected sidecar.
fn view() -> View {
    let mut view = View::default();
    view.apply_list(&[host(1, false)]);
    view.apply_welcome(Instant::now(), address(1), &welcome(1, 1));
    view.apply_report(Instant::now(), address(1), &report(false));
    view
}

/// Returns the endpoints that take work.
fn open_endpoints(view: &View) -> Vec<EndpointKey> {
    let keys = view.endpoints.keys();
    keys.filter(|key| view.is_open(*key)).collect()
}

#[test]
fn an_empty_list_changes_nothing() {
    let mut view = view();
    view.mark_disconnected(address(1));
    for _ in 0..LISTS_UNTIL_REMOVAL * 2 {
        assert!(view.apply_list(&[]).removed.is_empty());
    }
    assert!(view.sidecar_at(address(1)).is_some());
}

#[test]
fn an_unlisted_sidecar_is_removed_only_when_disconnected() {
    let mut view = view();
    for _ in 0..LISTS_UNTIL_REMOVAL * 2 {
        assert!(view.apply_list(&[host(2, false)]).removed.is_empty());
    }
    assert_eq!(open_endpoints(&view).len(), 1);
    view.mark_disconnected(address(1));
    assert_eq!(view.apply_list(&[host(2, false)]).removed, [address(1)]);
    assert!(view.endpoints.is_empty());
    assert!(view.pools.is_empty());
}

#[test]
fn single_lists_without_a_lost_sidecar_do_not_remove_it() {
    let mut view = view();
    view.mark_disconnected(address(1));
    for _ in 0..LISTS_UNTIL_REMOVAL {
        assert!(view.apply_list(&[host(2, false)]).removed.is_empty());
        assert!(view
            .apply_list(&[host(1, false), host(2, false)])
            .removed
            .is_empty());
    }
}

#[test]
fn a_host_leaving_by_list_or_report_gets_no_work() {
    let mut listed = view();
    listed.apply_list(&[host(1, true)]);
    assert!(open_endpoints(&listed).is_empty());
    listed.apply_report(Instant::now(), address(1), &report(false));
    assert!(open_endpoints(&listed).is_empty());
    listed.apply_welcome(Instant::now(), address(1), &welcome(2, 1));
    listed.apply_report(Instant::now(), address(1), &report(false));
    assert!(
        open_endpoints(&listed).is_empty(),
        "a restart on a leaving host"
    );
    listed.apply_list(&[host(1, false)]);
    assert_eq!(
        open_endpoints(&listed).len(),
        1,
        "the address was given to a new host"
    );

    let mut announced = view();
    announced.apply_report(Instant::now(), address(1), &report(true));
    announced.apply_list(&[host(1, false)]);
    announced.apply_report(Instant::now(), address(1), &report(false));
    assert!(
        open_endpoints(&announced).is_empty(),
        "the sidecar's announcement outweighs the list"
    );
    announced.apply_welcome(Instant::now(), address(1), &welcome(2, 1));
    announced.apply_report(Instant::now(), address(1), &report(false));
    assert_eq!(
        open_endpoints(&announced).len(),
        1,
        "a new incarnation takes work"
    );
}

#[test]
fn the_same_incarnation_keeps_its_endpoints() {
    let mut view = view();
    let before = open_endpoints(&view);
    view.mark_disconnected(address(1));
    assert!(open_endpoints(&view).is_empty());
    view.apply_welcome(Instant::now(), address(1), &welcome(1, 1));
    assert_eq!(open_endpoints(&view), before);
    view.apply_welcome(Instant::now(), address(1), &welcome(2, 1));
    assert!(
        open_endpoints(&view).is_empty(),
        "no work before its first report"
    );
    assert!(view.endpoints.get(before[0]).is_none());
}

#[test]
fn the_endpoints_of_a_sidecar_are_bounded() {
    let mut view = view();
    view.apply_welcome(Instant::now(), address(1), &welcome(2, 5000));
    assert_eq!(view.endpoints.len(), MAX_ENDPOINTS_PER_SIDECAR);
}

/// An input to the view.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// A host list; each bit of `present` and `leaving` stands for one host.
    List { present: u8, leaving: u8 },
    /// A sidecar connects.
    Welcome {
        host: u8,
        incarnation: u8,
        endpoints: u8,
    },
    /// A sidecar reports.
    Report { host: u8, draining: bool },
    /// A connection breaks.
    Lost { host: u8 },
}

#[test]
fn a_view_stays_consistent() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut view = View::default();
        let now = Instant::now();
        for step in steps {
            let before = view.clone();
            match *step {
                Step::List { present, leaving } => {
                    let hosts = (0..8).filter(|number| present >> number & 1 == 1);
                    let hosts = hosts.map(|number| host(number, leaving >> number & 1 == 1));
                    view.apply_list(&hosts.collect::<Vec<_>>());
                }
                Step::Welcome {
                    host,
                    incarnation,
                    endpoints,
                } => {
                    let welcome = welcome(u64::from(incarnation), u16::from(endpoints % 4));
                    view.apply_welcome(now, address(host % 8), &welcome);
                }
                Step::Report { host, draining } => {
                    view.apply_report(now, address(host % 8), &report(draining));
                }
                Step::Lost { host } => view.mark_disconnected(address(host % 8)),
            }
            check(&before, &view);
        }
    });
}

/// Checks the invariants of a view after a step.
fn check(before: &View, view: &View) {
    let owned = view
        .sidecars
        .values()
        .map(|sidecar| sidecar.endpoints.len());
    assert_eq!(owned.sum::<usize>(), view.endpoints.len());
    let pooled = view.pools.values().map(Vec::len);
    assert_eq!(pooled.sum::<usize>(), view.endpoints.len());
    for key in open_endpoints(view) {
        let sidecar = &view.sidecars[view.endpoints[key].sidecar];
        assert!(sidecar.connected && !sidecar.draining);
    }
    for sidecar in before.sidecars.values().filter(|sidecar| sidecar.connected) {
        assert!(
            view.sidecar_at(sidecar.address).is_some(),
            "dropped while connected"
        );
    }
}
