//! The tables of named items that a configuration has.

/// A table of named items.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// `routes`.
    Routes,
    /// `backends`.
    Backends,
    /// `tenants`.
    Tenants,
    /// `trials`.
    Trials,
}

impl Table {
    /// All of them.
    pub const ALL: [Table; 4] = [Table::Routes, Table::Backends, Table::Tenants, Table::Trials];

    /// Its name in documents and patches.
    pub fn name(self) -> &'static str {
        match self {
            Table::Routes => "routes",
            Table::Backends => "backends",
            Table::Tenants => "tenants",
            Table::Trials => "trials",
        }
    }

    /// The one of this name.
    pub(crate) fn named(name: &str) -> Option<Table> {
        Table::ALL.into_iter().find(|table| table.name() == name)
    }
}
