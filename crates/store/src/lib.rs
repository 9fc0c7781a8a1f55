//! What outlives the process. So far the history of configuration transactions: an embedded store (redb), each
//! step one durable transaction, so that a process that is killed at any moment leaves the steps before whole.
//!
//! Without a file the same store runs in memory and says so ([`History::is_durable`]).

use nickeljunction_config::bundle::Bundle;
use nickeljunction_config::transaction::{Epoch, Record, Step};
use redb::backends::InMemoryBackend;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::path::Path;

/// Steps by their number, from 0 on: a [`Record`] as JSON.
const STEPS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("steps");
/// Documents with their files by epoch: a [`Bundle`] as JSON.
const DOCUMENTS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("documents");
/// About the file: `form`.
const ABOUT: TableDefinition<'_, &str, u64> = TableDefinition::new("about");
/// The form of the file that this program writes and reads.
const FORM: u64 = 1;
/// Documents that are kept; their steps go with them.
pub const MAX_DOCUMENTS: u64 = 256;
/// What the store may keep in memory of its file, bytes.
const CACHE: usize = 1024 * 1024;

/// Why the history can't be used.
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
    store: Database,
    lasting: bool,
    next: u64,
}

impl std::fmt::Debug for History {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "History {{ steps: {}, lasting: {} }}", self.next, self.lasting)
    }
}

