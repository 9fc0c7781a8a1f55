//! Paths that documents name.

use std::path::{Path, PathBuf};

/// A path that a document names, which is taken from the document's folder.
pub fn beside(document: &Path, named: &str) -> PathBuf {
    document.parent().unwrap_or(Path::new("")).join(named)
}
