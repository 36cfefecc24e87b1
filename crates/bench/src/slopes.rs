//! Slopes of state, messages and processor time, and what they add up to at
//! the size that the project builds towards.

use std::fmt::Write as _;
use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use bytes::BytesMut;
use getopts::Options;

use cranberryridge_policy::claim;
use cranberryridge_policy::gate::{Demand, Gate};
use cranberryridge_policy::limit;
use cranberryridge_policy::publish::Reader;
use cranberryridge_policy::request::{Machine, Settings};
use cranberryridge_wire::codec;
use cranberryridge_wire::id::Version;
use cranberryridge_wire::message::{Beat, Down, Up};
use cranberryridge_wire::record::{Batch, Copy, Record};

mod gauge;
mod sample;

use gauge::{frame, json, quickest, resident, MANY};
use sample::{address, change, claim, hold, hosts, quotes, report, token, view};

/// Size that the project builds towards.
mod size {
    /// Daemons, a sidecar each before the runners.
    pub const DAEMONS: f64 = 1400.0;
    /// Model runners.
    pub const RUNNERS: f64 = 10_000.0;
    /// Requests a second at the peak.
    pub const REQUESTS: f64 = 35_000.0;
    /// Tokens a second at the peak.
    pub const TOKENS: f64 = 15e6;
    /// Client accounts.
    pub const CLIENTS: f64 = 3700.0;
    /// Models.
    pub const MODELS: f64 = 35.0;
    /// Failure domains.
    pub const DOMAINS: f64 = 26.0;
    /// Configuration changes a day.
    pub const CHANGES: f64 = 8000.0;
    /// Part of a core for control, by daemon.
    pub const CORE: f64 = 0.015;
    /// Megabytes for control, by daemon.
    pub const MEGABYTES: f64 = 32.0;
    /// Kilobytes a second for control, by daemon.
    pub const KILOBYTES: f64 = 5.0;
    /// Hosts restarted or replaced a day.
    pub const REPLACED: f64 = 1500.0;
    /// Seconds of a day.
    pub const DAY: f64 = 86_400.0;
}

/// Appends a second that the log takes, as its owners put it.
const APPENDS: f64 = 300.0;

/// Entries for each failure domain, so that one may fail.
const ENTRIES_A_DOMAIN: f64 = 2.0;

/// Reports of a sidecar a second, as its settings' default has it.
const REPORTS: f64 = 10.0;

/// Heartbeats of an entry a second to each sidecar.
const BEATS: f64 = 1.0 / 0.3;

/// Snapshots a second at 10,000 endpoints.
const SNAPSHOTS: f64 = 1.0 / 0.11;

/// Marks in the page between which the figures stand.
const MARKS: [&str; 2] = ["<!-- slopes begin -->\n", "<!-- slopes end -->"];

/// Runs the command.
pub fn run(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optopt("", "write", "page to write the figures into", "FILE");
    let matches = options.parse(arguments)?;
    let slopes = Slopes::measure()?;
    let text = slopes.text()?;
    print!("{text}");
    let Some(file) = matches.opt_str("write") else {
        return Ok(());
    };
    let page = fs::read_to_string(&file).with_context(|| format!("cannot read {file}"))?;
    let (before, rest) = page.split_once(MARKS[0]).context("no begin mark")?;
    let (_, after) = rest.split_once(MARKS[1]).context("no end mark")?;
    let page = [before, MARKS[0], &text, MARKS[1], after].concat();
    fs::write(&file, page).with_context(|| format!("cannot write {file}"))
}

