//! How long a member that was down takes to catch up, and with how many bytes, while a change is made every 100 ms.
//!
//! `cargo run --release -p nickeljunction-replica --example catch_up` prints one line per case, on a simulated clock: it
//! counts the time of links (2 ms one way) and disks (3 ms per write), not of processors. It uses the cluster of
//! `tests/catch_up.rs`.

#[path = "../tests/cluster/mod.rs"]
mod cluster;

use cluster::Cluster;

/// Rate of a slow link, bytes per ms: 2 Mbit/s.
const SLOW_LINK: usize = 250;

fn main() {
    println!("| routes | away for, changes | line | by | caught up after, ms | bytes to it |");
    println!("|---|---|---|---|---|---|");
    for routes in [20, 1_000, 3_300] {
        for changes in [1, 10, 100, 1_000] {
            for slow_link in [false, true] {
                let mut cluster = Cluster::new(1, routes);
                let node = cluster.followers()[0];
                cluster.kill(node);
                cluster.changes(changes);
                cluster.slow_link = slow_link.then_some((node, SLOW_LINK));
                let line = if slow_link { "2 Mbit/s" } else { "no bound" };
                match cluster.restart_and_catch_up(node, 100, 60_000) {
                    Some(catch_up) => {
                        let by = if catch_up.by_snapshot { "snapshot" } else { "log" };
                        println!(
                            "| {routes} | {changes} | {line} | {by} | {} | {} |",
                            catch_up.ms, catch_up.bytes
                        );
                    }
                    None => println!("| {routes} | {changes} | {line} | - | not within 60 s | - |"),
                }
            }
        }
    }
}
