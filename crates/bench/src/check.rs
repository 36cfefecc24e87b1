//! Compares the results of short runs with bounds derived from the targets.

use anyhow::{Context, Result};
use serde::Deserialize;

use cranberryridge_wire::setting::Choice;

use crate::deployment::Deployment;
use crate::row::Row;
use crate::run::{self, Policy, Task};

/// Content of the bounds file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The runs to check.
    pub run: Vec<Case>,
}

/// A run and its bounds. Bounds that are `None` aren't checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// Name of the deployment.
    pub deployment: String,
    /// Offered load as a share of the deployment's capacity.
    pub load: f64,
    /// Duration of the load, in seconds of simulated time.
    pub seconds: u64,
    /// Seed of the load and of the deployment.
    pub seed: u64,
    /// Minimum goodput as a multiple of the least-loaded baseline's goodput.
    pub times_least_loaded: Option<f64>,
    /// Minimum goodput as a share of the ceiling.
    pub of_ceiling: Option<f64>,
    /// Maximum share of wasted prefill.
    pub wasted: Option<f64>,
    /// Maximum number of lost summaries.
    pub lost: Option<u64>,
}

/// Result of checking one case.
#[derive(Debug)]
pub struct Verdict {
    /// Deployment, load, seed and measure.
    pub name: String,
    /// Limit from the bounds file.
    pub bound: f64,
    /// Measured value.
    pub measured: f64,
    /// Whether the measured value is within the limit.
    pub met: bool,
}

/// Executes the runs of a bounds file and checks their results. `text` is the
/// content of the file.
///
/// # Errors
///
/// Returns an error if the bounds don't parse or a run fails.
pub fn evaluate(text: &str) -> Result<Vec<Verdict>> {
    let bounds = toml::from_str::<Bounds>(text).context("cannot parse the bounds")?;
    let mut verdicts = Vec::new();
    for case in &bounds.run {
        let deployment = Deployment::find(&case.deployment)?;
        let policies = [Policy::ours(), Policy::baseline(Choice::LeastLoaded)];
        let compared = if case.times_least_loaded.is_some() {
            2
        } else {
            1
        };
        let tasks = policies.into_iter().take(compared).map(|policy| Task {
            policy,
            load: case.load,
            seconds: case.seconds,
            seed: case.seed,
        });
        let rows = run::execute_all(&deployment, &tasks.collect::<Vec<_>>())?;
        verdicts.extend(evaluate_case(case, &rows));
    }
    Ok(verdicts)
}

/// Checks the rows of one case. `rows` holds the default policy first, then the
/// baseline if the case compares them.
fn evaluate_case(case: &Case, rows: &[Row]) -> Vec<Verdict> {
    let ours = &rows[0];
    let mut verdicts = Vec::new();
    let mut add = |name: &str, limit: f64, measured: f64, met: bool| {
        verdicts.push(Verdict {
            name: format!(
                "{} load {} seed {} {name}",
                case.deployment, case.load, case.seed
            ),
            bound: limit,
            measured,
            met,
        });
    };
    let violations = (ours.wrong + ours.doubled) as f64;
    add("wrong or doubled", 0.0, violations, violations == 0.0);
    if let (Some(factor), Some(baseline)) = (case.times_least_loaded, rows.get(1)) {
        let measured = ours.goodput / baseline.goodput.max(f64::MIN_POSITIVE);
        add(
            "goodput by least-loaded's",
            factor,
            measured,
            measured >= factor,
        );
    }
    if let Some(share) = case.of_ceiling {
        let measured = ours.goodput / ours.ceiling.max(f64::MIN_POSITIVE);
        add("goodput by the ceiling", share, measured, measured >= share);
    }
    if let Some(wasted) = case.wasted {
        add("wasted prefill", wasted, ours.wasted, ours.wasted <= wasted);
    }
    if let Some(lost) = case.lost {
        add(
            "lost summaries",
            lost as f64,
            ours.lost as f64,
            ours.lost <= lost,
        );
    }
    verdicts
}
