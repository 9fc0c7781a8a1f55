//! The core's disk (store): what a member of the agreement must never forget, behind a trait: [`FileLogStore`] over a
//! log file, synced for real, and [`MemoryLogStore`] for tests, which fails, tears, hangs and is wiped when told to.
//!
//! ```text
//! let mut store = FileLogStore::open(dir)?;                   // a store that is broken beyond repair starts anew, empty
//! let restored = match store.load()? {
//!     Some(kept) => kept.into(),                         // consensus::Restored
//!     None => Restored::joining(Member { id: member_id_from_random(random), host }),
//! };
//! // for each write in Outputs::writes, in order; blocks for the time of some syncs:
//! match store.save(&write) { Ok(()) => consensus.written(now, write.ticket), Err(_) => consensus.write_failed(now, write.ticket) }
//! ```
//!
//! After [`StorageError::DataLost`] the disk is empty and the member is none any more: the program ends, and its next life is a
//! stranger. A write whose [`Write::after`] isn't the last one saved is refused, so that nothing lands behind a failure.

#[cfg(test)]
mod closing;
mod file_log_store;
mod folder_sync;
mod high_water_mark;
#[cfg(test)]
mod kills;
mod legacy;
mod log_file;
#[cfg(test)]
mod losses;
mod memory_log_store;
#[cfg(test)]
mod power;
mod store_report;
mod stored_state;
#[cfg(test)]
mod tests;

pub use file_log_store::FileLogStore;
pub use high_water_mark::SyncedPosition;
pub use memory_log_store::MemoryLogStore;
pub use stored_state::StoredState;

pub use store_report::StoreReport;

use nickeljunction_consensus::Write;
use quick_error::quick_error;

/// A disk.
pub trait LogStore {
    /// What the disk has; none where it was never written.
    ///
    /// # Errors
    /// Where it can't be read now; what is on it is left alone.
    fn load(&mut self) -> Result<Option<StoredState>, StorageError>;

    /// Writes all of it and syncs: once this returns, it survives a loss of power.
    ///
    /// # Errors
    /// Where it could not be written, or not synced; it may or may not be on the disk then, and all that was saved
    /// before still is. A later write works again once the disk does.
    fn save(&mut self, write: &Write) -> Result<(), StorageError>;
}

quick_error! {
    /// What went wrong with a disk.
    #[derive(Debug)]
    pub enum StorageError {
        /// A file could not be read, written or synced.
        Io(step: &'static str, key: String, cause: std::io::Error) {
            display("{step} {key}: {cause}")
            source(cause)
        }
        /// The store refused.
        Sled(step: &'static str, key: String, cause: sled::Error) {
            display("{step} {key}: {cause}")
            source(cause)
        }
        /// The store gave up in the middle of a step.
        Panicked(step: &'static str, key: String) {
            display("{step} {key}: the store broke")
        }
        /// A record can't be read, or records don't fit together.
        Corrupt(key: String, what: &'static str) {
            display("{key}: {what}")
        }
        /// A later program wrote the folder, in a format that this one doesn't know.
        NewerFormat(format: u32) {
            display("the store is of format {format}, this program knows up to {}: nothing was touched", high_water_mark::FORMAT)
        }
        /// A process has the store open, or wrote to it just now.
        InUse(what: &'static str) {
            display("the store is in use: {what}")
        }
        /// The disk lost what it had saved: it starts anew, empty, and so must the member.
        DataLost(what: &'static str) {
            display("the disk lost what it had saved: {what}")
        }
    }
}

impl StorageError {
    /// The content itself is bad: reading it again would not help, as it might after a failed read.
    pub(crate) fn is_bad_content(&self) -> bool {
        use std::io::ErrorKind;
        match self {
            StorageError::NewerFormat(_) | StorageError::InUse(_) => false,
            StorageError::Corrupt(..) | StorageError::DataLost(_) | StorageError::Panicked(..) => true,
            StorageError::Sled(_, _, sled::Error::Io(cause)) | StorageError::Io(_, _, cause) => {
                matches!(cause.kind(), ErrorKind::UnexpectedEof | ErrorKind::InvalidData)
            }
            StorageError::Sled(..) => true,
        }
    }
}
