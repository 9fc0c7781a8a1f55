//! The command line.

// The macro documents flags, not the items that it makes.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// The control program of nickeljunction's core machines: agreement, registers, counter, directory.
    cmd controller {
        /// Settings file (TOML); without it the one that NICKELJUNCTION_SETTINGS names.
        optional --settings path: PathBuf
        /// error, warn, info, debug, trace or off; info without it.
        optional --log-level level: String
        /// Reads and checks the settings, names what is wrong, and ends.
        optional --check
        /// IP:PORT, or a PORT of this machine, where figures are to be had (GET /metrics); without it, nowhere.
        optional --figures address: String
        /// Serves until SIGTERM; without a command, too.
        default cmd serve {}
        /// The disk of a stopped member: FOLDER is its data_directory.
        cmd store {
            /// Checks all of it and names the first fault. Exit code 0: sound, 1: a member would start anew, 2: bad use.
            cmd verify {
                required folder: PathBuf
                /// Prints JSON.
                optional --json
            }
            /// Prints what it is, without the configuration itself.
            cmd show {
                required folder: PathBuf
                /// Prints JSON.
                optional --json
            }
            /// Prints the state that its log makes as JSON: configuration, evacuated zones.
            cmd export {
                required folder: PathBuf
                /// Only the configuration, as `njctl put` takes it.
                optional --config
                /// Into this file instead, which must not exist.
                optional --out file: PathBuf
            }
            /// Writes the state into one checked file, which must not exist.
            cmd snapshot {
                required folder: PathBuf
                required file: PathBuf
            }
            /// Makes the disk of a new core's first member out of such a file. For the loss of a majority's disks alone.
            cmd restore {
                required file: PathBuf
                required folder: PathBuf
                /// The ip_address of the machine's settings.
                required --host ip: String
                /// FOLDER holds a store: it is renamed to consensus.replaced first.
                optional --replace
            }
        }
    }
}
