//! Parsing and validation of service files.

use std::ops::Range;

use compact_str::CompactString;
use toml::de::DeTable;

use crate::record::Service;

/// A problem in a service file and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in bytes, starting at 1.
    pub column: usize,
    /// Description of the problem.
    pub text: CompactString,
    /// How to fix it.
    pub hint: CompactString,
}

/// Names of the fields that a service file may have.
pub const FIELDS: &[&str] = &[
    "name",
    "model",
    "first_token_ms",
    "between_tokens_ms",
    "late",
    "waste_weight",
    "max_output_tokens",
    "routes",
    "clients",
    "client_concurrency",
    "deadline_ms",
];

/// Parses a service file and validates every field.
///
/// # Errors
///
/// Returns all problems of the first stage that finds any: syntax, then unknown
/// fields, then field types, then values.
///
/// # Examples
///
/// ```
/// use cranberryridge_wire::service;
/// let quotes = service::parse("name = \"quotes\"\nmodel = \"tube-7b\"\n").unwrap();
/// assert_eq!(quotes.first_token_ms, 1300);
/// let problems = service::parse("name = \"quotes\"\nmodle = \"x\"\nlat = 1\n").unwrap_err();
/// assert_eq!(problems.len(), 2);
/// assert_eq!((problems[1].line, problems[1].column), (3, 1));
/// ```
pub fn parse(text: &str) -> Result<Service, Vec<Problem>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        return Err(errors
            .iter()
            .map(|error| syntax_problem(text, error))
            .collect());
    }
    let table = table.get_ref();
    let problems = unknown_fields(table, text);
    if !problems.is_empty() {
        return Err(problems);
    }
    let service =
        toml::from_str::<Service>(text).map_err(|error| vec![syntax_problem(text, &error)])?;
    let problems = check_values(&service, table, text);
    if problems.is_empty() {
        return Ok(service);
    }
    Err(problems)
}

/// Converts a TOML error into a problem.
fn syntax_problem(text: &str, error: &toml::de::Error) -> Problem {
    let (line, column) = line_and_column(text, error.span().unwrap_or_default().start);
    Problem {
        line,
        column,
        text: error.message().into(),
        hint: "see docs/service-files.md for the fields and their types".into(),
    }
}

/// Reports every field that is not in [`FIELDS`], in file order.
fn unknown_fields(table: &DeTable<'_>, text: &str) -> Vec<Problem> {
    let keys = table.iter().map(|(key, _)| key);
    let unknown = keys.filter(|key| !FIELDS.contains(&key.get_ref().as_ref()));
    let problems = unknown.map(|key| {
        let (line, column) = line_and_column(text, key.span().start);
        Problem {
            line,
            column,
            text: format!("unknown field `{}`", key.get_ref()).into(),
            hint: format!("the fields are {}", FIELDS.join(", ")).into(),
        }
    });
    let mut problems = problems.collect::<Vec<_>>();
    problems.sort_by_key(|problem| (problem.line, problem.column));
    problems
}

/// Converts a byte offset into a line and a column, both starting at 1.
fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.len() - before.rfind('\n').map_or(0, |newline| newline + 1) + 1;
    (line, column)
}

/// Checks the constraints on values that the types do not express.
fn check_values(service: &Service, table: &DeTable<'_>, text: &str) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut report = |span: Range<usize>, message: &str, hint: &str| {
        let (line, column) = line_and_column(text, span.start);
        problems.push(Problem {
            line,
            column,
            text: message.into(),
            hint: hint.into(),
        });
    };
    let span_of = |field: &str| {
        table
            .get(field)
            .map(|value| value.span())
            .unwrap_or_default()
    };

    let is_valid = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    if service.name.is_empty() || !service.name.chars().all(is_valid) {
        let message = format!("name {:?} is not usable in a path", service.name);
        report(
            span_of("name"),
            &message,
            "use letters, digits, '-', '_' and '.'",
        );
    }
    let targets = [
        ("first_token_ms", service.first_token_ms),
        ("between_tokens_ms", service.between_tokens_ms),
    ];
    for (field, _) in targets.iter().filter(|(_, target)| *target == 0) {
        report(
            span_of(field),
            "a target of 0 ms cannot be met",
            "give the promised time in milliseconds",
        );
    }
    if !(0.0..=1.0).contains(&service.waste_weight) {
        let message = format!("waste_weight {} is out of range", service.waste_weight);
        let hint = "use 0.0 (goodput only) to 1.0 (no wasted prefill)";
        report(span_of("waste_weight"), &message, hint);
    }
    if service.max_output_tokens == 0 {
        report(
            span_of("max_output_tokens"),
            "no answer can be generated with 0 tokens",
            "use at least 1",
        );
    }
    if service.client_concurrency == 0 {
        report(
            span_of("client_concurrency"),
            "no client could send a request",
            "use at least 1",
        );
    }
    if service.deadline_ms < service.first_token_ms {
        let field = if table.contains_key("deadline_ms") {
            "deadline_ms"
        } else {
            "first_token_ms"
        };
        report(
            span_of(field),
            "the deadline is shorter than first_token_ms",
            "raise deadline_ms",
        );
    }
    if !service.model.is_empty() && !service.routes.is_empty() {
        report(
            span_of("routes"),
            "a service with a model cannot have routes",
            "remove routes or remove model",
        );
    }
    for (index, route) in service.routes.iter().enumerate() {
        if route.path.starts_with('/') {
            continue;
        }
        let value = table
            .get("routes")
            .and_then(|routes| routes.get_ref().get(index));
        let value = value.and_then(|route| route.get_ref().get("path"));
        let span = value.map(|path| path.span()).unwrap_or_default();
        let message = format!("route path {:?} is not absolute", route.path);
        report(span, &message, "start it with '/'");
    }
    problems
}
