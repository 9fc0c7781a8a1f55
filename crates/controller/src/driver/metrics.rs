//! A core member's figures as operators collect them. What only a leader knows is left out at the others.

use super::Driver;
use nickeljunction_messages::ClaimAnswer;
use nickeljunction_net::figures::{Kind, Page, Writer, MOST_LABELLED};
use std::cell::Cell;
use std::rc::Rc;

/// What this member has written.
#[derive(Debug, Default)]
pub(super) struct Syncs {
    count: Cell<u64>,
    failed: Cell<u64>,
    sum_us: Cell<u64>,
    most_us: Cell<u64>,
    /// Messages of other members.
    heard: Cell<u64>,
}

impl Syncs {
    /// A write took so long, synced or failed.
    pub(super) fn wrote(&self, fine: bool, took_us: u64) {
        let failed = u64::from(!fine);
        self.count.set(self.count.get() + 1);
        self.failed.set(self.failed.get() + failed);
        self.sum_us.set(self.sum_us.get() + took_us);
        self.most_us.set(self.most_us.get().max(took_us));
    }

    /// So many messages came.
    pub(super) fn heard(&self, messages: usize) {
        self.heard.set(self.heard.get() + messages as u64);
    }
}

/// Claims of keyed operations that this member answered.
#[derive(Debug, Default)]
pub(super) struct Claims {
    granted: Cell<u64>,
    held: Cell<u64>,
    full: Cell<u64>,
    unknown: Cell<u64>,
}

impl Claims {
    /// A claim was answered; `None`: not known to be granted.
    pub(super) fn answered(&self, answer: Option<ClaimAnswer>) {
        let count = match answer {
            Some(ClaimAnswer::Granted) => &self.granted,
            Some(ClaimAnswer::Held(_)) => &self.held,
            Some(ClaimAnswer::Full) => &self.full,
            None => &self.unknown,
        };
        count.set(count.get() + 1);
    }

    /// Claims by their answer.
    pub(super) fn by_answer(&self) -> [(&'static str, u64); 4] {
        let counts = [
            ("granted", &self.granted),
            ("held", &self.held),
            ("full", &self.full),
            ("unknown", &self.unknown),
        ];
        counts.map(|(answer, count)| (answer, count.get()))
    }
}

impl Driver {
    /// Writes the page of figures each time that it is asked for.
    pub fn figures(self: &Rc<Driver>) -> Writer {
        let driver = self.clone();
        Rc::new(move |page| driver.write_figures(page))
    }

    fn write_figures(&self, page: &mut Page) {
        self.write_agreement(page);
        self.write_disk(page);
        self.write_register(page);
        self.write_lead(page);
        self.write_operations(page);
    }

    fn write_operations(&self, page: &mut Page) {
        page.figure("controller_claims_total", Kind::Counter, "Claims of keyed operations, by answer.");
        for (answer, count) in self.claims.by_answer() {
            page.value(&[("answer", answer)], count as f64);
        }
        let house = self.house.borrow();
        let remembered = house.state().operations().operation_count();
        let help = "Keyed operations that are claimed in the state.";
        page.one("controller_operations_remembered", Kind::Gauge, help, remembered as f64);
    }

