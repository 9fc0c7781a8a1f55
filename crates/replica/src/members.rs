//! Operators' orders on who is a member of the core: what is asked for, checked against who is there.

use crate::machine::Replica;
use crate::state::{CoreOrder, Entry};
use nickeljunction_consensus::{Exclusion, PeerStatus, MEMBERS_MAX, MEMBERS_MIN};
use quick_error::quick_error;
use serde::Serialize;

/// What operators ask for. Hosts are IP addresses, as members go by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wish {
    /// This host is to be a member; in the place of the other one, where it is named.
    Come(String, Option<String>),
    /// This host is to be none.
    Go(String),
}

quick_error! {
    /// Why an order on the core's members is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Unfit {
        /// Another order isn't carried out yet.
        Busy(open: String) {
            display("{} is under way: wait for it, or take it back by ordering its opposite", open)
        }
        /// No such member.
        Unknown(host: String, members: String) {
            display("{} is no member; members are {}", host, members)
        }
        /// Both hosts are members.
        There(host: String) {
            display("{} is a member already: remove the other one", host)
        }
        /// Enough members.
        Full(members: usize) {
            display("there are {} members, wants {} at most", members, MEMBERS_MAX)
        }
        /// Too few would be left.
        Few(left: usize) {
            display("{} members would be left, wants {} at least: add one first, or replace it", left, MEMBERS_MIN)
        }
        /// Those left wouldn't decide anything.
        Silent(left: usize, answering: usize, silent: String) {
            display("of the {} members that would be left {} answer, wants more than half; silent: {}", left, answering, silent)
        }
    }
}

/// One machine of the core, as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberSeat {
    /// Its address.
    pub host: String,
    /// The number of its disk.
    pub id: u64,
    /// `leads`, `member`, `learner` (taught, doesn't count) or `awaited` (ordered, hasn't asked to be taken in).
    pub part: &'static str,
    /// Its disk has the log up to this index.
    pub kept: u64,
    /// Since its last answer, ms.
    pub silent_ms: u64,
    /// It answers.
    pub reachable: bool,
}

/// The core's machines, and how far the last order is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CoreView {
    /// Newest index that is agreed.
    pub commit: u64,
    /// How many orders there were.
    pub orders: u64,
    /// What isn't carried out of the last one.
    pub open: Option<String>,
    /// Members, learners, and who is awaited.
    pub machines: Vec<MemberSeat>,
    /// Hosts that operators keep away.
    pub away: Vec<String>,
}

/// What of an order is still to be done, with these hosts as members; `None`: nothing.
fn open(order: &CoreOrder, members: &[String]) -> Option<String> {
    let come = order.come.as_ref().filter(|host| !members.contains(host));
    let go = order.away.iter().rev().map(|away| &away.host).find(|host| members.contains(host));
    match (come, go) {
        (Some(come), Some(go)) => Some(format!("replacement of {go} by {come}")),
        (Some(come), None) => Some(format!("addition of {come}")),
        (None, Some(go)) => Some(format!("removal of {go}")),
        (None, None) => None,
    }
}

/// The order that a wish makes on top of the last one; `None`: it is so already, or on its way. `members`: hosts and
/// whether they answer.
fn order(wish: &Wish, last: &CoreOrder, members: &[(String, bool)]) -> Result<Option<CoreOrder>, Unfit> {
    let hosts: Vec<String> = members.iter().map(|(host, _)| host.clone()).collect();
    let is_member = |host: &String| hosts.contains(host);
    let list = || hosts.join(", ");
    let after = |host: &String| last.away.iter().find(|away| away.host == *host).map(|away| &away.after);
    let mut next = CoreOrder { come: None, away: last.away.clone() };
    // What waited for somebody has come to pass where nothing is open.
    let open = open(last, &hosts);
    match wish {
        Wish::Come(new, None) => {
            if is_member(new) && after(new).is_none() || last.come.as_ref() == Some(new) {
                return Ok(None);
            }
            // Of a member that is to go it takes the order back.
            if !is_member(new) && hosts.len() >= MEMBERS_MAX {
                return Err(Unfit::Full(hosts.len()));
            }
            next.away.retain(|away| away.host != *new);
            next.come = Some(new.clone());
            let takes_back = is_member(new);
            refuse_second(open, takes_back)?;
        }
        Wish::Come(new, Some(old)) => {
            let on_its_way = after(old).is_some_and(|after| after.as_ref() == Some(new));
            // A host never takes its own place, though it be there still and about to go.
            if on_its_way || (new != old && is_member(new) && after(old).is_some()) {
                return Ok(None);
            }
            refuse_second(open, false)?;
            if !is_member(old) {
                return Err(Unfit::Unknown(old.clone(), list()));
            }
            if is_member(new) {
                return Err(Unfit::There(new.clone()));
            }
            if hosts.len() >= MEMBERS_MAX {
                return Err(Unfit::Full(hosts.len()));
            }
            next.away.retain(|away| away.host != *new);
            next.away.push(Exclusion { host: old.clone(), after: Some(new.clone()) });
            next.come = Some(new.clone());
            remain(members, old, true)?;
        }
        Wish::Go(host) => {
            if after(host).is_some_and(|after| after.is_none()) {
                return Ok(None);
            }
            // One that is awaited: the order is taken back, and whoever was to make room for it stays.
            let takes_back = !is_member(host) && last.come.as_ref() == Some(host);
            refuse_second(open, takes_back)?;
            if !takes_back && !is_member(host) {
                return Err(Unfit::Unknown(host.clone(), list()));
            }
            next.away.retain(|away| away.after.as_ref() != Some(host) || !is_member(&away.host));
            next.away.retain(|away| away.host != *host);
            next.away.push(Exclusion { host: host.clone(), after: None });
            if is_member(host) {
                remain(members, host, false)?;
            }
        }
    }
    for away in &mut next.away {
        // Whose successor came stays away whatever becomes of that one.
        if !is_member(&away.host) {
            away.after = None;
        }
    }
    // More than can be members are never kept away for a purpose.
    let excess = next.away.len().saturating_sub(AWAY_MAX);
    next.away.drain(..excess);
    Ok(Some(next))
}

