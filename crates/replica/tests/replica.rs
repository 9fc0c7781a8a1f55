//! Three members on a fake clock, between links that are cut when told to.

use nickeljunction_consensus::{bootstrap_member_id, Envelope, Restored, Tuning};
use nickeljunction_messages::{
    Caller, ClaimCall, Claimant, GatewayInfo, Member, OperationId, PaceSharesCall, ServerState, TenantUnits,
    UnitsCall, WatchAnswer, WatchCall,
};
use nickeljunction_registry::{Heartbeat, WatchCache};
use nickeljunction_replica::departures::Departure;
use nickeljunction_replica::{Answer, Change, HeldWatch, MemberConfig, Replica, Ticket, UnitsReply};
use nickeljunction_schema::Bounds;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

fn host(node: usize) -> String {
    format!("10.0.0.{}", node + 1)
}

/// Disks write at once, messages come within the ms.
struct Core {
    now: u64,
    houses: Vec<Replica>,
    answers: BTreeMap<Ticket, Answer>,
    /// Nobody hears them, and they hear nobody.
    cut: BTreeSet<usize>,
    /// They do nothing by themselves.
    still: BTreeSet<usize>,
    /// Who sends an entry with these words is cut off before it is out.
    mute: Option<&'static str>,
    /// Their disks take no writes, but for those of `written`.
    hangs: BTreeSet<usize>,
    /// What these disks were given, in order.
    unwritten: Vec<(usize, u64)>,
}

impl Core {
    /// A core that leads, with a configuration.
    fn new(seed: u64) -> Core {
        println!("seed {seed}");
        let member = |node| Member { id: bootstrap_member_id(&host(node)), host: host(node) };
        let now = 1_000;
        let house = |node| {
            let place = MemberConfig {
                name: format!("core-{node}"),
                host: host(node),
                zones: BTreeMap::from([("z1".into(), "r1".into())]),
                bounds: Bounds::usual(),
                heartbeat_ms: 1_000,
            };
            let restored = Restored::bootstrap(member(node), (0..3).map(member).collect());
            Replica::new(Rc::new(place), restored, Tuning::default(), seed + node as u64, now)
        };
        let houses = (0..3).map(house).collect();
        let (cut, still) = (BTreeSet::new(), BTreeSet::new());
        let (hangs, unwritten) = (BTreeSet::new(), Vec::new());
        let mut core =
            Core { now, houses, answers: BTreeMap::new(), cut, still, mute: None, hangs, unwritten };
        core.run(2_000);
        let leader = core.leader();
        let put = core.change(leader, 0, 1);
        core.run(50);
        assert_eq!(core.answers.remove(&put), Some(Answer::Accepted));
        core
    }

    /// The one that surely leads.
    fn leader(&self) -> usize {
        let sure = |house: &Replica| {
            house.leader_state().is_some()
                && house.consensus().quorum_age(self.now).is_some_and(|age| age < 350)
        };
        let leaders: Vec<usize> = (0..3).filter(|node| sure(&self.houses[*node])).collect();
        assert_eq!(leaders.len(), 1, "leaders {leaders:?}");
        leaders[0]
    }

    /// Does something at a member and carries out what follows from it, everywhere.
    fn at<R>(&mut self, node: usize, act: impl FnOnce(&mut Replica, u64) -> R) -> R {
        let result = act(&mut self.houses[node], self.now);
        let mut mail: VecDeque<(usize, usize, Envelope)> = VecDeque::new();
        let mut busy = vec![node];
        while let Some(node) = busy.pop() {
            let effects = self.houses[node].take_effects();
            for write in &effects.writes {
                if self.hangs.contains(&node) {
                    self.unwritten.push((node, write.ticket));
                    continue;
                }
                self.houses[node].written(self.now, write.ticket, true);
                busy.push(node);
            }
            self.answers.extend(effects.answers);
            for (to, envelope) in effects.send {
                let text = serde_json::to_string(&envelope).unwrap();
                if self.mute.is_some_and(|words| text.contains(words)) {
                    self.cut.insert(node);
                }
                let to = (0..3).find(|node| host(*node) == to).unwrap();
                mail.push_back((node, to, envelope));
            }
            if busy.is_empty() {
                while let Some((from, to, envelope)) = mail.pop_front() {
                    if !self.cut.contains(&from) && !self.cut.contains(&to) {
                        self.houses[to].receive(self.now, vec![envelope]);
                        busy.push(to);
                        break;
                    }
                }
            }
        }
        result
    }

