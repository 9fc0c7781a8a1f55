//! Registers of servers and of gateways, kept by the leading core member and published as versioned differences. No
//! I/O: times (`now`, ms of a monotonic clock), random seeds and messages are arguments, and everything to be sent is a
//! return value.
//!
//! - [`Register`] runs on the leader. It receives heartbeats of servers and watch calls of gateways and followers;
//!   [`Register::answer`] makes the [`WatchAnswer`](nickeljunction_messages::WatchAnswer) with everything that a caller
//!   has not received yet.
//! - [`WatchCache`] runs in every watcher, that is every gateway and follower. It holds the [`Catalog`], an immutable
//!   snapshot that [`WatchCache::apply`] replaces as a whole. A follower that becomes leader passes its cache to
//!   [`Register::new`].
//! - [`nearby_gateways`] lists the gateways near a client.
//!
//! # Use of a register
//!
//! After becoming leader, call [`Register::new`], then at once [`Register::apply_departures`],
//! [`Register::set_evacuated_zones`], [`Register::set_trials`], [`Register::set_config`] and
//! [`Register::set_core_hosts`] with the state of the replicated log, and answer watch calls only after that. Call
//! [`Register::tick`] every 100 to 500 ms. If [`Register::seq`] increased after any call, try again to answer the watch
//! calls that are held.

mod catalog;
mod config_history;
mod directory;
mod gateways;
mod register;
mod roster;
mod server_counts;
mod servers;

pub use catalog::{send_block, ApplyError, Catalog, CatalogUpdate, SendBlock, SendLimit, WatchCache};
pub use config_history::ConfigHistory;
pub use directory::{nearby_gateways, Client, MAX_ADDRESSES};
pub use gateways::{CallOutcome, GatewayStatus};
pub use register::{Propagation, Register, TrialState, Tuning, PERMIT_LIFETIME_MS};
pub use server_counts::{count_servers, state_name, ServerCounts};
pub use servers::{Heartbeat, HeartbeatKind, HeartbeatOutcome, ServerStatus};
