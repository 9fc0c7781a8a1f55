//! Limits and tuning values that both sides share.

/// Default margin of a cap: a number of units, plus a share of what rate and burst allow in a window.
const DEFAULT_MARGIN_UNITS: u64 = 6;
const DEFAULT_MARGIN_SHARE: f64 = 0.03;
/// The pace of all gateways together is at least this factor times what the tenant's rate allows in a window.
const PACE_RATE_FACTOR: f64 = 1.06;
/// The pace is also at least the cap, less `1 / UNPACED_DIVISOR` of what the cap has above `FULLY_PACED_UNITS`:
/// gateways need that many units beside each other's. After a loss of everything all that was paced counts as spent,
/// and only the unpaced rest of the cap is free at once.
const FULLY_PACED_UNITS: u64 = 110;
const UNPACED_DIVISOR: u64 = 4;

/// Maximum rate of calls of all gateways together while requests wait.
const MAX_CALLS_PER_S: u64 = 2_000;

/// A guard that a test may disable, to show that its checks detect the fault that the guard prevents.
#[cfg(feature = "mutants")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guard {
    /// The counter ignores calls that were overtaken by a newer call of the same process.
    CallOrder,
    /// The counter accepts a full report of a process only if the report was addressed to this counter's term.
    IntendedTerm,
    /// A gateway accepts only the answer to its newest call.
    NewestAnswer,
    /// The counter holds back the units that an ended process may have in force.
    EndedProcesses,
    /// A new counter holds back the units that logged processes may have until they report.
    UnreportedProcesses,
}

#[cfg(not(feature = "mutants"))]
#[derive(Debug, Clone, Copy)]
pub(crate) enum Guard {
    CallOrder,
    IntendedTerm,
    NewestAnswer,
    EndedProcesses,
    UnreportedProcesses,
}

/// Size of a gateway's token bucket, as a fraction of a tenant's cap within bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BucketDepth {
    /// The cap is divided by this.
    pub divisor: u64,
    /// Minimum size in units; at least 1.
    pub min: u64,
    /// Maximum size in units.
    pub max: u64,
}

/// Units beyond the pace that all gateways of a tenant together may be granted in a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Boost {
    /// The cap is divided by this.
    pub divisor: u64,
    /// Units added to that fraction.
    pub extra: u64,
}

/// Tuning of the counter and of every gateway's allowance. All times in ms; both sides must run with the same
/// `window_ms`, `max_write_delay_ms`, `lease_ms`, `pace_floor_ms` and `bucket_depth`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tuning {
    /// Length of the sliding window: `quota_window_s`. At least 100.
    pub window_ms: u64,
    /// Width of a time slot in which a gateway sums its spent units: a unit may stay spent for this much longer than a
    /// window.
    pub slot_ms: u64,
    /// Maximum time between spending a unit and writing its request.
    pub max_write_delay_ms: u64,
    /// A loan may be spent for this long after the gateway's last answered call was sent.
    pub lease_ms: u64,
    /// A pace floor holds for this long after the call that fetched it was sent.
    pub pace_floor_ms: u64,
    /// Units of a tenant that a gateway may spend at once, beyond its pace.
    pub bucket_depth: BucketDepth,
    /// Units that all gateways together may be granted beyond their paces in a window.
    pub boost: Boost,
    /// Units beyond the pace are dropped if their answer took longer than this.
    pub max_boost_answer_ms: u64,
    /// Maximum time that a request waits for the pace.
    pub max_pace_delay_ms: u64,
    /// A gateway that has units to return calls this long after its last call.
    pub return_interval_ms: u64,
    /// A gateway renews its leases this long after its last call. Well below `lease_ms`.
    pub refresh_interval_ms: u64,
    /// Minimum time between two calls of a gateway whose batch runs low.
    pub fetch_interval_ms: u64,
    /// Minimum time between two calls of a gateway while requests wait.
    pub urgent_fetch_interval_ms: u64,
    /// Minimum time between two requests of a gateway for units of a tenant whose cap or pace is used up.
    pub exhausted_fetch_interval_ms: u64,
    /// A tenant whose cap has fewer units than this for each gateway is lent units on demand only.
    pub on_demand_cap_per_gateway: u64,
    /// A guard that a test disables.
    #[cfg(feature = "mutants")]
    pub disabled_guard: Option<Guard>,
}

impl Tuning {
    /// The default tuning for a window of `window_ms`.
    pub fn new(window_ms: u64) -> Tuning {
        let window_ms = window_ms.max(100);
        Tuning {
            window_ms,
            slot_ms: (window_ms / 100).clamp(1, 100),
            max_write_delay_ms: 100,
            lease_ms: 8_000,
            pace_floor_ms: window_ms,
            bucket_depth: BucketDepth { divisor: 128, min: 2, max: 4 },
            boost: Boost { divisor: 32, extra: 3 },
            max_boost_answer_ms: 500,
            max_pace_delay_ms: 150,
            return_interval_ms: 1_000,
            refresh_interval_ms: 2_000,
            fetch_interval_ms: 150,
            urgent_fetch_interval_ms: 20,
            exhausted_fetch_interval_ms: 300,
            on_demand_cap_per_gateway: 4,
            #[cfg(feature = "mutants")]
            disabled_guard: None,
        }
    }

