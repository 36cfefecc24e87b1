//! What a deployment could do at best. docs/design/ceiling.md derives it.

use std::time::Duration;

use crate::deployment::Deployment;
use crate::load::{Job, Kind, Summary};

/// Size of the KV cache, in bytes a token.
const TOKEN_BYTES: f64 = 131_072.0;

/// Mean requests a second that the scarcest resource allows: load 1.0.
pub fn capacity(deployment: &Deployment) -> f64 {
    let shape = &deployment.shape;
    let mean = Cost {
        prefill: shape.own,
        link: (f64::from(shape.shared) + shape.own) * TOKEN_BYTES,
        decode: shape.output,
    };
    let all = Supply::of(deployment);
    let rates = [
        all.prefill / mean.prefill,
        all.link / mean.link,
        all.decode / mean.decode,
    ];
    rates.into_iter().fold(f64::INFINITY, f64::min)
}

/// Upper bound of the share of summaries that can meet both targets: each
/// resource alone serves the cheapest first, and the scarcest one counts.
pub fn share(deployment: &Deployment, jobs: &[Job], time: Duration) -> f64 {
    let costs = jobs.iter().filter_map(|job| match job.kind {
        Kind::Summary(summary) => Some(Cost::of(summary)),
        _ => None,
    });
    let costs = costs.collect::<Vec<_>>();
    let target = Duration::from_millis(u64::from(deployment.model.first_token_ms));
    let open = (time + target).as_secs_f64();
    let all = Supply::of(deployment);
    let counts = [
        cheapest(costs.iter().map(|cost| cost.prefill), all.prefill * open),
        cheapest(costs.iter().map(|cost| cost.link), all.link * open),
        // A decode may end long after its first token, so memory bounds the
        // arrivals of the window only together with the longest answers.
        cheapest(
            costs.iter().map(|cost| cost.decode),
            all.decode * (open + longest(deployment)),
        ),
    ];
    let served = counts.into_iter().min().unwrap_or(0);
    served as f64 / costs.len().max(1) as f64
}

/// What one request takes.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// Tokens to read, with the shared beginning cached.
    prefill: f64,
    /// Bytes to move.
    link: f64,
    /// Tokens to generate.
    decode: f64,
}

impl Cost {
    /// The cost of a summary.
    fn of(summary: Summary) -> Self {
        Self {
            prefill: f64::from(summary.own),
            link: f64::from(summary.shared + summary.own) * TOKEN_BYTES,
            decode: f64::from(summary.output),
        }
    }
}

/// What all runners together give a second.
#[derive(Clone, Copy, Debug)]
struct Supply {
    /// Tokens read.
    prefill: f64,
    /// Bytes moved.
    link: f64,
    /// Tokens generated with every place taken.
    decode: f64,
}

impl Supply {
    /// A deployment's supply.
    fn of(deployment: &Deployment) -> Self {
        let plan = &deployment.plan;
        let engine = &plan.engine;
        let slots = f64::from(plan.decode_slots);
        let step = engine.step + engine.step_per_request * (plan.decode_slots - 1);
        Self {
            prefill: f64::from(plan.prefill_runners) * f64::from(engine.prefill_rate),
            link: f64::from(plan.prefill_runners) * engine.link_rate as f64,
            decode: f64::from(plan.decode_runners) * slots / step.as_secs_f64(),
        }
    }
}

/// Seconds that the longest answer takes.
fn longest(deployment: &Deployment) -> f64 {
    let engine = &deployment.plan.engine;
    let step = engine.step + engine.step_per_request * (deployment.plan.decode_slots - 1);
    step.as_secs_f64() * f64::from(deployment.shape.output_most)
}

/// How many of the costs a supply covers, the cheapest first.
fn cheapest(costs: impl Iterator<Item = f64>, supply: f64) -> usize {
    let mut costs = costs.collect::<Vec<_>>();
    costs.sort_by(f64::total_cmp);
    let mut used = 0.0;
    let covered = costs.iter().take_while(|cost| {
        used += **cost;
        used <= supply
    });
    covered.count()
}
