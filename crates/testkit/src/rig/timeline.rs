//! Timelines of faults: what is done to the processes and when.

use crate::network::{Link, Party};
use serde::{Deserialize, Serialize};

/// Quiet at the end of each timeline, in which views must come to agree, ms.
pub const QUIET_MS: u64 = 16_000;
/// Requests a second over all gateways, for each.
const RATE_EACH: f64 = 6.0;

/// Something that is done to the processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Act {
    /// SIGKILL.
    Kill {
        /// The gateway.
        gateway: usize,
    },
    /// SIGTERM; it ends by itself.
    Term {
        /// The gateway.
        gateway: usize,
    },
    /// SIGSTOP: it hangs.
    Stop {
        /// The gateway.
        gateway: usize,
    },
    /// SIGCONT.
    Continue {
        /// The gateway.
        gateway: usize,
    },
    /// Starts it, again or for the first time, under its number and on its configuration of before.
    Start {
        /// The gateway.
        gateway: usize,
        /// On an old document, which does not name the last gateway yet.
        #[serde(default)]
        old: bool,
    },
    /// Starts a second process of its number.
    Twin {
        /// The gateway.
        gateway: usize,
    },
    /// Ends the second process.
    TwinEnds {
        /// The gateway.
        gateway: usize,
    },
    /// Sets the way from one party to another.
    Link {
        /// From.
        from: Party,
        /// To.
        to: Party,
        /// How it is.
        link: Link,
    },
    /// All ways between gateways are like this.
    Mesh {
        /// How they are.
        link: Link,
    },
    /// Gateways on different sides don't reach one another.
    Partition {
        /// The side of each gateway.
        sides: Vec<u8>,
    },
    /// All links are fine again.
    Heal,
    /// Noise to a gateway's socket.
    Noise {
        /// The gateway.
        gateway: usize,
        /// Datagrams a second.
        per_s: u32,
        /// For so long, ms.
        ms: u64,
    },
    /// The counter says nothing, or is back.
    Counter {
        /// It says nothing.
        dark: bool,
    },
    /// Discovery is out of reach of all gateways, or is back.
    Discovery {
        /// Out of reach.
        cut: bool,
    },
    /// How a server answers.
    Region {
        /// The server.
        region: usize,
        /// Time of a request, ms.
        work_ms: u64,
        /// One in so many fails; 0: none.
        fail_every: u64,
        /// It says nothing.
        silent: bool,
    },
    /// A server is told to drain.
    Drain {
        /// The server.
        region: usize,
    },
    /// It is back, as a process that just started cold.
    Cold {
        /// The server.
        region: usize,
    },
}

/// An act and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// When, ms from the start of the load.
    pub at_ms: u64,
    /// What.
    #[serde(flatten)]
    pub act: Act,
}

/// A run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Timeline {
    /// How many gateways there are in the roster, 2 to 64.
    pub gateways: usize,
    /// Those that are started only by the timeline.
    #[serde(default)]
    pub late: Vec<usize>,
    /// Booking servers.
    pub regions: usize,
    /// Length, ms; the last [`QUIET_MS`] are quiet.
    pub length_ms: u64,
    /// For the network's chance.
    pub seed: u64,
    /// The gateways keep a view of the fleet.
    #[serde(default = "yes")]
    pub view: bool,
    /// Requests a second, for each gateway.
    #[serde(default = "rate_each")]
    pub rate_each: f64,
    /// Franchisees of each kind of request.
    #[serde(default = "franchisees")]
    pub franchisees: u64,
    /// What happens, in the order of time.
    pub steps: Vec<Step>,
}

fn yes() -> bool {
    true
}

fn rate_each() -> f64 {
    RATE_EACH
}

fn franchisees() -> u64 {
    20
}

impl Timeline {
    /// Nothing happens.
    pub fn calm(gateways: usize, seconds: u64) -> Timeline {
        let length_ms = seconds * 1_000 + QUIET_MS;
        let (regions, seed, late) = ((gateways / 2).clamp(4, 16), 1, Vec::new());
        let (rate_each, franchisees, steps) = (rate_each(), franchisees(), Vec::new());
        Timeline { gateways, late, regions, length_ms, seed, view: true, rate_each, franchisees, steps }
    }

    /// The same with a further step.
    pub fn at(mut self, at_ms: u64, act: Act) -> Timeline {
        self.steps.push(Step { at_ms, act });
        self.steps.sort_by_key(|step| step.at_ms);
        self
    }
}
