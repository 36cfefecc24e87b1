//! Command lines of the commands.

use std::io::Write as _;
use std::net::SocketAddr;
use std::str::FromStr;

use getopts::{Matches, Options};

/// A command line that is not understood.
#[derive(Debug)]
pub struct Error(String);

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// Prints a text. A reader that has seen enough, as `head`, is no fault.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Reads a command's options. `None` when help was asked for and shown.
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

/// An option's value, or its default.
pub fn parse_value<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, Error> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| Error(format!("--{name}: {text:?} is not usable")))
}

/// An address that must be given.
pub fn parse_address(matches: &Matches, name: &str) -> Result<SocketAddr, Error> {
    let text = matches.opt_str(name);
    let text = text.ok_or_else(|| Error(format!("--{name} ADDRESS:PORT is needed")))?;
    text.parse()
        .map_err(|_| Error(format!("--{name}: {text:?} is not an address and port")))
}

/// Addresses of an option that may be given several times.
pub fn parse_addresses(matches: &Matches, name: &str) -> Result<Vec<SocketAddr>, Error> {
    let parse = |text: &String| {
        text.parse()
            .map_err(|_| Error(format!("--{name}: {text:?} is not an address and port")))
    };
    matches.opt_strs(name).iter().map(parse).collect()
}

/// The paths that are left, of which one at least is needed.
pub fn paths(matches: &Matches) -> Result<&[String], Error> {
    if matches.free.is_empty() {
        return Err(Error("no service file or folder given".into()));
    }
    Ok(&matches.free)
}