    #[cfg(feature = "mutants")]
    pub(crate) fn enforces(&self, guard: Guard) -> bool {
        self.disabled_guard != Some(guard)
    }

    #[cfg(not(feature = "mutants"))]
    pub(crate) fn enforces(&self, _: Guard) -> bool {
        true
    }

    /// Whether the cap is so small for this number of gateways that units are lent only on demand and held only while
    /// they are spent: a unit that is idle at one gateway is missing at the others.
    pub(crate) fn lends_on_demand(&self, cap: u64, gateways: u64) -> bool {
        cap < gateways * self.on_demand_cap_per_gateway
    }

    /// Minimum time between two calls of a gateway; it grows with the number of gateways, as the leader answers all of
    /// them.
    pub(crate) fn min_call_interval_ms(&self, gateways: u64) -> u64 {
        self.urgent_fetch_interval_ms.max(gateways * 1_000 / MAX_CALLS_PER_S)
    }

    /// How long the counter counts a unit as in force after it was spent.
    pub(crate) fn in_force_ms(&self) -> u64 {
        self.window_ms + self.max_write_delay_ms
    }

    /// Units that a gateway may spend at once of a tenant with this cap.
    pub(crate) fn bucket_units(&self, cap: u64) -> u64 {
        let BucketDepth { divisor, min, max } = self.bucket_depth;
        (cap / divisor.max(1)).clamp(min, max.max(min))
    }

    /// Units that all gateways together may be granted beyond their paces of a tenant with this cap.
    pub(crate) fn max_boost(&self, cap: u64) -> u64 {
        cap / self.boost.divisor.max(1) + self.boost.extra
    }

    /// How long the counter counts a unit that it granted beyond the pace.
    pub(crate) fn boost_in_force_ms(&self) -> u64 {
        self.in_force_ms() + self.max_boost_answer_ms
    }

    /// Maximum units in force of a tenant with this cap, spent by a number of processes that together spent at a pace
    /// of `pace` units a window until `ended_ms` ago and nothing since then.
    pub(crate) fn max_in_force(&self, cap: u64, processes: u64, pace: u64, ended_ms: u64) -> u64 {
        let remaining_ms = self.in_force_ms().saturating_sub(ended_ms);
        match remaining_ms {
            0 => 0,
            _ => processes * self.bucket_units(cap) + (pace * remaining_ms).div_ceil(self.window_ms),
        }
    }
}

/// A tenant's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Maximum units that may be spent in any window, over all gateways: (rate x window + burst) x (1 + overrun) +
    /// slack, rounded down, less a margin for requests between `spend` and their first byte.
    pub cap: u64,
    /// Maximum pace of all gateways together, units a window; at most the cap. Above what the rate allows, and below a
    /// large cap, which also has room for the burst, the overrun and the slack.
    pub pace: u64,
}

impl Limit {
    /// Limit of a tenant by its configuration; `margin` is subtracted from the cap, which stays at least 1. `None` (no
    /// limit) if rate and burst are 0.
    pub fn from_rate(
        rate: f64,
        burst: f64,
        window_s: f64,
        overrun: f64,
        slack: f64,
        margin: u64,
    ) -> Option<Limit> {
        if rate <= 0.0 && burst <= 0.0 {
            return None;
        }
        let cap = (rate.max(0.0) * window_s + burst.max(0.0)) * (1.0 + overrun.max(0.0)) + slack.max(0.0);
        let cap = (cap.floor() as u64).saturating_sub(margin).max(1);
        let pace = (rate.max(0.0) * window_s * PACE_RATE_FACTOR).ceil() as u64;
        Some(Limit {
            cap,
            pace: pace.max(cap - cap.saturating_sub(FULLY_PACED_UNITS) / UNPACED_DIVISOR).clamp(1, cap),
        })
    }

    /// How many of `units` lent under this limit remain lent under the next one: all, unless its pace is lower.
    pub(crate) fn scale_to(&self, next: &Limit, units: u64) -> u64 {
        (u128::from(units) * u128::from(next.pace.min(self.pace)) / u128::from(self.pace.max(1))) as u64
    }

    /// Like [`Limit::from_rate`] with the default margin: second sends to another server spend no unit of their own,
    /// and a request may be between spending its unit and writing its first byte.
    pub fn with_default_margin(
        rate: f64,
        burst: f64,
        window_s: f64,
        overrun: f64,
        slack: f64,
    ) -> Option<Limit> {
        let share = ((rate.max(0.0) * window_s + burst.max(0.0)) * DEFAULT_MARGIN_SHARE) as u64;
        Limit::from_rate(rate, burst, window_s, overrun, slack, DEFAULT_MARGIN_UNITS + share)
    }
}
