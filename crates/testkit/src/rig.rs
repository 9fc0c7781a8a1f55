//! Gateways as processes over stand-ins and a faulty network, a timeline of faults, and what came of it. A seed gives
//! one timeline; what the processes make of it is theirs.

use crate::checks::{Asked, Broken, Figures, Log, Ran, Span, Told};
use crate::counter::{Counter, Manner as CounterManner};
use crate::discovery::Discovery;
use crate::gateway::Gateway;
use crate::load::{Addresses, Load, Shape};
use crate::network::{gateway_of, Link, Network, Party};
use crate::region::{Manner, Region};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Quiet at the end of each timeline, in which views must come to agree, ms.
pub const QUIET_MS: u64 = 16_000;
/// Between two looks at a gateway's view, ms.
const LOOK_MS: u64 = 250;
/// Grace of drains that the gateways are told, ms.
const DRAIN_GRACE_MS: f64 = 1_000.0;
/// Cold servers: share of the capacity, requests a second when warm, and time to get there, ms.
const COLD: (f64, f64, f64) = (60.0, 0.3, 8_000.0);
const FALL: (f64, f64) = (2.0, 1_500.0);
/// Ceiling of the plan `growth`: units a second, at once, slack.
const CEILING: (f64, f64, f64) = (12.0, 30.0, 4.0);
/// Requests a second over all gateways, for each.
const RATE_EACH: f64 = 6.0;

/// Something that is done to the world.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Act {
    /// SIGKILL.
    Kill {
        /// The gateway.
        gateway: usize,
    },
    /// SIGTERM; it ends by itself.
    Term {
        /// The gateway.
        gateway: usize,
    },
    /// SIGSTOP: it hangs.
    Stop {
        /// The gateway.
        gateway: usize,
    },
    /// SIGCONT.
    Continue {
        /// The gateway.
        gateway: usize,
    },
    /// Starts it, again or for the first time, under its number and on its configuration of before.
    Start {
        /// The gateway.
        gateway: usize,
        /// On an old document, which does not name the last gateway yet.
        #[serde(default)]
        old: bool,
    },
    /// Starts a second process of its number.
    Twin {
        /// The gateway.
        gateway: usize,
    },
    /// Ends the second process.
    TwinEnds {
        /// The gateway.
        gateway: usize,
    },
    /// Sets the way from one party to another.
    Link {
        /// From.
        from: Party,
        /// To.
        to: Party,
        /// How it is.
        link: Link,
    },
    /// All ways between gateways are like this.
    Mesh {
        /// How they are.
        link: Link,
    },
    /// Gateways on different sides don't reach one another.
    Partition {
        /// The side of each gateway.
        sides: Vec<u8>,
    },
    /// All links are fine again.
    Heal,
    /// Noise to a gateway's socket.
    Noise {
        /// The gateway.
        gateway: usize,
        /// Datagrams a second.
        per_s: u32,
        /// For so long, ms.
        ms: u64,
    },
    /// The counter says nothing, or is back.
    Counter {
        /// It says nothing.
        dark: bool,
    },
    /// Discovery is out of reach of all gateways, or is back.
    Discovery {
        /// Out of reach.
        cut: bool,
    },
    /// How a server answers.
    Region {
        /// The server.
        region: usize,
        /// Time of a request, ms.
        work_ms: u64,
        /// One in so many fails; 0: none.
        fail_every: u64,
        /// It says nothing.
        silent: bool,
    },
    /// A server is told to drain.
    Drain {
        /// The server.
        region: usize,
    },
    /// It is back, as a process that just started cold.
    Cold {
        /// The server.
        region: usize,
    },
}

/// An act and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// When, ms from the start of the load.
    pub at_ms: u64,
    /// What.
    #[serde(flatten)]
    pub act: Act,
}

/// A run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Timeline {
    /// How many gateways there are in the roster, 2 to 64.
    pub gateways: usize,
    /// Those that are started only by the timeline.
    #[serde(default)]
    pub late: Vec<usize>,
    /// Booking servers.
    pub regions: usize,
    /// Length, ms; the last [`QUIET_MS`] are quiet.
    pub length_ms: u64,
    /// For the network's chance.
    pub seed: u64,
    /// The gateways keep a view of the fleet.
    #[serde(default = "yes")]
    pub view: bool,
    /// Requests a second, for each gateway.
    #[serde(default = "rate_each")]
    pub rate_each: f64,
    /// Franchisees of each kind of request.
    #[serde(default = "franchisees")]
    pub franchisees: u64,
    /// What happens, in the order of time.
    pub steps: Vec<Step>,
}

