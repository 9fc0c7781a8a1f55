//! The pages name what the programs answer, and files, modules and tests that are there.

use std::path::{Path, PathBuf};

fn sources(folder: &Path, found: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()) {
        match entry.extension() {
            None => sources(&entry, found),
            Some(kind) if kind == "rs" => found.push(std::fs::read_to_string(&entry).unwrap()),
            Some(_) => (),
        }
    }
}

#[test]
fn every_answer_of_a_gateways_own_is_on_the_page_of_errors() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/operators/errors.md")).unwrap();
    let mut texts = Vec::new();
    sources(&root.join("crates/edge/src"), &mut texts);
    let mut count = 0;
    for text in &texts {
        let text = text.split("#[cfg(test)]").next().unwrap();
        let calls = ["LocalReply::new(", "LocalReply::refusal("]
            .map(|call| text.split(call).skip(1).collect::<Vec<_>>());
        for call in calls.concat() {
            // Status and text; calls that hand on a variable have neither.
            let Some((status, rest)) = call.split_once(", \"") else { continue };
            let (Ok(status), Some((error, _))) = (status.parse::<u16>(), rest.split_once('"')) else {
                continue;
            };
            count += 1;
            let row = page.lines().find(|line| line.contains(&format!("`{error}`")));
            let row = row.unwrap_or_else(|| panic!("{status} {error:?} is not on the page"));
            assert!(row.starts_with(&format!("| {status} |")), "{status} {error:?}: {row}");
        }
    }
    assert!(count >= 20, "only {count} were found: are they still written so?");
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The pages that name places in the code, each with its path below the root.
fn pages() -> Vec<(String, String)> {
    let mut paths = vec!["ARCHITECTURE.md".to_string()];
    for folder in ["docs/design", "docs/operators", "docs/incidents"] {
        let entries = std::fs::read_dir(root().join(folder)).unwrap().map(|entry| entry.unwrap());
        paths.extend(entries.map(|entry| format!("{folder}/{}", entry.file_name().to_str().unwrap())));
    }
    paths.sort();
    let text = |path: &String| std::fs::read_to_string(root().join(path)).unwrap();
    paths.iter().map(|path| (path.clone(), text(path))).collect()
}

/// What stands between backquotes in a line.
fn quoted(line: &str) -> impl Iterator<Item = &str> {
    line.split('`').skip(1).step_by(2)
}

/// The file or folder that a word names, below the root: `crates/net/src/link.rs`, or `net/src/link.rs` without
/// `crates/`; `None`: it names none.
fn path_named(word: &str) -> Option<String> {
    let plain = |letter: char| letter.is_alphanumeric() || "/_-.".contains(letter);
    if !word.chars().all(plain) {
        return None;
    }
    if word.starts_with("crates/") {
        return Some(word.to_string());
    }
    let mut parts = word.split('/');
    let below_crate = parts.next().is_some() && matches!(parts.next(), Some("src" | "tests" | "benches"));
    (below_crate && word.ends_with(".rs")).then(|| format!("crates/{word}"))
}

/// The file of the module that a word names by `crate::module`; `None`: it names no module of these crates.
fn module_named(word: &str) -> Option<[String; 2]> {
    let mut parts = word.split("::");
    let (owner, module) = (parts.next()?, parts.next()?);
    let source = format!("crates/{owner}/src");
    let lower =
        module.chars().all(|letter| letter.is_lowercase() || letter.is_ascii_digit() || letter == '_');
    let of_ours = !owner.is_empty() && lower && root().join(&source).is_dir();
    of_ours.then(|| [format!("{source}/{module}.rs"), format!("{source}/{module}")])
}

/// The word names a function by `crate::function`, and the crate has one of this name.
fn names_a_function(word: &str) -> bool {
    let Some((owner, item)) = word.split_once("::") else { return false };
    let mut texts = Vec::new();
    sources(&root().join(format!("crates/{owner}/src")), &mut texts);
    let head = format!("fn {}(", item.trim_end_matches("()"));
    texts.iter().any(|text| text.contains(&head))
}

#[test]
fn every_file_and_module_that_a_page_names_exists() {
    let (mut stale, mut count) = (Vec::new(), 0);
    for (page, text) in pages() {
        for (number, line) in text.lines().enumerate() {
            for word in quoted(line) {
                let files = match (path_named(word), module_named(word)) {
                    (Some(path), _) => vec![path],
                    (None, Some(files)) => files.to_vec(),
                    (None, None) => continue,
                };
                count += 1;
                if !files.iter().any(|file| root().join(file).exists()) && !names_a_function(word) {
                    stale.push(format!("{page}:{}: `{word}`", number + 1));
                }
            }
        }
    }
    assert!(stale.is_empty(), "these name nothing: {stale:#?}");
    assert!(count >= 60, "only {count} were found: are they still written so?");
}

