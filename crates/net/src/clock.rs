//! The program's one clock: milliseconds that only advance, anchored once to Unix time.
//!
//! The anchor matters twice: `boot_ms` of a region then needs no conversion, and the window numbers in
//! the counter's names agree among gateways, which share nothing else. Stepping the system's clock later
//! does not move this one.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Parts of a millisecond that the clock tells.
const PARTS: f64 = 1024.0;

/// Milliseconds since 1970, read once, advanced by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_at_start: f64,
}

impl Clock {
    /// Reads the system's clock this once.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { start: Instant::now(), unix_at_start: unix.as_secs_f64() * 1000.0 }
    }

    /// Now, ms.
    pub fn now(&self) -> f64 {
        let now = self.unix_at_start + self.start.elapsed().as_secs_f64() * 1000.0;
        // To the 1024th: a trace tells times in these, and a replay must have the very same.
        (now * PARTS).floor() / PARTS
    }
}
