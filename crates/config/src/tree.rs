//! The text of a document as a tree whose nodes know where they stand. Bounded before it is parsed.

use crate::problem::Problem;
use jsonc_parser::ast;
use jsonc_parser::{parse_to_ast, CollectOptions, CommentCollectionStrategy, ParseOptions};
use std::collections::BTreeSet;

/// Longest text of one file, bytes: a document of a thousand routes has some 100 KiB.
pub(crate) const MOST_BYTES: usize = 4 * 1024 * 1024;
/// Deepest nesting: the parser calls itself for each level, and a document needs six.
const MOST_DEPTH: usize = 64;

/// A value and its place.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    /// Byte at which it begins.
    pub(crate) at: usize,
    pub(crate) kind: Kind,
}

#[derive(Debug, Clone)]
pub(crate) enum Kind {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Node>),
    /// Name, place of the name, value.
    Map(Vec<(String, usize, Node)>),
}

impl Node {
    /// What it is, in an operator's words; texts and numbers with their value, cut short.
    pub(crate) fn words(&self) -> String {
        match &self.kind {
            Kind::Null => "null".into(),
            Kind::Bool(truth) => truth.to_string(),
            Kind::Number(number) => number.to_string(),
            Kind::Text(text) if text.chars().count() > 40 => {
                format!("the text '{}...'", text.chars().take(40).collect::<String>())
            }
            Kind::Text(text) => format!("the text '{text}'"),
            Kind::List(items) => format!("a list of {}", items.len()),
            Kind::Map(_) => "an object".into(),
        }
    }

    /// The same without places and without comments (keys that begin with `//`).
    pub(crate) fn value(&self) -> serde_json::Value {
        use serde_json::Value;
        match &self.kind {
            Kind::Null => Value::Null,
            Kind::Bool(truth) => Value::Bool(*truth),
            // Whole numbers stay whole, so that whole-number fields can take them.
            Kind::Number(number) if number.fract() == 0.0 && number.abs() < 9e15 => {
                Value::from(*number as i64)
            }
            Kind::Number(number) => Value::from(*number),
            Kind::Text(text) => Value::String(text.clone()),
            Kind::List(items) => Value::Array(items.iter().map(Node::value).collect()),
            Kind::Map(entries) => {
                let kept = entries.iter().filter(|(name, ..)| !name.starts_with("//"));
                Value::Object(kept.map(|(name, _, node)| (name.clone(), node.value())).collect())
            }
        }
    }
}

/// Line and column, both from 1, of a byte of the text.
pub(crate) fn place(text: &str, at: usize) -> (usize, usize) {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    let before = &text[..at];
    let line = before.bytes().filter(|byte| *byte == b'\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
    (line, column)
}

fn problem(file: &str, text: &str, at: usize, found: String, wanted: &str) -> Problem {
    let (line, column) = place(text, at);
    Problem { line, column, ..Problem::of_file(file, found, wanted) }
}

/// Where nesting first goes beyond the bound. Texts are skipped: braces in them nest nothing.
fn too_deep(text: &str) -> Option<usize> {
    let (mut depth, mut in_text, mut escaped) = (0usize, false, false);
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_text => escaped = true,
            b'"' => in_text = !in_text,
            b'{' | b'[' if !in_text => {
                depth += 1;
                if depth > MOST_DEPTH {
                    return Some(at);
                }
            }
            b'}' | b']' if !in_text => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    None
}

/// Parses strict JSON. A key that is there twice in one object is a problem: readers differ on which holds.
pub(crate) fn parse(file: &str, text: &str) -> Result<Node, Vec<Problem>> {
    if text.len() > MOST_BYTES {
        let found = format!("{} bytes", text.len());
        return Err(vec![Problem::of_file(file, found, format!("at most {MOST_BYTES} bytes"))]);
    }
    if let Some(at) = too_deep(text) {
        let wanted = format!("at most {MOST_DEPTH} levels");
        return Err(vec![problem(file, text, at, "nesting beyond that".into(), &wanted)]);
    }
    let collect = CollectOptions { comments: CommentCollectionStrategy::Off, tokens: false };
    // serde_json is the judge of what JSON is; the tree's parser would take more, so all of that is off.
    if let Err(why) = serde_json::from_str::<serde::de::IgnoredAny>(text) {
        let said = why.to_string();
        let said = said.split(" at line").next().unwrap_or_default();
        let found = format!("no JSON ({said})");
        let (line, column) = (why.line(), why.column());
        return Err(vec![Problem { line, column, ..Problem::of_file(file, found, "JSON") }]);
    }
    let strict = ParseOptions {
        allow_comments: false,
        allow_loose_object_property_names: false,
        allow_trailing_commas: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let parsed = match parse_to_ast(text, &collect, &strict) {
        Ok(parsed) => parsed.value,
        Err(why) => {
            let found = format!("no JSON ({})", why.kind());
            return Err(vec![problem(file, text, why.range().start, found, "JSON")]);
        }
    };
    let Some(value) = parsed else {
        return Err(vec![Problem::of_file(file, "an empty file", "a JSON object")]);
    };
    let mut problems = Vec::new();
    let node = convert(file, text, &value, &mut problems);
    if problems.is_empty() {
        Ok(node)
    } else {
        Err(problems)
    }
}

fn convert(file: &str, text: &str, value: &ast::Value<'_>, problems: &mut Vec<Problem>) -> Node {
    let (at, kind) = match value {
        ast::Value::StringLit(literal) => (literal.range.start, Kind::Text(literal.value.to_string())),
        ast::Value::NumberLit(literal) => {
            let number = literal.value.parse::<f64>().ok().filter(|number| number.is_finite());
            if number.is_none() {
                let found = format!("the number {}", literal.value);
                problems.push(problem(file, text, literal.range.start, found, "a finite number"));
            }
            (literal.range.start, Kind::Number(number.unwrap_or_default()))
        }
        ast::Value::BooleanLit(literal) => (literal.range.start, Kind::Bool(literal.value)),
        ast::Value::NullKeyword(literal) => (literal.range.start, Kind::Null),
        ast::Value::Array(array) => {
            let items = array.elements.iter().map(|item| convert(file, text, item, problems)).collect();
            (array.range.start, Kind::List(items))
        }
        ast::Value::Object(object) => {
            let (mut seen, mut entries) = (BTreeSet::new(), Vec::new());
            for entry in &object.properties {
                let name = entry.name.as_str().to_string();
                if !seen.insert(name.clone()) {
                    let found = format!("'{name}' a second time");
                    problems.push(problem(file, text, entry.range.start, found, "each key once"));
                }
                entries.push((name, entry.range.start, convert(file, text, &entry.value, problems)));
            }
            (object.range.start, Kind::Map(entries))
        }
    };
    Node { at, kind }
}
