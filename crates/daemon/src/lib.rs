//! What the two daemons have in common: command line, signals, platform.

use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use getopts::Options;
use tokio::signal::unix::{signal, SignalKind};

use cranberryridge::client::Client;
use cranberryridge::metrics::Metrics;
use cranberryridge::net::tls::{self, Tls};
use cranberryridge::net::{Net, Tcp};
use cranberryridge::platform::log;
use cranberryridge::wire::id::Incarnation;
use cranberryridge::wire::setting::Common;
use cranberryridge::wire::{settings, Set};

/// Time between readings of the TLS files.
pub const TLS_RELOAD_INTERVAL: Duration = Duration::from_secs(30);

/// Exit code of settings that are refused.
pub const EXIT_BAD_SETTINGS: i32 = 2;

/// Exit code of a shutdown that cut something off.
pub const EXIT_DRAIN_INCOMPLETE: i32 = 3;

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run with the settings in this file.
    Run(String),
    /// Check the settings in this file.
    Check(String),
    /// Show a text.
    Print(String),
}

impl Command {
    /// Reads the command line.
    ///
    /// # Errors
    ///
    /// When it is not understood.
    pub fn parse(name: &str, arguments: impl Iterator<Item = String>) -> Result<Self> {
        Self::parse_with_default(name, arguments, None)
    }

    /// Reads the command line of a daemon whose settings file may be named
    /// elsewhere.
    ///
    /// # Errors
    ///
    /// When it is not understood.
    pub fn parse_with_default(
        name: &str,
        arguments: impl Iterator<Item = String>,
        default_file: Option<String>,
    ) -> Result<Self> {
        let mut options = Options::new();
        options.optopt("s", "settings", "file with the settings", "FILE");
        options.optflag("", "check", "check the settings and exit");
        options.optflag("h", "help", "show this help");
        options.optflag("V", "version", "show the version");
        let matches = options.parse(arguments)?;
        let usage = options.usage(&format!("Usage: {name} --settings FILE [--check]"));
        if matches.opt_present("help") {
            return Ok(Self::Print(usage));
        }
        if matches.opt_present("version") {
            return Ok(Self::Print(format!(
                "{name} {}\n",
                env!("CARGO_PKG_VERSION")
            )));
        }
        let file = matches.opt_str("settings").or(default_file);
        let file = file.with_context(|| format!("no settings given\n{usage}"))?;
        if matches.opt_present("check") {
            return Ok(Self::Check(file));
        }
        Ok(Self::Run(file))
    }
}

/// Reads a settings file.
///
/// # Errors
///
/// When it cannot be read or its settings are refused; the error names the
/// file.
pub fn read_settings<T>(file: &str, parse: fn(&str) -> Result<T, settings::Error>) -> Result<T> {
    let text = fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
    parse(&text).with_context(|| format!("{file}: settings refused"))
}

/// The platform's log that the settings name.
///
/// # Errors
///
/// When its address is not usable.
pub fn platform_log<N: Net>(net: &N, common: &Common) -> Result<log::Http<N>> {
    let address = common.log_service.parse::<SocketAddr>()?;
    Ok(log::Http::new(Client::new(net.clone(), address)))
}

/// TLS as the settings have it, or `None` for plain TCP.
///
/// # Errors
///
/// When the files cannot be used.
pub fn load_tls(
    common: &Common,
    mutual: bool,
    plain_peers: Set<SocketAddr>,
) -> Result<Option<Tls<Tcp>>> {
    if common.tls_authority.is_empty() {
        return Ok(None);
    }
    let tls = Tls::new(
        Tcp,
        tls::Settings {
            authority: common.tls_authority.as_str().into(),
            certificate: common.tls_certificate.as_str().into(),
            key: common.tls_key.as_str().into(),
            mutual,
            plain: plain_peers,
        },
    );
    Ok(Some(tls.context("TLS files refused")?))
}

/// The counters that the settings ask for.
///
/// # Errors
///
/// When no socket can be had.
pub fn open_metrics(common: &Common) -> Result<Metrics> {
    if common.metrics.is_empty() {
        return Ok(Metrics::default());
    }
    Metrics::to(common.metrics.parse()?)
}

/// Draws an incarnation.
pub fn random_incarnation() -> Incarnation {
    Incarnation(rand::random())
}

/// Waits for SIGTERM or SIGINT, then drains. A second signal ends the process
/// at once. Returns whether the drain cut nothing off.
///
/// # Errors
///
/// When signals cannot be had.
pub async fn drain_on_signal(drain: impl Future<Output = bool>) -> Result<bool> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tokio::select! {
        complete = drain => Ok(complete),
        _ = terminate.recv() => Ok(false),
        _ = interrupt.recv() => Ok(false),
    }
}

/// Runs a daemon and ends the process with its exit code.
pub fn main(name: &str, run: fn(Command) -> Result<i32>) -> ! {
    main_with_default(name, None, run)
}

/// Runs a daemon whose settings file may be named elsewhere, and ends the
/// process with its exit code.
pub fn main_with_default(
    name: &str,
    default_file: Option<String>,
    run: fn(Command) -> Result<i32>,
) -> ! {
    let command = Command::parse_with_default(name, std::env::args().skip(1), default_file);
    let code = command.and_then(run).unwrap_or_else(|error| {
        eprintln!("{name}: {error:#}");
        EXIT_BAD_SETTINGS
    });
    std::process::exit(code);
}