    /// A disk takes writes again, and has what it was given.
    fn recover(&mut self, node: usize) {
        self.hangs.remove(&node);
        let (its, others) = self.unwritten.drain(..).partition(|(of, _)| *of == node);
        self.unwritten = others;
        let its: Vec<(usize, u64)> = its;
        for (_, ticket) in its {
            self.at(node, |house, now| house.written(now, ticket, true));
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            for node in 0..3 {
                if !self.still.contains(&node) && self.houses[node].next_wake() <= self.now {
                    self.at(node, Replica::tick);
                }
            }
        }
    }

    /// A document on a base.
    fn change(&mut self, node: usize, base: u64, version: u64) -> Ticket {
        self.send(node, false, Some(base), &document(version))
    }

    fn send(&mut self, node: usize, patch: bool, base: Option<u64>, body: &serde_json::Value) -> Ticket {
        let body = serde_json::to_vec(body).unwrap().into();
        self.at(node, |house, now| house.change_config(now, Change { patch, base, body }))
    }

    fn answered(&mut self, ticket: Ticket) -> Option<Answer> {
        self.answers.remove(&ticket)
    }
}

fn document(version: u64) -> serde_json::Value {
    serde_json::json!({
        "config_version": version, "limits": null, "backends": {"b": {}},
        "routes": {"r": {"hostname": "h", "path_prefix": "/", "backend": "b"}},
        "tenants": {"peach": {"api_keys": ["k"], "rate_per_s": 100, "burst_size": 100}},
    })
}

fn beat() -> Heartbeat {
    Heartbeat {
        address: "10.2.0.1:80".into(),
        backend: "b".into(),
        version: "v1".into(),
        zone: "z1".into(),
        slots: 4,
        state: ServerState::InService,
        call_seq: 1,
        warmup_left_ms: 0,
    }
}

fn watch(life: u64) -> WatchCall {
    let line =
        GatewayInfo { name: "edge".into(), front: "10.1.0.1:80".into(), zone: "z1".into(), ready: true };
    WatchCall {
        caller: Caller::Gateway,
        name: "edge".into(),
        incarnation: life,
        gateway: Some(line),
        term: 0,
        seq: 0,
        version: 0,
        wait_ms: 1_000,
        serves_directory: false,
        accepts_config_changes: true,
        accepts_roster_changes: true,
        has_full_server_list: false,
        diverged: false,
    }
}

fn units(to: &Replica, life: u64, seq: u64) -> UnitsCall {
    let to = to.consensus().term();
    let want = TenantUnits { requested: 10, ..TenantUnits::default() };
    let tenants = BTreeMap::from([("peach".into(), want)]);
    UnitsCall {
        incarnation: life,
        seq,
        counter_term: to,
        is_full_report: true,
        name: "edge".into(),
        tenants,
        ..UnitsCall::default()
    }
}

fn claim(operation: u128, number: u64) -> ClaimCall {
    let claimant = Claimant { host: [10, 1, 0, 1].into(), incarnation: 7, number };
    ClaimCall { operation: OperationId(operation), claimant, released: None }
}

#[test]
fn a_leader_that_loses_its_majority_and_comes_back_keeps_its_registers() {
    let mut core = Core::new(3);
    let leader = core.leader();
    assert_eq!(core.at(leader, |house, now| house.record_heartbeat(now, "i-1", &beat())), Ok(None));
    core.at(leader, |house, now| house.begin_watch(now, &watch(7))).expect("it leads");
    let term = core.houses[leader].consensus().term();
    // The others stand still and have copied nothing; only this one can stand for election.
    core.still = (0..3).filter(|node| *node != leader).collect();
    core.cut.insert(leader);
    core.run(1_200);
    assert!(core.houses[leader].leader_state().is_none(), "its majority is away");
    assert!(core.at(leader, |house, now| house.record_heartbeat(now, "i-1", &beat())).is_err());
    core.cut.clear();
    core.run(1_500);
    assert_eq!(core.leader(), leader);
    assert!(core.houses[leader].consensus().term() > term);
    let (register, _) = core.houses[leader].leader_state().expect("it leads again");
    assert_eq!((register.server_count(), register.roster().len()), (1, 1));
}

