//! Checks that the documentation of settings and service files matches the schema.

use std::collections::BTreeSet;

use serde_json::Value;

use cranberryridge_wire::service;

/// The schema of log records.
const RECORD_SCHEMA: &str = include_str!("../../../schema/record.json");

/// The schema of daemon settings.
const SETTING_SCHEMA: &str = include_str!("../../../schema/setting.json");

/// Builds the table rows that a page must have for a definition.
fn expected_rows(schema: &str, definition: &str) -> Vec<String> {
    let schema = serde_json::from_str::<Value>(schema).unwrap();
    let properties = schema["definitions"][definition]["properties"].clone();
    let rows = properties.as_object().unwrap().iter().map(|(name, field)| {
        let default = match &field["default"] {
            Value::Null => "needed".to_owned(),
            value => format!("`{value}`"),
        };
        let text = field["description"].as_str().unwrap();
        format!("| `{name}` | {default} | {text} |")
    });
    rows.collect()
}

/// Checks that the section of a definition has exactly the expected rows.
fn assert_section_matches(page: &str, schema: &str, definition: &str) {
    let heading = format!("## {definition}\n");
    let (_, section) = page
        .split_once(&heading)
        .unwrap_or_else(|| panic!("no {heading}"));
    let section = section.split("\n## ").next().unwrap();
    let actual = section.lines().filter(|line| line.starts_with("| `"));
    let actual = actual.map(str::to_owned).collect::<BTreeSet<_>>();
    let expected = expected_rows(schema, definition)
        .into_iter()
        .collect::<BTreeSet<_>>();
    assert_eq!(actual, expected, "{definition}");
}

#[test]
fn service_files_page_lists_every_field() {
    let page = include_str!("../../../docs/service-files.md");
    for definition in ["Service", "Route", "Client"] {
        assert_section_matches(page, RECORD_SCHEMA, definition);
    }
}

#[test]
fn settings_page_lists_every_field() {
    let page = include_str!("../../../docs/settings.md");
    let definitions = [
        "Common",
        "Entry",
        "Sidecar",
        "Decision",
        "Admission",
        "Endpoint",
    ];
    for definition in definitions {
        assert_section_matches(page, SETTING_SCHEMA, definition);
    }
}

#[test]
fn known_fields_match_the_schema() {
    let schema = serde_json::from_str::<Value>(RECORD_SCHEMA).unwrap();
    let fields = schema["definitions"]["Service"]["properties"]
        .as_object()
        .unwrap();
    let fields = fields.keys().map(String::as_str).collect::<BTreeSet<_>>();
    assert_eq!(fields, service::FIELDS.iter().copied().collect());
}
