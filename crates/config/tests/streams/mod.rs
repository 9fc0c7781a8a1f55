//! Random stretches of answers as a gateway sees them, calm and troubled, for the guard: franchisees whose
//! demand comes in spells, so that refusals come in bunches; regions that fail; a counter that stops; and
//! changes that do harm or none.

use nickeljunction_config::document::GuardFigures;
use nickeljunction_config::guard::{Alarm, Guard, Kind, Scope, Seen};
use std::collections::BTreeSet;

/// What begins at the moment of the change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// A fifth of the regions fail most of what they get.
    RegionsFail,
    /// A sixth of the regions say nothing.
    RegionsSilent,
    /// The counter stops: what is not in hand is refused.
    CounterDark,
    /// Twice the load: refusals and lateness everywhere.
    Crowd,
}

/// What the change does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A plan's figures, hardly.
    Harmless,
    /// A script that does nothing.
    HarmlessScript,
    /// A plan a hundred times too small.
    SmallPlan,
    /// Check-ins are not routed.
    LostRoute,
    /// A script that refuses all.
    RefusingScript,
    /// No regions left.
    EmptyRoster,
    /// Connections get no time to come up.
    ShortTimeouts,
}

pub const HARMLESS: [Change; 2] = [Change::Harmless, Change::HarmlessScript];
pub const HARMFUL: [Change; 5] = [
    Change::SmallPlan,
    Change::LostRoute,
    Change::RefusingScript,
    Change::EmptyRoster,
    Change::ShortTimeouts,
];
pub const TROUBLES: [Trouble; 5] =
    [Trouble::None, Trouble::RegionsFail, Trouble::RegionsSilent, Trouble::CounterDark, Trouble::Crowd];

const CLASSES: [&str; 3] = ["slot-lookup", "slot-hold", "donor-checkin"];
const PLANS: [&str; 4] = ["starter", "standard", "growth", "multi-site"];
const REGIONS: u64 = 12;

fn scope(change: Change) -> Scope {
    let (section, plans) = match change {
        Change::Harmless | Change::SmallPlan => ("plans", BTreeSet::from([1])),
        Change::HarmlessScript | Change::RefusingScript => ("plugin", BTreeSet::new()),
        Change::LostRoute => ("routes", BTreeSet::new()),
        Change::EmptyRoster => ("roster", BTreeSet::new()),
        Change::ShortTimeouts => ("timeouts", BTreeSet::new()),
    };
    Scope { sections: BTreeSet::from([section.to_string()]), plans, grew: false }
}

/// A stretch: 60 s before the change, `after_s` after it, at so many requests a second. The alarm, if one came,
/// and the time from the first answer that the change spoilt to it, ms.
pub fn play(
    seed: u64,
    rate: f64,
    after_s: f64,
    trouble: Trouble,
    change: Change,
    figures: &GuardFigures,
) -> Option<(Alarm, f64)> {
    let mut dice = fastrand::Rng::with_seed(seed);
    let owned = |names: &[&str]| names.iter().map(|name| name.to_string()).collect::<Vec<_>>();
    let mut guard = Guard::new(figures.clone(), owned(&CLASSES), owned(&PLANS));
    // Shares that are refused, fail and are late on an ordinary day, drawn anew for each.
    let refused = [0.02, 0.05, 0.1, 0.03].map(|share: f64| share * 2.0 * dice.f64());
    let (failed, late) = (0.03 * dice.f64(), 0.08 * dice.f64());
    // Spells of a franchisee that asks for many times its quota: a plan's refusals while it lasts.
    let mut spell: [(f64, f64); 4] = [(0.0, 0.0); 4];
    let troubled: Vec<u64> = (0..REGIONS).filter(|region| region % 6 == seed % 6).collect();
    let (mut now, began) = (1_000_000.0, 1_060_000.0);
    let (mut watching, mut spoilt, mut ticked) = (false, None, now);
    while now < began + after_s * 1000.0 {
        let crowded = trouble == Trouble::Crowd && watching;
        now += -(1.0 - dice.f64()).ln() * 1000.0 / if crowded { rate * 2.0 } else { rate };
        if !watching && now >= began {
            guard.watch(now, 2, scope(change));
            watching = true;
        }
        if now - ticked >= 100.0 {
            ticked = now;
            if let Some(alarm) = guard.tick(now) {
                return Some((alarm, now - spoilt.unwrap_or(now)));
            }
        }
        let plan = match dice.f64() {
            part if part < 0.22 => 0,
            part if part < 0.57 => 1,
            part if part < 0.75 => 2,
            _ => 3,
        };
        let class = match dice.f64() {
            part if part < 0.47 => 0,
            part if part < 0.78 => 1,
            _ => 2,
        };
        if now > spell[plan].0 + 6_000.0 && dice.f64() < 0.02 {
            spell[plan] = (now + 600.0 + 3_700.0 * dice.f64(), 0.3 * dice.f64());
        }
        let surge = if now < spell[plan].0 { spell[plan].1 } else { 0.0 };
        let region = dice.u64(0..REGIONS);
        let bad_region = watching && troubled.contains(&region);
        let counter_dark = watching && trouble == Trouble::CounterDark;
        if dice.f64() < 0.3 {
            guard.counted(now, !counter_dark && dice.f64() < 0.97);
        }
        let by_change = watching
            && match change {
                Change::Harmless | Change::HarmlessScript => false,
                Change::SmallPlan => plan == 1 && dice.f64() < 0.95,
                Change::LostRoute => class == 2,
                Change::RefusingScript | Change::EmptyRoster | Change::ShortTimeouts => true,
            };
        let mut shed = false;
        let kind = if by_change {
            spoilt.get_or_insert(now);
            match change {
                Change::LostRoute | Change::RefusingScript => Kind::TurnedAway,
                Change::ShortTimeouts => Kind::Failed,
                _ => Kind::Refused { shed: false },
            }
        } else if dice.f64() < refused[plan] + surge || counter_dark && dice.f64() < 0.35 {
            Kind::Refused { shed }
        } else if crowded && dice.f64() < 0.3 {
            shed = dice.f64() < 0.9;
            if shed {
                Kind::Refused { shed }
            } else {
                Kind::Late
            }
        } else if bad_region && trouble == Trouble::RegionsFail && dice.f64() < 0.7 {
            Kind::Failed
        } else if bad_region && trouble == Trouble::RegionsSilent {
            if class == 0 {
                Kind::Late
            } else {
                Kind::Failed
            }
        } else if dice.f64() < failed {
            Kind::Failed
        } else if dice.f64() < late {
            Kind::Late
        } else {
            Kind::Served
        };
        let sent = matches!(kind, Kind::Served | Kind::Late | Kind::Failed);
        if sent {
            let hung = bad_region && trouble == Trouble::RegionsSilent;
            guard.attempt(now, region, kind != Kind::Failed && !hung);
        }
        let class = (kind != Kind::TurnedAway || change != Change::LostRoute).then_some(class);
        let seen = Seen { class, plan: Some(plan), kind, region: sent.then_some(region) };
        guard.answer(now, if watching { 2 } else { 1 }, seen);
    }
    None
}