fn yes() -> bool {
    true
}

fn rate_each() -> f64 {
    RATE_EACH
}

fn franchisees() -> u64 {
    20
}

impl Timeline {
    /// Nothing happens.
    pub fn calm(gateways: usize, seconds: u64) -> Timeline {
        let length_ms = seconds * 1_000 + QUIET_MS;
        let (regions, seed, late) = ((gateways / 2).clamp(4, 16), 1, Vec::new());
        let (rate_each, franchisees, steps) = (rate_each(), franchisees(), Vec::new());
        Timeline { gateways, late, regions, length_ms, seed, view: true, rate_each, franchisees, steps }
    }

    /// The same with a further step.
    pub fn at(mut self, at_ms: u64, act: Act) -> Timeline {
        self.steps.push(Step { at_ms, act });
        self.steps.sort_by_key(|step| step.at_ms);
        self
    }

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

/// A look at a gateway's view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Look {
    /// When, ms.
    pub at: f64,
    /// Whose.
    pub gateway: usize,
    /// Its digest.
    pub digest: String,
    /// How many live, as it has it.
    pub least: u64,
    /// Most likely.
    pub likely: u64,
    /// At most.
    pub most: u64,
    /// Its part of the whole.
    pub part: f64,
    /// Members it holds to be gone.
    pub gone: u64,
    /// Datagrams sent and received since its start.
    pub sent: u64,
    /// See `sent`.
    pub received: u64,
    /// Members wrongly held to be gone so far.
    pub wrongly_gone: u64,
    /// It yields its number to another process.
    pub yielded: bool,
}

/// What came of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The timeline.
    pub timeline: Timeline,
    /// Broken rules.
    pub broken: Vec<Broken>,
    /// Requests, and those served, refused, failed, and without an answer.
    pub requests: usize,
    /// See `requests`.
    pub served: usize,
    /// See `requests`.
    pub refused: usize,
    /// See `requests`.
    pub failed: usize,
    /// See `requests`; of gateways that were down or hung, or the rule is broken.
    pub unanswered: usize,
    /// Time from the end of the last fault until all views agreed, ms; `None`: they did not.
    pub settled_ms: Option<f64>,
    /// Most that parts added up to.
    pub most_parts: f64,
    /// Datagrams that a gateway sent a second, on average and at most of any.
    pub sent_per_s: (f64, f64),
    /// Processor time of gateways, s, by number.
    pub cpu_s: Vec<f64>,
    /// Their memory at the end, MiB.
    pub memory_mb: Vec<f64>,
    /// Looks at the views.
    pub looks: Vec<Look>,
    /// Requests by second: served, and others.
    pub by_second: Vec<(usize, usize)>,
    /// Times at which things were done, ms, as they were done.
    pub done: Vec<Step>,
}

impl Report {
    /// When each gateway's looks first told no more than `living` after `from`, ms since then, in order of time; looks
    /// come each quarter of a second.
    pub fn noticed(&self, from: f64, until: f64, living: u64) -> Vec<f64> {
        let mut times: Vec<f64> = (0..self.timeline.gateways)
            .filter_map(|gateway| {
                let own = self.looks.iter().filter(|look| look.gateway == gateway);
                let mut after = own.filter(|look| look.at >= from && look.at < until);
                after.find(|look| look.likely <= living).map(|look| look.at - from)
            })
            .collect();
        times.sort_by(f64::total_cmp);
        times
    }

    /// The rules held and the views came to agree.
    pub fn fine(&self) -> bool {
        self.broken.is_empty() && (self.settled_ms.is_some() || !self.timeline.view)
    }

