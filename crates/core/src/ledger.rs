//! The check of two books: the attempts that the core has out against those that the module believes to be out. They are
//! equal between any two calls, or an end was not told: then servers look silent that are not, and are used no more.

use std::collections::BTreeMap;

/// Of whom two counts differ.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum CountOwner {
    /// Of a region, by its uid.
    Region(String),
    /// Of a franchisee.
    Franchisee(u64),
}

/// Two counts of attempts out that should be equal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Of whom.
    pub owner: CountOwner,
    /// What the core has out.
    pub out: usize,
    /// What the module believed.
    pub believed: usize,
}

/// The counts that differ; what is in one book alone counts as 0 in the other.
pub(crate) fn differences(
    out: &BTreeMap<CountOwner, usize>,
    believed: &BTreeMap<CountOwner, usize>,
) -> Vec<Difference> {
    let count =
        |book: &BTreeMap<CountOwner, usize>, owner: &CountOwner| book.get(owner).copied().unwrap_or_default();
    let only_believed = believed.keys().filter(|owner| !out.contains_key(owner));
    (out.keys().chain(only_believed))
        .map(|owner| Difference {
            owner: owner.clone(),
            out: count(out, owner),
            believed: count(believed, owner),
        })
        .filter(|difference| difference.out != difference.believed)
        .collect()
}
