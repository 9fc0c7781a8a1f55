//! How long a member that was away takes to catch up, and with how many bytes, while a change comes every 100 ms.
//!
//! `cargo run --release -p nickeljunction-replica --example catch_up` prints one line a case, on a fake clock: time is that of
//! lines (2 ms a way) and disks (3 ms a write), not of processors. By the worlds of `tests/catch_up.rs`.

#[path = "../tests/cluster/mod.rs"]
mod cluster;

use cluster::Cluster;

/// Bytes a ms of a thin line: 2 Mbit/s.
const THIN: usize = 250;

fn main() {
    println!("| routes | away for, changes | line | by | caught up after, ms | bytes to it |");
    println!("|---|---|---|---|---|---|");
    for routes in [20, 1_000, 3_300] {
        for changes in [1, 10, 100, 1_000] {
            for thin in [false, true] {
                let mut world = Cluster::new(1, routes);
                let node = world.followers()[0];
                world.kill(node);
                world.changes(changes);
                world.thin = thin.then_some((node, THIN));
                let line = if thin { "2 Mbit/s" } else { "no bound" };
                match world.come_back(node, 100, 60_000) {
                    Some(caught) => {
                        let by = if caught.by_snapshot { "snapshot" } else { "log" };
                        println!(
                            "| {routes} | {changes} | {line} | {by} | {} | {} |",
                            caught.ms, caught.bytes
                        );
                    }
                    None => println!("| {routes} | {changes} | {line} | - | not within 60 s | - |"),
                }
            }
        }
    }
}
