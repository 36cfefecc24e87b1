//! Reading of the gateways' logs, one JSON object a line.

use std::fs::File;
use std::io::{self, BufRead, BufReader};

use anyhow::{Context, Result};
use serde::de::DeserializeOwned;

/// Calls a function with each line of the files, or of standard input if there are none.
/// Skips the text before the first brace of a line, and lines of another shape.
pub fn read<T: DeserializeOwned>(files: &[String], mut record: impl FnMut(T)) -> Result<()> {
    if files.is_empty() {
        read_lines(io::stdin().lock(), &mut record)?;
    }
    for file in files {
        let opened = File::open(file).with_context(|| format!("cannot read {file}"))?;
        read_lines(BufReader::new(opened), &mut record)?;
    }
    Ok(())
}

fn read_lines<T: DeserializeOwned>(log: impl BufRead, record: &mut impl FnMut(T)) -> Result<()> {
    for line in log.lines() {
        let line = line?;
        let Some(begin) = line.find('{') else {
            continue;
        };
        if let Ok(line) = serde_json::from_str(&line[begin..]) {
            record(line);
        }
    }
    Ok(())
}
