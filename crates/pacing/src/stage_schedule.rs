//! The stages of a lapsed trial and their effect, from the configuration.

use nickeljunction_schema::{Config, Stage, Trial};

/// Class of a request, which determines how strongly it is throttled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Requests that can wait: throttled first and most.
    Deferrable,
    /// Interactive reads: throttled later and less.
    Interactive,
    /// Bookings: never delayed, but passed or declined at once.
    Booking,
}

impl Rank {
    /// The rank of a route with this `gives_way` setting: 1 is deferrable, 2 is interactive, any other value is a
    /// booking.
    pub fn from_gives_way(gives_way: u32) -> Rank {
        match gives_way {
            1 => Rank::Deferrable,
            2 => Rank::Interactive,
            _ => Rank::Booking,
        }
    }
}

/// Effect of one stage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageEffect {
    /// How long the stage lasts, ms.
    pub duration_ms: u64,
    /// Delay added to deferrable requests, ms.
    pub deferrable_wait_ms: f64,
    /// Delay added to interactive reads, ms.
    pub interactive_wait_ms: f64,
    /// Requests per second that pass over all gateways together; infinite: no limit.
    pub pace_per_s: f64,
}

impl StageEffect {
    /// Effect before the first stage: none.
    pub const NONE: StageEffect = StageEffect {
        duration_ms: 0,
        deferrable_wait_ms: 0.0,
        interactive_wait_ms: 0.0,
        pace_per_s: f64::INFINITY,
    };

    /// Delay added to requests of a rank, ms.
    pub fn wait_ms(&self, rank: Rank) -> f64 {
        match rank {
            Rank::Deferrable => self.deferrable_wait_ms,
            Rank::Interactive => self.interactive_wait_ms,
            Rank::Booking => 0.0,
        }
    }
}

/// The stages of a tenant's trial, the mildest first.
#[derive(Debug, Clone, PartialEq)]
pub struct StageSchedule {
    effects: Box<[StageEffect]>,
}

/// Length of each of the default stages, s.
const DEFAULT_STAGE_S: f64 = 600.0;

/// The stages of a tenant whose configuration has none.
const DEFAULT_STAGES: [Stage; 6] = [
    default_stage(0.10, 0.0, 1.0),
    default_stage(0.20, 0.025, 0.9),
    default_stage(0.40, 0.05, 0.8),
    default_stage(0.60, 0.10, 0.7),
    default_stage(0.80, 0.15, 0.6),
    default_stage(1.00, 0.20, 0.5),
];

/// A stage with these delays, s, and a pace that is this fraction of the tenant's rate.
const fn default_stage(wait_s: f64, read_wait_s: f64, pace: f64) -> Stage {
    Stage { for_s: DEFAULT_STAGE_S, wait_s, read_wait_s: Some(read_wait_s), pace: Some(pace) }
}

impl StageSchedule {
    /// The schedule of a tenant: the default stages if the configuration has none for it.
    pub fn for_tenant(config: &Config, tenant: &str) -> StageSchedule {
        let trial = config.trials.get(tenant);
        let stages = trial.map(|trial| trial.stages.clone()).filter(|stages| !stages.is_empty());
        let floor = trial.map_or(Trial::default().floor_per_s(), Trial::floor_per_s);
        let quota = config.tenants.get(tenant).and_then(|tenant| tenant.quota());
        let effect = |stage: &Stage| StageEffect {
            duration_ms: (stage.for_s * 1_000.0).ceil() as u64,
            deferrable_wait_ms: stage.wait_s * 1_000.0,
            interactive_wait_ms: stage.reads_s() * 1_000.0,
            // A tenant without a rate limit is throttled by delays alone.
            pace_per_s: quota.map_or(f64::INFINITY, |(rate, _)| (rate * stage.pace()).max(floor)),
        };
        StageSchedule {
            effects: stages.unwrap_or_else(|| DEFAULT_STAGES.to_vec()).iter().map(effect).collect(),
        }
    }

    /// Number of stages, at least 1.
    pub fn stage_count(&self) -> u32 {
        self.effects.len() as u32
    }

    /// Effect of a stage; stage 0 has none. A number beyond the last stage means the last one: the configuration may
    /// have had more stages when the stage was entered.
    pub fn effect(&self, stage: u32) -> StageEffect {
        match stage.min(self.stage_count()) {
            0 => StageEffect::NONE,
            stage => self.effects[stage as usize - 1],
        }
    }
}
