//! The high-water mark: a small file beside the store that says how far the store was synced. A store with fewer saves has
//! lost its end, and its member must not go on under its number.
//!
//! It is written after the sync that it tells of and needs none of its own: after a loss of power it may be old, torn or
//! missing, and then it tells of fewer saves, never of more. `docs/design/store.md` draws it.

use crate::folder_sync::{io_error, sync_folder};
use crate::StorageError;
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Read};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Its name in the store's folder.
pub(crate) const MARK: &str = "mark";
/// The format that this program writes, and the newest one that it reads. 1 had neither mark nor count of saves; 2 no entries
/// by which one member takes another's place, which a program of that time would take for a broken store.
pub(crate) const FORMAT: u32 = 3;

const MAGIC: [u8; 8] = *b"NJHOLD\r\n";
/// Bytes of the head: magic, format, times lost, checksum.
const HEAD_BYTES: usize = 20;
/// Offsets of two positions that are written in turn, each in a sector of its own, so that a torn write spares the one
/// before.
const POSITION_OFFSETS: [usize; 2] = [512, 1024];
/// Bytes of a position: store, saves, last, last term, checksum.
const POSITION_BYTES: usize = 36;

/// How far a store was synced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SyncedPosition {
    /// Number of the store, drawn when it was first written; 0: none.
    pub store: u64,
    /// Saves that it had taken.
    pub saves: u64,
    /// Index of its last entry.
    pub last: u64,
    /// That entry's term; 0: not known.
    pub last_term: u64,
}

/// The mark: its file, and what it says.
#[derive(Debug)]
pub(crate) struct HighWaterMark {
    path: PathBuf,
    file: Option<File>,
    /// The head is there, whole, and of this format.
    headed: bool,
    /// How often the folder lost a store that had taken saves.
    pub(crate) lost: u32,
    /// The newest position.
    pub(crate) position: SyncedPosition,
}

fn checksum(bytes: &[u8]) -> [u8; 4] {
    crc32fast::hash(bytes).to_le_bytes()
}

fn word<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    bytes.get(at..at + N).and_then(|part| part.try_into().ok()).unwrap_or([0; N])
}

impl SyncedPosition {
    fn to_bytes(self) -> Vec<u8> {
        let words = [self.store, self.saves, self.last, self.last_term];
        let mut bytes = words.map(u64::to_le_bytes).concat();
        bytes.extend_from_slice(&checksum(&bytes));
        bytes
    }

    fn of(bytes: &[u8]) -> Option<SyncedPosition> {
        let (words, crc) = bytes.get(..POSITION_BYTES)?.split_at(POSITION_BYTES - 4);
        let word = |at: usize| u64::from_le_bytes(word(words, at * 8));
        let position = SyncedPosition { store: word(0), saves: word(1), last: word(2), last_term: word(3) };
        (crc == checksum(words) && position.store != 0).then_some(position)
    }
}

impl HighWaterMark {
    /// Reads the mark of a folder; changes nothing. One that is missing or torn has position 0.
    ///
    /// # Errors
    /// The folder is of a newer format, or can't be read for the moment.
    pub(crate) fn read(dir: &Path) -> Result<HighWaterMark, StorageError> {
        let path = dir.join(MARK);
        let mut bytes = Vec::new();
        match File::open(&path).and_then(|file| file.take(4_096).read_to_end(&mut bytes)) {
            Err(cause) if cause.kind() != ErrorKind::NotFound => return Err(io_error("read", &path, cause)),
            _ => {}
        }
        let head = bytes
            .get(..HEAD_BYTES)
            .filter(|head| head[..8] == MAGIC && checksum(&head[..HEAD_BYTES - 4]) == head[HEAD_BYTES - 4..]);
        let (format, lost) = head
            .map_or((0, 0), |head| (u32::from_le_bytes(word(head, 8)), u32::from_le_bytes(word(head, 12))));
        if format > FORMAT {
            return Err(StorageError::NewerFormat(format));
        }
        let positions = POSITION_OFFSETS.iter().filter_map(|place| SyncedPosition::of(bytes.get(*place..)?));
        let position = positions.max_by_key(|position| position.saves).unwrap_or_default();
        Ok(HighWaterMark { path, file: None, headed: head.is_some() && format == FORMAT, lost, position })
    }

    /// Why a store with this number and so many saves can't be whole; none: by the mark it may be.
    pub(crate) fn detect_loss(&self, store: u64, saves: u64) -> Option<&'static str> {
        match self.position {
            SyncedPosition { store: 0, .. } => None,
            position if position.store != store && store != 0 => {
                Some("it is another store than the mark tells of")
            }
            position if saves < position.saves => Some("it lost its end: the mark tells of later saves"),
            _ => None,
        }
    }

    fn file(&mut self) -> std::io::Result<&File> {
        if self.file.is_none() {
            let file = OpenOptions::new().write(true).create(true).truncate(false).open(&self.path)?;
            if !self.headed {
                let mut head = MAGIC.to_vec();
                head.extend_from_slice(&FORMAT.to_le_bytes());
                head.extend_from_slice(&self.lost.to_le_bytes());
                head.extend_from_slice(&checksum(&head));
                file.write_all_at(&head, 0)?;
                self.headed = true;
            }
            self.file = Some(file);
        }
        self.file.as_ref().ok_or_else(|| ErrorKind::NotFound.into())
    }

    /// Records what was synced; not synced itself. Where it can't be written, the older position stands.
    pub(crate) fn record(&mut self, position: SyncedPosition) {
        self.position = position;
        let place = POSITION_OFFSETS[(position.saves % 2) as usize];
        if self.file().and_then(|file| file.write_all_at(&position.to_bytes(), place as u64)).is_err() {
            self.file = None;
        }
    }

    /// Syncs what was recorded.
    pub(crate) fn sync(&mut self) {
        #[cfg(test)]
        crate::power::file(&self.path);
        // Where this fails the mark may tell of fewer saves. Tests need the file, but none outlives its machine.
        let _ = self.file().and_then(|file| if cfg!(test) { Ok(()) } else { file.sync_all() });
    }

    /// Syncs the file and its name.
    pub(crate) fn sync_name(&mut self) {
        self.sync();
        let _ = self.path.parent().map(sync_folder);
    }

    /// The store is discarded: counts the loss, and clears the position.
    ///
    /// # Errors
    /// It can't be written: the old positions stand, and the next opening finds them.
    pub(crate) fn reset(&mut self) -> Result<(), StorageError> {
        if self.position.store != 0 {
            self.lost += 1;
        }
        (self.file, self.headed, self.position) = (None, false, SyncedPosition::default());
        let path = self.path.clone();
        let written = self.file().and_then(|file| {
            POSITION_OFFSETS
                .iter()
                .try_for_each(|place| file.write_all_at(&[0; POSITION_BYTES], *place as u64))?;
            file.sync_all()
        });
        #[cfg(test)]
        crate::power::file(&path);
        written.map_err(|cause| io_error("write", &path, cause))
    }
}
