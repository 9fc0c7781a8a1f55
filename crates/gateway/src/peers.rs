//! Drives the view of the fleet: one UDP socket, its datagrams into [`Membership`] and its own out, bounded work a turn.
//! Nothing is decided here. Off, and without a socket, unless the operators' document has `daemon.fleet`.

use crate::config::{Config, Peers as Told};
use nickeljunction_config::document::FleetView;
use nickeljunction_fleet::{Cause, DropReason, MemberState, Membership, RosterEntry, MAX_DATAGRAM_BYTES};
use nickeljunction_net::wheel::Wheel;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Datagrams that are read before requests have their turn again.
const BATCH: usize = 16;
/// Changes that are kept for `nickeljunction fleet status`.
const KEPT: usize = 64;

/// The view of the fleet and its socket.
pub struct Peers {
    fleet: RefCell<Membership>,
    /// The latest changes, each with its number.
    recent: RefCell<VecDeque<Value>>,
    told: Cell<u64>,
    socket: UdpSocket,
    addresses: HashMap<u16, SocketAddr>,
    numbers: HashMap<SocketAddr, u16>,
    wheel: Wheel,
    /// Wakes the task when something was told to the machine from elsewhere.
    stir: tokio::sync::Notify,
}

fn fail(key: &str, why: &str) -> String {
    format!("daemon.fleet{key}: {why}")
}

/// The roster and the address to listen on, out of the document's section and the platform's configuration.
///
/// # Errors
/// A line naming the key, and what is wanted there.
fn roster(section: &FleetView, told: &Told, me: usize) -> Result<(Vec<RosterEntry>, SocketAddr), String> {
    if told.may_tell == Some(false) {
        return Err(fail(
            "",
            "the settings' Permissions.MayTell is false: no messages between gateways here",
        ));
    }
    let named = |key: &str, text: &str| {
        text.parse::<SocketAddr>()
            .map_err(|_| fail(key, &format!("'{text}' is no address with a port such as 10.0.0.4:7946")))
    };
    let mut roster = Vec::new();
    for (at, member) in section.members.iter().enumerate() {
        let address = Some(named(&format!(".members[{at}].address"), &member.address)?);
        let name = if member.name.is_empty() { format!("n{}", member.number) } else { member.name.clone() };
        let number = member.number as u16;
        roster.push(RosterEntry { number, name, address, zone: member.zone.clone() });
    }
    if section.members.is_empty() {
        for (number, address) in told.addresses.iter().enumerate() {
            let (number, name) = (number as u16, format!("n{number}"));
            roster.push(RosterEntry { number, name, address: Some(*address), zone: String::new() });
        }
    }
    let own = roster.iter().find(|place| usize::from(place.number) == me).and_then(|place| place.address);
    let Some(own) = own else {
        let wanted =
            format!("number {me} (settings.Me) is not among them: all gateways, this one too, are wanted");
        return Err(fail(".members", &wanted));
    };
    let listen = match &section.listen {
        Some(text) => named(".listen", text)?,
        None => told.listen.unwrap_or(own),
    };
    let mut seen = HashMap::new();
    for place in &roster {
        let twice = place.address.and_then(|address| seen.insert(address, place.number));
        if let Some(other) = twice {
            let why = format!(
                "gateways {other} and {} have one address: senders are known by theirs",
                place.number
            );
            return Err(fail(".members", &why));
        }
    }
    Ok((roster, listen))
}