    /// A summary for people.
    pub fn summary(&self) -> String {
        use std::fmt::Write;
        let mut text = String::new();
        let part = |count: usize| 100.0 * count as f64 / self.requests.max(1) as f64;
        let _ = writeln!(
            text,
            "{} gateways, {} servers, {:.0} s, seed {}: {} acts",
            self.timeline.gateways,
            self.timeline.regions,
            self.timeline.length_ms as f64 / 1_000.0,
            self.timeline.seed,
            self.done.len()
        );
        let _ = writeln!(
            text,
            "requests   {}: served {:.1}%, refused {:.1}%, failed {:.1}%, lost with their gateway {:.1}%",
            self.requests,
            part(self.served),
            part(self.refused),
            part(self.failed),
            part(self.unanswered)
        );
        if self.timeline.view {
            let settled = self.settled_ms.map_or("NOT settled".into(), |ms| format!("settled {ms:.0} ms"));
            let _ = writeln!(
                text,
                "views      {settled} after the last fault; parts up to {:.3}",
                self.most_parts
            );
            let (mean, most) = self.sent_per_s;
            let _ = writeln!(text, "messages   {mean:.1} a second for each gateway, {most:.1} at most");
        }
        let mut broken: BTreeMap<&str, usize> = BTreeMap::new();
        self.broken.iter().for_each(|broken_rule| *broken.entry(&broken_rule.rule).or_default() += 1);
        match broken.is_empty() {
            true => text.push_str("rules      none broken\n"),
            false => broken.iter().for_each(|(rule, count)| {
                let _ = writeln!(text, "BROKEN     {rule}, {count} times");
            }),
        }
        self.broken.iter().take(8).for_each(|broken| {
            let _ = writeln!(text, "  {:>8.0} ms  {}: {}", broken.at, broken.rule, broken.what);
        });
        text
    }
}

struct World {
    line: Timeline,
    began: Instant,
    gateways: Vec<Option<Gateway>>,
    twins: BTreeMap<usize, Gateway>,
    configs: Vec<(String, Option<String>)>,
    program: String,
    regions: Vec<Region>,
    states: Vec<(&'static str, u64)>,
    discoveries: Vec<Discovery>,
    region_relays: Vec<Vec<SocketAddr>>,
    counter: Counter,
    network: Network,
    addresses: Addresses,
    doors: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    log: Log,
    /// When each gateway went down or hung, and when each link was cut.
    since: BTreeMap<usize, f64>,
    cuts: BTreeMap<(usize, usize), f64>,
    ending: Vec<Gateway>,
    cpu: Vec<f64>,
    done: Vec<Step>,
}

/// Plays a timeline on a program. `stop` ends it early; every process that was started ends with it.
///
/// # Errors
/// The timeline names a party that is not there, or a gateway does not start.
pub fn play(
    program: &str,
    line: &Timeline,
    stop: &AtomicBool,
    mut progress: impl FnMut(&str),
) -> Result<Report, String> {
    if !(2..=64).contains(&line.gateways) || !(1..=64).contains(&line.regions) {
        return Err("a timeline has 2 to 64 gateways and 1 to 64 regions".into());
    }
    if line.length_ms > 900_000 || line.length_ms < QUIET_MS {
        return Err(format!("length_ms: {} to 900000 is wanted", QUIET_MS));
    }
    let mut world = World::start(program, line)?;
    let looks: Arc<Mutex<Vec<Look>>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let looking = line.view.then(|| {
        let (doors, looks, over) = (world.doors.clone(), looks.clone(), over.clone());
        let began = world.began;
        std::thread::spawn(move || look(&doors, &looks, &over, began))
    });
    let load = world.load();
    for step in &line.steps {
        let due = Duration::from_millis(step.at_ms);
        while world.began.elapsed() < due && !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5).min(due.saturating_sub(world.began.elapsed())));
        }
        if stop.load(Ordering::Relaxed) {
            break;
        }
        progress(&format!("{:>7} ms  {:?}", step.at_ms, step.act));
        world.act(&step.act)?;
        world.done.push(Step { at_ms: world.now() as u64, act: step.act.clone() });
    }
    let quiet = world.now();
    while world.began.elapsed() < Duration::from_millis(line.length_ms) && !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
    }
    let answers = load.stop();
    over.store(true, Ordering::Relaxed);
    if let Some(looking) = looking {
        let _ = looking.join();
    }
    let looks = std::mem::take(&mut *looks.lock().expect("looks"));
    Ok(world.report(answers, looks, quiet))
}

fn field(line: &str, key: &str) -> Option<SocketAddr> {
    let rest = line.split(&format!("{key}=")).nth(1)?;
    rest.split_whitespace().next()?.trim_matches('"').parse().ok()
}

fn logged(gateway: &Gateway, key: &str) -> Option<SocketAddr> {
    gateway.log().iter().rev().find_map(|line| field(line, key))
}

