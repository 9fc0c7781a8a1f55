//! Many gateways that know nothing of each other over many servers, in virtual time: how the work spreads.

use nickeljunction_core::facade::{
    Class, DedupScope, Facade, Intake, Outcome, Report, RequestKey, RetrySafety, ServiceTable, Verdict,
};
use nickeljunction_edge::preference::{min_subset_size, rendezvous_rank};
use nickeljunction_edge::proxy_types::ProxyTuning;
use nickeljunction_edge::selection::{decision_settings, ready_entry, FleetLayout};
use nickeljunction_edge::upstream::{locality_weight, LocalityWeights, Location, Upstream};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

const SLOTS: u32 = 3;
/// Requests that a server holds, at work and waiting, before it resets connections.
const HOLDS_MOST: usize = 6;
const TICK_MS: u64 = 10;

/// A fleet in three regions of three zones each, and its load.
#[derive(Clone, Copy)]
struct Shape {
    gateways: usize,
    servers: usize,
    requests_per_s: f64,
    work_ms: f64,
    aim_ms: f64,
    length_ms: u64,
}

/// How the work spread over the servers.
#[derive(Debug)]
struct Spread {
    idle: usize,
    busiest_over_mean: f64,
    /// Jain's fairness index: 1 where all servers got the same.
    jain: f64,
    sent: usize,
    turned_away: usize,
}

fn place(name: String, at: usize) -> Location {
    Location { name, zone: format!("z{}", at % 9), region: format!("r{}", at % 3) }
}

fn upstream(at: usize) -> Upstream {
    let Location { zone, region, name: id } = place(format!("i-{at:010x}"), at);
    let address = "127.0.0.1:1".parse().expect("an address");
    Upstream { id, backend: "b".into(), address, zone, region, slots: SLOTS, cold: false }
}

fn gateway(at: usize, shape: &Shape, servers: &[Upstream]) -> Facade {
    let here = place(format!("edge-{at}"), at);
    let class = Class {
        name: "c".into(),
        target_latency_ms: shape.aim_ms,
        client_timeout_ms: 2.5 * shape.aim_ms,
        retry_safety: RetrySafety::AtMostOnce,
        dedup_scope: DedupScope::All,
        key_ttl_ms: 0.0,
        late_share: 0.5,
        stream: false,
        worth: 1.0,
    };
    let weigh = |server: &Upstream| locality_weight(server, &[], &here, &LocalityWeights::default(), false);
    let own: Vec<&Upstream> = servers.iter().filter(|server| weigh(server).is_some()).collect();
    let least =
        FleetLayout::new(shape.gateways as u32, servers.iter()).min_subset_size(own.iter().copied(), &here);
    let settings = decision_settings(&ProxyTuning::default(), &here, vec![class], 1, least);
    let mut facade = Facade::new(settings, at as u64, false).expect("good settings");
    let regions =
        own.iter().map(|server| ready_entry(server, &here, weigh(server).expect("allowed"))).collect();
    facade.report(
        0.0,
        Report::ServiceTable { table: ServiceTable { rev: 1, all: true, regions }, saved: false },
    );
    facade
}

/// What is due at a time, in microseconds.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Tick,
    End { gateway: usize, request: RequestKey, server: String, sent: u64 },
}

struct World {
    shape: Shape,
    gateways: Vec<Facade>,
    due: BinaryHeap<Reverse<(u64, Due)>>,
    /// Work under way at each server, and what each has had.
    held: HashMap<String, usize>,
    had: HashMap<String, usize>,
    turned_away: usize,
    dice: fastrand::Rng,
    now: u64,
}

impl World {
    fn play(shape: Shape) -> Spread {
        let servers: Vec<Upstream> = (0..shape.servers).map(upstream).collect();
        let gateways = (0..shape.gateways).map(|at| gateway(at, &shape, &servers)).collect();
        let had = servers.iter().map(|server| (server.id.clone(), 0)).collect();
        let dice = fastrand::Rng::with_seed(11);
        let due = BinaryHeap::from([Reverse((0, Due::Arrival)), Reverse((0, Due::Tick))]);
        let held = HashMap::new();
        let mut world = World { shape, gateways, due, held, had, turned_away: 0, dice, now: 0 };
        while let Some(Reverse((now, due))) = world.due.pop() {
            world.now = now;
            world.step(due);
        }
        world.spread()
    }

    fn now_ms(&self) -> f64 {
        self.now as f64 / 1_000.0
    }

    fn step(&mut self, due: Due) {
        let over = self.now > self.shape.length_ms * 1_000;
        let now_ms = self.now_ms();
        match due {
            Due::Arrival if !over => {
                let gateway = self.dice.usize(..self.gateways.len());
                let request = self.dice.u64(..);
                let intake = Intake {
                    class: "c".into(),
                    never_twice: false,
                    plan: String::new(),
                    customer: 0,
                    timeout_ms: 2.5 * self.shape.aim_ms,
                    units: 1.0,
                    gateways: 1,
                    retry: false,
                };
                let verdicts = self.gateways[gateway].pick(now_ms, request, &intake);
                self.carry_out(gateway, verdicts);
                let gap_us = -(1.0 - self.dice.f64()).ln() * 1e6 / self.shape.requests_per_s;
                self.due.push(Reverse((self.now + gap_us as u64, Due::Arrival)));
            }
            Due::Tick if !over => {
                for gateway in 0..self.gateways.len() {
                    let verdicts = self.gateways[gateway].tick(now_ms);
                    self.carry_out(gateway, verdicts);
                }
                self.due.push(Reverse((self.now + TICK_MS * 1_000, Due::Tick)));
            }
            Due::Arrival | Due::Tick => {}
            Due::End { gateway, request, server, sent } => {
                *self.held.get_mut(&server).expect("held") -= 1;
                self.ended(gateway, request, server, Outcome::Served, sent);
            }
        }
    }

