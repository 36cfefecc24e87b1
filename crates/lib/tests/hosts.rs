//! Choice among the entry hosts.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Instant;

use cranberryridge::gateway::follow::Hosts;
use cranberryridge::gateway::store::Host;
use cranberryridge_policy::gateway::roster;

/// Number of hosts, more than keep the record of a stream.
const HOST_COUNT: u16 = 60;

/// Number of streams of which the keepers are compared.
const STREAM_COUNT: u64 = 100;

/// Returns the hosts as seen by one of them, which reaches them at ports from `first_port` on.
fn seen_from(first_port: u16) -> Hosts {
    let mut hosts = Hosts::new(roster::Settings::default());
    for number in 0..HOST_COUNT {
        let address = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let host = Host {
            name: format!("e{number}").into(),
            domain: "a".into(),
            scheduler: Some(SocketAddr::new(address, first_port + number)),
            cores: 1.0,
        };
        hosts.record(Instant::now(), host, false);
    }
    hosts
}

/// Returns the numbers of the hosts at addresses.
fn numbers(addresses: &[SocketAddr], first_port: u16) -> Vec<u16> {
    let ports = addresses.iter().map(SocketAddr::port);
    ports.map(|port| port - first_port).collect()
}

// Guards against hosts that reach others at different addresses and disagree on who keeps a record.
#[test]
fn hosts_that_know_different_addresses_choose_the_same_keepers() {
    let (one, other) = (seen_from(1000), seen_from(5000));
    for stream in 0..STREAM_COUNT {
        let keepers = numbers(&one.keepers("model", stream), 1000);
        assert!(!keepers.is_empty());
        assert_eq!(keepers, numbers(&other.keepers("model", stream), 5000));
    }
    assert_eq!(
        numbers(&one.schedulers("model"), 1000),
        numbers(&other.schedulers("model"), 5000)
    );
}
