//! The leader's side: one pace divided among gateways by what each is asked.

use std::collections::BTreeMap;

/// A share is counted for so long after the call that got it, ms. Gateways ask each half second.
pub const LEASE_MS: u64 = 6_000;
/// For so long after its first call a tenant's pace is not divided anew: gateways go by what they hold, as not all have been
/// heard of, ms.
const YOUNG_MS: u64 = 1_500;
/// Each gateway is reckoned with this part of an even share beside its demand, so that a first request finds some.
const IDLE_PART: f64 = 0.1;

#[derive(Debug, Clone)]
struct Share {
    name: String,
    seq: u64,
    demand: f64,
    per_s: f64,
    heard: u64,
}

/// The shares of one tenant.
#[derive(Debug, Clone, Default)]
struct Book {
    since: u64,
    shares: BTreeMap<u64, Share>,
}

/// Divides paces among gateways. Soft state: a new leader's begins empty.
///
/// Each share is as large a part of the pace as its gateway's demand is of all, so that all are equally loaded. They add up to
/// the pace over the gateways heard of, and to half as much more at most while demand moves between them. No rule hangs on it:
/// quotas are kept by units.
#[derive(Debug, Clone, Default)]
pub struct Pacer {
    books: BTreeMap<String, Book>,
}

impl Pacer {
    /// A gateway's call: `name` of its machine, `life` drawn by its process, `seq` that rises, its demand and the shares that
    /// it goes by, requests a second. `pace` gives the paces of tenants that are slowed, `gateways` how many there are.
    pub fn call(
        &mut self,
        now: u64,
        (name, life, seq): (&str, u64, u64),
        demand: &BTreeMap<String, f64>,
        held: &BTreeMap<String, f64>,
        pace: impl Fn(&str) -> Option<f64>,
        gateways: usize,
    ) -> BTreeMap<String, f64> {
        self.books.retain(|tenant, _| pace(tenant).is_some());
        let mut answer = BTreeMap::new();
        for (tenant, demand) in demand {
            let Some(pace) = pace(tenant).filter(|pace| pace.is_finite()) else { continue };
            let book = self.books.entry(tenant.clone()).or_default();
            if book.shares.is_empty() {
                book.since = now;
            }
            // A machine has one process: an older life's share ended with it.
            book.shares.retain(|other, share| {
                (*other == life || share.name != name) && share.heard + LEASE_MS > now
            });
            let known = book.shares.get(&life).is_some_and(|share| share.seq >= seq);
            let demand = if demand.is_finite() { demand.max(0.0) } else { 0.0 };
            if !known {
                let per_s = book.shares.get(&life).map_or(0.0, |share| share.per_s);
                let share = Share { name: name.to_owned(), seq, demand, per_s, heard: now };
                book.shares.insert(life, share);
            }
            let count = gateways.max(book.shares.len()).max(1) as f64;
            let idle = IDLE_PART * pace / count;
            let all: f64 = book.shares.values().map(|share| share.demand + idle).sum();
            // Those that are there and haven't asked lately are idle.
            let all = all + idle * (count - book.shares.len() as f64);
            let fair = pace * (demand + idle) / all.max(f64::MIN_POSITIVE);
            let others: f64 =
                book.shares.iter().filter(|(other, _)| **other != life).map(|(_, share)| share.per_s).sum();
            let young = now < book.since + YOUNG_MS;
            let held = held.get(tenant).filter(|held| **held > 0.0);
            let aim = match held {
                // Told by an older leader, as the others' were.
                Some(held) if young => *held,
                // It goes by waits alone for as long.
                None if young => continue,
                _ => fair,
            };
            // Half of its due at once, the rest when the others have given it up: a gateway that came anew is not shut out.
            let share = aim.min((pace - others).max(fair / 2.0));
            if let Some(own) = book.shares.get_mut(&life) {
                own.per_s = share;
            }
            answer.insert(tenant.clone(), share);
        }
        answer
    }

