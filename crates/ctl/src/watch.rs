//! What changes in the system, one line each: asks again and again and tells the difference.

use crate::standing::{Doubt, Known, Life, Standing};
use crate::status;
use crate::tour::Tour;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::time::{Duration, Instant};

/// Something that changed.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// What, as one word.
    pub kind: &'static str,
    /// Who.
    pub who: String,
    /// As it is now.
    pub now: String,
}

/// Doubts that events of their own tell of.
const TOLD_OTHERWISE: [&str; 5] =
    ["no_leader", "gateway_away", "gateway_not_ready", "gateway_unheard", "server_silent"];

/// How often, and how long.
pub struct Pace {
    /// Between the beginnings of two looks.
    pub every: Duration,
    /// The whole; `None`: until interrupted.
    pub length: Option<Duration>,
}

/// What the second picture has that the first has not; the second as [`carried`] gives it.
pub fn events(before: &Standing, after: &Standing) -> Vec<Event> {
    let mut events = Vec::new();
    let mut tell = |kind, who: &str, now: String| events.push(Event { kind, who: who.to_string(), now });
    let nobody = Known::default();
    let (old, new) = (before.known.as_ref().unwrap_or(&nobody), after.known.as_ref().unwrap_or(&nobody));
    if (&old.leader, old.term) != (&new.leader, new.term) {
        match new.leader.is_empty() {
            true => tell("leader", "control", "nobody leads".into()),
            false => tell("leader", &new.leader, format!("leads in term {}", new.term)),
        }
    }
    differences(old, new, &mut tell);
    doubts(before, after, &mut tell);
    events
}

