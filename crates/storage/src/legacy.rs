//! Reads stores of formats 1 to 3, which were sled databases, so that they can be brought to the present format.
//!
//! Their records are JSON behind a checksum, cut into pieces of 4,000 bytes, one key and value each.

use crate::folder_sync::copy_folder;
use crate::high_water_mark::FORMAT;
use crate::log_file::StoreHeader;
use crate::stored_state::{corrupt, StoredState};
use crate::StorageError;
use nickeljunction_consensus::{Entry, HardState, Member, Snapshot};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::fs;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

/// Bytes of a part of the database's log; it can't be opened with another size.
const SEGMENT_BYTES: usize = 256 * 1024;
/// Bytes of a piece.
#[cfg(test)]
const PIECE: usize = 4_000;
/// Checksum and length, before the first piece.
const HEAD: usize = 8;

/// Whose disk it is.
pub(crate) const ME: &[u8] = b"m";
/// Term and vote.
pub(crate) const HARD: &[u8] = b"h";
/// The snapshot.
pub(crate) const SNAPSHOT: &[u8] = b"s";
/// An entry, before its index.
pub(crate) const ENTRY: &[u8] = b"e";

/// Key of the entry at `index`: keys sort as indexes do.
#[cfg(test)]
pub(crate) fn entry_key(index: u64) -> Vec<u8> {
    [ENTRY, &index.to_be_bytes()].concat()
}

/// Key of a piece of the record at `key`.
#[cfg(test)]
pub(crate) fn piece_key(key: &[u8], piece: usize) -> Vec<u8> {
    [key, &(piece as u32).to_be_bytes()].concat()
}

/// The pieces of a record.
///
/// # Errors
/// Where it can't be written as JSON.
#[cfg(test)]
pub(crate) fn pieces<T: Serialize>(name: &'static str, record: &T) -> Result<Vec<Vec<u8>>, StorageError> {
    let json = serde_json::to_vec(record).map_err(|_| corrupt(name, "can't be written"))?;
    let mut whole = Vec::with_capacity(HEAD + json.len());
    whole.extend_from_slice(&crc32fast::hash(&json).to_le_bytes());
    whole.extend_from_slice(&(json.len() as u32).to_le_bytes());
    whole.extend_from_slice(&json);
    Ok(whole.chunks(PIECE).map(<[u8]>::to_vec).collect())
}

/// Reads a record out of its pieces, put together.
fn read<T: DeserializeOwned>(key: &str, whole: &[u8]) -> Result<T, StorageError> {
    let (head, json) = whole.split_at_checked(HEAD).ok_or_else(|| corrupt(key, "is cut off"))?;
    let (crc, len) = head.split_at(4);
    if len != (json.len() as u32).to_le_bytes().as_slice() {
        return Err(corrupt(key, "has another length than it should"));
    }
    if crc != crc32fast::hash(json).to_le_bytes().as_slice() {
        return Err(corrupt(key, "has another checksum than it should"));
    }
    serde_json::from_slice(json).map_err(|_| corrupt(key, "can't be read"))
}

/// Term and vote as they stand on the disk, with what the store tells of itself. Format 1 had term and vote alone, and a
/// program of format 1 passes over the rest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HardStateRecord {
    #[serde(flatten)]
    pub(crate) hard: HardState,
    #[serde(flatten)]
    pub(crate) stamp: StoreHeader,
}

/// All that could be read of a store, and what could not.
#[derive(Debug, Default)]
pub(crate) struct StoreContents {
    pub(crate) me: Option<Member>,
    pub(crate) hard: Option<HardStateRecord>,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) entries: Vec<Entry>,
    /// Records, good and bad.
    pub(crate) records: usize,
    /// In the order of keys.
    pub(crate) faults: Vec<StorageError>,
}

/// Puts together what the store gives, piece by piece in the order of keys.
#[derive(Default)]
pub(crate) struct Reader {
    found: StoreContents,
    key: Vec<u8>,
    whole: Vec<u8>,
    next: u32,
    /// Pieces of the record at `key` are missing.
    holed: bool,
}

impl Reader {
    /// Takes the next key and value.
    pub(crate) fn take(&mut self, key: &[u8], value: &[u8]) {
        let Some((record, piece)) = key.split_last_chunk::<4>() else {
            return self.found.faults.push(corrupt("key", "is cut off"));
        };
        let piece = u32::from_be_bytes(*piece);
        if piece == 0 || self.key != record {
            self.close();
            self.key = record.to_vec();
            (self.next, self.holed) = (0, false);
        }
        self.holed |= piece != self.next;
        self.next = piece.wrapping_add(1);
        self.whole.extend_from_slice(value);
    }

