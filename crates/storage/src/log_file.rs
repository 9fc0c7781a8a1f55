//! The store's log: one file to which each save appends one record, synced before the save is acknowledged.
//!
//! A record's checksum covers the one before it, so that what is left of an earlier file, or of a write that was torn, never
//! passes for the next record. Nothing that was synced is ever written over; `docs/design/store.md` draws the format.

use crate::folder_sync::{self, trouble};
use crate::high_water_mark::FORMAT;
use crate::stored_state::{corrupt, StoredState};
use crate::StorageError;
use nickeljunction_consensus::{Entry, HardState, Member, Snapshot, Write};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{BufReader, Read};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The file's name within a store's folder.
pub(crate) const LOG: &str = "log";

/// First bytes of the file.
const MAGIC: [u8; 8] = *b"NJ-LOG\r\n";
/// Bytes before a record's JSON: its length and its checksum.
const RECORD_HEAD: usize = 8;
/// A process that ends may store its lock while its last sync lasts: so often it is tried, and so long apart.
const LOCK_TRIES: u32 = 200;
const LOCK_PAUSE: Duration = Duration::from_millis(10);

/// What a store tells of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoreHeader {
    /// Its format; 0: written by format 1.
    #[serde(rename = "f", default)]
    pub(crate) format: u32,
    /// Its number, drawn when it was first written; 0: none.
    #[serde(rename = "s", default)]
    pub(crate) store: u64,
    /// Saves that it has taken.
    #[serde(rename = "c", default)]
    pub(crate) saves: u64,
}

impl StoreHeader {
    /// Of the next save.
    pub(crate) fn next(self) -> StoreHeader {
        let store = if self.store == 0 { fastrand::u64(1..1 << 40) } else { self.store };
        StoreHeader { format: FORMAT, store, saves: self.saves + 1 }
    }
}

/// One save as it stands in the file.
#[derive(Debug, Serialize, Deserialize)]
struct Record<'a> {
    #[serde(flatten)]
    stamp: StoreHeader,
    #[serde(rename = "h")]
    hard: HardState,
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    me: Option<Cow<'a, Member>>,
    /// Entries from this index on are deleted.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    truncate_from: Option<u64>,
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    snapshot: Option<Cow<'a, Snapshot>>,
    #[serde(rename = "e")]
    entries: Cow<'a, [Entry]>,
}

impl<'a> Record<'a> {
    fn of(write: &'a Write, hard: HardState, stamp: StoreHeader) -> Record<'a> {
        Record {
            stamp,
            hard,
            me: write.me.as_ref().map(Cow::Borrowed),
            truncate_from: write.truncate_from,
            snapshot: write.snapshot.as_ref().map(Cow::Borrowed),
            entries: Cow::Borrowed(&write.entries),
        }
    }

    fn into_write(self) -> Write {
        Write {
            me: self.me.map(Cow::into_owned),
            hard: Some(self.hard),
            truncate_from: self.truncate_from,
            snapshot: self.snapshot.map(Cow::into_owned),
            entries: self.entries.into_owned(),
            ..Write::default()
        }
    }
}

/// Checksum of a record that follows on the one whose checksum is `previous`.
fn checksum(previous: u32, json: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(previous);
    hasher.update(&(json.len() as u32).to_le_bytes());
    hasher.update(json);
    hasher.finalize()
}

/// Where the next record goes, and what it follows on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Tail {
    /// Bytes of the file up to the end of its last record.
    pub(crate) bytes: u64,
    /// Checksum of that record.
    checksum: u32,
}

impl Tail {
    /// Of a file without records.
    const START: Tail = Tail { bytes: MAGIC.len() as u64, checksum: 0 };

    fn after(self, record: &[u8], checksum: u32) -> Tail {
        Tail { bytes: self.bytes + record.len() as u64, checksum }
    }
}

/// What a file holds.
#[derive(Debug)]
pub(crate) struct Contents {
    /// None where nothing was saved.
    pub(crate) state: Option<StoredState>,
    pub(crate) stamp: StoreHeader,
    /// Records that could be read.
    pub(crate) records: usize,
    /// Where the records that can be read end.
    pub(crate) tail: Tail,
    /// Why no record follows, where bytes do: a write that was torn, or damage.
    pub(crate) broken: Option<StorageError>,
}

