//! What is wrong with a document, told so that an operator can go there and mend it.

use serde::{Deserialize, Serialize};

/// One problem of a document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// The file as it was named.
    pub file: String,
    /// Line, from 1; 0 where no place in the file is at fault.
    pub line: usize,
    /// Column in characters, from 1; 0 likewise.
    pub column: usize,
    /// Key path, such as `plans.starter.rate` or `routes.routes[2].class`; empty for the whole file.
    pub path: String,
    /// What stands there.
    pub found: String,
    /// What is wanted instead.
    pub wanted: String,
}

impl Problem {
    /// A problem of the whole file.
    pub fn of_file(file: &str, found: impl Into<String>, wanted: impl Into<String>) -> Problem {
        let (file, path) = (file.to_string(), String::new());
        Problem { file, line: 0, column: 0, path, found: found.into(), wanted: wanted.into() }
    }
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        if !self.path.is_empty() {
            write!(f, ": {}", self.path)?;
        }
        write!(f, ": found {}, wanted {}", self.found, self.wanted)
    }
}
