//! Operators' orders on who is a member of the core: what is asked for, checked against who is there.

use crate::replica::Replica;
use crate::state::{Entry, MembershipOrder};
use nickeljunction_consensus::{Exclusion, PeerStatus, MEMBERS_MAX, MEMBERS_MIN};
use quick_error::quick_error;
use serde::Serialize;
use std::fmt;

/// An operator's request to change the core's membership. Hosts are IP addresses.
#[derive(Clone, PartialEq, Eq)]
pub enum MembershipRequest {
    /// Adds this host, in the place of the other one if that is given.
    Add(String, Option<String>),
    /// Removes this host.
    Remove(String),
}

/// The event log prints this text, in which the variants keep the names that they have always had.
impl fmt::Debug for MembershipRequest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MembershipRequest::Add(new, replaced) => {
                formatter.debug_tuple("Come").field(new).field(replaced).finish()
            }
            MembershipRequest::Remove(host) => formatter.debug_tuple("Go").field(host).finish(),
        }
    }
}

quick_error! {
    /// Why an order on the core's members is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum MembershipError {
        /// Another order isn't carried out yet.
        InProgress(open: String) {
            display("{} is under way: wait for it, or take it back by ordering its opposite", open)
        }
        /// No such member.
        UnknownMember(host: String, members: String) {
            display("{} is no member; members are {}", host, members)
        }
        /// Both hosts are members.
        AlreadyMember(host: String) {
            display("{} is a member already: remove the other one", host)
        }
        /// Enough members.
        TooManyMembers(members: usize) {
            display("there are {} members, wants {} at most", members, MEMBERS_MAX)
        }
        /// Too few would be left.
        TooFewMembers(left: usize) {
            display("{} members would be left, wants {} at least: add one first, or replace it", left, MEMBERS_MIN)
        }
        /// Those left wouldn't decide anything.
        TooFewAnswering(left: usize, answering: usize, silent: String) {
            display("of the {} members that would be left {} answer, wants more than half; silent: {}", left, answering, silent)
        }
    }
}

/// One machine of the core, as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberView {
    /// Its address.
    pub host: String,
    /// The number of its disk.
    pub id: u64,
    /// `leads`, `member`, `learner` (taught, doesn't count) or `awaited` (ordered, hasn't asked to be taken in).
    #[serde(rename = "part")]
    pub role: &'static str,
    /// Its disk has the log up to this index.
    #[serde(rename = "kept")]
    pub match_index: u64,
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
    #[serde(rename = "open")]
    pub open_order: Option<String>,
    /// Members, learners, and who is awaited.
    pub machines: Vec<MemberView>,
    /// Hosts that operators keep away.
    #[serde(rename = "away")]
    pub excluded_hosts: Vec<String>,
}

/// What of an order is still to be done, with these hosts as members; `None`: nothing.
fn open(order: &MembershipOrder, members: &[String]) -> Option<String> {
    let come = order.requested_host.as_ref().filter(|host| !members.contains(host));
    let go = order.excluded.iter().rev().map(|away| &away.host).find(|host| members.contains(host));
    match (come, go) {
        (Some(come), Some(go)) => Some(format!("replacement of {go} by {come}")),
        (Some(come), None) => Some(format!("addition of {come}")),
        (None, Some(go)) => Some(format!("removal of {go}")),
        (None, None) => None,
    }
}

