//! The command line.

// The macro documents flags, not the items that it makes.
#![allow(missing_docs)]

xflags::xflags! {
    /// Measures what control costs: a real core on loopback before hollow gateways and servers that share this process.
    cmd hollow {
        /// Brings up a core, hollow gateways and servers, measures for a while, prints a table, and ends all of it.
        cmd run {
            /// Core processes: 1, 3 or 5 (default: 3).
            optional --core count: u8
            /// Hollow gateways (default: 10).
            optional --gateways count: usize
            /// Hollow servers (default: 50).
            optional --servers count: usize
            /// Services that the servers are spread over (default: 10).
            optional --services count: usize
            /// Routes of the document (default: 30).
            optional --routes count: usize
            /// Tenants of the document (default: 100).
            optional --tenants count: usize
            /// Tenants with a quota, the first ones (default: all).
            optional --limited count: usize
            /// Changes a minute, one route each (default: 0).
            optional --changes per_minute: f64
            /// Counted adds a second at each hollow gateway (default: 0).
            optional --adds per_second: f64
            /// Seconds between two beats of a server (default: 1).
            optional --heartbeat seconds: f64
            /// Seconds that are measured (default: 10).
            optional --seconds seconds: f64
            /// Seconds between the last gateway's first configuration and the measurement (default: 5).
            optional --settle seconds: f64
            /// Real `edge` processes beside the hollow ones: 0 or 1 (default: 1).
            optional --edges count: u8
            /// Hollow gateways don't serve the directory: they are not told the list of all gateways.
            optional --without-directory
            /// Gateways that start within a second (default: 200).
            optional --starts per_second: f64
            /// Prints JSON.
            optional --json
        }
        /// Makes a document and measures its size, its parsing and the compiling of a gateway's table from it.
        cmd document {
            /// Routes (default: 30).
            optional --routes count: usize
            /// Tenants (default: 100).
            optional --tenants count: usize
            /// Services (default: 10).
            optional --services count: usize
        }
    }
}
