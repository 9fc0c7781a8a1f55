//! Kills and losses of power in the middle of a write, shortened files, formats; and that each check can fail.

use crate::high_water_mark::{FORMAT, MARK};
use crate::legacy::{entry_key, open_database, piece_key, pieces, HardStateRecord, HARD, ME};
use crate::log_file::StoreHeader;
use crate::stored_state::StoredState;
use crate::tests::{copy, seeds, tear, temp, Writer};
use crate::{FileLogStore, LogStore, StorageError, StoreReport};
use nickeljunction_consensus::{Body, Entry, HardState, Member, Write};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// What is left out, to show that the check sees it.
#[derive(Clone, Copy, PartialEq)]
enum Flaw {
    None,
    Sync,
    MarkBeforeSync,
}

/// Saves, and before each following write is done kills the process or takes the power, `kills` times; what a start then
/// finds must be all that was saved, or that and the write under way. The error tells the loss.
fn kills(seed: u64, kills: usize, flaw: Flaw) -> Result<(), String> {
    let (dir, shadow) = (temp(), temp());
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut writer = Writer::new(seed);
    let mut store = FileLogStore::open(dir.path()).unwrap();
    store.shadow(shadow.path());
    let synced_mark = fs::read(dir.path().join(MARK)).unwrap();
    if flaw == Flaw::Sync {
        store.forget_syncs();
    }
    for kill in 0..kills {
        for _ in 0..rng.usize(1..3) {
            let write = writer.next();
            store.save(&write).unwrap();
            writer.done(&write);
        }
        let next = writer.next();
        let mark = fs::read(dir.path().join(MARK)).unwrap();
        if flaw == Flaw::MarkBeforeSync {
            store.note_early();
        }
        store.save_unsynced(&next);
        let lost = temp();
        let power = rng.u8(..4) > 0;
        copy(if power { shadow.path() } else { dir.path() }, lost.path());
        if power {
            tear(&dir.path().join("store.1/log"), &lost.path().join("store.1/log"), &mut rng);
            let to = lost.path().join(MARK);
            let now = fs::read(dir.path().join(MARK)).unwrap();
            match rng.u8(..4) {
                0 => {}
                1 => fs::write(to, &now).unwrap(),
                2 => fs::write(to, &mark).unwrap(),
                _ => {
                    fs::write(&to, &synced_mark).unwrap();
                    tear(&dir.path().join(MARK), &to, &mut rng);
                }
            }
        }
        let mut back = FileLogStore::open(lost.path()).unwrap();
        let found = back.load().unwrap();
        let after = StoredState::after(writer.model.clone(), &next).ok();
        if back.given_up().is_some() || (found != writer.model && found != after) {
            return Err(format!("seed {seed}, kill {kill}: {:?}", back.given_up()));
        }
        store.save(&next).unwrap();
        writer.done(&next);
    }
    Ok(())
}

#[test]
fn a_thousand_kills_and_tears_in_the_middle_of_a_write_lose_nothing() {
    let work = |thread: u64| (thread * 10..thread * 10 + 10).try_for_each(|seed| kills(seed, 25, Flaw::None));
    let threads: Vec<_> = (0..4).map(|thread| std::thread::spawn(move || work(thread))).collect();
    for thread in threads {
        assert_eq!(thread.join().unwrap(), Ok(()));
    }
}

#[test]
fn without_the_sync_or_with_the_mark_before_it_a_loss_is_seen() {
    kills(1, 25, Flaw::Sync).unwrap_err();
    kills(1, 25, Flaw::MarkBeforeSync).unwrap_err();
}

/// Some saves by a member that then ended; what it had saved.
fn saved(dir: &Path, seed: u64, saves: usize) -> Option<StoredState> {
    let mut writer = Writer::new(seed);
    let mut store = FileLogStore::open(dir).unwrap();
    for _ in 0..saves {
        let write = writer.next();
        store.save(&write).unwrap();
        writer.done(&write);
    }
    writer.model
}

