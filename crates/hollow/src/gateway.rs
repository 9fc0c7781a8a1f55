//! A hollow gateway: the gateway's own copy of the register and its own allowance of units, and the calls that feed them.
//! It has no clients, no servers and no table; of a configuration it keeps the version alone.

use crate::spread::Spread;
use crate::traffic::{Ask, Channel, Kind};
use nickeljunction_messages::{
    path, Caller, ConfigLine, Elsewhere, GatewayLine, ServerLine, UnitsAnswer, UnitsCall, WatchAnswer,
};
use nickeljunction_net::wheel::Wheel;
use nickeljunction_quota::{Allowance, Limit, Spend, Tuning};
use nickeljunction_registry::Copy;
use serde::Deserialize;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::sync::Notify;

/// The times of a real gateway's link, ms: hold of a watch call, what its answer may take beyond, a counted add.
const HOLD_MS: u64 = 1_000;
const ANSWER_MS: f64 = 400.0;
const UNITS_MS: f64 = 300.0;
/// Pause before the next member is asked, where one doesn't lead, ms.
const AGAIN_MS: f64 = 100.0;
/// Counted adds are made in steps of so long, ms.
const STEP_MS: f64 = 20.0;

/// What all hollow gateways share.
pub struct Fleet {
    /// Timers.
    pub wheel: Wheel,
    /// Where core members take inner calls.
    pub core: Vec<SocketAddr>,
    /// Units of tenants by the document.
    pub limits: BTreeMap<String, Limit>,
    /// Window of the quotas, ms.
    pub window_ms: u64,
    /// Gateways serve the directory, too: they are told the list of all gateways.
    pub directory: bool,
    /// How changes spread.
    pub spread: RefCell<Spread>,
    /// Counted adds so far.
    pub adds: RefCell<Adds>,
}

/// What became of counted adds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Adds {
    /// Spent.
    pub spent: u64,
    /// Refused.
    pub refused: u64,
    /// Made to wait for units, for the moment or to the end.
    pub waited: u64,
}

/// See the module.
pub struct Gateway {
    fleet: Rc<Fleet>,
    channel: Channel,
    line: GatewayLine,
    life: u64,
    copy: RefCell<Copy>,
    allowance: RefCell<Allowance>,
    leader: Cell<Option<SocketAddr>>,
    low: Notify,
}

/// The part of a watch answer that a hollow gateway takes: of the configuration, the version alone.
#[derive(Deserialize)]
struct Taken {
    term: u64,
    seq: u64,
    age_ms: u64,
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    config: Option<Version>,
    #[serde(default)]
    change: Option<Version>,
    #[serde(default)]
    evacuated: Option<Vec<String>>,
    #[serde(default)]
    servers: Vec<ServerLine>,
    #[serde(default)]
    gone: Vec<String>,
    #[serde(default)]
    gateways: Option<u32>,
    #[serde(default)]
    core: Option<Vec<String>>,
    #[serde(default)]
    roster: Option<Vec<GatewayLine>>,
}

#[derive(Deserialize)]
struct Version {
    version: u64,
}

impl From<Taken> for WatchAnswer {
    fn from(taken: Taken) -> WatchAnswer {
        let Taken {
            term,
            seq,
            age_ms,
            whole,
            config,
            change,
            evacuated,
            servers,
            gone,
            gateways,
            core,
            roster,
        } = taken;
        let newest = config.or(change);
        let config = newest.map(|newest| Rc::new(ConfigLine { version: newest.version, doc: Value::Null }));
        WatchAnswer {
            term,
            seq,
            age_ms,
            whole,
            config,
            evacuated,
            servers,
            gone,
            gateways,
            core,
            roster,
            ..WatchAnswer::default()
        }
    }
}

/// Reads a watch answer without keeping the document in it.
///
/// # Errors
/// It isn't one.
pub fn read_answer(body: &[u8]) -> serde_json::Result<WatchAnswer> {
    serde_json::from_slice::<Taken>(body).map(WatchAnswer::from)
}

impl Gateway {
    /// One that knows only where the core is.
    pub fn new(fleet: &Rc<Fleet>, channel: Channel, line: GatewayLine, life: u64) -> Rc<Gateway> {
        let now = fleet.wheel.now() as u64;
        let allowance = Allowance::new(now, line.name.clone(), life, Tuning::new(fleet.window_ms));
        Rc::new(Gateway {
            fleet: fleet.clone(),
            channel,
            line,
            life,
            copy: RefCell::new(Copy::new()),
            allowance: RefCell::new(allowance),
            leader: Cell::new(None),
            low: Notify::new(),
        })
    }

    /// Version of its configuration; 0: none.
    pub fn version(&self) -> u64 {
        self.copy.borrow().catalog().version()
    }

    /// Servers that it knows.
    pub fn servers(&self) -> usize {
        self.copy.borrow().catalog().servers.len()
    }

