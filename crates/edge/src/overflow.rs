//! When requests leave their own region: on evidence from this gateway's own sends, since it can't see what others have
//! under way, and bytes between regions are dear.

use crate::upstream::exceeds_local_capacity;

/// Weight of one send in the share of those that found no room.
const SEND_GAIN: f64 = 0.1;
/// The region is left when more than this share of the sends finds no room.
const LEAVE_ABOVE: f64 = 0.3;
/// And is enough again when less than this share does.
const RETURN_BELOW: f64 = 0.05;
/// Weight of one request in the mean of those under way.
const NEED_GAIN: f64 = 0.05;
/// What is left of both while nothing is under way, per round of housekeeping.
const IDLE_DECAY: f64 = 0.5;

/// Whether one service's own region has room for one gateway's requests.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Overflow {
    /// Share of the sends within the region that found no room, 0 to 1.
    short: f64,
    /// Mean of the requests under way when another one came.
    need: f64,
    /// Other regions are used now.
    wide: bool,
}

impl Overflow {
    /// A request came while so many were under way.
    pub fn record_arrival(&mut self, under_way: usize) {
        self.need += NEED_GAIN * (under_way as f64 - self.need);
    }

    /// A request was sent within the region, or found no server there. `room`: it was answered within its aim.
    pub fn record_send(&mut self, room: bool) {
        let missed = if room { 0.0 } else { 1.0 };
        self.short += SEND_GAIN * (missed - self.short);
    }

    /// A round of housekeeping without a request.
    pub fn decay(&mut self) {
        self.short *= IDLE_DECAY;
        self.need *= IDLE_DECAY;
    }

    /// Other regions are used now.
    pub fn is_wide(&self) -> bool {
        self.wide
    }

    /// What the evidence asks for, where the region has so many slots: between the two bounds nothing changes, or servers
    /// would come and go with each send.
    pub fn should_be_wide(&self, own_slots: u32) -> bool {
        let bound = if self.wide { RETURN_BELOW } else { LEAVE_ABOVE };
        // What this gateway has under way alone may be more than the region can work on.
        exceeds_local_capacity(own_slots, self.need, self.wide) || self.short > bound
    }

    /// Decides, and remembers.
    pub fn update(&mut self, own_slots: u32) -> bool {
        self.wide = self.should_be_wide(own_slots);
        self.wide
    }
}
