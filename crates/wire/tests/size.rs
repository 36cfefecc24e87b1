//! Size limits of the most frequent messages.

use cranberryridge_wire::codec;
use cranberryridge_wire::id::Version;
use cranberryridge_wire::message::{Beat, Down, Load, Report, Token, Up};
use cranberryridge_wire::time::Millis;

/// Control traffic allowed for one daemon, in bytes per second; the users set
/// this limit.
const MAX_CONTROL_BYTES_PER_SECOND: usize = 5_000;

/// Links of one entry, the default of the settings.
const LINKS_PER_ENTRY: usize = 64;

/// Endpoints of one sidecar at the deployment size expected in two years.
const ENDPOINTS_PER_SIDECAR: u16 = 8;

/// Seconds between two reports, and between two heartbeats, at that deployment
/// size.
const INTERVAL_SECONDS: usize = 2;

/// Bytes of the HTTP/2 frame header before each message.
const H2_FRAME_HEADER_BYTES: usize = 9;

/// Builds the report of a busy sidecar.
fn busy_report() -> Down {
    let load = |endpoint| Load {
        endpoint,
        ready: true,
        running: 18,
        queued: 12,
        free: 9,
        backlog: 40_000,
        wait: Millis(850),
    };
    Down::Report(Report {
        sequence: 100_000,
        version: Version(1_000_000),
        draining: false,
        loads: (0..ENDPOINTS_PER_SIDECAR).map(load).collect(),
        suspects: Vec::new(),
    })
}

#[test]
fn control_traffic_on_all_links_stays_within_the_limit() {
    let beat = Up::Beat(Beat {
        sequence: 100_000,
        version: Version(1_000_000),
        suspects: Vec::new(),
    });
    let report = codec::encode(&busy_report()).unwrap().len() + H2_FRAME_HEADER_BYTES;
    let beat = codec::encode(&beat).unwrap().len() + H2_FRAME_HEADER_BYTES;
    let total = LINKS_PER_ENTRY * (report + beat) / INTERVAL_SECONDS;
    println!("report {report} bytes, heartbeat {beat} bytes, {LINKS_PER_ENTRY} links {total} bytes a second");
    assert!(
        total <= MAX_CONTROL_BYTES_PER_SECOND,
        "{total} bytes a second of control, {MAX_CONTROL_BYTES_PER_SECOND} allowed"
    );
}

#[test]
fn token_overhead_is_below_its_data_size() {
    let data = r#"{"choices":[{"finish_reason":null,"index":0,"text":" word"}],"id":"x"}"#;
    let token = Down::Token(Token {
        attempt: 1,
        position: 500,
        data: data.into(),
    });
    let overhead = codec::encode(&token).unwrap().len() - data.len();
    println!("token {overhead} bytes beside its data");
    assert!(overhead < data.len());
}
