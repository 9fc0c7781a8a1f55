//! The command line.

// The macro documents the flags, but not the items that it generates.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// The gateway of nickeljunction's edge machines: accepts clients' requests and forwards them to servers.
    cmd edge {
        /// Settings file (TOML); default: the file named by NICKELJUNCTION_SETTINGS.
        optional --settings path: PathBuf
        /// error, warn, info, debug, trace or off; default: info.
        optional --log-level level: String
        /// Checks the settings, reports any errors, and exits.
        optional --check
        /// IP:PORT, or PORT on this machine, to serve metrics at (GET /metrics); default: not served.
        optional --figures address: String
    }
}