#[test]
fn nobody_is_answered_by_a_leader_whose_majority_was_not_heard_within_the_lease() {
    let mut core = Core::new(5);
    let leader = core.leader();
    let held: HeldWatch = core.at(leader, |house, now| house.begin_watch(now, &watch(7))).expect("it leads");
    let round = core.at(leader, |house, now| house.remove_server(now, "i-1")).expect("it leads");
    core.at(leader, |house, now| house.claim(now, &claim(1, 1))).expect("it leads");
    core.cut.insert(leader);
    core.still.insert(leader);
    core.run(Tuning::default().election_min_ms + 100);
    // It was frozen, and asked before its own clock: it still takes itself for the leader.
    let (now, house) = (core.now, &mut core.houses[leader]);
    assert!(house.leader_state().is_some());
    assert!(house.answer_watch(now, &watch(7), &held).is_err());
    assert!(house.request_units(now, &units(house, 7, 1)).is_err());
    assert!(house.request_pace_shares(now, &PaceSharesCall::default()).is_err());
    assert!(house.claim(now, &claim(1, 2)).is_err(), "nor told that another claim holds");
    assert!(house.record_heartbeat(now, "i-2", &beat()).is_err());
    assert!(house.ack_ready(now, &round).is_err(), "not even for want of time");
}

#[test]
fn no_drain_is_acknowledged_that_only_the_leader_knows() {
    for ends in [false, true] {
        let mut core = Core::new(21);
        let leader = core.leader();
        let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
        assert_eq!(core.at(leader, |house, now| house.record_heartbeat(now, "i-1", &beat())), Ok(None));
        // They hear of it, but their disks don't have it.
        core.hangs.extend(others.iter().copied());
        let round = core.at(leader, |house, now| match ends {
            true => house.remove_server(now, "i-1"),
            false => {
                let draining = Heartbeat { state: ServerState::Draining, call_seq: 2, ..beat() };
                house.record_heartbeat(now, "i-1", &draining).map(|round| round.expect("a drain"))
            }
        });
        let round = round.expect("it leads");
        let (begun, mut refused) = (core.now, None);
        while refused.is_none() && core.now < begun + 2_000 {
            core.run(10);
            match core.at(leader, |house, now| house.ack_ready(now, &round)) {
                Ok(over) => {
                    assert!(!over, "acknowledged after {} ms, known to nobody else", core.now - begun)
                }
                Err(elsewhere) => refused = Some((core.now - begun, elsewhere.leader)),
            }
        }
        assert_eq!(refused, Some((700, None)), "a server goes on after a second");
        // One other member of three that has it on its disk is enough.
        core.recover(others[0]);
        assert_eq!(core.at(leader, |house, now| house.ack_ready(now, &round)), Ok(true));
        let departures = core.houses[leader].state().departures().clone();
        let expected = if ends { Departure::Ended } else { Departure::Draining { call_seq: 2 } };
        assert_eq!(departures.get("i-1"), Some(expected));
    }
}

/// Numbers of registers begin anew with each lead: a round of an earlier one says nothing of the register of now.
#[test]
fn a_round_of_an_earlier_lead_is_never_over() {
    let mut core = Core::new(22);
    let leader = core.leader();
    let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    core.hangs.extend(others.iter().copied());
    let round = core.at(leader, |house, now| house.remove_server(now, "i-1")).expect("it leads");
    let term = core.houses[leader].consensus().term();
    core.cut.insert(leader);
    core.still = others.iter().copied().collect();
    core.run(1_200);
    core.cut.clear();
    others.iter().for_each(|node| core.recover(*node));
    core.run(1_500);
    assert_eq!(core.leader(), leader);
    assert!(core.houses[leader].consensus().term() > term);
    assert!(core.at(leader, |house, now| house.ack_ready(now, &round)).is_err());
}

