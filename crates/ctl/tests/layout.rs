//! The layout of the workspace: what crates without I/O may reach, and how long a file may be.

use std::path::{Path, PathBuf};

/// Crates that take time, randomness and messages as arguments and return what is to be done.
const WITHOUT_IO: [&str; 14] = [
    "config",
    "consensus",
    "core",
    "decide",
    "fleet",
    "history",
    "messages",
    "operations",
    "pacing",
    "quota",
    "registry",
    "replica",
    "routing",
    "trace",
];

/// Dependencies that bring in sockets, disks, threads or a runtime.
const WITH_IO: [&str; 13] = [
    "nickeljunction-controller",
    "nickeljunction-ctl",
    "nickeljunction-edge",
    "nickeljunction-http",
    "nickeljunction-net",
    "nickeljunction-storage",
    "nickeljunction-store",
    "redb",
    "rustix",
    "sled",
    "socket2",
    "tokio",
    "tokio-util",
];

/// What such a crate's own code must not say either.
const CALLS: [&str; 9] = [
    "std::env",
    "std::fs",
    "std::net::Tcp",
    "std::net::Udp",
    "std::process",
    "std::thread",
    "Instant::now",
    "SystemTime::now",
    "thread_rng",
];

/// Modules that promise the same inside crates with I/O.
const MODULES_WITHOUT_IO: [&str; 9] = [
    "ctl/src/storm_demo/check/control.rs",
    "ctl/src/storm_demo/check/gateways.rs",
    "ctl/src/storm_demo/facts.rs",
    "ctl/src/storm_demo/schedule.rs",
    "edge/src/exchange_state.rs",
    "edge/src/lease.rs",
    "edge/src/leader_lookup.rs",
    "edge/src/watch.rs",
    "net/src/call_state.rs",
];

/// Longest source file, lines.
const MOST_LINES: usize = 800;

struct Source {
    path: PathBuf,
    text: String,
}

fn crates() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn sources(folder: &Path, found: &mut Vec<Source>) {
    for path in std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()) {
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            let text = std::fs::read_to_string(&path).unwrap();
            found.push(Source { path, text });
        }
    }
}

/// Names in the section `[dependencies]` of a manifest.
fn dependencies(manifest: &str) -> Vec<&str> {
    let section = manifest.split("\n[dependencies]\n").nth(1).unwrap_or_default();
    let section = section.split("\n[").next().unwrap_or_default();
    section
        .lines()
        .filter_map(|line| line.split([' ', '=', '.']).next())
        .filter(|name| !name.is_empty())
        .collect()
}

#[test]
fn a_crate_without_io_depends_on_nothing_that_brings_it_in() {
    let mut found = Vec::new();
    for name in WITHOUT_IO {
        let manifest = std::fs::read_to_string(crates().join(name).join("Cargo.toml")).unwrap();
        let names = dependencies(&manifest);
        let bad = names.iter().filter(|dependency| WITH_IO.contains(dependency));
        found.extend(bad.map(|dependency| format!("{name}: {dependency}")));
    }
    assert!(found.is_empty(), "{found:#?}");
}

/// The file belongs to a program that the crate has beside its library.
fn of_program(path: &Path) -> bool {
    path.components().any(|part| part.as_os_str() == "bin")
}

#[test]
fn a_crate_without_io_calls_no_clock_disk_or_socket() {
    let mut found = Vec::new();
    for name in WITHOUT_IO {
        let mut files = Vec::new();
        sources(&crates().join(name).join("src"), &mut files);
        for Source { path, text } in files.iter().filter(|file| !of_program(&file.path)) {
            let code = text.split("#[cfg(test)]").next().unwrap_or_default();
            let bad = CALLS.iter().filter(|call| code.contains(*call));
            found.extend(bad.map(|call| format!("{}: {call}", path.display())));
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn a_module_without_io_calls_no_clock_disk_or_socket() {
    let mut found = Vec::new();
    for module in MODULES_WITHOUT_IO {
        let text = std::fs::read_to_string(crates().join(module)).unwrap();
        let code = text.split("#[cfg(test)]").next().unwrap_or_default();
        let bad =
            CALLS.iter().chain(&["tokio::", "socket2::", "rustix::"]).filter(|call| code.contains(*call));
        found.extend(bad.map(|call| format!("{module}: {call}")));
    }
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn no_source_file_is_longer_than_eight_hundred_lines() {
    let mut files = Vec::new();
    sources(&crates(), &mut files);
    let long: Vec<&PathBuf> =
        files.iter().filter(|file| file.text.lines().count() > MOST_LINES).map(|file| &file.path).collect();
    assert!(long.is_empty(), "{long:#?}");
    assert!(files.len() > 200, "only {} files were read", files.len());
}
