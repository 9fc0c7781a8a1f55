//! Power is lost at every sync of a store's life, with every choice of the names that were not synced, and with what was
//! written since present, missing or torn: it opens to what was acknowledged, or to that and the save under way.

use crate::kept::Kept;
use crate::power::{self, Point, CONTENTS};
use crate::tests::{temp, Writer};
use crate::{Hold, SledHold};
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
