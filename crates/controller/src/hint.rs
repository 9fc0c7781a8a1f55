//! The register as last known here, on the disk: after all processes of the core have died at once their successors would
//! else know no server before its next beat, and requests would be refused for a whole `heartbeat_s`.
//!
//! It is a hint, synced to outlive a short loss of power, and only used by a process that starts on the same machine
//! shortly after. What it tells may be that much out of date, as any copy that a successor starts from; beats put it right.

use nickeljunction_messages::WatchAnswer;
use nickeljunction_registry::WatchCache;
use nickeljunction_replica::SAVED_CACHE_MAX_AGE_MS;
use serde::{Deserialize, Serialize};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Longest hint that is read, bytes.
const MOST: u64 = 16 << 20;

#[derive(Serialize, Deserialize)]
struct Stored {
    /// When it was written.
    #[serde(flatten)]
    at: Moment,
    catalog: WatchAnswer,
}

/// A moment by both of a machine's clocks, ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moment {
    /// The steady clock: the same for all processes until the machine is started anew.
    at_ms: u64,
    /// The time of day, which may be wrong and may jump: a hint that passes for fresh by it alone costs some tries at
    /// servers that are gone, no more.
    #[serde(default)]
    day_ms: u64,
}

impl Moment {
    /// Now.
    pub fn now() -> Moment {
        use rustix::time::ClockId::{Monotonic, Realtime};
        let [at_ms, day_ms] = [Monotonic, Realtime].map(|clock| {
            let now = rustix::time::clock_gettime(clock);
            now.tv_sec.max(0) as u64 * 1_000 + now.tv_nsec.max(0) as u64 / 1_000_000
        });
        Moment { at_ms, day_ms }
    }

    /// The other moment was at most `ms` before this one, by one of the clocks.
    fn follows(self, other: Moment, ms: u64) -> bool {
        let within = |now: u64, then: u64| now.checked_sub(then).is_some_and(|age| age <= ms);
        within(self.at_ms, other.at_ms) || within(self.day_ms, other.day_ms)
    }
}

/// A hint as it stands on the disk; `None`: there is nothing worth writing.
pub fn text(copy: &WatchCache, at: Moment) -> Option<Vec<u8>> {
    if !copy.is_complete() {
        return None;
    }
    serde_json::to_vec(&Stored { at, catalog: copy.to_answer() }).ok()
}

/// The copy that a hint makes; `None`: it is unreadable, or not of these last seconds.
pub fn read(text: &[u8], now: Moment) -> Option<WatchCache> {
    let stored: Stored = serde_json::from_slice(text).ok()?;
    if !now.follows(stored.at, SAVED_CACHE_MAX_AGE_MS) {
        return None;
    }
    let mut copy = WatchCache::new();
    copy.apply(stored.catalog).ok()?;
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
    let mut file = std::fs::File::create(&next)?;
    file.write_all(text)?;
    file.sync_all()?;
    std::fs::rename(&next, place)?;
    // The new name lasts with its folder.
    place.parent().map_or(Ok(()), |folder| std::fs::File::open(folder)?.sync_all())
}

/// Reads the hint of a data folder, if there is a good one.
pub fn load(data: &Path) -> Option<WatchCache> {
    let place = place(data);
    if std::fs::metadata(&place).ok()?.len() > MOST {
        return None;
    }
    read(&std::fs::read(&place).ok()?, Moment::now())
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickeljunction_messages::{ServerInfo, ServerState};

    fn copy() -> WatchCache {
        let line = ServerInfo {
            id: "i-1".into(),
            backend: "b".into(),
            address: "10.0.0.1:80".into(),
            zone: "z".into(),
            slots: 2,
            state: ServerState::InService,
            cold: None,
        };
        let mut copy = WatchCache::new();
        let answer = WatchAnswer {
            term: 3,
            seq: 9,
            is_full_list: true,
            servers: vec![line],
            ..WatchAnswer::default()
        };
        copy.apply(answer).expect("the first");
        copy
    }

    fn at(at_ms: u64, day_ms: u64) -> Moment {
        Moment { at_ms, day_ms }
    }

    #[test]
    fn a_hint_of_these_seconds_comes_back_and_any_other_does_not() {
        let text = text(&copy(), at(50_000, 900_000)).expect("a whole copy");
        let back = read(&text, at(51_500, 901_500)).expect("fresh");
        assert_eq!((back.term(), back.seq(), back.is_complete()), (3, 9, true));
        assert!(back.catalog().servers.contains_key("i-1"));
        assert!(read(&text, at(51_500, 100)).is_some(), "the time of day jumped");
        assert!(read(&text, at(700, 903_000)).is_some(), "another start of the machine, seconds later");
        assert!(read(&text, at(58_001, 908_001)).is_none(), "too old");
        assert!(read(&text, at(700, 908_001)).is_none(), "another start of the machine, too late");
        assert!(read(&text, at(49_999, 899_999)).is_none(), "before it was written");
        for torn in 0..text.len() {
            assert!(read(&text[..torn], at(51_500, 901_500)).is_none(), "torn at {torn}");
        }
    }

    #[test]
    fn a_copy_that_isnt_whole_is_no_hint() {
        assert!(text(&WatchCache::new(), at(1, 1)).is_none());
    }
}
