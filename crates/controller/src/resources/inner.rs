//! Inner calls: the agreement's messages, watch calls, counted adds and shares of paces.

use super::json;
use crate::driver::Driver;
use nickeljunction_consensus::Envelope;
use nickeljunction_messages::{LeaderRedirect, PaceSharesCall, UnitsCall, WatchAnswer, WatchCall};
use nickeljunction_net::compression::compressed;
use nickeljunction_net::desk::{Answering, Call, Resource, Response};
use nickeljunction_replica::HeldWatch as Hold;
use serde::de::DeserializeOwned;
use std::rc::Rc;

/// Where nobody is known to lead a watch call waits so long for somebody, ms: whoever asks would only ask again. Less
/// than a gateway waits for an answer.
const UNLED_MS: u64 = 250;

pub(super) fn read<T: DeserializeOwned>(call: &Call) -> Result<T, Response> {
    if call.method != "POST" {
        return Err(Response::error(405, "wants POST").with("Allow", "POST"));
    }
    serde_json::from_slice(&call.body).map_err(|error| Response::error(400, &error.to_string()))
}

pub(super) fn misdirected(elsewhere: &LeaderRedirect) -> Response {
    json(421, elsewhere)
}

/// `/logbook`: messages of the agreement.
pub struct Messages(pub Rc<Driver>);

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
pub struct Units(pub Rc<Driver>);

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

/// `/ebb`: shares of the paces of tenants whose trial lapses.
pub struct Ebb(pub Rc<Driver>);

impl Resource for Ebb {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            let answer = read::<PaceSharesCall>(&call).map(|call| self.0.ebb(&call));
            match answer {
                Ok(Ok(answer)) => json(200, &answer),
                Ok(Err(elsewhere)) => misdirected(&elsewhere),
                Err(response) => response,
            }
        })
    }
}

/// `/watch`: what is new.
pub struct Watch(pub Rc<Driver>);

/// A held call whose caller goes away before its answer.
struct Held<'a> {
    driver: &'a Driver,
    call: &'a WatchCall,
    hold: &'a Hold,
    answered: bool,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.driver.hung_up(self.call, self.hold);
        }
    }
}

impl Watch {
    /// Registers the call with this member's lead. Where nobody is known to lead it waits a while for somebody.
    async fn called(&self, call: &WatchCall) -> Result<Hold, LeaderRedirect> {
        let driver = &self.0;
        let unled = driver.now() + UNLED_MS;
        loop {
            let changed = driver.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            match driver.called(call) {
                Err(elsewhere) if elsewhere.leader.is_none() && driver.now() < unled => {}
                called => return called,
            }
            driver.wheel().timeout(unled.saturating_sub(driver.now()) as f64, changed).await;
        }
    }

    async fn answer(&self, call: &WatchCall, held: &Hold) -> Result<WatchAnswer, LeaderRedirect> {
        let driver = &self.0;
        loop {
            let changed = driver.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(answer) = driver.watch(call, held)? {
                return Ok(answer);
            }
            let now = driver.now();
            let left = held.next_check_at(now).saturating_sub(now);
            driver.wheel().timeout(left as f64, changed).await;
        }
    }
}

impl Resource for Watch {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            let headers = call.headers.clone();
            let call: WatchCall = match read(&call) {
                Ok(call) => call,
                Err(response) => return response,
            };
            let held = match self.called(&call).await {
                Ok(held) => held,
                Err(elsewhere) => return misdirected(&elsewhere),
            };
            let mut caller = Held { driver: &self.0, call: &call, hold: &held, answered: false };
            let answered = self.answer(&call, &held).await;
            caller.answered = true;
            match answered {
                Ok(answer) => compressed(&headers, json(200, &answer)),
                Err(elsewhere) => misdirected(&elsewhere),
            }
        })
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use crate::disk::Job;
    use crate::driver::Ports;
    use crate::peers::Peers;
    use nickeljunction_consensus::{bootstrap_member_id, HardState, Restored, Snapshot, Tuning};
    use nickeljunction_messages::{Caller, Member};
    use nickeljunction_net::caller::Caller as Calls;
    use nickeljunction_net::clock::Clock;
    use nickeljunction_net::wheel::Wheel;
    use nickeljunction_replica::{MemberConfig, Replica};
    use nickeljunction_schema::Bounds;
    use std::task::{Context, Poll};
    use tokio::sync::mpsc;

    /// A core of one that comes back with its disk: it leads once its vote and first entry are written.
    pub(crate) fn alone() -> (Rc<Driver>, mpsc::UnboundedReceiver<Job>) {
        let me = Member { id: bootstrap_member_id("127.0.0.1"), host: "127.0.0.1".into() };
        let first = Snapshot { index: 0, term: 0, members: vec![me.clone()], state: String::new() };
        let restored = Restored {
            me,
            is_new: false,
            hard: HardState::default(),
            snapshot: Some(first),
            entries: Vec::new(),
        };
        let place = Rc::new(MemberConfig {
            name: "core-1".into(),
            host: "127.0.0.1".into(),
            zones: Default::default(),
            bounds: Bounds::default(),
            heartbeat_ms: 1_000,
        });
        let wheel = Wheel::new(Clock::start());
        let (disk, jobs) = mpsc::unbounded_channel();
        let peers = Peers::new(Calls::new(wheel.clone()), 1);
        let house = Replica::new(place.clone(), restored, Tuning::default(), 1, 0);
        (Driver::new(place, Ports { control: 1, inner: 1 }, wheel, house, disk, peers), jobs)
    }

    #[test]
    fn a_watch_call_waits_for_a_leader_where_nobody_leads() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let (driver, mut jobs) = alone();
            let ask =
                nickeljunction_registry::WatchCache::new().watch_call(Caller::Core, "core-2", 7, None, 0);
            let call = Call {
                method: "POST".into(),
                target: "/watch".into(),
                headers: Default::default(),
                body: serde_json::to_vec(&ask).expect("JSON").into(),
                peer: ([127, 0, 0, 1], 1).into(),
            };
            let watch = Watch(driver.clone());
            let mut answering = watch.handle(call);
            // It has come before anybody leads.
            let polled =
                |context: &mut Context<'_>| Poll::Ready(answering.as_mut().poll(context).is_pending());
            assert!(std::future::poll_fn(polled).await);
            tokio::task::spawn_local(driver.wheel().clone().run());
            tokio::task::spawn_local(driver.clone().run());
            let disk = driver.clone();
            tokio::task::spawn_local(async move {
                while let Some(Job::Log(write)) = jobs.recv().await {
                    disk.written(write.ticket, true, 0);
                }
            });
            assert_eq!(answering.await.status, 200);
        });
    }
}
