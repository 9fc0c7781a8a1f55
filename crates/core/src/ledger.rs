//! Compares the core's counts of attempts in flight with the decision module's. Between any two calls they are
//! equal, unless the end of an attempt was not reported. The module then takes healthy servers for silent ones
//! and stops using them.

use std::collections::BTreeMap;

/// The region or franchisee whose attempts are counted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum CountOwner {
    /// A region, by its uid.
    Region(String),
    /// A franchisee, by its number.
    Franchisee(u64),
}

/// Two counts of attempts in flight that should be equal but differ.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// The region or franchisee.
    pub owner: CountOwner,
    /// Attempts in flight according to the core.
    pub out: usize,
    /// Attempts in flight according to the decision module.
    pub believed: usize,
}

/// Returns the counts that differ. An owner that is missing on one side counts as 0 there.
pub(crate) fn differences(
    in_core: &BTreeMap<CountOwner, usize>,
    in_module: &BTreeMap<CountOwner, usize>,
) -> Vec<Difference> {
    let count_of = |counts: &BTreeMap<CountOwner, usize>, owner: &CountOwner| {
        counts.get(owner).copied().unwrap_or_default()
    };
    let only_in_module = in_module.keys().filter(|owner| !in_core.contains_key(owner));
    (in_core.keys().chain(only_in_module))
        .map(|owner| Difference {
            owner: owner.clone(),
            out: count_of(in_core, owner),
            believed: count_of(in_module, owner),
        })
        .filter(|difference| difference.out != difference.believed)
        .collect()
}