    /// Reads the record whose pieces are complete.
    fn close(&mut self) {
        if self.key.is_empty() {
            return;
        }
        let whole = std::mem::take(&mut self.whole);
        self.found.records += 1;
        if let Err(fault) = self.read_record(&whole) {
            self.found.faults.push(fault);
        }
    }

    fn read_record(&mut self, whole: &[u8]) -> Result<(), StorageError> {
        let index = self.key.strip_prefix(ENTRY).and_then(|index| <[u8; 8]>::try_from(index).ok());
        let name = match (self.key.as_slice(), index) {
            (ME, _) => "me".to_owned(),
            (HARD, _) => "hard".to_owned(),
            (SNAPSHOT, _) => "snapshot".to_owned(),
            (_, Some(index)) => format!("entry {}", u64::from_be_bytes(index)),
            _ => return Err(corrupt("key", "is none of ours")),
        };
        if self.holed {
            return Err(corrupt(name, "misses a piece"));
        }
        let found = &mut self.found;
        match (self.key.as_slice(), index) {
            (ME, _) => found.me = Some(read(&name, whole)?),
            (HARD, _) => found.hard = Some(read(&name, whole)?),
            (SNAPSHOT, _) => found.snapshot = Some(read(&name, whole)?),
            (_, index) => {
                let entry: Entry = read(&name, whole)?;
                if index.map(u64::from_be_bytes) != Some(entry.index) {
                    return Err(corrupt(name, "is another entry"));
                }
                found.entries.push(entry);
            }
        }
        Ok(())
    }

    /// All that was read.
    pub(crate) fn finish(mut self) -> StoreContents {
        self.close();
        self.found
    }
}

impl StoreContents {
    /// What the store tells of itself.
    pub(crate) fn stamp(&self) -> StoreHeader {
        self.hard.unwrap_or_default().stamp
    }

    /// All of it; none where there was nothing.
    ///
    /// # Errors
    /// Where something can't be read or doesn't fit together, or is of a newer format.
    pub(crate) fn kept(self) -> Result<Option<StoredState>, StorageError> {
        if self.stamp().format > FORMAT {
            return Err(StorageError::NewerFormat(self.stamp().format));
        }
        if let Some(fault) = self.faults.into_iter().next() {
            return Err(fault);
        }
        let Some(me) = self.me else {
            let nothing = self.hard.is_none() && self.snapshot.is_none() && self.entries.is_empty();
            return if nothing { Ok(None) } else { Err(corrupt("me", "is missing")) };
        };
        let hard = self.hard.unwrap_or_default().hard;
        let kept = StoredState { me, hard, snapshot: self.snapshot, entries: self.entries };
        kept.check()?;
        Ok(Some(kept))
    }
}

/// The name of the database's own log: a store's folder that has it is of an older format.
const DATABASE: &str = "db";

/// Whether a store's folder is of format 1 to 3.
pub(crate) fn is_legacy(folder: &Path) -> bool {
    folder.join(DATABASE).exists() && !folder.join(crate::log_file::LOG).exists()
}

/// Reads all that a store of format 1 to 3 has, from a copy in `scratch`, since opening the database changes it.
///
/// # Errors
/// It can't be copied, or the database can't be opened.
pub(crate) fn read_copy(folder: &Path, scratch: &Path) -> Result<StoreContents, StorageError> {
    copy_folder(folder, scratch)?;
    let found = open_database(scratch).and_then(|database| read_database(&database));
    // What remains is cleared at the next opening.
    let _ = fs::remove_dir_all(scratch);
    found
}

/// Opens the database itself.
///
/// # Errors
/// It is broken or can't be read.
pub(crate) fn open_database(folder: &Path) -> Result<sled::Db, StorageError> {
    let config = sled::Config::new().path(folder).flush_every_ms(None).use_compression(false);
    let config = config.segment_size(SEGMENT_BYTES);
    guarded("open", || config.open().map_err(|cause| StorageError::Sled("open", "store".to_owned(), cause)))
}

/// All that a database has, good and bad.
pub(crate) fn read_database(database: &sled::Db) -> Result<StoreContents, StorageError> {
    guarded("read", || {
        let mut reader = Reader::default();
        for item in database.iter() {
            let (key, value) =
                item.map_err(|cause| StorageError::Sled("read", "records".to_owned(), cause))?;
            reader.take(&key, &value);
        }
        Ok(reader.finish())
    })
}

/// Does a step that may panic inside the database, which then counts as an error.
fn guarded<T>(step: &'static str, act: impl FnOnce() -> Result<T, StorageError>) -> Result<T, StorageError> {
    catch_unwind(AssertUnwindSafe(act))
        .unwrap_or_else(|_| Err(StorageError::Panicked(step, "store".to_owned())))
}