/// What was measured.
#[derive(Clone, Copy, Debug, Default)]
struct Slopes {
    /// Bytes of memory of an endpoint in a view.
    endpoint: f64,
    /// Bytes of memory of a client account in the limits.
    client: f64,
    /// Bytes of memory of a request's life.
    life: f64,
    /// Bytes of memory of a request at a gate.
    ask: f64,
    /// Bytes of memory of a claim in the table.
    claim: f64,
    /// Bytes of memory of a service in the configuration.
    service: f64,
    /// Bytes of a report's frame of one endpoint.
    report_first: f64,
    /// Bytes that each further endpoint adds to it.
    report_more: f64,
    /// Bytes of a heartbeat's frame.
    beat: f64,
    /// Bytes of a token's frame.
    token: f64,
    /// Bytes of a hold's frame.
    hold: f64,
    /// Bytes of a change of one service in the log.
    change: f64,
    /// Bytes of a claim in the log.
    claim_record: f64,
    /// Bytes of a service in a copy in the log.
    copy: f64,
    /// Bytes of a host in the list.
    host: f64,
    /// Seconds to decode and apply a report.
    apply: f64,
    /// Seconds to copy the view of all runners.
    snapshot: f64,
    /// Seconds to encode and decode a token.
    relay: f64,
    /// Seconds to ask a gate and free the place.
    gate: f64,
    /// Seconds to read and apply a change.
    follow: f64,
    /// Seconds to read and apply a claim.
    settle: f64,
    /// Seconds to apply a host list of all daemons.
    list: f64,
}

impl Slopes {
    /// Measures everything.
    fn measure() -> Result<Self> {
        let mut slopes = Self::default();
        slopes.memory()?;
        slopes.messages()?;
        slopes.time()?;
        Ok(slopes)
    }

    /// Measures memory, from real tables with many rows.
    fn memory(&mut self) -> Result<()> {
        let now = Instant::now();
        self.endpoint = resident(|| view(MANY / 8, 8))?;
        self.client = resident(|| {
            let mut table = limit::Table::default();
            for number in 0..MANY {
                table.acquire(&format!("client-account-{number:06}"), 1);
            }
            table
        })?;
        self.life = resident(|| {
            let lives = (0..MANY).map(|_| Machine::new(Settings::default(), now));
            lives.collect::<Vec<_>>()
        })?;
        self.ask = resident(|| {
            let mut gate = Gate::new(Default::default());
            for _ in 0..MANY {
                let patience = Duration::from_secs(60);
                let demand = Demand {
                    max_wait: patience,
                    ..Demand::new(now + patience)
                };
                gate.request(now, demand);
            }
            gate
        })?;
        self.claim = resident(|| {
            let mut table = claim::Table::new(MANY);
            for number in 0..MANY {
                let claims = vec![claim(number as u64)];
                table.apply(number as u64, &Batch { claims });
            }
            table
        })?;
        self.service = resident(|| {
            let services = (0..MANY).map(|number| Arc::new(quotes(number)));
            services.collect::<Vec<_>>()
        })?;
        Ok(())
    }

    /// Measures messages and records.
    fn messages(&mut self) -> Result<()> {
        self.report_first = frame(&Down::Report(report(1)))?;
        self.report_more = (frame(&Down::Report(report(9)))? - self.report_first) / 8.0;
        self.beat = frame(&Up::Beat(Beat {
            sequence: 100_000,
            version: Version(100_000),
            suspects: Vec::new(),
        }))?;
        self.token = frame(&token())?;
        self.hold = frame(&Up::Hold(hold()))?;
        self.change = json(&Record::Change(change(1)))?;
        let batch = |many| Batch {
            claims: (0..many).map(claim).collect(),
        };
        self.claim_record =
            (json(&Record::Claims(batch(11)))? - json(&Record::Claims(batch(1)))?) / 10.0;
        let copy = |many| Copy {
            version: Version(100_000),
            next: 100_000,
            services: (0..many).map(quotes).collect(),
        };
        self.copy = (json(&Record::Copy(copy(11)))? - json(&Record::Copy(copy(1)))?) / 10.0;
        self.host = json(&cranberryridge::platform::hosts::Row {
            address: "10.100.100.100:7200".into(),
            domain: "domain-25".into(),
            leaving: false,
        })?;
        Ok(())
    }