/// Hosts that are kept away at most; the oldest is forgotten.
const AWAY_MAX: usize = 32;

fn refuse_second(open: Option<String>, takes_back: bool) -> Result<(), Unfit> {
    match open {
        Some(open) if !takes_back => Err(Unfit::Busy(open)),
        _ => Ok(()),
    }
}

/// Enough are left without this host, and more than half of them answer, where `one_comes` one more that does.
fn remain(members: &[(String, bool)], without: &String, one_comes: bool) -> Result<(), Unfit> {
    let rest: Vec<&(String, bool)> = members.iter().filter(|(host, _)| host != without).collect();
    let left = rest.len() + usize::from(one_comes);
    // No step of the log goes below it, not even to where it is: a wiped machine may be about to come back.
    if left < MEMBERS_MIN {
        return Err(Unfit::Few(left));
    }
    let answering = rest.iter().filter(|(_, answers)| *answers).count() + usize::from(one_comes);
    if answering <= left / 2 {
        let silent: Vec<&str> =
            rest.iter().filter(|(_, answers)| !answers).map(|(host, _)| host.as_str()).collect();
        return Err(Unfit::Silent(left, answering, silent.join(", ")));
    }
    Ok(())
}

impl Replica {
    /// The members by host, and whether they answer this one, which leads.
    fn hosts(&self, now: u64) -> Vec<(String, bool)> {
        let seen = self.book.peer_statuses(now);
        let answers = |id| seen.iter().any(|seen| seen.member.id == id && seen.reachable);
        let me = self.book.me().id;
        let members = self.book.members().iter();
        members.map(|member| (member.host.clone(), member.id == me || answers(member.id))).collect()
    }

    /// The entry that a wish makes, on top of what was ordered; `None`: nothing is to be done.
    pub(crate) fn core_entry(&self, now: u64, wish: &Wish) -> Result<Option<Entry>, Unfit> {
        let (base, last) = self.state.core();
        Ok(order(wish, last, &self.hosts(now))?.map(|order| Entry::Core { base, order }))
    }

