//! Tenants' trials: orders on them, when the next stage is due at the leader, and shares of paces (gradual throttling).

use crate::effects::Event;
use crate::pending_calls::Proposed;
use crate::replica::Replica;
use crate::state::{Entry, ReplicatedState, Trial, TrialOrder};
use nickeljunction_messages::{LeaderRedirect, PaceSharesAnswer, PaceSharesCall};
use nickeljunction_pacing::{Pacer, StageSchedule};
use nickeljunction_registry::TrialState;
use nickeljunction_schema::Config;
use serde::Serialize;
use std::collections::BTreeMap;

/// From so long after it was taken, ms, a step holds: every gateway in touch has heard of it by then.
pub const STEP_EFFECTIVE_AFTER_MS: u64 = 300;
/// A stage that didn't come onto the log is proposed again after so long, ms.
const AGAIN_MS: u64 = 200;

/// A tenant's trial as its leader drives it.
#[derive(Debug)]
struct Turn {
    trial: Trial,
    curve: StageSchedule,
    /// This leader took its step then, or found it at its start.
    taken: u64,
    holds: u64,
    /// The next stage is on its way to the log.
    proposed: bool,
    not_before: u64,
}

impl Turn {
    /// When the next stage is to be proposed; `None`: there is none, or it is on its way.
    fn due(&self) -> Option<u64> {
        let Trial { lapses, stage, .. } = self.trial;
        let more = if lapses { stage < self.curve.stage_count() } else { stage > 0 };
        // A whole time from here on, whatever passed before: a stage never lasts shorter.
        let over = self.taken.saturating_add(self.curve.effect(stage).duration_ms);
        (more && !self.proposed).then_some(over.max(self.not_before))
    }
}

/// All trials that ever changed, and who has which share of a pace. Soft state of one lead.
#[derive(Debug, Default)]
pub(crate) struct LapsedTrials {
    turns: BTreeMap<String, Turn>,
    /// Version of the configuration that the curves are from.
    version: u64,
    /// What was on the log at the start is taken over.
    begun: bool,
    pacer: Pacer,
}

impl LapsedTrials {
    /// Takes over what the log says; gives the tenants whose trial changed, and all there is to tell.
    pub(crate) fn log(
        &mut self,
        now: u64,
        state: &ReplicatedState,
        config: &Config,
    ) -> (Vec<String>, Vec<TrialState>) {
        let live = std::mem::replace(&mut self.begun, true);
        let trials = state.trials();
        let known = |tenant: &String| self.turns.contains_key(tenant);
        // Most cores never have one.
        if self.version != state.version() && !trials.is_empty() || !trials.keys().all(known) {
            self.version = state.version();
            for tenant in trials.keys() {
                let curve = StageSchedule::for_tenant(config, tenant);
                let fresh = Turn {
                    trial: Trial::default(),
                    curve: curve.clone(),
                    taken: now,
                    holds: 0,
                    proposed: false,
                    not_before: 0,
                };
                self.turns.entry(tenant.clone()).or_insert(fresh).curve = curve;
            }
        }
        let mut changed = Vec::new();
        for (tenant, turn) in &mut self.turns {
            let trial = state.trial(tenant);
            if trial != turn.trial {
                // What is older than this lead may hold at some gateways since long.
                let holds = if live { now + STEP_EFFECTIVE_AFTER_MS } else { now };
                (turn.trial, turn.taken, turn.holds) = (trial, now, holds);
                (turn.proposed, turn.not_before) = (false, 0);
                changed.push(tenant.clone());
            }
        }
        let tide = |(tenant, turn): (&String, &Turn)| TrialState {
            tenant: tenant.clone(),
            step: turn.trial.step,
            stage: turn.trial.stage,
            effective_at_ms: turn.holds,
        };
        (if live { changed } else { Vec::new() }, self.turns.iter().map(tide).collect())
    }

    /// When a next stage is due.
    pub(crate) fn wake(&self) -> Option<u64> {
        self.turns.values().filter_map(Turn::due).min()
    }

    /// Requests a second that pass over all gateways; `None`: it isn't slowed.
    fn pace(&self, tenant: &str) -> Option<f64> {
        let turn = self.turns.get(tenant).filter(|turn| turn.trial.stage > 0)?;
        Some(turn.curve.effect(turn.trial.stage).pace_per_s)
    }
}

/// A tenant's trial as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TrialView {
    /// Rises with each change.
    pub step: u64,
    /// In force; 0: full pace.
    pub stage: u32,
    /// How many there are.
    pub stages: u32,
    /// `rising`: it lapses; `falling`: it goes back, or has.
    pub direction: &'static str,
    /// `running`, `lapsing`, `lapsed`, `restoring` or `restored`.
    pub state: &'static str,
    /// Until the next stage, s; `None`: there is none.
    pub next_in_s: Option<f64>,
    /// Requests a second that pass over all gateways; `None`: unbound.
    pub pace: Option<f64>,
    /// Its parts by gateway, as far as they have asked.
    pub shares: BTreeMap<String, f64>,
}

