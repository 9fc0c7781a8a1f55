//! A limiter with a clock, and helpers that make its events and read its actions.

use nickeljunction_decide::api::*;
use nickeljunction_decide::decide::Limiter;
use std::collections::BTreeMap;

pub(crate) fn class(name: &str, retry_safety: RetrySafety) -> Class {
    let (target_latency_ms, client_timeout_ms, key_ttl_ms, dedup_scope) =
        (500.0, 2000.0, 1000.0, DedupScope::All);
    let name = name.to_string();
    Class {
        name,
        target_latency_ms,
        client_timeout_ms,
        retry_safety,
        dedup_scope,
        key_ttl_ms,
        late_share: 0.0,
        stream: false,
        worth: 1.0,
    }
}

pub(crate) fn plan(name: &str, rate: f64, burst: f64, ceiling: f64, max_concurrent: f64) -> Plan {
    Plan {
        name: name.to_string(),
        rate,
        burst,
        max_concurrent,
        ceiling_rate: ceiling * rate,
        ceiling_burst: ceiling * burst,
        ceiling_slack: 1.0,
        ..Plan::default()
    }
}

pub(crate) fn settings() -> Settings {
    Settings {
        gateway_count: 2,
        zone: "z".into(),
        step_ms: 4.0,
        classes: vec![
            class("safe", RetrySafety::Idempotent),
            class("keyed", RetrySafety::Keyed),
            class("once", RetrySafety::AtMostOnce),
        ],
        plans: vec![
            plan("soft", 10.0, 20.0, 0.0, 0.0),
            plan("hard", 10.0, 20.0, 2.0, 0.0),
            plan("few", 0.0, 0.0, 0.0, 2.0),
            plan("free", 0.0, 0.0, 0.0, 0.0),
        ],
        counter_enabled: true,
        counter_timeout_ms: 50.0,
        max_request_units: 1.0,
        may_cancel: true,
        max_attempts: 3,
        max_retry_after_ms: 500.0,
        retry_after: true,
        hedging: true,
        cold_start_share: 0.2,
        warmup_ms: 10_000.0,
        drain_grace_ms: 500.0,
        overload_multiple: 2.0,
        overload_ms: 1000.0,
        answer_grace_ms: 16.0,
        ..Settings::default()
    }
}

/// One limiter with a clock.
pub(crate) struct Rig {
    pub(crate) limiter: Limiter,
    pub(crate) now: f64,
}

impl Rig {
    pub(crate) fn new(settings: Settings, servers: usize) -> Rig {
        let mut rig = Rig { limiter: Limiter::new(settings, 7).expect("good settings"), now: 100_000.0 };
        let list = (0..servers).map(|index| server(index, ServerState::Up, 0.0)).collect();
        rig.handle(Event::Servers(ListKind::Cached, list));
        rig
    }

    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.limiter.on_event(self.now, event, &mut out);
        out
    }

    pub(crate) fn request(&mut self, id: &str, class: &str, plan: &str) -> Vec<Action> {
        self.handle(Event::Request(arrival(id, class, plan)))
    }

    pub(crate) fn outcome(&mut self, id: &str, attempt: usize, server: &str, status: Status) -> Vec<Action> {
        let request_closed = status == Status::Ok;
        self.handle(Event::Outcome(Outcome { attempt, status, request_closed, ..answer(id, server, 50.0) }))
    }

    /// Sweeps for this time.
    pub(crate) fn run(&mut self, ms: f64) -> Vec<Action> {
        let (end, mut out) = (self.now + ms, Vec::new());
        while self.now < end {
            self.now += 8.0;
            out.extend(self.handle(Event::Timer("sweep".into())));
        }
        out
    }

    pub(crate) fn counted(&mut self, name: &str, status: Status, total: f64) -> Vec<Action> {
        self.handle(Event::CountReply(name.into(), status, total))
    }
}

/// A request for one unit of customer 5, whose requests arrive at two gateways.
pub(crate) fn arrival(id: &str, class: &str, plan: &str) -> Arrival {
    let (id, class, plan) = (id.into(), class.into(), plan.into());
    Arrival { id, class, plan, customer: 5, timeout_ms: 2000.0, units: 1.0, gateways: 2, retry: false }
}

/// A successful outcome of a first attempt.
pub(crate) fn answer(id: &str, server: &str, latency_ms: f64) -> Outcome {
    let (id, server, load) = (id.into(), server.into(), BTreeMap::new());
    let (attempt, status, settled_units, request_closed) = (0, Status::Ok, 0.0, true);
    Outcome { id, attempt, server, status, settled_units, latency_ms, request_closed, load }
}

/// The gateways of one fleet, each with its own index and seed.
pub(crate) fn fleet(count: usize, servers: usize) -> Vec<Rig> {
    let gateway = |gateway_index| {
        let custom = Settings { gateway_index, gateway_count: count, ..settings() };
        let mut rig = Rig {
            limiter: Limiter::new(custom, gateway_index as u64).expect("good settings"),
            now: 100_000.0,
        };
        let list = (0..servers).map(|index| server(index, ServerState::Up, 0.0)).collect();
        rig.handle(Event::Servers(ListKind::Cached, list));
        rig
    };
    (0..count).map(gateway).collect()
}

pub(crate) fn server(index: usize, state: ServerState, started_at_ms: f64) -> ServerEntry {
    ServerEntry {
        server: format!("s{index}"),
        state,
        zone: "z".into(),
        cell: 0,
        weight: 1.0,
        started_at_ms,
        distance: 0,
        rank: 0.0,
    }
}

pub(crate) fn sends(out: &[Action]) -> Vec<(String, String)> {
    let pick = |action: &Action| match action {
        Action::Send(id, server, _) => Some((id.clone(), server.clone())),
        _ => None,
    };
    out.iter().filter_map(pick).collect()
}

pub(crate) fn counts(out: &[Action]) -> Vec<(String, f64)> {
    let pick = |action: &Action| match action {
        Action::IncrementCounter(name, add, _) => Some((name.clone(), *add)),
        _ => None,
    };
    out.iter().filter_map(pick).collect()
}

pub(crate) fn refused(out: &[Action], id: &str) -> bool {
    out.iter().any(|action| matches!(action, Action::Refuse(other, _) if other == id))
}

pub(crate) fn failed(out: &[Action], id: &str) -> bool {
    out.iter().any(|action| matches!(action, Action::Fail(other) if other == id))
}

/// Sends a request that needs a lease and answers its counter calls: the calls, and the actions after them.
pub(crate) fn fetch_lease(rig: &mut Rig, id: &str, plan: &str) -> (Vec<(String, f64)>, Vec<Action>) {
    let counter_calls = counts(&rig.request(id, "safe", plan));
    let mut out = Vec::new();
    for (name, add) in &counter_calls {
        out.extend(rig.counted(name, Status::Ok, *add));
    }
    (counter_calls, out)
}

/// One of 100 gateways, with requests of up to six units that are settled afterwards.
pub(crate) fn one_of_100_gateways(servers: usize) -> Rig {
    Rig::new(
        Settings { gateway_count: 100, settles_units: true, max_request_units: 6.0, ..settings() },
        servers,
    )
}

/// The first request of customer 1000 + `index` on the plan `soft`.
pub(crate) fn first_request(rig: &mut Rig, index: u64, gateways: usize) -> Vec<Action> {
    let request = arrival(&format!("r{index}"), "safe", "soft");
    rig.handle(Event::Request(Arrival { customer: 1_000 + index, gateways, ..request }))
}
