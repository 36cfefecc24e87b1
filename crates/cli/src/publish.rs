//! The `publish` command, which puts service files in force.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
use getopts::Options;
use rand::{rngs::StdRng, SeedableRng};

use cranberryridge::client::Client;
use cranberryridge::net::Tcp;
use cranberryridge::platform::log;
use cranberryridge::publish::{Draft, Effect, Error, Publisher};
use cranberryridge_wire::id::Version;
use cranberryridge_wire::record::Copy;

use crate::{check, options, rollout, status, EXIT_CONFLICT, EXIT_FAILED, EXIT_UNKNOWN_OUTCOME};

/// Usage text, which the help shows above the options.
const BRIEF: &str = "\
Usage: cranberryridge publish --log ADDRESS:PORT [--entry ADDRESS:PORT]... PATH...

A PATH is a service file or a folder of them. With --entry, waits until that
entry and every sidecar that it is connected to run the new version.
Exit codes: 0 in force, 1 failed, 2 invalid command line, 3 another operator
changed the same services first, 4 not known whether it was published, 5 in
force but not seen on every daemon in time.";

/// Runs the command and returns its exit code.
pub fn run(arguments: &[String]) -> Result<i32> {
    let mut accepted = Options::new();
    accepted.optopt("l", "log", "the platform's log", "ADDRESS:PORT");
    accepted.optmulti("e", "entry", "an entry to query", "ADDRESS:PORT");
    accepted.optopt("a", "author", "name of the operator", "NAME");
    accepted.optmulti("r", "remove", "remove a service", "NAME");
    accepted.optflag("", "whole", "remove every service that no PATH describes");
    accepted.optflag("n", "dry-run", "show what would change");
    accepted.optopt(
        "",
        "wait",
        "maximum wait with --entry, 10 by default",
        "SECONDS",
    );
    let Some(matches) = options::parse(accepted, BRIEF, arguments)? else {
        return Ok(0);
    };
    let log = options::parse_address(&matches, "log")?;
    let entries = options::parse_addresses(&matches, "entry")?;
    let author = options::parse_value(&matches, "author", "operator".to_owned())?;
    let wait = Duration::from_secs(options::parse_value(&matches, "wait", 10)?);
    let removed = matches.opt_strs("remove");
    let services = if matches.free.is_empty() && !removed.is_empty() {
        Vec::new()
    } else {
        match check::read_services(options::paths(&matches)?)? {
            Some(services) => services,
            None => return Ok(EXIT_FAILED),
        }
    };
    let draft = Draft {
        author: author.into(),
        services,
        removed: removed.into_iter().map(Into::into).collect(),
        replace_all: matches.opt_present("whole"),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut publisher = Publisher::new(log::Http::new(Client::new(Tcp, log)));
        adopt_configuration(&mut publisher, &entries).await;
        if matches.opt_present("dry-run") {
            return show_difference(&mut publisher, &draft).await;
        }
        let started = Instant::now();
        let version = match publish(&mut publisher, &draft).await? {
            Ok(version) => version,
            Err(code) => return Ok(code),
        };
        rollout::wait(&entries, version, started, wait).await
    })
}

/// Adopts the configuration of the first entry that answers, so that only the records
/// after it need to be read.
async fn adopt_configuration(publisher: &mut Publisher<log::Http<Tcp>>, entries: &[SocketAddr]) {
    for entry in entries {
        let Ok(document) = status::get(*entry, "/configuration").await else {
            continue;
        };
        if let Ok(Some(copy)) = serde_json::from_value::<Option<Copy>>(document) {
            publisher.adopt(&copy);
            return;
        }
    }
}

/// Prints what publishing the draft would change.
async fn show_difference(publisher: &mut Publisher<log::Http<Tcp>>, draft: &Draft) -> Result<i32> {
    let configuration = publisher.current().await.map_err(with_hint)?;
    let lines = draft.difference(&configuration);
    for line in &lines {
        println!("{line}");
    }
    println!(
        "differences: {}, to version {}; nothing was published",
        lines.len(),
        configuration.version
    );
    Ok(0)
}

/// Adds a hint to an error.
fn with_hint(error: Error) -> anyhow::Error {
    let hint = match error {
        Error::Trimmed => "name a running entry with --entry, or try again in some minutes",
        _ => "check that the log is up and that --log names it, then publish again",
    };
    anyhow::anyhow!("{error}\n    hint: {hint}")
}

/// Publishes the draft and prints the outcome. Returns the version in force, or the exit
/// code.
async fn publish(
    publisher: &mut Publisher<log::Http<Tcp>>,
    draft: &Draft,
) -> Result<Result<Version, i32>> {
    let lines = match publisher.current().await {
        Ok(configuration) => draft.difference(&configuration),
        Err(error) => return Err(with_hint(error)),
    };
    let started = Instant::now();
    let mut random = StdRng::seed_from_u64(rand::random());
    match publisher.publish(draft, &mut random).await {
        Ok(Effect::Unchanged(version)) => {
            println!("nothing to change, version {version} is in force");
            Ok(Ok(version))
        }
        Ok(Effect::InForce(version)) => {
            lines.iter().for_each(|line| println!("{line}"));
            let millis = started.elapsed().as_millis();
            println!("version {version} is in the log after {millis} ms");
            Ok(Ok(version))
        }
        Err(error @ Error::Conflict { .. }) => {
            eprintln!("not published: {error}");
            eprintln!("    hint: check with --dry-run what differs now, then publish again");
            Ok(Err(EXIT_CONFLICT))
        }
        Err(error @ Error::Contention) => {
            eprintln!("not published: {error}");
            eprintln!("    hint: publish again");
            Ok(Err(EXIT_CONFLICT))
        }
        Err(error @ Error::Unclear(_)) => {
            eprintln!("{error}");
            eprintln!(
                "    hint: publish again; if the change is already in force, nothing changes"
            );
            Ok(Err(EXIT_UNKNOWN_OUTCOME))
        }
        Err(error) => Err(with_hint(error)),
    }
}