/// The order that a wish makes on top of the last one; `None`: it is so already, or on its way. `members`: hosts and
/// whether they answer.
fn order(
    wish: &MembershipRequest,
    last: &MembershipOrder,
    members: &[(String, bool)],
) -> Result<Option<MembershipOrder>, MembershipError> {
    let hosts: Vec<String> = members.iter().map(|(host, _)| host.clone()).collect();
    let is_member = |host: &String| hosts.contains(host);
    let list = || hosts.join(", ");
    let after = |host: &String| last.excluded.iter().find(|away| away.host == *host).map(|away| &away.after);
    let mut next = MembershipOrder { requested_host: None, excluded: last.excluded.clone() };
    // What waited for somebody has come to pass where nothing is open.
    let open = open(last, &hosts);
    match wish {
        MembershipRequest::Add(new, None) => {
            if is_member(new) && after(new).is_none() || last.requested_host.as_ref() == Some(new) {
                return Ok(None);
            }
            // Of a member that is to go it takes the order back.
            if !is_member(new) && hosts.len() >= MEMBERS_MAX {
                return Err(MembershipError::TooManyMembers(hosts.len()));
            }
            next.excluded.retain(|away| away.host != *new);
            next.requested_host = Some(new.clone());
            let takes_back = is_member(new);
            refuse_second(open, takes_back)?;
        }
        MembershipRequest::Add(new, Some(old)) => {
            let on_its_way = after(old).is_some_and(|after| after.as_ref() == Some(new));
            // A host never takes its own place, though it be there still and about to go.
            if on_its_way || (new != old && is_member(new) && after(old).is_some()) {
                return Ok(None);
            }
            refuse_second(open, false)?;
            if !is_member(old) {
                return Err(MembershipError::UnknownMember(old.clone(), list()));
            }
            if is_member(new) {
                return Err(MembershipError::AlreadyMember(new.clone()));
            }
            if hosts.len() >= MEMBERS_MAX {
                return Err(MembershipError::TooManyMembers(hosts.len()));
            }
            next.excluded.retain(|away| away.host != *new);
            next.excluded.push(Exclusion { host: old.clone(), after: Some(new.clone()) });
            next.requested_host = Some(new.clone());
            remain(members, old, true)?;
        }
        MembershipRequest::Remove(host) => {
            if after(host).is_some_and(|after| after.is_none()) {
                return Ok(None);
            }
            // One that is awaited: the order is taken back, and whoever was to make room for it stays.
            let takes_back = !is_member(host) && last.requested_host.as_ref() == Some(host);
            refuse_second(open, takes_back)?;
            if !takes_back && !is_member(host) {
                return Err(MembershipError::UnknownMember(host.clone(), list()));
            }
            next.excluded.retain(|away| away.after.as_ref() != Some(host) || !is_member(&away.host));
            next.excluded.retain(|away| away.host != *host);
            next.excluded.push(Exclusion { host: host.clone(), after: None });
            if is_member(host) {
                remain(members, host, false)?;
            }
        }
    }
    for away in &mut next.excluded {
        // Whose successor came stays away whatever becomes of that one.
        if !is_member(&away.host) {
            away.after = None;
        }
    }
    // More than can be members are never kept away for a purpose.
    let excess = next.excluded.len().saturating_sub(AWAY_MAX);
    next.excluded.drain(..excess);
    Ok(Some(next))
}

/// Hosts that are kept away at most; the oldest is forgotten.
const AWAY_MAX: usize = 32;

fn refuse_second(open: Option<String>, takes_back: bool) -> Result<(), MembershipError> {
    match open {
        Some(open) if !takes_back => Err(MembershipError::InProgress(open)),
        _ => Ok(()),
    }
}

