//! The disk over files of its own: a log beside its high-water mark.

use crate::folder_sync::{clear, make_folder, probe, size, sync_folder, trouble};
use crate::high_water_mark::{HighWaterMark, SyncedPosition, FORMAT, MARK};
use crate::legacy;
use crate::log_file::{LogFile, StoreHeader, Tail};
use crate::stored_state::{StateSummary, StoredState};
use crate::{LogStore, StorageError};
use nickeljunction_consensus::Write;
use std::fs;
use std::path::{Path, PathBuf};

/// A store is written anew when it has grown over so many bytes,
const REWRITE_BYTES: u64 = 4 * 1024 * 1024;
/// and over so many times what it had when it was last written anew.
const REWRITE_FACTOR: u64 = 4;

/// The store's folder within ours, before its number, and one that isn't complete.
pub(crate) const STORE: &str = "store.";
const UNDERWAY: &str = "underway";
/// The copy of a store of an older format that is read.
const COPY: &str = "copy";

/// A disk: a log file in a folder of its own. All calls block for as long as the disk takes, some ms as a rule.
///
/// A store whose records don't fit together is a wiped one: the folder is cleared, and [`LogStore::load`] gives none. So is one
/// that knows of fewer saves than the mark beside it. A store that can't be read for the moment, or is of a newer format, is
/// left alone, and the call fails.
#[derive(Debug)]
pub struct FileLogStore {
    dir: PathBuf,
    /// Number of the store's folder: a store that grew too large is written anew in the next one.
    number: u64,
    /// None after a failure, until a call opens it again.
    store: Option<LogFile>,
    /// Where the last save that was synced ends in the store's file; none before the file was read.
    synced: Option<Tail>,
    /// What was saved for sure.
    saved: StateSummary,
    /// Of the last save that was synced for sure.
    stamp: StoreHeader,
    mark: HighWaterMark,
    /// Why the store that was here was given up at opening.
    given_up: Option<String>,
    /// Bytes of the store when it was last written anew; 0: never.
    rewritten_bytes: u64,
    /// A store smaller than this is not written anew.
    rewrite_bytes: u64,
}

impl FileLogStore {
    /// Opens the store in `dir`, which is made where it is missing and belongs to the store alone. One of an older
    /// format is brought to this one.
    ///
    /// # Errors
    /// Where the folder can't be made, read or written for the moment, or is of a newer format, and then it is untouched.
    /// A broken store is no error.
    pub fn open(dir: impl AsRef<Path>) -> Result<FileLogStore, StorageError> {
        let dir = dir.as_ref().to_owned();
        make_folder(&dir)?;
        let mark = HighWaterMark::read(&dir)?;
        let mut store = FileLogStore {
            dir,
            number: 1,
            store: None,
            synced: None,
            saved: StateSummary::default(),
            stamp: StoreHeader::default(),
            mark,
            given_up: None,
            rewritten_bytes: 0,
            rewrite_bytes: REWRITE_BYTES,
        };
        store.number = store.newest()?;
        match store.upgrade().and_then(|()| store.open_for_sure()) {
            Ok((saved, stamp)) => (store.saved, store.stamp) = (saved, stamp),
            Err(error) if error.is_bad_content() => {
                store.given_up = Some(error.to_string());
                store.start_anew()?;
            }
            Err(error) => return Err(error),
        }
        if store.saved.known {
            // All of it was synced just now.
            store.mark.note(store.claim());
        }
        store.mark.sync_name();
        Ok(store)
    }

    /// Why the store that was here was given up when it was opened; none where nothing was lost.
    pub fn given_up(&self) -> Option<&str> {
        self.given_up.as_deref()
    }

    /// This folder once held a store that was lost: whoever starts on it is not the system's first.
    pub fn was_lost(&self) -> bool {
        self.mark.lost > 0
    }

    /// Writes a store of an older format anew in this one.
    fn upgrade(&mut self) -> Result<(), StorageError> {
        let old = self.store_dir(self.number);
        if !legacy::is_legacy(&old) {
            return Ok(());
        }
        let found = legacy::read_copy(&old, &self.dir.join(COPY))?;
        let stamp = found.stamp();
        let state = found.kept()?;
        self.check_mark(stamp)?;
        let stamp = match stamp.store {
            0 => stamp.next(),
            _ => StoreHeader { format: FORMAT, ..stamp },
        };
        self.replace(state, stamp)?;
        let _ = fs::remove_dir_all(old);
        Ok(())
    }

