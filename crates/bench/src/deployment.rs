//! The example deployments under test.

use std::time::Duration;

use anyhow::{anyhow, Result};

use cranberryridge_standin::engine;
use cranberryridge_standin::fleet::Plan;
use cranberryridge_wire::record::{Late, Service};
use cranberryridge_wire::service;

/// A deployment, its services and its expected workload.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name on the command line and in the bounds file.
    pub name: &'static str,
    /// Hosts, engines and their settings.
    pub plan: Plan,
    /// The service of the model.
    pub model: Service,
    /// The service for plain calls.
    pub plain: Service,
    /// Route of the plain service that isn't idempotent.
    pub order_route: &'static str,
    /// Route of the plain service that is idempotent.
    pub lookup_route: &'static str,
    /// Expected model requests.
    pub workload: Workload,
}

/// Distribution of model requests and behavior of their callers.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Number of prompt families, each with its own shared prefix.
    pub families: usize,
    /// Length of the shared prefix, in tokens.
    pub shared_tokens: u32,
    /// Mean length of the rest of a prompt, in tokens.
    pub mean_unique_tokens: f64,
    /// Maximum length of the rest of a prompt, in tokens.
    pub max_unique_tokens: u32,
    /// Mean length of an answer, in tokens.
    pub mean_output_tokens: f64,
    /// Maximum length of an answer, in tokens.
    pub max_output_tokens: u32,
    /// Standard deviation of the logarithms of both lengths.
    pub sigma: f64,
    /// Longest time that a caller waits for the first token of an attempt.
    pub first_token_timeout: Duration,
    /// Maximum number of attempts of a caller.
    pub max_attempts: u32,
}

impl Deployment {
    /// Finds a deployment by name.
    ///
    /// # Errors
    ///
    /// Returns an error if no deployment has this name or its service files don't
    /// parse.
    pub fn find(name: &str) -> Result<Self> {
        match name {
            "lipowa" => Self::lipowa(),
            "sahel" => Self::sahel(),
            _ => Err(anyhow!(
                "unknown deployment {name:?}; expected lipowa or sahel"
            )),
        }
    }

    /// Lipowa: long prompts and long answers; late answers are acceptable.
    fn lipowa() -> Result<Self> {
        Ok(Self {
            name: "lipowa",
            plan: Plan {
                entries: 3,
                decode_slots: 20,
                engine: engine::Settings {
                    pages: 64,
                    prefill_rate: 8_000,
                    step: Duration::from_millis(50),
                    step_per_request: Duration::from_millis(3),
                    link_rate: 5_000_000_000,
                    max_cached_blocks: 1024,
                    ..engine::Settings::default()
                },
                ..Plan::lipowa()
            },
            model: parse(include_str!("../../../examples/lipowa/summaries.toml"))?,
            plain: parse(include_str!("../../../examples/lipowa/loans.toml"))?,
            order_route: "decisions",
            lookup_route: "status",
            workload: Workload {
                families: 40,
                shared_tokens: 1024,
                mean_unique_tokens: 9000.0,
                max_unique_tokens: 40_000,
                mean_output_tokens: 180.0,
                max_output_tokens: 700,
                sigma: 0.7,
                first_token_timeout: Duration::from_secs(300),
                max_attempts: 20,
            },
        })
    }

    /// Sahel Tubes: short quotes that are worthless when late.
    fn sahel() -> Result<Self> {
        Ok(Self {
            name: "sahel",
            plan: Plan {
                entries: 3,
                decode_slots: 20,
                engine: engine::Settings {
                    pages: 24,
                    prefill_rate: 16_000,
                    step: Duration::from_millis(30),
                    step_per_request: Duration::from_micros(1800),
                    link_rate: 4_000_000_000,
                    max_cached_blocks: 1024,
                    ..engine::Settings::default()
                },
                ..Plan::sahel()
            },
            model: parse(include_str!("../../../examples/sahel/quotes.toml"))?,
            plain: parse(include_str!("../../../examples/sahel/orders.toml"))?,
            order_route: "reservations",
            lookup_route: "stock",
            workload: Workload {
                families: 60,
                shared_tokens: 768,
                mean_unique_tokens: 1400.0,
                max_unique_tokens: 12_000,
                mean_output_tokens: 32.0,
                max_output_tokens: 160,
                sigma: 0.7,
                first_token_timeout: Duration::from_secs(4),
                max_attempts: 3,
            },
        })
    }

    /// Whether the model's late requests are served instead of refused.
    pub fn is_late_served(&self) -> bool {
        self.model.late == Late::Serve
    }
}

/// Parses a service file.
fn parse(text: &str) -> Result<Service> {
    service::parse(text).map_err(|problems| anyhow!("invalid service file: {problems:?}"))
}
