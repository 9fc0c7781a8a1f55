//! Orders on who is a member of the core, through whole core members on a clock of their own: each message takes 2 ms, each
//! write is synced at once.

use nickeljunction_consensus::{bootstrap_member_id, member_id_from_random, Envelope, Restored, Tuning};
use nickeljunction_messages::Member;
use nickeljunction_replica::{Answer, MemberConfig, MembershipError, MembershipRequest, Replica, Ticket};
use nickeljunction_schema::Bounds;
use std::collections::BTreeMap;
use std::rc::Rc;

const WAY_MS: u64 = 2;

struct Core {
    now: u64,
    houses: BTreeMap<String, Replica>,
    mail: Vec<(u64, String, Envelope)>,
    answers: Vec<(String, Ticket, Answer)>,
}

fn host(number: u8) -> String {
    format!("10.0.0.{number}")
}

impl Core {
    fn start(&mut self, number: u8, restored: Restored) {
        let place = Rc::new(MemberConfig {
            name: format!("core-{number}"),
            host: host(number),
            zones: BTreeMap::new(),
            bounds: Bounds::default(),
            heartbeat_ms: 1_500,
        });
        let mut house = Replica::new(place, restored, Tuning::default(), number.into(), self.now);
        house.add_seed_hosts(self.now, &[host(1), host(2), host(3)]);
        self.houses.insert(host(number), house);
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            let now = self.now;
            let (due, later) = std::mem::take(&mut self.mail).into_iter().partition(|(at, ..)| *at <= now);
            self.mail = later;
            for (_, to, envelope) in due {
                if let Some(house) = self.houses.get_mut(&to) {
                    house.receive(now, vec![envelope]);
                }
            }
            for (at, house) in &mut self.houses {
                if house.next_wake() <= now {
                    house.tick(now);
                }
                loop {
                    let effects = house.take_effects();
                    let sent = effects.send.into_iter().map(|(to, envelope)| (now + WAY_MS, to, envelope));
                    self.mail.extend(sent);
                    let told = effects.answers.into_iter();
                    self.answers.extend(told.map(|(ticket, answer)| (at.clone(), ticket, answer)));
                    if effects.writes.is_empty() {
                        break;
                    }
                    effects.writes.iter().for_each(|write| house.written(now, write.ticket, true));
                }
            }
        }
    }

    fn leader(&self) -> String {
        let leads = self.houses.iter().filter(|(_, house)| house.leader_state().is_some());
        leads.max_by_key(|(_, house)| house.consensus().term()).expect("somebody leads").0.clone()
    }

    /// Gives an order to whoever leads and waits for its answer.
    fn order(&mut self, wish: MembershipRequest) -> Answer {
        let leader = self.leader();
        let ticket = self.houses.get_mut(&leader).expect("it leads").change_membership(self.now, wish);
        self.run(100);
        let given = self.answers.iter().rev().find(|(at, of, _)| *at == leader && *of == ticket);
        given.expect("an answer within 100 ms").2.clone()
    }

    fn members(&self) -> Vec<String> {
        let view = self.houses[&self.leader()].core_view(self.now);
        assert_eq!(view.open_order, None, "{view:?}");
        let mut hosts: Vec<String> = view.machines.into_iter().map(|berth| berth.host).collect();
        hosts.sort();
        hosts
    }
}

#[test]
fn the_leader_is_replaced_by_order_and_stays_away() {
    let mut core = Core { now: 0, houses: BTreeMap::new(), mail: Vec::new(), answers: Vec::new() };
    let founders: Vec<Member> =
        (1..=3).map(|n| Member { id: bootstrap_member_id(&host(n)), host: host(n) }).collect();
    for (number, me) in (1..).zip(&founders) {
        core.start(number, Restored::bootstrap(me.clone(), founders.clone()));
    }
    core.run(2_000);
    let old = core.leader();
    let swap = MembershipRequest::Add(host(4), Some(old.clone()));
    assert_eq!(core.order(swap.clone()), Answer::Accepted);
    assert_eq!(core.order(swap.clone()), Answer::Accepted, "the same again");
    let second = core.order(MembershipRequest::Add(host(5), None));
    assert!(matches!(second, Answer::MembershipRefused(MembershipError::InProgress(_))), "{second:?}");
    let view = core.houses[&old].core_view(core.now);
    assert!(view.machines.iter().any(|berth| berth.host == host(4) && berth.role == "awaited"), "{view:?}");
    // The machine starts: it comes, the old leader goes and stays away though it asks.
    core.start(4, Restored::joining(Member { id: member_id_from_random(77), host: host(4) }));
    core.run(3_000);
    let left: Vec<String> = (1..=4).map(host).filter(|host| *host != old).collect();
    assert_eq!(core.members(), left);
    core.run(8_000);
    assert_eq!(core.members(), left);
    assert_eq!(core.order(swap), Answer::Accepted, "it is so");
    assert_eq!(
        core.order(MembershipRequest::Remove(host(4))),
        Answer::MembershipRefused(MembershipError::TooFewMembers(2))
    );
    let unknown = core.order(MembershipRequest::Remove(host(9)));
    assert!(matches!(unknown, Answer::MembershipRefused(MembershipError::UnknownMember(..))), "{unknown:?}");
    // Called back, it is one of four.
    assert_eq!(core.order(MembershipRequest::Add(old, None)), Answer::Accepted);
    core.run(2_000);
    assert_eq!(core.members(), (1..=4).map(host).collect::<Vec<_>>());
}
