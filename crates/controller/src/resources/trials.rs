//! `/-/trials`: how far tenants' trials have lapsed. `POST /-/trials/TENANT` has one lapse, `DELETE` restores it; `GET` tells how
//! all of them stand.

use super::{go_to, json, name_under, TRIALS};
use crate::driver::Driver;
use nickeljunction_net::desk::{Answering, Call, Resource, Response};
use nickeljunction_replica::{Answer, TrialView};
use std::rc::Rc;

/// See the module.
pub struct Trials(pub Rc<Driver>);

impl Resource for Trials {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            match call.path() == TRIALS {
                true if call.method == "GET" => self.look(&call).await,
                true => Response::error(405, "wants GET; orders go to /-/trials/TENANT").with("Allow", "GET"),
                false => self.order(&call).await,
            }
        })
    }
}

impl Trials {
    async fn look(&self, call: &Call) -> Response {
        // A follower sends it on; a leader asks a majority first whether it still leads.
        match self.0.read(|_, _| ()).await {
            Ok(()) => json(200, &self.0.trials()),
            Err(elsewhere) => go_to(&self.0, call, &elsewhere),
        }
    }

    async fn order(&self, call: &Call) -> Response {
        let Some(tenant) = name_under(call, TRIALS) else {
            return Response::error(404, "wants /-/trials or /-/trials/TENANT");
        };
        let lapse = match call.method.as_str() {
            "POST" => true,
            "DELETE" => false,
            _ => return Response::error(405, "wants POST or DELETE").with("Allow", "POST, DELETE"),
        };
        match self.0.trial(&tenant, lapse).await {
            Answer::Accepted => json(200, &self.0.trials().remove(tenant.as_ref()) as &Option<TrialView>),
            Answer::NotFound(wants) => Response::error(404, &wants),
            Answer::Unknown => {
                Response::error(503, "not known to be taken: repeat it unchanged").with("Retry-After", "0.2")
            }
            Answer::NotLeader(elsewhere) => go_to(&self.0, call, &elsewhere),
            _ => go_to(&self.0, call, &self.0.elsewhere()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::disk::Job;
    use crate::resources::inner::{tests::alone, Ebb};
    use nickeljunction_replica::Change;
    use serde_json::{json, Value};

    async fn ask(resource: &dyn Resource, method: &str, target: &str, body: Value) -> (u16, Value) {
        let call = Call {
            method: method.into(),
            target: target.into(),
            headers: Default::default(),
            body: body.to_string().into(),
            peer: ([127, 0, 0, 1], 1).into(),
        };
        let response = resource.handle(call).await;
        (response.status, serde_json::from_slice(&response.body).unwrap_or_default())
    }

    #[test]
    fn a_trial_is_ordered_shown_and_shared_out_over_its_paths() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let (driver, mut jobs) = alone();
            let trials = Trials(driver.clone());
            let (status, _) = ask(&trials, "POST", "/-/trials/peach", Value::Null).await;
            assert_eq!(status, 503, "nobody leads yet");
            tokio::task::spawn_local(driver.wheel().clone().run());
            tokio::task::spawn_local(driver.clone().run());
            let disk = driver.clone();
            tokio::task::spawn_local(async move {
                while let Some(job) = jobs.recv().await {
                    if let Job::Log(write) = job {
                        disk.written(write.ticket, true, 0);
                    }
                }
            });
            let doc = json!({"config_version": 1, "limits": null, "backends": {"b": {}},
                "routes": {"r": {"hostname": "h", "path_prefix": "/", "backend": "b"}},
                "tenants": {"peach": {"api_keys": ["k"], "rate_per_s": 100, "burst_size": 100}}});
            let put = || Change { patch: false, base: Some(0), body: doc.to_string().into() };
            loop {
                let changed = driver.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if driver.change(put()).await == Answer::Accepted {
                    break;
                }
                changed.await;
            }
            let (status, all) = ask(&trials, "GET", "/-/trials", Value::Null).await;
            assert_eq!(
                (status, &all["peach"]["state"], &all["peach"]["step"]),
                (200, &json!("running"), &json!(0))
            );
            for (method, state, stage) in
                [("POST", "lapsing", 1), ("DELETE", "restored", 0), ("POST", "lapsing", 1)]
            {
                let (status, view) = ask(&trials, method, "/-/trials/peach", Value::Null).await;
                assert_eq!((status, &view["state"], &view["stage"]), (200, &json!(state), &json!(stage)));
            }
            let call = json!({"name": "edge-1", "i": 7, "q": 1, "d": {"peach": 5.0, "plum": 1.0}, "h": {"peach": 40.0}});
            let (status, answer) = ask(&Ebb(driver.clone()), "POST", "/ebb", call).await;
            assert_eq!((status, &answer["s"]), (200, &json!({"peach": 40.0})), "what it held, at first: {answer}");
            let (_, all) = ask(&trials, "GET", "/-/trials", Value::Null).await;
            assert_eq!(all["peach"]["shares"], json!({"edge-1": 40.0}));
            let (status, error) = ask(&trials, "POST", "/-/trials/plum", Value::Null).await;
            assert!(
                status == 404 && error["error"].as_str().is_some_and(|text| text.contains("plum")),
                "{error}"
            );
            for (method, target) in [("PUT", "/-/trials/peach"), ("POST", "/-/trials")] {
                assert_eq!(ask(&trials, method, target, Value::Null).await.0, 405);
            }
        });
    }
}
