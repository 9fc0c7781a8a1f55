//! Three members on a simulated clock, with links and disks that tests can make fail.

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

/// A core of three members. Disks write at once, and messages arrive within the same ms.
struct Core {
    now: u64,
    replicas: Vec<Replica>,
    answers: BTreeMap<Ticket, Answer>,
    /// Members without links to the others.
    cut: BTreeSet<usize>,
    /// Members that are not ticked.
    paused: BTreeSet<usize>,
    /// A member that sends a message with this text is cut off before the message leaves.
    cut_on_send: Option<&'static str>,
    /// Members whose disks don't complete their writes until [`Core::recover`].
    stalled_disks: BTreeSet<usize>,
    /// Those writes in order, by member and ticket.
    unwritten: Vec<(usize, u64)>,
}

impl Core {
    /// A core with a leader and a configuration.
    fn new(seed: u64) -> Core {
        println!("seed {seed}");
        let member = |node| Member { id: bootstrap_member_id(&host(node)), host: host(node) };
        let now = 1_000;
        let replica = |node| {
            let config = MemberConfig {
                name: format!("core-{node}"),
                host: host(node),
                zones: BTreeMap::from([("z1".into(), "r1".into())]),
                bounds: Bounds::usual(),
                heartbeat_ms: 1_000,
            };
            let restored = Restored::bootstrap(member(node), (0..3).map(member).collect());
            Replica::new(Rc::new(config), restored, Tuning::default(), seed + node as u64, now)
        };
        let replicas = (0..3).map(replica).collect();
        let (cut, paused) = (BTreeSet::new(), BTreeSet::new());
        let (stalled_disks, unwritten) = (BTreeSet::new(), Vec::new());
        let mut core = Core {
            now,
            replicas,
            answers: BTreeMap::new(),
            cut,
            paused,
            cut_on_send: None,
            stalled_disks,
            unwritten,
        };
        core.run(2_000);
        let leader = core.leader();
        let put = core.change(leader, 0, 1);
        core.run(50);
        assert_eq!(core.answers.remove(&put), Some(Answer::Accepted));
        core
    }

    /// The leader with a valid lease.
    fn leader(&self) -> usize {
        let has_lease = |replica: &Replica| {
            replica.leader_state().is_some()
                && replica.consensus().quorum_age(self.now).is_some_and(|age| age < 350)
        };
        let leaders: Vec<usize> = (0..3).filter(|node| has_lease(&self.replicas[*node])).collect();
        assert_eq!(leaders.len(), 1, "leaders {leaders:?}");
        leaders[0]
    }

    /// Runs `act` on a member, then carries out the effects at all members.
    fn act<R>(&mut self, node: usize, act: impl FnOnce(&mut Replica, u64) -> R) -> R {
        let result = act(&mut self.replicas[node], self.now);
        let mut messages: VecDeque<(usize, usize, Envelope)> = VecDeque::new();
        let mut busy = vec![node];
        while let Some(node) = busy.pop() {
            let effects = self.replicas[node].take_effects();
            for write in &effects.writes {
                if self.stalled_disks.contains(&node) {
                    self.unwritten.push((node, write.ticket));
                    continue;
                }
                self.replicas[node].written(self.now, write.ticket, true);
                busy.push(node);
            }
            self.answers.extend(effects.answers);
            for (to, envelope) in effects.send {
                let text = serde_json::to_string(&envelope).unwrap();
                if self.cut_on_send.is_some_and(|part| text.contains(part)) {
                    self.cut.insert(node);
                }
                let to = (0..3).find(|node| host(*node) == to).unwrap();
                messages.push_back((node, to, envelope));
            }
            if busy.is_empty() {
                while let Some((from, to, envelope)) = messages.pop_front() {
                    if !self.cut.contains(&from) && !self.cut.contains(&to) {
                        self.replicas[to].receive(self.now, vec![envelope]);
                        busy.push(to);
                        break;
                    }
                }
            }
        }
        result
    }