    /// Watches the leader for as long as it is polled.
    pub async fn watch(self: Rc<Self>) {
        let mut turn = self.life as usize % self.fleet.core.len();
        loop {
            let (to, hold) = match self.leader.get() {
                Some(leader) => (leader, HOLD_MS),
                None => (self.fleet.core[turn], 0),
            };
            match self.ask(to, hold).await {
                Ok(()) => self.leader.set(Some(to)),
                Err(points_to) => {
                    self.leader.set(points_to);
                    turn = (turn + 1) % self.fleet.core.len();
                    self.fleet.wheel.sleep(AGAIN_MS).await;
                }
            }
        }
    }

    /// Asks a member for what is new; the error: who leads instead, where it knows.
    async fn ask(&self, to: SocketAddr, hold_ms: u64) -> Result<(), Option<SocketAddr>> {
        let line = GatewayLine { ready: self.version() > 0, ..self.line.clone() };
        let mut call =
            self.copy.borrow().ask(Caller::Gateway, &self.line.name, self.life, Some(line), hold_ms);
        call.directory = self.fleet.directory;
        let body = serde_json::to_vec(&call).map_err(|_| None)?;
        let timeout_ms = hold_ms as f64 + ANSWER_MS;
        let ask = Ask { method: "POST", path: path::WATCH, headers: &[], body: &body, timeout_ms };
        let reply = self.channel.call(Kind::Watch, to, ask).await.map_err(|_| None)?;
        if reply.status != 200 {
            let elsewhere = serde_json::from_slice::<Elsewhere>(&reply.body).ok();
            let host = elsewhere.and_then(|elsewhere| elsewhere.leader?.parse::<IpAddr>().ok());
            return Err(host.map(|host| SocketAddr::new(host, to.port())));
        }
        self.learn(read_answer(&reply.body).map_err(|_| None)?).map_err(|()| None)
    }

    fn learn(&self, answer: WatchAnswer) -> Result<(), ()> {
        let before = self.version();
        let applied = self.copy.borrow_mut().apply(answer).map_err(|_| ())?;
        let now = self.fleet.wheel.now();
        if applied.leader {
            let term = self.copy.borrow().term();
            self.allowance.borrow_mut().moved(now as u64, term);
            self.low.notify_one();
        }
        if applied.config {
            self.fleet.spread.borrow_mut().arrived(before, self.version(), now);
            // All documents of a run have the same tenants.
            if before == 0 {
                self.allowance.borrow_mut().known(now as u64, &self.fleet.limits);
                self.low.notify_one();
            }
        }
        Ok(())
    }

    /// Makes the calls for units that are due, for as long as it is polled.
    pub async fn count(self: Rc<Self>) {
        let wheel = &self.fleet.wheel;
        loop {
            let call = self.allowance.borrow_mut().poll(wheel.now() as u64);
            let Some(call) = call else {
                let wake = self.allowance.borrow().next_wake().map_or(f64::INFINITY, |wake| wake as f64);
                tokio::select! {
                    () = self.low.notified() => {}
                    () = wheel.sleep_until(wake.min(wheel.now() + 60_000.0)) => {}
                }
                continue;
            };
            let answer = self.add(&call).await;
            let now = wheel.now() as u64;
            match answer {
                Some(answer) => self.allowance.borrow_mut().answered(now, &answer),
                None => self.allowance.borrow_mut().failed(now),
            }
        }
    }

    async fn add(&self, call: &UnitsCall) -> Option<UnitsAnswer> {
        let to = self.leader.get()?;
        let body = serde_json::to_vec(call).ok()?;
        let ask = Ask { method: "POST", path: path::UNITS, headers: &[], body: &body, timeout_ms: UNITS_MS };
        let reply = self.channel.call(Kind::Units, to, ask).await.ok()?;
        (reply.status == 200).then(|| serde_json::from_slice(&reply.body).ok())?
    }

    /// Spends units as requests of tenants would, `per_s` a second, for as long as it is polled.
    pub async fn spend(self: Rc<Self>, per_s: f64) {
        let names: Vec<&String> = self.fleet.limits.keys().collect();
        if names.is_empty() || per_s <= 0.0 {
            return;
        }
        let (wheel, mut dice) = (&self.fleet.wheel, fastrand::Rng::with_seed(self.life));
        let (mut due, mut last) = (0.0, wheel.now());
        loop {
            wheel.sleep(STEP_MS).await;
            if self.version() == 0 {
                last = wheel.now();
                continue;
            }
            let now = wheel.now();
            due += (now - last) / 1_000.0 * per_s;
            last = now;
            while due >= 1.0 {
                due -= 1.0;
                self.one(now as u64, names[dice.usize(..names.len())]);
            }
            if self.allowance.borrow().next_wake().is_some_and(|wake| wake as f64 <= now) {
                self.low.notify_one();
            }
        }
    }

    fn one(&self, now: u64, tenant: &str) {
        let spend = self.allowance.borrow_mut().spend(now, tenant);
        let mut adds = self.fleet.adds.borrow_mut();
        match spend {
            Spend::Done { .. } => adds.spent += 1,
            Spend::Refused { .. } => adds.refused += 1,
            Spend::Wait => adds.waited += 1,
        }
    }
}
