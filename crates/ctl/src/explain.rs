//! Why a request goes where it goes: the gateways' own table asked step by step, and the leader's servers weighed. Pure.

use crate::standing::{Known, Life};
use crate::status::table;
use nickeljunction_messages::{ServerInfo, ServerState};
use nickeljunction_registry::{send_block, SendBlock};
use nickeljunction_routing::{distance, priority, region_allowed, RouteMatch, Table, Tenant};
use nickeljunction_schema::Config;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Label of routes that were not taken.
const PASSED: &str = "passed";

/// A request, as a client would send it.
pub struct Ask {
    /// Its method, for the reader only: routes don't go by it.
    pub method: String,
    /// Its `Host`.
    pub host: String,
    /// Its path, without its query.
    pub path: String,
    /// Its key.
    pub key: Option<String>,
    /// Zone of the gateway that takes it.
    pub from: Option<String>,
}

/// What becomes of a request.
#[derive(Default)]
pub struct Explained {
    /// Label, text and figures of each step, in order.
    notes: Vec<(&'static str, String, Value)>,
    /// Candidates: id, service, zone, region, state, and why.
    servers: Vec<[String; 6]>,
    /// The gateway's own answer where no server is asked: status and error.
    refused: Option<(u16, &'static str)>,
}

impl Explained {
    /// A line for each step, and a table of servers.
    pub fn as_text(&self) -> String {
        let mut text = String::new();
        for (label, line, _) in &self.notes {
            text += &format!("{label:9} {line}\n");
        }
        if self.servers.is_empty() {
            return text;
        }
        let heads = ["SERVER", "SERVICE", "ZONE", "REGION", "STATE", "TAKEN"].map(String::from);
        let rows: Vec<_> = [heads].into_iter().chain(self.servers.iter().cloned()).collect();
        text + "\n" + &table(&rows)
    }

    /// The steps by their labels, `passed` (routes that were not taken, and why), `servers`, and `answer`, which is null where a server is asked.
    pub fn as_json(&self) -> Value {
        let (mut told, mut passed) = (json!({"ok": true}), Vec::new());
        for (label, line, figures) in &self.notes {
            match *label {
                // The only one that comes more than once.
                PASSED => passed.push(line.as_str()),
                label => told[label] = if figures.is_null() { line.as_str().into() } else { figures.clone() },
            }
        }
        told[PASSED] = passed.into();
        let server = |[id, service, zone, region, state, taken]: &[String; 6]| json!({"id": id, "service": service, "zone": zone, "region": region, "state": state, "taken": taken});
        told["servers"] = self.servers.iter().map(server).collect();
        let answer = |(status, error): (u16, &str)| json!({"status": status, "error": error});
        told["answer"] = self.refused.map_or(Value::Null, answer);
        told
    }

    fn note(&mut self, label: &'static str, text: String, figures: Value) {
        self.notes.push((label, text, figures));
    }

    fn refuse(mut self, status: u16, error: &'static str) -> Explained {
        self.note("answer", format!("{status}, the gateway's own: {error}"), Value::Null);
        self.refused = Some((status, error));
        self
    }
}

/// Asks the table of `config` as a gateway does, then weighs the servers that the leader knows.
pub fn explain(config: &Config, known: &Known, ask: &Ask) -> Explained {
    let (compiled, mut told) = (Table::of(config), Explained::default());
    told.note("request", format!("{} {}{}", ask.method, ask.host, ask.path), Value::Null);
    // Gateways that lag answer by another one.
    let (has, there) = known.having(compiled.version);
    let text = format!("{}, in force at {has} of {there} gateways", compiled.version);
    told.note(
        "version",
        text,
        json!({"version": compiled.version, "gateways": has, "gateways_there": there}),
    );
    let found = compiled.find(&ask.host, &ask.path);
    let name = match &found {
        RouteMatch::Route(route) => route.name.to_string(),
        _ => String::new(),
    };
    let name = &name[..];
    for (prefix, route) in compiled.candidates(&ask.host) {
        let why = match ask.path.starts_with(prefix) {
            _ if &*route.name == name => continue,
            true => "begins the path, too, and is shorter",
            false => "does not begin the path",
        };
        told.note(PASSED, format!("{}: {prefix:?} {why}", route.name), Value::Null);
    }
    let passed = told.notes.split_off(2);
    let RouteMatch::Route(route) = found else {
        told.note("route", "none".into(), Value::Null);
        told.notes.extend(passed);
        return told.refuse(404, "no such route");
    };
    let raw = config.routes.get(name);
    let prefix = raw.map_or("", |raw| &raw.path_prefix);
    let figures = json!({"name": name, "path_prefix": prefix});
    told.note("route", format!("{name}: {prefix:?} is the longest prefix that begins the path"), figures);
    told.notes.extend(passed);
    let repeats = match (route.repeatable, route.max_attempts) {
        (true, 1) => "none: max_attempts is 1".to_string(),
        (true, most) => format!("up to {most} servers for one try, within the budget"),
        (false, most) => format!("none once it may have run; up to {most} servers while none has begun it"),
    };
    told.note(
        "repeats",
        repeats,
        json!({"repeatable": route.repeatable, "max_attempts": route.max_attempts}),
    );
    let text = format!("held for {} ms at most, aim {} ms", route.timeout_ms, route.aim_ms);
    told.note("time", text, json!({"timeout_ms": route.timeout_ms, "aim_ms": route.aim_ms}));
    let mut tenant = None;
    if compiled.requires_key(&route) {
        tenant = ask.key.as_deref().and_then(|key| compiled.tenant_by_key(key).cloned());
        let text = match (&ask.key, &tenant) {
            (None, _) => "wanted, none given".to_string(),
            (Some(_), None) => "wanted; the one given is unknown".to_string(),
            (Some(_), Some(tenant)) => format!("wanted; the one given is one of {}'s", tenant.name),
        };
        told.note("key", text, Value::Null);
        if tenant.is_none() {
            let error = if ask.key.is_some() { "unknown key" } else { "no key" };
            return told.refuse(401, error);
        }
    } else {
        told.note("key", "not wanted, and not looked at".into(), Value::Null);
    }
    told.tenant(config, known, &tenant);
    let rank = priority(&route, tenant.as_deref());
    told.note("priority", format!("{rank} (0 is highest)"), rank.into());
    let some = |homes: &[String]| if homes.is_empty() { "any".to_string() } else { homes.join(", ") };
    let own = raw.map_or(&[][..], |raw| &raw.home_regions);
    let holder = tenant.as_ref().and_then(|tenant| config.tenants.get(&*tenant.name));
    let tenants = holder.map_or(&[][..], |tenant| &tenant.home_regions);
    let homes = compiled.homes(&route, tenant.as_deref());
    let both = homes.as_deref().map_or("none".to_string(), some);
    let text = format!("of the route: {}; of the tenant: {}; both bind: {both}", some(own), some(tenants));
    told.note("homes", text, json!({"route": own, "tenant": tenants, "both": homes.as_deref()}));
    let Some(homes) = homes else {
        return told.refuse(503, "route and tenant share no home region");
    };
    let parts: BTreeMap<&str, f64> = route.parts().collect();
    let text = parts.iter().map(|(service, part)| format!("{service} {:.1}%", part * 100.0));
    told.note("services", text.collect::<Vec<_>>().join(", "), json!(parts));
    told.weigh(known, &parts, &homes, ask.from.as_deref());
    told
}

impl Explained {
    fn tenant(&mut self, config: &Config, known: &Known, tenant: &Option<Rc<Tenant>>) {
        let Some(name) = tenant.as_ref().map(|tenant| &*tenant.name) else { return };
        self.note("tenant", name.to_string(), Value::Null);
        let Some((rate, burst)) = config.tenants.get(name).and_then(|tenant| tenant.quota()) else {
            return self.note("quota", "none".into(), Value::Null);
        };
        let units = known.units.get(name).copied().unwrap_or_default();
        let text = format!(
            "{rate} a second and {burst} at once: {} in a window; in force now {}, of these held back {}",
            units.cap, units.used, units.held
        );
        let figures = json!({"rate_per_s": rate, "burst_size": burst, "cap": units.cap, "used": units.used,
            "held_back": units.held});
        self.note("quota", text, figures);
    }

    fn weigh(&mut self, known: &Known, parts: &BTreeMap<&str, f64>, homes: &[String], from: Option<&str>) {
        let lives = || known.lives.iter().filter(|(_, life)| parts.contains_key(&life.service[..]));
        let region = |zone: &str| known.zones.get(zone).map_or("", String::as_str);
        let here = from.map(|zone| (zone, region(zone)));
        let unbarred = |id: &str, life: &Life| match bar(known, id, life, here) {
            None => region_allowed(region(&life.zone), homes),
            Some(_) => false,
        };
        // A gateway leaves its region where that has no warm slot, or too few.
        let warm = |(id, life): &(&String, &Life)| unbarred(id, life) && life.permit.is_none();
        let own =
            lives().filter(warm).filter(|(_, life)| here.is_some_and(|here| region(&life.zone) == here.1));
        let own = own.count();
        let (mut rows, mut taken) = (Vec::new(), 0);
        for (id, life) in lives() {
            let there = region(&life.zone);
            let why = match (bar(known, id, life, here), here) {
                (Some(why), _) => format!("no: {why}"),
                (None, _) if !region_allowed(there, homes) => "no: its region is no home".into(),
                (None, here) => {
                    taken += 1;
                    let cold = if life.permit.is_some() { ", at the rate of a cold one" } else { "" };
                    let place = match here.map(|here| distance((&life.zone, there), here)) {
                        None => "",
                        Some(0) => ", in the gateway's zone",
                        Some(1) => ", in its region",
                        Some(_) if own > 0 => ", when the gateway's region is full: another one is dear",
                        Some(_) => ", for the gateway's region has none",
                    };
                    format!("yes{cold}{place}")
                }
            };
            let state = life.state().to_string();
            rows.push([id.clone(), life.service.clone(), life.zone.clone(), there.into(), state, why]);
        }
        rows.sort_by(|one, other| (&one[1], &one[2], &one[0]).cmp(&(&other[1], &other[2], &other[0])));
        self.servers = rows;
        let text = match taken {
            0 => "none may be asked now: 503 until one comes".to_string(),
            _ => format!(
                "{taken} of {} may be asked; the gateway takes the one of least wait and price",
                lives().count()
            ),
        };
        self.note("choice", text, json!({"may": taken, "known": lives().count()}));
    }
}

/// Why no gateway, or none of the zone `here`, sends to a server.
fn bar(known: &Known, id: &str, life: &Life, here: Option<(&str, &str)>) -> Option<String> {
    let line = ServerInfo {
        id: id.to_string(),
        backend: life.service.clone(),
        address: life.address.clone(),
        zone: life.zone.clone(),
        slots: life.slots as u32,
        state: if life.state == "draining" { ServerState::Draining } else { ServerState::InService },
        cold: life.permit.clone(),
    };
    let holder = life.permit.as_deref().unwrap_or_default();
    let holds = match (known.gateways.get(holder), here) {
        (Some(gateway), Some((zone, _))) => gateway.zone == zone,
        (gateway, _) => gateway.is_some(),
    };
    // The gateway is known by its zone alone: it may be the one that holds the permit.
    let gateway = if holds { holder } else { "-" };
    Some(match send_block(&line, gateway, |zone| known.evacuated.contains(zone))? {
        SendBlock::Draining => "it leaves".into(),
        SendBlock::Evacuated => "its zone is evacuated".into(),
        SendBlock::Cold(Some(holder)) => format!("cold, and only {holder} has the permit"),
        SendBlock::Cold(None) => "cold, and no gateway has the permit yet".into(),
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::standing::{tests, Standing};
    use nickeljunction_schema::Document;

    const KEY: &str = "secret-key-of-t";

    fn world() -> (Document, Known) {
        let document = json!({"config_version": 4, "backends": {"b": {}, "c": {}}, "routes": {
            "all": {"hostname": "h", "path_prefix": "/", "backend": "b", "no_auth": true},
            "deep": {"hostname": "h", "path_prefix": "/x/", "route_type": "idempotent", "max_attempts": 3,
                "home_regions": ["n", "s"], "traffic_split": [{"backend": "b", "weight": 3}, {"backend": "c", "weight": 1}]},
            "far": {"hostname": "h", "path_prefix": "/far/", "backend": "b", "home_regions": ["s"]}},
            "tenants": {"t": {"api_keys": [KEY], "rate_per_s": 2, "burst_size": 5, "home_regions": ["n"]}}});
        let mut told = tests::well();
        let life = |id: &str, zone: &str, state: &str, permit: Value| json!({"id": id, "service": "b", "zone": zone, "state": state, "permit": permit, "slots": 2});
        told["zones"] = json!({"n1": "n", "n2": "n", "s1": "s"});
        told["gateways"][0]["zone"] = "n1".into();
        told["evacuated"] = json!(["n2"]);
        told["lives"] = json!([
            life("near", "n1", "in_service", Value::Null),
            life("mine", "n1", "cold", "e1".into()),
            life("theirs", "n1", "cold", "e2".into()),
            life("nobodys", "n1", "cold", "".into()),
            life("leaves", "n1", "draining", Value::Null),
            life("emptied", "n2", "in_service", Value::Null),
            life("far", "s1", "in_service", Value::Null)
        ]);
        let known = Standing::of(&[tests::line("a:1", told)]).known.unwrap();
        (Document::read(document.to_string().as_bytes()).unwrap(), known)
    }

    fn told(path: &str, key: Option<&str>) -> Explained {
        let (document, known) = world();
        let ask = Ask {
            method: "GET".into(),
            host: "H:80".into(),
            path: path.into(),
            key: key.map(str::to_string),
            from: Some("n1".into()),
        };
        explain(document.config(), &known, &ask)
    }

    #[test]
    fn each_server_is_taken_or_passed_over_for_one_reason() {
        let told = told("/x/1", Some(KEY));
        let why: Vec<_> = told.servers.iter().map(|row| format!("{} {}", row[0], row[5])).collect();
        let wanted = [
            "leaves no: it leaves",
            "mine yes, at the rate of a cold one, in the gateway's zone",
            "near yes, in the gateway's zone",
            "nobodys no: cold, and no gateway has the permit yet",
            "theirs no: cold, and only e2 has the permit",
            "emptied no: its zone is evacuated",
            "far no: its region is no home",
        ];
        assert_eq!(why, wanted);
        let text = told.as_text();
        for line in [
            "version   4, in force at 0 of 2 gateways",
            "route     deep: \"/x/\" is the longest prefix that begins the path",
            "passed    far: \"/far/\" does not begin the path",
            "passed    all: \"/\" begins the path, too, and is shorter",
            "repeats   up to 3 servers for one try, within the budget",
            "key       wanted; the one given is one of t's",
            "quota     2 a second and 5 at once: 10 in a window; in force now 4, of these held back 0",
            "homes     of the route: n, s; of the tenant: n; both bind: n",
            "services  b 75.0%, c 25.0%",
            "choice    2 of 7 may be asked",
        ] {
            assert!(text.contains(line), "{line} in\n{text}");
        }
        assert_eq!(told.as_json()["passed"][1], "all: \"/\" begins the path, too, and is shorter");
        assert!(!text.contains(KEY) && !told.as_json().to_string().contains(KEY));
        // Where homes allow it, the far one stands in for a full region.
        let open = self::told("/", None);
        assert_eq!(open.servers[6][5], "yes, when the gateway's region is full: another one is dear");
    }

    #[test]
    fn what_a_gateway_answers_itself_is_named_with_its_status() {
        for (path, key, wanted) in [
            ("/x/1", None, (401, "no key")),
            ("/x/1", Some("secret-other"), (401, "unknown key")),
            ("/far/", Some(KEY), (503, "route and tenant share no home region")),
            ("x", None, (404, "no such route")),
        ] {
            let told = told(path, key);
            assert_eq!(told.refused, Some(wanted), "{path}");
            assert_eq!(told.as_json()["answer"]["status"], wanted.0);
            assert!(!told.as_text().contains("secret"), "{}", told.as_text());
        }
    }
}
