//! An operator's change of the configuration, checked against the state.

use crate::effects::Answer;
use crate::statutes::{Entry, Statutes};
use bytes::Bytes;
use nickeljunction_manifest::{call_digest, Document, Patch, Problem};

/// A change as an operator sent it.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// It is a patch; else a whole document.
    pub patch: bool,
    /// The version that it builds on, 0 for the first; `None`: the call named none.
    pub base: Option<u64>,
    /// The call's body: JSON.
    pub body: Bytes,
}

/// A change that may go on the log.
pub(crate) struct Fit {
    pub base: u64,
    pub version: u64,
    pub entry: Entry,
}

fn bad(problem: Problem) -> Answer {
    Answer::Wrong(problem.to_string())
}

impl Change {
    /// What goes on the log; else the answer.
    pub(crate) fn check(&self, state: &Statutes) -> Result<Fit, Answer> {
        let wants = "If-Match: wants the version that this builds on, 0 for the first";
        let base = self.base.ok_or_else(|| Answer::Wrong(wants.into()))?;
        let digest = call_digest(if self.patch { "PATCH" } else { "PUT" }, Some(base), &self.body);
        let (version, document) = self.read(state, base)?;
        if state.knows(version, &digest) {
            return Err(Answer::Taken);
        }
        let in_place = || Answer::Conflict(Some(state.version()));
        let document = document.filter(|_| base == state.version()).ok_or_else(in_place)?;
        document.above(state.version()).map_err(bad)?;
        let entry = Entry::Put { base, version, digest, doc: document.into_parts().0 };
        Ok(Fit { base, version, entry })
    }

    /// The version that it names, and the whole document that it makes; `None` where that can't be told because it builds
    /// on another version.
    fn read(&self, state: &Statutes, base: u64) -> Result<(u64, Option<Document>), Answer> {
        if !self.patch {
            let document = Document::read(&self.body).map_err(bad)?;
            return Ok((document.version(), Some(document)));
        }
        let patch = Patch::read(&self.body).map_err(bad)?;
        if base != state.version() {
            return Ok((patch.version(), None));
        }
        if state.version() == 0 {
            return Err(Answer::Wrong("nothing to change: put a whole configuration first".into()));
        }
        let current = Document::of(state.doc().clone()).map_err(bad)?;
        Ok((patch.version(), Some(patch.apply(&current).map_err(bad)?)))
    }
}
