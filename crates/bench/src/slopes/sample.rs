//! Sample messages, records and tables of typical size.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cranberryridge_policy::member::{Host, View};
use cranberryridge_wire::blob::Blob;
use cranberryridge_wire::id::{Digest, Incarnation, Request, Version};
use cranberryridge_wire::message::{
    Call, Down, Endpoint, Hold, Kind, Load, Report, Token, Welcome,
};
use cranberryridge_wire::record::{Change, Claim, Service};
use cranberryridge_wire::service;

/// Number of failure domains that the hosts are spread over.
const DOMAIN_COUNT: usize = 26;

/// Number of models that the runners serve.
const MODEL_COUNT: usize = 35;

/// Address of a numbered host.
pub fn address(number: usize) -> SocketAddr {
    let [_, a, b, c] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7200))
}

/// Hosts spread over all failure domains.
pub fn hosts(count: usize) -> Vec<Host> {
    let host = |number: usize| Host {
        address: address(number),
        domain: format!("domain-{}", number % DOMAIN_COUNT).into(),
        leaving: false,
    };
    (0..count).map(host).collect()
}

/// A view with the given number of endpoints at each sidecar.
pub fn view(sidecars: usize, endpoints: u16) -> View {
    let now = Instant::now();
    let mut view = View::default();
    view.apply_list(&hosts(sidecars));
    for number in 0..sidecars {
        let endpoint = |index| Endpoint {
            index,
            kind: if index % 2 == 0 {
                Kind::Prefill
            } else {
                Kind::Decode
            },
            serves: format!("model-{}", number % MODEL_COUNT).into(),
            pages: 80,
            slots: 20,
            rate: 8000,
            link: 12_500_000_000,
        };
        let welcome = Welcome {
            name: format!("sidecar-{number}").into(),
            domain: "domain-1".into(),
            incarnation: Incarnation(number as u64),
            endpoints: (0..endpoints).map(endpoint).collect(),
        };
        view.apply_welcome(now, address(number), &welcome);
        view.apply_report(now, address(number), &report(endpoints));
    }
    view
}

/// A report of busy endpoints.
pub fn report(endpoints: u16) -> Report {
    let load = |endpoint| Load {
        endpoint,
        ready: true,
        running: 20,
        queued: 10,
        free: 60,
        backlog: 30_000,
        wait: Duration::from_millis(900).into(),
    };
    Report {
        sequence: 100_000,
        version: Version(100_000),
        draining: false,
        loads: (0..endpoints).map(load).collect(),
        suspects: Vec::new(),
    }
}

/// A token as an engine streams it.
pub fn token() -> Down {
    let data = r#"{"id":"0123456789abcdef-1234-1-d","object":"text_completion","choices":[{"index":0,"text":" cores","finish_reason":null}]}"#;
    Down::Token(Token {
        attempt: 1,
        position: 200,
        data: Blob::from(data),
    })
}

/// Id of a numbered request.
pub fn request(sequence: u64) -> Request {
    Request {
        entry: Incarnation(u64::MAX / 3),
        sequence,
    }
}

/// A hold for a typical request.
pub fn hold() -> Hold {
    Hold {
        call: Call {
            request: request(100_000),
            attempt: 1,
            endpoint: 3,
            client: "client-account-1000".into(),
            service: "sahel-quotes".into(),
            digest: Digest([u64::MAX / 3, u64::MAX / 5]),
            due: Duration::from_millis(1300).into(),
            late: false,
            patience: Duration::from_millis(900).into(),
        },
        prompt: 3000,
        output: 512,
        ahead: Duration::from_millis(400).into(),
    }
}

/// A numbered service.
pub fn quote_service(number: usize) -> Service {
    let text = format!("name = \"quotes-{number:05}\"\nmodel = \"estimator-{number:05}\"\n");
    // The text is a valid service file, so parsing can't fail.
    service::parse(&text).unwrap_or_else(|problems| panic!("{problems:?}"))
}

/// A change of one service, based on version `base`.
pub fn change(base: u64) -> Change {
    Change {
        id: u64::MAX / 3,
        base: Version(base),
        author: "operator".into(),
        snapshot: false,
        services: vec![quote_service(1)],
        removed: Vec::new(),
    }
}

/// A numbered claim.
pub fn claim(number: u64) -> Claim {
    Claim {
        key: Digest([number.wrapping_mul(0x9e37_79b9_7f4a_7c15), number]),
        request: request(number),
        sidecar: "sidecar-1000".into(),
        incarnation: Incarnation(u64::MAX / 5),
    }
}