impl Peers {
    /// Binds the socket and makes the machine.
    ///
    /// # Errors
    /// A line naming the key at fault and what is wanted, or the address that can't be had.
    pub fn start(
        section: &FleetView,
        config: &Config,
        wheel: Wheel,
        epoch: u32,
    ) -> Result<Rc<Peers>, String> {
        let (roster, listen) = roster(section, &config.peers, config.settings.gateway_index)?;
        let mail_per_s =
            section.mail_per_s.or(Some(config.peers.mail_per_s).filter(|mail| *mail > 0.0)).unwrap_or(100.0);
        let addresses: HashMap<u16, SocketAddr> =
            roster.iter().filter_map(|place| Some((place.number, place.address?))).collect();
        let numbers = addresses.iter().map(|(number, address)| (*address, *number)).collect();
        let me = config.settings.gateway_index as u16;
        // The configuration's seed may be the same at each start on installations of our own.
        let seed = config.seed ^ wheel.now().to_bits() ^ u64::from(std::process::id()) << 40;
        let config = nickeljunction_fleet::Config {
            own_number: me,
            roster,
            max_received_per_s: mail_per_s,
            epoch,
            seed,
        };
        let fleet = Membership::new(config, wheel.now()).map_err(|why| fail(".members", &why.to_string()))?;
        let bind = || {
            let socket = std::net::UdpSocket::bind(listen)?;
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        };
        let socket = bind().map_err(|why: std::io::Error| fail(".listen", &format!("{listen}: {why}")))?;
        let bound = socket.local_addr().unwrap_or(listen);
        tracing::info!(members = addresses.len(), peer_listen = %bound, "view of the fleet");
        Ok(Rc::new(Peers {
            fleet: RefCell::new(fleet),
            recent: RefCell::default(),
            told: Cell::new(0),
            socket,
            addresses,
            numbers,
            wheel,
            stir: tokio::sync::Notify::new(),
        }))
    }

