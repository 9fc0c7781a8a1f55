//! Cost of a change of the configuration for documents of growing size: bytes on the log and to a gateway, and processor time
//! at the leader and at a gateway.
//!
//! `cargo run --release -p nickeljunction-replica --example change_cost` prints one line per document. Each change is a
//! PATCH of one route. Times are the minimum of the repeats, in ms; the network and the disk take no time.

use nickeljunction_consensus::{Restored, Tuning};
use nickeljunction_messages::{Caller, GatewayInfo, Member, WatchAnswer, WatchCall};
use nickeljunction_registry::WatchCache;
use nickeljunction_replica::{Answer, Change, Effects, MemberConfig, Replica};
use nickeljunction_routing::Table;
use nickeljunction_schema::{Bounds, Document};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::rc::Rc;
use std::time::Instant;

/// Routes and tenants of each document.
const DOCUMENTS: [(usize, usize); 7] = [
    (10, 1_000),
    (100, 1_000),
    (1_000, 1_000),
    (3_300, 1_000),
    (3_300, 10_000),
    (3_300, 30_000),
    (3_300, 83_000),
];
/// Changes per document.
const REPEATS: usize = 9;
/// Gateways with a watch call.
const GATEWAYS: usize = 87;
const BACKENDS: usize = 40;

fn route(number: usize, timeout_s: u64) -> Value {
    json!({
        "hostname": format!("host{}.example", number % 50), "path_prefix": format!("/service{number}/"),
        "route_type": "idempotent", "timeout_s": timeout_s, "target_latency_s": 0.25, "priority": number % 3,
        "backend": format!("backend{}", number % BACKENDS), "max_attempts": 3,
    })
}

fn document(routes: usize, tenants: usize) -> Value {
    let table = |items: Vec<(String, Value)>| Value::from(Map::from_iter(items));
    let tenant = |number| {
        let keys = [format!("key-{number:08x}-a"), format!("key-{number:08x}-b")];
        (format!("tenant{number}"), json!({"api_keys": keys, "rate_per_s": 20.0, "burst_size": 40.0}))
    };
    let backend = |number| (format!("backend{number}"), json!({"health_check": "/health", "protocol": "h1"}));
    json!({
        "config_version": 1,
        "routes": table((0..routes).map(|number| (format!("route{number}"), route(number, 3))).collect()),
        "backends": table((0..BACKENDS).map(backend).collect()),
        "tenants": table((0..tenants).map(tenant).collect()),
    })
}

/// A core of one member, whose disk writes at once.
struct Core {
    now: u64,
    replica: Replica,
}

impl Core {
    fn new() -> Core {
        let me = Member { id: 7, host: "10.0.0.1".into() };
        let config = MemberConfig {
            name: "core-1".into(),
            host: me.host.clone(),
            zones: BTreeMap::from([("z1".into(), "r1".into())]),
            bounds: Bounds::usual(),
            heartbeat_ms: 1_000,
        };
        let restored = Restored::bootstrap(me.clone(), vec![me]);
        let replica = Replica::new(Rc::new(config), restored, Tuning::default(), 1, 1_000);
        let mut core = Core { now: 1_000, replica };
        while core.replica.leader_state().is_none() {
            core.now += 1;
            let now = core.now;
            core.act(|replica| replica.tick(now));
        }
        core
    }

    /// Runs `act` and carries out the writes that follow. Returns all answers, and the bytes of the entries.
    fn act<R>(&mut self, act: impl FnOnce(&mut Replica) -> R) -> (Vec<Answer>, usize) {
        act(&mut self.replica);
        let (mut answers, mut bytes) = (Vec::new(), 0);
        loop {
            let Effects { writes, answers: more, applied, .. } = self.replica.take_effects();
            answers.extend(more.into_iter().map(|(_, answer)| answer));
            bytes += applied.iter().filter_map(|entry| entry.data()).map(str::len).sum::<usize>();
            if writes.is_empty() {
                return (answers, bytes);
            }
            writes.iter().for_each(|write| self.replica.written(self.now, write.ticket, true));
        }
    }