/// Reads records up to the first one that can't be read, or to `limit` bytes.
///
/// # Errors
/// The file can't be read now, is of a newer format, or its records don't fit together.
pub(crate) fn read(path: &Path, limit: Option<u64>) -> Result<Contents, StorageError> {
    let file = File::open(path).map_err(|cause| trouble("open", path, cause))?;
    let length = file.metadata().map_err(|cause| trouble("read", path, cause))?.len();
    let mut reader = RecordReader {
        source: BufReader::new(file),
        path,
        left: limit.map_or(length, |limit| length.min(limit)),
    };
    let mut contents =
        Contents { state: None, stamp: StoreHeader::default(), records: 0, tail: Tail::START, broken: None };
    if reader.take(MAGIC.len())?.is_none_or(|bytes| bytes != MAGIC) {
        // Its first sync was never done, or it is damaged; the mark tells which.
        contents.broken = (length > 0).then(|| corrupt("log", "has no head"));
        return Ok(contents);
    }
    while reader.left > 0 {
        match reader.next(contents.tail, contents.stamp)? {
            Next::Save { write, stamp, tail } => {
                contents.state = Some(StoredState::after(contents.state.take(), &write)?);
                (contents.stamp, contents.tail) = (stamp, tail);
                contents.records += 1;
            }
            Next::Broken(why) => {
                contents.broken = Some(why);
                break;
            }
        }
    }
    contents.state.as_ref().map_or(Ok(()), StoredState::check)?;
    Ok(contents)
}

/// What follows on a record.
enum Next {
    /// A save, and where it ends.
    Save { write: Box<Write>, stamp: StoreHeader, tail: Tail },
    /// Bytes that are no record, and why.
    Broken(StorageError),
}

struct RecordReader<'a> {
    source: BufReader<File>,
    path: &'a Path,
    /// Bytes that were not read yet.
    left: u64,
}

impl RecordReader<'_> {
    /// The next `count` bytes; none where fewer are left.
    fn take(&mut self, count: usize) -> Result<Option<Vec<u8>>, StorageError> {
        if self.left < count as u64 {
            return Ok(None);
        }
        let mut bytes = vec![0; count];
        self.source.read_exact(&mut bytes).map_err(|cause| trouble("read", self.path, cause))?;
        self.left -= count as u64;
        Ok(Some(bytes))
    }

    /// What follows on the record that ends at `tail`, and on the save `before`.
    fn next(&mut self, tail: Tail, before: StoreHeader) -> Result<Next, StorageError> {
        let broken = |what| {
            let name = format!("record {} at byte {}", before.saves + 1, tail.bytes);
            Ok(Next::Broken(corrupt(name, what)))
        };
        let Some(head) = self.take(RECORD_HEAD)? else { return broken("is cut off") };
        let (length, sum) = head.split_at(4);
        let length = u32::from_le_bytes(length.try_into().unwrap_or_default()) as usize;
        let Some(json) = self.take(length)? else { return broken("is cut off") };
        let checksum = checksum(tail.checksum, &json);
        if sum != checksum.to_le_bytes() {
            return broken("has another checksum than it should");
        }
        let Ok(record) = serde_json::from_slice::<Record>(&json) else {
            return broken("can't be read");
        };
        let stamp = record.stamp;
        if stamp.format > FORMAT {
            return Err(StorageError::NewerFormat(stamp.format));
        }
        let tail = Tail { bytes: tail.bytes + (RECORD_HEAD + length) as u64, checksum };
        Ok(Next::Save { write: Box::new(record.into_write()), stamp, tail })
    }
}

/// The open file of a store.
#[derive(Debug)]
pub(crate) struct LogFile {
    path: PathBuf,
    file: File,
    tail: Tail,
    #[cfg(test)]
    pub(crate) trial: Trial,
}

/// What tests change about syncs.
#[cfg(test)]
#[derive(Debug, Default)]
pub(crate) struct Trial {
    /// Gets what a loss of power would leave.
    pub(crate) shadow: Option<PathBuf>,
    /// Nothing is synced.
    pub(crate) lazy: bool,
    /// The true file is synced.
    pub(crate) truly: bool,
}

impl LogFile {
    /// Opens the file in `folder`, both made where they are missing, and reads it up to `limit`. Nothing is to be appended
    /// before [`LogFile::recover`].
    ///
    /// # Errors
    /// As [`read`], and where another process has it open.
    pub(crate) fn open(folder: &Path, limit: Option<Tail>) -> Result<(LogFile, Contents), StorageError> {
        fs::create_dir_all(folder).map_err(|cause| trouble("create", folder, cause))?;
        let path = folder.join(LOG);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(|cause| trouble("open", &path, cause))?;
        lock(&file)?;
        let contents = read(&path, limit.map(|tail| tail.bytes))?;
        let log = LogFile {
            path,
            file,
            tail: contents.tail,
            #[cfg(test)]
            trial: Trial::default(),
        };
        Ok((log, contents))
    }