    /// Keeps the view for as long as it is polled.
    pub async fn run(self: Rc<Self>) {
        // One byte more than a datagram may have: a longer one shows by filling it.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            self.flush();
            let due = self.fleet.borrow().next_tick();
            tokio::select! {
                biased;
                () = self.wheel.sleep_until(due) => self.fleet.borrow_mut().tick(self.wheel.now()),
                () = self.stir.notified() => {}
                ready = self.socket.readable() => {
                    if ready.is_err() {
                        self.wheel.sleep(20.0).await;
                        continue;
                    }
                    for _ in 0..BATCH {
                        // A socket tells here that an earlier datagram found nobody: no news to a view of the fleet.
                        let Ok((length, from)) = self.socket.try_recv_from(&mut buffer) else { break };
                        let mut fleet = self.fleet.borrow_mut();
                        match self.numbers.get(&from) {
                            Some(number) => fleet.receive(self.wheel.now(), *number, &buffer[..length]),
                            None => fleet.count_unknown_sender(),
                        }
                    }
                }
            }
            // A flood of datagrams must not hold up requests: theirs is the next turn.
            tokio::task::yield_now().await;
        }
    }

    /// Sends what is to be sent, and tells what changed.
    fn flush(&self) {
        let mut fleet = self.fleet.borrow_mut();
        while let Some((to, bytes)) = fleet.next_datagram() {
            if let Some(address) = self.addresses.get(&to) {
                // A full socket loses a datagram, as the network may.
                let _ = self.socket.try_send_to(&bytes, *address);
            }
        }
        while let Some(change) = fleet.next_change() {
            let view = fleet.view();
            let name = view.index_of(change.number).map_or("", |at| &view.roster_entry(at).name);
            let cause = cause(change.cause);
            let (member, from, to) = (change.number, change.from.name(), change.to.name());
            match change.cause {
                Cause::DuplicateNumber
                | Cause::YieldedNumber
                | Cause::ClockWentBackwards
                | Cause::Hung(_) => {
                    tracing::warn!(member, name, from, to, cause, "fleet");
                }
                _ => tracing::info!(member, name, from, to, cause, "fleet"),
            }
            let mut recent = self.recent.borrow_mut();
            if recent.len() >= KEPT {
                recent.pop_front();
            }
            self.told.set(self.told.get() + 1);
            recent.push_back(json!({
                "nr": self.told.get(), "at": change.at_ms, "member": member, "name": name, "from": from, "to": to,
                "cause": cause,
            }));
        }
    }

    fn tell(&self, what: impl FnOnce(&mut Membership, f64)) {
        what(&mut self.fleet.borrow_mut(), self.wheel.now());
        self.flush();
        self.stir.notify_one();
    }

    /// This gateway leaves: it drains or stops.
    pub fn leave(&self) {
        self.tell(|fleet, now| fleet.leave(now));
    }

    /// It does not leave after all.
    pub fn stay(&self) {
        self.tell(|fleet, now| fleet.cancel_leave(now));
    }

    /// Another document is in force.
    pub fn set_epoch(&self, epoch: u32) {
        self.tell(|fleet, now| fleet.set_epoch(now, epoch));
    }

    /// With how many gateways this one has to reckon at a service that all share: one over its part.
    pub fn gateways(&self) -> f64 {
        let fleet = self.fleet.borrow();
        let part = fleet.share(self.wheel.now());
        // One that yields its number has no part; it goes on as the least of all.
        if part > 0.0 {
            1.0 / part
        } else {
            2.0 * fleet.view().len() as f64
        }
    }

    /// All that is known, for operators.
    pub fn status(&self) -> Value {
        let now = self.wheel.now();
        let fleet = self.fleet.borrow();
        let view = fleet.view();
        let (doubt, counts) = (fleet.live_estimate(), fleet.counts());
        let ago = |at: f64| at.is_finite().then(|| ((now - at) / 1_000.0).max(0.0));
        let members: Vec<Value> = view
            .members()
            .map(|(place, member)| {
                json!({
                    "number": place.number, "name": place.name, "zone": place.zone,
                    "address": place.address.map(|address| address.to_string()),
                    "state": member.state.name(), "incarnation": member.incarnation, "epoch": member.epoch,
                    "since_s": ago(member.since_ms), "heard_s": ago(member.last_received_ms),
                })
            })
            .collect();
        let dropped: serde_json::Map<String, Value> =
            DropReason::ALL.iter().map(|why| (why.name().to_string(), json!(counts.dropped(*why)))).collect();
        let states = [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Leaving,
            MemberState::Gone,
            MemberState::Unknown,
        ];
        let states: serde_json::Map<String, Value> =
            states.iter().map(|state| (state.name().to_string(), json!(view.count(*state)))).collect();
        json!({
            "me": fleet.own_number(), "digest": format!("{:016x}", view.digest()),
            "quiet_s": ((now - view.last_change_ms()) / 1_000.0).max(0.0),
            "in_doubt": fleet.is_uncertain(),
            "live": {"least": doubt.min, "likely": doubt.likely, "most": doubt.max},
            "part": fleet.share(now), "pool_split": fleet.pool_divisor(now), "yielded": fleet.has_yielded(),
            "health": fleet.local_health(), "states": states, "members": members,
            "sent": counts.sent, "sent_bytes": counts.sent_bytes, "received": counts.received,
            "held_back": counts.rate_limited, "dropped": dropped,
            "suspected": counts.suspected, "wrongly_gone": counts.false_positives, "taken_back": counts.refuted,
            "recent": *self.recent.borrow(),
        })
    }

    /// Figures in the line form of statsd, beside those of [`crate::figures`].
    pub fn figures(&self) -> String {
        use std::fmt::Write;
        let fleet = self.fleet.borrow();
        let (view, counts, doubt) = (fleet.view(), fleet.counts(), fleet.live_estimate());
        let mut text = String::new();
        for state in [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Leaving,
            MemberState::Gone,
            MemberState::Unknown,
        ] {
            let _ = writeln!(text, "app.fleet.{}:{}|g", state.name(), view.count(state));
        }
        for (name, value) in [("least", doubt.min), ("likely", doubt.likely), ("most", doubt.max)] {
            let _ = writeln!(text, "app.fleet.live_{name}:{value}|g");
        }
        for (name, value) in [
            ("sent", counts.sent),
            ("received", counts.received),
            ("held_back", counts.rate_limited),
            ("wrongly_gone", counts.false_positives),
            ("taken_back", counts.refuted),
        ] {
            let _ = writeln!(text, "app.fleet.{name}:{value}|c");
        }
        for why in DropReason::ALL {
            let _ = writeln!(text, "app.fleet.dropped_{}:{}|c", why.name(), counts.dropped(why));
        }
        text
    }
}

fn cause(cause: Cause) -> String {
    match cause {
        Cause::DatagramReceived => "heard from it".into(),
        Cause::ReportedBy(by) => format!("told by {by}"),
        Cause::ProbeFailed => "no answer, nor through helpers".into(),
        Cause::SuspicionTimedOut => "suspected and silent for too long".into(),
        Cause::LocalEvent => "own doing".into(),
        Cause::Refuted(by) => format!("was held otherwise by {by}, taken back"),
        Cause::ClockWentBackwards => "an earlier life had a clock ahead of this one".into(),
        Cause::DuplicateNumber => {
            "another process claims this number: two gateways are configured alike".into()
        }
        Cause::YieldedNumber => {
            "another process claims this number and stays: this one says nothing more of itself".into()
        }
        Cause::Hung(ms) => format!("this process did nothing for {ms} ms"),
    }
}