    /// Shares in force of a tenant, by gateway; for operators.
    pub fn shares(&self, now: u64, tenant: &str) -> BTreeMap<String, f64> {
        let book = self.books.get(tenant);
        let shares = book.into_iter().flat_map(|book| book.shares.values());
        let alive = shares.filter(|share| share.heard + LEASE_MS > now);
        alive.map(|share| (share.name.clone(), share.per_s)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PACE: f64 = 90.0;

    struct World {
        pacer: Pacer,
        held: Vec<f64>,
        seq: u64,
    }

    impl World {
        fn new(size: usize) -> World {
            World { pacer: Pacer::default(), held: vec![0.0; size], seq: 0 }
        }

        /// Each gateway of `asks` calls with its demand, one after the other.
        fn round(&mut self, now: u64, asks: &[(usize, f64)]) {
            for &(at, demand) in asks {
                self.seq += 1;
                let (name, tenant) = (format!("edge-{at}"), "t".to_string());
                let held = BTreeMap::from([(tenant.clone(), self.held[at])]);
                let demand = BTreeMap::from([(tenant, demand)]);
                let pace = |_: &str| Some(PACE);
                let who = (name.as_str(), at as u64, self.seq);
                let answer = self.pacer.call(now, who, &demand, &held, pace, self.held.len());
                self.held[at] = answer.get("t").copied().unwrap_or(self.held[at]);
                let all: f64 = self.pacer.shares(now, "t").values().sum();
                assert!(all <= 1.5 * PACE + 1e-9, "shares add up to {all} at {now}");
            }
        }
    }

    #[test]
    fn shares_follow_demand_and_never_add_up_to_more_than_the_pace() {
        let mut world = World::new(9);
        let even: Vec<(usize, f64)> = (0..9).map(|at| (at, 20.0)).collect();
        world.round(0, &even);
        assert!(world.held.iter().all(|share| *share == 0.0), "not all are known yet: {:?}", world.held);
        (3..6).for_each(|round| world.round(round * 500, &even));
        assert!(world.held.iter().all(|share| (share - 10.0).abs() < 1e-9), "{:?}", world.held);
        // All of the traffic moves to one gateway.
        let one: Vec<(usize, f64)> = (0..9).map(|at| (at, if at == 4 { 180.0 } else { 0.0 })).collect();
        (6..14).for_each(|round| world.round(round * 500, &one));
        let all = |world: &World| world.held.iter().sum::<f64>();
        assert!(world.held[4] > 0.85 * PACE && all(&world) < 1.01 * PACE, "{:?}", world.held);
        assert!(world.held[0] > 0.05, "a first request finds some: {:?}", world.held);
        (14..18).for_each(|round| world.round(round * 500, &even));
        let least = world.held.iter().copied().fold(f64::INFINITY, f64::min);
        assert!(least > 9.0 && all(&world) < 1.01 * PACE, "{:?}", world.held);
    }

    #[test]
    fn a_new_leader_goes_by_what_gateways_hold_and_a_dead_one_gives_its_part_up() {
        let mut world = World::new(3);
        let asks = [(0, 10.0), (1, 20.0), (2, 60.0)];
        (0..8).for_each(|round| world.round(round * 500, &asks));
        let before = world.held.clone();
        assert!(before[2] > 2.5 * before[1], "{before:?}");
        world.pacer = Pacer::default();
        world.round(10_000, &asks);
        for (now, then) in world.held.iter().zip(&before) {
            assert!((now - then).abs() < 1e-9, "{:?} before, {:?} after", before, world.held);
        }
        // The heaviest is gone: its share is given to the others once its lease is over, not before.
        let rest = [(0, 30.0), (1, 30.0)];
        world.round(14_000, &rest);
        assert!(world.held[0] + world.held[1] < PACE / 2.0, "{:?}", world.held);
        (0..2).for_each(|round| world.round(17_000 + round * 500, &rest));
        assert!(world.held[0] + world.held[1] > 0.9 * PACE, "{:?}", world.held);
    }
}