fn words(trial: Trial, stages: u32) -> (&'static str, &'static str) {
    match trial {
        Trial { lapses: true, stage, .. } if stage < stages => ("rising", "lapsing"),
        Trial { lapses: true, .. } => ("rising", "lapsed"),
        Trial { stage: 1.., .. } => ("falling", "restoring"),
        Trial { step: 0, .. } => ("falling", "running"),
        _ => ("falling", "restored"),
    }
}

impl Replica {
    /// The trials of all tenants as this member, which leads, sees them.
    pub fn trial_views(&mut self, now: u64) -> BTreeMap<String, TrialView> {
        let config = self.config();
        let tides = self.lead.as_ref().map(|lead| &lead.tides);
        let view = |tenant: &String| {
            let (trial, curve) = (self.state.trial(tenant), StageSchedule::for_tenant(&config, tenant));
            let (direction, state) = words(trial, curve.stage_count());
            let due = tides.and_then(|tides| tides.turns.get(tenant)?.due());
            TrialView {
                step: trial.step,
                stage: trial.stage,
                stages: curve.stage_count(),
                direction,
                state,
                next_in_s: due.map(|due| due.saturating_sub(now) as f64 / 1_000.0),
                pace: Some(curve.effect(trial.stage).pace_per_s).filter(|pace| pace.is_finite()),
                shares: tides.map(|tides| tides.pacer.shares(now, tenant)).unwrap_or_default(),
            }
        };
        config.tenants.keys().map(|tenant| (tenant.clone(), view(tenant))).collect()
    }

    /// What an order on a trial puts on the log; `None`: it is so already.
    ///
    /// # Errors
    /// There is no such tenant; what is wanted.
    pub(crate) fn trial_entry(&mut self, tenant: &str, lapse: bool) -> Result<Option<Entry>, String> {
        if !self.state.has_tenant(tenant) {
            return Err(format!(
                "{tenant:?} is no tenant: wants the name of one that is in the configuration"
            ));
        }
        let trial = self.state.trial(tenant);
        let order = if lapse { TrialOrder::Lapse } else { TrialOrder::Restore };
        let most = StageSchedule::for_tenant(&self.config(), tenant).stage_count();
        let entry = Entry::Trial { tenant: tenant.to_owned(), base: trial.step, order, stage_count: most };
        Ok((trial.lapses != lapse).then_some(entry))
    }

    /// Proposes the stages that are due.
    pub(crate) fn turn_tides(&mut self, now: u64) {
        let Some(lead) = self.lead.as_mut().filter(|lead| lead.tides.wake().is_some_and(|due| due <= now))
        else {
            return;
        };
        let mut entries = Vec::new();
        for (tenant, turn) in &mut lead.tides.turns {
            if turn.due().is_some_and(|due| due <= now) {
                turn.proposed = true;
                let (base, most) = (turn.trial.step, turn.curve.stage_count());
                entries.push(Entry::Trial {
                    tenant: tenant.clone(),
                    base,
                    order: TrialOrder::Stage,
                    stage_count: most,
                });
            }
        }
        for entry in entries {
            self.propose_stage(now, &entry);
        }
        self.turn(now, |_| ());
    }

    /// A stage that was proposed is decided on, or not known to be.
    pub(crate) fn stage_settled(&mut self, now: u64, tenant: &str, base: u64) {
        let turn = self.lead.as_mut().and_then(|lead| lead.tides.turns.get_mut(tenant));
        if let Some(turn) = turn.filter(|turn| turn.trial.step == base) {
            (turn.proposed, turn.not_before) = (false, now + AGAIN_MS);
        }
    }

    fn propose_stage(&mut self, now: u64, entry: &Entry) {
        if let Entry::Trial { tenant, base, .. } = entry {
            let proposed = Proposed::Stage { tenant: tenant.clone(), base: *base };
            self.propose_own(now, entry, proposed);
        }
    }

    /// Tells the register and operators what the log says of trials.
    pub(crate) fn publish_tides(&mut self, now: u64) {
        let config = self.config();
        let Some(lead) = &mut self.lead else { return };
        let (changed, tides) = lead.tides.log(now, &self.state, &config);
        lead.register.set_trials(tides);
        for tenant in changed {
            let trial = self.state.trial(&tenant);
            self.out.events.push(Event::Trial { tenant, trial });
        }
    }

    /// A gateway asks for its shares of paces.
    ///
    /// # Errors
    /// This member doesn't lead, or is not sure of it.
    pub fn request_pace_shares(
        &mut self,
        now: u64,
        call: &PaceSharesCall,
    ) -> Result<PaceSharesAnswer, LeaderRedirect> {
        self.with_lead(now, |lead, _| {
            let gateways = lead.register.gateway_count() as usize;
            let mut pacer = std::mem::take(&mut lead.tides.pacer);
            let pace = |tenant: &str| lead.tides.pace(tenant);
            let who = (call.name.as_str(), call.incarnation, call.seq);
            let shares = pacer.allocate(now, who, &call.demand, &call.held, pace, gateways);
            lead.tides.pacer = pacer;
            PaceSharesAnswer { seq: call.seq, term: lead.term, shares }
        })
    }
}