    /// Makes a change; returns the bytes of its entry.
    fn change(&mut self, patch: bool, base: u64, body: &Value) -> usize {
        let change = Change { patch, base: Some(base), body: body.to_string().into() };
        let now = self.now;
        let (answers, bytes) = self.act(|replica| replica.change_config(now, change));
        assert_eq!(answers, [Answer::Accepted]);
        bytes
    }

    fn watch(&mut self, call: &WatchCall) -> WatchAnswer {
        let held = self.replica.begin_watch(self.now, call).expect("it leads");
        self.replica.answer_watch(self.now, call, &held).expect("it leads").expect("changes")
    }
}

fn watch_call(cache: &WatchCache, gateway: usize) -> WatchCall {
    let name = format!("edge-{gateway}");
    let line =
        GatewayInfo { name: name.clone(), front: "10.1.0.1:80".into(), zone: "z1".into(), ready: true };
    cache.watch_call(Caller::Gateway, &name, 7, Some(line), 1_000)
}

/// Applies an answer as a gateway does.
fn apply_at_gateway(cache: &mut WatchCache, text: &[u8]) {
    let answer: WatchAnswer = serde_json::from_slice(text).expect("an answer");
    assert!(cache.apply(answer).expect("it is newer").config);
    let config =
        Document::view(&cache.catalog().config.as_ref().expect("a configuration").document).expect("valid");
    black_box(Table::of(&config));
}

/// Minimum time of all repeats, ms.
struct MinTime(f64);

impl MinTime {
    fn measure<R>(&mut self, act: impl FnOnce() -> R) -> R {
        let began = Instant::now();
        let result = act();
        self.0 = self.0.min(began.elapsed().as_secs_f64() * 1_000.0);
        result
    }
}

fn measure(routes: usize, tenants: usize) {
    let doc = document(routes, tenants);
    let mut core = Core::new();
    let whole_entry = core.change(false, 0, &doc);
    let mut cache = WatchCache::new();
    let first = serde_json::to_vec(&core.watch(&watch_call(&cache, 0))).expect("JSON");
    apply_at_gateway(&mut cache, &first);
    let [mut accept, mut answer_all, mut apply, mut compile] = [(); 4].map(|()| MinTime(f64::INFINITY));
    let (mut entry, mut answer) = (0, Vec::new());
    for version in 1..=REPEATS as u64 {
        let patch =
            json!({"config_version": version + 1, "upsert": {"routes": {"route5": route(5, version + 3)}}});
        entry = accept.measure(|| core.change(true, version, &patch));
        let calls: Vec<WatchCall> = (0..GATEWAYS).map(|gateway| watch_call(&cache, gateway)).collect();
        answer_all.measure(|| {
            for call in &calls {
                answer = serde_json::to_vec(&core.watch(call)).expect("JSON");
            }
        });
        apply.measure(|| apply_at_gateway(&mut cache, &answer));
        let config = Document::view(&cache.catalog().config.as_ref().expect("a configuration").document)
            .expect("valid");
        compile.measure(|| black_box(Table::of(&config)));
    }
    println!(
        "| {routes} | {tenants} | {} | {whole_entry} | {entry} | {} | {} | {:.2} | {:.2} | {:.2} | {:.2} |",
        doc.to_string().len(),
        first.len(),
        answer.len(),
        accept.0,
        answer_all.0,
        apply.0,
        compile.0,
    );
}

fn main() {
    println!("| routes | tenants | document, B | entry whole, B | entry of a patch, B | answer whole, B | answer of a change, B | leader: accept a change, ms | leader: answer {GATEWAYS} gateways, ms | gateway: apply it, ms | of that the table, ms |");
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for (routes, tenants) in DOCUMENTS {
        measure(routes, tenants);
    }
}