impl History {
    /// Opens or makes the history in this file; folders on the way to it are made.
    ///
    /// # Errors
    /// Another process has it open, it is damaged, of a later form, or can't be written. The file stays as it is.
    pub fn open(path: &Path) -> Result<History, HistoryError> {
        let name = path.display();
        let said = |why: String| HistoryError(format!("{name}: {why}"));
        if let Some(folder) = path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
            std::fs::create_dir_all(folder).map_err(|why| said(why.to_string()))?;
        }
        let store = Database::builder().set_cache_size(CACHE).create(path);
        let store = store.map_err(|why| match why {
            redb::DatabaseError::DatabaseAlreadyOpen => said("another process has it open".into()),
            why => said(why.to_string()),
        })?;
        History::over(store, true).map_err(|why| said(why.0))
    }

    /// A history that ends with the process.
    pub fn in_memory() -> Result<History, HistoryError> {
        History::with_backend(InMemoryBackend::new(), false)
    }

    /// A history on this backend; for tests with one that fails.
    pub fn with_backend(backend: impl StorageBackend, lasting: bool) -> Result<History, HistoryError> {
        let store = Database::builder().set_cache_size(CACHE).create_with_backend(backend)?;
        History::over(store, lasting)
    }

    fn over(store: Database, lasting: bool) -> Result<History, HistoryError> {
        let write = store.begin_write()?;
        let next = {
            let mut about = write.open_table(ABOUT)?;
            let form = about.get("form")?.map(|form| form.value());
            match form {
                None => drop(about.insert("form", FORM)?),
                Some(FORM) => {}
                Some(form) => {
                    return Err(HistoryError(format!("of form {form}; this program reads form {FORM}")));
                }
            }
            write.open_table(DOCUMENTS)?;
            let steps = write.open_table(STEPS)?;
            let last = steps.last()?.map(|(number, _)| number.value());
            last.map_or(0, |last| last + 1)
        };
        write.commit()?;
        Ok(History { store, lasting, next })
    }

    /// True if it outlives the process.
    pub fn is_durable(&self) -> bool {
        self.lasting
    }

    /// Keeps a step, and with a new document the document; durable when this returns.
    ///
    /// # Errors
    /// The store can't be written; nothing of the step is kept then.
    pub fn append(&mut self, record: &Record, document: Option<&Bundle>) -> Result<(), HistoryError> {
        let line = serde_json::to_vec(record).map_err(|why| HistoryError(why.to_string()))?;
        let write = self.store.begin_write()?;
        {
            let mut steps = write.open_table(STEPS)?;
            steps.insert(self.next, line.as_slice())?;
            if let Some(document) = document {
                let text = serde_json::to_vec(document).map_err(|why| HistoryError(why.to_string()))?;
                write.open_table(DOCUMENTS)?.insert(record.epoch, text.as_slice())?;
            }
            if matches!(record.step, Step::Confirmed { .. }) {
                let oldest = record.epoch.saturating_sub(MAX_DOCUMENTS);
                write.open_table(DOCUMENTS)?.retain(|epoch, _| epoch >= oldest)?;
                steps.retain(|_, line| {
                    serde_json::from_slice::<Record>(line).is_ok_and(|record| record.epoch >= oldest)
                })?;
            }
        }
        write.commit()?;
        self.next += 1;
        Ok(())
    }

    /// All steps, oldest first.
    ///
    /// # Errors
    /// The store can't be read, or a step in it can't.
    pub fn steps(&self) -> Result<Vec<Record>, HistoryError> {
        let read = self.store.begin_read()?;
        let steps = read.open_table(STEPS)?;
        let mut records = Vec::new();
        for entry in steps.iter()? {
            let (number, line) = entry?;
            let record = serde_json::from_slice(line.value())
                .map_err(|why| HistoryError(format!("step {}: {why}", number.value())))?;
            records.push(record);
        }
        Ok(records)
    }

    /// The document of an epoch, if it is still kept.
    ///
    /// # Errors
    /// The store can't be read, or the document in it can't.
    pub fn document(&self, epoch: Epoch) -> Result<Option<Bundle>, HistoryError> {
        let read = self.store.begin_read()?;
        let documents = read.open_table(DOCUMENTS)?;
        let Some(text) = documents.get(epoch)? else { return Ok(None) };
        let document = serde_json::from_slice(text.value())
            .map_err(|why| HistoryError(format!("document of epoch {epoch}: {why}")))?;
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
    fn what_was_kept_is_there_again_and_a_second_process_is_kept_out() {
        let folder = std::env::temp_dir().join(format!("nickeljunction-store-{}", std::process::id()));
        let path = folder.join("deep/history.redb");
        let records = [
            step(1, Step::Began { change: change(1) }),
            step(2, Step::Staged { change: change(2) }),
            step(2, Step::Trial { until: 7.0, round: Some(3), marked: true }),
            step(2, Step::RolledBack { why: "x".into() }),
        ];
        {
            let mut history = History::open(&path).expect("made");
            for record in &records {
                let document = matches!(record.step, Step::Began { .. } | Step::Staged { .. });
                history.append(record, document.then(|| bundle(record.epoch)).as_ref()).expect("kept");
            }
            let second = History::open(&path).expect_err("open already");
            assert!(second.to_string().contains("another process has it open"), "{second}");
        }
        let history = History::open(&path).expect("opened");
        assert_eq!(history.steps().expect("read"), records);
        assert_eq!(history.document(2).expect("read"), Some(bundle(2)));
        assert_eq!(history.document(9).expect("read"), None);
        drop(history);
        // Damaged in its first bytes it is refused by name, and left alone.
        let mut bytes = std::fs::read(&path).expect("read");
        bytes[..64].fill(7);
        std::fs::write(&path, &bytes).expect("written");
        assert!(History::open(&path).expect_err("damaged").to_string().contains("history.redb"));
        assert_eq!(std::fs::read(&path).expect("read"), bytes);
        let _ = std::fs::remove_dir_all(&folder);
    }

    #[test]
    fn old_documents_go_with_their_steps_and_the_confirmed_one_stays() {
        let mut history = History::in_memory().expect("made");
        assert!(!history.is_durable());
        let last = MAX_DOCUMENTS + 20;
        for epoch in 1..=last {
            history
                .append(&step(epoch, Step::Staged { change: change(epoch) }), Some(&bundle(epoch)))
                .expect("kept");
            history.append(&step(epoch, Step::Confirmed { who: "ann".into() }), None).expect("kept");
        }
        let steps = history.steps().expect("read");
        assert_eq!(steps.first().map(|record| record.epoch), Some(20));
        assert_eq!(steps.last().map(|record| record.epoch), Some(last));
        assert_eq!(history.document(19).expect("read"), None);
        assert_eq!(history.document(last).expect("read"), Some(bundle(last)));
    }
}
