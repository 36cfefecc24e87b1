//! The `status` command, which shows an entry's view of the deployment.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{ensure, Context, Result};
use bytes::Bytes;
use getopts::Options;
use http_body_util::Full;
use serde_json::Value;

use cranberryridge::client::Client;
use cranberryridge::net::Tcp;

use crate::options;

/// Maximum time until an entry answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the command and returns its exit code.
pub fn run(arguments: &[String]) -> Result<i32> {
    let mut accepted = Options::new();
    accepted.optopt("e", "entry", "the entry to query", "ADDRESS:PORT");
    accepted.optflag("", "json", "print JSON");
    let brief = "Usage: cranberryridge status --entry ADDRESS:PORT [--json]";
    let Some(matches) = options::parse(accepted, brief, arguments)? else {
        return Ok(0);
    };
    let entry = options::parse_address(&matches, "entry")?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let document = runtime.block_on(get(entry, "/status"))?;
    if matches.opt_present("json") {
        options::print(&format!("{document:#}\n"));
        return Ok(0);
    }
    options::print(&format_status(&document)?);
    Ok(0)
}

/// Fetches a JSON document from an entry.
pub async fn get(entry: SocketAddr, path: &'static str) -> Result<Value> {
    let mut request = http::Request::new(Full::<Bytes>::default());
    *request.uri_mut() = http::Uri::from_static(path);
    let client = Client::new(Tcp, entry);
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, client.fetch(request)).await;
    let answer = answer.with_context(|| format!("{entry} did not answer"))?;
    let answer = answer.with_context(|| format!("entry {entry}"))?;
    ensure!(
        answer.status() == 200,
        "{entry} answered {}",
        answer.status()
    );
    Ok(serde_json::from_slice(answer.body())?)
}

/// Formats a status document as text.
fn format_status(document: &Value) -> Result<String, std::fmt::Error> {
    let mut out = String::new();
    let draining = document["draining"] == true;
    writeln!(
        out,
        "entry {} in {}: version {}, {} requests{}",
        text(&document["name"]),
        text(&document["domain"]),
        document["version"],
        document["requests"],
        if draining { ", draining" } else { "" },
    )?;
    let mut domains = BTreeMap::<&str, Vec<&Value>>::new();
    for sidecar in document["sidecars"].as_array().into_iter().flatten() {
        let domain = text(&sidecar["domain"]);
        domains.entry(domain).or_default().push(sidecar);
    }
    for (domain, sidecars) in domains {
        writeln!(out, "\n{domain}")?;
        for sidecar in sidecars {
            write_sidecar(&mut out, sidecar)?;
        }
    }
    for (title, prefix) in [("refusals", "refused."), ("retries", "retry.")] {
        writeln!(out, "\n{title}")?;
        write_counters(&mut out, document, |name| name.strip_prefix(prefix))?;
    }
    writeln!(out, "\nother counters")?;
    let is_other = |name: &str| !name.starts_with("refused.") && !name.starts_with("retry.");
    write_counters(&mut out, document, |name| is_other(name).then_some(name))?;
    Ok(out)
}

/// Writes a sidecar and its endpoints.
fn write_sidecar(out: &mut String, sidecar: &Value) -> std::fmt::Result {
    let state = match (sidecar["connected"] == true, sidecar["draining"] == true) {
        (false, _) => "not connected",
        (true, true) => "draining",
        (true, false) => "up",
    };
    let name = text(&sidecar["name"]);
    writeln!(
        out,
        "  {name:<16} {state:<13} version {}",
        sidecar["version"]
    )?;
    for endpoint in sidecar["endpoints"].as_array().into_iter().flatten() {
        let (kind, load) = (text(&endpoint["kind"]), &endpoint["load"]);
        let ready = load["ready"] == true;
        write!(
            out,
            "    {kind:<8} {:<20} {:<9} {} running, {} queued",
            text(&endpoint["serves"]),
            if ready { "ready" } else { "not ready" },
            load["running"],
            load["queued"],
        )?;
        // Only memory of decode endpoints is counted in pages.
        if kind == "decode" {
            write!(out, ", {} pages free", load["free"])?;
        }
        writeln!(out)?;
    }
    Ok(())
}

/// Writes the counters for which `name` returns the name to show.
fn write_counters<'a>(
    out: &mut String,
    document: &'a Value,
    name: impl Fn(&'a str) -> Option<&'a str>,
) -> std::fmt::Result {
    let counters = document["counters"].as_object().into_iter().flatten();
    let mut has_counters = false;
    for (full, count) in counters {
        if let Some(name) = name(full) {
            writeln!(out, "  {name:<30} {count}")?;
            has_counters = true;
        }
    }
    if !has_counters {
        writeln!(out, "  none")?;
    }
    Ok(())
}

/// Returns the text of a JSON string, or an empty one for any other value.
fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
