//! Gateways as processes over stand-ins and a faulty network, a timeline of faults, and what came of it. A seed gives
//! one timeline; what the processes make of it is theirs.
//!
//! - `timeline`, `storm`: what is done and when
//! - `cluster`, `documents`: the processes and what they start with
//! - `acts`: carrying out a timeline
//! - `looks`, `outcome`, `report`: what came of it

mod acts;
mod cluster;
mod documents;
mod looks;
mod outcome;
mod report;
mod storm;
mod timeline;

pub use looks::status;
pub use report::{Look, Report};
pub use timeline::{Act, Step, Timeline, QUIET_MS};

use cluster::Cluster;
use looks::look;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Plays a timeline on a program. `stop` ends it early; every process that was started ends with it.
///
/// # Errors
/// The timeline names a party that is not there, or a gateway does not start.
pub fn play(
    program: &str,
    line: &Timeline,
    stop: &AtomicBool,
    mut progress: impl FnMut(&str),
) -> Result<Report, String> {
    if !(2..=64).contains(&line.gateways) || !(1..=64).contains(&line.regions) {
        return Err("a timeline has 2 to 64 gateways and 1 to 64 regions".into());
    }
    if line.length_ms > 900_000 || line.length_ms < QUIET_MS {
        return Err(format!("length_ms: {} to 900000 is wanted", QUIET_MS));
    }
    let mut cluster = Cluster::start(program, line)?;
    let looks: Arc<Mutex<Vec<Look>>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let looking = line.view.then(|| {
        let (doors, looks, over) = (cluster.doors.clone(), looks.clone(), over.clone());
        let began = cluster.began;
        std::thread::spawn(move || look(&doors, &looks, &over, began))
    });
    let load = cluster.load();
    for step in &line.steps {
        let due = Duration::from_millis(step.at_ms);
        while cluster.began.elapsed() < due && !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5).min(due.saturating_sub(cluster.began.elapsed())));
        }
        if stop.load(Ordering::Relaxed) {
            break;
        }
        progress(&format!("{:>7} ms  {:?}", step.at_ms, step.act));
        cluster.act(&step.act)?;
        cluster.done.push(Step { at_ms: cluster.now() as u64, act: step.act.clone() });
    }
    let quiet = cluster.now();
    while cluster.began.elapsed() < Duration::from_millis(line.length_ms) && !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
    }
    let answers = load.stop();
    over.store(true, Ordering::Relaxed);
    if let Some(looking) = looking {
        let _ = looking.join();
    }
    let looks = std::mem::take(&mut *looks.lock().expect("looks"));
    Ok(cluster.report(answers, looks, quiet))
}