#[test]
fn departures_that_come_while_one_is_on_its_way_share_the_next_entry() {
    let mut core = Core::new(23);
    let leader = core.leader();
    let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    core.hangs.extend(others.iter().copied());
    let commit = core.houses[leader].consensus().commit();
    let rounds: Vec<_> = (0..50)
        .map(|number| {
            let id = format!("i-{number}");
            core.at(leader, |house, now| house.remove_server(now, &id)).expect("it leads")
        })
        .collect();
    others.iter().for_each(|node| core.recover(*node));
    core.run(300);
    for round in &rounds {
        assert_eq!(core.at(leader, |house, now| house.ack_ready(now, round)), Ok(true));
    }
    assert_eq!(core.houses[leader].consensus().commit(), commit + 2, "one for the first, one for all others");
    assert_eq!(core.houses[leader].state().departures().ended().len(), 50);
}

#[test]
fn a_server_that_drained_and_serves_again_is_no_departure_any_more() {
    let mut core = Core::new(24);
    let leader = core.leader();
    let say = |state, call_seq| Heartbeat { state, call_seq, ..beat() };
    let draining = say(ServerState::Draining, 2);
    core.at(leader, |house, now| house.record_heartbeat(now, "i-1", &draining)).expect("it leads");
    core.run(10);
    assert_eq!(core.houses[leader].state().departures().len(), 1);
    // A beat of before, which was long on its way.
    let late = say(ServerState::InService, 1);
    core.at(leader, |house, now| house.record_heartbeat(now, "i-1", &late)).expect("it leads");
    core.run(10);
    assert_eq!(core.houses[leader].state().departures().len(), 1);
    let back = say(ServerState::InService, 3);
    core.at(leader, |house, now| house.record_heartbeat(now, "i-1", &back)).expect("it leads");
    core.run(10);
    assert!(core.houses[leader].state().departures().is_empty());
}

#[test]
fn a_gateway_is_there_until_the_last_of_its_calls_breaks() {
    let mut core = Core::new(9);
    let leader = core.leader();
    let there = |core: &Core| core.houses[leader].roster().iter().any(|line| line.ready);
    let held = core.at(leader, |house, now| house.begin_watch(now, &watch(7))).expect("it leads");
    // One that is dropped, one that is answered, one that a leader out of touch sends away: beside the one held.
    let beside = WatchCall { wait_ms: 0, ..watch(7) };
    let dropped = core.at(leader, |house, now| house.begin_watch(now, &beside)).expect("it leads");
    let answered = core.at(leader, |house, now| house.begin_watch(now, &beside)).expect("it leads");
    let refused = core.at(leader, |house, now| house.begin_watch(now, &beside)).expect("it leads");
    core.at(leader, |house, now| house.watch_disconnected(now, &beside, &dropped));
    assert!(there(&core), "another call is held");
    assert!(matches!(core.at(leader, |house, now| house.answer_watch(now, &beside, &answered)), Ok(Some(_))));
    let late = core.now + Tuning::default().election_min_ms;
    assert!(core.houses[leader].answer_watch(late, &beside, &refused).is_err(), "past its lease");
    core.run(100);
    assert!(there(&core));
    core.at(leader, |house, now| house.watch_disconnected(now, &watch(7), &held));
    assert!(!there(&core), "none is left");
}

