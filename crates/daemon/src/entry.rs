//! The entry daemon.

use std::future::{pending, Future};

use anyhow::Result;
use slog::Logger;
use tokio::runtime::Builder;

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::entry::{Entry, Parts};
use cranberryridge::logger;
use cranberryridge::net::{Net, Tcp};
use cranberryridge::platform::hosts;
use cranberryridge::wire::{setting, settings, Set};
use cranberryridge_daemon::{self as daemon, Command};

fn main() {
    daemon::main("cranberryridge-entry", run);
}

/// Executes the command and returns the exit code.
fn run(command: Command) -> Result<i32> {
    match command {
        Command::Print(text) => print!("{text}"),
        Command::Check(file) => {
            daemon::read_settings(&file, settings::parse_entry)?;
            println!("{file}: settings are good");
        }
        Command::Run(file) => return start(daemon::read_settings(&file, settings::parse_entry)?),
    }
    Ok(0)
}

/// Starts the entry over TLS if it is configured, else over plain TCP.
fn start(settings: setting::Entry) -> Result<i32> {
    let logger = logger::new(settings.common.log_format, &settings.common.name);
    match daemon::load_tls(&settings.common, false, Set::default())? {
        Some(tls) => serve(
            settings,
            tls.clone(),
            logger.clone(),
            tls.reload_periodically(daemon::TLS_RELOAD_INTERVAL, logger),
        ),
        None => {
            slog::warn!(logger, "entry: no TLS, plain TCP on loopback only");
            serve(settings, Tcp, logger, pending())
        }
    }
}

/// Runs the entry until it has drained, with control tasks on this thread and
/// traffic on a separate thread pool. `background` runs alongside the control
/// tasks.
fn serve<N: Net>(
    settings: setting::Entry,
    net: N,
    logger: Logger,
    background: impl Future<Output = ()> + Send + 'static,
) -> Result<i32> {
    let traffic = Builder::new_multi_thread()
        .worker_threads(usize::from(settings.threads))
        .enable_all()
        .build()?;
    let control = Builder::new_current_thread().enable_all().build()?;
    control.spawn(background);
    control.block_on(async {
        let host_list = Client::new(net.clone(), settings.host_list.parse()?);
        let entry = Entry::start(Parts {
            clock: Tokio,
            log: daemon::platform_log(&net, &settings.common)?,
            net,
            hosts: hosts::Http::new(host_list),
            metrics: daemon::open_metrics(&settings.common)?,
            settings,
            logger,
            incarnation: daemon::random_incarnation(),
            traffic: traffic.handle().clone(),
        })
        .await?;
        let complete = daemon::drain_on_signal(entry.drain()).await?;
        if complete {
            return Ok(0);
        }
        // A second signal may have abandoned the drain.
        entry.give_up().await;
        Ok(daemon::EXIT_DRAIN_INCOMPLETE)
    })
}
