//! Decides when requests of a service are sent beyond their own region. The decision rests on this gateway's own sends:
//! it can't see how many requests other gateways have in flight, and traffic between regions is expensive.

use crate::upstream::exceeds_local_capacity;

/// Weight of one send in the share of sends that found no capacity.
const SEND_GAIN: f64 = 0.1;
/// Other regions are used from above this share of sends without capacity.
const SPILL_ABOVE: f64 = 0.3;
/// They are used no longer below this share.
const RETURN_BELOW: f64 = 0.05;
/// Weight of one request in the mean of requests in flight.
const IN_FLIGHT_GAIN: f64 = 0.05;
/// Both averages are multiplied by this in each round of housekeeping without a request in flight.
const IDLE_DECAY: f64 = 0.5;

/// Tracks whether one service's own region has capacity for one gateway's requests.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Overflow {
    /// Share of the sends within the region that found no capacity, 0 to 1.
    failed_share: f64,
    /// Mean number of requests in flight when another one arrived.
    mean_in_flight: f64,
    spills: bool,
}

impl Overflow {
    /// Records a request that arrived while `in_flight` others were in flight.
    pub fn record_arrival(&mut self, in_flight: usize) {
        self.mean_in_flight += IN_FLIGHT_GAIN * (in_flight as f64 - self.mean_in_flight);
    }

    /// Records a request that was sent within the region or found no server there. `had_capacity`: it was answered
    /// within its target latency.
    pub fn record_send(&mut self, had_capacity: bool) {
        let failed = if had_capacity { 0.0 } else { 1.0 };
        self.failed_share += SEND_GAIN * (failed - self.failed_share);
    }

    /// Records a round of housekeeping without a request in flight.
    pub fn decay(&mut self) {
        self.failed_share *= IDLE_DECAY;
        self.mean_in_flight *= IDLE_DECAY;
    }

    /// Whether other regions are used now.
    pub fn spills(&self) -> bool {
        self.spills
    }

    /// Whether other regions should be used, given the slots of the own region. Between the two thresholds nothing
    /// changes, or servers would be added and removed with each send.
    pub fn should_spill(&self, local_slots: u32) -> bool {
        let threshold = if self.spills { RETURN_BELOW } else { SPILL_ABOVE };
        // The requests of this gateway alone may be more than the region has slots for.
        exceeds_local_capacity(local_slots, self.mean_in_flight, self.spills) || self.failed_share > threshold
    }

    /// Updates and returns whether other regions are used.
    pub fn update(&mut self, local_slots: u32) -> bool {
        self.spills = self.should_spill(local_slots);
        self.spills
    }
}
