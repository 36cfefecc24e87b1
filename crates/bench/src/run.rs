//! Runs a policy under a load.

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

/// Runs at once.
const THREADS: usize = 4;

/// Longest time until a deployment is ready.
const READY: Duration = Duration::from_secs(30);

/// Longest time for the last answers.
const LAST: Duration = Duration::from_secs(900);

/// Share of the time that only warms a run up.
const WARM: f64 = 0.2;

/// What is compared.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Its name.
    pub name: String,
    /// How entries decide.
    pub decision: Decision,
    /// How sidecars admit work.
    pub admission: Admission,
}

impl Policy {
    /// Ours, with every part on.
    pub fn ours() -> Self {
        Self {
            name: "ours".into(),
            decision: Decision::default(),
            admission: Admission::default(),
        }
    }

    /// A balancer that knows endpoints by their reports at most.
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

    /// Ours without one part.
    ///
    /// # Errors
    ///
    /// When there is no such part.
    pub fn without(part: &str) -> Result<Self> {
        let mut policy = Self::ours();
        let flag = match part {
            "sent" => &mut policy.decision.sent,
            "prefix" => &mut policy.decision.prefix,
            "holds" => &mut policy.decision.holds,
            "budget" => &mut policy.decision.budget,
            "slack" => &mut policy.admission.slack,
            "early" => &mut policy.admission.early,
            _ => return Err(anyhow!("no part {part:?} to switch off")),
        };
        *flag = false;
        policy.name = format!("-{part}");
        Ok(policy)
    }
}

/// One run to make.
#[derive(Clone, Debug)]
pub struct Task {
    /// The policy.
    pub policy: Policy,
    /// Offered load.
    pub load: f64,
    /// Seconds of load.
    pub seconds: u64,
    /// Seed of the load.
    pub seed: u64,
}

/// Makes runs, a few at a time, and returns their rows in order.
///
/// # Errors
///
/// The first error of a run.
pub fn all(deployment: &Deployment, tasks: &[Task]) -> Result<Vec<Row>> {
    let queue = Mutex::new((0..tasks.len()).collect::<VecDeque<_>>());
    let rows = Mutex::new(vec![None; tasks.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS.min(tasks.len()) {
            scope.spawn(|| loop {
                let next = lock(&queue).pop_front();
                let Some(at) = next else { return };
                let row = one(deployment, &tasks[at]);
                lock(&rows)[at] = Some(row.map_err(|error| format!("{error:#}")));
            });
        }
    });
    let rows = rows.into_inner().unwrap_or_else(PoisonError::into_inner);
    let rows = rows.into_iter().flatten();
    rows.map(|row| row.map_err(|text| anyhow!(text))).collect()
}

/// Locks a mutex.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Makes one run on a runtime of its own.
fn one(deployment: &Deployment, task: &Task) -> Result<Row> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?;
    let begun = std::time::Instant::now();
    let mut row = runtime.block_on(drive(deployment, task))?;
    row.took = begun.elapsed().as_secs_f64();
    Ok(row)
}

/// Starts the deployment, sends the load and sums up.
async fn drive(deployment: &Deployment, task: &Task) -> Result<Row> {
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
    let ready = tokio::time::timeout(READY, fleet.wait_ready()).await;
    ready.context("the deployment did not become ready")?;

    let jobs = load::jobs(deployment, task.load, task.seconds, task.seed);
    let time = Duration::from_secs(task.seconds);
    let ceiling = ceiling::share(deployment, &jobs, time);
    let shared = Arc::new(deployment.clone());
    let begun = Instant::now();
    let mut set = JoinSet::new();
    for job in jobs {
        tokio::time::sleep_until(begun + job.at).await;
        let client = Client::new(net.clone(), fleet.entries[job.entry].address());
        let deployment = shared.clone();
        set.spawn(async move {
            let outcome = caller::run(client, &deployment, &job).await;
            (job, outcome)
        });
    }
    let mut outcomes = Vec::new();
    let rest = async {
        while let Some(outcome) = set.join_next().await {
            outcomes.push(outcome?);
        }
        Ok::<_, anyhow::Error>(())
    };
    let last = tokio::time::timeout(LAST, rest).await;
    last.context("the last answers did not come")??;
    let row = row::sum(deployment, &outcomes, time.mul_f64(WARM), &fleet.ledger)?;
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
