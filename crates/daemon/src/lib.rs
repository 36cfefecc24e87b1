//! Shared parts of the daemons: command line, settings, TLS, metrics and signals.

use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use getopts::Options;
use tokio::signal::unix::{signal, Signal, SignalKind};

use cranberryridge::client::Client;
use cranberryridge::metrics::Metrics;
use cranberryridge::net::tls::{self, Tls};
use cranberryridge::net::{Net, Tcp};
use cranberryridge::platform::log;
use cranberryridge::wire::id::Incarnation;
use cranberryridge::wire::setting::Common;
use cranberryridge::wire::{settings, Set};

/// Interval at which the entry and the sidecar reload their TLS files.
pub const TLS_RELOAD_INTERVAL: Duration = Duration::from_secs(30);

/// Exit code after an error, such as rejected settings or a bad command line.
pub const EXIT_BAD_SETTINGS: i32 = 2;

/// Exit code after a shutdown that aborted requests or streams.
pub const EXIT_DRAIN_INCOMPLETE: i32 = 3;

/// Action that the command line selects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the daemon with the settings in this file.
    Run(String),
    /// Validate the settings in this file and exit.
    Check(String),
    /// Print this text (help or version) and exit.
    Print(String),
}

impl Command {
    /// Parses a command line, for which `--settings` is mandatory.
    ///
    /// # Errors
    ///
    /// Fails if an option is unknown or no settings file is given.
    pub fn parse(name: &str, arguments: impl Iterator<Item = String>) -> Result<Self> {
        Self::parse_with_default(name, arguments, None)
    }

    /// Parses a command line; without `--settings`, `default_file` is used.
    ///
    /// # Errors
    ///
    /// Fails if an option is unknown or no settings file is given.
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

/// Reads and parses a settings file.
///
/// # Errors
///
/// Fails if the file cannot be read or its settings are rejected. The error
/// names the file.
pub fn read_settings<T>(file: &str, parse: fn(&str) -> Result<T, settings::Error>) -> Result<T> {
    let text = fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
    parse(&text).with_context(|| format!("{file}: settings refused"))
}

/// Creates a client of the platform's log at the configured address.
///
/// # Errors
///
/// Fails if the address in the settings is invalid.
pub fn platform_log<N: Net>(net: &N, common: &Common) -> Result<log::Http<N>> {
    let address = common.log_service.parse::<SocketAddr>()?;
    Ok(log::Http::new(Client::new(net.clone(), address)))
}

/// Loads the configured TLS files, or returns `None` for plain TCP.
///
/// `mutual` requires certificates of connecting peers. Connections to
/// `plain_peers` use plain TCP all the same.
///
/// # Errors
///
/// Fails if the TLS files cannot be read or are invalid.
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
            plaintext: plain_peers,
        },
    );
    Ok(Some(tls.context("TLS files refused")?))
}

/// Opens the metrics that the settings configure; without a statsd address,
/// none are sent.
///
/// # Errors
///
/// Fails if the address is invalid or no socket can be opened.
pub fn open_metrics(common: &Common) -> Result<Metrics> {
    if common.metrics.is_empty() {
        return Ok(Metrics::default());
    }
    Metrics::with_statsd(common.metrics.parse()?)
}

/// Draws the random incarnation of this process.
pub fn random_incarnation() -> Incarnation {
    Incarnation(rand::random())
}

/// Waits for SIGTERM or SIGINT, then runs `drain`. Returns whether the drain
/// completed without aborting anything; a second signal abandons it.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub async fn drain_on_signal(drain: impl Future<Output = bool>) -> Result<bool> {
    let mut signals = Signals::new()?;
    signals.recv().await;
    tokio::select! {
        complete = drain => Ok(complete),
        () = signals.recv() => Ok(false),
    }
}

/// Waits for SIGTERM or SIGINT, then runs `drain`, which must end by itself. Returns whether
/// the drain completed without aborting anything. Further signals change nothing, as planned
/// stops may overlap; the platform kills the process after its grace period.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub async fn drain_to_end(drain: impl Future<Output = bool>) -> Result<bool> {
    // The handlers must stay installed while the drain runs.
    let mut signals = Signals::new()?;
    signals.recv().await;
    Ok(drain.await)
}

/// Handlers of the signals that ask the process to stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Parses the command line, runs a daemon and exits with its exit code.
pub fn main(name: &str, run: fn(Command) -> Result<i32>) -> ! {
    main_with_default(name, None, run)
}

/// Like [`main`], but uses `default_file` if the command line names no settings.
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
