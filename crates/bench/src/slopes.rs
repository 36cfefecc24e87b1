//! Marginal costs ("slopes") of state, messages and processor time, and their
//! extrapolation to the scale that the project is designed for.

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

use gauge::{frame_bytes, json_bytes, measure_resident_bytes, measure_seconds, SAMPLE_SIZE};
use sample::{address, change, claim, hold, hosts, quote_service, report, token, view};

/// Scale that the project is designed for, and the limits at that scale.
mod scale {
    /// Daemons, each a sidecar in front of runners.
    pub const DAEMONS: f64 = 1400.0;
    /// Model runners.
    pub const RUNNERS: f64 = 10_000.0;
    /// Requests per second at the peak.
    pub const REQUESTS_PER_SECOND: f64 = 35_000.0;
    /// Tokens per second at the peak.
    pub const TOKENS_PER_SECOND: f64 = 15e6;
    /// Client accounts.
    pub const CLIENTS: f64 = 3700.0;
    /// Models.
    pub const MODELS: f64 = 35.0;
    /// Failure domains.
    pub const DOMAINS: f64 = 26.0;
    /// Configuration changes per day.
    pub const CHANGES_PER_DAY: f64 = 8000.0;
    /// Cores that a daemon may use for control.
    pub const MAX_CORES: f64 = 0.015;
    /// Memory that a daemon may use for control.
    pub const MAX_MEGABYTES: f64 = 32.0;
    /// Network traffic that a daemon may use for control.
    pub const MAX_KILOBYTES_PER_SECOND: f64 = 5.0;
    /// Hosts that are restarted or replaced per day.
    pub const REPLACED_HOSTS_PER_DAY: f64 = 1500.0;
    pub const SECONDS_PER_DAY: f64 = 86_400.0;
}

/// Append rate that the log sustains, as stated by its owners.
const APPENDS_PER_SECOND: f64 = 300.0;

/// Entries in each failure domain, so that one of them may fail.
const ENTRIES_PER_DOMAIN: f64 = 2.0;

/// Reports of a sidecar per second with default settings.
const REPORTS_PER_SECOND: f64 = 10.0;

/// Heartbeats of an entry per second to each sidecar.
const HEARTBEATS_PER_SECOND: f64 = 1.0 / 0.3;

/// View snapshots of an entry per second with 10,000 endpoints.
const SNAPSHOTS_PER_SECOND: f64 = 1.0 / 0.11;

/// Markers around the figures in the page.
const PAGE_MARKERS: [&str; 2] = ["<!-- slopes begin -->\n", "<!-- slopes end -->"];

/// Runs the `slopes` command: measures, prints and optionally updates a page.
pub fn run(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optopt("", "write", "page to write the figures into", "FILE");
    let matches = options.parse(arguments)?;
    let slopes = Slopes::measure()?;
    let text = slopes.render()?;
    print!("{text}");
    let Some(file) = matches.opt_str("write") else {
        return Ok(());
    };
    let page = fs::read_to_string(&file).with_context(|| format!("cannot read {file}"))?;
    let (before, rest) = page
        .split_once(PAGE_MARKERS[0])
        .context("the page has no begin marker")?;
    let (_, after) = rest
        .split_once(PAGE_MARKERS[1])
        .context("the page has no end marker")?;
    let page = [before, PAGE_MARKERS[0], &text, PAGE_MARKERS[1], after].concat();
    fs::write(&file, page).with_context(|| format!("cannot write {file}"))
}

