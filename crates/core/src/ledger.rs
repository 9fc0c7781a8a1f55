//! The check of two books: the attempts that the core has out against those that the module believes to be out. They are
//! equal between any two calls, or an end was not told: then servers look silent that are not, and are used no more.

use std::collections::BTreeMap;

/// Of whom two counts differ.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Whose {
    /// Of a region, by its uid.
    Region(String),
    /// Of a franchisee.
    Franchisee(u64),
}

/// Two counts of attempts out that should be equal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Of whom.
    pub whose: Whose,
    /// What the core has out.
    pub out: usize,
    /// What the module believed.
    pub believed: usize,
}

/// The counts that differ; what is in one book alone counts as 0 in the other.
pub(crate) fn differences(
    out: &BTreeMap<Whose, usize>,
    believed: &BTreeMap<Whose, usize>,
) -> Vec<Difference> {
    let count = |book: &BTreeMap<Whose, usize>, whose: &Whose| book.get(whose).copied().unwrap_or_default();
    let only_believed = believed.keys().filter(|whose| !out.contains_key(whose));
    (out.keys().chain(only_believed))
        .map(|whose| Difference {
            whose: whose.clone(),
            out: count(out, whose),
            believed: count(believed, whose),
        })
        .filter(|difference| difference.out != difference.believed)
        .collect()
}
