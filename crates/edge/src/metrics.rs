//! The gateway's metrics page. It reads the counters of the other modules and counts nothing itself.

use crate::core_client::CoreClient;
use crate::frontend::{Frontend, Lifecycle};
use crate::proxy::Proxy;
use nickeljunction_net::figures::{Kind, Page, Writer, MOST_LABELLED};
use nickeljunction_pacing::TenantStatus;
use std::rc::Rc;

/// The parts whose counters are written.
pub struct Sources {
    /// The client side.
    pub front: Rc<Frontend>,
    /// Clients' connections.
    pub lifecycle: Rc<Lifecycle>,
    /// The server side.
    pub proxy: Rc<Proxy>,
    /// The client of the core.
    pub link: Rc<CoreClient>,
}

impl Sources {
    /// A function that writes the page at each request for it.
    pub fn writer(self) -> Writer {
        Rc::new(move |page| self.write(page))
    }

    fn write(&self, page: &mut Page) {
        self.clients(page);
        self.servers(page);
        self.operations(page);
        self.core(page);
    }

    fn operations(&self, page: &mut Page) {
        let keyed = self.front.keyed_operations();
        let table = keyed.as_ref().map(|keyed| keyed.operations().borrow());
        let (remembered, answers, bytes) = table.as_ref().map_or((0, 0, 0), |table| table.usage());
        let (claims, recalls) =
            table.as_ref().map_or((0, 0), |table| (table.counts().claims, table.counts().recalls));
        let (counter, gauge) = (Kind::Counter, Kind::Gauge);
        page.one("edge_claims_total", counter, "Claims of keyed operations.", claims as f64);
        let claim_s = keyed.as_ref().map_or(0.0, |keyed| keyed.counts().granted_ms.get() / 1_000.0);
        page.one("edge_claim_seconds_total", counter, "How long granted claims took, added up.", claim_s);
        page.figure("edge_operations_total", counter, "Keyed operations by what became of claims and runs.");
        for (outcome, count) in keyed.iter().flat_map(|keyed| keyed.outcomes()) {
            page.value(&[("outcome", outcome)], count as f64);
        }
        page.one("edge_recalls_total", counter, "Questions of gateways about claims.", recalls as f64);
        page.one("edge_operations", gauge, "Keyed operations that are remembered.", remembered as f64);
        page.one("edge_kept_answers", gauge, "Answers that are kept for repeats.", answers as f64);
        page.one("edge_kept_answer_bytes", gauge, "Bytes of these answers.", bytes as f64);
    }

    fn clients(&self, page: &mut Page) {
        let counts = self.front.counts();
        page.one(
            "edge_client_connections_total",
            Kind::Counter,
            "Connections taken from clients.",
            counts.connections.get() as f64,
        );
        page.one(
            "edge_client_connections",
            Kind::Gauge,
            "Clients' connections that are open.",
            self.lifecycle.open_connections() as f64,
        );
        page.one(
            "edge_requests_total",
            Kind::Counter,
            "Requests whose heads were read.",
            counts.requests.get() as f64,
        );
        page.figure("edge_answers_total", Kind::Counter, "Requests by what became of them.");
        for (outcome, status, count) in counts.outcomes() {
            page.value(&[("outcome", outcome), ("status", status)], count as f64);
        }
        page.one(
            "edge_requests_in_flight",
            Kind::Gauge,
            "Requests that are owed an answer, and answers under way.",
            self.proxy.active_requests() as f64,
        );
    }

    fn servers(&self, page: &mut Page) {
        let counts = self.proxy.counts();
        page.one(
            "edge_first_sends_total",
            Kind::Counter,
            "First sends of requests to servers.",
            counts.first_attempts as f64,
        );
        page.one(
            "edge_further_sends_total",
            Kind::Counter,
            "Sends beyond the first of a request.",
            counts.further_attempts as f64,
        );
        page.one(
            "edge_further_sends_denied_total",
            Kind::Counter,
            "Further sends that the budget did not allow.",
            counts.further_attempts_denied as f64,
        );
        page.figure("edge_sends_ended_total", Kind::Counter, "Sends by how they ended.");
        for (outcome, count) in counts.outcomes() {
            page.value(&[("outcome", outcome)], count as f64);
        }
        page.one(
            "edge_server_connections_total",
            Kind::Counter,
            "Connections opened to servers.",
            counts.connections_opened as f64,
        );
        let (open, idle) = self.proxy.connections();
        page.figure("edge_server_connections", Kind::Gauge, "Connections to servers that are open.");
        page.value(&[("state", "busy")], open.saturating_sub(idle) as f64);
        page.value(&[("state", "idle")], idle as f64);
    }

