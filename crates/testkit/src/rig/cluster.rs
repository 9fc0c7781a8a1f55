//! The processes of a run: gateways over stand-ins and a faulty network.

use super::documents::{configuration, region_line};
use super::timeline::{Step, Timeline};
use crate::checks::{Log, Span};
use crate::counter::Counter;
use crate::discovery::Discovery;
use crate::gateway::Gateway;
use crate::load::{mixed_shapes, Addresses, Load};
use crate::network::{Network, Party};
use crate::region::Region;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Everything that a run has started.
pub(super) struct Cluster {
    pub(super) line: Timeline,
    pub(super) began: Instant,
    pub(super) gateways: Vec<Option<Gateway>>,
    pub(super) twins: BTreeMap<usize, Gateway>,
    pub(super) configs: Vec<(String, Option<String>)>,
    pub(super) program: String,
    pub(super) regions: Vec<Region>,
    pub(super) states: Vec<(&'static str, u64)>,
    pub(super) discoveries: Vec<Discovery>,
    pub(super) region_relays: Vec<Vec<SocketAddr>>,
    pub(super) counter: Counter,
    pub(super) network: Network,
    pub(super) addresses: Addresses,
    pub(super) doors: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    pub(super) log: Log,
    /// When each gateway went down or hung, and when each link was cut.
    pub(super) since: BTreeMap<usize, f64>,
    pub(super) cuts: BTreeMap<(usize, usize), f64>,
    pub(super) ending: Vec<Gateway>,
    pub(super) cpu: Vec<f64>,
    pub(super) done: Vec<Step>,
}

pub(super) fn field(line: &str, key: &str) -> Option<SocketAddr> {
    let rest = line.split(&format!("{key}=")).nth(1)?;
    rest.split_whitespace().next()?.trim_matches('"').parse().ok()
}

pub(super) fn logged(gateway: &Gateway, key: &str) -> Option<SocketAddr> {
    gateway.log().iter().rev().find_map(|line| field(line, key))
}

impl Cluster {
    pub(super) fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1_000.0
    }

    pub(super) fn start(program: &str, line: &Timeline) -> Result<Cluster, String> {
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
        let mut cluster = Cluster {
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
            cluster.start_gateway(at, false)?;
        }
        cluster.since.extend(line.late.iter().map(|at| (*at, 0.0)));
        cluster.began = Instant::now();
        Ok(cluster)
    }

    /// Starts a gateway, and tells all who must know where it is.
    pub(super) fn start_gateway(&mut self, at: usize, old: bool) -> Result<(), String> {
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
        self.mark_up(at);
        Ok(())
    }

    pub(super) fn mark_up(&mut self, at: usize) {
        let now = self.now();
        if let Some(from) = self.since.remove(&at) {
            self.log.spans.push(Span { gateway: at, region: None, from, to: now + 200.0 });
        }
    }

    pub(super) fn mark_down(&mut self, at: usize) {
        let now = self.now();
        self.since.entry(at).or_insert(now);
    }

    pub(super) fn load(&self) -> Load {
        let shapes = mixed_shapes(self.line.franchisees.clamp(1, 20));
        let most = Duration::from_millis(self.line.length_ms + 60_000);
        let rate = self.line.rate_each.clamp(0.1, 500.0) * self.line.gateways as f64;
        Load::over(self.addresses.clone(), rate, shapes, self.line.gateways, most)
    }
}
