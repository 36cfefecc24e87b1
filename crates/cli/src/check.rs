//! The `check` command, which checks service files.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use getopts::Options;

use cranberryridge_wire::record::Service;
use cranberryridge_wire::service;

use crate::{options, EXIT_FAILED};

/// Runs the command and returns its exit code.
pub fn run(arguments: &[String]) -> Result<i32> {
    let brief =
        "Usage: cranberryridge check PATH...\n\nA PATH is a service file or a folder of them.";
    let Some(matches) = options::parse(Options::new(), brief, arguments)? else {
        return Ok(0);
    };
    let Some(services) = read_services(options::paths(&matches)?)? else {
        return Ok(EXIT_FAILED);
    };
    println!("{} service files are good", services.len());
    Ok(0)
}

/// Reads and checks service files. Returns `None` if there are problems; all of them have
/// been printed.
pub fn read_services(paths: &[String]) -> Result<Option<Vec<Service>>> {
    let mut services = Vec::<Service>::new();
    let mut problems = 0;
    for file in find_files(paths)? {
        let text = fs::read_to_string(&file);
        let text = text.with_context(|| format!("cannot read {}", file.display()))?;
        match service::parse(&text) {
            Ok(service) if services.iter().any(|known| known.name == service.name) => {
                eprintln!(
                    "{}:1:1: another file already describes a service named {:?}",
                    file.display(),
                    service.name
                );
                eprintln!("    hint: give each service a unique name");
                problems += 1;
            }
            Ok(service) => services.push(service),
            Err(found) => {
                for problem in &found {
                    let (line, column) = (problem.line, problem.column);
                    eprintln!("{}:{line}:{column}: {}", file.display(), problem.text);
                    eprintln!("    hint: {}", problem.hint);
                }
                problems += found.len();
            }
        }
    }
    if problems > 0 {
        eprintln!("{problems} problems");
        return Ok(None);
    }
    Ok(Some(services))
}

/// Lists the given files and the `.toml` files directly in the given folders, sorted.
fn find_files(paths: &[String]) -> Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for path in paths {
        let path = Path::new(path);
        if !path.is_dir() {
            files.push(path.to_owned());
            continue;
        }
        let entries = fs::read_dir(path);
        for entry in entries.with_context(|| format!("cannot read {}", path.display()))? {
            let file = entry?.path();
            if file
                .extension()
                .is_some_and(|extension| extension == "toml")
            {
                files.push(file);
            }
        }
    }
    files.sort();
    Ok(files)
}
