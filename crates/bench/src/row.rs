//! Summary of one run: one policy under one load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use cranberryridge_standin::ledger::Ledger;

use crate::caller::Outcome;
use crate::deployment::Deployment;
use crate::load::{Job, Kind, CLIENT_COUNT};

/// Smallest share of an answer's token gaps that must meet the target.
const MIN_ON_TARGET_GAP_SHARE: f64 = 0.95;

/// Results of one run. Jobs that arrive during warm-up don't count, unless a
/// field says otherwise.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// Name of the policy.
    pub policy: String,
    /// Offered load as a share of the deployment's capacity.
    pub load: f64,
    /// Summaries requested, without those whose callers hung up for good.
    pub sent: u64,
    /// Requests sent for these summaries, with retries.
    pub tries: u64,
    /// Summaries answered completely and correctly.
    pub answered: u64,
    /// Incomplete or incorrect answers, warm-up included.
    pub wrong: u64,
    /// Share of the summaries that met both latency targets.
    pub goodput: f64,
    /// Goodput with the time to the first token measured from the attempt that
    /// was answered instead of from the job's arrival.
    pub by_try: f64,
    /// Upper bound of the goodput.
    pub ceiling: f64,
    /// Number of refusals of summaries, by code.
    pub refused: BTreeMap<String, u64>,
    /// Time from a job's arrival to its first token, in milliseconds.
    pub first: Percentiles,
    /// Time between consecutive tokens, in milliseconds.
    pub between: Percentiles,
    /// Share of the prefilled tokens whose work was wasted, warm-up included.
    pub wasted: f64,
    /// Share of the prompt tokens that were cached, as counted by the entries,
    /// warm-up included.
    pub cached: f64,
    /// Summaries without a correct answer, warm-up included. Callers that hung up
    /// for good don't count.
    pub lost: u64,
    /// Smallest goodput of a client account.
    pub worst_client: f64,
    /// Plain calls made, warm-up included.
    pub calls: u64,
    /// Plain calls answered correctly, warm-up included.
    pub calls_right: u64,
    /// Orders that the service ran more than once, warm-up included.
    pub doubled: u64,
    /// Wall-clock time of the run, in seconds.
    pub took: f64,
}

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// 50th percentile.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
}

impl Percentiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
        }
    }
}

/// Summarizes a run. Jobs that arrived before `warmup_end` don't count towards
/// goodput and latencies.
pub fn summarize(
    deployment: &Deployment,
    outcomes: &[(Job, Outcome)],
    warmup_end: Duration,
    ledger: &Ledger,
) -> anyhow::Result<Row> {
    let mut row = Row::default();
    let mut first = Histogram::<u64>::new(3)?;
    let mut between = Histogram::<u64>::new(3)?;
    let mut clients = [Tally::default(); CLIENT_COUNT];
    let mut on_target = 0;
    let mut on_target_by_attempt = 0;
    let mut counted = 0;
    for (job, outcome) in outcomes {
        if !matches!(job.kind, Kind::Summary(_)) {
            row.calls += 1;
            row.calls_right += u64::from(outcome.answer.as_ref().is_some_and(|a| a.is_correct));
            let order = matches!(job.kind, Kind::Order);
            row.doubled += u64::from(order && ledger.runs(&job.number.to_string()) > 1);
            continue;
        }
        let answered = outcome.answer.as_ref().filter(|answer| answer.is_correct);
        row.lost += u64::from(answered.is_none() && !outcome.abandoned);
        row.wrong += u64::from(outcome.answer.as_ref().is_some_and(|a| !a.is_correct));
        if job.arrival < warmup_end || outcome.abandoned {
            continue;
        }
        row.sent += 1;
        row.tries += u64::from(outcome.attempts);
        for code in &outcome.refused {
            *row.refused.entry(code.clone()).or_default() += 1;
        }
        counted += 1;
        clients[job.client].sent += 1;
        let Some(answer) = answered else {
            continue;
        };
        row.answered += 1;
        first.record(answer.first_token.as_millis() as u64)?;
        for gap in &answer.token_gaps {
            between.record(gap.as_millis() as u64)?;
        }
        on_target_by_attempt += u64::from(is_on_target(
            deployment,
            answer.first_token_of_attempt,
            &answer.token_gaps,
        ));
        if is_on_target(deployment, answer.first_token, &answer.token_gaps) {
            on_target += 1;
            clients[job.client].on_target += 1;
        }
    }
    row.goodput = ratio(on_target, counted);
    row.by_try = ratio(on_target_by_attempt, counted);
    row.first = Percentiles::of(&first);
    row.between = Percentiles::of(&between);
    row.wasted = ratio(ledger.tokens_wasted(), ledger.tokens_read());
    row.worst_client = clients
        .iter()
        .filter(|client| client.sent > 0)
        .map(|client| ratio(client.on_target, client.sent))
        .fold(1.0, f64::min);
    Ok(row)
}

/// Counts of one client account.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    /// Summaries requested.
    sent: u64,
    /// Summaries that met both targets.
    on_target: u64,
}

/// Whether an answer met the targets for the first token and for token gaps.
fn is_on_target(deployment: &Deployment, first_token: Duration, token_gaps: &[Duration]) -> bool {
    let millis = |value: u32| Duration::from_millis(u64::from(value));
    let target = millis(deployment.model.between_tokens_ms);
    let slow = token_gaps.iter().filter(|gap| **gap > target).count();
    let allowed = token_gaps.len() as f64 * (1.0 - MIN_ON_TARGET_GAP_SHARE);
    first_token <= millis(deployment.model.first_token_ms) && slow as f64 <= allowed
}

/// Divides `part` by `whole`, which counts as at least 1.
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
