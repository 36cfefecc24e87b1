//! The gateway daemon.

use std::sync::Arc;
use std::{fs, thread};

use anyhow::{Context, Result};
use slog::Logger;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, SignalKind};

use cranberryridge::clock::Tokio;
use cranberryridge::gateway::{follow, schedule, serve, steer, Parts, Shared};
use cranberryridge::logger;
use cranberryridge::metrics::Metrics;
use cranberryridge::net::{Net, Tcp};
use cranberryridge_daemon::{self as daemon, Command};
use cranberryridge_platform::dialect::Dialect;
use cranberryridge_platform::settings::{self, Settings};
use cranberryridge_platform::store::Store;

/// What the gateway's threads share.
type Gateway = Shared<Tcp, Tokio, Dialect>;

fn main() {
    daemon::main_or("cranberryridge-gateway", settings::path(), run);
}

/// Does what the command line asks for.
fn run(command: Command) -> Result<i32> {
    match command {
        Command::Show(text) => print!("{text}"),
        Command::Check(file) => {
            read(&file)?;
            println!("{file}: settings are good");
        }
        Command::Run(file) => return start(file),
    }
    Ok(0)
}

/// Runs the gateway.
fn start(file: String) -> Result<i32> {
    let settings = read(&file)?;
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
    let control = runtime()?;
    let store = Store::new(Tcp, settings.store);
    let following = shared.clone();
    thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let steering = steer::run(following.clone(), store.clone());
            control.block_on(async {
                tokio::spawn(scheduler(following.clone()));
                tokio::spawn(schedule::follow(following.clone()));
                tokio::join!(follow::run(following, store), steering)
            })
        })?;
    let whole = runtime()?.block_on(traffic(shared, logger, file))?;
    Ok(if whole { 0 } else { daemon::CUT_OFF })
}

/// Assigns endpoints for hosts that ask.
async fn scheduler(shared: Arc<Gateway>) {
    match Tcp.bind(shared.settings.scheduler).await {
        Ok(listener) => schedule::serve(shared, listener).await,
        Err(error) => slog::warn!(shared.logger, "gateway: hosts cannot ask for endpoints";
            "error" => %error),
    }
}

/// Carries traffic until a signal ends it. Returns whether nothing was cut
/// off.
async fn traffic(shared: Arc<Gateway>, logger: Logger, file: String) -> Result<bool> {
    let callers = Tcp.bind(shared.settings.callers).await?;
    let probes = Tcp.bind(shared.settings.ready).await?;
    tokio::spawn(serve::callers(shared.clone(), callers));
    tokio::spawn(serve::probes(shared.clone(), probes));
    match Tcp.bind(shared.settings.metrics).await {
        Ok(scrapes) => {
            tokio::spawn(serve::scrapes(shared.metrics.clone(), scrapes));
        }
        Err(error) => slog::warn!(logger, "gateway: no metrics"; "error" => %error),
    }
    tokio::spawn(reload(logger, file));
    daemon::until_drained(serve::drain(&shared)).await
}

/// Reads the settings again on SIGHUP. What it says takes effect at the next
/// start, so that no connection is cut off.
async fn reload(logger: Logger, file: String) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    while hangup.recv().await.is_some() {
        match read(&file) {
            Ok(_) => slog::info!(logger, "gateway: settings read again"),
            Err(error) => {
                slog::warn!(logger, "gateway: settings refused"; "error" => format!("{error:#}"));
            }
        }
    }
    Ok(())
}

/// Reads a settings file.
fn read(file: &str) -> Result<Settings> {
    let text = fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
    settings::parse(&text).with_context(|| format!("{file}: settings refused"))
}

/// A runtime of one thread.
fn runtime() -> Result<Runtime> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}