    /// # Errors
    /// The mark tells of saves that a store with this stamp doesn't have.
    fn check_mark(&self, stamp: StoreHeader) -> Result<(), StorageError> {
        match self.mark.misses(stamp.store, stamp.saves) {
            None => Ok(()),
            Some(what) => Err(StorageError::DataLost(what)),
        }
    }

    /// What the mark may say.
    fn claim(&self) -> SyncedPosition {
        let StoreHeader { store, saves, .. } = self.stamp;
        SyncedPosition { store, saves, last: self.saved.last, last_term: self.saved.last_term }
    }

    /// Bytes that the store takes on the disk.
    pub fn size(&self) -> u64 {
        size(&self.dir)
    }

    fn store_dir(&self, number: u64) -> PathBuf {
        self.dir.join(format!("{STORE}{number}"))
    }

    /// The newest complete store; older ones and incomplete ones are removed.
    fn newest(&self) -> Result<u64, StorageError> {
        let listed = || -> std::io::Result<Vec<(PathBuf, u64)>> {
            fs::read_dir(&self.dir)?
                .map(|item| {
                    let item = item?;
                    let name = item.file_name();
                    let number = name.to_str().and_then(|name| name.strip_prefix(STORE)?.parse().ok());
                    Ok((item.path(), number.unwrap_or(0)))
                })
                .collect()
        };
        let stores = listed().map_err(|cause| trouble("list", &self.dir, cause))?;
        let stores: Vec<_> =
            stores.into_iter().filter(|(path, _)| path.file_name().is_none_or(|name| name != MARK)).collect();
        let newest = stores.iter().map(|(_, number)| *number).max().unwrap_or(0).max(1);
        if stores.iter().any(|(_, number)| *number < newest) {
            // The newest one's name lasts before any other goes.
            sync_folder(&self.dir)?;
        }
        for (path, _) in stores.iter().filter(|(_, number)| *number < newest) {
            // What remains is tried again at the next start.
            let _ = if path.is_dir() { fs::remove_dir_all(path) } else { fs::remove_file(path) };
        }
        Ok(newest)
    }

    /// Clears the folder and opens an empty store.
    fn start_anew(&mut self) -> Result<(), StorageError> {
        self.store = None;
        // A disk that takes no writes can make a good store look bad: nothing is thrown away then.
        probe(&self.dir)?;
        self.synced = None;
        self.saved = StateSummary::default();
        self.stamp = StoreHeader::default();
        self.rewritten_bytes = 0;
        clear(&self.dir, MARK)?;
        // Later than the clearing: a mark without its store says the same.
        self.mark.forget()?;
        self.open_store().map(|_| ())
    }

    /// Opens the store, as [`FileLogStore::open_store`] does. One that looks broken is opened once more when the disk has shown
    /// that it takes writes.
    fn open_for_sure(&mut self) -> Result<(StateSummary, StoreHeader), StorageError> {
        match self.open_store() {
            Err(error) if error.is_bad_content() => {
                self.store = None;
                probe(&self.dir)?;
                self.open_store()
            }
            opened => opened,
        }
    }

    /// Opens the store, checks it against the mark, and syncs it. What follows the last save that was acknowledged in this
    /// life is cut off: a sync that failed once tells nothing about those bytes when it is tried again.
    fn open_store(&mut self) -> Result<(StateSummary, StoreHeader), StorageError> {
        #[cfg(test)]
        crate::power::ask_to_open()?;
        let folder = self.store_dir(self.number);
        let (log, contents) = LogFile::open(&folder, self.synced)?;
        self.check_mark(contents.stamp)?;
        log.recover(&folder)?;
        sync_folder(&self.dir)?;
        self.synced = Some(log.tail());
        self.store = Some(log);
        Ok((StateSummary::of(contents.state.as_ref()), contents.stamp))
    }

    /// Opens a store again that failed, and makes sure that it has all that it had saved.
    fn reopen(&mut self) -> Result<(), StorageError> {
        self.store = None;
        let (mut found, stamp) = match self.open_for_sure() {
            Err(error) if error.is_bad_content() => (StateSummary::default(), StoreHeader::default()),
            found => found?,
        };
        if !found.is_same(&self.saved) {
            // Another life must not vouch for what this one forgot.
            self.start_anew()?;
            return Err(StorageError::DataLost("after a failure the store no longer had what it had saved"));
        }
        found.ticket = self.saved.ticket;
        (self.saved, self.stamp) = (found, stamp);
        Ok(())
    }

    /// The store, opened again where it failed before.
    fn ready(&mut self) -> Result<&mut LogFile, StorageError> {
        if self.store.is_none() {
            self.reopen()?;
        }
        self.store.as_mut().ok_or_else(|| StorageError::Panicked("open", STORE.to_owned()))
    }

