//! The core loop: the one owner of the core, fed by a queue that every socket task writes to.

use crate::net::counter::Counter;
use crate::net::inbox::{Exchange, Inbox, Input, Swap};
use crate::net::region::Regions;
use crate::tally::Tally;
use bytes::{Bytes, BytesMut};
use nickeljunction_core::facade::{Outcome, RequestKey, RoutedTask, Settings, Tap};
use nickeljunction_core::ledger::{CountOwner, Difference};
use nickeljunction_core::life::{Answer, Core, Ports};
use nickeljunction_http::{RegionReply, TerminalRequest};
use nickeljunction_net::wheel::Wheel;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::AbortHandle;

/// The world of the core: regions, the counter, and the attempts under way.
pub struct World {
    /// The regions.
    pub regions: Rc<Regions>,
    /// The counter.
    pub counter: Counter,
    /// Where attempts tell their end.
    pub inbox: Inbox,
    /// Attempts under way by request and number, each with a number that stands for its region.
    pub out: HashMap<(RequestKey, usize), (AbortHandle, u64)>,
    /// Counts answers and attempts; off without an operators' document.
    pub tally: Option<Rc<Tally>>,
    /// Timers.
    pub wheel: Wheel,
    /// The name that regions see in `Host`.
    pub host: String,
}

/// The request as a region gets it.
fn region_request(request: &TerminalRequest, host: &str, limit_ms: f64) -> Bytes {
    use std::fmt::Write;
    let mut bytes = BytesMut::with_capacity(request.body.len() + 512);
    let fine = (|| {
        write!(bytes, "{} {} HTTP/1.1\r\nHost: {host}\r\n", request.method, request.target)?;
        for (name, value) in request.headers.end_to_end() {
            write!(bytes, "{name}: ")?;
            bytes.extend_from_slice(value);
            bytes.write_str("\r\n")?;
        }
        write!(bytes, "Request-Timeout: {:.3}\r\n", limit_ms / 1000.0)?;
        if !request.body.is_empty() || request.method != "GET" {
            write!(bytes, "Content-Length: {}\r\n", request.body.len())?;
        }
        bytes.write_str("\r\n")
    })();
    debug_assert!(fine.is_ok(), "the buffer grows");
    bytes.extend_from_slice(&request.body);
    bytes.freeze()
}

impl Ports for World {
    type Content = Exchange;
    type Served = RegionReply;

    fn route(&mut self, task: &RoutedTask, exchange: &Exchange, limit_ms: f64) {
        let bytes = region_request(&exchange.request, &self.host, limit_ms);
        let (regions, inbox, task) = (self.regions.clone(), self.inbox.clone(), task.clone());
        let (request, number, id) = (task.request, task.attempt, exchange.id.clone());
        let task_region = task.region.clone();
        let attempt = tokio::task::spawn_local(async move {
            let _id = id;
            let (outcome, reply) = regions.attempt(&task.region, bytes).await;
            inbox.tell(Input::Ended(task.request, task.attempt, outcome, reply));
        });
        let region = self.tally.as_ref().map_or(0, |_| crate::tally::region_number(&task_region));
        if let Some(mark) = &exchange.mark {
            mark.sent_to(region);
        }
        self.out.insert((request, number), (attempt.abort_handle(), region));
    }

    fn cancel_attempt(&mut self, request: RequestKey, number: usize, why: Outcome) {
        // The task ends at its next turn, before anything else can be sent for this request: its connection
        // is closed with it.
        if let Some((attempt, region)) = self.out.remove(&(request, number)) {
            attempt.abort();
            // An attempt that another one made idle says nothing against its region.
            if let Some(tally) = self.tally.as_ref().filter(|_| why != Outcome::Canceled) {
                tally.attempt(self.wheel.now(), region, false);
            }
        }
    }

    fn answer(&mut self, exchange: Exchange, answer: Answer<RegionReply>) {
        if let (Some(tally), Some(mark)) = (&self.tally, &exchange.mark) {
            tally.answered(self.wheel.now(), mark, &answer);
        }
        // A client that has gone awaits nothing.
        let _ = exchange.reply.send(answer);
    }

