//! The register as last known here, on the disk: after all processes of the core have died at once their successors would
//! else know no server before its next beat, and requests would be refused for a whole `heartbeat_s`.
//!
//! It is a hint: written without a sync, and only used by a process that starts on the same machine shortly after. What it
//! tells may be that much out of date, as any copy that a successor starts from; beats put it right.

use nickeljunction_berths::Copy;
use nickeljunction_signals::WatchAnswer;
use nickeljunction_wheelhouse::HINT_GOOD_MS;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// Longest hint that is read, bytes.
const MOST: u64 = 16 << 20;

#[derive(Serialize, Deserialize)]
struct Stored {
    /// By the machine's steady clock, ms; it goes on while the machine does.
    at_ms: u64,
    chart: WatchAnswer,
}

/// The machine's steady clock, ms: the same for all of its processes until it is started anew.
pub fn steady_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec.max(0) as u64 * 1_000 + now.tv_nsec.max(0) as u64 / 1_000_000
}

/// A hint as it stands on the disk; `None`: there is nothing worth writing.
pub fn text(copy: &Copy, at_ms: u64) -> Option<Vec<u8>> {
    if !copy.complete() {
        return None;
    }
    serde_json::to_vec(&Stored { at_ms, chart: copy.whole() }).ok()
}

/// The copy that a hint makes; `None`: it is unreadable, or not of these last seconds.
pub fn read(text: &[u8], now_ms: u64) -> Option<Copy> {
    let stored: Stored = serde_json::from_slice(text).ok()?;
    // Another start of the machine has another clock.
    if now_ms.checked_sub(stored.at_ms)? > HINT_GOOD_MS {
        return None;
    }
    let mut copy = Copy::new();
    copy.apply(stored.chart).ok()?;
    Some(copy)
}

/// Where it stands in a data folder.
pub fn place(data: &Path) -> PathBuf {
    data.join("berths.json")
}

/// Writes a hint in the place of the one before.
///
/// # Errors
/// The disk refuses; the one before may stand or not.
pub fn write(place: &Path, text: &[u8]) -> std::io::Result<()> {
    let next = place.with_extension("next");
    std::fs::write(&next, text)?;
    std::fs::rename(&next, place)
}

/// Reads the hint of a data folder, if there is a good one.
pub fn load(data: &Path) -> Option<Copy> {
    let place = place(data);
    if std::fs::metadata(&place).ok()?.len() > MOST {
        return None;
    }
    read(&std::fs::read(&place).ok()?, steady_ms())
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickeljunction_signals::{ServerLine, ServerState};

    fn copy() -> Copy {
        let line = ServerLine {
            id: "i-1".into(),
            backend: "b".into(),
            address: "10.0.0.1:80".into(),
            zone: "z".into(),
            slots: 2,
            state: ServerState::InService,
            cold: None,
        };
        let mut copy = Copy::new();
        let answer =
            WatchAnswer { term: 3, seq: 9, whole: true, servers: vec![line], ..WatchAnswer::default() };
        copy.apply(answer).expect("the first");
        copy
    }

    #[test]
    fn a_hint_of_these_seconds_comes_back_and_any_other_does_not() {
        let text = text(&copy(), 50_000).expect("a whole copy");
        let back = read(&text, 51_500).expect("fresh");
        assert_eq!((back.term(), back.seq(), back.complete()), (3, 9, true));
        assert!(back.chart().servers.contains_key("i-1"));
        assert!(read(&text, 58_001).is_none(), "too old");
        assert!(read(&text, 49_999).is_none(), "of another start of the machine");
        for torn in 0..text.len() {
            assert!(read(&text[..torn], 51_500).is_none(), "torn at {torn}");
        }
    }

    #[test]
    fn a_copy_that_isnt_whole_is_no_hint() {
        assert!(text(&Copy::new(), 1).is_none());
    }
}
