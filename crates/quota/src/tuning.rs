//! Figures that both sides share.

/// The usual margin of a cap, units, and beside that as a part of what the tenant's own figures allow.
const MARGIN: u64 = 6;
const MARGIN_PART: f64 = 0.03;
/// Pace of all gateways together: so much at least of what the tenant's rate allows in a window, and of the cap all but a
/// part of what is above the units that gateways need beside each other's. What is left of the cap is free at once after a
/// loss of everything, when all that was paced counts as spent.
const PACE_PART: f64 = 1.06;
const PACE_WHOLE: u64 = 110;
const PACE_LEAVES: u64 = 4;

/// Calls a second of all gateways together, at the most, while requests wait.
const CALLS_PER_S: u64 = 2_000;

/// A guard that a test may take out, to show that its checks see what it guards against.
#[cfg(feature = "mutants")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guard {
    /// The counter ignores calls that a newer one of the same life has overtaken.
    CallOrder,
    /// The counter takes a life's word for all that it has only if that was meant for it.
    IntendedTerm,
    /// A gateway takes only the answer to its newest call.
    NewestAnswer,
    /// What a life that ended may have in force is held back.
    EndedProcesses,
    /// What lives on the log may have is held back by a new counter.
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

/// Size of a gateway's token bucket, as a part of a tenant's cap within bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BucketDepth {
    /// The cap is divided by this.
    pub divisor: u64,
    /// Least units; 1 at least.
    pub min: u64,
    /// Most units.
    pub max: u64,
}

/// Units beyond the pace that all gateways of a tenant may be allowed in a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Boost {
    /// The cap is divided by this.
    pub divisor: u64,
    /// Units beside that part.
    pub extra: u64,
}

/// Figures of the counter and of every gateway's allowance. All times in ms; both sides must run with the same `window_ms`,
/// `max_write_delay_ms`, `lease_ms`, `pace_floor_ms` and `depth`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tuning {
    /// The window that slides: `quota_window_s`. 100 at least.
    pub window_ms: u64,
    /// Width of a slot of a gateway's spends: a unit may stay spent so much longer than a window.
    pub slot_ms: u64,
    /// A request may be written so long after its unit was spent.
    pub max_write_delay_ms: u64,
    /// A loan may be spent so long after the gateway's last answered call was sent.
    pub lease_ms: u64,
    /// A new life's lifted pace holds so long after its first fetch was sent.
    pub pace_floor_ms: u64,
    /// Units that a gateway may spend of a tenant at once, beyond its pace.
    pub bucket_depth: BucketDepth,
    /// Units that all gateways together may be allowed beyond their paces in a window.
    pub boost: Boost,
    /// An answer that took longer allows nothing beyond the pace.
    pub max_boost_answer_ms: u64,
    /// A request waits so long at most for the pace.
    pub max_pace_delay_ms: u64,
    /// A gateway gives back what it doesn't need so long after its last call.
    pub return_interval_ms: u64,
    /// A gateway refreshes its loans so long after its last call. Well below `lease_ms`.
    pub refresh_interval_ms: u64,
    /// Least time between two calls of a gateway whose batch runs low.
    pub fetch_interval_ms: u64,
    /// Least time between two calls of a gateway while requests wait.
    pub urgent_fetch_interval_ms: u64,
    /// Least time between two calls of a gateway for units of a tenant whose cap is used up.
    pub exhausted_fetch_interval_ms: u64,
    /// Units of a cap for each gateway; below them none is held idle.
    pub on_demand_cap_per_gateway: u64,
    /// A guard that a test takes out.
    #[cfg(feature = "mutants")]
    pub disabled_guard: Option<Guard>,
}

impl Tuning {
    /// The usual figures for a window of `window_ms`.
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
    pub(crate) fn keeps(&self, guard: Guard) -> bool {
        self.disabled_guard != Some(guard)
    }

    #[cfg(not(feature = "mutants"))]
    pub(crate) fn keeps(&self, _: Guard) -> bool {
        true
    }

    /// A cap divided among so many gateways is so little that units are lent on demand alone, and held only while they are
    /// spent: what lies idle at one gateway is missing at others.
    pub(crate) fn lends_on_demand(&self, cap: u64, gateways: u64) -> bool {
        cap < gateways * self.on_demand_cap_per_gateway
    }

    /// Least time between two calls of one of so many gateways: the leader answers all of them.
    pub(crate) fn spacing_ms(&self, gateways: u64) -> u64 {
        self.urgent_fetch_interval_ms.max(gateways * 1_000 / CALLS_PER_S)
    }

    /// So long is a unit in force after its spend, from the counter's side.
    pub(crate) fn span_ms(&self) -> u64 {
        self.window_ms + self.max_write_delay_ms
    }

    /// Units that a gateway may spend at once of a tenant with this cap.
    pub(crate) fn depth_of(&self, cap: u64) -> u64 {
        let BucketDepth { divisor, min, max } = self.bucket_depth;
        (cap / divisor.max(1)).clamp(min, max.max(min))
    }

    /// Units that all gateways together may be allowed beyond their paces of a tenant with this cap.
    pub(crate) fn boost_of(&self, cap: u64) -> u64 {
        cap / self.boost.divisor.max(1) + self.boost.extra
    }

    /// So long does a unit beyond the pace count, from the counter's side.
    pub(crate) fn boost_ms(&self) -> u64 {
        self.span_ms() + self.max_boost_answer_ms
    }

    /// Units of a tenant with this cap that `lives` lives may have in force at most, which spent at a pace of `pace` a
    /// window in sum, and nothing for `ended_ms` now.
    pub(crate) fn in_force(&self, cap: u64, lives: u64, pace: u64, ended_ms: u64) -> u64 {
        let left = self.span_ms().saturating_sub(ended_ms);
        match left {
            0 => 0,
            left => lives * self.depth_of(cap) + (pace * left).div_ceil(self.window_ms),
        }
    }
}

/// A tenant's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Most units that may be spent in any window, over all gateways: (rate x window + burst) x (1 + overrun) + slack,
    /// rounded down, less a little for requests between `spend` and their first byte.
    pub cap: u64,
    /// Most units of a window at which all gateways together may be paced; at most the cap. Above what the rate allows,
    /// and below the cap, which has room for a burst and for what the rules let pass.
    pub pace: u64,
}

impl Limit {
    /// Limit of a tenant by its configuration; `margin` is taken off the cap, which stays 1 at least. `None` where
    /// rate and burst are 0: no limit.
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
        let pace = (rate.max(0.0) * window_s * PACE_PART).ceil() as u64;
        Some(Limit { cap, pace: pace.max(cap - cap.saturating_sub(PACE_WHOLE) / PACE_LEAVES).clamp(1, cap) })
    }

    /// Of so many units lent under this limit, those that remain so under the next one: all, where the pace is no lower.
    pub(crate) fn part(&self, next: &Limit, units: u64) -> u64 {
        (u128::from(units) * u128::from(next.pace.min(self.pace)) / u128::from(self.pace.max(1))) as u64
    }

    /// The same with the usual margin: second sends to another server run on no unit of their own, and a request may be
    /// under way between its unit and its first byte.
    pub fn with_default_margin(
        rate: f64,
        burst: f64,
        window_s: f64,
        overrun: f64,
        slack: f64,
    ) -> Option<Limit> {
        let part = ((rate.max(0.0) * window_s + burst.max(0.0)) * MARGIN_PART) as u64;
        Limit::from_rate(rate, burst, window_s, overrun, slack, MARGIN + part)
    }
}
