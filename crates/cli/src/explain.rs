//! The `explain` command, which explains result codes.

use anyhow::Result;
use getopts::Options;

use cranberryridge_wire::code::Code;

use crate::{options, EXIT_FAILED};

/// Runs the command and returns its exit code.
pub fn run(arguments: &[String]) -> Result<i32> {
    let brief = "Usage: cranberryridge explain [CODE]";
    let Some(matches) = options::parse(Options::new(), brief, arguments)? else {
        return Ok(0);
    };
    let Some(text) = matches.free.first() else {
        let lines = Code::ALL.iter().map(|code| format!("{code}\n"));
        options::print(&lines.collect::<String>());
        return Ok(0);
    };
    let number = text.parse().ok().and_then(Code::from_number);
    let named = || Code::ALL.iter().copied().find(|code| code.slug() == text);
    let Some(code) = number.or_else(named) else {
        eprintln!("unknown result code {text:?}; `cranberryridge explain` lists all codes");
        return Ok(EXIT_FAILED);
    };
    println!("{code}");
    println!("HTTP status {}", code.status());
    println!("{}", code.text());
    Ok(0)
}