/// A row of a table of tests: their names, and the file that has them.
fn test_row(line: &str) -> Option<(Vec<&str>, &str)> {
    let mut cells = line.trim().trim_matches('|').split('|').skip(1);
    let (tests, file) = (cells.next()?, cells.next()?);
    let file = quoted(file).next().filter(|file| file.ends_with(".rs"))?;
    Some((quoted(tests).collect(), file))
}

/// A source file has a test function of this name.
fn has_test(text: &str, name: &str) -> bool {
    let head = format!("fn {name}(");
    text.split("#[test]").skip(1).any(|after| after.lines().take(4).any(|line| line.contains(&head)))
}

#[test]
fn every_test_in_the_tables_of_the_agreement_page_exists() {
    let page = std::fs::read_to_string(root().join("docs/design/agreement.md")).unwrap();
    let (mut stale, mut count) = (Vec::new(), 0);
    for (tests, file) in page.lines().filter_map(test_row) {
        let path = path_named(file).unwrap_or_else(|| panic!("`{file}` is no path of a crate"));
        let text = std::fs::read_to_string(root().join(&path)).unwrap_or_default();
        for name in tests {
            count += 1;
            if !has_test(&text, name) {
                stale.push(format!("`{name}` in `{file}`"));
            }
        }
    }
    assert!(stale.is_empty(), "these are not there: {stale:#?}");
    assert!(count >= 45, "only {count} were found: is the table still written so?");
}

/// Modules and programs in the first cell of a table's row, each by the places where it may be: "`edge`: `link`, `seek`"
/// names two modules of `edge`.
fn modules_of_row(line: &str) -> Vec<[String; 3]> {
    let cell = line.trim().strip_prefix('|').and_then(|row| row.split('|').next()).unwrap_or_default();
    let parts: Vec<&str> = cell.split('`').collect();
    let (mut owner, mut modules) = (None, Vec::new());
    for pair in parts[1..].chunks_exact(2) {
        let [word, after] = pair else { continue };
        match owner {
            _ if after.starts_with(':') => owner = Some(*word),
            Some(owner) => {
                let owner = owner.trim_start_matches("crates/");
                let source = format!("crates/{owner}/src");
                let name = word.trim_end_matches('/');
                modules.push([
                    format!("{source}/{name}.rs"),
                    format!("{source}/{name}"),
                    format!("{source}/bin/{name}.rs"),
                ]);
            }
            // Paths without a crate are the present gateway's.
            None if word.ends_with(".rs") => modules.push([
                format!("crates/gateway/src/{word}"),
                format!("crates/gateway/{word}"),
                format!("crates/{word}"),
            ]),
            None => (),
        }
    }
    modules
}

#[test]
fn every_module_in_the_tables_of_the_architecture_page_exists() {
    let page = std::fs::read_to_string(root().join("ARCHITECTURE.md")).unwrap();
    let named: Vec<[String; 3]> = page.lines().flat_map(modules_of_row).collect();
    let there = |files: &&[String; 3]| files.iter().any(|file| root().join(file).exists());
    let stale: Vec<&[String; 3]> = named.iter().filter(|files| !there(files)).collect();
    assert!(stale.is_empty(), "these are not there: {stale:#?}");
    assert!(named.len() >= 30, "only {} were found: are the tables still written so?", named.len());
}

#[test]
fn every_crate_is_in_a_table_of_the_architecture_page() {
    let page = std::fs::read_to_string(root().join("ARCHITECTURE.md")).unwrap();
    let first_cell = |line: &str| line.strip_prefix('|')?.split('|').next().map(str::to_string);
    let cells: Vec<String> = page.lines().filter_map(first_cell).collect();
    let words: Vec<&str> = cells.iter().flat_map(|cell| quoted(cell)).collect();
    let crates = std::fs::read_dir(root().join("crates")).unwrap().map(|entry| entry.unwrap().file_name());
    let missing: Vec<String> = crates
        .map(|name| name.into_string().unwrap())
        // The present gateway's files are named without a crate.
        .filter(|name| name != "gateway")
        .filter(|name| !words.iter().any(|word| word.trim_start_matches("crates/") == name))
        .collect();
    assert!(missing.is_empty(), "no row is about {missing:?}");
}
