//! Power is lost at every sync of a store's life, with every choice of the names that were not synced, and with what was
//! written since present, missing or torn: it opens to what was acknowledged, or to that and the save under way.

use crate::power::{self, Point, CONTENTS};
use crate::stored_state::StoredState as Kept;
use crate::tests::{copy, temp, Writer};
use crate::{LogStore, SledLogStore as SledHold};
use nickeljunction_consensus::Write;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// A store's life: the points at which power may be lost, and what had been saved after each save.
struct Life {
    points: Vec<Point>,
    models: Vec<Option<Kept>>,
}

fn life(act: impl FnOnce(&Path, &mut Vec<Option<Kept>>)) -> Life {
    let data = temp();
    power::record(data.path());
    let mut models = vec![None];
    act(&data.path().join("logbook"), &mut models);
    Life { points: power::points(), models }
}

fn save(hold: &mut SledHold, writer: &mut Writer, models: &mut Vec<Option<Kept>>) {
    let write = writer.next();
    hold.save(&write).unwrap();
    writer.done(&write);
    models.push(writer.model.clone());
    power::acked();
}

impl Kept {
    /// Index of the last entry.
    fn last(&self) -> u64 {
        let base = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        self.entries.last().map_or(base, |entry| entry.index)
    }
}

impl Life {
    /// Folders that were tried, and what went wrong.
    fn try_all(&self) -> (usize, Vec<String>) {
        let mut tried = 0;
        let mut wrong = Vec::new();
        for (number, point) in self.points.iter().enumerate() {
            let open: Vec<PathBuf> = point.open_names();
            for choice in 0..1_u32 << open.len() {
                let missing: BTreeSet<PathBuf> = open
                    .iter()
                    .enumerate()
                    .filter(|(bit, _)| choice >> bit & 1 == 1)
                    .map(|(_, name)| name.clone())
                    .collect();
                for content in CONTENTS {
                    tried += 1;
                    let found = temp();
                    point.build(found.path(), &missing, content);
                    if let Err(fault) = self.find(found.path(), point) {
                        wrong.push(format!("point {number}, {content:?}, without {missing:?}: {fault}"));
                    }
                }
            }
        }
        println!("{} points, {tried} folders, {} wrong", self.points.len(), wrong.len());
        (tried, wrong)
    }

    fn find(&self, data: &Path, point: &Point) -> Result<(), String> {
        let mut hold = SledHold::open(data.join("logbook")).map_err(|error| error.to_string())?;
        let found = hold.load().map_err(|error| error.to_string())?;
        let after = self.models.get(point.acked + 1);
        if found == self.models[point.acked] || after == Some(&found) {
            return Ok(());
        }
        let told = hold.given_up().map(str::to_owned);
        Err(format!("{} saves were acknowledged; given up: {told:?}", point.acked))
    }
}

#[test]
fn power_lost_at_any_sync_of_a_new_store_loses_nothing() {
    let life = life(|dir, models| {
        let mut writer = Writer::new(11);
        let mut hold = SledHold::open(dir).unwrap();
        for _ in 0..3 {
            save(&mut hold, &mut writer, models);
        }
    });
    let (tried, wrong) = life.try_all();
    assert!(wrong.is_empty(), "{} of {tried}: {:#?}", wrong.len(), &wrong[..wrong.len().min(10)]);
    assert!(tried > 30);
}

#[test]
fn power_lost_at_any_sync_of_a_store_that_is_written_anew_loses_nothing() {
    let life = life(|dir, models| {
        let mut writer = Writer::new(12);
        let mut hold = SledHold::open(dir).unwrap();
        save(&mut hold, &mut writer, models);
        hold.bound(1);
        save(&mut hold, &mut writer, models);
        hold.bound(1 << 30);
        save(&mut hold, &mut writer, models);
        drop(hold);
        let mut hold = SledHold::open(dir).unwrap();
        save(&mut hold, &mut writer, models);
    });
    let (tried, wrong) = life.try_all();
    assert!(wrong.is_empty(), "{} of {tried}: {:#?}", wrong.len(), &wrong[..wrong.len().min(10)]);
}

/// A store that lost its end is given up; power is lost at any sync of that, and of the new one's first saves.
#[test]
fn power_lost_while_a_store_is_given_up_never_brings_it_back() {
    let data = temp();
    let dir = data.path().join("logbook");
    let mut writer = Writer::new(13);
    let mut hold = SledHold::open(&dir).unwrap();
    let old = temp();
    for number in 0..6 {
        let write = writer.next();
        hold.save(&write).unwrap();
        writer.done(&write);
        if number == 3 {
            drop(hold);
            copy(&dir.join("store.1"), &old.path().join("store.1"));
            hold = SledHold::open(&dir).unwrap();
        }
    }
    drop(hold);
    std::fs::remove_dir_all(dir.join("store.1")).unwrap();
    copy(&old.path().join("store.1"), &dir.join("store.1"));
    power::record(data.path());
    let mut models = vec![None];
    let mut hold = SledHold::open(&dir).unwrap();
    assert!(hold.given_up().is_some() && hold.was_lost());
    let mut writer = Writer::new(14);
    save(&mut hold, &mut writer, &mut models);
    save(&mut hold, &mut writer, &mut models);
    let life = Life { points: power::points(), models };
    let (tried, wrong) = life.try_all();
    assert!(wrong.is_empty(), "{} of {tried}: {:#?}", wrong.len(), &wrong[..wrong.len().min(10)]);
    assert!(tried > 30);
}

