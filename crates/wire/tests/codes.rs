//! Checks that docs/result-codes.md matches the code.

use cranberryridge_wire::code::Code;

#[test]
fn result_codes_page_lists_every_code() {
    let page = include_str!("../../../docs/result-codes.md");
    for code in Code::ALL {
        let (number, slug, status) = (code.number(), code.slug(), code.status());
        let row = format!("| {number} | `{slug}` | {status} | {} |", code.text());
        assert!(page.contains(&row), "docs/result-codes.md lacks: {row}");
    }
    let rows = page.lines().filter(|line| {
        line.starts_with("| 1") || line.starts_with("| 2") || line.starts_with("| 3")
    });
    assert_eq!(rows.count(), Code::ALL.len());
}
