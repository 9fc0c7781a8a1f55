//! Drawn timelines: faults that overlap.

use super::timeline::{Act, Step, Timeline, QUIET_MS};
use crate::network::{Link, Party};
use std::collections::BTreeMap;

impl Timeline {
    /// A drawn storm: faults that overlap, each ended before the quiet.
    pub fn storm(gateways: usize, seconds: u64, seed: u64) -> Timeline {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut line = Timeline { seed, ..Timeline::calm(gateways, seconds.max(10)) };
        let end = line.length_ms - QUIET_MS;
        let mut down: BTreeMap<usize, u64> = BTreeMap::new();
        let mut linked_until = 0;
        let mut at = 3_000;
        while at + 1_500 < end {
            let lasts = rng.u64(800..8_000).min(end - at - 200);
            let over = at + lasts;
            let gateway = rng.usize(0..gateways);
            let region = rng.usize(0..line.regions);
            let free = down.get(&gateway).is_none_or(|until| *until < at);
            let mut add = |at_ms: u64, act: Act| line.steps.push(Step { at_ms, act });
            match rng.u32(0..14) {
                0 | 1 if free => {
                    add(at, Act::Kill { gateway });
                    add(over, Act::Start { gateway, old: false });
                    down.insert(gateway, over + 1_000);
                }
                2 if free => {
                    add(at, Act::Term { gateway });
                    let over = (at + 4_500).max(over).min(end);
                    add(over, Act::Start { gateway, old: false });
                    down.insert(gateway, over + 1_000);
                }
                3 | 4 if free => {
                    add(at, Act::Stop { gateway });
                    add(over, Act::Continue { gateway });
                    down.insert(gateway, over + 500);
                }
                5 => {
                    // Up to half of them at once.
                    let up: Vec<usize> =
                        (0..gateways).filter(|one| down.get(one).is_none_or(|until| *until < at)).collect();
                    for one in up {
                        if rng.f64() < 0.4 {
                            add(at, Act::Kill { gateway: one });
                            add(over, Act::Start { gateway: one, old: false });
                            down.insert(one, over + 1_000);
                        }
                    }
                }
                6 | 7 if linked_until < at => {
                    let sides = (0..gateways).map(|_| rng.u8(0..2)).collect();
                    add(at, Act::Partition { sides });
                    add(over, Act::Heal);
                    linked_until = over;
                }
                8 if linked_until < at => {
                    // In thousandths: a timeline that is written down and read again is the same.
                    let mut part = |most: f64| (rng.f64() * most * 1_000.0).round() / 1_000.0;
                    let (loss, double, corrupt, spread_ms) = (part(0.3), part(0.2), part(0.05), part(60.0));
                    let link = Link { loss, double, corrupt, spread_ms, ..Link::default() };
                    add(at, Act::Mesh { link });
                    add(over, Act::Heal);
                    linked_until = over;
                }
                9 if linked_until < at => {
                    let cut = Link { cut: true, ..Link::default() };
                    let to =
                        [Party::Region(region), Party::Gateway((gateway + 1) % gateways)][rng.usize(0..2)];
                    add(at, Act::Link { from: Party::Gateway(gateway), to, link: cut });
                    if rng.bool() {
                        add(at, Act::Link { from: to, to: Party::Gateway(gateway), link: cut });
                    }
                    add(over, Act::Heal);
                    linked_until = over;
                }
                10 => {
                    add(at, Act::Counter { dark: true });
                    add(over, Act::Counter { dark: false });
                }
                11 => {
                    add(at, Act::Drain { region });
                    add(over.max(at + 2_500).min(end), Act::Cold { region });
                }
                12 => {
                    let silent = rng.bool();
                    let fail_every = if silent { 0 } else { 2 };
                    add(at, Act::Region { region, work_ms: 20, fail_every, silent });
                    add(over, Act::Region { region, work_ms: 20, fail_every: 0, silent: false });
                }
                _ => add(at, Act::Noise { gateway, per_s: rng.u32(100..3_000), ms: lasts.min(4_000) }),
            }
            at += rng.u64(300..2_500);
        }
        line.steps.push(Step { at_ms: end, act: Act::Heal });
        line.steps.push(Step { at_ms: end, act: Act::Counter { dark: false } });
        line.steps.sort_by_key(|step| step.at_ms);
        line
    }
}
