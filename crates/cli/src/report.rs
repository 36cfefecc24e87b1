//! Results of a load run, by service.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Maximum time that the histograms record.
const MAX_TIME_MICROS: u64 = 600_000_000;

/// Results of the requests to one service.
#[derive(Debug)]
pub struct Report {
    /// Name of the service.
    pub name: String,
    /// Target of the time to first token; zero for a plain service.
    pub first_token_target: Duration,
    /// Target of the mean time between the tokens of an answer; zero for a plain service.
    pub between_tokens_target: Duration,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests answered.
    pub answered: u64,
    /// Number of answered requests that missed a target; always 0 for a plain service.
    pub late: u64,
    /// Number of refusals and failures by result code.
    pub refused: BTreeMap<String, u64>,
    /// Times to first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Times between tokens, in microseconds.
    pub between_tokens: Histogram<u64>,
    /// Number of answers that were incomplete or not the expected ones.
    pub wrong: u64,
}

/// Outcome of one request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Answered, with the time to first token, the times between tokens, and whether the
    /// answer was complete and the expected one.
    Answered(Duration, Vec<Duration>, bool),
    /// Refused or failed, with the result code or the error.
    Refused(String),
}

impl Report {
    /// Creates an empty report.
    pub fn new(name: &str, first_token_target: Duration, between_tokens_target: Duration) -> Self {
        let histogram = || {
            let histogram = Histogram::new_with_bounds(1, MAX_TIME_MICROS, 3);
            histogram.unwrap_or_else(|_| unreachable!("the bounds are constants"))
        };
        Self {
            name: name.to_owned(),
            first_token_target,
            between_tokens_target,
            sent: 0,
            answered: 0,
            late: 0,
            refused: BTreeMap::new(),
            first_token: histogram(),
            between_tokens: histogram(),
            wrong: 0,
        }
    }

    /// Adds the outcome of one request.
    pub fn add(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Answered(first_token, between_tokens, is_right) => {
                self.answered += 1;
                self.wrong += u64::from(!is_right);
                let mean =
                    between_tokens.iter().sum::<Duration>() / between_tokens.len().max(1) as u32;
                let is_late =
                    first_token > self.first_token_target || mean > self.between_tokens_target;
                self.late += u64::from(!self.first_token_target.is_zero() && is_late);
                self.first_token
                    .saturating_record(first_token.as_micros() as u64);
                for pause in between_tokens {
                    self.between_tokens
                        .saturating_record(pause.as_micros() as u64);
                }
            }
            Outcome::Refused(code) => *self.refused.entry(code).or_default() += 1,
        }
    }

    /// Returns the number of requests answered within both targets.
    pub fn goodput(&self) -> u64 {
        self.answered - self.late
    }

    /// Prints the report to standard output.
    pub fn print(&self) {
        let millis = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1000.0
        };
        println!(
            "{}: sent {}, answered {}, late {}, goodput {}, wrong {}",
            self.name,
            self.sent,
            self.answered,
            self.late,
            self.goodput(),
            self.wrong
        );
        for (code, count) in &self.refused {
            println!("    refused {code}: {count}");
        }
        for (what, histogram) in [
            ("first token", &self.first_token),
            ("between tokens", &self.between_tokens),
        ] {
            if histogram.is_empty() {
                continue;
            }
            println!(
                "    {what}: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms",
                millis(histogram, 0.5),
                millis(histogram, 0.95),
                millis(histogram, 0.99)
            );
        }
    }
}
