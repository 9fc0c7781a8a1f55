//! A view of the fleet, kept by the gateways themselves through datagrams. Sans-IO: time, randomness (by seed)
//! and datagrams come in as arguments, what is to be sent and what changed come out. The driver is in the gateway.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar, Phillips, Currey 2018),
//! probes in turn by an agreed clock, and repair by digests of ranges; `docs/design/fleet-view.md` has what was
//! weighed and `share` the rule by which parts of a whole never add up to more than it.

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
