//! What the machines of control say, put together: one picture of the system, and what is doubtful about it. Pure.

use crate::status::Line;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// A follower may be so many entries behind the leader: it learns with the next message that one is agreed on.
const USUAL_LAG: u64 = 1;
/// A majority agrees with a leader that is well more often than that, ms.
const MAJORITY_MS: u64 = 400;
/// Gateways in touch have a configuration after that, ms.
const APPLY_MS: u64 = 500;

/// A machine of control that was asked.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its name; the address where it gave no answer.
    pub name: String,
    /// It answered, and what; else the error.
    pub answer: Result<Answered, String>,
}

/// What a machine says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answered {
    /// It takes itself for the leader.
    pub leads: bool,
    /// It knows a leader, or is it.
    pub led: bool,
    /// Entries that it knows to be agreed on.
    pub commit: u64,
    /// The last write to its disk failed.
    pub disk_sick: bool,
}

/// A gateway, as the leader knows it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Gateway {
    /// Its zone.
    pub zone: String,
    /// Where clients reach it.
    pub front: String,
    /// It takes clients.
    pub ready: bool,
    /// Version of the configuration in force there; `None`: not told.
    pub version: Option<u64>,
    /// So long ago, ms, it was last there; `None`: it is there.
    pub away_ms: Option<u64>,
}

/// A server's life, as the leader knows it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Life {
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens.
    pub address: String,
    /// Requests that it works on at once.
    pub slots: u64,
    /// `in_service`, `cold` or `draining`.
    pub state: String,
    /// The gateway that may send to it while it is cold; empty: none.
    pub permit: Option<String>,
    /// Its beats are missed since its last, so long ago, ms.
    pub silent_ms: Option<u64>,
}

impl Life {
    /// Its state in words; silence goes before all else.
    pub fn state(&self) -> &str {
        match (self.silent_ms, self.state.as_str()) {
            (Some(_), _) => "silent",
            (None, "in_service") => "in service",
            (None, state) => state,
        }
    }
}

/// Units of a tenant, as the leader's counter knows them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Units {
    /// Most in a window.
    pub cap: u64,
    /// Lent to gateways that live.
    pub lent: u64,
    /// Held back for lives that are over, or have not told since a take-over.
    pub held: u64,
    /// In force: both.
    pub used: u64,
    /// Some is held back since then, ms ago.
    pub held_ms: Option<u64>,
}

/// What only the leader knows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Known {
    /// The leader's name.
    pub leader: String,
    /// Its term.
    pub term: u64,
    /// Entries agreed on.
    pub commit: u64,
    /// So long ago, ms, a majority agreed that it leads.
    pub majority_ms: Option<u64>,
    /// Version of the configuration in place; 0: none.
    pub version: u64,
    /// So long ago, ms, that version came under this leader.
    pub version_age_ms: Option<u64>,
    /// Its table of servers may lack some.
    pub gathering: bool,
    /// Gateways by name.
    pub gateways: BTreeMap<String, Gateway>,
    /// Lives of servers by id.
    pub lives: BTreeMap<String, Life>,
    /// Units by tenant with a quota.
    pub units: BTreeMap<String, Units>,
    /// Zones that are evacuated.
    pub evacuated: BTreeSet<String>,
    /// Region by zone.
    pub zones: BTreeMap<String, String>,
}

impl Known {
    /// How many gateways that are there have the version in place, and how many are there.
    pub fn reached(&self) -> (usize, usize) {
        self.having(self.version)
    }

    /// The same for this version or a newer one.
    pub fn having(&self, wanted: u64) -> (usize, usize) {
        let there = || self.gateways.values().filter(|gateway| gateway.away_ms.is_none());
        let has = |gateway: &&Gateway| gateway.version.is_some_and(|version| version >= wanted);
        (there().filter(has).count(), there().count())
    }
}

/// The system as one picture.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Standing {
    /// Machines that were asked, by address.
    pub members: BTreeMap<String, Member>,
    /// What the leader knows; `None`: none has answered.
    pub known: Option<Known>,
}

