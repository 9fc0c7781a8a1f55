//! Registers of servers and of gateways, kept by the leading core member and published as versioned differences. No
//! I/O: times (`now`, ms of a steady clock), chance and messages are arguments, what is to be told are return values.
//!
//! - [`Register`] lives on the leader. Beats of servers and watch calls of gateways go in; [`Register::answer`] makes
//!   the [`WatchAnswer`](nickeljunction_messages::WatchAnswer) that a caller lacks.
//! - [`WatchCache`] lives in every watcher, gateway or follower. It holds the [`Catalog`], an immutable snapshot that
//!   [`WatchCache::apply`] swaps whole. A follower that comes to lead hands its copy to [`Register::new`].
//! - [`nearby_gateways`] lists the gateways near a client.
//!
//! # Driving a register
//!
//! After a take-over call [`Register::new`], then at once [`Register::apply_departures`], [`Register::set_evacuated_zones`], [`Register::set_trials`],
//! [`Register::set_config`] and [`Register::set_core_hosts`] with what the agreed log says, and only then answer watch calls. Call [`Register::tick`] every
//! 100 to 500 ms. After any call check the held watch calls again if [`Register::seq`] rose.

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
pub use register::{Propagation, Register, TrialState, Tuning, PERMIT_LIFE_MS};
pub use server_counts::{count_servers, state_name, ServerCounts};
pub use servers::{Heartbeat, HeartbeatKind, HeartbeatOutcome, ServerStatus};