    /// Writes a store that has grown too large anew.
    fn rewrite(&mut self) -> Result<(), StorageError> {
        let contents = self.ready()?.read()?;
        let old = self.store_dir(self.number);
        self.replace(contents.state, contents.stamp)?;
        self.reopen()?;
        self.rewritten_bytes = self.synced.map_or(0, |tail| tail.bytes);
        // Where this fails, the next start tries again.
        let _ = fs::remove_dir_all(old);
        Ok(())
    }

    /// Writes a store with this state in a second folder, which takes the present one's place when it is complete.
    fn replace(&mut self, state: Option<StoredState>, stamp: StoreHeader) -> Result<(), StorageError> {
        let underway = self.dir.join(UNDERWAY);
        if underway.exists() {
            fs::remove_dir_all(&underway).map_err(|cause| trouble("remove", &underway, cause))?;
        }
        let (mut log, _) = LogFile::open(&underway, None)?;
        log.recover(&underway)?;
        if let Some(state) = state {
            let hard = state.hard;
            let all = Write {
                me: Some(state.me),
                snapshot: state.snapshot,
                entries: state.entries,
                ..Write::default()
            };
            log.append(&all, hard, stamp)?;
        }
        drop(log);
        let new = self.store_dir(self.number + 1);
        fs::rename(&underway, &new).map_err(|cause| trouble("rename", &underway, cause))?;
        #[cfg(test)]
        crate::power::renamed(&underway, &new);
        // From here on it is the one that the next start finds, whatever fails: nothing may be saved to the old one.
        self.number += 1;
        self.synced = None;
        sync_folder(&self.dir)
    }

    /// Whether the store has grown enough to be written anew.
    fn has_grown(&self) -> bool {
        let bytes = self.synced.map_or(0, |tail| tail.bytes);
        bytes > self.rewrite_bytes.max(REWRITE_FACTOR * self.rewritten_bytes)
    }
}

#[cfg(test)]
impl FileLogStore {
    /// What a loss of power would leave gets into this folder from here on.
    pub(crate) fn shadow(&mut self, dir: &Path) {
        let shadow = dir.join(format!("{STORE}{}", self.number));
        let log = self.store.as_mut().unwrap();
        log.trial.shadow = Some(shadow);
        log.sync().unwrap();
    }

    /// Gets a write to the file, but not synced.
    pub(crate) fn save_unsynced(&mut self, write: &Write) {
        let (hard, stamp) = (self.saved.after(write).unwrap().hard, self.stamp.next());
        self.store.as_ref().unwrap().write_unsynced(write, hard, stamp);
    }

    /// As a mark would be that is written before its sync.
    pub(crate) fn note_early(&mut self) {
        let claim = self.claim();
        self.mark.note(SyncedPosition { saves: claim.saves + 1, ..claim });
    }

    /// It has not failed since it was opened.
    pub(crate) fn is_open(&self) -> bool {
        self.store.is_some()
    }

    /// Leaves out all syncs from here on.
    pub(crate) fn forget_syncs(&mut self) {
        self.store.as_mut().unwrap().trial.lazy = true;
    }

    /// Syncs the true files from here on.
    pub(crate) fn sync_truly(&mut self) {
        self.store.as_mut().unwrap().trial.truly = true;
    }

    /// As after a failure.
    pub(crate) fn close(&mut self) {
        self.store = None;
    }

    /// Sets from which size on the store is written anew.
    pub(crate) fn bound(&mut self, bytes: u64) {
        self.rewrite_bytes = bytes;
    }
}

impl LogStore for FileLogStore {
    fn load(&mut self) -> Result<Option<StoredState>, StorageError> {
        match self.ready()?.read() {
            Err(error) if error.is_bad_content() => {
                self.start_anew()?;
                Ok(None)
            }
            read => Ok(read?.state),
        }
    }

    fn save(&mut self, write: &Write) -> Result<(), StorageError> {
        self.ready()?;
        let next = self.saved.after(write)?;
        let stamp = self.stamp.next();
        let log = self.ready()?;
        if let Err(error) = log.append(write, next.hard, stamp) {
            // It is opened again by the next call, when there may be space.
            self.store = None;
            return Err(error);
        }
        self.synced = Some(log.tail());
        (self.saved, self.stamp) = (next, stamp);
        self.mark.note(self.claim());
        if write.snapshot.is_some() {
            // Now and then it lasts by itself; else the kernel and the next start see to it.
            self.mark.sync();
        }
        if self.has_grown() && self.rewrite().is_err() {
            // The write itself is safe; the store is opened again and goes on as it is.
            self.store = None;
        }
        Ok(())
    }
}
