//! Limits on the size and line width of the decision module: the files listed as its logic in `deploy/balancer.toml`.

use std::path::{Path, PathBuf};

const MAX_LINES: usize = 1010;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Path and text of each file listed as decision logic, in the order listed.
fn module_files() -> Vec<(String, String)> {
    let read = |path: &str| std::fs::read_to_string(root().join(path)).expect(path);
    let deployed = read("deploy/balancer.toml");
    let list = deployed.split("\npolicy = [").nth(1).expect("a list of files").split(']').next();
    let paths = list.into_iter().flat_map(|list| list.split('"').skip(1).step_by(2));
    paths.map(|path| (path.to_string(), read(path))).collect()
}

#[test]
fn module_stays_within_its_line_limit() {
    let lines = module_files()
        .iter()
        .flat_map(|(_, text)| text.lines())
        .filter(|line| !line.trim().is_empty())
        .count();
    assert!(lines <= MAX_LINES, "{lines} non-blank lines, {MAX_LINES} at most");
}

#[test]
fn all_files_of_the_module_are_listed() {
    let directory = root().join("crates/decide/src/decide");
    let mut present: Vec<String> = std::fs::read_dir(directory)
        .expect("the module's directory")
        .map(|file| {
            format!("crates/decide/src/decide/{}", file.expect("a file").file_name().to_string_lossy())
        })
        .collect();
    let mut listed: Vec<String> = module_files().into_iter().map(|(path, _)| path).collect();
    present.sort();
    listed.sort();
    assert_eq!(present, listed);
}

#[test]
fn lines_stay_within_the_width_limit() {
    for (path, text) in module_files() {
        for (index, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{path}: line {} is too wide", index + 1);
        }
    }
}

#[test]
fn first_lines_name_the_interface() {
    let (_, text) = &module_files()[0];
    assert!(text.lines().take(3).any(|line| line.contains("src/api.rs")));
}