fn differences(old: &Known, new: &Known, tell: &mut impl FnMut(&'static str, &str, String)) {
    // Gateways that come with it or go without it change nothing about how far it is.
    let lack = |known: &Known| {
        let (has, there) = known.reached();
        (known.version, there - has)
    };
    if lack(old) != lack(new) && new.version > 0 {
        let (has, there) = new.reached();
        tell("version", &new.version.to_string(), format!("reached {has} of {there} gateways"));
    }
    for (name, gateway) in &new.gateways {
        let state = |gateway: &crate::standing::Gateway| match gateway.away_ms {
            Some(_) => "away",
            None if gateway.ready => "ready",
            None => "there, not ready",
        };
        match old.gateways.get(name) {
            None => tell("gateway", name, format!("came, {}", state(gateway))),
            Some(known) if state(known) != state(gateway) => tell("gateway", name, state(gateway).into()),
            Some(_) => (),
        }
    }
    for name in old.gateways.keys().filter(|name| !new.gateways.contains_key(*name)) {
        tell("gateway", name, "went".into());
    }
    let place = |life: &Life| format!("{} in {}", life.service, life.zone);
    for (id, life) in &new.lives {
        match old.lives.get(id) {
            None => tell("server", id, format!("came, {}, {}", life.state(), place(life))),
            Some(known) if known.state() != life.state() => {
                tell("server", id, format!("{}, {}", life.state(), place(life)));
            }
            Some(_) => (),
        }
    }
    for (id, life) in old.lives.iter().filter(|(id, _)| !new.lives.contains_key(*id)) {
        tell("server", id, format!("went, {}", place(life)));
    }
    for zone in new.evacuated.difference(&old.evacuated) {
        tell("zone", zone, "evacuated".into());
    }
    for zone in old.evacuated.difference(&new.evacuated) {
        tell("zone", zone, "taken back".into());
    }
}

fn doubts(before: &Standing, after: &Standing, tell: &mut impl FnMut(&'static str, &str, String)) {
    let list = |standing: &Standing| -> BTreeMap<(&'static str, String), Doubt> {
        let doubts = standing.doubts().into_iter();
        let doubts = doubts.filter(|doubt| !TOLD_OTHERWISE.contains(&doubt.what));
        doubts.map(|doubt| ((doubt.what, doubt.who.clone()), doubt)).collect()
    };
    let (old, new) = (list(before), list(after));
    for (key, doubt) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
        tell("doubt", &key.1, doubt.state());
    }
    for key in old.keys().filter(|key| !new.contains_key(*key)) {
        tell("doubt", &key.1, format!("{} no more", key.0.replace('_', " ")));
    }
}

/// The picture with what `before` knew where this one can't know it: nobody leads (then the leader has no name), or the
/// leader still gathers servers.
pub fn carried(before: &Standing, after: Standing) -> Standing {
    let mut whole = after;
    let Some(old) = &before.known else { return whole };
    match &mut whole.known {
        None => whole.known = Some(Known { leader: String::new(), term: 0, ..old.clone() }),
        Some(new) if new.gathering => {
            for (id, life) in &old.lives {
                new.lives.entry(id.clone()).or_insert_with(|| life.clone());
            }
        }
        Some(_) => (),
    }
    whole
}

/// The first picture, in one event, and its doubts.
pub fn begin(first: &Standing) -> Vec<Event> {
    let mut now = "nobody leads".to_string();
    if let Some(known) = &first.known {
        let (has, there) = known.reached();
        now = format!("{} leads in term {}, version {} ", known.leader, known.term, known.version);
        now += &format!("reached {has} of {there} gateways, servers: {}", known.lives.len());
    }
    let begun = Event { kind: "begin", who: "control".into(), now };
    let doubt = |doubt: Doubt| Event { kind: "doubt", who: doubt.who.clone(), now: doubt.state() };
    [begun].into_iter().chain(first.doubts().into_iter().map(doubt)).collect()
}

/// Tells each change until the time is over or nobody reads any more.
///
/// # Errors
/// Nobody reads what is told.
pub fn run(tour: &Tour, pace: &Pace, json: bool, out: &mut dyn Write) -> io::Result<()> {
    let start = Instant::now();
    let mut before: Option<Standing> = None;
    loop {
        let asked = Instant::now();
        let lines = status::ask(&tour.addresses, tour.silence, asked + tour.silence * 2);
        let at_s = start.elapsed().as_secs_f64();
        let seen = Standing::of(&lines);
        let (seen, told) = match &before {
            None => {
                let told = begin(&seen);
                (seen, told)
            }
            Some(before) => {
                let seen = carried(before, seen);
                let told = events(before, &seen);
                (seen, told)
            }
        };
        for event in told {
            say(out, json, at_s, &event)?;
        }
        before = Some(seen);
        let next = asked + pace.every;
        if pace.length.is_some_and(|length| next >= start + length) {
            return Ok(());
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn say(out: &mut dyn Write, json: bool, at_s: f64, event: &Event) -> io::Result<()> {
    let Event { kind, who, now } = event;
    if json {
        let at_s = (at_s * 1_000.0).round() / 1_000.0;
        let told: Value = json!({"at_s": at_s, "event": kind, "who": who, "now": now});
        writeln!(out, "{told}")?;
    } else {
        writeln!(out, "{at_s:8.1} s  {kind} {who}: {now}")?;
    }
    out.flush()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::standing::tests::{line, well};

    fn told(before: &Standing, after: &Standing) -> Vec<String> {
        let events = events(before, after);
        events.iter().map(|event| format!("{} {}: {}", event.kind, event.who, event.now)).collect()
    }

    #[test]
    fn each_change_is_one_event_and_none_is_told_without_one() {
        let before = Standing::of(&[line("a:1", well())]);
        assert_eq!(told(&before, &before), [""; 0]);
        type Change = Box<dyn Fn(&mut Value)>;
        let cases: [(Change, &[&str]); 9] = [
            (Box::new(|a| a["term"] = 3.into()), &["leader core-1: leads in term 3"]),
            (
                Box::new(|a| (a["config_version"], a["config_age_ms"]) = (5.into(), 10.into())),
                &["version 5: reached 0 of 2 gateways"],
            ),
            (Box::new(|a| a["gateways"][0]["away_ms"] = 700.into()), &["gateway e1: away"]),
            (Box::new(|a| a["gateways"][1]["ready"] = false.into()), &["gateway e2: there, not ready"]),
            (Box::new(|a| a["lives"][0]["state"] = "draining".into()), &["server s-1: draining, b in n"]),
            (Box::new(|a| a["lives"][0]["silent_ms"] = 5_000.into()), &["server s-1: silent, b in n"]),
            (
                Box::new(|a| a["lives"][0]["id"] = "s-2".into()),
                &["server s-2: came, in service, b in n", "server s-1: went, b in n"],
            ),
            (Box::new(|a| a["evacuated"] = json!(["n"])), &["zone n: evacuated"]),
            (Box::new(|a| a["disk_sick"] = true.into()), &["doubt core-1: disk sick"]),
        ];
        for (change, wanted) in cases {
            let mut leader = well();
            change(&mut leader);
            let after = Standing::of(&[line("a:1", leader)]);
            assert_eq!(told(&before, &after), wanted);
        }
        let mut sick = well();
        sick["disk_sick"] = true.into();
        assert_eq!(told(&Standing::of(&[line("a:1", sick)]), &before), ["doubt core-1: disk sick no more"]);
    }

    #[test]
    fn a_time_without_a_leader_and_a_new_one_that_gathers_take_no_server_away() {
        let before = Standing::of(&[line("a:1", well())]);
        let mut lost = well();
        (lost["leads"], lost["leader"]) = (false.into(), Value::Null);
        let without = carried(&before, Standing::of(&[line("a:1", lost)]));
        assert_eq!(told(&before, &without), ["leader control: nobody leads"]);
        assert_eq!(told(&without, &before), ["leader core-1: leads in term 2"]);
        let mut gathers = well();
        (gathers["gathering"], gathers["lives"]) = (true.into(), json!([]));
        let after = carried(&before, Standing::of(&[line("a:1", gathers)]));
        let wanted = ["doubt core-1: servers gathering (its table may lack some)"];
        assert_eq!(told(&before, &after), wanted);
        let first = begin(&after).into_iter().map(|event| event.now).collect::<Vec<_>>();
        let wanted = "core-1 leads in term 2, version 3 reached 2 of 2 gateways, servers: 1";
        assert_eq!(first, [wanted, "servers gathering (its table may lack some)"]);
    }
}