#[test]
fn a_store_that_was_cut_short_is_whole_or_given_up() {
    let (mut given_up, mut passed_for_whole) = (0, 0);
    for seed in seeds() {
        let dir = temp();
        let model = saved(dir.path(), seed, 20);
        let mut rng = fastrand::Rng::with_seed(seed);
        for _ in 0..6 {
            let cut = temp();
            copy(dir.path(), cut.path());
            let db = fs::File::options().write(true).open(cut.path().join("store.1/log")).unwrap();
            let len = db.metadata().unwrap().len();
            db.set_len(rng.u64(..len)).unwrap();
            let unmarked = temp();
            copy(cut.path(), unmarked.path());
            fs::remove_file(unmarked.path().join(MARK)).unwrap();
            let mut store = FileLogStore::open(cut.path()).unwrap();
            match store.load().unwrap() {
                None => {
                    assert!(store.given_up().is_some() && store.was_lost(), "seed {seed}");
                    given_up += 1;
                }
                found => assert_eq!(found, model, "seed {seed}"),
            }
            let found = FileLogStore::open(unmarked.path()).unwrap().load().unwrap();
            passed_for_whole += usize::from(found.is_some() && found != model);
        }
    }
    println!("{given_up} given up; without the mark {passed_for_whole} pass for whole");
    assert!(given_up > 0 && passed_for_whole > 0);
}

/// All files and their bytes.
fn files(dir: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let mut files = BTreeMap::new();
    for item in fs::read_dir(dir).unwrap() {
        let path = item.unwrap().path();
        if path.is_dir() {
            files.extend(self::files(&path));
        } else {
            files.insert(path.clone(), fs::read(path).unwrap());
        }
    }
    files
}

/// A store as formats 1 to 3 had it; format 1 without a stamp.
fn older_format(dir: &Path, stamp: Option<StoreHeader>) -> StoredState {
    let me = Member { id: 7, host: "10.0.0.1".to_owned() };
    let hard = HardState { term: 3, vote: Some(7) };
    let entry = |index| Entry { index, term: 2, body: Body::Data("x".repeat(9_000)) };
    let entries = vec![entry(1), entry(2)];
    let db = open_database(&dir.join("store.1")).unwrap();
    let put = |key: &[u8], pieces: Vec<Vec<u8>>| {
        for (number, piece) in pieces.into_iter().enumerate() {
            db.insert(piece_key(key, number), piece).unwrap();
        }
    };
    put(ME, pieces("me", &me).unwrap());
    match stamp {
        None => put(HARD, pieces("hard", &hard).unwrap()),
        Some(stamp) => put(HARD, pieces("hard", &HardStateRecord { hard, stamp }).unwrap()),
    }
    entries.iter().for_each(|entry| put(&entry_key(entry.index), pieces("entry", entry).unwrap()));
    db.flush().unwrap();
    StoredState { me, hard, snapshot: None, entries }
}

#[test]
fn a_store_of_format_3_keeps_its_number_and_its_count_of_saves() {
    let dir = temp();
    let kept = older_format(dir.path(), Some(StoreHeader { format: 3, store: 5, saves: 9 }));
    let store = FileLogStore::open(dir.path()).unwrap();
    assert_eq!(store.given_up(), None);
    drop(store);
    let survey = StoreReport::of(dir.path()).unwrap();
    assert_eq!((survey.format, survey.saves, survey.mark.unwrap().store), (FORMAT, 9, 5));
    assert_eq!(FileLogStore::open(dir.path()).unwrap().load().unwrap(), Some(kept));
    assert!(!dir.path().join("store.1").exists());
}