    fn increment_counter(&mut self, name: String, amount: f64, life_ms: f64) {
        self.counter.call(name, amount, life_ms);
    }

    fn close_idle(&mut self, region: &str) {
        self.regions.close_idle(region);
    }

    fn request_names(exchange: &Exchange) -> (&str, &str) {
        let head = &exchange.request.headers;
        (head.get("request-id").unwrap_or_default(), head.get("idempotency-key").unwrap_or_default())
    }

    fn status(reply: &RegionReply) -> u16 {
        reply.status
    }
}

impl Swap for Core<World> {
    fn retune(&mut self, now: f64, settings: Settings, from: f64, epoch: u64) {
        Core::update_settings(self, now, settings, from, epoch);
    }

    fn record(&mut self, tap: Option<Box<dyn Tap>>) {
        self.set_tap(tap);
    }

    fn retime(&mut self, connect_ms: f64, idle_ms: f64) {
        self.ports().regions.retime(connect_ms, idle_ms);
    }
}

/// Between two checks of the books of attempts out, ms.
const AUDIT_MS: f64 = 1_000.0;
/// Most regions and franchisees whose books are named in the log.
const MOST_NAMED: usize = 100;

/// Compares the core's book of attempts out with the module's, every now and then.
#[derive(Default)]
struct Audit {
    due: f64,
    named: Vec<CountOwner>,
}

impl Audit {
    /// An end that the module was not told would keep a region out of use for good: healed, counted, and told once
    /// for each region.
    fn run(&mut self, core: &mut Core<World>, now: f64) {
        if now < self.due {
            return;
        }
        self.due = now + AUDIT_MS;
        let found = core.audit(now);
        core.ports().regions.figures().put_right(found.len());
        for Difference { owner, out, believed } in found {
            if self.named.len() < MOST_NAMED && !self.named.contains(&owner) {
                tracing::error!(whose = ?owner, out, believed, "books of attempts out differed and were put right");
                self.named.push(owner);
            }
        }
    }
}

/// Runs the core until the queue ends.
pub async fn run(mut core: Core<World>, mut inputs: UnboundedReceiver<Input>, wheel: Wheel) {
    let mut audit = Audit::default();
    loop {
        audit.run(&mut core, wheel.now());
        let input = match core.next_tick() {
            None => inputs.recv().await,
            Some(due) if wheel.now() >= due => {
                core.tick(wheel.now());
                match inputs.try_recv() {
                    Ok(input) => Some(input),
                    Err(_) => {
                        tokio::task::yield_now().await;
                        continue;
                    }
                }
            }
            Some(due) => tokio::select! {
                biased;
                input = inputs.recv() => input,
                () = wheel.sleep_until(due) => continue,
            },
        };
        let Some(input) = input else { return };
        take(&mut core, input, wheel.now());
    }
}

fn take(core: &mut Core<World>, input: Input, now: f64) {
    if let Some(tally) = core.ports().tally.clone() {
        tally.sheds(core.is_shedding());
    }
    match input {
        Input::Arrive(key, at, intake, exchange) => core.arrive(now, key, now - at, intake, exchange),
        Input::Left(key) => core.client_left(now, key),
        Input::Ended(key, attempt, outcome, reply) => {
            let settled = reply.as_ref().and_then(|reply| reply.settled).unwrap_or(0.0);
            let ended = core.ports().out.remove(&(key, attempt));
            if let (Some(tally), Some((_, region))) = (core.ports().tally.clone(), ended) {
                tally.attempt(now, region, outcome == Outcome::Served);
            }
            core.attempt_ended(now, key, attempt, outcome, settled, reply);
        }
        Input::Counted(name, reply) => core.counter_replied(now, name, reply),
        Input::Table(table) => {
            core.ports().regions.follow(&table);
            core.update_service_table(now, table, false);
        }
        Input::Retire(done) => {
            core.shut_down(now);
            let _ = done.send(());
        }
        Input::Turn(turn) => turn(core, now),
    }
}