impl World {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1_000.0
    }

    fn start(program: &str, line: &Timeline) -> Result<World, String> {
        let regions: Vec<Region> = (0..line.regions).map(|at| Region::start(&format!("r{at}"))).collect();
        let counter = Counter::start();
        let network = Network::start(line.seed);
        let mesh = network.datagrams(line.gateways);
        let mut region_relays = Vec::new();
        let (mut discoveries, mut configs) = (Vec::new(), Vec::new());
        for (me, row) in mesh.iter().enumerate() {
            let relays: Vec<SocketAddr> = regions
                .iter()
                .enumerate()
                .map(|(at, region)| network.connections(me, Party::Region(at), region.address))
                .collect();
            let lines: Vec<String> =
                (0..regions.len()).map(|at| region_line(at, relays[at], "Ready", 0)).collect();
            let known = lines.join(",");
            let discovery = Discovery::start(lines);
            let discovery_at = network.connections(me, Party::Discovery, discovery.address);
            let counter_at = network.connections(me, Party::Counter, counter.address);
            let config = configuration(me, line.gateways, discovery_at, counter_at, &known);
            let members: Vec<String> = (0..line.gateways)
                .map(|other| {
                    let address =
                        if other == me { "127.0.0.1:1".to_string() } else { row[other].to_string() };
                    format!(r#"{{"number":{other},"name":"n{other}","address":"{address}","zone":"east"}}"#)
                })
                .collect();
            let document = line.view.then(|| {
                format!(
                    r#"{{"version":1,"daemon":{{"control":"control.sock","fleet":{{"listen":"127.0.0.1:0","mail_per_s":100,"members":[{}]}}}}}}"#,
                    members.join(",")
                )
            });
            region_relays.push(relays);
            discoveries.push(discovery);
            configs.push((config, document));
        }
        let count = line.gateways;
        let mut world = World {
            began: Instant::now(),
            gateways: (0..count).map(|_| None).collect(),
            twins: BTreeMap::new(),
            configs,
            program: program.to_string(),
            states: vec![("Ready", 0); regions.len()],
            regions,
            discoveries,
            region_relays,
            counter,
            network,
            addresses: Arc::new(Mutex::new(vec![None; count])),
            doors: Arc::new(Mutex::new(vec![None; count])),
            log: Log::default(),
            since: BTreeMap::new(),
            cuts: BTreeMap::new(),
            ending: Vec::new(),
            cpu: vec![0.0; count],
            done: Vec::new(),
            line: line.clone(),
        };
        for at in (0..count).filter(|at| !line.late.contains(at)) {
            world.rise(at, false)?;
        }
        world.since.extend(line.late.iter().map(|at| (*at, 0.0)));
        world.began = Instant::now();
        Ok(world)
    }

    /// Starts a gateway, and tells all who must know where it is.
    fn rise(&mut self, at: usize, old: bool) -> Result<(), String> {
        if let Some(mut old) = self.gateways[at].take() {
            old.kill();
        }
        let (config, document) = &self.configs[at];
        let last = format!(r#"{{"number":{}"#, self.line.gateways - 1);
        let document = document.as_ref().map(|document| match document.find(&last).filter(|_| old) {
            Some(from) => format!("{}]}}}}}}", document[..from].trim_end_matches(',')),
            None => document.clone(),
        });
        let gateway = Gateway::start(&self.program, config, document.as_deref());
        if let Some(listens) = logged(&gateway, "peer_listen") {
            self.network.listening.lock().expect("places").insert(at, vec![listens]);
        }
        self.doors.lock().expect("doors")[at] = logged(&gateway, "admin");
        self.addresses.lock().expect("addresses")[at] = Some(gateway.address.clone());
        self.gateways[at] = Some(gateway);
        self.up(at);
        Ok(())
    }

    fn up(&mut self, at: usize) {
        let now = self.now();
        if let Some(from) = self.since.remove(&at) {
            self.log.spans.push(Span { gateway: at, region: None, from, to: now + 200.0 });
        }
    }

    fn fall(&mut self, at: usize) {
        let now = self.now();
        self.since.entry(at).or_insert(now);
    }

    fn load(&self) -> Load {
        let shape = |line: &str, plan: &str, keyed: bool, from: u64| Shape {
            line: line.into(),
            plan: plan.into(),
            keyed,
            franchisees: from..from + self.line.franchisees.clamp(1, 20),
        };
        let shapes = vec![
            shape("GET /slot-lookup/1", "standard", false, 100),
            shape("POST /donor-checkin/1", "starter", false, 200),
            shape("POST /slot-hold/1", "standard", true, 100),
            shape("GET /slot-lookup/2", "growth", false, 300),
            shape("POST /donor-checkin/2", "standard", false, 100),
        ];
        let most = Duration::from_millis(self.line.length_ms + 60_000);
        let rate = self.line.rate_each.clamp(0.1, 500.0) * self.line.gateways as f64;
        Load::over(self.addresses.clone(), rate, shapes, self.line.gateways, most)
    }

    fn told(&mut self) {
        let now = self.now();
        for me in 0..self.line.gateways {
            let lines: Vec<String> = (0..self.regions.len())
                .map(|at| region_line(at, self.region_relays[me][at], self.states[at].0, self.states[at].1))
                .collect();
            self.discoveries[me].set(lines);
            for (region, (state, _)) in self.states.iter().enumerate() {
                // Told once a drain: what comes later says nothing new.
                let known =
                    |told: &Told| told.gateway == me && told.region == region && told.at > self.back(region);
                if *state == "Terminating" && !self.log.told.iter().any(known) {
                    self.log.told.push(Told { gateway: me, region, at: now });
                }
            }
        }
    }

    /// When a server last came back, ms.
    fn back(&self, region: usize) -> f64 {
        let starts = self.log.cold.iter().filter(|(cold, _)| *cold == region).map(|(_, at)| *at);
        starts.fold(f64::NEG_INFINITY, f64::max)
    }

    fn gateway(&self, at: usize) -> Result<(), String> {
        if at < self.gateways.len() {
            Ok(())
        } else {
            Err(format!("gateway {at}: there are {}, numbered from 0", self.gateways.len()))
        }
    }

    fn region(&self, at: usize) -> Result<(), String> {
        if at < self.regions.len() {
            Ok(())
        } else {
            Err(format!("region {at}: there are {}, numbered from 0", self.regions.len()))
        }
    }

    fn set_link(&mut self, from: Party, to: Party, link: Link) {
        self.network.set(from, to, link);
        let ends = match (from, to) {
            (Party::Gateway(gateway), Party::Region(region))
            | (Party::Region(region), Party::Gateway(gateway)) => Some((gateway, region)),
            _ => None,
        };
        if let Some(ends) = ends.filter(|_| link.cut || link.reset) {
            let now = self.now();
            self.cuts.entry(ends).or_insert(now);
        }
    }

    fn heal(&mut self) {
        self.network.heal();
        let now = self.now();
        for ((gateway, region), from) in std::mem::take(&mut self.cuts) {
            self.log.spans.push(Span { gateway, region: Some(region), from, to: now + 200.0 });
        }
    }

    fn act(&mut self, act: &Act) -> Result<(), String> {
        let count = self.gateways.len();
        match act {
            Act::Kill { gateway } => {
                self.gateway(*gateway)?;
                self.fall(*gateway);
                self.addresses.lock().expect("addresses")[*gateway] = None;
                self.doors.lock().expect("doors")[*gateway] = None;
                if let Some(mut process) = self.gateways[*gateway].take() {
                    self.cpu[*gateway] += process.cpu();
                    process.kill();
                }
                self.network.listening.lock().expect("places").remove(gateway);
            }
            Act::Term { gateway } => {
                self.gateway(*gateway)?;
                self.fall(*gateway);
                self.addresses.lock().expect("addresses")[*gateway] = None;
                self.doors.lock().expect("doors")[*gateway] = None;
                if let Some(process) = self.gateways[*gateway].take() {
                    self.cpu[*gateway] += process.cpu();
                    process.signal("TERM");
                    self.ending.push(process);
                }
            }
            Act::Stop { gateway } | Act::Continue { gateway } => {
                self.gateway(*gateway)?;
                let stops = matches!(act, Act::Stop { .. });
                if stops {
                    self.fall(*gateway);
                }
                if let Some(process) = &self.gateways[*gateway] {
                    process.signal(if stops { "STOP" } else { "CONT" });
                }
                if !stops && self.gateways[*gateway].is_some() {
                    self.up(*gateway);
                }
            }
            Act::Start { gateway, old } => {
                self.gateway(*gateway)?;
                self.rise(*gateway, *old)?;
            }
            Act::Twin { gateway } => {
                self.gateway(*gateway)?;
                let (config, document) = &self.configs[*gateway];
                let twin = Gateway::start(&self.program, config, document.as_deref());
                if let Some(listens) = logged(&twin, "peer_listen") {
                    self.network.listening.lock().expect("places").entry(*gateway).or_default().push(listens);
                }
                self.twins.insert(*gateway, twin);
            }
            Act::TwinEnds { gateway } => {
                if let Some(mut twin) = self.twins.remove(gateway) {
                    twin.kill();
                    if let Some(places) = self.network.listening.lock().expect("places").get_mut(gateway) {
                        places.truncate(1);
                    }
                }
            }
            Act::Link { from, to, link } => self.set_link(*from, *to, *link),
            Act::Mesh { link } => {
                for from in 0..count {
                    (0..count)
                        .for_each(|to| self.network.set(Party::Gateway(from), Party::Gateway(to), *link));
                }
            }
            Act::Partition { sides } => {
                let side = |at: usize| sides.get(at).copied().unwrap_or(0);
                for from in 0..count {
                    for to in 0..count {
                        let link = Link { cut: side(from) != side(to), ..Link::default() };
                        self.network.set(Party::Gateway(from), Party::Gateway(to), link);
                    }
                }
            }
            Act::Heal => self.heal(),
            Act::Noise { gateway, per_s, ms } => {
                self.gateway(*gateway)?;
                self.network.noise(*gateway, *per_s, *ms);
            }
            Act::Counter { dark } => {
                self.counter.set(if *dark { CounterManner::Dark } else { CounterManner::Fine });
            }
            Act::Discovery { cut } => {
                let link = Link { cut: *cut, ..Link::default() };
                for at in 0..count {
                    self.network.set(Party::Gateway(at), Party::Discovery, link);
                    self.network.set(Party::Discovery, Party::Gateway(at), link);
                }
            }
            Act::Region { region, work_ms, fail_every, silent } => {
                self.region(*region)?;
                let (fail_every, silent) = (*fail_every, *silent);
                self.regions[*region].set(Manner {
                    work: Duration::from_millis(*work_ms),
                    fail_every,
                    silent,
                });
            }
            Act::Drain { region } => {
                self.region(*region)?;
                self.states[*region] = ("Terminating", 0);
                self.told();
            }
            Act::Cold { region } => {
                self.region(*region)?;
                let unix =
                    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
                self.states[*region] = ("Ready", unix.as_millis() as u64);
                let now = self.now();
                self.log.cold.push((*region, now));
                self.told();
            }
        }
        Ok(())
    }

    fn report(mut self, answers: Vec<crate::load::Answer>, looks: Vec<Look>, quiet: f64) -> Report {
        let ended = self.now();
        for at in 0..self.gateways.len() {
            if let Some(gateway) = &self.gateways[at] {
                self.cpu[at] += gateway.cpu();
            }
        }
        let still: Vec<usize> = self.since.keys().copied().collect();
        for at in still {
            let from = self.since[&at];
            self.log.spans.push(Span { gateway: at, region: None, from, to: ended + 60_000.0 });
        }
        self.heal();
        let began = self.began;
        let ms = |at: Instant| at.saturating_duration_since(began).as_secs_f64() * 1_000.0;
        for answer in answers {
            self.log.asked.push(Asked {
                once: answer.shape == 1 || answer.shape == 4,
                gateway: answer.gateway,
                franchisee: answer.franchisee,
                sent: ms(answer.sent),
                done: ms(answer.done),
                status: answer.status,
                more: answer.more,
                id: answer.id,
            });
        }
        let closings = self.network.closings.lock().expect("closings").clone();
        for (region, stand_in) in self.regions.iter().enumerate() {
            for run in stand_in.runs() {
                let closed = run.from.and_then(|from| closings.get(&from)).filter(|at| **at >= run.began);
                let ended = [run.ended, closed.copied()].into_iter().flatten().min();
                self.log.ran.push(Ran {
                    region,
                    gateway: run.from.and_then(|from| gateway_of(from.ip())),
                    began: ms(run.began),
                    ended: ended.map(ms),
                    id: run.id,
                });
            }
        }
        let figures = Figures {
            drain_grace_ms: DRAIN_GRACE_MS,
            ceiling_of: 300..320,
            ceiling: CEILING,
            capacity: COLD,
            fall: FALL,
        };
        let mut broken = self.log.check(&figures);
        let living: Vec<usize> = (0..self.gateways.len()).filter(|at| self.gateways[*at].is_some()).collect();
        let settled_ms = settled(&looks, &living, quiet);
        let most_parts = parts(&looks, &self.log.spans);
        if most_parts > 1.0 + 1e-6 {
            let what = format!("parts added up to {most_parts:.4}");
            broken.push(Broken { rule: "parts".into(), at: 0.0, what });
        }
        let asked = &self.log.asked;
        let count =
            |wanted: fn(Option<u16>) -> bool| asked.iter().filter(|asked| wanted(asked.status)).count();
        let mut by_second = vec![(0, 0); (self.line.length_ms / 1_000 + 1) as usize];
        for asked in asked {
            if let Some(second) = by_second.get_mut((asked.sent / 1_000.0) as usize) {
                if asked.status == Some(200) {
                    second.0 += 1
                } else {
                    second.1 += 1
                }
            }
        }
        Report {
            broken,
            requests: asked.len(),
            served: count(|status| status == Some(200)),
            refused: count(|status| matches!(status, Some(429 | 503))),
            failed: count(|status| status.is_some_and(|status| !matches!(status, 200 | 429 | 503))),
            unanswered: count(|status| status.is_none()),
            settled_ms,
            most_parts,
            sent_per_s: rates(&looks),
            cpu_s: self.cpu.clone(),
            memory_mb: self.gateways.iter().flatten().map(Gateway::memory_mb).collect(),
            looks,
            by_second,
            done: std::mem::take(&mut self.done),
            timeline: self.line.clone(),
        }
    }
}

/// Datagrams a second of a gateway, on average and of the busiest over any ten seconds of a life.
fn rates(looks: &[Look]) -> (f64, f64) {
    let mut by_gateway: BTreeMap<usize, Vec<&Look>> = BTreeMap::new();
    looks.iter().for_each(|look| by_gateway.entry(look.gateway).or_default().push(look));
    let (mut sent, mut time, mut most) = (0.0, 0.0, 0.0f64);
    for looks in by_gateway.values() {
        for pair in looks.windows(2).filter(|pair| pair[1].sent >= pair[0].sent) {
            sent += (pair[1].sent - pair[0].sent) as f64;
            time += (pair[1].at - pair[0].at) / 1_000.0;
        }
        for (index, first) in looks.iter().enumerate() {
            let last = looks[index..].iter().find(|last| last.at >= first.at + 10_000.0);
            if let Some(last) = last.filter(|last| last.sent >= first.sent) {
                most = most.max((last.sent - first.sent) as f64 / (last.at - first.at) * 1_000.0);
            }
        }
    }
    (sent / time.max(1e-9), most)
}

/// From when on the last looks at all that live were the same, and told the number that really live.
fn settled(looks: &[Look], living: &[usize], quiet: f64) -> Option<f64> {
    let last: Vec<&Look> = living
        .iter()
        .map(|at| looks.iter().rev().find(|look| look.gateway == *at && !look.yielded))
        .collect::<Option<_>>()?;
    let digest = &last.first()?.digest;
    let fine = |look: &Look| look.digest == *digest && look.likely as usize == living.len();
    if !last.iter().all(|look| fine(look)) {
        return None;
    }
    let wrong = looks.iter().filter(|look| living.contains(&look.gateway) && !fine(look));
    // Seen to be settled with the look after the last wrong one.
    let last = wrong.map(|look| look.at).filter(|at| *at > quiet).fold(f64::NEG_INFINITY, f64::max);
    Some((last + LOOK_MS as f64 - quiet).max(0.0))
}

/// Most that the parts of all gateways added up to, each as of its latest look, while it was up.
fn parts(looks: &[Look], spans: &[Span]) -> f64 {
    let mut latest: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    let mut most = 0.0f64;
    for look in looks {
        latest.insert(look.gateway, (look.at, look.part));
        let down = |gateway: usize, at: f64| {
            let own = |span: &&Span| span.gateway == gateway && span.region.is_none();
            spans.iter().filter(own).any(|span| span.from <= at && at <= span.to)
        };
        let sum = latest
            .iter()
            .filter(|(gateway, (at, _))| *at > look.at - 3.0 * LOOK_MS as f64 && !down(**gateway, look.at))
            .map(|(_, (_, part))| part)
            .sum();
        most = most.max(sum);
    }
    most
}

fn look(doors: &Mutex<Vec<Option<SocketAddr>>>, looks: &Mutex<Vec<Look>>, over: &AtomicBool, began: Instant) {
    while !over.load(Ordering::Relaxed) {
        let round = Instant::now();
        let now = doors.lock().expect("doors").clone();
        let asked: Vec<_> = now
            .into_iter()
            .enumerate()
            .filter_map(|(gateway, door)| Some((gateway, door?)))
            .map(|(gateway, door)| {
                std::thread::spawn(move || {
                    let status = status(door)?;
                    let whole = |key: &str| status[key].as_u64().unwrap_or(0);
                    Some(Look {
                        at: began.elapsed().as_secs_f64() * 1_000.0,
                        gateway,
                        digest: status["digest"].as_str()?.to_string(),
                        least: status["live"]["least"].as_u64()?,
                        likely: status["live"]["likely"].as_u64()?,
                        most: status["live"]["most"].as_u64()?,
                        part: status["part"].as_f64()?,
                        gone: status["states"]["gone"].as_u64()?,
                        sent: whole("sent"),
                        received: whole("received"),
                        wrongly_gone: whole("wrongly_gone"),
                        yielded: status["yielded"] == true,
                    })
                })
            })
            .collect();
        let mut seen: Vec<Look> =
            asked.into_iter().filter_map(|thread| thread.join().ok().flatten()).collect();
        seen.sort_by(|a, b| a.at.total_cmp(&b.at));
        looks.lock().expect("looks").extend(seen);
        std::thread::sleep(Duration::from_millis(LOOK_MS).saturating_sub(round.elapsed()));
    }
}

/// The view of the fleet as a gateway's admin door tells it; `None`: no answer within half a second.
pub fn status(door: SocketAddr) -> Option<serde_json::Value> {
    let within = Duration::from_millis(500);
    let mut stream = TcpStream::connect_timeout(&door, within).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.write_all(b"GET /v1/fleet HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()
}

fn region_line(at: usize, endpoint: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"r{at}","endpoint":"{endpoint}","az":"east","pod_group":1,"state":"{state}","boot_ms":{boot_ms}}}"#
    )
}

