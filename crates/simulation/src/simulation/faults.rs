//! What befalls machines: ends, losses of power and disks, freezes, cuts; and the end of all of it.

use super::World;
use crate::{host, Gateway, Node};
use nickeljunction_consensus::{member_id_from_random, Restored};

impl World {
    /// Ends a core member's process.
    pub fn kill(&mut self, node: Node) {
        let disk = &mut self.members[node].disk;
        disk.fail(false);
        disk.hang(false);
        disk.sync();
        self.members[node].end();
        self.mail.remove(&node);
    }

    /// Takes the power of a core machine; of what wasn't synced the first `survive` writes remain.
    pub fn power_off(&mut self, node: Node, survive: usize) {
        self.members[node].disk.lose_power(survive);
        // Another start of the machine has another clock, and refuses it.
        self.members[node].hint = None;
        self.kill(node);
    }

    /// Takes its power and its disk's content.
    pub fn wipe(&mut self, node: Node) {
        self.kill(node);
        self.members[node].disk.wipe();
        self.members[node].hint = None;
    }

    /// Takes a core machine away for good.
    pub fn remove(&mut self, node: Node) {
        self.wipe(node);
        self.absent.insert(node);
    }

    /// An empty core machine comes, under an address of its own.
    pub fn add(&mut self, node: Node) {
        self.absent.remove(&node);
        self.wipe(node);
        self.start(node);
    }

    /// Starts a core member again; see `serve::open`.
    pub fn start(&mut self, node: Node) {
        let id = member_id_from_random(self.rng.u64(..));
        let stranger = || Restored::joining(nickeljunction_messages::Member { id, host: host(node) });
        let restored = self.members[node].load().unwrap_or_else(stranger);
        let seeds = self.seeds.clone();
        self.at_member(node, |one, now, out| one.start(now, restored, &seeds, out));
    }

    /// Other seeds for all machines, by SIGHUP (`serve::wait_for_stop`).
    pub fn reseed(&mut self, seeds: Vec<String>) {
        for node in 0..self.members.len() {
            self.at_member(node, |one, now, out| one.seek(now, &seeds, out));
        }
        self.gateways.iter_mut().for_each(|gateway| gateway.watcher.set_seeds(seeds.clone()));
        self.seeds = seeds;
    }

    /// Ends a gateway's process.
    pub fn kill_gateway(&mut self, gateway: usize) {
        self.gateways[gateway].up = false;
        self.mail.remove(&self.edge(gateway));
    }

    /// Starts a gateway anew.
    pub fn start_gateway(&mut self, gateway: usize) {
        let node = self.edge(gateway);
        self.gateways[gateway] = Gateway::new(node, self.now, &self.seeds, self.strict, &mut self.rng);
    }

    /// Stops a machine's processes; what comes waits.
    pub fn freeze(&mut self, node: Node) {
        self.mail.entry(node).or_default();
    }

    /// It is frozen.
    pub fn frozen(&self, node: Node) -> bool {
        self.mail.contains_key(&node)
    }

    /// Lets it go on: whether its clock or its mail comes first is chance.
    pub fn thaw(&mut self, node: Node) {
        let Some(mail) = self.mail.remove(&node) else { return };
        if self.rng.bool() {
            self.turn(node);
        }
        mail.into_iter().for_each(|packet| self.deliver(node, packet));
    }

    /// Cuts a machine off from all others but those outside, one way or both.
    pub fn cut_off(&mut self, node: Node, outward: bool, inward: bool) {
        for other in (0..self.outside()).filter(|other| *other != node) {
            self.cuts.extend(outward.then_some((node, other)));
            self.cuts.extend(inward.then_some((other, node)));
        }
    }

    /// Ends all faults and starts what is down.
    pub fn heal(&mut self) {
        self.cuts.clear();
        (self.loss, self.late) = (0, 0);
        for node in 0..self.outside() {
            self.thaw(node);
        }
        for node in 0..self.members.len() {
            let member = &mut self.members[node];
            member.disk_ms = 3;
            member.disk.fail(false);
            member.disk.hang(false);
            if !member.up() && !self.absent.contains(&node) {
                self.start(node);
            }
        }
        for gateway in 0..self.gateways.len() {
            if !self.gateways[gateway].up {
                self.start_gateway(gateway);
            }
        }
    }
}