/// Measured marginal costs.
#[derive(Clone, Copy, Debug, Default)]
struct Slopes {
    /// Memory of an endpoint in a view.
    endpoint_bytes: f64,
    /// Memory of a client account in the limits.
    client_bytes: f64,
    /// Memory of a request's state machine.
    request_bytes: f64,
    /// Memory of a request at a gate.
    gate_request_bytes: f64,
    /// Memory of a claim in the table.
    claim_bytes: f64,
    /// Memory of a service in the configuration.
    service_bytes: f64,
    /// Frame of a report of one endpoint.
    report_frame_bytes: f64,
    /// Bytes that each further endpoint adds to a report's frame.
    report_endpoint_bytes: f64,
    /// Frame of a heartbeat.
    heartbeat_frame_bytes: f64,
    /// Frame of a token.
    token_frame_bytes: f64,
    /// Frame of a hold.
    hold_frame_bytes: f64,
    /// Log record of a change of one service.
    change_record_bytes: f64,
    /// Bytes that each claim adds to a batch in the log.
    claim_record_bytes: f64,
    /// Bytes that each service adds to a copy in the log.
    copy_service_bytes: f64,
    /// JSON of a host in the host list.
    host_row_bytes: f64,
    /// Time to decode and apply a report.
    report_seconds: f64,
    /// Time to copy the view of all runners.
    snapshot_seconds: f64,
    /// Time to encode and decode a token.
    token_codec_seconds: f64,
    /// Time to admit a request at a gate and release it.
    gate_seconds: f64,
    /// Time to write, read and apply a change.
    change_seconds: f64,
    /// Time to write, read and apply a claim.
    claim_seconds: f64,
    /// Time to apply a host list of all daemons.
    host_list_seconds: f64,
}

impl Slopes {
    /// Measures all costs, memory first.
    fn measure() -> Result<Self> {
        let mut slopes = Self::default();
        slopes.measure_memory()?;
        slopes.measure_messages()?;
        slopes.measure_time()?;
        Ok(slopes)
    }

    /// Measures memory with real tables of [`SAMPLE_SIZE`] rows.
    fn measure_memory(&mut self) -> Result<()> {
        let now = Instant::now();
        self.endpoint_bytes = measure_resident_bytes(|| view(SAMPLE_SIZE / 8, 8))?;
        self.client_bytes = measure_resident_bytes(|| {
            let mut table = limit::Table::default();
            for number in 0..SAMPLE_SIZE {
                table.acquire(&format!("client-account-{number:06}"), 1);
            }
            table
        })?;
        self.request_bytes = measure_resident_bytes(|| {
            let lives = (0..SAMPLE_SIZE).map(|_| Machine::new(Settings::default(), now));
            lives.collect::<Vec<_>>()
        })?;
        self.gate_request_bytes = measure_resident_bytes(|| {
            let mut gate = Gate::new(Default::default());
            for _ in 0..SAMPLE_SIZE {
                let patience = Duration::from_secs(60);
                let demand = Demand {
                    max_wait: patience,
                    ..Demand::new(now + patience)
                };
                gate.request(now, demand);
            }
            gate
        })?;
        self.claim_bytes = measure_resident_bytes(|| {
            let mut table = claim::Table::new(SAMPLE_SIZE);
            for number in 0..SAMPLE_SIZE {
                let claims = vec![claim(number as u64)];
                table.apply(number as u64, &Batch { claims });
            }
            table
        })?;
        self.service_bytes = measure_resident_bytes(|| {
            let services = (0..SAMPLE_SIZE).map(|number| Arc::new(quote_service(number)));
            services.collect::<Vec<_>>()
        })?;
        Ok(())
    }

