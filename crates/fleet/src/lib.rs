//! The membership view of the fleet, which the gateways maintain among themselves with datagrams. Sans-IO: time,
//! randomness (a seed) and received datagrams are arguments; datagrams to send and changes of the view are results.
//! The driver with the socket is in the gateway.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar, Phillips, Currey 2018),
//! probe targets that rotate by a common clock, and anti-entropy by digests of number ranges.
//! `docs/design/fleet-view.md` has the design decisions; `share` has the rule that keeps the sum of all shares at or
//! below the whole.

#![warn(unreachable_pub)]

mod machine;
mod member_set;
mod share;
mod view;
mod wire;

pub use machine::{Cause, Change, Config, Counts, DropReason, InvalidRoster, Membership};
pub use member_set::MemberSet;
pub use share::{Ballot, Grant, Shares, PERIOD_MS};
pub use view::{LiveEstimate, Member, MemberState, RosterEntry, View};
pub use wire::{MAX_DATAGRAM_BYTES, PROTOCOL_VERSION};