/// Arrivals wait for one another; a server that drains, and a gateway that leaves, do not wait.
#[test]
fn what_must_not_wait_is_told_at_once() {
    let mut core = Core::new(11);
    let leader = core.leader();
    let mut copy = WatchCache::new();
    let line = GatewayInfo { name: "g".into(), ..watch(7).gateway.expect("a line") };
    let ask = |copy: &WatchCache| WatchCall {
        serves_directory: true,
        ..copy.watch_call(Caller::Gateway, "g", 9, Some(line.clone()), 1_000)
    };
    let other = |ready| {
        let line = GatewayInfo { ready, ..watch(7).gateway.expect("a line") };
        WatchCall { gateway: Some(line), ..watch(7) }
    };
    core.at(leader, |house, now| house.begin_watch(now, &other(true))).expect("it leads");
    // How long a call is held whose sender has all there is, while something changes.
    let mut held_ms = |core: &mut Core, change: &dyn Fn(&mut Replica, u64)| {
        let first =
            core.at(leader, |house, now| house.begin_watch(now, &WatchCall { wait_ms: 0, ..ask(&copy) }));
        let first = first.expect("it leads");
        let told =
            core.at(leader, |house, now| house.answer_watch(now, &ask(&copy), &first)).expect("it leads");
        told.map(|answer| copy.apply(answer).expect("it fits"));
        let held = core.at(leader, |house, now| house.begin_watch(now, &ask(&copy))).expect("it leads");
        core.at(leader, change);
        let began = core.now;
        while core
            .at(leader, |house, now| house.answer_watch(now, &ask(&copy), &held))
            .expect("it leads")
            .is_none()
        {
            core.run(1);
        }
        core.now - began
    };
    let say = |state, call_seq| Heartbeat { state, call_seq, ..beat() };
    let arrival = held_ms(&mut core, &|house, now| {
        let _ = house.record_heartbeat(now, "i-1", &say(ServerState::InService, 1));
    });
    assert!((100..1_000).contains(&arrival), "{arrival} ms");
    let drain = held_ms(&mut core, &|house, now| {
        let _ = house.record_heartbeat(now, "i-1", &say(ServerState::Draining, 2));
    });
    assert_eq!(drain, 0);
    let leaves = held_ms(&mut core, &|house, now| {
        let _ = house.begin_watch(now, &other(false));
    });
    assert_eq!(leaves, 0);
}

/// Two gateways ask in turn, each with its demand; gives their shares and the pace that the leader tells.
fn shares(core: &mut Core, seq: u64) -> (Vec<f64>, Option<f64>) {
    let leader = core.leader();
    for life in [1, 2] {
        let call = WatchCall { name: format!("edge-{life}"), ..watch(life) };
        core.at(leader, |house, now| house.begin_watch(now, &call)).expect("it leads");
    }
    let mut ask = |life: u64, demand: f64| {
        let demand = BTreeMap::from([("peach".to_string(), demand)]);
        let call = PaceSharesCall {
            name: format!("edge-{life}"),
            incarnation: life,
            seq,
            demand,
            ..PaceSharesCall::default()
        };
        let answer = core.at(leader, |house, now| house.request_pace_shares(now, &call)).expect("it leads");
        answer.shares.get("peach").copied()
    };
    let shares = [ask(1, 30.0), ask(2, 60.0)].into_iter().flatten().collect();
    (shares, core.houses[leader].trial_views(core.now)["peach"].pace)
}

#[test]
fn a_slowed_tenants_pace_is_shared_out_by_the_leader_and_nothing_of_it_is_kept_for_the_next() {
    let mut core = Core::new(11);
    let leader = core.leader();
    let mut doc = document(2);
    doc["trials"] = serde_json::json!({"peach": {"stages": [{"for_s": 2, "wait_s": 0.1},
        {"for_s": 60, "wait_s": 0.2, "pace": 0.9}, {"for_s": 60, "wait_s": 0.4, "pace": 0.5}]}});
    core.send(leader, false, Some(1), &doc);
    core.run(50);
    assert_eq!(shares(&mut core, 1), (vec![], None));
    let [gone, ticket] = ["plum", "peach"]
        .map(|tenant| core.at(leader, |house, now| house.change_trial(now, tenant.into(), true)));
    core.run(50);
    assert!(matches!(core.answered(gone), Some(Answer::NotFound(wants)) if wants.contains("plum")));
    assert_eq!(core.answered(ticket), Some(Answer::Accepted));
    core.run(2_100);
    assert_eq!(shares(&mut core, 2), (vec![], Some(90.0)), "it hasn't heard of all yet");
    let all: f64 = (3..20)
        .map(|seq| {
            core.run(500);
            shares(&mut core, seq).0.iter().sum()
        })
        .fold(0.0, f64::max);
    assert!((89.0..=135.0).contains(&all), "{all}");
    let known = shares(&mut core, 20).0;
    assert!(known[1] > 1.5 * known[0] && known[0] + known[1] <= 90.0 + 1e-9, "{known:?}");
    core.cut.insert(leader);
    core.run(3_000);
    assert_ne!(core.leader(), leader);
    assert_eq!(shares(&mut core, 21).0, [0.0; 0], "the next one has heard nobody yet");
    let next = core.leader();
    let view = core.houses[next].trial_views(core.now)["peach"].clone();
    assert!(view.stage == 2 && view.next_in_s.is_some_and(|next| next > 56.0), "counted anew: {view:?}");
}