    /// Measures the encoded sizes of messages and records.
    fn measure_messages(&mut self) -> Result<()> {
        self.report_frame_bytes = frame_bytes(&Down::Report(report(1)))?;
        self.report_endpoint_bytes =
            (frame_bytes(&Down::Report(report(9)))? - self.report_frame_bytes) / 8.0;
        self.heartbeat_frame_bytes = frame_bytes(&Up::Beat(Beat {
            sequence: 100_000,
            version: Version(100_000),
            suspects: Vec::new(),
        }))?;
        self.token_frame_bytes = frame_bytes(&token())?;
        self.hold_frame_bytes = frame_bytes(&Up::Hold(hold()))?;
        self.change_record_bytes = json_bytes(&Record::Change(change(1)))?;
        let batch = |many| Batch {
            claims: (0..many).map(claim).collect(),
        };
        self.claim_record_bytes = (json_bytes(&Record::Claims(batch(11)))?
            - json_bytes(&Record::Claims(batch(1)))?)
            / 10.0;
        let copy = |many| Copy {
            version: Version(100_000),
            next: 100_000,
            services: (0..many).map(quote_service).collect(),
        };
        self.copy_service_bytes =
            (json_bytes(&Record::Copy(copy(11)))? - json_bytes(&Record::Copy(copy(1)))?) / 10.0;
        self.host_row_bytes = json_bytes(&cranberryridge::platform::hosts::Row {
            address: "10.100.100.100:7200".into(),
            domain: "domain-25".into(),
            leaving: false,
        })?;
        Ok(())
    }

