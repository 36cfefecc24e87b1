//! Upper bounds of a deployment's performance, derived in
//! docs/design/ceiling.md.

use std::time::Duration;

use crate::deployment::Deployment;
use crate::load::{Job, Kind, Summary};

/// Size of the KV cache per token, in bytes.
const KV_BYTES_PER_TOKEN: f64 = 131_072.0;

/// Mean model requests per second that the scarcest resource sustains. This rate
/// is load 1.0.
pub fn capacity(deployment: &Deployment) -> f64 {
    let workload = &deployment.workload;
    let mean = Cost {
        prefill: workload.mean_unique_tokens,
        link: (f64::from(workload.shared_tokens) + workload.mean_unique_tokens)
            * KV_BYTES_PER_TOKEN,
        decode: workload.mean_output_tokens,
    };
    let total = Throughput::of(deployment);
    let rates = [
        total.prefill / mean.prefill,
        total.link / mean.link,
        total.decode / mean.decode,
    ];
    rates.into_iter().fold(f64::INFINITY, f64::min)
}

/// Upper bound of the share of summaries that can meet both targets. Each
/// resource on its own serves the cheapest requests first; the resource that
/// serves the fewest determines the result.
pub fn max_goodput(deployment: &Deployment, jobs: &[Job], time: Duration) -> f64 {
    let costs = jobs.iter().filter_map(|job| match job.kind {
        Kind::Summary(summary) => Some(Cost::of(summary)),
        _ => None,
    });
    let costs = costs.collect::<Vec<_>>();
    let target = Duration::from_millis(u64::from(deployment.model.first_token_ms));
    let window = (time + target).as_secs_f64();
    let total = Throughput::of(deployment);
    let counts = [
        count_affordable(
            costs.iter().map(|cost| cost.prefill),
            total.prefill * window,
        ),
        count_affordable(costs.iter().map(|cost| cost.link), total.link * window),
        // A decode may end long after its first token, so the time in which the
        // decode slots serve these requests includes the longest answer.
        count_affordable(
            costs.iter().map(|cost| cost.decode),
            total.decode * (window + longest_answer_seconds(deployment)),
        ),
    ];
    let served = counts.into_iter().min().unwrap_or(0);
    served as f64 / costs.len().max(1) as f64
}

/// Resources that one request needs.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// Tokens to prefill when the shared prefix is cached.
    prefill: f64,
    /// KV cache to transfer, in bytes.
    link: f64,
    /// Tokens to generate.
    decode: f64,
}

impl Cost {
    fn of(summary: Summary) -> Self {
        Self {
            prefill: f64::from(summary.unique_tokens),
            link: f64::from(summary.shared_tokens + summary.unique_tokens) * KV_BYTES_PER_TOKEN,
            decode: f64::from(summary.output_tokens),
        }
    }
}

/// Combined throughput of all runners, per second.
#[derive(Clone, Copy, Debug)]
struct Throughput {
    /// Prefilled tokens.
    prefill: f64,
    /// Transferred bytes.
    link: f64,
    /// Generated tokens with every slot in use.
    decode: f64,
}

impl Throughput {
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

/// Duration of the longest possible answer, in seconds.
fn longest_answer_seconds(deployment: &Deployment) -> f64 {
    let engine = &deployment.plan.engine;
    let step = engine.step + engine.step_per_request * (deployment.plan.decode_slots - 1);
    step.as_secs_f64() * f64::from(deployment.workload.max_output_tokens)
}

/// Counts the costs that a budget covers, the cheapest first.
fn count_affordable(costs: impl Iterator<Item = f64>, budget: f64) -> usize {
    let mut costs = costs.collect::<Vec<_>>();
    costs.sort_by(f64::total_cmp);
    let mut used = 0.0;
    let covered = costs.iter().take_while(|cost| {
        used += **cost;
        used <= budget
    });
    covered.count()
}
