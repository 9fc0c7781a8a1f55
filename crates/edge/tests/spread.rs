//! Simulates many gateways without any shared state and many servers in virtual time, and checks how evenly the
//! requests are distributed over the servers.

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
/// Requests in progress and queued at a server. It resets the connections of any further ones.
const MAX_HELD_REQUESTS: usize = 6;
const TICK_MS: u64 = 10;

/// A fleet in three regions of three zones each, and its load.
#[derive(Clone, Copy)]
struct Scenario {
    gateways: usize,
    servers: usize,
    requests_per_s: f64,
    work_ms: f64,
    target_latency_ms: f64,
    duration_ms: u64,
}

/// The distribution of the requests over the servers.
#[derive(Debug)]
struct Distribution {
    /// Servers without any request.
    idle: usize,
    busiest_over_mean: f64,
    /// Jain's fairness index: 1 if all servers received the same number of requests.
    jain: f64,
    sent: usize,
    rejected: usize,
}

/// The location of the machine with this index: all zones have about the same number of machines.
fn location(name: String, index: usize) -> Location {
    Location { name, zone: format!("z{}", index % 9), region: format!("r{}", index % 3) }
}

fn upstream(index: usize) -> Upstream {
    let Location { zone, region, name: id } = location(format!("i-{index:010x}"), index);
    let address = "127.0.0.1:1".parse().expect("an address");
    Upstream { id, backend: "b".into(), address, zone, region, slots: SLOTS, cold: false }
}

fn gateway(index: usize, scenario: &Scenario, servers: &[Upstream]) -> Facade {
    let gateway = location(format!("edge-{index}"), index);
    let class = Class {
        name: "c".into(),
        target_latency_ms: scenario.target_latency_ms,
        client_timeout_ms: 2.5 * scenario.target_latency_ms,
        retry_safety: RetrySafety::AtMostOnce,
        dedup_scope: DedupScope::All,
        key_ttl_ms: 0.0,
        late_share: 0.5,
        stream: false,
        worth: 1.0,
    };
    let weight =
        |server: &Upstream| locality_weight(server, &[], &gateway, &LocalityWeights::default(), false);
    let candidates: Vec<&Upstream> = servers.iter().filter(|server| weight(server).is_some()).collect();
    let min_subset_size = FleetLayout::new(scenario.gateways as u32, servers.iter())
        .min_subset_size(candidates.iter().copied(), &gateway);
    let settings = decision_settings(&ProxyTuning::default(), &gateway, vec![class], 1, min_subset_size);
    let mut facade = Facade::new(settings, index as u64, false).expect("valid settings");
    let regions = candidates
        .iter()
        .map(|server| ready_entry(server, &gateway, weight(server).expect("allowed")))
        .collect();
    facade.report(
        0.0,
        Report::ServiceTable { table: ServiceTable { rev: 1, all: true, regions }, saved: false },
    );
    facade
}

/// A scheduled event.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Tick,
    End { gateway: usize, request: RequestKey, server: String, sent_us: u64 },
}

struct Simulation {
    scenario: Scenario,
    gateways: Vec<Facade>,
    /// The scheduled events with their times in microseconds.
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// Requests in progress and queued at each server.
    held: HashMap<String, usize>,
    /// Requests sent to each server.
    sent: HashMap<String, usize>,
    rejected: usize,
    random: fastrand::Rng,
    now_us: u64,
}

impl Simulation {
    fn run(scenario: Scenario) -> Distribution {
        let servers: Vec<Upstream> = (0..scenario.servers).map(upstream).collect();
        let gateways = (0..scenario.gateways).map(|index| gateway(index, &scenario, &servers)).collect();
        let sent = servers.iter().map(|server| (server.id.clone(), 0)).collect();
        let random = fastrand::Rng::with_seed(11);
        let events = BinaryHeap::from([Reverse((0, Event::Arrival)), Reverse((0, Event::Tick))]);
        let held = HashMap::new();
        let mut simulation =
            Simulation { scenario, gateways, events, held, sent, rejected: 0, random, now_us: 0 };
        while let Some(Reverse((now_us, event))) = simulation.events.pop() {
            simulation.now_us = now_us;
            simulation.handle(event);
        }
        simulation.distribution()
    }

    fn now_ms(&self) -> f64 {
        self.now_us as f64 / 1_000.0
    }

    fn handle(&mut self, event: Event) {
        let is_over = self.now_us > self.scenario.duration_ms * 1_000;
        let now_ms = self.now_ms();
        match event {
            Event::Arrival if !is_over => {
                let gateway = self.random.usize(..self.gateways.len());
                let request = self.random.u64(..);
                let intake = Intake {
                    class: "c".into(),
                    never_twice: false,
                    plan: String::new(),
                    customer: 0,
                    timeout_ms: 2.5 * self.scenario.target_latency_ms,
                    units: 1.0,
                    gateways: 1,
                    retry: false,
                };
                let verdicts = self.gateways[gateway].pick(now_ms, request, &intake);
                self.execute(gateway, verdicts);
                let gap_us = -(1.0 - self.random.f64()).ln() * 1e6 / self.scenario.requests_per_s;
                self.events.push(Reverse((self.now_us + gap_us as u64, Event::Arrival)));
            }
            Event::Tick if !is_over => {
                for gateway in 0..self.gateways.len() {
                    let verdicts = self.gateways[gateway].tick(now_ms);
                    self.execute(gateway, verdicts);
                }
                self.events.push(Reverse((self.now_us + TICK_MS * 1_000, Event::Tick)));
            }
            Event::Arrival | Event::Tick => {}
            Event::End { gateway, request, server, sent_us } => {
                *self.held.get_mut(&server).expect("held") -= 1;
                self.report_end(gateway, request, server, Outcome::Served, sent_us);
            }
        }
    }

