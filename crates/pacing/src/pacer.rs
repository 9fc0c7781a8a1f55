//! Runs on the leader: divides a tenant's rate among gateways by demand.

use std::collections::BTreeMap;

/// A share counts as in use for this time after the call that got it, ms. Gateways call every half second.
pub const LEASE_MS: u64 = 6_000;
/// For this time after the first call for a tenant, its rate is not divided again, ms: until all gateways have
/// called, each keeps the share that it has.
const STARTUP_MS: u64 = 1_500;
/// This fraction of an even share is added to the demand of each gateway, so that an idle gateway has a share for its
/// first request.
const IDLE_FRACTION: f64 = 0.1;

/// A gateway process's share of a tenant's rate.
#[derive(Debug, Clone)]
struct Share {
    gateway: String,
    seq: u64,
    demand: f64,
    per_s: f64,
    /// Time of its last call, ms.
    last_call: u64,
}

/// The shares of one tenant, by incarnation of the gateway process.
#[derive(Debug, Clone, Default)]
struct TenantShares {
    /// Time of the first call since there were no shares, ms.
    first_call: u64,
    shares: BTreeMap<u64, Share>,
}

impl TenantShares {
    /// Records a gateway's call, and drops the shares that have ended.
    fn record_call(&mut self, now: u64, gateway: &str, incarnation: u64, seq: u64, demand: f64) {
        if self.shares.is_empty() {
            self.first_call = now;
        }
        // A machine runs one gateway process: the share of an earlier process ended with that process.
        self.shares.retain(|other, share| {
            (*other == incarnation || share.gateway != gateway) && share.last_call + LEASE_MS > now
        });
        let is_outdated = self.shares.get(&incarnation).is_some_and(|share| share.seq >= seq);
        if !is_outdated {
            let per_s = self.shares.get(&incarnation).map_or(0.0, |share| share.per_s);
            let share = Share { gateway: gateway.to_owned(), seq, demand, per_s, last_call: now };
            self.shares.insert(incarnation, share);
        }
    }

    /// The gateway's new share, in requests per second; `None`: it has none yet, and its requests are throttled by
    /// delays alone.
    fn divide(
        &mut self,
        now: u64,
        incarnation: u64,
        demand: f64,
        held: Option<f64>,
        pace: f64,
        gateways: usize,
    ) -> Option<f64> {
        let fair_share = self.fair_share(demand, pace, gateways);
        let is_starting = now < self.first_call + STARTUP_MS;
        let target = match held {
            // The previous leader granted this share, and those of the other gateways.
            Some(held) if is_starting => held,
            None if is_starting => return None,
            _ => fair_share,
        };
        let others = self.shares.iter().filter(|(other, _)| **other != incarnation);
        let others: f64 = others.map(|(_, share)| share.per_s).sum();
        // At least half of the fair share at once, so that a gateway that has just joined can pass requests; the rest
        // once the others have given it back.
        let share = target.min((pace - others).max(fair_share / 2.0));
        if let Some(own) = self.shares.get_mut(&incarnation) {
            own.per_s = share;
        }
        Some(share)
    }

    /// The share of a gateway with this demand, in proportion to the demand of all gateways.
    fn fair_share(&self, demand: f64, pace: f64, gateways: usize) -> f64 {
        let count = gateways.max(self.shares.len()).max(1) as f64;
        let idle_demand = IDLE_FRACTION * pace / count;
        let reported: f64 = self.shares.values().map(|share| share.demand + idle_demand).sum();
        // Gateways that exist but haven't called recently are idle.
        let total = reported + idle_demand * (count - self.shares.len() as f64);
        pace * (demand + idle_demand) / total.max(f64::MIN_POSITIVE)
    }
}

/// Divides the rates of tenants among gateways. Soft state: a new leader starts without any.
///
/// Each share is proportional to the gateway's demand. The shares of the gateways that have called add up to the
/// tenant's rate; while demand moves between gateways, they add up to at most one and a half times the rate. Quotas
/// don't depend on this: quota units enforce them.
#[derive(Debug, Clone, Default)]
pub struct Pacer {
    tenants: BTreeMap<String, TenantShares>,
}

impl Pacer {
    /// Answers a gateway's call with its shares, in requests per second, by tenant.
    ///
    /// The gateway is identified by the name of its machine and the incarnation of its process; `seq` increases with
    /// each call. `demand` and `held`, the shares that it applies now, are in requests per second. `pace` returns the
    /// pace of a tenant that is throttled; `gateways` is the number of gateways.
    pub fn allocate(
        &mut self,
        now: u64,
        (name, incarnation, seq): (&str, u64, u64),
        demand: &BTreeMap<String, f64>,
        held: &BTreeMap<String, f64>,
        pace: impl Fn(&str) -> Option<f64>,
        gateways: usize,
    ) -> BTreeMap<String, f64> {
        self.tenants.retain(|tenant, _| pace(tenant).is_some());
        let mut answer = BTreeMap::new();
        for (tenant, demand) in demand {
            let Some(pace) = pace(tenant).filter(|pace| pace.is_finite()) else { continue };
            let shares = self.tenants.entry(tenant.clone()).or_default();
            let demand = if demand.is_finite() { demand.max(0.0) } else { 0.0 };
            shares.record_call(now, name, incarnation, seq, demand);
            let held = held.get(tenant).copied().filter(|held| *held > 0.0);
            if let Some(share) = shares.divide(now, incarnation, demand, held, pace, gateways) {
                answer.insert(tenant.clone(), share);
            }
        }
        answer
    }

