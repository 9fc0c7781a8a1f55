//! Tenants' trials, whose tenants are throttled by stages when they lapse: orders on trials, the time of the next stage, and
//! the gateways' shares of a throttled tenant's pace (its requests a second over all gateways).

use crate::effects::Event;
use crate::pending_calls::Proposal;
use crate::replica::Replica;
use crate::state::{Entry, ReplicatedState, Trial, TrialOrder};
use nickeljunction_messages::{LeaderRedirect, PaceSharesAnswer, PaceSharesCall};
use nickeljunction_pacing::{Pacer, StageSchedule};
use nickeljunction_registry::TrialState;
use nickeljunction_schema::Config;
use serde::Serialize;
use std::collections::BTreeMap;

/// A step takes effect this long after it was committed, ms: every connected gateway has received it by then.
pub const STEP_EFFECTIVE_AFTER_MS: u64 = 300;
/// A stage whose entry failed is proposed again after this time, ms.
const RETRY_MS: u64 = 200;

/// A leader's view of one tenant's trial, by which it proposes the next stage.
#[derive(Debug)]
struct TrialProgress {
    trial: Trial,
    schedule: StageSchedule,
    /// When this leader applied the trial's step, or found it at its start.
    step_began_ms: u64,
    effective_at_ms: u64,
    /// The entry of the next stage is in flight.
    proposed: bool,
    retry_at_ms: u64,
}

impl TrialProgress {
    /// When the next stage is to be proposed; `None`: there is none, or its entry is in flight.
    fn due(&self) -> Option<u64> {
        let Trial { lapses, stage, .. } = self.trial;
        let has_next = if lapses { stage < self.schedule.stage_count() } else { stage > 0 };
        // The stage's whole duration under this leader, whatever time passed before: a stage is never cut short.
        let ends = self.step_began_ms.saturating_add(self.schedule.effect(stage).duration_ms);
        (has_next && !self.proposed).then_some(ends.max(self.retry_at_ms))
    }
}

/// All trials that ever changed, and the gateways' shares of paces. Soft state of one leader's term.
#[derive(Debug, Default)]
pub(crate) struct TrialTracker {
    progress: BTreeMap<String, TrialProgress>,
    /// Version of the configuration that the schedules are from.
    version: u64,
    /// The trials that were on the log when this leader began are included.
    is_initialized: bool,
    pacer: Pacer,
}

impl TrialTracker {
    /// Brings the trials up to date with the replicated state. Returns the tenants whose trial changed, and the state of
    /// all trials for the register.
    pub(crate) fn update(
        &mut self,
        now: u64,
        state: &ReplicatedState,
        config: &Config,
    ) -> (Vec<String>, Vec<TrialState>) {
        let was_initialized = std::mem::replace(&mut self.is_initialized, true);
        let trials = state.trials();
        let is_tracked = |tenant: &String| self.progress.contains_key(tenant);
        // Most cores never have a trial that changed.
        if self.version != state.version() && !trials.is_empty() || !trials.keys().all(is_tracked) {
            self.version = state.version();
            for tenant in trials.keys() {
                let schedule = StageSchedule::for_tenant(config, tenant);
                let new = TrialProgress {
                    trial: Trial::default(),
                    schedule: schedule.clone(),
                    step_began_ms: now,
                    effective_at_ms: 0,
                    proposed: false,
                    retry_at_ms: 0,
                };
                self.progress.entry(tenant.clone()).or_insert(new).schedule = schedule;
            }
        }
        let mut changed = Vec::new();
        for (tenant, progress) in &mut self.progress {
            let trial = state.trial(tenant);
            if trial != progress.trial {
                // A step from before this leader's term may already be in effect at some gateways.
                let effective_at_ms = if was_initialized { now + STEP_EFFECTIVE_AFTER_MS } else { now };
                (progress.trial, progress.step_began_ms, progress.effective_at_ms) =
                    (trial, now, effective_at_ms);
                (progress.proposed, progress.retry_at_ms) = (false, 0);
                changed.push(tenant.clone());
            }
        }
        let trial_state = |(tenant, progress): (&String, &TrialProgress)| TrialState {
            tenant: tenant.clone(),
            step: progress.trial.step,
            stage: progress.trial.stage,
            effective_at_ms: progress.effective_at_ms,
        };
        (if was_initialized { changed } else { Vec::new() }, self.progress.iter().map(trial_state).collect())
    }

    /// When the next stage of any trial is due.
    pub(crate) fn next_due(&self) -> Option<u64> {
        self.progress.values().filter_map(TrialProgress::due).min()
    }

    /// Requests a second that the tenant may send over all gateways; `None`: it is not throttled.
    fn pace(&self, tenant: &str) -> Option<f64> {
        let progress = self.progress.get(tenant).filter(|progress| progress.trial.stage > 0)?;
        Some(progress.schedule.effect(progress.trial.stage).pace_per_s)
    }
}

/// A tenant's trial as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TrialView {
    /// Rises with each change.
    pub step: u64,
    /// Stage in force; 0: not throttled.
    pub stage: u32,
    /// Number of stages.
    pub stages: u32,
    /// `rising`: it lapses; `falling`: it is being restored, or it is restored.
    pub direction: &'static str,
    /// `running`, `lapsing`, `lapsed`, `restoring` or `restored`.
    pub state: &'static str,
    /// Time until the next stage, s; `None`: there is none.
    pub next_in_s: Option<f64>,
    /// Requests a second that the tenant may send over all gateways; `None`: unlimited.
    pub pace: Option<f64>,
    /// Shares of `pace` by gateway, for the gateways that have requested one.
    pub shares: BTreeMap<String, f64>,
}