    fn write_agreement(&self, page: &mut Page) {
        let house = self.house.borrow();
        let (book, state, now) = (house.consensus(), house.state(), self.now());
        let flag = |is: bool| f64::from(u8::from(is));
        let gauge = Kind::Gauge;
        page.one("controller_term", gauge, "Newest term known.", book.term() as f64);
        page.one(
            "controller_leads",
            gauge,
            "1 where it leads and is ready.",
            flag(house.leader_state().is_some()),
        );
        page.one("controller_commit", gauge, "Newest index of the log that is agreed.", book.commit() as f64);
        page.one(
            "controller_applied",
            gauge,
            "Newest index that is in the state.",
            house.applied_index() as f64,
        );
        page.one("controller_members", gauge, "Members of the core.", book.members().len() as f64);
        // A follower has none, a leader without an answer an endless one.
        page.figure(
            "controller_quorum_age_seconds",
            gauge,
            "Age of the newest round that a majority answered.",
        );
        if book.is_leader() {
            let age = book.quorum_age(now).map_or(f64::INFINITY, |age| age as f64 / 1_000.0);
            page.value(&[], age);
        }
        page.figure("controller_member_behind", gauge, "Entries that another machine's disk lacks.");
        for seen in book.peer_statuses(now).iter().take(MOST_LABELLED) {
            let part = if seen.learner { "learner" } else { "member" };
            let behind = book.commit().saturating_sub(seen.match_index) as f64;
            page.value(&[("host", &seen.member.host), ("part", part)], behind);
        }
        page.one(
            "controller_config_version",
            gauge,
            "Version of the configuration in the state, 0 before the first.",
            state.version() as f64,
        );
        page.one(
            "controller_evacuated_zones",
            gauge,
            "Zones that are evacuated.",
            state.evacuated().len() as f64,
        );
        page.figure(
            "controller_trial_stage",
            gauge,
            "Stage of a tenant's trial that ever changed; 0: full pace.",
        );
        for (tenant, trial) in state.trials().iter().take(MOST_LABELLED) {
            page.value(&[("tenant", tenant)], f64::from(trial.stage));
        }
        page.figure("controller_messages_total", Kind::Counter, "Messages between members.");
        page.value(&[("way", "in")], self.syncs.heard.get() as f64);
        page.value(&[("way", "out")], self.peers.sent() as f64);
    }

    fn write_disk(&self, page: &mut Page) {
        let sick = f64::from(u8::from(self.house.borrow().consensus().disk_failed()));
        let seconds = |us: &Cell<u64>| us.get() as f64 / 1e6;
        page.one("controller_disk_sick", Kind::Gauge, "1 where the last write failed.", sick);
        page.one(
            "controller_writes_failed_total",
            Kind::Counter,
            "Writes that failed.",
            self.syncs.failed.get() as f64,
        );
        page.one(
            "controller_sync_seconds_count",
            Kind::Counter,
            "Writes of the log, synced.",
            self.syncs.count.get() as f64,
        );
        page.one(
            "controller_sync_seconds_sum",
            Kind::Counter,
            "Time that writes and their syncs took.",
            seconds(&self.syncs.sum_us),
        );
        page.one(
            "controller_sync_seconds_max",
            Kind::Gauge,
            "The longest of them since the start.",
            seconds(&self.syncs.most_us),
        );
    }

    fn write_register(&self, page: &mut Page) {
        let house = self.house.borrow();
        let roster = house.roster();
        let servers = match house.leader_state() {
            Some((register, _)) => register.server_counts(),
            None => nickeljunction_registry::count_servers(
                house.watch_cache().catalog().servers.values().map(|line| &**line),
            ),
        };
        page.figure("controller_servers", Kind::Gauge, "Lives of servers, by service and state.");
        for (service, states) in servers.iter().take(MOST_LABELLED) {
            for (state, count) in states {
                page.value(&[("service", service), ("state", state)], *count as f64);
            }
        }
        let ready = roster.iter().filter(|line| line.ready).count();
        page.figure("controller_gateways", Kind::Gauge, "Gateways, by whether they take clients.");
        page.value(&[("ready", "yes")], ready as f64);
        page.value(&[("ready", "no")], (roster.len() - ready) as f64);
    }

