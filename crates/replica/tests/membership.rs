//! Changes of the core's membership through whole members on a simulated clock: each message takes 2 ms, and each write is
//! synced at once.

use nickeljunction_consensus::{bootstrap_member_id, member_id_from_random, Envelope, Restored, Tuning};
use nickeljunction_messages::Member;
use nickeljunction_replica::{Answer, MemberConfig, MembershipError, MembershipRequest, Replica, Ticket};
use nickeljunction_schema::Bounds;
use std::collections::BTreeMap;
use std::rc::Rc;

const ONE_WAY_MS: u64 = 2;

struct Core {
    now: u64,
    replicas: BTreeMap<String, Replica>,
    messages: Vec<(u64, String, Envelope)>,
    answers: Vec<(String, Ticket, Answer)>,
}

fn host(number: u8) -> String {
    format!("10.0.0.{number}")
}

impl Core {
    fn start(&mut self, number: u8, restored: Restored) {
        let config = Rc::new(MemberConfig {
            name: format!("core-{number}"),
            host: host(number),
            zones: BTreeMap::new(),
            bounds: Bounds::default(),
            heartbeat_ms: 1_500,
        });
        let mut replica = Replica::new(config, restored, Tuning::default(), number.into(), self.now);
        replica.add_seed_hosts(self.now, &[host(1), host(2), host(3)]);
        self.replicas.insert(host(number), replica);
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            let now = self.now;
            let (due, later) = std::mem::take(&mut self.messages)
                .into_iter()
                .partition(|(arrives_at, ..)| *arrives_at <= now);
            self.messages = later;
            for (_, to, envelope) in due {
                if let Some(replica) = self.replicas.get_mut(&to) {
                    replica.receive(now, vec![envelope]);
                }
            }
            for (host, replica) in &mut self.replicas {
                if replica.next_wake() <= now {
                    replica.tick(now);
                }
                loop {
                    let effects = replica.take_effects();
                    let sent =
                        effects.send.into_iter().map(|(to, envelope)| (now + ONE_WAY_MS, to, envelope));
                    self.messages.extend(sent);
                    let answers = effects.answers.into_iter();
                    self.answers.extend(answers.map(|(ticket, answer)| (host.clone(), ticket, answer)));
                    if effects.writes.is_empty() {
                        break;
                    }
                    effects.writes.iter().for_each(|write| replica.written(now, write.ticket, true));
                }
            }
        }
    }

    fn leader(&self) -> String {
        let leads = self.replicas.iter().filter(|(_, replica)| replica.leader_state().is_some());
        leads.max_by_key(|(_, replica)| replica.consensus().term()).expect("there is a leader").0.clone()
    }

    /// Sends a request to the leader and waits for its answer.
    fn request(&mut self, request: MembershipRequest) -> Answer {
        let leader = self.leader();
        let ticket = self.replicas.get_mut(&leader).expect("it leads").change_membership(self.now, request);
        self.run(100);
        let answer = self.answers.iter().rev().find(|(host, own, _)| *host == leader && *own == ticket);
        answer.expect("an answer within 100 ms").2.clone()
    }

    fn members(&self) -> Vec<String> {
        let view = self.replicas[&self.leader()].core_view(self.now);
        assert_eq!(view.open_order, None, "{view:?}");
        let mut hosts: Vec<String> = view.machines.into_iter().map(|machine| machine.host).collect();
        hosts.sort();
        hosts
    }
}

#[test]
fn a_replaced_leader_leaves_the_core_and_stays_excluded() {
    let mut core = Core { now: 0, replicas: BTreeMap::new(), messages: Vec::new(), answers: Vec::new() };
    let founders: Vec<Member> =
        (1..=3).map(|n| Member { id: bootstrap_member_id(&host(n)), host: host(n) }).collect();
    for (number, me) in (1..).zip(&founders) {
        core.start(number, Restored::bootstrap(me.clone(), founders.clone()));
    }
    core.run(2_000);
    let old = core.leader();
    let replacement = MembershipRequest::Add(host(4), Some(old.clone()));
    assert_eq!(core.request(replacement.clone()), Answer::Accepted);
    assert_eq!(core.request(replacement.clone()), Answer::Accepted, "a repeat");
    let second = core.request(MembershipRequest::Add(host(5), None));
    assert!(matches!(second, Answer::MembershipRefused(MembershipError::InProgress(_))), "{second:?}");
    let view = core.replicas[&old].core_view(core.now);
    assert!(
        view.machines.iter().any(|machine| machine.host == host(4) && machine.role == "awaited"),
        "{view:?}"
    );
    // The new machine starts and joins. The old leader is removed, and is not taken in again though it asks to join.
    core.start(4, Restored::joining(Member { id: member_id_from_random(77), host: host(4) }));
    core.run(3_000);
    let remaining: Vec<String> = (1..=4).map(host).filter(|host| *host != old).collect();
    assert_eq!(core.members(), remaining);
    core.run(8_000);
    assert_eq!(core.members(), remaining);
    assert_eq!(core.request(replacement), Answer::Accepted, "it is carried out already");
    assert_eq!(
        core.request(MembershipRequest::Remove(host(4))),
        Answer::MembershipRefused(MembershipError::TooFewMembers(2))
    );
    let unknown = core.request(MembershipRequest::Remove(host(9)));
    assert!(matches!(unknown, Answer::MembershipRefused(MembershipError::UnknownMember(..))), "{unknown:?}");
    // The old leader is added again as one of four members.
    assert_eq!(core.request(MembershipRequest::Add(old, None)), Answer::Accepted);
    core.run(2_000);
    assert_eq!(core.members(), (1..=4).map(host).collect::<Vec<_>>());
}