#[test]
fn an_enrolment_lost_with_the_lead_lends_nothing() {
    let mut core = Core::new(7);
    let old = core.leader();
    core.cut.insert(old);
    let Ok(UnitsReply::Pending(ticket)) =
        core.at(old, |house, now| house.request_units(now, &units(house, 9, 1)))
    else {
        panic!("lent before it is on the log");
    };
    core.run(249);
    let lent = |core: &Core, node: usize| {
        let (_, counter) = core.houses[node].leader_state().expect("it leads");
        counter.usage_by_tenant(core.now)["peach"].lent
    };
    assert_eq!((core.answered(ticket), lent(&core, old)), (None, 0));
    core.run(1);
    let answer = core.answered(ticket);
    assert!(matches!(answer, Some(Answer::NotLeader(_))), "before the gateway's own time-out: {answer:?}");
    core.run(2_000);
    let next = core.leader();
    assert_ne!(next, old);
    core.cut.clear();
    core.run(1_000);
    assert!(core.houses.iter().all(|house| house.state().gateways().is_empty()), "it never came");
    assert_eq!(lent(&core, next), 0);

    // The same where nothing is lost.
    let Ok(UnitsReply::Pending(ticket)) =
        core.at(next, |house, now| house.request_units(now, &units(house, 9, 2)))
    else {
        panic!("lent before it is on the log");
    };
    let Some(Answer::Units(answer)) = core.answered(ticket) else { panic!("no answer") };
    assert_eq!(answer.tenants["peach"].granted, lent(&core, next));
    assert!(lent(&core, next) > 0);
    core.run(200);
    assert!(core.houses.iter().all(|house| house.state().gateways().contains_key(&9)));
    assert!(matches!(
        core.at(next, |house, now| house.request_units(now, &units(house, 9, 3))),
        Ok(UnitsReply::Immediate(_))
    ));
}

#[test]
fn a_put_whose_entry_is_overwritten_by_another_leaders_is_answered_as_unknown() {
    let mut core = Core::new(11);
    let old = core.leader();
    core.mute = Some("\\\"version\\\":2");
    let lost = core.change(old, 1, 2);
    assert!(core.cut.contains(&old), "its entry was to go out");
    assert_eq!(core.answered(lost), None);
    let index = core.houses[old].consensus().commit() + 1;
    core.mute = None;
    core.run(2_000);
    assert_eq!(core.answered(lost), Some(Answer::Unknown));
    let next = core.leader();
    assert!(core.houses[next].consensus().commit() >= index, "another entry is in its place");
    let other = core.change(next, 1, 3);
    assert_eq!(core.answered(other), Some(Answer::Accepted));
    core.cut.clear();
    core.run(1_000);
    let again = core.change(next, 1, 2);
    assert_eq!(core.answered(again), Some(Answer::Conflict(Some(3))));
    assert!(core.houses.iter().all(|house| house.state().version() == 3));
}

#[test]
fn what_an_operator_sends_is_checked_against_the_state_that_a_majority_confirmed() {
    let mut core = Core::new(13);
    let leader = core.leader();
    let follower = (leader + 1) % 3;
    let patch = serde_json::json!({"config_version": 2, "tenants": {"peach": {"rate_per_s": 50}}});
    let wants = |answer: Option<Answer>| match answer {
        Some(Answer::Invalid(wants)) => wants,
        other => panic!("{other:?}"),
    };
    let mut ask = |node, patch, base, body: &serde_json::Value| {
        let ticket = core.send(node, patch, base, body);
        core.answered(ticket)
    };
    assert!(
        matches!(ask(follower, true, Some(1), &patch), Some(Answer::NotLeader(to)) if to.leader.is_some())
    );
    assert!(wants(ask(leader, true, None, &patch)).contains("If-Match"));
    assert!(wants(ask(leader, false, Some(1), &document(1))).contains("config_version"));
    assert_eq!(ask(leader, true, Some(4), &patch), Some(Answer::Conflict(Some(1))));
    assert_eq!(ask(leader, true, Some(1), &patch), Some(Answer::Accepted));
    assert_eq!(ask(leader, true, Some(1), &patch), Some(Answer::Accepted), "the very same call");
    assert_eq!(ask(leader, false, Some(1), &document(3)), Some(Answer::Conflict(Some(2))));
}