    /// What only a leader knows.
    fn write_lead(&self, page: &mut Page) {
        let house = self.house.borrow();
        let now = self.now();
        let standings =
            house.leader_state().map_or_else(Vec::new, |(register, _)| register.gateway_statuses(now));
        page.figure(
            "controller_gateway_config_version",
            Kind::Gauge,
            "Version of the configuration that a gateway has.",
        );
        for standing in standings.iter().take(MOST_LABELLED) {
            if let Some(version) = standing.version {
                page.value(&[("gateway", &standing.line.name)], version as f64);
            }
        }
        let units = house.leader_state().map(|(_, counter)| counter.usage_by_tenant(now)).unwrap_or_default();
        let units: Vec<_> = units.iter().take(MOST_LABELLED).collect();
        page.figure("controller_units_cap", Kind::Gauge, "Units of a tenant in all.");
        for (tenant, of) in &units {
            page.value(&[("tenant", tenant)], of.cap as f64);
        }
        page.figure("controller_units_lent", Kind::Gauge, "Units that are lent to gateways.");
        for (tenant, of) in &units {
            page.value(&[("tenant", tenant)], of.lent as f64);
        }
        page.figure(
            "controller_units_held_back",
            Kind::Gauge,
            "Units that gateways which are gone, or have not told yet, may have spent.",
        );
        for (tenant, of) in &units {
            page.value(&[("tenant", tenant)], (of.held_for_ended + of.held_for_unreported) as f64);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::driver::Ports;
    use crate::peers::Peers;
    use nickeljunction_consensus::{bootstrap_member_id, Restored, Tuning};
    use nickeljunction_messages::Member;
    use nickeljunction_net::caller::Caller;
    use nickeljunction_net::clock::Clock;
    use nickeljunction_net::figures::well_formed;
    use nickeljunction_net::wheel::Wheel;
    use nickeljunction_replica::{MemberConfig, Replica};
    use nickeljunction_schema::Bounds;

    /// Operators' boards go by these.
    const NAMES: &str = "controller_term controller_leads controller_commit controller_applied \
        controller_members controller_quorum_age_seconds controller_member_behind \
        controller_config_version controller_evacuated_zones controller_trial_stage controller_messages_total \
        controller_disk_sick controller_writes_failed_total controller_sync_seconds_count \
        controller_sync_seconds_sum controller_sync_seconds_max controller_servers controller_gateways \
        controller_gateway_config_version controller_units_cap controller_units_lent \
        controller_units_held_back controller_claims_total controller_operations_remembered";

    #[test]
    fn the_page_reads_as_the_format_wants_and_names_stay() {
        let me = Member { id: bootstrap_member_id("127.0.0.1"), host: "127.0.0.1".into() };
        let place = Rc::new(MemberConfig {
            name: "core-1".into(),
            host: me.host.clone(),
            zones: Default::default(),
            bounds: Bounds::default(),
            heartbeat_ms: 1_500,
        });
        let restored = Restored::bootstrap(me.clone(), vec![me]);
        let mut house = Replica::new(place.clone(), restored, Tuning::default(), 1, 0);
        for _ in 0..50 {
            house.tick(house.next_wake());
            let writes = house.take_effects().writes;
            // All at one time, or its lease would be over before the wheel's clock has begun.
            writes.iter().for_each(|write| house.written(0, write.ticket, true));
        }
        assert!(house.leader_state().is_some());
        let wheel = Wheel::new(Clock::start());
        let peers = Peers::new(Caller::new(wheel.clone()), 1);
        let (disk, _jobs) = tokio::sync::mpsc::unbounded_channel();
        let driver = Driver::new(place, Ports { control: 1, inner: 1 }, wheel, house, disk, peers);
        driver.syncs.wrote(true, 1_500);
        driver.syncs.wrote(false, 500);
        let mut page = Page::new();
        driver.figures()(&mut page);
        let text = page.into_text();
        let names: Vec<String> = NAMES.split_whitespace().map(String::from).collect();
        assert_eq!(well_formed(&text), Ok(names), "{text}");
        for line in [
            "controller_leads 1",
            "controller_members 1",
            "controller_sync_seconds_count 2",
            "controller_sync_seconds_sum 0.002",
            "controller_sync_seconds_max 0.0015",
            "controller_writes_failed_total 1",
            "controller_gateways{ready=\"no\"} 0",
        ] {
            assert!(text.lines().any(|other| other == line), "{line} is not in {text}");
        }
    }
}
