//! The `losses` command, which counts lost requests by cause, from the gateways' logs.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use anyhow::Result;
use getopts::Options;
use serde::Deserialize;

use crate::{logs, options};

/// Message of the line that a gateway logs for each finished request.
const REQUEST_MESSAGE: &str = "gateway: request over";

/// Outcomes that count as served, unless the status is 500 or above.
const SERVED_OUTCOMES: [&str; 2] = ["answered", "streamed"];

/// Fields of a log line that are needed here.
#[derive(Debug, Deserialize)]
struct Line {
    msg: String,
    #[serde(default)]
    request: String,
    #[serde(default)]
    service: String,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    status: u16,
    #[serde(default)]
    calls: String,
}

/// Numbers of served and lost requests.
#[derive(Debug, Default)]
struct Losses {
    /// Number of served requests.
    served: u64,
    /// Number of lost requests and the id of the first, by service, outcome and last call.
    rows: BTreeMap<(String, String, String), (u64, String)>,
}

impl Losses {
    fn count(&mut self, line: Line) {
        if SERVED_OUTCOMES.contains(&line.outcome.as_str()) && line.status < 500 {
            self.served += 1;
            return;
        }
        let key = (line.service, line.outcome, last_call(&line.calls));
        let row = self.rows.entry(key).or_insert((0, line.request));
        row.0 += 1;
    }

    /// Formats the counts as a table, most frequent first.
    fn table(&self) -> String {
        let mut rows = self.rows.iter().collect::<Vec<_>>();
        rows.sort_by_key(|(_, (count, _))| std::cmp::Reverse(*count));
        let mut table = format!("{:>7}  served\n", self.served);
        for ((service, outcome, call), (count, request)) in rows {
            // Writing to a string never fails.
            let _ = writeln!(
                table,
                "{count:>7}  {service:12} {outcome:16} {call:24} {request}"
            );
        }
        table
    }
}

/// Returns stage and result of the last call, without its endpoint and time.
fn last_call(calls: &str) -> String {
    // A result may contain spaces; the stage and the endpoint of a call do not.
    let call = calls.rsplit_once(':').map(|(before, result)| {
        let stage = before.rsplit(' ').next().unwrap_or_default();
        let stage = stage.split(':').next().unwrap_or_default();
        let result = result.split('@').next().unwrap_or_default();
        format!("{stage} {result}")
    });
    call.unwrap_or_else(|| "no call".into())
}

/// Runs the command and returns its exit code.
pub fn run(arguments: &[String]) -> Result<i32> {
    let brief = "Usage: cranberryridge losses [FILE]...";
    let Some(matches) = options::parse(Options::new(), brief, arguments)? else {
        return Ok(0);
    };
    let mut losses = Losses::default();
    logs::read(&matches.free, |line: Line| {
        if line.msg == REQUEST_MESSAGE {
            losses.count(line);
        }
    })?;
    options::print(&losses.table());
    Ok(0)
}