fn configuration(
    me: usize,
    gateways: usize,
    discovery: SocketAddr,
    counter: SocketAddr,
    known: &str,
) -> String {
    let class = |name: &str, repeat: &str| {
        format!(
            r#"{{"Name":"{name}","AimMs":1000,"GiveUpMs":2000,"Repeat":"{repeat}","Group":"all","KeyTtlMs":1000,"Worth":1}}"#
        )
    };
    let plan = |name: &str, more: &str| {
        format!(r#"{{"Name":"{name}","Refill":20,"PeakUnits":60,"WorthFactor":1,"OverCost":1{more}}}"#)
    };
    let (rate, depth, slack) = CEILING;
    let growth = format!(r#","CeilingRate":{rate},"NeverOverDepth":{depth},"CeilingSlack":{slack}"#);
    let (_, from, warm_ms) = COLD;
    let (multiple, span) = FALL;
    format!(
        r#"{{"name":"n{me}","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:0","discovery":"{discovery}",
        "counter":"{counter}","seed":"{me}7","limits":{{"sockets":1024,"memory_mb":192}},
        "known":{{"rev":1,"all":true,"targets":[{known}]}},
        "settings":{{"Me":{me},"Siblings":{gateways},"Locality":"east","StepMs":2.0,
        "Classes":[{},{},{}],"TiersOfService":[{},{},{}],
        "Extra":{{"Counter":true,"CounterTimeoutMs":100,"Settles":true,"UnitsTop":1,"MailPerS":100}},
        "Discovery":"automatic",
        "Permissions":{{"MayCancel":true,"MaxAttempts":3,"MaxRetryAfterMs":2000,"RetryAfter":true,"MayTell":true,
        "SecondCopies":false,"ConnectTimeoutMs":500,"IdleCloseMs":30000}},
        "Guarantees":{{"ColdFrom":{from},"ColdMs":{warm_ms},"DrainGraceMs":{DRAIN_GRACE_MS},"FallMultiple":{multiple},"FallMs":{span}}}}}}}"#,
        class("slot-lookup", "repeatable"),
        class("slot-hold", "by_key"),
        class("donor-checkin", "once"),
        plan("starter", ""),
        plan("standard", ""),
        plan("growth", &growth),
    )
}