/// Enough are left without this host, and more than half of them answer, where `one_comes` one more that does.
fn remain(members: &[(String, bool)], without: &String, one_comes: bool) -> Result<(), MembershipError> {
    let rest: Vec<&(String, bool)> = members.iter().filter(|(host, _)| host != without).collect();
    let left = rest.len() + usize::from(one_comes);
    // No step of the log goes below it, not even to where it is: a wiped machine may be about to come back.
    if left < MEMBERS_MIN {
        return Err(MembershipError::TooFewMembers(left));
    }
    let answering = rest.iter().filter(|(_, answers)| *answers).count() + usize::from(one_comes);
    if answering <= left / 2 {
        let silent: Vec<&str> =
            rest.iter().filter(|(_, answers)| !answers).map(|(host, _)| host.as_str()).collect();
        return Err(MembershipError::TooFewAnswering(left, answering, silent.join(", ")));
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
    pub(crate) fn core_entry(
        &self,
        now: u64,
        wish: &MembershipRequest,
    ) -> Result<Option<Entry>, MembershipError> {
        let (base, last) = self.state.membership_order();
        Ok(order(wish, last, &self.hosts(now))?.map(|order| Entry::Core { base, order }))
    }

    /// The core's machines as this one, which leads, sees them.
    pub fn core_view(&self, now: u64) -> CoreView {
        let (me, commit) = (self.book.me(), self.book.commit());
        let hosts: Vec<String> = self.book.members().iter().map(|member| member.host.clone()).collect();
        let own = MemberView {
            host: me.host.clone(),
            id: me.id,
            role: "leads",
            match_index: commit,
            silent_ms: 0,
            reachable: true,
        };
        let other = |seen: PeerStatus| MemberView {
            host: seen.member.host,
            id: seen.member.id,
            role: if seen.learner { "learner" } else { "member" },
            match_index: seen.match_index,
            silent_ms: seen.silent_ms,
            reachable: seen.reachable,
        };
        let mut machines = vec![own];
        machines.extend(self.book.peer_statuses(now).into_iter().map(other));
        let (orders, order) = self.state.membership_order();
        let awaited = order
            .requested_host
            .as_ref()
            .filter(|come| !machines.iter().any(|known| known.host == **come))
            .cloned();
        machines.extend(awaited.map(|host| MemberView {
            host,
            id: 0,
            role: "awaited",
            match_index: 0,
            silent_ms: 0,
            reachable: false,
        }));
        let excluded_hosts = order.excluded.iter().map(|away| away.host.clone()).collect();
        CoreView { commit, orders, open_order: open(order, &hosts), machines, excluded_hosts }
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

    fn come(host: &str) -> MembershipRequest {
        MembershipRequest::Add(host.into(), None)
    }

    fn replace(old: &str, new: &str) -> MembershipRequest {
        MembershipRequest::Add(new.into(), Some(old.into()))
    }

    fn go(host: &str) -> MembershipRequest {
        MembershipRequest::Remove(host.into())
    }

    #[test]
    fn orders_go_one_at_a_time_and_repeats_change_nothing() {
        let none = MembershipOrder::default();
        let three = all("a b c", "");
        assert_eq!(order(&come("a"), &none, &three), Ok(None), "it is one");
        let add = order(&come("d"), &none, &three).expect("fit").expect("new");
        assert_eq!(order(&come("d"), &add, &three), Ok(None), "the same again");
        assert!(
            matches!(order(&come("e"), &add, &three), Err(MembershipError::InProgress(open)) if open == "addition of d")
        );
        let back = order(&go("d"), &add, &three).expect("fit").expect("new");
        assert_eq!(open(&back, &["a".into()]), None, "taken back");
        // It came: the next may.
        let four = all("a b c d", "");
        let swap = order(&replace("a", "e"), &add, &four).expect("fit").expect("new");
        assert_eq!(order(&replace("a", "e"), &swap, &four), Ok(None));
        assert_eq!(open(&swap, &["a", "b"].map(String::from)).as_deref(), Some("replacement of a by e"));
        assert!(matches!(order(&go("b"), &swap, &four), Err(MembershipError::InProgress(_))));
        let stays = order(&go("e"), &swap, &four).expect("fit").expect("new");
        assert!(!stays.excluded.iter().any(|away| away.host == "a"), "whoever was to make room stays");
        // It is done: e is there, a is gone and stays away whatever becomes of e.
        let done = all("b c d e", "");
        assert_eq!(order(&replace("a", "e"), &swap, &done), Ok(None));
        let next = order(&go("e"), &swap, &done).expect("fit").expect("new");
        assert_eq!(next.excluded, ["a", "e"].map(|host| Exclusion { host: host.into(), after: None }));
        assert_eq!(order(&go("e"), &next, &done), Ok(None));
        let again = order(&come("e"), &next, &done).expect("fit").expect("takes the removal back");
        assert!(!again.excluded.iter().any(|away| away.host == "e"));
        assert!(order(&come("a"), &next, &all("b c d", "")).expect("fit").is_some(), "a may come again");
    }

    #[test]
    fn no_order_is_taken_that_the_floor_of_three_keeps_open_for_ever() {
        // The third machine was wiped, and is not back yet under its new number.
        let two = all("a b", "");
        assert_eq!(
            order(&replace("b", "c"), &MembershipOrder::default(), &two),
            Err(MembershipError::TooFewMembers(2))
        );
        assert!(order(&come("c"), &MembershipOrder::default(), &two).is_ok());
    }

    #[test]
    fn a_host_that_is_to_go_is_not_replaced_by_itself() {
        let four = all("a b c d", "");
        let goes = order(&go("a"), &MembershipOrder::default(), &four).expect("fit").expect("new");
        assert_eq!(
            order(&replace("a", "a"), &goes, &four),
            Err(MembershipError::InProgress("removal of a".into()))
        );
        assert_eq!(
            order(&replace("a", "a"), &MembershipOrder::default(), &four),
            Err(MembershipError::AlreadyMember("a".into()))
        );
    }

    #[test]
    fn what_would_leave_a_core_that_decides_nothing_is_refused() {
        let none = MembershipOrder::default();
        assert_eq!(order(&go("a"), &none, &all("a b c", "")), Err(MembershipError::TooFewMembers(2)));
        assert_eq!(
            order(&go("x"), &none, &all("a b c", "")),
            Err(MembershipError::UnknownMember("x".into(), "a, b, c".into()))
        );
        assert!(matches!(
            order(&replace("x", "d"), &none, &all("a b c", "")),
            Err(MembershipError::UnknownMember(..))
        ));
        assert_eq!(
            order(&replace("a", "b"), &none, &all("a b c", "")),
            Err(MembershipError::AlreadyMember("b".into()))
        );
        assert!(order(&go("a"), &none, &all("a b c d", "d")).is_ok());
        let refused = order(&go("a"), &none, &all("a b c d e", "d e"));
        assert_eq!(refused, Err(MembershipError::TooFewAnswering(4, 2, "d, e".into())));
        assert!(order(&go("e"), &none, &all("a b c d e", "d e")).is_ok(), "the silent one may go");
        assert!(order(&replace("c", "d"), &none, &all("a b c", "c")).is_ok());
        assert_eq!(
            order(&come("h"), &none, &all("a b c d e f g", "")),
            Err(MembershipError::TooManyMembers(7))
        );
    }
}
