//! Requests that wait for a unit, against a leader with a true counter whose answers take their time; in virtual time.

mod core_client_fixture;

use core_client_fixture::{core_client, start_server, start_wheel};
use nickeljunction_edge::exchange::{Admission, AdmissionDecision};
use nickeljunction_messages::{path, UnitsCall, VersionedConfig, WatchAnswer};
use nickeljunction_net::desk::{Answering, Call, Resource, Response};
use nickeljunction_net::wheel::Wheel;
use nickeljunction_quota::{Counter, Limit, Tuning};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::task::{spawn_local, LocalSet};

/// With so many a gateway leaves 150 ms between its calls.
const GATEWAYS: u32 = 300;

/// Tells of one tenant with a limit and of the number of gateways.
struct Watch {
    wheel: Wheel,
    asked: Cell<bool>,
}

impl Resource for Watch {
    fn handle<'a>(&'a self, _: Call) -> Answering<'a> {
        // What is told once is held from then on.
        let held_ms = if self.asked.replace(true) { 1_000.0 } else { 0.0 };
        let doc = serde_json::json!({"config_version": 1, "limits": {}, "backends": {}, "routes": {},
            "tenants": {"t": {"api_keys": ["k"], "rate_per_s": 10, "burst_size": 0}}});
        let config = Some(Rc::new(VersionedConfig { version: 1, document: doc }));
        let answer =
            WatchAnswer { term: 1, seq: 1, config, gateway_count: Some(GATEWAYS), ..WatchAnswer::default() };
        Box::pin(async move {
            self.wheel.sleep(held_ms).await;
            Response::json(200, serde_json::to_string(&answer).expect("text"))
        })
    }
}

/// The counter, so many ms away.
struct Far {
    wheel: Wheel,
    counter: RefCell<Counter>,
    way_ms: Cell<f64>,
}

impl Resource for Far {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            let call: UnitsCall = serde_json::from_slice(&call.body).expect("a call");
            let answer = {
                let (now, mut counter) = (self.wheel.now() as u64, self.counter.borrow_mut());
                if let Some(roll) = counter.enrollment_for(now, &call) {
                    counter.set_logged_processes(&roll.added);
                    counter.enrollment_committed(call.incarnation);
                }
                counter.handle_call(now, &call, GATEWAYS as usize)
            };
            self.wheel.sleep(self.way_ms.get()).await;
            Response::json(200, serde_json::to_string(&answer).expect("text"))
        })
    }
}

/// What the second of two requests is told, of which the first one's call goes out at once and its own 150 ms later; and how
/// long it waited, ms.
async fn second(way_ms: f64) -> (AdmissionDecision, f64) {
    let wheel = start_wheel();
    let mut counter = Counter::new(wheel.now() as u64, 1, Tuning::new(5_000), BTreeMap::new());
    counter.set_limits(wheel.now() as u64, &BTreeMap::from([("t".into(), Limit { cap: 50, pace: 50 })]));
    let watch = Rc::new(Watch { wheel: wheel.clone(), asked: Cell::new(false) });
    let far = Rc::new(Far { wheel: wheel.clone(), counter: RefCell::new(counter), way_ms: Cell::new(1.0) });
    let port = start_server(&wheel, &[(path::WATCH, watch), (path::UNITS, far.clone())]).await;
    let link = core_client(&wheel, port);
    spawn_local(link.clone().run_watch());
    spawn_local(link.clone().run_quota_sync());
    wheel.sleep(1_000.0).await;
    far.way_ms.set(way_ms);
    let first = link.clone();
    spawn_local(async move { first.admit("t").await });
    wheel.sleep(4.0).await;
    let asked = wheel.now();
    (link.admit("t").await, wheel.now() - asked)
}

#[test]
fn a_request_whose_call_is_under_way_at_its_time_out_waits_for_the_answer() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (admitted, waited) = second(100.0).await;
        assert!(
            matches!(admitted, AdmissionDecision::Admitted(_)) && waited > 220.0,
            "{admitted:?} after {waited}"
        );
        let (admitted, waited) = second(200.0).await;
        assert!(
            matches!(admitted, AdmissionDecision::OverQuota(_)) && waited < 290.0,
            "{admitted:?} after {waited}"
        );
    });
}
