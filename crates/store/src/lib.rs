//! Persistent storage for the history of configuration transactions, in an embedded database (redb). Each step is one
//! durable database transaction, so that a process that is killed at any moment leaves all earlier steps intact.
//!
//! Without a file the same store runs in memory; [`History::is_durable`] is false then.

use nickeljunction_config::bundle::Bundle;
use nickeljunction_config::transaction::{Epoch, Record, Step};
use redb::backends::InMemoryBackend;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::path::Path;

/// Steps by number, from 0 on; each is a [`Record`] as JSON.
const STEPS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("steps");
/// Documents with their files by epoch; each is a [`Bundle`] as JSON.
const DOCUMENTS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("documents");
/// Metadata of the file; its only key is [`FORMAT_KEY`].
const METADATA: TableDefinition<'_, &str, u64> = TableDefinition::new("about");
/// The key of the format version in [`METADATA`].
const FORMAT_KEY: &str = "form";
/// The format version of the file that this program writes and reads.
const FORMAT: u64 = 1;
/// Documents with an epoch more than this below the last confirmed one are deleted together with their steps.
pub const MAX_DOCUMENTS: u64 = 256;
/// Upper limit of the database's page cache.
const CACHE_BYTES: usize = 1024 * 1024;

/// Why the history can't be opened, read or written.
#[derive(Debug)]
pub struct HistoryError(pub String);

impl std::fmt::Display for HistoryError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "history: {}", self.0)
    }
}

impl std::error::Error for HistoryError {}

impl<E: Into<redb::Error>> From<E> for HistoryError {
    fn from(error: E) -> HistoryError {
        HistoryError(error.into().to_string())
    }
}

/// The history of a gateway's configuration.
pub struct History {
    database: Database,
    durable: bool,
    /// The number of the next step.
    next_step: u64,
}

impl std::fmt::Debug for History {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "History {{ next_step: {}, durable: {} }}", self.next_step, self.durable)
    }
}

