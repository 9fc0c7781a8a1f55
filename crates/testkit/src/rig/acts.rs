//! Carrying out the acts of a timeline.

use super::cluster::{logged, Cluster};
use super::documents::region_line;
use super::timeline::Act;
use crate::checks::{ColdStart, Span, Told};
use crate::counter::Manner as CounterManner;
use crate::gateway::Gateway;
use crate::network::{Link, Party};
use crate::region::Manner;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

impl Cluster {
    pub(super) fn publish_servers(&mut self) {
        let now = self.now();
        for me in 0..self.line.gateways {
            let lines: Vec<String> = (0..self.regions.len())
                .map(|at| region_line(at, self.region_relays[me][at], self.states[at].0, self.states[at].1))
                .collect();
            self.discoveries[me].set(lines);
            for (region, (state, _)) in self.states.iter().enumerate() {
                // Told once a drain: what comes later says nothing new.
                let known = |told: &Told| {
                    told.gateway == me && told.region == region && told.at > self.came_back(region)
                };
                if *state == "Terminating" && !self.log.told.iter().any(known) {
                    self.log.told.push(Told { gateway: me, region, at: now });
                }
            }
        }
    }

    /// When a server last came back, ms.
    fn came_back(&self, region: usize) -> f64 {
        let starts = self.log.cold.iter().filter(|start| start.region == region).map(|start| start.at);
        starts.fold(f64::NEG_INFINITY, f64::max)
    }

    fn check_gateway(&self, at: usize) -> Result<(), String> {
        if at < self.gateways.len() {
            Ok(())
        } else {
            Err(format!("gateway {at}: there are {}, numbered from 0", self.gateways.len()))
        }
    }

    fn check_region(&self, at: usize) -> Result<(), String> {
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

    pub(super) fn heal(&mut self) {
        self.network.heal();
        let now = self.now();
        for ((gateway, region), from) in std::mem::take(&mut self.cuts) {
            self.log.spans.push(Span { gateway, region: Some(region), from, to: now + 200.0 });
        }
    }

    /// Carries out one act.
    ///
    /// # Errors
    /// It names a party that is not there.
    pub(super) fn act(&mut self, act: &Act) -> Result<(), String> {
        match act {
            Act::Kill { gateway } => self.kill(*gateway),
            Act::Term { gateway } => self.terminate(*gateway),
            Act::Stop { gateway } => self.stop(*gateway),
            Act::Continue { gateway } => self.resume(*gateway),
            Act::Start { gateway, old } => {
                self.check_gateway(*gateway)?;
                self.start_gateway(*gateway, *old)
            }
            Act::Twin { gateway } => self.start_twin(*gateway),
            Act::TwinEnds { gateway } => self.end_twin(*gateway),
            Act::Link { from, to, link } => {
                self.set_link(*from, *to, *link);
                Ok(())
            }
            Act::Mesh { link } => self.set_mesh(|_, _| *link),
            Act::Partition { sides } => {
                let side = |at: usize| sides.get(at).copied().unwrap_or(0);
                self.set_mesh(|from, to| Link { cut: side(from) != side(to), ..Link::default() })
            }
            Act::Heal => {
                self.heal();
                Ok(())
            }
            Act::Noise { gateway, per_s, ms } => {
                self.check_gateway(*gateway)?;
                self.network.noise(*gateway, *per_s, *ms);
                Ok(())
            }
            Act::Counter { dark } => {
                self.counter.set(if *dark { CounterManner::Dark } else { CounterManner::Fine });
                Ok(())
            }
            Act::Discovery { cut } => self.set_discovery(*cut),
            Act::Region { region, work_ms, fail_every, silent } => {
                self.check_region(*region)?;
                let work = Duration::from_millis(*work_ms);
                self.regions[*region].set(Manner { work, fail_every: *fail_every, silent: *silent });
                Ok(())
            }
            Act::Drain { region } => {
                self.check_region(*region)?;
                self.states[*region] = ("Terminating", 0);
                self.publish_servers();
                Ok(())
            }
            Act::Cold { region } => self.restart_cold(*region),
        }
    }

    fn kill(&mut self, at: usize) -> Result<(), String> {
        if let Some(mut process) = self.take_down(at)? {
            process.kill();
        }
        self.network.listening.lock().expect("places").remove(&at);
        Ok(())
    }

    fn terminate(&mut self, at: usize) -> Result<(), String> {
        if let Some(process) = self.take_down(at)? {
            process.signal("TERM");
            self.ending.push(process);
        }
        Ok(())
    }

    /// Notes that a gateway is down, and hands out its process if it has one.
    fn take_down(&mut self, at: usize) -> Result<Option<Gateway>, String> {
        self.check_gateway(at)?;
        self.mark_down(at);
        self.addresses.lock().expect("addresses")[at] = None;
        self.doors.lock().expect("doors")[at] = None;
        let process = self.gateways[at].take();
        if let Some(process) = &process {
            self.cpu[at] += process.cpu();
        }
        Ok(process)
    }

    fn stop(&mut self, at: usize) -> Result<(), String> {
        self.check_gateway(at)?;
        self.mark_down(at);
        if let Some(process) = &self.gateways[at] {
            process.signal("STOP");
        }
        Ok(())
    }

    fn resume(&mut self, at: usize) -> Result<(), String> {
        self.check_gateway(at)?;
        if let Some(process) = &self.gateways[at] {
            process.signal("CONT");
            self.mark_up(at);
        }
        Ok(())
    }

    fn start_twin(&mut self, at: usize) -> Result<(), String> {
        self.check_gateway(at)?;
        let (config, document) = &self.configs[at];
        let twin = Gateway::start(&self.program, config, document.as_deref());
        if let Some(listens) = logged(&twin, "peer_listen") {
            self.network.listening.lock().expect("places").entry(at).or_default().push(listens);
        }
        self.twins.insert(at, twin);
        Ok(())
    }

    fn end_twin(&mut self, at: usize) -> Result<(), String> {
        if let Some(mut twin) = self.twins.remove(&at) {
            twin.kill();
            if let Some(places) = self.network.listening.lock().expect("places").get_mut(&at) {
                places.truncate(1);
            }
        }
        Ok(())
    }

    /// Sets every way from one gateway to another.
    fn set_mesh(&mut self, link: impl Fn(usize, usize) -> Link) -> Result<(), String> {
        let count = self.gateways.len();
        for from in 0..count {
            for to in 0..count {
                self.network.set(Party::Gateway(from), Party::Gateway(to), link(from, to));
            }
        }
        Ok(())
    }

    fn set_discovery(&mut self, cut: bool) -> Result<(), String> {
        let link = Link { cut, ..Link::default() };
        for at in 0..self.gateways.len() {
            self.network.set(Party::Gateway(at), Party::Discovery, link);
            self.network.set(Party::Discovery, Party::Gateway(at), link);
        }
        Ok(())
    }

    /// A server is back, as a process that just started.
    fn restart_cold(&mut self, region: usize) -> Result<(), String> {
        self.check_region(region)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.states[region] = ("Ready", unix.as_millis() as u64);
        let now = self.now();
        self.log.cold.push(ColdStart { region, at: now });
        self.publish_servers();
        Ok(())
    }
}
