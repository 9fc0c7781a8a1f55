//! Inner calls: the agreement's messages, watch calls and counted adds.

use super::json;
use crate::helm::Helm;
use nickeljunction_chandler::desk::{Answering, Call, Resource, Response};
use nickeljunction_logbook::Envelope;
use nickeljunction_signals::{Elsewhere, UnitsCall, WatchAnswer, WatchCall};
use serde::de::DeserializeOwned;
use std::rc::Rc;

/// Where nobody is known to lead a watch call waits so long for somebody, ms: whoever asks would only ask again. Less
/// than a gateway waits for an answer.
const UNLED_MS: u64 = 250;

fn read<T: DeserializeOwned>(call: &Call) -> Result<T, Response> {
    if call.method != "POST" {
        return Err(Response::error(405, "wants POST").with("Allow", "POST"));
    }
    serde_json::from_slice(&call.body).map_err(|error| Response::error(400, &error.to_string()))
}

fn misdirected(elsewhere: &Elsewhere) -> Response {
    json(421, elsewhere)
}

/// `/logbook`: messages of the agreement.
pub struct Messages(pub Rc<Helm>);

impl Resource for Messages {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            match read::<Vec<Envelope>>(&call) {
                Ok(messages) => {
                    self.0.heard(messages);
                    Response::empty(204)
                }
                Err(response) => response,
            }
        })
    }
}

/// `/units`: counted adds.
pub struct Units(pub Rc<Helm>);

impl Resource for Units {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            let call: UnitsCall = match read(&call) {
                Ok(call) => call,
                Err(response) => return response,
            };
            match self.0.units(&call).await {
                Ok(answer) => json(200, &answer),
                Err(elsewhere) => misdirected(&elsewhere),
            }
        })
    }
}

/// `/watch`: what is new.
pub struct Watch(pub Rc<Helm>);

/// A held call whose caller goes away before its answer.
struct Held<'a> {
    helm: &'a Helm,
    call: &'a WatchCall,
    answered: bool,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.helm.hung_up(self.call);
        }
    }
}

impl Watch {
    async fn answer(&self, call: &WatchCall) -> Result<WatchAnswer, Elsewhere> {
        let helm = &self.0;
        let unled = helm.now() + UNLED_MS;
        let held = loop {
            let changed = helm.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            match helm.called(call) {
                Ok(held) => break held,
                Err(elsewhere) if elsewhere.leader.is_some() || helm.now() >= unled => return Err(elsewhere),
                Err(_) => {}
            }
            helm.wheel().timeout(unled.saturating_sub(helm.now()) as f64, changed).await;
        };
        loop {
            let changed = helm.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(answer) = helm.watch(call, &held)? {
                return Ok(answer);
            }
            let left = held.end().saturating_sub(helm.now());
            helm.wheel().timeout(left as f64, changed).await;
        }
    }
}

impl Resource for Watch {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            let call: WatchCall = match read(&call) {
                Ok(call) => call,
                Err(response) => return response,
            };
            let mut held = Held { helm: &self.0, call: &call, answered: false };
            let answered = self.answer(&call).await;
            held.answered = true;
            match answered {
                Ok(answer) => json(200, &answer),
                Err(elsewhere) => misdirected(&elsewhere),
            }
        })
    }
}
