//! Compares policies, and checks the result against bounds.

use std::path::Path;

use anyhow::{anyhow, Context, Result};
use getopts::Options;

use cranberryridge_bench::deployment::Deployment;
use cranberryridge_bench::run::{Policy, Task};
use cranberryridge_bench::{check, plot, run};
use cranberryridge_wire::setting::Choice;

mod slopes;

/// Usage text of all subcommands.
const USAGE: &str = "Usage: cranberryridge-bench compare --deployment lipowa|sahel [--load L,..] \
[--seed N] [--seconds N] [--without PART,..] [--json F] [--svg F]\n       \
cranberryridge-bench check [--bounds F] [--known F]\n       \
cranberryridge-bench slopes [--write F]";

fn main() -> Result<()> {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    match arguments.split_first() {
        Some((command, rest)) if command == "slopes" => slopes::run(rest),
        Some((command, rest)) if command == "compare" => compare(rest),
        Some((command, rest)) if command == "check" => check(rest),
        _ => Err(anyhow!(USAGE)),
    }
}

/// Runs each policy under each load, then prints, stores and plots the rows.
fn compare(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optopt("", "deployment", "lipowa or sahel", "NAME");
    options.optopt("", "load", "loads, 0.6,0.9,1.1,1.4 by default", "L,..");
    options.optopt("", "seed", "seed of the load, 1 by default", "N");
    options.optopt("", "seconds", "seconds of load, 30 by default", "N");
    options.optopt("", "without", "parts to switch off, a row each", "PART,..");
    options.optopt("", "json", "where to write the rows", "F");
    options.optopt("", "svg", "where to draw them", "F");
    let matches = options.parse(arguments).context(USAGE)?;
    let deployment = Deployment::find(&matches.opt_str("deployment").context(USAGE)?)?;
    let seed = matches.opt_get_default("seed", 1)?;
    let seconds = matches.opt_get_default("seconds", 30)?;
    let loads = matches.opt_str("load");
    let loads = loads.as_deref().unwrap_or("0.6,0.9,1.1,1.4").split(',');
    let loads = loads
        .map(str::parse)
        .collect::<Result<Vec<f64>, _>>()
        .context("--load expects comma-separated numbers, for example 0.9,1.1")?;

    let mut policies = vec![
        Policy::baseline(Choice::RoundRobin),
        Policy::baseline(Choice::LeastLoaded),
        Policy::ours(),
    ];
    if let Some(parts) = matches.opt_str("without") {
        policies = vec![Policy::ours()];
        for part in parts.split(',') {
            policies.push(Policy::without(part)?);
        }
    }
    let tasks = policies.iter().flat_map(|policy| {
        loads.iter().map(|load| Task {
            policy: policy.clone(),
            load: *load,
            seconds,
            seed,
        })
    });
    let rows = run::execute_all(&deployment, &tasks.collect::<Vec<_>>())?;
    plot::print_table(&rows);
    if let Some(path) = matches.opt_str("json") {
        std::fs::write(path, serde_json::to_string_pretty(&rows)?)?;
    }
    if let Some(path) = matches.opt_str("svg") {
        plot::draw_svg(&rows, Path::new(&path))?;
    }
    Ok(())
}

/// Checks runs against a bounds file. A missed bound that is listed as known red
/// is printed but doesn't fail the command.
fn check(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optopt("", "bounds", "bench/bounds.toml by default", "F");
    options.optopt("", "known", "list of known red checks", "F");
    let matches = options.parse(arguments).context(USAGE)?;
    let known_red = matches.opt_str("known").map(std::fs::read_to_string);
    let known_red = known_red.transpose()?.unwrap_or_default();
    let path = matches.opt_get_default("bounds", "bench/bounds.toml".to_owned())?;
    let text = std::fs::read_to_string(&path).with_context(|| format!("cannot read {path}"))?;
    let verdicts = check::evaluate(&text)?;
    for verdict in &verdicts {
        let label = match verdict.met {
            true => "met",
            false if known_red.contains(&verdict.name) => "KNOWN RED",
            false => "MISSED",
        };
        println!(
            "{label}: {}: bound {}, seen {:.4}",
            verdict.name, verdict.bound, verdict.measured
        );
    }
    let missed = verdicts
        .iter()
        .filter(|verdict| !verdict.met && !known_red.contains(&verdict.name))
        .count();
    if missed > 0 {
        return Err(anyhow!("{missed} of {} bounds missed", verdicts.len()));
    }
    Ok(())
}
