//! Parses command-line options and prints texts for all commands.

use std::io::Write as _;
use std::net::SocketAddr;
use std::str::FromStr;

use getopts::{Matches, Options};

/// Error for an invalid command line.
#[derive(Debug)]
pub struct Error(String);

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// Prints a text to standard output. Ignores errors, because a reader such as `head` may
/// close the pipe early.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Parses a command's options. Returns `None` if `--help` was given; the help has been
/// printed then.
pub fn parse(
    mut options: Options,
    brief: &str,
    arguments: &[String],
) -> Result<Option<Matches>, Error> {
    options.optflag("h", "help", "show this help");
    let matches = options.parse(arguments);
    let matches = matches.map_err(|error| Error(format!("{error}\n{}", options.usage(brief))))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(brief));
        return Ok(None);
    }
    Ok(Some(matches))
}

/// Parses the value of an option, or returns the default if it was not given.
pub fn parse_value<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, Error> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| Error(format!("--{name}: invalid value {text:?}")))
}

/// Parses the address of a required option.
pub fn parse_address(matches: &Matches, name: &str) -> Result<SocketAddr, Error> {
    let text = matches.opt_str(name);
    let text = text.ok_or_else(|| Error(format!("--{name} ADDRESS:PORT is required")))?;
    text.parse()
        .map_err(|_| Error(format!("--{name}: {text:?} is not an address and port")))
}

/// Parses the addresses of an option that may be given several times.
pub fn parse_addresses(matches: &Matches, name: &str) -> Result<Vec<SocketAddr>, Error> {
    let parse = |text: &String| {
        text.parse()
            .map_err(|_| Error(format!("--{name}: {text:?} is not an address and port")))
    };
    matches.opt_strs(name).iter().map(parse).collect()
}

/// Returns the positional arguments, of which at least one is required.
pub fn paths(matches: &Matches) -> Result<&[String], Error> {
    if matches.free.is_empty() {
        return Err(Error("no service file or folder given".into()));
    }
    Ok(&matches.free)
}
