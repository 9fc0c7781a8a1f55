//! The leader's side: one tenant's rate divided among gateways by demand.

use std::collections::BTreeMap;

/// A share is counted for so long after the call that got it, ms. Gateways ask each half second.
pub const LEASE_MS: u64 = 6_000;
/// For so long after a tenant's first call its rate is not divided anew, ms: until all gateways have called, each keeps the
/// share that it has.
const STARTUP_MS: u64 = 1_500;
/// Each gateway's demand counts for this part of an even share more, so that an idle gateway's first request finds some.
const IDLE_PART: f64 = 0.1;

/// What one gateway process was given of a tenant's rate.
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

impl Book {
    /// Notes a gateway's call, and drops the shares that have ended.
    fn note(&mut self, now: u64, name: &str, life: u64, seq: u64, demand: f64) {
        if self.shares.is_empty() {
            self.since = now;
        }
        // A machine has one process: an older life's share ended with it.
        self.shares
            .retain(|other, share| (*other == life || share.name != name) && share.heard + LEASE_MS > now);
        let known = self.shares.get(&life).is_some_and(|share| share.seq >= seq);
        if !known {
            let per_s = self.shares.get(&life).map_or(0.0, |share| share.per_s);
            let share = Share { name: name.to_owned(), seq, demand, per_s, heard: now };
            self.shares.insert(life, share);
        }
    }

    /// The gateway's new share, requests a second; `None`: it has none yet, and delays alone slow its requests.
    fn divide(
        &mut self,
        now: u64,
        life: u64,
        demand: f64,
        held: Option<f64>,
        pace: f64,
        gateways: usize,
    ) -> Option<f64> {
        let fair = self.fair_share(demand, pace, gateways);
        let starting = now < self.since + STARTUP_MS;
        let aim = match held {
            // Given by an older leader, as the others' were.
            Some(held) if starting => held,
            None if starting => return None,
            _ => fair,
        };
        let others = self.shares.iter().filter(|(other, _)| **other != life);
        let others: f64 = others.map(|(_, share)| share.per_s).sum();
        // Half of its fair share at once, the rest when the others have returned it: a gateway that just joined is served.
        let share = aim.min((pace - others).max(fair / 2.0));
        if let Some(own) = self.shares.get_mut(&life) {
            own.per_s = share;
        }
        Some(share)
    }

    /// The share of a gateway with this demand in proportion to the demand of all.
    fn fair_share(&self, demand: f64, pace: f64, gateways: usize) -> f64 {
        let count = gateways.max(self.shares.len()).max(1) as f64;
        let idle = IDLE_PART * pace / count;
        let all: f64 = self.shares.values().map(|share| share.demand + idle).sum();
        // Those that exist and haven't called lately are idle.
        let all = all + idle * (count - self.shares.len() as f64);
        pace * (demand + idle) / all.max(f64::MIN_POSITIVE)
    }
}

/// Divides rates among gateways. Soft state: a new leader begins without any.
///
/// Each share is proportional to its gateway's demand. The shares of the gateways that have called add up to the tenant's
/// rate, and to one and a half times as much at most while demand moves between them. Quotas don't depend on it: they are
/// enforced by units.
#[derive(Debug, Clone, Default)]
pub struct Pacer {
    books: BTreeMap<String, Book>,
}

impl Pacer {
    /// A gateway's call: `name` of its machine, `life` drawn by its process, `seq` that rises, its demand and the shares that
    /// it goes by, requests a second. `pace` gives the paces of tenants that are slowed, `gateways` how many there are.
    pub fn allocate(
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
            let demand = if demand.is_finite() { demand.max(0.0) } else { 0.0 };
            book.note(now, name, life, seq, demand);
            let held = held.get(tenant).copied().filter(|held| *held > 0.0);
            if let Some(share) = book.divide(now, life, demand, held, pace, gateways) {
                answer.insert(tenant.clone(), share);
            }
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
                let answer = self.pacer.allocate(now, who, &demand, &held, pace, self.held.len());
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