    fn carry_out(&mut self, gateway: usize, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            let Verdict::Route(task) = verdict else { continue };
            *self.had.get_mut(&task.region).expect("known") += 1;
            let held = self.held.entry(task.region.clone()).or_default();
            if *held >= HOLDS_MOST {
                self.turned_away += 1;
                self.ended(gateway, task.request, task.region, Outcome::Reset, self.now);
                continue;
            }
            *held += 1;
            // What waits for a slot takes as much longer.
            let waits = (*held as f64 / f64::from(SLOTS)).max(1.0);
            let work_us = self.shape.work_ms * 1e3 * (0.5 + self.dice.f64()) * waits;
            let (request, server, sent) = (task.request, task.region, self.now);
            self.due.push(Reverse((self.now + work_us as u64, Due::End { gateway, request, server, sent })));
        }
    }

    fn ended(&mut self, gateway: usize, request: RequestKey, region: String, outcome: Outcome, sent: u64) {
        let latency_ms = (self.now - sent) as f64 / 1_000.0;
        let report =
            Report::Ended { request, attempt: 0, region, outcome, settled: 0.0, latency_ms, closed: true };
        let verdicts = self.gateways[gateway].report(self.now as f64 / 1_000.0, report);
        self.carry_out(gateway, verdicts);
    }

    fn spread(&self) -> Spread {
        let had: Vec<f64> = self.had.values().map(|had| *had as f64).collect();
        let (sum, squares) = (had.iter().sum::<f64>(), had.iter().map(|had| had * had).sum::<f64>());
        let count = had.len() as f64;
        Spread {
            idle: had.iter().filter(|had| **had == 0.0).count(),
            busiest_over_mean: had.iter().copied().fold(0.0, f64::max) * count / sum,
            jain: sum * sum / (count * squares),
            sent: sum as usize,
            turned_away: self.turned_away,
        }
    }
}

#[test]
fn gateways_of_a_zone_do_not_meet_at_the_same_few_servers() {
    let shape = Shape {
        gateways: 297,
        servers: 324,
        requests_per_s: 2_340.0,
        work_ms: 190.0,
        aim_ms: 800.0,
        length_ms: 6_000,
    };
    let spread = World::play(shape);
    assert!(spread.sent > 13_000 && spread.idle == 0, "{spread:?}");
    assert!(spread.busiest_over_mean < 2.5 && spread.jain > 0.85, "{spread:?}");
    assert!(spread.turned_away * 100 < spread.sent, "{spread:?}");
}

#[test]
fn a_few_gateways_use_all_servers_though_requests_are_few() {
    for gateways in [1, 3, 9] {
        let shape = Shape {
            gateways,
            servers: 270,
            requests_per_s: 300.0,
            work_ms: 100.0,
            aim_ms: 800.0,
            length_ms: 20_000,
        };
        let spread = World::play(shape);
        // A gateway stays in its region, which has a third of the servers.
        assert_eq!(spread.idle, if gateways == 1 { 180 } else { 0 }, "{gateways} gateways: {spread:?}");
    }
}

#[test]
fn a_server_that_comes_or_goes_moves_no_other_in_a_gateways_order() {
    let ranked = |servers: &[usize]| {
        let mut ids: Vec<String> = servers.iter().map(|at| upstream(*at).id).collect();
        ids.sort_by(|a, b| {
            rendezvous_rank("edge-5", a, SLOTS).total_cmp(&rendezvous_rank("edge-5", b, SLOTS))
        });
        ids
    };
    let all: Vec<usize> = (0..200).collect();
    let left: Vec<usize> = all.iter().copied().filter(|at| at % 7 != 0).collect();
    let kept: HashSet<String> = left.iter().map(|at| upstream(*at).id).collect();
    let mut before = ranked(&all);
    before.retain(|id| kept.contains(id));
    assert_eq!(before, ranked(&left));
}

#[test]
fn servers_are_preferred_in_proportion_to_their_slots() {
    // One server of five has 4 slots, the others 1: first at half of the gateways.
    let slots = [4, 1, 1, 1, 1];
    let first = |gateway: &String| {
        let place = |at: &usize| rendezvous_rank(gateway, &format!("s{at}"), slots[*at]);
        (0..slots.len()).min_by(|a, b| place(a).total_cmp(&place(b))).expect("some")
    };
    let gateways: Vec<String> = (0..4_000).map(|at| format!("edge-{at}")).collect();
    let large = gateways.iter().filter(|gateway| first(gateway) == 0).count();
    assert!((1_880..=2_120).contains(&large), "{large} of 4,000");
}

#[test]
fn the_subset_grows_with_the_servers_that_each_gateway_has_to_cover() {
    assert_eq!(min_subset_size(300, 1.0), 300.0);
    assert_eq!(min_subset_size(300, 4.0), 300.0);
    assert_eq!(min_subset_size(300, 300.0), 8.0);
    assert_eq!(min_subset_size(0, 10.0), 0.0);
}
