//! The command line.

// The macro documents flags, not the items that it makes.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// The gateway of nickeljunction's edge machines: takes clients' requests and sends them to servers.
    cmd edge {
        /// Settings file (TOML); without it the one that NICKELJUNCTION_SETTINGS names.
        optional --settings path: PathBuf
        /// error, warn, info, debug, trace or off; info without it.
        optional --log-level level: String
        /// Reads and checks the settings, names what is wrong, and ends.
        optional --check
        /// IP:PORT, or a PORT of this machine, where figures are to be had (GET /metrics); without it, nowhere.
        optional --figures address: String
    }
}