#[test]
fn older_formats_are_brought_to_this_one_and_a_newer_one_is_left_alone() {
    let dir = temp();
    let kept = older_format(dir.path(), None);
    assert_eq!(StoreReport::of(dir.path()).unwrap().format, 1);
    let mut store = FileLogStore::open(dir.path()).unwrap();
    assert_eq!((store.load().unwrap(), store.given_up()), (Some(kept.clone()), None));
    let hard = HardState { term: 4, vote: None };
    store.save(&Write { ticket: 1, hard: Some(hard), ..Write::default() }).unwrap();
    drop(store);
    let survey = StoreReport::of(dir.path()).unwrap();
    assert_eq!((survey.format, survey.saves, survey.faults.len()), (FORMAT, 2, 0));
    assert_eq!(FileLogStore::open(dir.path()).unwrap().load().unwrap(), Some(StoredState { hard, ..kept }));
    // A program of format 1 reads it, too: it knows all keys, and passes over what it doesn't know in a record.
    let stamp = StoreHeader { format: 2, store: 5, saves: 9 };
    let json = serde_json::to_string(&HardStateRecord { hard, stamp }).unwrap();
    assert_eq!(serde_json::from_str::<HardState>(&json).unwrap(), hard);
    // A head of format 2 becomes one of this format before anything is saved, and what it tells stays.
    let mark = dir.path().join(MARK);
    let now = fs::read(&mark).unwrap();
    let mut older = now.clone();
    older[8] = 2;
    let crc = crc32fast::hash(&older[..16]).to_le_bytes();
    older[16..20].copy_from_slice(&crc);
    fs::write(&mark, &older).unwrap();
    assert!(FileLogStore::open(dir.path()).unwrap().load().unwrap().is_some());
    assert_eq!(fs::read(&mark).unwrap(), now);
    // A whole head of a later format is believed, a torn one isn't.
    let mut bytes = fs::read(&mark).unwrap();
    bytes[8] = FORMAT as u8 + 1;
    fs::write(&mark, &bytes).unwrap();
    assert!(FileLogStore::open(dir.path()).unwrap().load().unwrap().is_some());
    let crc = crc32fast::hash(&bytes[..16]).to_le_bytes();
    bytes[16..20].copy_from_slice(&crc);
    fs::write(&mark, &bytes).unwrap();
    let before = files(dir.path());
    let error = FileLogStore::open(dir.path()).unwrap_err();
    assert!(matches!(error, StorageError::NewerFormat(newer) if newer == FORMAT + 1), "{error}");
    assert_eq!(files(dir.path()), before);
}

/// Changes the last byte of the record with this number, from 1; where it begins.
fn damage_record(log: &mut [u8], number: usize) -> usize {
    let length = |at: usize| u32::from_le_bytes(log[at..at + 4].try_into().unwrap()) as usize;
    let begin = (1..number).fold(8, |at, _| at + 8 + length(at));
    let last = begin + 8 + length(begin) - 1;
    log[last] ^= 1;
    begin
}

#[test]
fn a_survey_names_the_first_fault_and_changes_nothing() {
    let dir = temp();
    let model = saved(dir.path(), 4, 12).unwrap();
    let before = files(dir.path());
    let survey = StoreReport::of(dir.path()).unwrap();
    assert_eq!((survey.faults.as_slice(), &survey.entries), ([].as_slice(), &model.entries));
    assert_eq!(files(dir.path()), before);
    let store = FileLogStore::open(dir.path()).unwrap();
    let error = StoreReport::of(dir.path()).unwrap_err();
    assert!(matches!(error, StorageError::InUse(_)), "{error}");
    drop(store);
    let log = dir.path().join("store.1/log");
    let whole = fs::read(&log).unwrap();
    let mut damaged = whole.clone();
    let bad = damage_record(&mut damaged, 5);
    fs::write(&log, damaged).unwrap();
    let survey = StoreReport::of(dir.path()).unwrap();
    let expected = format!("record 5 at byte {bad}: has another checksum than it should");
    assert_eq!(survey.faults[0], expected, "{:?}", survey.faults);
    assert!(survey.faults[1].contains("the mark tells of later saves"), "{:?}", survey.faults);
    fs::write(&log, whole).unwrap();
    assert!(matches!(StoreReport::of(&dir.path().join("none")), Err(StorageError::Io(..))));
    // The store of another folder isn't this one's, and is given up.
    let other = temp();
    saved(other.path(), 5, 30);
    fs::remove_dir_all(dir.path().join("store.1")).unwrap();
    copy(&other.path().join("store.1"), &dir.path().join("store.1"));
    assert!(StoreReport::of(dir.path()).unwrap().faults[0].contains("another store"));
    assert!(FileLogStore::open(dir.path()).unwrap().given_up().is_some());
}