const GATEWAYS: usize = 295;
const SERVERS: usize = 900;
/// One way between a gateway and the leader, ms.
const WAY_MS: u64 = 20;

/// A gateway's one watch call.
enum Under {
    Way(u64, WatchCall),
    Hold(WatchCall, HeldWatch),
    WayBack(u64, WatchAnswer),
}

struct Gateway {
    name: String,
    copy: WatchCache,
    under: Under,
    /// Bytes and answers.
    told: (usize, usize),
}

impl Gateway {
    fn new(number: usize, start: u64) -> Gateway {
        let (name, copy) = (format!("edge-atl-north-{number}"), WatchCache::new());
        let under = Under::Way(start, Gateway::ask(&name, &copy));
        Gateway { name, copy, under, told: (0, 0) }
    }

    fn ask(name: &str, copy: &WatchCache) -> WatchCall {
        let ready = copy.term() > 0;
        let line =
            GatewayInfo { name: name.into(), front: "10.1.0.255:8481".into(), zone: "z1".into(), ready };
        WatchCall { serves_directory: true, ..copy.watch_call(Caller::Gateway, name, 7, Some(line), 1_000) }
    }

    fn turn(&mut self, core: &mut Core, leader: usize) {
        let now = core.now;
        match &self.under {
            Under::Way(at, call) if now >= *at => {
                let held = core.at(leader, |house, now| house.begin_watch(now, call)).expect("it leads");
                self.under = Under::Hold(call.clone(), held);
            }
            Under::WayBack(at, answer) if now >= *at => {
                self.told.0 += serde_json::to_vec(answer).expect("plain data").len();
                self.told.1 += 1;
                self.copy.apply(answer.clone()).expect("it fits");
                self.under = Under::Way(now + WAY_MS, Gateway::ask(&self.name, &self.copy));
            }
            _ => {}
        }
        if let Under::Hold(call, held) = &self.under {
            let answer = core.at(leader, |house, now| house.answer_watch(now, call, held)).expect("it leads");
            self.under = match answer {
                Some(answer) => Under::WayBack(now + WAY_MS, answer),
                None => return,
            };
        }
    }
}

/// While a large fleet starts each is told all that it holds at the end once, and each gateway once more, since that turns
/// ready only then: less than twice the whole.
#[test]
fn a_gateway_of_a_large_fleet_is_told_less_than_twice_what_it_then_holds() {
    let mut core = Core::new(1);
    let (leader, start) = (core.leader(), core.now);
    let mut gateways: Vec<Gateway> =
        (0..GATEWAYS).map(|number| Gateway::new(number, start + 7 * number as u64)).collect();
    while core.now < start + 10_000 {
        core.run(1);
        for server in 0..SERVERS {
            let first = start + 4 * server as u64;
            if core.now >= first && (core.now - first).is_multiple_of(1_000) {
                let address = format!("10.1.{}.{}:8261", server / 250, server % 250);
                let beat = Heartbeat { address, call_seq: core.now, ..beat() };
                let id = format!("i-{server:010x}");
                core.at(leader, |house, now| house.record_heartbeat(now, &id, &beat)).expect("it leads");
            }
        }
        gateways.iter_mut().for_each(|gateway| gateway.turn(&mut core, leader));
    }
    let catalog = gateways[0].copy.catalog();
    assert_eq!((catalog.servers.len(), catalog.roster.len()), (SERVERS, GATEWAYS));
    assert!(catalog.roster.iter().all(|line| line.ready));
    let held = serde_json::to_vec(&gateways[0].copy.to_answer()).expect("plain data").len();
    let bytes = gateways.iter().map(|gateway| gateway.told.0).sum::<usize>() / GATEWAYS;
    let answers = gateways.iter().map(|gateway| gateway.told.1).sum::<usize>() / GATEWAYS;
    println!("{bytes} bytes told in {answers} answers, {held} held");
    assert!(bytes < 2 * held, "{bytes} bytes told in {answers} answers, {held} held");
}