    /// The core's machines as this one, which leads, sees them.
    pub fn core_view(&self, now: u64) -> CoreView {
        let (me, commit) = (self.book.me(), self.book.commit());
        let hosts: Vec<String> = self.book.members().iter().map(|member| member.host.clone()).collect();
        let own = MemberSeat {
            host: me.host.clone(),
            id: me.id,
            part: "leads",
            kept: commit,
            silent_ms: 0,
            reachable: true,
        };
        let other = |seen: PeerStatus| MemberSeat {
            host: seen.member.host,
            id: seen.member.id,
            part: if seen.learner { "learner" } else { "member" },
            kept: seen.match_index,
            silent_ms: seen.silent_ms,
            reachable: seen.reachable,
        };
        let mut machines = vec![own];
        machines.extend(self.book.peer_statuses(now).into_iter().map(other));
        let (orders, order) = self.state.core();
        let awaited =
            order.come.as_ref().filter(|come| !machines.iter().any(|known| known.host == **come)).cloned();
        machines.extend(awaited.map(|host| MemberSeat {
            host,
            id: 0,
            part: "awaited",
            kept: 0,
            silent_ms: 0,
            reachable: false,
        }));
        let away = order.away.iter().map(|away| away.host.clone()).collect();
        CoreView { commit, orders, open: open(order, &hosts), machines, away }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all(hosts: &str, silent: &str) -> Vec<(String, bool)> {
        hosts
            .split(' ')
            .map(|host| (host.to_string(), !silent.split(' ').any(|other| other == host)))
            .collect()
    }

    fn come(host: &str) -> Wish {
        Wish::Come(host.into(), None)
    }

    fn replace(old: &str, new: &str) -> Wish {
        Wish::Come(new.into(), Some(old.into()))
    }

    fn go(host: &str) -> Wish {
        Wish::Go(host.into())
    }

    #[test]
    fn orders_go_one_at_a_time_and_repeats_change_nothing() {
        let none = CoreOrder::default();
        let three = all("a b c", "");
        assert_eq!(order(&come("a"), &none, &three), Ok(None), "it is one");
        let add = order(&come("d"), &none, &three).expect("fit").expect("new");
        assert_eq!(order(&come("d"), &add, &three), Ok(None), "the same again");
        assert!(matches!(order(&come("e"), &add, &three), Err(Unfit::Busy(open)) if open == "addition of d"));
        let back = order(&go("d"), &add, &three).expect("fit").expect("new");
        assert_eq!(open(&back, &["a".into()]), None, "taken back");
        // It came: the next may.
        let four = all("a b c d", "");
        let swap = order(&replace("a", "e"), &add, &four).expect("fit").expect("new");
        assert_eq!(order(&replace("a", "e"), &swap, &four), Ok(None));
        assert_eq!(open(&swap, &["a", "b"].map(String::from)).as_deref(), Some("replacement of a by e"));
        assert!(matches!(order(&go("b"), &swap, &four), Err(Unfit::Busy(_))));
        let stays = order(&go("e"), &swap, &four).expect("fit").expect("new");
        assert!(!stays.away.iter().any(|away| away.host == "a"), "whoever was to make room stays");
        // It is done: e is there, a is gone and stays away whatever becomes of e.
        let done = all("b c d e", "");
        assert_eq!(order(&replace("a", "e"), &swap, &done), Ok(None));
        let next = order(&go("e"), &swap, &done).expect("fit").expect("new");
        assert_eq!(next.away, ["a", "e"].map(|host| Exclusion { host: host.into(), after: None }));
        assert_eq!(order(&go("e"), &next, &done), Ok(None));
        let again = order(&come("e"), &next, &done).expect("fit").expect("takes the removal back");
        assert!(!again.away.iter().any(|away| away.host == "e"));
        assert!(order(&come("a"), &next, &all("b c d", "")).expect("fit").is_some(), "a may come again");
    }

    #[test]
    fn no_order_is_taken_that_the_floor_of_three_keeps_open_for_ever() {
        // The third machine was wiped, and is not back yet under its new number.
        let two = all("a b", "");
        assert_eq!(order(&replace("b", "c"), &CoreOrder::default(), &two), Err(Unfit::Few(2)));
        assert!(order(&come("c"), &CoreOrder::default(), &two).is_ok());
    }

    #[test]
    fn a_host_that_is_to_go_is_not_replaced_by_itself() {
        let four = all("a b c d", "");
        let goes = order(&go("a"), &CoreOrder::default(), &four).expect("fit").expect("new");
        assert_eq!(order(&replace("a", "a"), &goes, &four), Err(Unfit::Busy("removal of a".into())));
        assert_eq!(order(&replace("a", "a"), &CoreOrder::default(), &four), Err(Unfit::There("a".into())));
    }

    #[test]
    fn what_would_leave_a_core_that_decides_nothing_is_refused() {
        let none = CoreOrder::default();
        assert_eq!(order(&go("a"), &none, &all("a b c", "")), Err(Unfit::Few(2)));
        assert_eq!(
            order(&go("x"), &none, &all("a b c", "")),
            Err(Unfit::Unknown("x".into(), "a, b, c".into()))
        );
        assert!(matches!(order(&replace("x", "d"), &none, &all("a b c", "")), Err(Unfit::Unknown(..))));
        assert_eq!(order(&replace("a", "b"), &none, &all("a b c", "")), Err(Unfit::There("b".into())));
        assert!(order(&go("a"), &none, &all("a b c d", "d")).is_ok());
        let refused = order(&go("a"), &none, &all("a b c d e", "d e"));
        assert_eq!(refused, Err(Unfit::Silent(4, 2, "d, e".into())));
        assert!(order(&go("e"), &none, &all("a b c d e", "d e")).is_ok(), "the silent one may go");
        assert!(order(&replace("c", "d"), &none, &all("a b c", "c")).is_ok());
        assert_eq!(order(&come("h"), &none, &all("a b c d e f g", "")), Err(Unfit::Full(7)));
    }
}
