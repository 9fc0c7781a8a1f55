//! A look at the store of a stopped member, for people: it is copied, and the copy is opened, as opening writes.

use crate::file_log_store::STORE;
use crate::folder_sync::{copy_folder, list, trouble, Look};
use crate::high_water_mark::{HighWaterMark, SyncedPosition, FORMAT};
use crate::legacy;
use crate::log_file::{self, StoreHeader, LOG};
use crate::stored_state::{corrupt, StoredState};
use crate::StorageError;
use nickeljunction_consensus::{Entry, HardState, Member, Snapshot};
use std::collections::BTreeMap;
use std::fs::{self, File, TryLockError};
use std::path::{Path, PathBuf};

/// What a store has, as far as it can be read, and what is wrong with it.
#[derive(Debug)]
pub struct StoreReport {
    /// Name of the store's folder; a higher number takes the place of a lower one.
    pub store: String,
    /// Bytes of its files.
    pub bytes: u64,
    /// Format: 1 has neither mark nor count of saves.
    pub format: u32,
    /// Records that were found, good and bad.
    pub records: usize,
    /// Saves that it took; 0 in format 1.
    pub saves: u64,
    /// The mark beside it; none: it is missing, torn or of format 1.
    pub mark: Option<SyncedPosition>,
    /// Whose disk it is.
    pub me: Option<Member>,
    /// Term and vote.
    pub hard: Option<HardState>,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries that could be read, in the order of the log.
    pub entries: Vec<Entry>,
    /// What is wrong, each with its place; the first one found first. Empty: a member can start from it.
    pub faults: Vec<String>,
}

/// A folder for the copy, removed at the end.
struct Scratch(PathBuf);

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

type Looks = BTreeMap<PathBuf, Look>;

fn looks(dir: &Path) -> Result<Looks, StorageError> {
    let mut looks = Looks::new();
    list(dir, &mut looks, &mut Vec::new()).map_err(|cause| trouble("list", dir, cause))?;
    Ok(looks)
}

/// The newest store in a folder.
fn newest(dir: &Path) -> Result<PathBuf, StorageError> {
    let items = fs::read_dir(dir).map_err(|cause| trouble("list", dir, cause))?;
    let number = |path: &PathBuf| path.file_name()?.to_str()?.strip_prefix(STORE)?.parse::<u64>().ok();
    let stores = items.filter_map(|item| Some(item.ok()?.path())).filter(|path| path.is_dir());
    let newest = stores.filter_map(|path| Some((number(&path)?, path))).max();
    newest.map(|(_, path)| path).ok_or_else(|| corrupt("folder", "holds no store"))
}

impl StoreReport {
    /// Looks at the store in `dir`, the folder that [`crate::FileLogStore`] owns. Nothing in it is changed; the copy is made
    /// in the system's folder for temporary files.
    ///
    /// # Errors
    /// There is no store, it is of a newer format, in use, or can't be copied. A broken store is no error.
    pub fn of(dir: &Path) -> Result<StoreReport, StorageError> {
        let store = newest(dir)?;
        let mark = HighWaterMark::read(dir)?;
        // A running member holds this lock, where locks have an effect.
        let log = File::open(store.join(LOG));
        if matches!(log.as_ref().map(File::try_lock), Ok(Err(TryLockError::WouldBlock))) {
            return Err(StorageError::InUse("a process has it open; stop its member first"));
        }
        let before = looks(dir)?;
        let scratch = std::env::temp_dir().join(format!("nickeljunction-{:x}", fastrand::u64(..)));
        let scratch = Scratch(scratch);
        copy_folder(&store, &scratch.0)?;
        if looks(dir)? != before {
            return Err(StorageError::InUse("it changed while it was read; stop its member first"));
        }
        let sizes = before.iter().filter(|(path, _)| path.starts_with(&store));
        let mut survey = StoreReport {
            store: store.file_name().unwrap_or_default().to_string_lossy().into_owned(),
            bytes: sizes.map(|(_, (len, _))| len).sum(),
            format: 1,
            records: 0,
            saves: 0,
            mark: Some(mark.claim).filter(|claim| claim.store != 0),
            me: None,
            hard: None,
            snapshot: None,
            entries: Vec::new(),
            faults: Vec::new(),
        };
        survey.read(&scratch.0, &mark)?;
        Ok(survey)
    }

    fn read(&mut self, copy: &Path, mark: &HighWaterMark) -> Result<(), StorageError> {
        let stamp = if legacy::is_legacy(copy) { self.read_legacy(copy) } else { self.read_log(copy, mark) };
        let stamp = match stamp {
            Ok(stamp) => stamp,
            Err(error @ StorageError::NewerFormat(_)) => return Err(error),
            Err(error) => {
                self.faults.push(format!("files: {error}"));
                return Ok(());
            }
        };
        (self.format, self.saves) = (stamp.format.max(1), stamp.saves);
        match self.me.clone() {
            None => self.faults.push("me: is missing".into()),
            Some(me) => {
                let state = StoredState {
                    me,
                    hard: self.hard.unwrap_or_default(),
                    snapshot: self.snapshot.clone(),
                    entries: self.entries.clone(),
                };
                self.faults.extend(state.check().err().map(|fault| fault.to_string()));
            }
        }
        let lost = mark.misses(stamp.store, stamp.saves);
        self.faults.extend(lost.map(|what| {
            let claim = mark.claim;
            format!(
                "mark: {what} ({} saves up to entry {} of term {}, the store knows {})",
                claim.saves, claim.last, claim.last_term, stamp.saves
            )
        }));
        Ok(())
    }

    fn read_log(&mut self, copy: &Path, mark: &HighWaterMark) -> Result<StoreHeader, StorageError> {
        let contents = log_file::read(&copy.join(LOG), None)?;
        let stamp = contents.stamp;
        self.records = contents.records;
        // A write that was torn is cut off when the store is opened; damage is what the mark knows to have been synced.
        let is_damage = mark.misses(stamp.store, stamp.saves).is_some();
        self.faults.extend(contents.broken.filter(|_| is_damage).map(|fault| fault.to_string()));
        if let Some(state) = contents.state {
            (self.me, self.hard) = (Some(state.me), Some(state.hard));
            (self.snapshot, self.entries) = (state.snapshot, state.entries);
        }
        Ok(stamp)
    }

    fn read_legacy(&mut self, copy: &Path) -> Result<StoreHeader, StorageError> {
        let found = legacy::read_database(&legacy::open_database(copy)?)?;
        let stamp = found.stamp();
        if stamp.format > FORMAT {
            return Err(StorageError::NewerFormat(stamp.format));
        }
        self.records = found.records;
        self.faults.extend(found.faults.iter().map(ToString::to_string));
        (self.me, self.hard) = (found.me, found.hard.map(|record| record.hard));
        (self.snapshot, self.entries) = (found.snapshot, found.entries);
        Ok(stamp)
    }
}