fn direction_and_state(trial: Trial, stages: u32) -> (&'static str, &'static str) {
    match trial {
        Trial { lapses: true, stage, .. } if stage < stages => ("rising", "lapsing"),
        Trial { lapses: true, .. } => ("rising", "lapsed"),
        Trial { stage: 1.., .. } => ("falling", "restoring"),
        Trial { step: 0, .. } => ("falling", "running"),
        _ => ("falling", "restored"),
    }
}

impl Replica {
    /// The trials of all tenants, as operators see them. To be called while this member leads.
    pub fn trial_views(&mut self, now: u64) -> BTreeMap<String, TrialView> {
        let config = self.config();
        let tracker = self.lead.as_ref().map(|lead| &lead.trials);
        let view = |tenant: &String| {
            let (trial, schedule) = (self.state.trial(tenant), StageSchedule::for_tenant(&config, tenant));
            let (direction, state) = direction_and_state(trial, schedule.stage_count());
            let due = tracker.and_then(|tracker| tracker.progress.get(tenant)?.due());
            TrialView {
                step: trial.step,
                stage: trial.stage,
                stages: schedule.stage_count(),
                direction,
                state,
                next_in_s: due.map(|due| due.saturating_sub(now) as f64 / 1_000.0),
                pace: Some(schedule.effect(trial.stage).pace_per_s).filter(|pace| pace.is_finite()),
                shares: tracker.map(|tracker| tracker.pacer.shares(now, tenant)).unwrap_or_default(),
            }
        };
        config.tenants.keys().map(|tenant| (tenant.clone(), view(tenant))).collect()
    }

    /// The entry for an order on a trial; `None`: the trial already goes in that direction.
    ///
    /// # Errors
    /// There is no such tenant; the text says what is expected.
    pub(crate) fn trial_entry(&mut self, tenant: &str, lapse: bool) -> Result<Option<Entry>, String> {
        if !self.state.has_tenant(tenant) {
            return Err(format!(
                "{tenant:?} is no tenant: wants the name of one that is in the configuration"
            ));
        }
        let trial = self.state.trial(tenant);
        let order = if lapse { TrialOrder::Lapse } else { TrialOrder::Restore };
        let stage_count = StageSchedule::for_tenant(&self.config(), tenant).stage_count();
        let entry = Entry::Trial { tenant: tenant.to_owned(), base: trial.step, order, stage_count };
        Ok((trial.lapses != lapse).then_some(entry))
    }

    /// Proposes the next stage of each trial for which it is due.
    pub(crate) fn propose_due_stages(&mut self, now: u64) {
        let Some(lead) =
            self.lead.as_mut().filter(|lead| lead.trials.next_due().is_some_and(|due| due <= now))
        else {
            return;
        };
        let mut entries = Vec::new();
        for (tenant, progress) in &mut lead.trials.progress {
            if progress.due().is_some_and(|due| due <= now) {
                progress.proposed = true;
                let (base, stage_count) = (progress.trial.step, progress.schedule.stage_count());
                entries.push(Entry::Trial {
                    tenant: tenant.clone(),
                    base,
                    order: TrialOrder::Stage,
                    stage_count,
                });
            }
        }
        for entry in entries {
            self.propose_stage(now, &entry);
        }
        self.advance(now, |_| ());
    }

    /// Takes the end of a stage's entry. If the step is still the same, the stage is proposed again after a pause.
    pub(crate) fn stage_settled(&mut self, now: u64, tenant: &str, base: u64) {
        let progress = self.lead.as_mut().and_then(|lead| lead.trials.progress.get_mut(tenant));
        if let Some(progress) = progress.filter(|progress| progress.trial.step == base) {
            (progress.proposed, progress.retry_at_ms) = (false, now + RETRY_MS);
        }
    }

    fn propose_stage(&mut self, now: u64, entry: &Entry) {
        if let Entry::Trial { tenant, base, .. } = entry {
            let proposal = Proposal::TrialStage { tenant: tenant.clone(), base: *base };
            self.propose_own(now, entry, proposal);
        }
    }

    /// Brings the register up to date with the trials, and reports the changed ones.
    pub(crate) fn publish_trials(&mut self, now: u64) {
        let config = self.config();
        let Some(lead) = &mut self.lead else { return };
        let (changed, trials) = lead.trials.update(now, &self.state, &config);
        lead.register.set_trials(trials);
        for tenant in changed {
            let trial = self.state.trial(&tenant);
            self.effects.events.push(Event::Trial { tenant, trial });
        }
    }

    /// A gateway requests its shares of the throttled tenants' paces.
    ///
    /// # Errors
    /// This member doesn't lead, or can't be sure that it still does.
    pub fn request_pace_shares(
        &mut self,
        now: u64,
        call: &PaceSharesCall,
    ) -> Result<PaceSharesAnswer, LeaderRedirect> {
        self.with_lead(now, |lead, _| {
            let gateways = lead.register.gateway_count() as usize;
            let mut pacer = std::mem::take(&mut lead.trials.pacer);
            let pace = |tenant: &str| lead.trials.pace(tenant);
            let gateway = (call.name.as_str(), call.incarnation, call.seq);
            let shares = pacer.allocate(now, gateway, &call.demand, &call.held, pace, gateways);
            lead.trials.pacer = pacer;
            PaceSharesAnswer { seq: call.seq, term: lead.term, shares }
        })
    }
}
