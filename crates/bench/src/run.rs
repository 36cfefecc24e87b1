//! Simulation of one policy under one load.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::{anyhow, Context, Result};
use tokio::task::JoinSet;
use tokio::time::Instant;

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::net::memory::Memory;
use cranberryridge_standin::engine;
use cranberryridge_standin::fleet::{Fleet, Plan};
use cranberryridge_standin::ledger::Ledger;
use cranberryridge_wire::id::Version;
use cranberryridge_wire::setting::{Admission, Choice, Decision};

use crate::deployment::Deployment;
use crate::row::Row;
use crate::{caller, ceiling, load, row};

/// Maximum number of runs at once, each on a thread of its own.
const MAX_CONCURRENT_RUNS: usize = 4;

/// Time limit for a deployment to become ready.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for outstanding answers after the last job has arrived.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(900);

/// Share of the load's duration that is warm-up and isn't measured.
const WARMUP_SHARE: f64 = 0.2;

/// A named set of routing and admission settings to compare.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Name in tables, plots and JSON.
    pub name: String,
    /// Settings for routing at entries.
    pub decision: Decision,
    /// Settings for admission at sidecars.
    pub admission: Admission,
}

impl Policy {
    /// The default policy, with every part on.
    pub fn ours() -> Self {
        Self {
            name: "ours".into(),
            decision: Decision::default(),
            admission: Admission::default(),
        }
    }

    /// A plain balancer that uses no more than the endpoints' reports.
    pub fn baseline(choice: Choice) -> Self {
        let name = match choice {
            Choice::RoundRobin => "round-robin",
            Choice::LeastLoaded => "least-loaded",
            Choice::Predicted => "predicted",
        };
        Self {
            name: name.into(),
            decision: Decision {
                choice,
                sent: false,
                prefix: false,
                holds: false,
                budget: false,
            },
            admission: Admission {
                slack: false,
                early: false,
            },
        }
    }

    /// The default policy with one part switched off.
    ///
    /// # Errors
    ///
    /// Returns an error if no part has this name.
    pub fn without(part: &str) -> Result<Self> {
        let mut policy = Self::ours();
        let flag = match part {
            "sent" => &mut policy.decision.sent,
            "prefix" => &mut policy.decision.prefix,
            "holds" => &mut policy.decision.holds,
            "budget" => &mut policy.decision.budget,
            "slack" => &mut policy.admission.slack,
            "early" => &mut policy.admission.early,
            _ => return Err(anyhow!("unknown policy part {part:?}")),
        };
        *flag = false;
        policy.name = format!("-{part}");
        Ok(policy)
    }
}

/// The parameters of one run.
#[derive(Clone, Debug)]
pub struct Task {
    /// Policy under test.
    pub policy: Policy,
    /// Offered load as a share of the deployment's capacity.
    pub load: f64,
    /// Duration of the load, in seconds of simulated time.
    pub seconds: u64,
    /// Seed of the load and of the deployment.
    pub seed: u64,
}

/// Executes tasks, several at a time, and returns their rows in task order.
///
/// # Errors
///
/// Returns the error of the first task that failed.
pub fn execute_all(deployment: &Deployment, tasks: &[Task]) -> Result<Vec<Row>> {
    let queue = Mutex::new((0..tasks.len()).collect::<VecDeque<_>>());
    let rows = Mutex::new(vec![None; tasks.len()]);
    std::thread::scope(|scope| {
        for _ in 0..MAX_CONCURRENT_RUNS.min(tasks.len()) {
            scope.spawn(|| loop {
                let next = lock(&queue).pop_front();
                let Some(index) = next else { return };
                let row = execute(deployment, &tasks[index]);
                lock(&rows)[index] = Some(row.map_err(|error| format!("{error:#}")));
            });
        }
    });
    let rows = rows.into_inner().unwrap_or_else(PoisonError::into_inner);
    let rows = rows.into_iter().flatten();
    rows.map(|row| row.map_err(|message| anyhow!(message)))
        .collect()
}

/// Locks a mutex even if it is poisoned.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Executes one task on its own paused runtime.
fn execute(deployment: &Deployment, task: &Task) -> Result<Row> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?;
    let started = std::time::Instant::now();
    let mut row = runtime.block_on(simulate(deployment, task))?;
    row.took = started.elapsed().as_secs_f64();
    Ok(row)
}

/// Starts the deployment, sends the load and summarizes the outcomes.
async fn simulate(deployment: &Deployment, task: &Task) -> Result<Row> {
    let net = Memory::default();
    let plan = Plan {
        engine: engine::Settings {
            ledger: Ledger::default(),
            ..deployment.plan.engine.clone()
        },
        decision: task.policy.decision.clone(),
        admission: task.policy.admission.clone(),
        seed: task.seed,
        ..deployment.plan.clone()
    };
    let fleet = Fleet::start(net.clone(), Tokio, plan).await?;
    let services = vec![deployment.model.clone(), deployment.plain.clone()];
    fleet.publish(Version::default(), services);
    let ready = tokio::time::timeout(STARTUP_TIMEOUT, fleet.wait_ready()).await;
    ready.context("the deployment did not become ready")?;

    let jobs = load::draw_jobs(deployment, task.load, task.seconds, task.seed);
    let duration = Duration::from_secs(task.seconds);
    let ceiling = ceiling::max_goodput(deployment, &jobs, duration);
    let shared = Arc::new(deployment.clone());
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for job in jobs {
        tokio::time::sleep_until(started + job.arrival).await;
        let client = Client::new(net.clone(), fleet.entries[job.entry].address());
        let deployment = shared.clone();
        callers.spawn(async move {
            let outcome = caller::run(client, &deployment, &job).await;
            (job, outcome)
        });
    }
    let mut outcomes = Vec::new();
    let collect = async {
        while let Some(outcome) = callers.join_next().await {
            outcomes.push(outcome?);
        }
        Ok::<_, anyhow::Error>(())
    };
    let collected = tokio::time::timeout(COMPLETION_TIMEOUT, collect).await;
    collected.context("timed out waiting for the remaining answers")??;
    let row = row::summarize(
        deployment,
        &outcomes,
        duration.mul_f64(WARMUP_SHARE),
        &fleet.ledger,
    )?;
    let count = |name| {
        let counts = fleet.entries.iter().map(|entry| entry.metrics().get(name));
        counts.sum::<u64>() as f64
    };
    Ok(Row {
        cached: count("prefill.cached_tokens") / count("prefill.tokens").max(1.0),
        policy: task.policy.name.clone(),
        load: task.load,
        ceiling,
        ..row
    })
}
