//! The gateway daemon.

use std::sync::Arc;
use std::{fs, thread};

use anyhow::{Context, Result};
use slog::Logger;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, SignalKind};

use cranberryridge::clock::Tokio;
use cranberryridge::gateway::{follow, rebalance, schedule, serve, Parts, Shared};
use cranberryridge::logger;
use cranberryridge::metrics::Metrics;
use cranberryridge::net::{Net, Tcp};
use cranberryridge_daemon::{self as daemon, Command};
use cranberryridge_platform::dialect::Dialect;
use cranberryridge_platform::settings::{self, Settings};
use cranberryridge_platform::store::Store;

/// State that the control and traffic threads share.
type Gateway = Shared<Tcp, Tokio, Dialect>;

fn main() {
    daemon::main_with_default("cranberryridge-gateway", settings::path(), run);
}

/// Executes the command and returns the exit code.
fn run(command: Command) -> Result<i32> {
    match command {
        Command::Print(text) => print!("{text}"),
        Command::Check(file) => {
            read_settings(&file)?;
            println!("{file}: settings are good");
        }
        Command::Run(file) => return start(file),
    }
    Ok(0)
}

/// Runs the gateway, with control tasks on a thread of their own and traffic on
/// this one, and returns the exit code.
fn start(file: String) -> Result<i32> {
    let settings = read_settings(&file)?;
    let logger = logger::stdout(&settings.gateway.name);
    slog::info!(logger, "gateway: starting"; "callers" => %settings.gateway.callers,
        "store" => %settings.store, "domain" => %settings.gateway.domain);
    let shared = Shared::new(Parts {
        settings: settings.gateway,
        net: Tcp,
        clock: Tokio,
        dialect: Dialect,
        logger: logger.clone(),
        metrics: Metrics::default(),
    });
    let control = build_runtime()?;
    let store = Store::new(Tcp, settings.store);
    let control_shared = shared.clone();
    thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let steering = rebalance::run(control_shared.clone(), store.clone());
            control.block_on(async {
                tokio::spawn(serve_scheduler(control_shared.clone()));
                tokio::spawn(schedule::follow(control_shared.clone()));
                tokio::join!(follow::run(control_shared, store), steering)
            })
        })?;
    let complete = build_runtime()?.block_on(serve_traffic(shared, logger, file))?;
    Ok(if complete {
        0
    } else {
        daemon::EXIT_DRAIN_INCOMPLETE
    })
}

/// Serves the scheduler, through which hosts request endpoints.
async fn serve_scheduler(shared: Arc<Gateway>) {
    match Tcp.bind(shared.settings.scheduler).await {
        Ok(listener) => schedule::serve(shared, listener).await,
        Err(error) => {
            slog::warn!(shared.logger, "gateway: cannot bind the scheduler's address, hosts cannot request endpoints";
            "error" => %error)
        }
    }
}

/// Serves callers, probes and metrics until a signal drains the gateway. Returns
/// whether the drain completed without aborting anything.
async fn serve_traffic(shared: Arc<Gateway>, logger: Logger, file: String) -> Result<bool> {
    let unread = serve::MAX_UNREAD_BYTES;
    let caller_listener = Tcp.bind_bounded(shared.settings.callers, unread).await?;
    let probe_listener = Tcp.bind_bounded(shared.settings.probes, unread).await?;
    tokio::spawn(serve::accept_callers(shared.clone(), caller_listener));
    tokio::spawn(serve::answer_probes(shared.clone(), probe_listener));
    match Tcp.bind(shared.settings.metrics).await {
        Ok(scrape_listener) => {
            tokio::spawn(serve::answer_scrapes(
                shared.metrics.clone(),
                shared.clock,
                scrape_listener,
            ));
        }
        Err(error) => {
            slog::warn!(logger, "gateway: cannot bind the metrics address"; "error" => %error)
        }
    }
    tokio::spawn(check_settings_on_hangup(logger, file));
    daemon::drain_to_end(serve::drain(&shared)).await
}

/// Validates the settings file on each SIGHUP and logs the result. New settings
/// take effect at the next start, so that no connection is closed.
async fn check_settings_on_hangup(logger: Logger, file: String) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    while hangup.recv().await.is_some() {
        match read_settings(&file) {
            Ok(_) => slog::info!(logger, "gateway: settings read again"),
            Err(error) => {
                slog::warn!(logger, "gateway: settings refused"; "error" => format!("{error:#}"));
            }
        }
    }
    Ok(())
}

/// Reads and parses a settings file.
fn read_settings(file: &str) -> Result<Settings> {
    let text = fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
    settings::parse(&text).with_context(|| format!("{file}: settings refused"))
}

/// Builds a single-threaded runtime.
fn build_runtime() -> Result<Runtime> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}