/// Something that isn't as it should be.
#[derive(Debug, Clone, PartialEq)]
pub struct Doubt {
    /// What, as one word.
    pub what: &'static str,
    /// Who: a machine, a server's life, a tenant.
    pub who: String,
    /// For so long, ms; `None`: not known.
    pub for_ms: Option<u64>,
    /// More about it; may be empty.
    pub more: String,
}

impl Doubt {
    /// As one line.
    pub fn line(&self) -> String {
        let since =
            self.for_ms.map_or("not known since when".to_string(), |ms| format!("for {}", seconds(ms)));
        format!("{}: {}, {since}", self.who, self.state())
    }

    /// What, and more about it.
    pub fn state(&self) -> String {
        let more = if self.more.is_empty() { String::new() } else { format!(" ({})", self.more) };
        self.what.replace('_', " ") + &more
    }

    /// `{what, who, for_ms, more}`.
    pub fn as_json(&self) -> Value {
        json!({"what": self.what, "who": self.who, "for_ms": self.for_ms, "more": self.more})
    }
}

/// `1.5 s`.
pub fn seconds(ms: u64) -> String {
    format!("{:.1} s", ms as f64 / 1_000.0)
}

impl Standing {
    /// Puts together what was told.
    pub fn of(lines: &[Line]) -> Standing {
        let mut standing = Standing::default();
        // Of two that think they lead the newer term is right.
        let mut leader: Option<&Value> = None;
        for line in lines {
            let (name, answer) = match &line.told {
                Ok(told) => {
                    if leads(told)
                        && leader.is_none_or(|other| told["term"].as_u64() > other["term"].as_u64())
                    {
                        leader = Some(told);
                    }
                    (word(told, "node_name"), Ok(answered(told)))
                }
                Err(error) => (line.at.clone(), Err(error.clone())),
            };
            let name = if name.is_empty() { line.at.clone() } else { name };
            standing.members.insert(line.at.clone(), Member { name, answer });
        }
        standing.known = leader.map(known);
        standing
    }

    /// What isn't as it should be; the gravest first.
    pub fn doubts(&self) -> Vec<Doubt> {
        let mut doubts = Vec::new();
        let mut doubt = |what, who: &str, for_ms, more: String| {
            doubts.push(Doubt { what, who: who.to_string(), for_ms, more });
        };
        if self.known.is_none() {
            doubt("no_leader", "control", None, String::new());
        }
        for (at, member) in &self.members {
            let name = &member.name;
            match &member.answer {
                Err(error) => {
                    // Its error names it again.
                    let error = error.strip_prefix(&format!("{at}: ")).unwrap_or(error);
                    doubt("member_silent", at, None, error.to_string());
                }
                Ok(answered) => {
                    if answered.disk_sick {
                        doubt("disk_sick", name, None, String::new());
                    }
                    let Some(known) = &self.known else { continue };
                    if !answered.led && !known.leader.is_empty() {
                        doubt("member_without_leader", name, None, String::new());
                    } else if answered.commit + USUAL_LAG < known.commit {
                        let more = format!("commit {}, the leader's {}", answered.commit, known.commit);
                        doubt("member_behind", name, None, more);
                    }
                }
            }
        }
        let Some(known) = &self.known else { return doubts };
        if let Some(ms) = known.majority_ms.filter(|ms| *ms > MAJORITY_MS) {
            doubt("majority_away", &known.leader, Some(ms), "its last agreement".into());
        }
        if known.gathering {
            doubt("servers_gathering", &known.leader, None, "its table may lack some".into());
        }
        for (name, gateway) in &known.gateways {
            match (gateway.away_ms, gateway.version) {
                (Some(ms), _) => doubt("gateway_away", name, Some(ms), gateway.zone.clone()),
                (None, Some(version))
                    if version < known.version && known.version_age_ms.is_none_or(|ms| ms > APPLY_MS) =>
                {
                    let more = format!("has {version} of {}", known.version);
                    doubt("version_behind", name, known.version_age_ms, more);
                }
                (None, None) => doubt("gateway_unheard", name, None, "by this leader".into()),
                _ if !gateway.ready => doubt("gateway_not_ready", name, None, gateway.zone.clone()),
                _ => (),
            }
        }
        for (id, life) in &known.lives {
            if let Some(ms) = life.silent_ms {
                doubt("server_silent", id, Some(ms), format!("{} in {}", life.service, life.zone));
            }
        }
        for (tenant, units) in known.units.iter().filter(|(_, units)| units.held > 0) {
            doubt("units_held_back", tenant, units.held_ms, format!("{} of {}", units.held, units.cap));
        }
        doubts
    }
}

