//! The size and width limits of the decision module.

const MODULE: &str = include_str!("../src/decide.rs");

#[test]
fn the_module_can_be_printed_and_filed() {
    let lines = MODULE.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1010, "{lines} non-blank lines, 1,010 at most");
}

#[test]
fn no_line_is_wider_than_a_page() {
    for (at, line) in MODULE.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too wide", at + 1);
    }
}

#[test]
fn the_interface_is_named_at_the_top() {
    assert!(MODULE.lines().take(3).any(|line| line.contains("src/api.rs")));
}
