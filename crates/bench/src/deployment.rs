//! The deployments that are measured.

use std::time::Duration;

use anyhow::{anyhow, Result};

use cranberryridge_standin::engine;
use cranberryridge_standin::fleet::Plan;
use cranberryridge_wire::record::{Late, Service};
use cranberryridge_wire::service;

/// A deployment, its services and the load it is sold for.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its hosts.
    pub plan: Plan,
    /// Its model's service.
    pub model: Service,
    /// Its plain service.
    pub plain: Service,
    /// A route of the plain service that is not idempotent.
    pub order: &'static str,
    /// A route that is.
    pub lookup: &'static str,
    /// Shape of its requests.
    pub shape: Shape,
}

/// Shape of requests.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Prompt families, each with a beginning of its own.
    pub families: usize,
    /// Tokens of that beginning.
    pub shared: u32,
    /// Mean of the further tokens of a prompt.
    pub own: f64,
    /// Most further tokens.
    pub own_most: u32,
    /// Mean tokens of an answer.
    pub output: f64,
    /// Most tokens of an answer.
    pub output_most: u32,
    /// Spread of the logarithms of both.
    pub spread: f64,
    /// Longest wait of a caller for the first token.
    pub patience: Duration,
    /// How often a caller sends a request.
    pub tries: u32,
}

impl Deployment {
    /// The deployment of a name.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub fn find(name: &str) -> Result<Self> {
        match name {
            "lipowa" => Self::lipowa(),
            "sahel" => Self::sahel(),
            _ => Err(anyhow!("no deployment {name:?}; use lipowa or sahel")),
        }
    }

    /// Lipowa: whole applications, long answers, late is fine.
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
            order: "decisions",
            lookup: "status",
            shape: Shape {
                families: 40,
                shared: 1024,
                own: 9000.0,
                own_most: 40_000,
                output: 180.0,
                output_most: 700,
                spread: 0.7,
                patience: Duration::from_secs(300),
                tries: 20,
            },
        })
    }

    /// Sahel Tubes: quotes that are worth nothing when late.
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
            order: "reservations",
            lookup: "stock",
            shape: Shape {
                families: 60,
                shared: 768,
                own: 1400.0,
                own_most: 12_000,
                output: 32.0,
                output_most: 160,
                spread: 0.7,
                patience: Duration::from_secs(4),
                tries: 3,
            },
        })
    }

    /// Whether the model's requests may be late but not lost.
    pub fn serves_late(&self) -> bool {
        self.model.late == Late::Serve
    }
}

/// A service file as a service.
fn parse(text: &str) -> Result<Service> {
    service::parse(text).map_err(|problems| anyhow!("service file: {problems:?}"))
}