    /// Measures processor time, on one thread.
    fn time(&mut self) -> Result<()> {
        let now = Instant::now();
        let per_sidecar = (size::RUNNERS / size::DAEMONS).round() as u16;
        let mut view = view(size::DAEMONS as usize, per_sidecar);
        let bytes = codec::encode(&Down::Report(report(per_sidecar)))?;
        self.apply = quickest(2000, |number| {
            let mut buffer = BytesMut::from(&bytes[..]);
            let Ok(Some(Down::Report(report))) = codec::decode::<Down>(&mut buffer) else {
                return;
            };
            view.apply_report(now, address(number % size::DAEMONS as usize), &report);
        });
        self.snapshot = quickest(50, |_| {
            black_box(view.clone());
        });
        let hosts = hosts(size::DAEMONS as usize);
        self.list = quickest(50, |_| {
            black_box(view.apply_list(&hosts));
        });
        let token = token();
        self.relay = quickest(5000, |_| {
            let Ok(bytes) = codec::encode(black_box(&token)) else {
                return;
            };
            let mut buffer = BytesMut::from(&bytes[..]);
            black_box(codec::decode::<Down>(&mut buffer).ok());
        });
        let mut gate = Gate::new(Default::default());
        self.gate = quickest(5000, |_| {
            let (key, _) = gate.request(now, Demand::new(now));
            gate.release(now, key);
        });
        let mut reader = Reader::default();
        self.follow = quickest(500, |_| {
            let offset = reader.next_offset();
            // A change has the same JSON form as in the log, but for its base.
            let text = serde_json::to_string(&Record::Change(change(offset))).unwrap_or_default();
            let record = serde_json::from_str::<Record>(&text).ok();
            reader.apply(offset, record.as_ref());
        });
        let mut table = claim::Table::new(claim::MAX_CLAIMS);
        let mut offset = 0;
        self.settle = quickest(2000, |_| {
            let claims = vec![claim(offset)];
            let record = Record::Claims(Batch { claims });
            let text = serde_json::to_string(&record).unwrap_or_default();
            if let Ok(Record::Claims(batch)) = serde_json::from_str::<Record>(&text) {
                table.apply(offset, &batch);
            }
            offset += 1;
        });
        Ok(())
    }

    /// The slopes and what they add up to, as the page has them.
    fn text(&self) -> Result<String> {
        let mut out = String::new();
        writeln!(out, "| slope | measured |\n|---|---|")?;
        let bytes = [
            ("memory, endpoint in an entry's view", self.endpoint),
            ("memory, client account in an entry's limits", self.client),
            ("memory, request's life at an entry", self.life),
            ("memory, request at a sidecar's gate", self.ask),
            ("memory, claim in an entry's table", self.claim),
            ("memory, service in the configuration", self.service),
            ("frame, report of one endpoint", self.report_first),
            ("frame, each further endpoint of a report", self.report_more),
            ("frame, heartbeat", self.beat),
            ("frame, token", self.token),
            ("frame, hold", self.hold),
            ("log, change of one service", self.change),
            ("log, claim in a batch", self.claim_record),
            ("log, service in a copy", self.copy),
            ("host list, host", self.host),
        ];
        for (name, value) in bytes {
            writeln!(out, "| {name} | {value:.0} B |")?;
        }
        let times = [
            ("time, report decoded and applied", self.apply),
            ("time, snapshot of 10,000 endpoints", self.snapshot),
            ("time, host list of 1,400 applied", self.list),
            ("time, token encoded and decoded", self.relay),
            ("time, gate asked and freed", self.gate),
            ("time, change written, read and applied", self.follow),
            ("time, claim written, read and applied", self.settle),
        ];
        for (name, value) in times {
            writeln!(out, "| {name} | {:.2} us |", value * 1e6)?;
        }
        writeln!(
            out,
            "\n| at the size of two years | figure | allowed | fits |"
        )?;
        writeln!(out, "|---|---|---|---|")?;
        for row in self.rows() {
            writeln!(out, "{row}")?;
        }
        Ok(out)
    }