    /// A tenant's shares that are in use, by gateway; for operators.
    pub fn shares(&self, now: u64, tenant: &str) -> BTreeMap<String, f64> {
        let shares = self.tenants.get(tenant).into_iter().flat_map(|tenant| tenant.shares.values());
        let current = shares.filter(|share| share.last_call + LEASE_MS > now);
        current.map(|share| (share.gateway.clone(), share.per_s)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PACE: f64 = 90.0;

    struct Harness {
        pacer: Pacer,
        held: Vec<f64>,
        seq: u64,
    }

    impl Harness {
        fn new(size: usize) -> Harness {
            Harness { pacer: Pacer::default(), held: vec![0.0; size], seq: 0 }
        }

        /// Each gateway in `demands` calls once with its demand, one after the other.
        fn call_round(&mut self, now: u64, demands: &[(usize, f64)]) {
            for &(gateway, demand) in demands {
                self.seq += 1;
                let (name, tenant) = (format!("edge-{gateway}"), "t".to_string());
                let held = BTreeMap::from([(tenant.clone(), self.held[gateway])]);
                let demand = BTreeMap::from([(tenant, demand)]);
                let pace = |_: &str| Some(PACE);
                let caller = (name.as_str(), gateway as u64, self.seq);
                let answer = self.pacer.allocate(now, caller, &demand, &held, pace, self.held.len());
                self.held[gateway] = answer.get("t").copied().unwrap_or(self.held[gateway]);
                let total: f64 = self.pacer.shares(now, "t").values().sum();
                assert!(total <= 1.5 * PACE + 1e-9, "shares add up to {total} at {now} ms");
            }
        }
    }

    #[test]
    fn shares_follow_demand_and_do_not_exceed_the_pace_once_demand_is_stable() {
        let mut harness = Harness::new(9);
        let even: Vec<(usize, f64)> = (0..9).map(|gateway| (gateway, 20.0)).collect();
        harness.call_round(0, &even);
        assert!(
            harness.held.iter().all(|share| *share == 0.0),
            "no shares before all gateways have called: {:?}",
            harness.held
        );
        (3..6).for_each(|round| harness.call_round(round * 500, &even));
        assert!(harness.held.iter().all(|share| (share - 10.0).abs() < 1e-9), "{:?}", harness.held);
        // All traffic moves to one gateway.
        let single: Vec<(usize, f64)> =
            (0..9).map(|gateway| (gateway, if gateway == 4 { 180.0 } else { 0.0 })).collect();
        (6..14).for_each(|round| harness.call_round(round * 500, &single));
        let total = |harness: &Harness| harness.held.iter().sum::<f64>();
        assert!(harness.held[4] > 0.85 * PACE && total(&harness) < 1.01 * PACE, "{:?}", harness.held);
        assert!(harness.held[0] > 0.05, "idle gateways keep a share for a first request: {:?}", harness.held);
        (14..18).for_each(|round| harness.call_round(round * 500, &even));
        let smallest = harness.held.iter().copied().fold(f64::INFINITY, f64::min);
        assert!(smallest > 9.0 && total(&harness) < 1.01 * PACE, "{:?}", harness.held);
    }

    #[test]
    fn a_new_leader_keeps_held_shares_and_a_failed_gateways_share_is_reassigned_after_its_lease() {
        let mut harness = Harness::new(3);
        let demands = [(0, 10.0), (1, 20.0), (2, 60.0)];
        (0..8).for_each(|round| harness.call_round(round * 500, &demands));
        let before = harness.held.clone();
        assert!(before[2] > 2.5 * before[1], "{before:?}");
        harness.pacer = Pacer::default();
        harness.call_round(10_000, &demands);
        for (new, old) in harness.held.iter().zip(&before) {
            assert!((new - old).abs() < 1e-9, "{:?} before, {:?} after", before, harness.held);
        }
        // The gateway with the highest demand fails: the others get its share when its lease ends, not before.
        let remaining = [(0, 30.0), (1, 30.0)];
        harness.call_round(14_000, &remaining);
        assert!(harness.held[0] + harness.held[1] < PACE / 2.0, "{:?}", harness.held);
        (0..2).for_each(|round| harness.call_round(17_000 + round * 500, &remaining));
        assert!(harness.held[0] + harness.held[1] > 0.9 * PACE, "{:?}", harness.held);
    }
}
