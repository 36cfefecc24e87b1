//! Load generation: draws the jobs of a run from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::ceiling;
use crate::deployment::{Deployment, Workload};

/// Number of client accounts.
pub const CLIENT_COUNT: usize = 16;

/// Share of model requests that arrive in bursts from the first client account.
const BURST_SHARE: f64 = 0.1;

/// Number of requests in a burst.
const BURST_SIZE: usize = 16;

/// Share of callers that hang up early and don't retry.
const ABANDONMENT_SHARE: f64 = 0.02;

/// Number of plain calls per model request.
const PLAIN_CALLS_PER_REQUEST: f64 = 0.5;

/// One unit of work that a caller sends.
#[derive(Clone, Debug)]
pub struct Job {
    /// Arrival time, relative to the start of the load.
    pub arrival: Duration,
    /// Number in order of arrival, starting at 1.
    pub number: u64,
    /// Index of the client account, below [`CLIENT_COUNT`].
    pub client: usize,
    /// Index of the entry that receives the job.
    pub entry: usize,
    /// Type of work.
    pub kind: Kind,
}

/// Type of work of a job.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A model request for a summary.
    Summary(Summary),
    /// A plain call that is idempotent.
    Lookup,
    /// A plain call that is not idempotent.
    Order,
}

/// Parameters of a summary request.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    /// Index of the prompt family, which determines the shared prefix.
    pub family: usize,
    /// Length of the prefix that the family shares, in tokens.
    pub shared_tokens: u32,
    /// Length of the rest of the prompt, in tokens.
    pub unique_tokens: u32,
    /// Length of the answer, in tokens.
    pub output_tokens: u32,
    /// Time after arrival at which the caller hangs up for good. `None` means
    /// that it waits.
    pub hang_up_after: Option<Duration>,
}

impl Summary {
    /// Builds the prompt's text, with four bytes per token.
    pub fn prompt(&self, number: u64) -> String {
        let family = format!("family {:>5} has ", self.family);
        let unique = format!("request {number:>7} ");
        let fill = |text: &str, tokens: u32| text.repeat(tokens as usize * 4 / text.len());
        fill(&family, self.shared_tokens) + &fill(&unique, self.unique_tokens)
    }
}

/// Draws the jobs of a run, sorted by arrival.
pub fn draw_jobs(deployment: &Deployment, load: f64, seconds: u64, seed: u64) -> Vec<Job> {
    let mut random = StdRng::seed_from_u64(seed);
    let rate = load * ceiling::capacity(deployment);
    let mut jobs = Vec::new();
    let mut push = |random: &mut StdRng, at: f64, client: usize, kind: Kind| {
        let entries = usize::from(deployment.plan.entries);
        jobs.push(Job {
            arrival: Duration::from_secs_f64(at),
            number: 0,
            client,
            entry: random.random_range(0..entries),
            kind,
        });
    };
    let steady = rate * (1.0 - BURST_SHARE);
    for at in draw_arrivals(&mut random, steady, seconds) {
        let client = 1 + draw_skewed(&mut random, CLIENT_COUNT - 1);
        let kind = draw_summary(&mut random, &deployment.workload);
        push(&mut random, at, client, kind);
    }
    for at in draw_arrivals(&mut random, rate * BURST_SHARE / BURST_SIZE as f64, seconds) {
        for _ in 0..BURST_SIZE {
            let kind = draw_summary(&mut random, &deployment.workload);
            push(&mut random, at, 0, kind);
        }
    }
    for at in draw_arrivals(&mut random, rate * PLAIN_CALLS_PER_REQUEST, seconds) {
        let client = random.random_range(0..CLIENT_COUNT);
        let kind = if random.random_bool(0.5) {
            Kind::Lookup
        } else {
            Kind::Order
        };
        push(&mut random, at, client, kind);
    }
    jobs.sort_by_key(|job| job.arrival);
    for (number, job) in (1..).zip(&mut jobs) {
        job.number = number;
    }
    jobs
}

/// Draws Poisson arrivals, in seconds from the start. `rate` is per second.
fn draw_arrivals(random: &mut StdRng, rate: f64, seconds: u64) -> Vec<f64> {
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    loop {
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        if at >= seconds as f64 {
            return arrivals;
        }
        arrivals.push(at);
    }
}

/// Draws a summary request from a workload.
fn draw_summary(random: &mut StdRng, workload: &Workload) -> Kind {
    let abandoned = random.random_bool(ABANDONMENT_SHARE);
    Kind::Summary(Summary {
        family: draw_skewed(random, workload.families),
        shared_tokens: workload.shared_tokens,
        unique_tokens: draw_log_normal(
            random,
            workload.mean_unique_tokens,
            workload.sigma,
            workload.max_unique_tokens,
        ),
        output_tokens: draw_log_normal(
            random,
            workload.mean_output_tokens,
            workload.sigma,
            workload.max_output_tokens,
        ),
        hang_up_after: abandoned.then(|| Duration::from_secs_f64(random.random_range(0.05..2.0))),
    })
}

/// Draws an integer below `count`, small ones more often than large ones.
fn draw_skewed(random: &mut StdRng, count: usize) -> usize {
    let drawn = (count as f64 + 1.0).powf(random.random::<f64>()) - 1.0;
    (drawn as usize).min(count - 1)
}

/// Draws a log-normal integer between 4 and `max`. `sigma` is the standard
/// deviation of its logarithm.
fn draw_log_normal(random: &mut StdRng, mean: f64, sigma: f64, max: u32) -> u32 {
    let (a, b) = (1.0 - random.random::<f64>(), random.random::<f64>());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let drawn = mean * (sigma * normal - sigma * sigma / 2.0).exp();
    (drawn as u32).clamp(4, max)
}