    /// A stalled disk completes its writes and works again.
    fn recover(&mut self, node: usize) {
        self.stalled_disks.remove(&node);
        let (own, others) = self.unwritten.drain(..).partition(|(owner, _)| *owner == node);
        self.unwritten = others;
        let own: Vec<(usize, u64)> = own;
        for (_, ticket) in own {
            self.act(node, |replica, now| replica.written(now, ticket, true));
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            for node in 0..3 {
                if !self.paused.contains(&node) && self.replicas[node].next_wake() <= self.now {
                    self.act(node, Replica::tick);
                }
            }
        }
    }

    /// Sends a whole document that builds on version `base`.
    fn change(&mut self, node: usize, base: u64, version: u64) -> Ticket {
        self.send(node, false, Some(base), &document(version))
    }

    fn send(&mut self, node: usize, patch: bool, base: Option<u64>, body: &serde_json::Value) -> Ticket {
        let body = serde_json::to_vec(body).unwrap().into();
        self.act(node, |replica, now| replica.change_config(now, Change { patch, base, body }))
    }

    fn take_answer(&mut self, ticket: Ticket) -> Option<Answer> {
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

fn heartbeat() -> Heartbeat {
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

fn watch_call(incarnation: u64) -> WatchCall {
    let line =
        GatewayInfo { name: "edge".into(), front: "10.1.0.1:80".into(), zone: "z1".into(), ready: true };
    WatchCall {
        caller: Caller::Gateway,
        name: "edge".into(),
        incarnation,
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

fn units(to: &Replica, incarnation: u64, seq: u64) -> UnitsCall {
    let to = to.consensus().term();
    let want = TenantUnits { requested: 10, ..TenantUnits::default() };
    let tenants = BTreeMap::from([("peach".into(), want)]);
    UnitsCall {
        incarnation,
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
fn a_leader_that_loses_its_majority_and_is_elected_again_keeps_its_register() {
    let mut core = Core::new(3);
    let leader = core.leader();
    assert_eq!(core.act(leader, |replica, now| replica.record_heartbeat(now, "i-1", &heartbeat())), Ok(None));
    core.act(leader, |replica, now| replica.begin_watch(now, &watch_call(7))).expect("it leads");
    let term = core.replicas[leader].consensus().term();
    // The others are paused and have no copy of the register, so only this one can become the leader.
    core.paused = (0..3).filter(|node| *node != leader).collect();
    core.cut.insert(leader);
    core.run(1_200);
    assert!(core.replicas[leader].leader_state().is_none(), "its majority is unreachable");
    assert!(core.act(leader, |replica, now| replica.record_heartbeat(now, "i-1", &heartbeat())).is_err());
    core.cut.clear();
    core.run(1_500);
    assert_eq!(core.leader(), leader);
    assert!(core.replicas[leader].consensus().term() > term);
    let (register, _) = core.replicas[leader].leader_state().expect("it leads again");
    assert_eq!((register.server_count(), register.roster().len()), (1, 1));
}

#[test]
fn a_leader_whose_lease_has_expired_answers_no_calls() {
    let mut core = Core::new(5);
    let leader = core.leader();
    let held: HeldWatch =
        core.act(leader, |replica, now| replica.begin_watch(now, &watch_call(7))).expect("it leads");
    let pending = core.act(leader, |replica, now| replica.remove_server(now, "i-1")).expect("it leads");
    core.act(leader, |replica, now| replica.claim(now, &claim(1, 1))).expect("it leads");
    core.cut.insert(leader);
    core.paused.insert(leader);
    core.run(Tuning::default().election_min_ms + 100);
    // It was suspended, and gets calls before its own tick: it still has the leader's state.
    let (now, replica) = (core.now, &mut core.replicas[leader]);
    assert!(replica.leader_state().is_some());
    assert!(replica.answer_watch(now, &watch_call(7), &held).is_err());
    assert!(replica.request_units(now, &units(replica, 7, 1)).is_err());
    assert!(replica.request_pace_shares(now, &PaceSharesCall::default()).is_err());
    assert!(replica.claim(now, &claim(1, 2)).is_err(), "not even a refusal is given");
    assert!(replica.record_heartbeat(now, "i-2", &heartbeat()).is_err());
    assert!(replica.ack_ready(now, &pending).is_err(), "not even though its deadlines have passed");
}

#[test]
fn no_departure_is_acknowledged_before_a_majority_has_it() {
    for ends in [false, true] {
        let mut core = Core::new(21);
        let leader = core.leader();
        let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
        assert_eq!(
            core.act(leader, |replica, now| replica.record_heartbeat(now, "i-1", &heartbeat())),
            Ok(None)
        );
        // They receive the entry, but their disks don't have it.
        core.stalled_disks.extend(others.iter().copied());
        let pending = core.act(leader, |replica, now| match ends {
            true => replica.remove_server(now, "i-1"),
            false => {
                let draining = Heartbeat { state: ServerState::Draining, call_seq: 2, ..heartbeat() };
                replica
                    .record_heartbeat(now, "i-1", &draining)
                    .map(|pending| pending.expect("a drain waits for its acknowledgement"))
            }
        });
        let pending = pending.expect("it leads");
        let (began, mut refused) = (core.now, None);
        while refused.is_none() && core.now < began + 2_000 {
            core.run(10);
            match core.act(leader, |replica, now| replica.ack_ready(now, &pending)) {
                Ok(is_ready) => {
                    assert!(!is_ready, "acknowledged after {} ms without a majority", core.now - began)
                }
                Err(redirect) => refused = Some((core.now - began, redirect.leader)),
            }
        }
        assert_eq!(refused, Some((700, None)), "before a server tries another member");
        // With one other disk of three the entry is committed.
        core.recover(others[0]);
        assert_eq!(core.act(leader, |replica, now| replica.ack_ready(now, &pending)), Ok(true));
        let departures = core.replicas[leader].state().departures().clone();
        let expected = if ends { Departure::Ended } else { Departure::Draining { call_seq: 2 } };
        assert_eq!(departures.get("i-1"), Some(expected));
    }
}

/// The numbers of a register start again with each term, so a pending acknowledgement of an earlier term says nothing about
/// the present register.
#[test]
fn a_pending_acknowledgement_of_an_earlier_term_is_refused() {
    let mut core = Core::new(22);
    let leader = core.leader();
    let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    core.stalled_disks.extend(others.iter().copied());
    let pending = core.act(leader, |replica, now| replica.remove_server(now, "i-1")).expect("it leads");
    let term = core.replicas[leader].consensus().term();
    core.cut.insert(leader);
    core.paused = others.iter().copied().collect();
    core.run(1_200);
    core.cut.clear();
    others.iter().for_each(|node| core.recover(*node));
    core.run(1_500);
    assert_eq!(core.leader(), leader);
    assert!(core.replicas[leader].consensus().term() > term);
    assert!(core.act(leader, |replica, now| replica.ack_ready(now, &pending)).is_err());
}

#[test]
fn departures_that_arrive_while_an_entry_is_in_flight_share_the_next_one() {
    let mut core = Core::new(23);
    let leader = core.leader();
    let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    core.stalled_disks.extend(others.iter().copied());
    let commit = core.replicas[leader].consensus().commit();
    let all_pending: Vec<_> = (0..50)
        .map(|number| {
            let id = format!("i-{number}");
            core.act(leader, |replica, now| replica.remove_server(now, &id)).expect("it leads")
        })
        .collect();
    others.iter().for_each(|node| core.recover(*node));
    core.run(300);
    for pending in &all_pending {
        assert_eq!(core.act(leader, |replica, now| replica.ack_ready(now, pending)), Ok(true));
    }
    assert_eq!(
        core.replicas[leader].consensus().commit(),
        commit + 2,
        "one entry for the first departure, one for all others"
    );
    assert_eq!(core.replicas[leader].state().departures().ended().len(), 50);
}

#[test]
fn a_departure_is_forgotten_when_the_drained_server_is_in_service_again() {
    let mut core = Core::new(24);
    let leader = core.leader();
    let with_state = |state, call_seq| Heartbeat { state, call_seq, ..heartbeat() };
    let draining = with_state(ServerState::Draining, 2);
    core.act(leader, |replica, now| replica.record_heartbeat(now, "i-1", &draining)).expect("it leads");
    core.run(10);
    assert_eq!(core.replicas[leader].state().departures().len(), 1);
    // A delayed heartbeat from before the drain.
    let delayed = with_state(ServerState::InService, 1);
    core.act(leader, |replica, now| replica.record_heartbeat(now, "i-1", &delayed)).expect("it leads");
    core.run(10);
    assert_eq!(core.replicas[leader].state().departures().len(), 1);
    let in_service = with_state(ServerState::InService, 3);
    core.act(leader, |replica, now| replica.record_heartbeat(now, "i-1", &in_service)).expect("it leads");
    core.run(10);
    assert!(core.replicas[leader].state().departures().is_empty());
}

#[test]
fn a_gateway_is_ready_until_its_last_watch_call_disconnects() {
    let mut core = Core::new(9);
    let leader = core.leader();
    let is_ready = |core: &Core| core.replicas[leader].roster().iter().any(|line| line.ready);
    let held = core.act(leader, |replica, now| replica.begin_watch(now, &watch_call(7))).expect("it leads");
    // Beside the held call: one that disconnects, one that is answered, and one that is refused without a lease.
    let other_call = WatchCall { wait_ms: 0, ..watch_call(7) };
    let dropped = core.act(leader, |replica, now| replica.begin_watch(now, &other_call)).expect("it leads");
    let answered = core.act(leader, |replica, now| replica.begin_watch(now, &other_call)).expect("it leads");
    let refused = core.act(leader, |replica, now| replica.begin_watch(now, &other_call)).expect("it leads");
    core.act(leader, |replica, now| replica.watch_disconnected(now, &other_call, &dropped));
    assert!(is_ready(&core), "another call is held");
    assert!(matches!(
        core.act(leader, |replica, now| replica.answer_watch(now, &other_call, &answered)),
        Ok(Some(_))
    ));
    let after_lease = core.now + Tuning::default().election_min_ms;
    assert!(
        core.replicas[leader].answer_watch(after_lease, &other_call, &refused).is_err(),
        "the lease has expired"
    );
    core.run(100);
    assert!(is_ready(&core));
    core.act(leader, |replica, now| replica.watch_disconnected(now, &watch_call(7), &held));
    assert!(!is_ready(&core), "no call is left");
}

/// New servers are announced in batches, but a server that drains and a gateway that leaves are announced at once.
#[test]
fn urgent_changes_are_sent_without_delay() {
    let mut core = Core::new(11);
    let leader = core.leader();
    let mut cache = WatchCache::new();
    let line = GatewayInfo { name: "g".into(), ..watch_call(7).gateway.expect("a line") };
    let call = |cache: &WatchCache| WatchCall {
        serves_directory: true,
        ..cache.watch_call(Caller::Gateway, "g", 9, Some(line.clone()), 1_000)
    };
    let other = |ready| {
        let line = GatewayInfo { ready, ..watch_call(7).gateway.expect("a line") };
        WatchCall { gateway: Some(line), ..watch_call(7) }
    };
    core.act(leader, |replica, now| replica.begin_watch(now, &other(true))).expect("it leads");
    // How long a call of an up-to-date sender is held when `change` happens.
    let mut held_ms = |core: &mut Core, change: &dyn Fn(&mut Replica, u64)| {
        let first = core
            .act(leader, |replica, now| replica.begin_watch(now, &WatchCall { wait_ms: 0, ..call(&cache) }));
        let first = first.expect("it leads");
        let answer = core
            .act(leader, |replica, now| replica.answer_watch(now, &call(&cache), &first))
            .expect("it leads");
        answer.map(|answer| cache.apply(answer).expect("it is newer"));
        let held =
            core.act(leader, |replica, now| replica.begin_watch(now, &call(&cache))).expect("it leads");
        core.act(leader, change);
        let began = core.now;
        while core
            .act(leader, |replica, now| replica.answer_watch(now, &call(&cache), &held))
            .expect("it leads")
            .is_none()
        {
            core.run(1);
        }
        core.now - began
    };
    let with_state = |state, call_seq| Heartbeat { state, call_seq, ..heartbeat() };
    let new_server_ms = held_ms(&mut core, &|replica, now| {
        let _ = replica.record_heartbeat(now, "i-1", &with_state(ServerState::InService, 1));
    });
    assert!((100..1_000).contains(&new_server_ms), "{new_server_ms} ms");
    let drain_ms = held_ms(&mut core, &|replica, now| {
        let _ = replica.record_heartbeat(now, "i-1", &with_state(ServerState::Draining, 2));
    });
    assert_eq!(drain_ms, 0);
    let gateway_leaves_ms = held_ms(&mut core, &|replica, now| {
        let _ = replica.begin_watch(now, &other(false));
    });
    assert_eq!(gateway_leaves_ms, 0);
}

/// Two gateways request their shares, each with its own demand. Returns the shares and the pace in the leader's view.
fn shares(core: &mut Core, seq: u64) -> (Vec<f64>, Option<f64>) {
    let leader = core.leader();
    for incarnation in [1, 2] {
        let call = WatchCall { name: format!("edge-{incarnation}"), ..watch_call(incarnation) };
        core.act(leader, |replica, now| replica.begin_watch(now, &call)).expect("it leads");
    }
    let mut request = |incarnation: u64, demand: f64| {
        let demand = BTreeMap::from([("peach".to_string(), demand)]);
        let call = PaceSharesCall {
            name: format!("edge-{incarnation}"),
            incarnation,
            seq,
            demand,
            ..PaceSharesCall::default()
        };
        let answer =
            core.act(leader, |replica, now| replica.request_pace_shares(now, &call)).expect("it leads");
        answer.shares.get("peach").copied()
    };
    let shares = [request(1, 30.0), request(2, 60.0)].into_iter().flatten().collect();
    (shares, core.replicas[leader].trial_views(core.now)["peach"].pace)
}

#[test]
fn a_throttled_tenants_pace_is_shared_between_gateways_and_the_next_leader_starts_without_shares() {
    let mut core = Core::new(11);
    let leader = core.leader();
    let mut doc = document(2);
    doc["trials"] = serde_json::json!({"peach": {"stages": [{"for_s": 2, "wait_s": 0.1},
        {"for_s": 60, "wait_s": 0.2, "pace": 0.9}, {"for_s": 60, "wait_s": 0.4, "pace": 0.5}]}});
    core.send(leader, false, Some(1), &doc);
    core.run(50);
    assert_eq!(shares(&mut core, 1), (vec![], None));
    let [unknown_tenant, ticket] = ["plum", "peach"]
        .map(|tenant| core.act(leader, |replica, now| replica.change_trial(now, tenant.into(), true)));
    core.run(50);
    assert!(
        matches!(core.take_answer(unknown_tenant), Some(Answer::NotFound(wants)) if wants.contains("plum"))
    );
    assert_eq!(core.take_answer(ticket), Some(Answer::Accepted));
    core.run(2_100);
    assert_eq!(shares(&mut core, 2), (vec![], Some(90.0)), "not all gateways have requested yet");
    let most: f64 = (3..20)
        .map(|seq| {
            core.run(500);
            shares(&mut core, seq).0.iter().sum()
        })
        .fold(0.0, f64::max);
    assert!((89.0..=135.0).contains(&most), "{most}");
    let steady = shares(&mut core, 20).0;
    assert!(steady[1] > 1.5 * steady[0] && steady[0] + steady[1] <= 90.0 + 1e-9, "{steady:?}");
    core.cut.insert(leader);
    core.run(3_000);
    assert_ne!(core.leader(), leader);
    assert_eq!(shares(&mut core, 21).0, [0.0; 0], "no gateway has requested from the next leader yet");
    let next = core.leader();
    let view = core.replicas[next].trial_views(core.now)["peach"].clone();
    assert!(
        view.stage == 2 && view.next_in_s.is_some_and(|next| next > 56.0),
        "the stage's duration starts again: {view:?}"
    );
}

#[test]
fn an_enrolment_that_is_lost_with_its_leader_grants_no_units() {
    let mut core = Core::new(7);
    let old = core.leader();
    core.cut.insert(old);
    let Ok(UnitsReply::Pending(ticket)) =
        core.act(old, |replica, now| replica.request_units(now, &units(replica, 9, 1)))
    else {
        panic!("units are granted before the process is on the log");
    };
    core.run(249);
    let lent = |core: &Core, node: usize| {
        let (_, counter) = core.replicas[node].leader_state().expect("it leads");
        counter.usage_by_tenant(core.now)["peach"].lent
    };
    assert_eq!((core.take_answer(ticket), lent(&core, old)), (None, 0));
    core.run(1);
    let answer = core.take_answer(ticket);
    assert!(matches!(answer, Some(Answer::NotLeader(_))), "before the gateway's own time-out: {answer:?}");
    core.run(2_000);
    let next = core.leader();
    assert_ne!(next, old);
    core.cut.clear();
    core.run(1_000);
    assert!(
        core.replicas.iter().all(|replica| replica.state().gateways().is_empty()),
        "the entry is not applied"
    );
    assert_eq!(lent(&core, next), 0);

    // The same without a failure.
    let Ok(UnitsReply::Pending(ticket)) =
        core.act(next, |replica, now| replica.request_units(now, &units(replica, 9, 2)))
    else {
        panic!("units are granted before the process is on the log");
    };
    let Some(Answer::Units(answer)) = core.take_answer(ticket) else { panic!("no answer") };
    assert_eq!(answer.tenants["peach"].granted, lent(&core, next));
    assert!(lent(&core, next) > 0);
    core.run(200);
    assert!(core.replicas.iter().all(|replica| replica.state().gateways().contains_key(&9)));
    assert!(matches!(
        core.act(next, |replica, now| replica.request_units(now, &units(replica, 9, 3))),
        Ok(UnitsReply::Immediate(_))
    ));
}

#[test]
fn a_change_whose_entry_another_leader_overwrites_is_answered_as_unknown() {
    let mut core = Core::new(11);
    let old = core.leader();
    core.cut_on_send = Some("\\\"version\\\":2");
    let lost = core.change(old, 1, 2);
    assert!(core.cut.contains(&old), "it was cut off while it sent its entry");
    assert_eq!(core.take_answer(lost), None);
    let index = core.replicas[old].consensus().commit() + 1;
    core.cut_on_send = None;
    core.run(2_000);
    assert_eq!(core.take_answer(lost), Some(Answer::Unknown));
    let next = core.leader();
    assert!(core.replicas[next].consensus().commit() >= index, "another entry has its index");
    let other = core.change(next, 1, 3);
    assert_eq!(core.take_answer(other), Some(Answer::Accepted));
    core.cut.clear();
    core.run(1_000);
    let again = core.change(next, 1, 2);
    assert_eq!(core.take_answer(again), Some(Answer::Conflict(Some(3))));
    assert!(core.replicas.iter().all(|replica| replica.state().version() == 3));
}

#[test]
fn a_change_is_validated_against_the_state_that_a_majority_has_confirmed() {
    let mut core = Core::new(13);
    let leader = core.leader();
    let follower = (leader + 1) % 3;
    let patch = serde_json::json!({"config_version": 2, "tenants": {"peach": {"rate_per_s": 50}}});
    let wants = |answer: Option<Answer>| match answer {
        Some(Answer::Invalid(wants)) => wants,
        other => panic!("{other:?}"),
    };
    let mut send = |node, patch, base, body: &serde_json::Value| {
        let ticket = core.send(node, patch, base, body);
        core.take_answer(ticket)
    };
    assert!(
        matches!(send(follower, true, Some(1), &patch), Some(Answer::NotLeader(to)) if to.leader.is_some())
    );
    assert!(wants(send(leader, true, None, &patch)).contains("If-Match"));
    assert!(wants(send(leader, false, Some(1), &document(1))).contains("config_version"));
    assert_eq!(send(leader, true, Some(4), &patch), Some(Answer::Conflict(Some(1))));
    assert_eq!(send(leader, true, Some(1), &patch), Some(Answer::Accepted));
    assert_eq!(send(leader, true, Some(1), &patch), Some(Answer::Accepted), "a repeat of the same call");
    assert_eq!(send(leader, false, Some(1), &document(3)), Some(Answer::Conflict(Some(2))));
}

const GATEWAYS: usize = 295;
const SERVERS: usize = 900;
/// One-way latency between a gateway and the leader, ms.
const ONE_WAY_MS: u64 = 20;

/// The state of a gateway's watch call.
enum WatchState {
    Request(u64, WatchCall),
    Held(WatchCall, HeldWatch),
    Answer(u64, WatchAnswer),
}

struct Gateway {
    name: String,
    cache: WatchCache,
    watch: WatchState,
    /// Bytes and number of the answers received.
    received: (usize, usize),
}

impl Gateway {
    fn new(number: usize, start: u64) -> Gateway {
        let (name, cache) = (format!("edge-atl-north-{number}"), WatchCache::new());
        let watch = WatchState::Request(start, Gateway::watch_call(&name, &cache));
        Gateway { name, cache, watch, received: (0, 0) }
    }

    fn watch_call(name: &str, cache: &WatchCache) -> WatchCall {
        let ready = cache.term() > 0;
        let line =
            GatewayInfo { name: name.into(), front: "10.1.0.255:8481".into(), zone: "z1".into(), ready };
        WatchCall { serves_directory: true, ..cache.watch_call(Caller::Gateway, name, 7, Some(line), 1_000) }
    }

    fn step(&mut self, core: &mut Core, leader: usize) {
        let now = core.now;
        match &self.watch {
            WatchState::Request(arrives_at, call) if now >= *arrives_at => {
                let held = core.act(leader, |replica, now| replica.begin_watch(now, call)).expect("it leads");
                self.watch = WatchState::Held(call.clone(), held);
            }
            WatchState::Answer(arrives_at, answer) if now >= *arrives_at => {
                self.received.0 += serde_json::to_vec(answer).expect("plain data").len();
                self.received.1 += 1;
                self.cache.apply(answer.clone()).expect("it is newer");
                self.watch =
                    WatchState::Request(now + ONE_WAY_MS, Gateway::watch_call(&self.name, &self.cache));
            }
            _ => {}
        }
        if let WatchState::Held(call, held) = &self.watch {
            let answer =
                core.act(leader, |replica, now| replica.answer_watch(now, call, held)).expect("it leads");
            self.watch = match answer {
                Some(answer) => WatchState::Answer(now + ONE_WAY_MS, answer),
                None => return,
            };
        }
    }
}

/// While a large fleet starts, a gateway receives every server and gateway once, and every gateway once more when that
/// becomes ready: less than twice what it has in the end.
#[test]
fn a_gateway_of_a_large_fleet_receives_less_than_twice_what_it_has_in_the_end() {
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
                let heartbeat = Heartbeat { address, call_seq: core.now, ..heartbeat() };
                let id = format!("i-{server:010x}");
                core.act(leader, |replica, now| replica.record_heartbeat(now, &id, &heartbeat))
                    .expect("it leads");
            }
        }
        gateways.iter_mut().for_each(|gateway| gateway.step(&mut core, leader));
    }
    let catalog = gateways[0].cache.catalog();
    assert_eq!((catalog.servers.len(), catalog.roster.len()), (SERVERS, GATEWAYS));
    assert!(catalog.roster.iter().all(|line| line.ready));
    let held = serde_json::to_vec(&gateways[0].cache.to_answer()).expect("plain data").len();
    let bytes = gateways.iter().map(|gateway| gateway.received.0).sum::<usize>() / GATEWAYS;
    let answers = gateways.iter().map(|gateway| gateway.received.1).sum::<usize>() / GATEWAYS;
    println!("{bytes} bytes received in {answers} answers, {held} held");
    assert!(bytes < 2 * held, "{bytes} bytes received in {answers} answers, {held} held");
}