    fn execute(&mut self, gateway: usize, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            let Verdict::Route(task) = verdict else { continue };
            *self.sent.get_mut(&task.region).expect("known") += 1;
            let held = self.held.entry(task.region.clone()).or_default();
            if *held >= MAX_HELD_REQUESTS {
                self.rejected += 1;
                self.report_end(gateway, task.request, task.region, Outcome::Reset, self.now_us);
                continue;
            }
            *held += 1;
            // More requests than slots make all of them slower, in proportion.
            let slowdown = (*held as f64 / f64::from(SLOTS)).max(1.0);
            let work_us = self.scenario.work_ms * 1e3 * (0.5 + self.random.f64()) * slowdown;
            let (request, server, sent_us) = (task.request, task.region, self.now_us);
            self.events.push(Reverse((
                self.now_us + work_us as u64,
                Event::End { gateway, request, server, sent_us },
            )));
        }
    }

    fn report_end(
        &mut self,
        gateway: usize,
        request: RequestKey,
        region: String,
        outcome: Outcome,
        sent_us: u64,
    ) {
        let latency_ms = (self.now_us - sent_us) as f64 / 1_000.0;
        let report =
            Report::Ended { request, attempt: 0, region, outcome, settled: 0.0, latency_ms, closed: true };
        let verdicts = self.gateways[gateway].report(self.now_us as f64 / 1_000.0, report);
        self.execute(gateway, verdicts);
    }

    fn distribution(&self) -> Distribution {
        let counts: Vec<f64> = self.sent.values().map(|count| *count as f64).collect();
        let (sum, squares) =
            (counts.iter().sum::<f64>(), counts.iter().map(|count| count * count).sum::<f64>());
        let servers = counts.len() as f64;
        Distribution {
            idle: counts.iter().filter(|count| **count == 0.0).count(),
            busiest_over_mean: counts.iter().copied().fold(0.0, f64::max) * servers / sum,
            jain: sum * sum / (servers * squares),
            sent: sum as usize,
            rejected: self.rejected,
        }
    }
}

#[test]
fn gateways_of_a_zone_distribute_requests_over_all_servers() {
    let scenario = Scenario {
        gateways: 297,
        servers: 324,
        requests_per_s: 2_340.0,
        work_ms: 190.0,
        target_latency_ms: 800.0,
        duration_ms: 6_000,
    };
    let distribution = Simulation::run(scenario);
    assert!(distribution.sent > 13_000 && distribution.idle == 0, "{distribution:?}");
    assert!(distribution.busiest_over_mean < 2.5 && distribution.jain > 0.85, "{distribution:?}");
    assert!(distribution.rejected * 100 < distribution.sent, "{distribution:?}");
}

#[test]
fn few_gateways_with_few_requests_use_all_servers_of_their_regions() {
    for gateways in [1, 3, 9] {
        let scenario = Scenario {
            gateways,
            servers: 270,
            requests_per_s: 300.0,
            work_ms: 100.0,
            target_latency_ms: 800.0,
            duration_ms: 20_000,
        };
        let distribution = Simulation::run(scenario);
        // A gateway sends only to its own region, which has a third of the servers.
        assert_eq!(
            distribution.idle,
            if gateways == 1 { 180 } else { 0 },
            "{gateways} gateways: {distribution:?}"
        );
    }
}

#[test]
fn added_or_removed_server_does_not_reorder_the_others() {
    let ranked = |servers: &[usize]| {
        let mut ids: Vec<String> = servers.iter().map(|index| upstream(*index).id).collect();
        ids.sort_by(|a, b| {
            rendezvous_rank("edge-5", a, SLOTS).total_cmp(&rendezvous_rank("edge-5", b, SLOTS))
        });
        ids
    };
    let all: Vec<usize> = (0..200).collect();
    let remaining: Vec<usize> = all.iter().copied().filter(|index| index % 7 != 0).collect();
    let remaining_ids: HashSet<String> = remaining.iter().map(|index| upstream(*index).id).collect();
    let mut expected = ranked(&all);
    expected.retain(|id| remaining_ids.contains(id));
    assert_eq!(expected, ranked(&remaining));
}

#[test]
fn servers_are_preferred_in_proportion_to_their_slots() {
    // One server has 4 slots and four servers have 1, so half of the gateways must prefer the large one.
    let slots = [4, 1, 1, 1, 1];
    let first = |gateway: &String| {
        let rank = |index: &usize| rendezvous_rank(gateway, &format!("s{index}"), slots[*index]);
        (0..slots.len()).min_by(|a, b| rank(a).total_cmp(&rank(b))).expect("some")
    };
    let gateways: Vec<String> = (0..4_000).map(|index| format!("edge-{index}")).collect();
    let large = gateways.iter().filter(|gateway| first(gateway) == 0).count();
    assert!((1_880..=2_120).contains(&large), "{large} of 4,000");
}

#[test]
fn min_subset_size_grows_with_the_number_of_servers_per_gateway() {
    assert_eq!(min_subset_size(300, 1.0), 300.0);
    assert_eq!(min_subset_size(300, 4.0), 300.0);
    assert_eq!(min_subset_size(300, 300.0), 8.0);
    assert_eq!(min_subset_size(0, 10.0), 0.0);
}
