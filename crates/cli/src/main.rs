//! The `cranberryridge` command for operators.

use anyhow::Result;

mod check;
mod demo;
mod explain;
mod logs;
mod losses;
mod notices;
mod options;
mod publish;
mod report;
mod rollout;
mod status;

/// Exit code of a command that failed.
const EXIT_FAILED: i32 = 1;

/// Exit code for an invalid command line.
const EXIT_USAGE: i32 = 2;

/// Exit code if another operator changed the same services first, or published first on
/// every attempt.
const EXIT_CONFLICT: i32 = 3;

/// Exit code if it is unknown whether the change was published.
const EXIT_UNKNOWN_OUTCOME: i32 = 4;

/// Exit code if the version was not seen on every daemon in time.
const EXIT_TIMEOUT: i32 = 5;

/// Text of `--help`.
const HELP: &str = "\
Usage: cranberryridge COMMAND [OPTIONS]

Commands:
  check PATH...           check service files
  publish PATH...         check service files and put them in force
  status                  show daemons, endpoints, versions and counters
  explain [CODE]          explain a result code, or list them all
  losses [FILE]...        count lost requests by cause, from gateway logs
  notices [FILE]...       list the store's eras and leaving or resting endpoints, from
                          gateway logs
  demo                    run both deployments on embedded stand-ins

`cranberryridge COMMAND --help` shows a command's options.
Exit codes: 0 done, 1 failed, 2 invalid command line; `publish --help` lists
further ones.
";

fn main() {
    let mut arguments = std::env::args().skip(1);
    let command = arguments.next().unwrap_or_default();
    let arguments = arguments.collect::<Vec<_>>();
    let result = run(&command, &arguments);
    let code = result.unwrap_or_else(|error| {
        eprintln!("cranberryridge: {error:#}");
        if error.is::<options::Error>() {
            EXIT_USAGE
        } else {
            EXIT_FAILED
        }
    });
    std::process::exit(code);
}

/// Runs a command and returns its exit code.
fn run(command: &str, arguments: &[String]) -> Result<i32> {
    match command {
        "check" => check::run(arguments),
        "publish" => publish::run(arguments),
        "status" => status::run(arguments),
        "explain" => explain::run(arguments),
        "losses" => losses::run(arguments),
        "notices" => notices::run(arguments),
        "demo" => demo::run(arguments),
        "--version" | "-V" => {
            println!("cranberryridge {}", env!("CARGO_PKG_VERSION"));
            Ok(0)
        }
        "--help" | "-h" | "help" => {
            print!("{HELP}");
            Ok(0)
        }
        _ => {
            eprint!("{HELP}");
            Ok(EXIT_USAGE)
        }
    }
}
