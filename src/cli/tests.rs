//! The pages that tables are printed to, against the code.

use super::tables;

/// The rows of a page's table must be those of the code.
fn page_holds(page: &str, table: &str) {
    for line in table.lines() {
        assert!(page.contains(line), "the page lacks: {line}");
    }
    let rows = |text: &str| text.lines().filter(|line| line.starts_with("| ")).count();
    assert_eq!(rows(page), rows(table), "the page has rows that the code has not");
}

#[test]
fn codes_page_matches() {
    page_holds(include_str!("../../docs/CODES.md"), &tables::codes(false));
}

#[test]
fn events_page_matches() {
    page_holds(include_str!("../../docs/EVENTS.md"), &tables::events(false));
}