/// It says so itself; else the leader that it names has its own host.
pub fn leads(told: &Value) -> bool {
    let named = || told["leader"].as_str().is_some_and(|leader| told["host"].as_str() == Some(leader));
    told["leads"].as_bool().unwrap_or_else(named)
}

fn word(told: &Value, name: &str) -> String {
    told[name].as_str().unwrap_or_default().to_string()
}

fn answered(told: &Value) -> Answered {
    Answered {
        leads: leads(told),
        led: leads(told) || told["leader"].is_string(),
        commit: told["commit"].as_u64().unwrap_or_default(),
        disk_sick: told["disk_sick"].as_bool().unwrap_or_default(),
    }
}

fn known(told: &Value) -> Known {
    let figure = |told: &Value, name: &str| told[name].as_u64().unwrap_or_default();
    let gateway = |told: &Value| Gateway {
        zone: word(told, "zone"),
        front: word(told, "front"),
        ready: told["ready"].as_bool().unwrap_or_default(),
        version: told["version"].as_u64(),
        away_ms: told["away_ms"].as_u64(),
    };
    let life = |told: &Value| Life {
        service: word(told, "service"),
        zone: word(told, "zone"),
        address: word(told, "address"),
        slots: figure(told, "slots"),
        state: word(told, "state"),
        permit: told["permit"].as_str().map(str::to_string),
        silent_ms: told["silent_ms"].as_u64(),
    };
    let units = |told: &Value| Units {
        cap: figure(told, "cap"),
        lent: figure(told, "lent"),
        held: figure(told, "ended") + figure(told, "unheard"),
        used: figure(told, "used"),
        held_ms: told["held_ms"].as_u64(),
    };
    let list = |name: &str| told[name].as_array().into_iter().flatten();
    let table = |name: &str| told[name].as_object().into_iter().flatten();
    Known {
        leader: word(told, "node_name"),
        term: figure(told, "term"),
        commit: figure(told, "commit"),
        majority_ms: told["quorum_age_ms"].as_u64(),
        version: figure(told, "config_version"),
        version_age_ms: told["config_age_ms"].as_u64(),
        gathering: told["gathering"].as_bool().unwrap_or_default(),
        gateways: list("gateways").map(|told| (word(told, "name"), gateway(told))).collect(),
        lives: list("lives").map(|told| (word(told, "id"), life(told))).collect(),
        units: table("units").map(|(tenant, told)| (tenant.clone(), units(told))).collect(),
        evacuated: list("evacuated").filter_map(|zone| zone.as_str().map(str::to_string)).collect(),
        zones: table("zones")
            .filter_map(|(zone, region)| Some((zone.clone(), region.as_str()?.to_string())))
            .collect(),
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;

    /// A machine's word.
    pub fn line(at: &str, told: Value) -> Line {
        Line { at: at.to_string(), told: Ok(told) }
    }

    /// A leader's word with two gateways, one server and one tenant, all well.
    pub fn well() -> Value {
        json!({"node_name": "core-1", "host": "a", "leads": true, "leader": "a", "term": 2, "commit": 9,
            "quorum_age_ms": 40, "config_version": 3, "config_age_ms": 9_000, "gathering": false, "evacuated": [],
            "gateways": [{"name": "e1", "zone": "n", "ready": true, "version": 3, "away_ms": null},
                {"name": "e2", "zone": "s", "ready": true, "version": 3, "away_ms": null}],
            "lives": [{"id": "s-1", "service": "b", "zone": "n", "state": "in_service", "silent_ms": null}],
            "units": {"t": {"cap": 10, "lent": 4, "ended": 0, "unheard": 0, "used": 4}}})
    }

    #[test]
    fn each_trouble_is_one_doubt_and_a_system_that_is_well_has_none() {
        let follower =
            json!({"node_name": "core-2", "host": "b", "leads": false, "leader": "a", "commit": 8});
        let doubts = |change: &dyn Fn(&mut Value, &mut Value)| {
            let (mut leader, mut follower) = (well(), follower.clone());
            change(&mut leader, &mut follower);
            let lines = [line("a:1", leader), line("b:1", follower)];
            Standing::of(&lines).doubts().iter().map(Doubt::line).collect::<Vec<_>>()
        };
        assert_eq!(doubts(&|_, _| ()), [""; 0]);
        type Change = Box<dyn Fn(&mut Value, &mut Value)>;
        let cases: [(Change, &str); 12] = [
            (Box::new(|a, _| a["leads"] = false.into()), "control: no leader, not known since when"),
            (
                Box::new(|_, b| b["commit"] = 7.into()),
                "core-2: member behind (commit 7, the leader's 9), not known since when",
            ),
            (
                Box::new(|_, b| b["leader"] = Value::Null),
                "core-2: member without leader, not known since when",
            ),
            (Box::new(|_, b| b["disk_sick"] = true.into()), "core-2: disk sick, not known since when"),
            (
                Box::new(|a, _| a["quorum_age_ms"] = 600.into()),
                "core-1: majority away (its last agreement), for 0.6 s",
            ),
            (
                Box::new(|a, _| a["gathering"] = true.into()),
                "core-1: servers gathering (its table may lack some), not known since when",
            ),
            (Box::new(|a, _| a["gateways"][1]["away_ms"] = 3_200.into()), "e2: gateway away (s), for 3.2 s"),
            (
                Box::new(|a, _| a["gateways"][0]["version"] = 2.into()),
                "e1: version behind (has 2 of 3), for 9.0 s",
            ),
            (
                Box::new(|a, _| a["gateways"][0]["version"] = Value::Null),
                "e1: gateway unheard (by this leader), not known since when",
            ),
            (
                Box::new(|a, _| a["gateways"][0]["ready"] = false.into()),
                "e1: gateway not ready (n), not known since when",
            ),
            (
                Box::new(|a, _| a["lives"][0]["silent_ms"] = 4_000.into()),
                "s-1: server silent (b in n), for 4.0 s",
            ),
            (
                Box::new(|a, _| {
                    let units = &mut a["units"]["t"];
                    (units["ended"], units["held_ms"]) = (6.into(), 1_200.into());
                }),
                "t: units held back (6 of 10), for 1.2 s",
            ),
        ];
        for (change, wanted) in cases {
            assert_eq!(doubts(&*change), [wanted]);
        }
        // Just put in place: on its way to the gateways.
        let fresh =
            doubts(&|a, _| (a["gateways"][0]["version"], a["config_age_ms"]) = (2.into(), 100.into()));
        assert_eq!(fresh, [""; 0]);
        let silent = [line("a:1", well()), Line { at: "b:1".into(), told: Err("silent".into()) }];
        assert_eq!(
            Standing::of(&silent).doubts()[0].line(),
            "b:1: member silent (silent), not known since when"
        );
    }

    #[test]
    fn of_two_leaders_the_newer_one_is_believed() {
        let mut old = well();
        (old["term"], old["node_name"]) = (1.into(), "core-9".into());
        for lines in
            [[line("a:1", old.clone()), line("b:1", well())], [line("a:1", well()), line("b:1", old)]]
        {
            assert_eq!(Standing::of(&lines).known.unwrap().leader, "core-1");
        }
    }
}
