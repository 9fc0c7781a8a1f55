//! What a stage does, out of the configuration.

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

/// The usual stages: seconds, wait in s, wait of reads in s, part of the rate.
const USUAL: [(f64, f64, f64, f64); 6] = [
    (600.0, 0.10, 0.0, 1.0),
    (600.0, 0.20, 0.025, 0.9),
    (600.0, 0.40, 0.05, 0.8),
    (600.0, 0.60, 0.10, 0.7),
    (600.0, 0.80, 0.15, 0.6),
    (600.0, 1.00, 0.20, 0.5),
];

impl Curve {
    /// Of a tenant; the usual one where the configuration has none for it.
    pub fn of(config: &Config, tenant: &str) -> Curve {
        let usual = || {
            let stage = |(for_s, wait_s, reads_s, pace)| Stage {
                for_s,
                wait_s,
                read_wait_s: Some(reads_s),
                pace: Some(pace),
            };
            USUAL.map(stage).to_vec()
        };
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
        Curve { steps: stages.unwrap_or_else(usual).iter().map(step).collect() }
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