/// A store's life on a disk that takes nothing for some syncs, from any of them on: each save is tried until it is taken.
/// Nothing is thrown away, and what was acknowledged stays.
#[test]
fn a_disk_that_is_full_at_any_sync_loses_nothing() {
    let mut lives = 0;
    for bad in [1, 4] {
        for well in 0.. {
            let data = temp();
            let dir = data.path().join("logbook");
            power::fail_after(well, bad);
            let mut writer = Writer::new(15);
            let mut hold = (0..20).find_map(|_| SledHold::open(&dir).ok()).expect("it opens in the end");
            for number in 0..4 {
                hold.bound(if number == 2 { 1 } else { 1 << 30 });
                let write = writer.next();
                let mut taken = hold.save(&write).is_ok();
                for ticket in 0..20 {
                    // As a member does after a failure: all since what is safe, whether the disk has it or not.
                    let last = writer.model.as_ref().map_or(0, Kept::last);
                    let all = Write { ticket: 100 + ticket, truncate_from: Some(last + 1), ..write.clone() };
                    taken = taken || hold.save(&all).is_ok();
                }
                assert!(taken, "save {number}, {bad} faults after {well}");
                writer.done(&write);
                let found = (0..20).find_map(|_| hold.load().ok()).expect("it is read in the end");
                assert_eq!(found, writer.model, "save {number}, {bad} faults after {well}");
            }
            assert!(hold.given_up().is_none() && !hold.was_lost(), "{bad} faults after {well}");
            drop(hold);
            let all = power::failed();
            power::fail_after(usize::MAX, 0);
            let found = SledHold::open(&dir).unwrap().load().unwrap();
            assert_eq!(found, writer.model, "{bad} faults after {well}");
            lives += 1;
            if !all {
                break;
            }
        }
    }
    println!("{lives} lives");
    assert!(lives > 40);
}

/// A store that can't be opened while its disk takes nothing is whole when the disk takes writes again, though the first
/// opening after that may have begun before.
#[test]
fn a_store_whose_opening_breaks_once_is_opened_again_before_it_is_given_up() {
    let data = temp();
    let dir = data.path().join("logbook");
    let mut writer = Writer::new(16);
    let mut hold = SledHold::open(&dir).unwrap();
    for _ in 0..5 {
        let write = writer.next();
        hold.save(&write).unwrap();
        writer.done(&write);
    }
    drop(hold);
    power::break_openings(1);
    let mut hold = SledHold::open(&dir).unwrap();
    assert_eq!(hold.given_up(), None);
    assert_eq!(hold.load().unwrap(), writer.model);
    // The same after a failure in the middle of a life.
    hold.close();
    power::break_openings(1);
    assert_eq!(hold.load().unwrap(), writer.model);
    drop(hold);
    // On a disk that takes nothing it is left alone.
    power::break_openings(1);
    power::fail_after(0, 1);
    assert!(SledHold::open(&dir).is_err());
    power::fail_after(usize::MAX, 0);
    assert_eq!(SledHold::open(&dir).unwrap().load().unwrap(), writer.model);
    power::break_openings(2);
    assert!(SledHold::open(&dir).unwrap().given_up().is_some(), "it is broken for good");
}

/// Losses of power one after another: each strikes a store that was opened on what the one before left, at any sync of that
/// opening or of the first saves after it, with hundreds of saves and many compactions before.
struct Chain {
    rng: fastrand::Rng,
    writer: Writer,
    /// What the machine finds.
    data: tempfile::TempDir,
    losses: usize,
}

impl Chain {
    fn new(seed: u64, saves: usize) -> Chain {
        let data = temp();
        let mut writer = Writer::new(seed);
        let mut hold = SledHold::open(data.path().join("logbook")).unwrap();
        for _ in 0..saves {
            let write = writer.next();
            hold.save(&write).unwrap();
            writer.done(&write);
        }
        Chain { rng: fastrand::Rng::with_seed(seed), writer, data, losses: 0 }
    }

    /// Opens the store, saves some more, and loses power somewhere in that.
    fn lose_power(&mut self) -> Result<(), String> {
        let before = self.writer.model.clone();
        power::record(self.data.path());
        let mut hold = SledHold::open(self.data.path().join("logbook")).map_err(|error| error.to_string())?;
        if let Some(cause) = hold.given_up() {
            return Err(format!("loss {}: given up: {cause}", self.losses));
        }
        let mut models = vec![before];
        for _ in 0..self.rng.usize(1..4) {
            save(&mut hold, &mut self.writer, &mut models);
        }
        drop(hold);
        let life = Life { points: power::points(), models };
        let at = self.rng.usize(..life.points.len());
        let point = &life.points[at];
        let missing = point.open_names().into_iter().filter(|_| self.rng.bool()).collect();
        let found = temp();
        point.build(found.path(), &missing, CONTENTS[self.rng.usize(..CONTENTS.len())]);
        // Looked at in a copy: the next opening is the one at which power may go again.
        let looked_at = temp();
        copy(found.path(), looked_at.path());
        life.find(looked_at.path(), point).map_err(|fault| format!("loss {}: {fault}", self.losses))?;
        self.writer.model = SledHold::open(looked_at.path().join("logbook"))
            .and_then(|mut hold| hold.load())
            .map_err(|e| e.to_string())?;
        self.data = found;
        self.losses += 1;
        Ok(())
    }
}

#[test]
fn power_lost_again_and_again_after_a_long_life_loses_nothing() {
    const LOSSES: usize = 12;
    let mut losses = 0;
    for seed in crate::tests::seeds() {
        let saves = 40 + 30 * (seed as usize % 8);
        let mut chain = Chain::new(seed, saves);
        for _ in 0..LOSSES {
            let lost = chain.lose_power();
            assert_eq!(lost, Ok(()), "seed {seed}, {saves} saves before");
        }
        losses += chain.losses;
    }
    println!("{losses} losses of power");
}
