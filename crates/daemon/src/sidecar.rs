//! The sidecar daemon.

use std::future::{pending, Future};
use std::net::SocketAddr;

use anyhow::Result;
use slog::Logger;
use tokio::runtime::Builder;

use cranberryridge::clock::Tokio;
use cranberryridge::logger;
use cranberryridge::net::{Net, Tcp};
use cranberryridge::sidecar::{Parts, Sidecar};
use cranberryridge::wire::{setting, settings, Set};
use cranberryridge_daemon::{self as daemon, Command};

fn main() {
    daemon::main("cranberryridge-sidecar", run);
}

/// Executes the command and returns the exit code.
fn run(command: Command) -> Result<i32> {
    match command {
        Command::Print(text) => print!("{text}"),
        Command::Check(file) => {
            daemon::read_settings(&file, settings::parse_sidecar)?;
            println!("{file}: settings are good");
        }
        Command::Run(file) => return start(daemon::read_settings(&file, settings::parse_sidecar)?),
    }
    Ok(0)
}

/// Starts the sidecar over TLS if it is configured, else over plain TCP.
fn start(settings: setting::Sidecar) -> Result<i32> {
    let logger = logger::new(settings.common.log_format, &settings.common.name);
    match daemon::load_tls(&settings.common, true, endpoint_addresses(&settings)?)? {
        Some(tls) => serve(
            settings,
            tls.clone(),
            logger.clone(),
            tls.reload_periodically(daemon::TLS_RELOAD_INTERVAL, logger),
        ),
        None => {
            slog::warn!(logger, "sidecar: no TLS, plain TCP on loopback only");
            serve(settings, Tcp, logger, pending())
        }
    }
}

/// Addresses of this sidecar's endpoints, which it reaches over plain TCP.
fn endpoint_addresses(settings: &setting::Sidecar) -> Result<Set<SocketAddr>> {
    let addresses = settings
        .endpoints
        .iter()
        .map(|endpoint| endpoint.address.parse());
    Ok(addresses.collect::<Result<_, _>>()?)
}

/// Runs the sidecar until it has drained, with control tasks on this thread and
/// traffic on a separate thread. `background` runs alongside the control
/// tasks.
fn serve<N: Net>(
    settings: setting::Sidecar,
    net: N,
    logger: Logger,
    background: impl Future<Output = ()> + Send + 'static,
) -> Result<i32> {
    let traffic = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let control = Builder::new_current_thread().enable_all().build()?;
    control.spawn(background);
    control.block_on(async {
        let sidecar = Sidecar::start(Parts {
            clock: Tokio,
            log: daemon::platform_log(&net, &settings.common)?,
            net,
            metrics: daemon::open_metrics(&settings.common)?,
            settings,
            logger,
            incarnation: daemon::random_incarnation(),
            traffic: traffic.handle().clone(),
        })
        .await?;
        let complete = daemon::drain_on_signal(sidecar.drain()).await?;
        Ok(if complete {
            0
        } else {
            daemon::EXIT_DRAIN_INCOMPLETE
        })
    })
}