    /// Cuts off what follows the last record, and syncs the file and its name.
    ///
    /// # Errors
    /// The disk doesn't take it.
    pub(crate) fn recover(&self, folder: &Path) -> Result<(), StorageError> {
        let cut = || -> std::io::Result<()> {
            if self.tail == Tail::START {
                self.file.write_all_at(&MAGIC, 0)?;
            }
            if self.file.metadata()?.len() > self.tail.bytes {
                self.file.set_len(self.tail.bytes)?;
            }
            Ok(())
        };
        cut().map_err(|cause| trouble("write", &self.path, cause))?;
        self.sync()?;
        folder_sync::sync_folder(folder)
    }

    /// What the file holds.
    ///
    /// # Errors
    /// As [`read`].
    pub(crate) fn read(&self) -> Result<Contents, StorageError> {
        read(&self.path, Some(self.tail.bytes))
    }

    /// Where the next record goes.
    pub(crate) fn tail(&self) -> Tail {
        self.tail
    }

    /// Appends a save and syncs it.
    ///
    /// # Errors
    /// It could not be written or synced; part of it may be in the file.
    pub(crate) fn append(
        &mut self,
        write: &Write,
        hard: HardState,
        stamp: StoreHeader,
    ) -> Result<(), StorageError> {
        let tail = self.write(write, hard, stamp)?;
        self.sync()?;
        self.tail = tail;
        Ok(())
    }

    /// Writes a record after the last one; where it ends.
    fn write(&self, write: &Write, hard: HardState, stamp: StoreHeader) -> Result<Tail, StorageError> {
        let mut record = vec![0; RECORD_HEAD];
        serde_json::to_writer(&mut record, &Record::of(write, hard, stamp))
            .map_err(|_| corrupt("record", "can't be written"))?;
        let length =
            u32::try_from(record.len() - RECORD_HEAD).map_err(|_| corrupt("record", "is too long"))?;
        let checksum = checksum(self.tail.checksum, &record[RECORD_HEAD..]);
        record[..4].copy_from_slice(&length.to_le_bytes());
        record[4..RECORD_HEAD].copy_from_slice(&checksum.to_le_bytes());
        self.file
            .write_all_at(&record, self.tail.bytes)
            .map_err(|cause| trouble("write", &self.path, cause))?;
        Ok(self.tail.after(&record, checksum))
    }

    #[cfg(not(test))]
    fn sync(&self) -> Result<(), StorageError> {
        self.file.sync_all().map_err(|cause| trouble("sync", &self.path, cause))
    }

    /// The shadow and the recorder tell what lasts; waiting for the true disk would tell nothing more.
    #[cfg(test)]
    pub(crate) fn sync(&self) -> Result<(), StorageError> {
        if self.trial.lazy {
            return Ok(());
        }
        crate::power::ask().map_err(|cause| trouble("sync", &self.path, cause))?;
        crate::power::file(&self.path);
        if let Some(shadow) = &self.trial.shadow {
            fs::create_dir_all(shadow).expect("a folder");
            fs::copy(&self.path, shadow.join(LOG)).expect("a copy");
        }
        if self.trial.truly {
            self.file.sync_all().map_err(|cause| trouble("sync", &self.path, cause))?;
        }
        Ok(())
    }
}

#[cfg(test)]
impl LogFile {
    /// Gets a save to the file, but not synced, and forgets it.
    pub(crate) fn write_unsynced(&self, write: &Write, hard: HardState, stamp: StoreHeader) {
        self.write(write, hard, stamp).expect("it is written");
    }
}

/// Waits for a process that is about to end.
fn lock(file: &File) -> Result<(), StorageError> {
    for _ in 0..LOCK_TRIES {
        match file.try_lock() {
            Err(TryLockError::WouldBlock) => std::thread::sleep(LOCK_PAUSE),
            // Where locks have no effect there is nothing to wait for.
            Ok(()) | Err(TryLockError::Error(_)) => return Ok(()),
        }
    }
    Err(StorageError::InUse("a process has it open"))
}
