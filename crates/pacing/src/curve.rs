//! What a stage does, from the configuration.

use nickeljunction_schema::{Config, Stage, Trial};

/// In which order requests give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// They can wait: slowed first and most.
    First,
    /// Interactive reads: slowed later and less.
    Later,
    /// Bookings: run at once, or declined at once.
    Never,
}

impl Rank {
    /// Of a route, by the number that it `gives_way` by: 1 first, 2 later, any other never.
    pub fn of(gives_way: u32) -> Rank {
        match gives_way {
            1 => Rank::First,
            2 => Rank::Later,
            _ => Rank::Never,
        }
    }
}

/// What one stage does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// It lasts so long, ms.
    pub for_ms: u64,
    /// Added wait of those that give way first, ms.
    pub wait_ms: f64,
    /// Added wait of interactive reads, ms.
    pub reads_ms: f64,
    /// Requests a second that pass over all gateways; infinite: no bound.
    pub pace: f64,
}

impl Step {
    /// Before the first stage.
    pub const NONE: Step = Step { for_ms: 0, wait_ms: 0.0, reads_ms: 0.0, pace: f64::INFINITY };

    /// Added wait of a rank, ms.
    pub fn wait(&self, rank: Rank) -> f64 {
        match rank {
            Rank::First => self.wait_ms,
            Rank::Later => self.reads_ms,
            Rank::Never => 0.0,
        }
    }
}

/// The stages of a tenant's trial, the mildest first.
#[derive(Debug, Clone, PartialEq)]
pub struct Curve {
    steps: Box<[Step]>,
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

impl Curve {
    /// The curve of a tenant: the default one where the configuration has none for it.
    pub fn of(config: &Config, tenant: &str) -> Curve {
        let trial = config.trials.get(tenant);
        let stages = trial.map(|trial| trial.stages.clone()).filter(|stages| !stages.is_empty());
        let floor = trial.map_or(Trial::default().floor_per_s(), Trial::floor_per_s);
        let quota = config.tenants.get(tenant).and_then(|tenant| tenant.quota());
        let step = |stage: &Stage| Step {
            for_ms: (stage.for_s * 1_000.0).ceil() as u64,
            wait_ms: stage.wait_s * 1_000.0,
            reads_ms: stage.reads_s() * 1_000.0,
            // A tenant without a limit is slowed by waits alone.
            pace: quota.map_or(f64::INFINITY, |(rate, _)| (rate * stage.pace()).max(floor)),
        };
        Curve { steps: stages.unwrap_or_else(|| DEFAULT_STAGES.to_vec()).iter().map(step).collect() }
    }

    /// How many stages there are, 1 at least.
    pub fn stages(&self) -> u32 {
        self.steps.len() as u32
    }

    /// What a stage does; 0: nothing. One beyond the last is the last: the configuration may have had more when it was
    /// entered.
    pub fn step(&self, stage: u32) -> Step {
        match stage.min(self.stages()) {
            0 => Step::NONE,
            stage => self.steps[stage as usize - 1],
        }
    }
}