    /// The rows of the arithmetic.
    fn rows(&self) -> Vec<String> {
        let entries = size::DOMAINS * ENTRIES_A_DOMAIN;
        let per_sidecar = size::RUNNERS / size::DAEMONS;
        let report = self.report_first + (per_sidecar - 1.0) * self.report_more;
        let changes = size::CHANGES / size::DAY;
        let requests = size::REQUESTS / entries;
        let memory = (size::RUNNERS * self.endpoint * 3.0
            + size::CLIENTS * self.client
            + claim::MAX_CLAIMS as f64 * self.claim
            + size::MODELS * self.service * 2.0)
            / 1e6;
        let reports = size::DAEMONS * REPORTS;
        let processor = reports * self.apply + SNAPSHOTS * self.snapshot + self.list;
        let log = APPENDS * self.claim_record + changes * self.change;
        let list = size::DAEMONS * self.host;
        vec![
            plain("entries, two for each failure domain", entries, ""),
            plain("requests a second at an entry", requests, ""),
            plain("tokens a second at an entry", size::TOKENS / entries, ""),
            plain(
                "cores of all entries for token frames, codec alone",
                size::TOKENS * self.relay,
                "cores",
            ),
            row(
                "entry: view (held three times), limits, claims, services",
                memory,
                size::MEGABYTES,
                "MB",
            ),
            row(
                "entry: lives of 30 s of requests",
                requests * 30.0 * self.life / 1e6,
                size::MEGABYTES,
                "MB",
            ),
            row(
                "entry: reports of all sidecars, snapshots, host list",
                processor,
                size::CORE,
                "cores",
            ),
            row(
                "entry: reports of all sidecars",
                reports * report / 1e3,
                size::KILOBYTES,
                "KB/s",
            ),
            row(
                "entry: heartbeats to all sidecars",
                size::DAEMONS * BEATS * self.beat / 1e3,
                size::KILOBYTES,
                "KB/s",
            ),
            row(
                "entry: host list each second",
                list / 1e3,
                size::KILOBYTES,
                "KB/s",
            ),
            row(
                "entry: log followed, with claims",
                log / 1e3,
                size::KILOBYTES,
                "KB/s",
            ),
            row(
                "entry: claims and changes applied",
                APPENDS * self.settle + changes * self.follow,
                size::CORE,
                "cores",
            ),
            row(
                "sidecar: reports to all entries",
                entries * REPORTS * report / 1e3,
                size::KILOBYTES,
                "KB/s",
            ),
            row(
                "sidecar: heartbeats of all entries",
                entries * BEATS * self.beat / 1e3,
                size::KILOBYTES,
                "KB/s",
            ),
            row(
                "sidecar: log followed, with claims",
                log / 1e3,
                size::KILOBYTES,
                "KB/s",
            ),
            row(
                "sidecar: changes alone, without claims",
                changes * self.change / 1e3,
                size::KILOBYTES,
                "KB/s",
            ),
            row(
                "sidecar: admission of its part of requests",
                size::REQUESTS / size::DAEMONS * 2.0 * self.gate,
                size::CORE,
                "cores",
            ),
            row(
                "sidecar: requests at its gates, 20 a runner",
                per_sidecar * 20.0 * self.ask / 1e6,
                size::MEGABYTES,
                "MB",
            ),
            plain("log: appends a second of changes", changes, ""),
            plain(
                "log: reads a second, all daemons polling, claims in it",
                size::DAEMONS * APPENDS,
                "",
            ),
            plain("log: reads a second, entries alone", entries * APPENDS, ""),
            plain(
                "log: reads a second for changes alone, all daemons",
                size::DAEMONS * changes,
                "",
            ),
            plain(
                "log: copies a day, 600 to 720 s apart, at most",
                size::DAY / 600.0,
                "",
            ),
            plain(
                "log: bytes of a copy with one service a model",
                size::MODELS * self.copy,
                "B",
            ),
            plain(
                "peers: copies a second to fresh daemons",
                size::REPLACED / size::DAY,
                "",
            ),
            plain(
                "sidecars that 5 KB/s pay for, a report and a heartbeat a second",
                size::KILOBYTES * 1e3 / (report + self.beat),
                "",
            ),
        ]
    }
}

/// A row without a bound.
fn plain(name: &str, value: f64, unit: &str) -> String {
    format!("| {name} | {} | | |", figure(value, unit))
}

/// A row with a bound.
fn row(name: &str, value: f64, allowed: f64, unit: &str) -> String {
    let fits = if value <= allowed { "yes" } else { "**no**" };
    let (value, allowed) = (figure(value, unit), figure(allowed, unit));
    format!("| {name} | {value} | {allowed} | {fits} |")
}

/// A figure with three digits or more.
fn figure(value: f64, unit: &str) -> String {
    let digits = match value.abs() {
        0.0..0.001 => 6,
        0.001..0.1 => 4,
        0.1..10.0 => 2,
        _ => 0,
    };
    format!("{value:.digits$} {unit}").trim_end().to_owned()
}