impl History {
    /// Opens the history in this file, or creates it together with missing parent folders.
    ///
    /// # Errors
    /// Another process has the file open, it is damaged, has another format version, or can't be written. An existing
    /// file is left unchanged.
    pub fn open(path: &Path) -> Result<History, HistoryError> {
        let name = path.display();
        let error = |cause: String| HistoryError(format!("{name}: {cause}"));
        if let Some(folder) = path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
            std::fs::create_dir_all(folder).map_err(|cause| error(cause.to_string()))?;
        }
        let database = Database::builder().set_cache_size(CACHE_BYTES).create(path);
        let database = database.map_err(|cause| match cause {
            redb::DatabaseError::DatabaseAlreadyOpen => error("another process has it open".into()),
            cause => error(cause.to_string()),
        })?;
        History::from_database(database, true).map_err(|cause| error(cause.0))
    }

    /// Creates a history in memory, which is lost when the process ends.
    pub fn in_memory() -> Result<History, HistoryError> {
        History::with_backend(InMemoryBackend::new(), false)
    }

    /// Creates a history on this backend. Tests can pass a backend that fails.
    pub fn with_backend(backend: impl StorageBackend, durable: bool) -> Result<History, HistoryError> {
        let database = Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(backend)?;
        History::from_database(database, durable)
    }

    fn from_database(database: Database, durable: bool) -> Result<History, HistoryError> {
        let write = database.begin_write()?;
        let next_step = {
            let mut metadata = write.open_table(METADATA)?;
            let format = metadata.get(FORMAT_KEY)?.map(|format| format.value());
            match format {
                None => drop(metadata.insert(FORMAT_KEY, FORMAT)?),
                Some(FORMAT) => {}
                Some(format) => {
                    return Err(HistoryError(format!(
                        "the file has format version {format}; this program reads version {FORMAT}"
                    )));
                }
            }
            write.open_table(DOCUMENTS)?;
            let steps = write.open_table(STEPS)?;
            let last = steps.last()?.map(|(number, _)| number.value());
            last.map_or(0, |last| last + 1)
        };
        write.commit()?;
        Ok(History { database, durable, next_step })
    }

    /// Whether the history outlives the process.
    pub fn is_durable(&self) -> bool {
        self.durable
    }

    /// Appends a step, together with its document if the step introduces one. With a file, both are durable when this
    /// returns. A confirmation also deletes documents beyond [`MAX_DOCUMENTS`] and their steps.
    ///
    /// # Errors
    /// The database can't be written; neither the step nor the document is stored then.
    pub fn append(&mut self, record: &Record, document: Option<&Bundle>) -> Result<(), HistoryError> {
        let record_json = serde_json::to_vec(record).map_err(|cause| HistoryError(cause.to_string()))?;
        let write = self.database.begin_write()?;
        {
            let mut steps = write.open_table(STEPS)?;
            steps.insert(self.next_step, record_json.as_slice())?;
            if let Some(document) = document {
                let document_json =
                    serde_json::to_vec(document).map_err(|cause| HistoryError(cause.to_string()))?;
                write.open_table(DOCUMENTS)?.insert(record.epoch, document_json.as_slice())?;
            }
            if matches!(record.step, Step::Confirmed { .. }) {
                let oldest = record.epoch.saturating_sub(MAX_DOCUMENTS);
                write.open_table(DOCUMENTS)?.retain(|epoch, _| epoch >= oldest)?;
                steps.retain(|_, record_json| {
                    serde_json::from_slice::<Record>(record_json).is_ok_and(|record| record.epoch >= oldest)
                })?;
            }
        }
        write.commit()?;
        self.next_step += 1;
        Ok(())
    }

    /// All stored steps, oldest first.
    ///
    /// # Errors
    /// The database can't be read, or a step in it can't be parsed.
    pub fn steps(&self) -> Result<Vec<Record>, HistoryError> {
        let read = self.database.begin_read()?;
        let steps = read.open_table(STEPS)?;
        let mut records = Vec::new();
        for entry in steps.iter()? {
            let (number, record_json) = entry?;
            let record = serde_json::from_slice(record_json.value())
                .map_err(|cause| HistoryError(format!("step {}: {cause}", number.value())))?;
            records.push(record);
        }
        Ok(records)
    }

    /// The document of an epoch, if it is still stored.
    ///
    /// # Errors
    /// The database can't be read, or the document in it can't be parsed.
    pub fn document(&self, epoch: Epoch) -> Result<Option<Bundle>, HistoryError> {
        let read = self.database.begin_read()?;
        let documents = read.open_table(DOCUMENTS)?;
        let Some(document_json) = documents.get(epoch)? else { return Ok(None) };
        let document = serde_json::from_slice(document_json.value())
            .map_err(|cause| HistoryError(format!("document of epoch {epoch}: {cause}")))?;
        Ok(Some(document))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickeljunction_config::transaction::Change;

    fn change(epoch: Epoch) -> Change {
        Change {
            epoch,
            base: epoch - 1,
            digest: format!("d{epoch}"),
            fingerprint: "f".into(),
            shared: false,
            who: "ann".into(),
            why: "to try".into(),
        }
    }

    fn bundle(epoch: Epoch) -> Bundle {
        Bundle { name: "g.json".into(), text: format!("{{\"version\":{epoch}}}"), files: Default::default() }
    }

    fn step(epoch: Epoch, step: Step) -> Record {
        Record { epoch, at: 1_000.5 + epoch as f64, step }
    }

    #[test]
    fn reopening_restores_all_steps_and_opening_twice_or_damaged_fails() {
        let folder = std::env::temp_dir().join(format!("nickeljunction-store-{}", std::process::id()));
        let path = folder.join("deep/history.redb");
        let records = [
            step(1, Step::Began { change: change(1) }),
            step(2, Step::Staged { change: change(2) }),
            step(2, Step::Trial { until: 7.0, round: Some(3), marked: true }),
            step(2, Step::RolledBack { why: "x".into() }),
        ];
        {
            let mut history = History::open(&path).expect("created");
            for record in &records {
                let has_document = matches!(record.step, Step::Began { .. } | Step::Staged { .. });
                history
                    .append(record, has_document.then(|| bundle(record.epoch)).as_ref())
                    .expect("appended");
            }
            let second = History::open(&path).expect_err("already open");
            assert!(second.to_string().contains("another process has it open"), "{second}");
        }
        let history = History::open(&path).expect("opened");
        assert_eq!(history.steps().expect("read"), records);
        assert_eq!(history.document(2).expect("read"), Some(bundle(2)));
        assert_eq!(history.document(9).expect("read"), None);
        drop(history);
        // A file with a damaged header is rejected with its name in the error, and left unchanged.
        let mut bytes = std::fs::read(&path).expect("read");
        bytes[..64].fill(7);
        std::fs::write(&path, &bytes).expect("written");
        assert!(History::open(&path).expect_err("damaged").to_string().contains("history.redb"));
        assert_eq!(std::fs::read(&path).expect("read"), bytes);
        let _ = std::fs::remove_dir_all(&folder);
    }

    #[test]
    fn confirming_deletes_old_documents_with_their_steps_but_keeps_the_confirmed_one() {
        let mut history = History::in_memory().expect("created");
        assert!(!history.is_durable());
        let last = MAX_DOCUMENTS + 20;
        for epoch in 1..=last {
            history
                .append(&step(epoch, Step::Staged { change: change(epoch) }), Some(&bundle(epoch)))
                .expect("appended");
            history.append(&step(epoch, Step::Confirmed { who: "ann".into() }), None).expect("appended");
        }
        let steps = history.steps().expect("read");
        assert_eq!(steps.first().map(|record| record.epoch), Some(20));
        assert_eq!(steps.last().map(|record| record.epoch), Some(last));
        assert_eq!(history.document(19).expect("read"), None);
        assert_eq!(history.document(last).expect("read"), Some(bundle(last)));
    }
}
