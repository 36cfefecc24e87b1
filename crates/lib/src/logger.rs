//! Loggers of the daemons.

use slog::{o, Drain, Logger};

use cranberryridge_wire::setting::Log;

/// Creates a logger for one daemon that writes to standard error.
///
/// # Examples
///
/// ```
/// use cranberryridge::{logger, wire::setting::Log};
/// let logger = logger::new(Log::Json, "entry-1");
/// slog::debug!(logger, "entry: up");
/// ```
pub fn new(format: Log, name: &str) -> Logger {
    let values = o!("daemon" => name.to_owned());
    match format {
        Log::Human => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), values)
        }
        Log::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), values)
        }
    }
}

/// Creates a logger that writes JSON lines to standard output. Lines that do not fit into
/// its queue are dropped and counted, so that no request waits for the log.
pub fn stdout(name: &str) -> Logger {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let queue = slog_async::Async::new(drain).chan_size(QUEUE_CAPACITY);
    Logger::root(queue.build().fuse(), o!("daemon" => name.to_owned()))
}

/// Maximum number of lines that wait to be written.
const QUEUE_CAPACITY: usize = 1024;

/// Creates a logger that discards everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