    fn core(&self, page: &mut Page) {
        let status = self.link.status();
        page.one(
            "edge_ready",
            Kind::Gauge,
            "1 where clients are taken.",
            f64::from(u8::from(self.link.is_ready())),
        );
        page.one(
            "edge_config_version",
            Kind::Gauge,
            "Version of the configuration in force here, 0 before the first.",
            status.config_version as f64,
        );
        page.one(
            "edge_knowledge_age_seconds",
            Kind::Gauge,
            "How old what the core told is.",
            status.knowledge_age_ms / 1_000.0,
        );
        page.one(
            "edge_core_term",
            Kind::Gauge,
            "Term of the leader that was followed last.",
            status.term as f64,
        );
        page.figure("edge_core_leader", Kind::Gauge, "1 for the core machine that is followed.");
        if let Some(host) = &status.leader {
            page.value(&[("host", host)], 1.0);
        }
        page.figure("edge_units_held", Kind::Gauge, "Units held here that may be spent, by tenant.");
        for units in &status.units {
            page.value(&[("tenant", &units.tenant)], units.held as f64);
        }
        page.figure("edge_units_spent", Kind::Gauge, "Units spent here in the window of now, by tenant.");
        for units in &status.units {
            page.value(&[("tenant", &units.tenant)], units.spent as f64);
        }
        self.trials(page);
    }

    fn trials(&self, page: &mut Page) {
        let tenants = self.link.ebb().tenant_statuses();
        let tenants = &tenants[..tenants.len().min(MOST_LABELLED)];
        let mut per_tenant =
            |name: &'static str, kind: Kind, help: &str, value: &dyn Fn(&TenantStatus) -> f64| {
                page.figure(name, kind, help);
                for tenant in tenants {
                    page.value(&[("tenant", &tenant.tenant)], value(tenant));
                }
            };
        let (gauge, counter) = (Kind::Gauge, Kind::Counter);
        per_tenant("edge_trial_stage", gauge, "Stage of a lapsed trial in force here.", &|tenant| {
            f64::from(tenant.stage)
        });
        per_tenant("edge_trial_waiting", gauge, "Requests held here for a lapsed trial.", &|tenant| {
            tenant.waiting as f64
        });
        per_tenant("edge_trial_held_total", counter, "Requests that were held for it.", &|tenant| {
            tenant.delayed.0 as f64
        });
        let seconds = |tenant: &TenantStatus| tenant.delayed.1 / 1_000.0;
        per_tenant("edge_trial_held_seconds_total", counter, "For how long, added up.", &seconds);
        per_tenant("edge_trial_told_total", counter, "Requests told when to come back.", &|tenant| {
            tenant.retry_later_count as f64
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core_client::GatewayIdentity;
    use crate::proxy::ProxyTuning;
    use crate::table::{SnapshotCell, Table};
    use crate::upstream::Location;
    use nickeljunction_net::budget::Budget;
    use nickeljunction_net::caller::Caller;
    use nickeljunction_net::clock::Clock;
    use nickeljunction_net::figures::well_formed;
    use nickeljunction_net::wheel::Wheel;
    use nickeljunction_schema::Bounds;

    /// Operators' dashboards depend on these names.
    const METRIC_NAMES: &str = "edge_client_connections_total edge_client_connections edge_requests_total \
        edge_answers_total edge_requests_in_flight edge_first_sends_total edge_further_sends_total \
        edge_further_sends_denied_total edge_sends_ended_total edge_server_connections_total \
        edge_server_connections edge_claims_total edge_claim_seconds_total edge_operations_total edge_recalls_total edge_operations \
        edge_kept_answers edge_kept_answer_bytes edge_ready edge_config_version edge_knowledge_age_seconds edge_core_term \
        edge_core_leader edge_units_held edge_units_spent edge_trial_stage edge_trial_waiting \
        edge_trial_held_total edge_trial_held_seconds_total edge_trial_told_total";

    #[test]
    fn metrics_page_is_well_formed_and_keeps_its_metric_names() {
        let wheel = Wheel::new(Clock::start());
        let place = Location { name: "edge-1".into(), zone: "z".into(), region: "r".into() };
        let budget = Budget::new(64);
        let proxy = Proxy::new(wheel.clone(), budget.clone(), place.clone(), 1, ProxyTuning::default());
        let table = Rc::new(SnapshotCell::new(Table::empty()));
        let identity = GatewayIdentity {
            place,
            client_address: "127.0.0.1:1".into(),
            inner_port: 1,
            incarnation: 1,
            bounds: Bounds::default(),
            zones: Default::default(),
            serves_directory: false,
        };
        let caller = Caller::new(wheel.clone());
        let core_client =
            CoreClient::new(identity, wheel.clone(), caller, table.clone(), proxy.clone(), Vec::new(), 1);
        let lifecycle = Rc::new(Lifecycle::default());
        let frontend =
            Frontend::new(wheel, table, core_client.clone(), proxy.clone(), lifecycle.clone(), budget, 1);
        let counts = frontend.counts();
        counts.refused.set(5);
        counts.stale.set(2);
        let mut page = Page::new();
        Sources { front: frontend, lifecycle, proxy, link: core_client }.writer()(&mut page);
        let text = page.into_text();
        let names: Vec<String> = METRIC_NAMES.split_whitespace().map(String::from).collect();
        assert_eq!(well_formed(&text), Ok(names), "{text}");
        for line in [
            "edge_answers_total{outcome=\"stale\",status=\"503\"} 2",
            "edge_answers_total{outcome=\"refused\",status=\"503\"} 3",
            "edge_knowledge_age_seconds +Inf",
            "edge_ready 0",
        ] {
            assert!(text.lines().any(|other| other == line), "{line} is not in {text}");
        }
    }
}
