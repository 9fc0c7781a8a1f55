//! Losses of power, torn and full disks, growth. Seeds are in the messages of what fails; `SEEDS=count` plays that many.

use crate::stored_state::StoredState;
use crate::{FileLogStore, LogStore, MemoryLogStore, StorageError};
use nickeljunction_consensus::{Body, Entry, HardState, Member, Snapshot, Write};
use std::fs;
use std::path::Path;
use tempfile::TempDir;

pub(crate) fn seeds() -> std::ops::Range<u64> {
    0..std::env::var("SEEDS").map_or(12, |count| count.parse().unwrap())
}

pub(crate) fn temp() -> TempDir {
    TempDir::new().unwrap()
}

/// Makes writes as a member of the agreement does.
pub(crate) struct Writer {
    rng: fastrand::Rng,
    ticket: u64,
    pub(crate) model: Option<StoredState>,
}

impl Writer {
    pub(crate) fn new(seed: u64) -> Writer {
        // The number that a store draws is of the same luck: it is part of what is torn.
        fastrand::seed(seed);
        Writer { rng: fastrand::Rng::with_seed(seed), ticket: 0, model: None }
    }

    pub(crate) fn next(&mut self) -> Write {
        self.ticket += 1;
        let mut write = Write { ticket: self.ticket, ..Write::default() };
        let Some(kept) = &self.model else {
            write.me = Some(Member { id: 7, host: "10.0.0.1".to_owned() });
            write.hard = Some(HardState { term: 1, vote: None });
            return write;
        };
        let base = kept.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let mut last = kept.entries.last().map_or(base, |entry| entry.index);
        let mut hard = kept.hard;
        if self.rng.u8(..10) == 0 {
            hard = HardState { term: hard.term + 1, vote: self.rng.bool().then_some(7) };
            write.hard = Some(hard);
            if last > base && self.rng.bool() {
                write.truncate_from = Some(self.rng.u64(base + 1..=last));
                last = write.truncate_from.unwrap() - 1;
            }
        }
        for index in last + 1..=last + self.rng.u64(1..4) {
            let data = "x".repeat(self.rng.usize(..9_000));
            write.entries.push(Entry { index, term: hard.term, body: Body::Data(data) });
        }
        if last > base + 10 && self.rng.u8(..10) == 0 {
            let index = self.rng.u64(base + 1..=last);
            let term = kept.entries.iter().find(|entry| entry.index == index).unwrap().term;
            let state = "s".repeat(self.rng.usize(..150_000));
            write.snapshot = Some(Snapshot { index, term, members: Vec::new(), state });
        }
        write
    }

    pub(crate) fn done(&mut self, write: &Write) {
        self.model = Some(StoredState::after(self.model.take(), write).unwrap());
    }
}

pub(crate) fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for item in fs::read_dir(from).unwrap() {
        let path = item.unwrap().path();
        let to = to.join(path.file_name().unwrap());
        if path.is_dir() {
            copy(&path, &to);
        } else {
            fs::copy(&path, to).unwrap();
        }
    }
}

#[test]
fn what_was_saved_survives_the_loss_of_power_with_later_writes_torn() {
    for seed in seeds() {
        let (dir, shadow) = (temp(), temp());
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut writer = Writer::new(seed);
        let mut store = FileLogStore::open(dir.path()).unwrap();
        store.shadow(shadow.path());
        for _ in 0..60 {
            let write = writer.next();
            store.save(&write).unwrap();
            writer.done(&write);
            if rng.u8(..6) > 0 {
                continue;
            }
            // The next write reaches the files without a sync; of what it changed each sector is there or not.
            let lost = temp();
            copy(shadow.path(), lost.path());
            let next = writer.next();
            store.save_unsynced(&next);
            tear(&dir.path().join("store.1/log"), &lost.path().join("store.1/log"), &mut rng);
            let found = FileLogStore::open(lost.path()).unwrap().load().unwrap();
            let after = StoredState::after(writer.model.clone(), &next).ok();
            assert!(found == writer.model || found == after, "seed {seed}, write {}", write.ticket);
            // This one goes on as if it had failed.
            store.save(&next).unwrap();
            writer.done(&next);
        }
    }
}

/// Of the sectors in which `newer` differs from `older`, some get into `older`.
pub(crate) fn tear(newer: &Path, older: &Path, rng: &mut fastrand::Rng) {
    const SECTOR: usize = 512;
    let (newer, mut torn) = (fs::read(newer).unwrap(), fs::read(older).unwrap());
    let share = rng.f64();
    let keep_len = rng.bool();
    if newer.len() > torn.len() && !keep_len {
        torn.resize(newer.len(), 0);
    }
    let len = newer.len().min(torn.len());
    for at in (0..len).step_by(SECTOR) {
        let sector = at..(at + SECTOR).min(len);
        if newer[sector.clone()] != torn[sector.clone()] && rng.f64() < share {
            torn[sector.clone()].copy_from_slice(&newer[sector]);
        }
    }
    fs::write(older, torn).unwrap();
}

