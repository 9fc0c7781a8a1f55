//! A log store in memory, for tests: it fails, hangs, loses what wasn't synced, and is wiped, when told to.

use crate::state_summary::StateSummary;
use crate::stored_state::StoredState;
use crate::{LogStore, StorageError};
use nickeljunction_consensus::Write;
use std::cell::RefCell;
use std::rc::Rc;

/// What is on the disk, shared by all handles to it.
#[derive(Debug, Default)]
struct DiskContents {
    synced: Option<StoredState>,
    unsynced: Vec<Write>,
    /// With what isn't synced.
    summary: StateSummary,
    fails: bool,
    hangs: bool,
}

/// A log store in memory. Clones share one disk: a test keeps one, and a restarted member gets another.
#[derive(Debug, Clone, Default)]
pub struct MemoryLogStore(Rc<RefCell<DiskContents>>);

impl MemoryLogStore {
    /// An empty disk.
    pub fn new() -> MemoryLogStore {
        MemoryLogStore::default()
    }

    /// From now on (not) every write fails, as on a full disk.
    pub fn fail(&self, fails: bool) {
        self.0.borrow_mut().fails = fails;
    }

    /// From now on (not) nothing gets synced: [`MemoryLogStore::sync`] does nothing, and writes wait.
    pub fn hang(&self, hangs: bool) {
        self.0.borrow_mut().hangs = hangs;
    }

    /// It hangs: whoever saves now must wait.
    pub fn hangs(&self) -> bool {
        self.0.borrow().hangs
    }

    /// Writes without a sync: a loss of power may take it.
    ///
    /// # Errors
    /// Where the disk fails, or the write doesn't fit on what is there.
    pub fn write(&mut self, write: &Write) -> Result<(), StorageError> {
        let mut disk = self.0.borrow_mut();
        if disk.fails {
            let full = std::io::Error::from(std::io::ErrorKind::StorageFull);
            return Err(StorageError::Io("write", format!("write {}", write.ticket), full));
        }
        disk.summary = disk.summary.after(write)?;
        disk.unsynced.push(write.clone());
        Ok(())
    }

    /// Syncs what was written; false where it hangs.
    pub fn sync(&mut self) -> bool {
        let mut disk = self.0.borrow_mut();
        if disk.hangs {
            return false;
        }
        for write in std::mem::take(&mut disk.unsynced) {
            let state = disk.synced.take();
            // Whether it fits was found out when it was written.
            disk.synced = StoredState::after(state, &write).ok();
        }
        true
    }

    /// Loses power: of what wasn't synced the first `survive` writes remain, and the rest is gone. A torn write is a
    /// missing one, as the store writes all of it or nothing.
    pub fn lose_power(&self, survive: usize) {
        let mut disk = self.0.borrow_mut();
        (disk.fails, disk.hangs) = (false, false);
        for write in std::mem::take(&mut disk.unsynced).into_iter().take(survive) {
            let state = disk.synced.take();
            disk.synced = StoredState::after(state, &write).ok();
        }
        disk.summary = StateSummary::of(disk.synced.as_ref());
    }

    /// What a loss of power would leave.
    pub fn synced(&self) -> Option<StoredState> {
        self.0.borrow().synced.clone()
    }

    /// Loses everything.
    pub fn wipe(&self) {
        *self.0.borrow_mut() = DiskContents::default();
    }
}

impl LogStore for MemoryLogStore {
    fn load(&mut self) -> Result<Option<StoredState>, StorageError> {
        let mut disk = self.0.borrow_mut();
        let mut state = disk.synced.clone();
        // A process that only died finds what it wrote, synced or not.
        for write in &disk.unsynced {
            state = Some(StoredState::after(state, write)?);
        }
        if let Some(state) = &state {
            state.check()?;
        }
        disk.summary = StateSummary::of(state.as_ref());
        Ok(state)
    }

    fn save(&mut self, write: &Write) -> Result<(), StorageError> {
        self.write(write)?;
        if !self.sync() {
            let late = std::io::Error::from(std::io::ErrorKind::TimedOut);
            return Err(StorageError::Io("sync", format!("write {}", write.ticket), late));
        }
        Ok(())
    }
}
