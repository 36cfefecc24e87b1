//! `losses`: what requests were lost to, from the gateways' log lines.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader};

use anyhow::{Context, Result};
use getopts::Options;
use serde::Deserialize;

use crate::options;

/// The message of a request's line.
const REQUEST_MESSAGE: &str = "gateway: request over";

/// Outcomes of requests that were served.
const SERVED_OUTCOMES: [&str; 2] = ["answered", "streamed"];

/// What a request's line tells. Fields that are not needed are left out.
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

/// What requests were lost to.
#[derive(Debug, Default)]
struct Losses {
    /// Requests that were served.
    served: u64,
    /// By service, outcome and last call: how many, and one request's id.
    rows: BTreeMap<(String, String, String), (u64, String)>,
}

impl Losses {
    /// Counts a request.
    fn count(&mut self, line: Line) {
        if SERVED_OUTCOMES.contains(&line.outcome.as_str()) && line.status < 500 {
            self.served += 1;
            return;
        }
        let key = (line.service, line.outcome, last_call(&line.calls));
        let row = self.rows.entry(key).or_insert((0, line.request));
        row.0 += 1;
    }

    /// The table, most frequent first.
    fn table(&self) -> String {
        let mut rows = self.rows.iter().collect::<Vec<_>>();
        rows.sort_by_key(|(_, (count, _))| std::cmp::Reverse(*count));
        let mut table = format!("{:>7}  served\n", self.served);
        for ((service, outcome, call), (count, request)) in rows {
            // Writing to a string cannot fail.
            let _ = writeln!(
                table,
                "{count:>7}  {service:12} {outcome:16} {call:24} {request}"
            );
        }
        table
    }
}

/// Stage and result of the last call, without its endpoint and time.
fn last_call(calls: &str) -> String {
    // A result may hold spaces, a call's stage and endpoint do not.
    let call = calls.rsplit_once(':').map(|(before, result)| {
        let stage = before.rsplit(' ').next().unwrap_or_default();
        let stage = stage.split(':').next().unwrap_or_default();
        let result = result.split('@').next().unwrap_or_default();
        format!("{stage} {result}")
    });
    call.unwrap_or_else(|| "no call".into())
}

/// Runs the command.
pub fn run(arguments: &[String]) -> Result<i32> {
    let brief = "Usage: cranberryridge losses [FILE]...";
    let Some(matches) = options::parse(Options::new(), brief, arguments)? else {
        return Ok(0);
    };
    let mut losses = Losses::default();
    if matches.free.is_empty() {
        read(&mut losses, io::stdin().lock())?;
    }
    for file in &matches.free {
        let opened = File::open(file).with_context(|| format!("cannot read {file}"))?;
        read(&mut losses, BufReader::new(opened))?;
    }
    options::print(&losses.table());
    Ok(0)
}

/// Counts the requests of a log. What comes before a line's first brace, and
/// lines that are no request's, are skipped.
fn read(losses: &mut Losses, log: impl BufRead) -> Result<()> {
    for line in log.lines() {
        let line = line?;
        let Some(begin) = line.find('{') else {
            continue;
        };
        let Ok(line) = serde_json::from_str::<Line>(&line[begin..]) else {
            continue;
        };
        if line.msg == REQUEST_MESSAGE {
            losses.count(line);
        }
    }
    Ok(())
}
