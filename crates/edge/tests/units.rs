//! Tests of requests that wait for a quota unit, in virtual time. The leader has a real counter and delays its answers.

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

/// With this number of gateways, a gateway leaves 150 ms between its calls for units.
const GATEWAYS: u32 = 300;

/// Serves a configuration with one limited tenant, and the number of gateways.
struct WatchServer {
    wheel: Wheel,
    answered_before: Cell<bool>,
}

impl Resource for WatchServer {
    fn handle<'a>(&'a self, _: Call) -> Answering<'a> {
        // The configuration does not change, so the first call is answered at once and later ones are held.
        let hold_ms = if self.answered_before.replace(true) { 1_000.0 } else { 0.0 };
        let document = serde_json::json!({"config_version": 1, "limits": {}, "backends": {}, "routes": {},
            "tenants": {"t": {"api_keys": ["k"], "rate_per_s": 10, "burst_size": 0}}});
        let config = Some(Rc::new(VersionedConfig { version: 1, document }));
        let answer =
            WatchAnswer { term: 1, seq: 1, config, gateway_count: Some(GATEWAYS), ..WatchAnswer::default() };
        Box::pin(async move {
            self.wheel.sleep(hold_ms).await;
            Response::json(200, serde_json::to_string(&answer).expect("text"))
        })
    }
}

/// Answers calls for units from the counter after a delay.
struct UnitsServer {
    wheel: Wheel,
    counter: RefCell<Counter>,
    delay_ms: Cell<f64>,
}

impl Resource for UnitsServer {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            let call: UnitsCall = serde_json::from_slice(&call.body).expect("a call");
            let answer = {
                let (now, mut counter) = (self.wheel.now() as u64, self.counter.borrow_mut());
                if let Some(enrollment) = counter.enrollment_for(now, &call) {
                    counter.set_logged_processes(&enrollment.added);
                    counter.enrollment_committed(call.incarnation);
                }
                counter.handle_call(now, &call, GATEWAYS as usize)
            };
            self.wheel.sleep(self.delay_ms.get()).await;
            Response::json(200, serde_json::to_string(&answer).expect("text"))
        })
    }
}

/// Admits two requests: the gateway calls for units at once for the first and 150 ms later for the second. Returns the
/// decision for the second request and how long it waited, in ms.
async fn admit_second(delay_ms: f64) -> (AdmissionDecision, f64) {
    let wheel = start_wheel();
    let mut counter = Counter::new(wheel.now() as u64, 1, Tuning::new(5_000), BTreeMap::new());
    counter.set_limits(wheel.now() as u64, &BTreeMap::from([("t".into(), Limit { cap: 50, pace: 50 })]));
    let watch = Rc::new(WatchServer { wheel: wheel.clone(), answered_before: Cell::new(false) });
    let units = Rc::new(UnitsServer {
        wheel: wheel.clone(),
        counter: RefCell::new(counter),
        delay_ms: Cell::new(1.0),
    });
    let port = start_server(&wheel, &[(path::WATCH, watch), (path::UNITS, units.clone())]).await;
    let client = core_client(&wheel, port);
    spawn_local(client.clone().run_watch());
    spawn_local(client.clone().run_quota_sync());
    wheel.sleep(1_000.0).await;
    units.delay_ms.set(delay_ms);
    let first_client = client.clone();
    spawn_local(async move { first_client.admit("t").await });
    wheel.sleep(4.0).await;
    let started = wheel.now();
    (client.admit("t").await, wheel.now() - started)
}

#[test]
fn request_with_a_pending_units_call_at_its_timeout_waits_for_the_answer() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (decision, waited_ms) = admit_second(100.0).await;
        assert!(
            matches!(decision, AdmissionDecision::Admitted(_)) && waited_ms > 220.0,
            "{decision:?} after {waited_ms} ms"
        );
        let (decision, waited_ms) = admit_second(200.0).await;
        assert!(
            matches!(decision, AdmissionDecision::OverQuota(_)) && waited_ms < 290.0,
            "{decision:?} after {waited_ms} ms"
        );
    });
}