    /// Measures processor time on one thread.
    fn measure_time(&mut self) -> Result<()> {
        let now = Instant::now();
        let per_sidecar = (scale::RUNNERS / scale::DAEMONS).round() as u16;
        let mut view = view(scale::DAEMONS as usize, per_sidecar);
        let bytes = codec::encode(&Down::Report(report(per_sidecar)))?;
        self.report_seconds = measure_seconds(2000, |number| {
            let mut buffer = BytesMut::from(&bytes[..]);
            let Ok(Some(Down::Report(report))) = codec::decode::<Down>(&mut buffer) else {
                return;
            };
            view.apply_report(now, address(number % scale::DAEMONS as usize), &report);
        });
        self.snapshot_seconds = measure_seconds(50, |_| {
            black_box(view.clone());
        });
        let hosts = hosts(scale::DAEMONS as usize);
        self.host_list_seconds = measure_seconds(50, |_| {
            black_box(view.apply_list(&hosts));
        });
        let token = token();
        self.token_codec_seconds = measure_seconds(5000, |_| {
            let Ok(bytes) = codec::encode(black_box(&token)) else {
                return;
            };
            let mut buffer = BytesMut::from(&bytes[..]);
            black_box(codec::decode::<Down>(&mut buffer).ok());
        });
        let mut gate = Gate::new(Default::default());
        self.gate_seconds = measure_seconds(5000, |_| {
            let (key, _) = gate.request(now, Demand::new(now));
            gate.release(now, key);
        });
        let mut reader = Reader::default();
        self.change_seconds = measure_seconds(500, |_| {
            let offset = reader.next_offset();
            // The JSON equals that of a change in the log except for its base.
            let text = serde_json::to_string(&Record::Change(change(offset))).unwrap_or_default();
            let record = serde_json::from_str::<Record>(&text).ok();
            reader.apply(offset, record.as_ref());
        });
        let mut table = claim::Table::new(claim::MAX_CLAIMS);
        let mut offset = 0;
        self.claim_seconds = measure_seconds(2000, |_| {
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

    /// Renders the costs and their extrapolation as Markdown tables.
    fn render(&self) -> Result<String> {
        let mut out = String::new();
        writeln!(out, "| slope | measured |\n|---|---|")?;
        let bytes = [
            ("memory, endpoint in an entry's view", self.endpoint_bytes),
            (
                "memory, client account in an entry's limits",
                self.client_bytes,
            ),
            ("memory, request's life at an entry", self.request_bytes),
            (
                "memory, request at a sidecar's gate",
                self.gate_request_bytes,
            ),
            ("memory, claim in an entry's table", self.claim_bytes),
            ("memory, service in the configuration", self.service_bytes),
            ("frame, report of one endpoint", self.report_frame_bytes),
            (
                "frame, each further endpoint of a report",
                self.report_endpoint_bytes,
            ),
            ("frame, heartbeat", self.heartbeat_frame_bytes),
            ("frame, token", self.token_frame_bytes),
            ("frame, hold", self.hold_frame_bytes),
            ("log, change of one service", self.change_record_bytes),
            ("log, claim in a batch", self.claim_record_bytes),
            ("log, service in a copy", self.copy_service_bytes),
            ("host list, host", self.host_row_bytes),
        ];
        for (name, value) in bytes {
            writeln!(out, "| {name} | {value:.0} B |")?;
        }
        let times = [
            ("time, report decoded and applied", self.report_seconds),
            ("time, snapshot of 10,000 endpoints", self.snapshot_seconds),
            ("time, host list of 1,400 applied", self.host_list_seconds),
            ("time, token encoded and decoded", self.token_codec_seconds),
            ("time, gate asked and freed", self.gate_seconds),
            (
                "time, change written, read and applied",
                self.change_seconds,
            ),
            ("time, claim written, read and applied", self.claim_seconds),
        ];
        for (name, value) in times {
            writeln!(out, "| {name} | {:.2} us |", value * 1e6)?;
        }
        writeln!(
            out,
            "\n| at the size of two years | figure | allowed | fits |"
        )?;
        writeln!(out, "|---|---|---|---|")?;
        for row in self.scale_rows() {
            writeln!(out, "{row}")?;
        }
        Ok(out)
    }

    /// Rows of the extrapolation to the target scale.
    fn scale_rows(&self) -> Vec<String> {
        let entries = scale::DOMAINS * ENTRIES_PER_DOMAIN;
        let per_sidecar = scale::RUNNERS / scale::DAEMONS;
        let report = self.report_frame_bytes + (per_sidecar - 1.0) * self.report_endpoint_bytes;
        let changes = scale::CHANGES_PER_DAY / scale::SECONDS_PER_DAY;
        let requests = scale::REQUESTS_PER_SECOND / entries;
        let memory = (scale::RUNNERS * self.endpoint_bytes * 3.0
            + scale::CLIENTS * self.client_bytes
            + claim::MAX_CLAIMS as f64 * self.claim_bytes
            + scale::MODELS * self.service_bytes * 2.0)
            / 1e6;
        let reports = scale::DAEMONS * REPORTS_PER_SECOND;
        let processor = reports * self.report_seconds
            + SNAPSHOTS_PER_SECOND * self.snapshot_seconds
            + self.host_list_seconds;
        let log = APPENDS_PER_SECOND * self.claim_record_bytes + changes * self.change_record_bytes;
        let list = scale::DAEMONS * self.host_row_bytes;
        vec![
            unbounded_row("entries, two for each failure domain", entries, ""),
            unbounded_row("requests a second at an entry", requests, ""),
            unbounded_row(
                "tokens a second at an entry",
                scale::TOKENS_PER_SECOND / entries,
                "",
            ),
            unbounded_row(
                "cores of all entries for token frames, codec alone",
                scale::TOKENS_PER_SECOND * self.token_codec_seconds,
                "cores",
            ),
            bounded_row(
                "entry: view (held three times), limits, claims, services",
                memory,
                scale::MAX_MEGABYTES,
                "MB",
            ),
            bounded_row(
                "entry: lives of 30 s of requests",
                requests * 30.0 * self.request_bytes / 1e6,
                scale::MAX_MEGABYTES,
                "MB",
            ),
            bounded_row(
                "entry: reports of all sidecars, snapshots, host list",
                processor,
                scale::MAX_CORES,
                "cores",
            ),
            bounded_row(
                "entry: reports of all sidecars",
                reports * report / 1e3,
                scale::MAX_KILOBYTES_PER_SECOND,
                "KB/s",
            ),
            bounded_row(
                "entry: heartbeats to all sidecars",
                scale::DAEMONS * HEARTBEATS_PER_SECOND * self.heartbeat_frame_bytes / 1e3,
                scale::MAX_KILOBYTES_PER_SECOND,
                "KB/s",
            ),
            bounded_row(
                "entry: host list each second",
                list / 1e3,
                scale::MAX_KILOBYTES_PER_SECOND,
                "KB/s",
            ),
            bounded_row(
                "entry: log followed, with claims",
                log / 1e3,
                scale::MAX_KILOBYTES_PER_SECOND,
                "KB/s",
            ),
            bounded_row(
                "entry: claims and changes applied",
                APPENDS_PER_SECOND * self.claim_seconds + changes * self.change_seconds,
                scale::MAX_CORES,
                "cores",
            ),
            bounded_row(
                "sidecar: reports to all entries",
                entries * REPORTS_PER_SECOND * report / 1e3,
                scale::MAX_KILOBYTES_PER_SECOND,
                "KB/s",
            ),
            bounded_row(
                "sidecar: heartbeats of all entries",
                entries * HEARTBEATS_PER_SECOND * self.heartbeat_frame_bytes / 1e3,
                scale::MAX_KILOBYTES_PER_SECOND,
                "KB/s",
            ),
            bounded_row(
                "sidecar: log followed, with claims",
                log / 1e3,
                scale::MAX_KILOBYTES_PER_SECOND,
                "KB/s",
            ),
            bounded_row(
                "sidecar: changes alone, without claims",
                changes * self.change_record_bytes / 1e3,
                scale::MAX_KILOBYTES_PER_SECOND,
                "KB/s",
            ),
            bounded_row(
                "sidecar: admission of its part of requests",
                scale::REQUESTS_PER_SECOND / scale::DAEMONS * 2.0 * self.gate_seconds,
                scale::MAX_CORES,
                "cores",
            ),
            bounded_row(
                "sidecar: requests at its gates, 20 a runner",
                per_sidecar * 20.0 * self.gate_request_bytes / 1e6,
                scale::MAX_MEGABYTES,
                "MB",
            ),
            unbounded_row("log: appends a second of changes", changes, ""),
            unbounded_row(
                "log: reads a second, all daemons polling, claims in it",
                scale::DAEMONS * APPENDS_PER_SECOND,
                "",
            ),
            unbounded_row(
                "log: reads a second, entries alone",
                entries * APPENDS_PER_SECOND,
                "",
            ),
            unbounded_row(
                "log: reads a second for changes alone, all daemons",
                scale::DAEMONS * changes,
                "",
            ),
            unbounded_row(
                "log: copies a day, 600 to 720 s apart, at most",
                scale::SECONDS_PER_DAY / 600.0,
                "",
            ),
            unbounded_row(
                "log: bytes of a copy with one service a model",
                scale::MODELS * self.copy_service_bytes,
                "B",
            ),
            unbounded_row(
                "peers: copies a second to fresh daemons",
                scale::REPLACED_HOSTS_PER_DAY / scale::SECONDS_PER_DAY,
                "",
            ),
            unbounded_row(
                "sidecars that 5 KB/s pay for, a report and a heartbeat a second",
                scale::MAX_KILOBYTES_PER_SECOND * 1e3 / (report + self.heartbeat_frame_bytes),
                "",
            ),
        ]
    }
}

/// Formats a table row without a limit.
fn unbounded_row(name: &str, value: f64, unit: &str) -> String {
    format!("| {name} | {} | | |", format_figure(value, unit))
}

/// Formats a table row with a limit.
fn bounded_row(name: &str, value: f64, allowed: f64, unit: &str) -> String {
    let fits = if value <= allowed { "yes" } else { "**no**" };
    let (value, allowed) = (format_figure(value, unit), format_figure(allowed, unit));
    format!("| {name} | {value} | {allowed} | {fits} |")
}

/// Formats a figure with its unit and a number of decimals that suits its size.
fn format_figure(value: f64, unit: &str) -> String {
    let digits = match value.abs() {
        0.0..0.001 => 6,
        0.001..0.1 => 4,
        0.1..10.0 => 2,
        _ => 0,
    };
    format!("{value:.digits$} {unit}").trim_end().to_owned()
}
