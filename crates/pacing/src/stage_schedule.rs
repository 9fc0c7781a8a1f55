//! What a stage does, from the configuration.

use nickeljunction_schema::{Config, Stage, Trial};

/// In which order requests give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// They can wait: slowed first and most.
    Deferrable,
    /// Interactive reads: slowed later and less.
    Interactive,
    /// Bookings: run at once, or declined at once.
    Booking,
}

impl Rank {
    /// Of a route, by the number that it `gives_way` by: 1 first, 2 later, any other never.
    pub fn from_gives_way(gives_way: u32) -> Rank {
        match gives_way {
            1 => Rank::Deferrable,
            2 => Rank::Interactive,
            _ => Rank::Booking,
        }
    }
}

/// What one stage does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageEffect {
    /// It lasts so long, ms.
    pub duration_ms: u64,
    /// Added wait of those that give way first, ms.
    pub deferrable_wait_ms: f64,
    /// Added wait of interactive reads, ms.
    pub interactive_wait_ms: f64,
    /// Requests a second that pass over all gateways; infinite: no bound.
    pub pace_per_s: f64,
}

impl StageEffect {
    /// Before the first stage.
    pub const NONE: StageEffect = StageEffect {
        duration_ms: 0,
        deferrable_wait_ms: 0.0,
        interactive_wait_ms: 0.0,
        pace_per_s: f64::INFINITY,
    };

    /// Added wait of a rank, ms.
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
    steps: Box<[StageEffect]>,
}

/// Length of each of the default stages, s.
const DEFAULT_STAGE_S: f64 = 600.0;

/// The stages of a tenant without any in the configuration.
const DEFAULT_STAGES: [Stage; 6] = [
    default_stage(0.10, 0.0, 1.0),
    default_stage(0.20, 0.025, 0.9),
    default_stage(0.40, 0.05, 0.8),
    default_stage(0.60, 0.10, 0.7),
    default_stage(0.80, 0.15, 0.6),
    default_stage(1.00, 0.20, 0.5),
];

/// A stage with these delays, s, and this part of the tenant's rate.
const fn default_stage(wait_s: f64, read_wait_s: f64, pace: f64) -> Stage {
    Stage { for_s: DEFAULT_STAGE_S, wait_s, read_wait_s: Some(read_wait_s), pace: Some(pace) }
}

impl StageSchedule {
    /// The curve of a tenant: the default one where the configuration has none for it.
    pub fn for_tenant(config: &Config, tenant: &str) -> StageSchedule {
        let trial = config.trials.get(tenant);
        let stages = trial.map(|trial| trial.stages.clone()).filter(|stages| !stages.is_empty());
        let floor = trial.map_or(Trial::default().floor_per_s(), Trial::floor_per_s);
        let quota = config.tenants.get(tenant).and_then(|tenant| tenant.quota());
        let step = |stage: &Stage| StageEffect {
            duration_ms: (stage.for_s * 1_000.0).ceil() as u64,
            deferrable_wait_ms: stage.wait_s * 1_000.0,
            interactive_wait_ms: stage.reads_s() * 1_000.0,
            // A tenant without a limit is slowed by waits alone.
            pace_per_s: quota.map_or(f64::INFINITY, |(rate, _)| (rate * stage.pace()).max(floor)),
        };
        StageSchedule { steps: stages.unwrap_or_else(|| DEFAULT_STAGES.to_vec()).iter().map(step).collect() }
    }

    /// How many stages there are, 1 at least.
    pub fn stage_count(&self) -> u32 {
        self.steps.len() as u32
    }

    /// What a stage does; 0: nothing. One beyond the last is the last: the configuration may have had more when it was
    /// entered.
    pub fn effect(&self, stage: u32) -> StageEffect {
        match stage.min(self.stage_count()) {
            0 => StageEffect::NONE,
            stage => self.steps[stage as usize - 1],
        }
    }
}
