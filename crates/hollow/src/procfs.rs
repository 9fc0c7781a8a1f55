//! What the system tells of a process: processor time, memory, wakes. Parsers of `/proc`, and the difference of two looks.

use std::fs;
use std::io;
use std::time::Instant;

/// Ticks a second of the times in `/proc/PID/stat`: a fixed part of Linux's interface.
const TICKS_PER_S: f64 = 100.0;

/// A look at a process.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Look {
    /// Processor time since its start, user and system, s.
    pub processor_s: f64,
    /// Resident memory, KiB.
    pub resident_kib: u64,
    /// Most resident memory so far, KiB.
    pub peak_kib: u64,
    /// Context switches of all its threads: each is a wake or a turn that ended.
    pub wakes: u64,
}

/// What a process spent between two looks.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Spent {
    /// Part of a core, 1: all of it.
    pub core: f64,
    /// Wakes a second.
    pub wakes_per_s: f64,
    /// Resident memory at the end, MiB.
    pub resident_mib: f64,
    /// Most resident memory up to the end, MiB.
    pub peak_mib: f64,
}

impl Spent {
    /// Between `before` and `after`, `seconds` apart.
    pub fn between(before: &Look, after: &Look, seconds: f64) -> Spent {
        let seconds = seconds.max(f64::MIN_POSITIVE);
        Spent {
            core: (after.processor_s - before.processor_s).max(0.0) / seconds,
            wakes_per_s: after.wakes.saturating_sub(before.wakes) as f64 / seconds,
            resident_mib: after.resident_kib as f64 / 1024.0,
            peak_mib: after.peak_kib as f64 / 1024.0,
        }
    }
}

/// Processor time out of `/proc/PID/stat`, s. The program's name stands in brackets and may hold blanks and brackets.
pub fn processor_s(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(')')?;
    // The state is the first after the name and the third of all; utime and stime are the 14th and 15th.
    let mut fields = fields.split_ascii_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) as f64 / TICKS_PER_S)
}

/// A figure of `/proc/PID/status` by its name, without its unit.
pub fn figure(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
    line.split_ascii_whitespace().next()?.parse().ok()
}

/// Context switches, wanted or not, out of the status of one thread.
pub fn switches(status: &str) -> Option<u64> {
    Some(figure(status, "voluntary_ctxt_switches")? + figure(status, "nonvoluntary_ctxt_switches")?)
}

/// Looks at a process now.
///
/// # Errors
/// It has ended, or `/proc` isn't as expected.
pub fn look(process: u32) -> io::Result<(Instant, Look)> {
    let odd = || io::Error::new(io::ErrorKind::InvalidData, format!("/proc/{process} isn't as expected"));
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let mut wakes = 0;
    for thread in fs::read_dir(format!("/proc/{process}/task"))? {
        // A thread may end between the list and the look.
        if let Ok(status) = fs::read_to_string(thread?.path().join("status")) {
            wakes += switches(&status).ok_or_else(odd)?;
        }
    }
    let look = Look {
        processor_s: processor_s(&stat).ok_or_else(odd)?,
        resident_kib: figure(&status, "VmRSS").ok_or_else(odd)?,
        peak_kib: figure(&status, "VmHWM").ok_or_else(odd)?,
        wakes,
    };
    Ok((Instant::now(), look))
}