#[test]
fn a_broken_store_is_a_wiped_one() {
    for seed in seeds() {
        let dir = temp();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut writer = Writer::new(seed);
        let mut store = FileLogStore::open(dir.path()).unwrap();
        for _ in 0..20 {
            let write = writer.next();
            store.save(&write).unwrap();
            writer.done(&write);
        }
        drop(store);
        let path = dir.path().join("store.1/log");
        let mut bytes = fs::read(&path).unwrap();
        for _ in 0..20 {
            let at = rng.usize(..bytes.len());
            bytes[at] ^= rng.u8(1..);
        }
        fs::write(&path, bytes).unwrap();
        let mut store = FileLogStore::open(dir.path()).unwrap();
        let found = store.load().unwrap();
        // All of it or nothing: a beginning that fits together is noticed by the mark.
        if found.is_some() {
            assert_eq!(found, writer.model, "seed {seed}");
        } else {
            assert!(store.given_up().is_some() && store.was_lost(), "seed {seed}");
            let mut writer = Writer::new(seed);
            for _ in 0..3 {
                let write = writer.next();
                store.save(&write).unwrap();
                writer.done(&write);
            }
            drop(store);
            assert_eq!(FileLogStore::open(dir.path()).unwrap().load().unwrap(), writer.model, "seed {seed}");
        }
    }
}

#[test]
fn many_saves_stay_small() {
    let dir = temp();
    let mut store = FileLogStore::open(dir.path()).unwrap();
    let me = Member { id: 7, host: "10.0.0.1".to_owned() };
    let mut most = 0;
    for index in 1..=5_000 {
        let mut write = Write { ticket: index, ..Write::default() };
        write.entries.push(Entry { index, term: 1, body: Body::Data("x".repeat(4_000)) });
        if index == 1 {
            write.me = Some(me.clone());
            write.hard = Some(HardState { term: 1, vote: None });
        }
        if index % 50 == 0 {
            let state = "s".repeat(20_000);
            write.entries.clear();
            write.snapshot = Some(Snapshot { index, term: 1, members: Vec::new(), state });
        }
        store.save(&write).unwrap();
        most = most.max(store.size());
    }
    println!("{most} bytes at most");
    assert!(most < 64 << 20, "{most}");
}

#[test]
fn a_store_that_grew_is_written_anew() {
    let dir = temp();
    let mut writer = Writer::new(3);
    let mut store = FileLogStore::open(dir.path()).unwrap();
    store.bound(2 << 20);
    for _ in 0..150 {
        let write = writer.next();
        store.save(&write).unwrap();
        writer.done(&write);
    }
    drop(store);
    assert!(!dir.path().join("store.1").exists());
    assert_eq!(FileLogStore::open(dir.path()).unwrap().load().unwrap(), writer.model);
}

#[test]
fn a_failed_store_goes_on_when_it_can_and_tells_a_loss() {
    let dir = temp();
    let mut writer = Writer::new(5);
    let mut store = FileLogStore::open(dir.path()).unwrap();
    for _ in 0..10 {
        let write = writer.next();
        store.save(&write).unwrap();
        writer.done(&write);
    }
    // The disk can't be reached for a while: nothing is thrown away.
    store.close();
    let (away, back) = (dir.path().join("store.1"), dir.path().join("away"));
    fs::rename(&away, &back).unwrap();
    fs::write(&away, "in the way").unwrap();
    let write = writer.next();
    let error = store.save(&write).unwrap_err();
    assert!(matches!(error, StorageError::Io("create", ..)), "{error}");
    fs::remove_file(&away).unwrap();
    fs::rename(&back, &away).unwrap();
    store.save(&write).unwrap();
    writer.done(&write);
    assert_eq!(store.load().unwrap(), writer.model);
    // An emptied one is a loss, and starts anew.
    store.close();
    fs::remove_dir_all(&away).unwrap();
    assert!(matches!(store.save(&writer.next()), Err(StorageError::DataLost(_))));
    assert_eq!(store.load().unwrap(), None);
    assert!(matches!(store.save(&writer.next()), Err(StorageError::Corrupt(..))));
}

#[test]
fn a_folder_that_cannot_be_made_is_an_error() {
    let dir = temp();
    fs::write(dir.path().join("file"), "").unwrap();
    assert!(matches!(FileLogStore::open(dir.path().join("file/store")), Err(StorageError::Io("create", ..))));
}

#[test]
fn a_disk_in_memory_fails_hangs_loses_and_is_wiped() {
    let mut writer = Writer::new(9);
    let mut store = MemoryLogStore::new();
    let save = |store: &mut MemoryLogStore, writer: &mut Writer| {
        let write = writer.next();
        let saved = store.save(&write);
        if saved.is_ok() {
            writer.done(&write);
        }
        saved
    };
    for _ in 0..5 {
        save(&mut store, &mut writer).unwrap();
    }
    store.fail(true);
    save(&mut store, &mut writer).unwrap_err();
    store.fail(false);
    store.hang(true);
    save(&mut store, &mut writer).unwrap_err();
    store.lose_power(0);
    assert_eq!(store.clone().load().unwrap(), writer.model);
    let write = writer.next();
    store.write(&write).unwrap();
    store.lose_power(1);
    writer.done(&write);
    assert_eq!(store.load().unwrap(), writer.model);
    store.wipe();
    assert_eq!(store.load().unwrap(), None);
}

/// Not a check: `cargo test -p nickeljunction-storage a_save_is_timed -- --nocapture` tells what a save takes here.
#[test]
fn a_save_is_timed() {
    let dir = temp();
    let mut store = FileLogStore::open(dir.path()).unwrap();
    store.sync_truly();
    let mut writer = Writer::new(1);
    let mut took = Vec::new();
    for _ in 0..100 {
        let write = writer.next();
        let begun = std::time::Instant::now();
        store.save(&write).unwrap();
        took.push(begun.elapsed());
        writer.done(&write);
    }
    took.sort();
    println!("a save: {:?} at the median, {:?} at the 99th of 100", took[50], took[98]);
    assert_eq!(store.load().unwrap(), writer.model);
    let begun = std::time::Instant::now();
    (0..1_000).for_each(|_| store.note_early());
    println!("the mark of a save: {:?}", begun.elapsed() / 1_000);
}
