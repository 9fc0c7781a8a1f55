//! Operators' changes of the core's membership, checked against the present members.

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

/// The event log prints this text. Its readers know the variants by these names.
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
    /// Why a change of the core's membership is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum MembershipError {
        /// Another order is not carried out yet.
        InProgress(open: String) {
            display("{} is under way: wait for it, or take it back by ordering its opposite", open)
        }
        /// The host to remove or replace is no member.
        UnknownMember(host: String, members: String) {
            display("{} is no member; members are {}", host, members)
        }
        /// The replacing host is a member already.
        AlreadyMember(host: String) {
            display("{} is a member already: remove the other one", host)
        }
        /// The core has the maximum number of members.
        TooManyMembers(members: usize) {
            display("there are {} members, wants {} at most", members, MEMBERS_MAX)
        }
        /// Too few members would be left.
        TooFewMembers(left: usize) {
            display("{} members would be left, wants {} at least: add one first, or replace it", left, MEMBERS_MIN)
        }
        /// Of the members left no majority would answer.
        TooFewAnswering(left: usize, answering: usize, silent: String) {
            display("of the {} members that would be left {} answer, wants more than half; silent: {}", left, answering, silent)
        }
    }
}

/// One machine of the core, as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberView {
    /// IP address.
    pub host: String,
    /// The member's id, which belongs to its disk.
    pub id: u64,
    /// `leads`, `member`, `learner` (receives the log without a vote) or `awaited` (ordered, but has not asked to join yet).
    #[serde(rename = "part")]
    pub role: &'static str,
    /// Index up to which its disk has the log.
    #[serde(rename = "kept")]
    pub match_index: u64,
    /// Time since its last answer, ms.
    pub silent_ms: u64,
    /// Whether it answers.
    pub reachable: bool,
}

/// The core's machines, and how far the last order is carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CoreView {
    /// The commit index.
    pub commit: u64,
    /// Number of orders so far.
    pub orders: u64,
    /// What is still to be done for the last order.
    #[serde(rename = "open")]
    pub open_order: Option<String>,
    /// Members, learners and the awaited host.
    pub machines: Vec<MemberView>,
    /// Hosts that operators have excluded from the core.
    #[serde(rename = "away")]
    pub excluded_hosts: Vec<String>,
}

/// What is still to be done for an order with these hosts as members; `None`: nothing.
fn open_order(order: &MembershipOrder, members: &[String]) -> Option<String> {
    let missing = order.requested_host.as_ref().filter(|host| !members.contains(host));
    let remaining =
        order.excluded.iter().rev().map(|exclusion| &exclusion.host).find(|host| members.contains(host));
    match (missing, remaining) {
        (Some(new), Some(old)) => Some(format!("replacement of {old} by {new}")),
        (Some(new), None) => Some(format!("addition of {new}")),
        (None, Some(old)) => Some(format!("removal of {old}")),
        (None, None) => None,
    }
}

/// The order for a request, on top of the last order; `None`: the request is already carried out or under way. `members`:
/// hosts and whether they answer.
fn next_order(
    request: &MembershipRequest,
    last: &MembershipOrder,
    members: &[(String, bool)],
) -> Result<Option<MembershipOrder>, MembershipError> {
    let hosts: Vec<String> = members.iter().map(|(host, _)| host.clone()).collect();
    let is_member = |host: &String| hosts.contains(host);
    let list = || hosts.join(", ");
    let after = |host: &String| {
        last.excluded.iter().find(|exclusion| exclusion.host == *host).map(|exclusion| &exclusion.after)
    };
    let mut next = MembershipOrder { requested_host: None, excluded: last.excluded.clone() };
    // Nothing is open once the last order is carried out.
    let open = open_order(last, &hosts);
    match request {
        MembershipRequest::Add(new, None) => {
            if is_member(new) && after(new).is_none() || last.requested_host.as_ref() == Some(new) {
                return Ok(None);
            }
            // Adding a member that is about to be removed cancels its removal.
            if !is_member(new) && hosts.len() >= MEMBERS_MAX {
                return Err(MembershipError::TooManyMembers(hosts.len()));
            }
            next.excluded.retain(|exclusion| exclusion.host != *new);
            next.requested_host = Some(new.clone());
            let takes_back = is_member(new);
            refuse_if_busy(open, takes_back)?;
        }
        MembershipRequest::Add(new, Some(old)) => {
            let on_its_way = after(old).is_some_and(|after| after.as_ref() == Some(new));
            // A host can't replace itself, even if it is still a member and about to be removed.
            if on_its_way || (new != old && is_member(new) && after(old).is_some()) {
                return Ok(None);
            }
            refuse_if_busy(open, false)?;
            if !is_member(old) {
                return Err(MembershipError::UnknownMember(old.clone(), list()));
            }
            if is_member(new) {
                return Err(MembershipError::AlreadyMember(new.clone()));
            }
            if hosts.len() >= MEMBERS_MAX {
                return Err(MembershipError::TooManyMembers(hosts.len()));
            }
            next.excluded.retain(|exclusion| exclusion.host != *new);
            next.excluded.push(Exclusion { host: old.clone(), after: Some(new.clone()) });
            next.requested_host = Some(new.clone());
            check_remaining(members, old, true)?;
        }
        MembershipRequest::Remove(host) => {
            if after(host).is_some_and(|after| after.is_none()) {
                return Ok(None);
            }
            // Removing the awaited host cancels its addition, and a member that it was to replace stays.
            let takes_back = !is_member(host) && last.requested_host.as_ref() == Some(host);
            refuse_if_busy(open, takes_back)?;
            if !takes_back && !is_member(host) {
                return Err(MembershipError::UnknownMember(host.clone(), list()));
            }
            next.excluded
                .retain(|exclusion| exclusion.after.as_ref() != Some(host) || !is_member(&exclusion.host));
            next.excluded.retain(|exclusion| exclusion.host != *host);
            next.excluded.push(Exclusion { host: host.clone(), after: None });
            if is_member(host) {
                check_remaining(members, host, false)?;
            }
        }
    }
    for exclusion in &mut next.excluded {
        // Once its replacement has joined, a host stays excluded whatever becomes of the replacement.
        if !is_member(&exclusion.host) {
            exclusion.after = None;
        }
    }
    // Only the newest exclusions matter: the limit is far above the maximum number of members.
    let excess = next.excluded.len().saturating_sub(MAX_EXCLUDED);
    next.excluded.drain(..excess);
    Ok(Some(next))
}

/// Most excluded hosts; beyond that the oldest are dropped.
const MAX_EXCLUDED: usize = 32;

fn refuse_if_busy(open: Option<String>, takes_back: bool) -> Result<(), MembershipError> {
    match open {
        Some(open) if !takes_back => Err(MembershipError::InProgress(open)),
        _ => Ok(()),
    }
}

/// Checks that without this host enough members are left, and that more than half of those answer. `one_joins`: one more
/// host, which answers, joins.
fn check_remaining(
    members: &[(String, bool)],
    without: &String,
    one_joins: bool,
) -> Result<(), MembershipError> {
    let others: Vec<&(String, bool)> = members.iter().filter(|(host, _)| host != without).collect();
    let left = others.len() + usize::from(one_joins);
    // The members never become fewer than this, even if there are as few already: a machine whose disk was wiped may be
    // about to return.
    if left < MEMBERS_MIN {
        return Err(MembershipError::TooFewMembers(left));
    }
    let answering = others.iter().filter(|(_, answers)| *answers).count() + usize::from(one_joins);
    if answering <= left / 2 {
        let silent: Vec<&str> =
            others.iter().filter(|(_, answers)| !answers).map(|(host, _)| host.as_str()).collect();
        return Err(MembershipError::TooFewAnswering(left, answering, silent.join(", ")));
    }
    Ok(())
}

impl Replica {
    /// The members' hosts, and whether they answer this leader.
    fn member_hosts(&self, now: u64) -> Vec<(String, bool)> {
        let peers = self.consensus.peer_statuses(now);
        let answers = |id| peers.iter().any(|peer| peer.member.id == id && peer.reachable);
        let me = self.consensus.me().id;
        let members = self.consensus.members().iter();
        members.map(|member| (member.host.clone(), member.id == me || answers(member.id))).collect()
    }

    /// The entry for a request, on top of the last order; `None`: there is nothing to do.
    pub(crate) fn membership_entry(
        &self,
        now: u64,
        request: &MembershipRequest,
    ) -> Result<Option<Entry>, MembershipError> {
        let (base, last) = self.state.membership_order();
        Ok(next_order(request, last, &self.member_hosts(now))?.map(|order| Entry::Core { base, order }))
    }

    /// The core's machines as this leader sees them.
    pub fn core_view(&self, now: u64) -> CoreView {
        let (me, commit) = (self.consensus.me(), self.consensus.commit());
        let hosts: Vec<String> = self.consensus.members().iter().map(|member| member.host.clone()).collect();
        let own = MemberView {
            host: me.host.clone(),
            id: me.id,
            role: "leads",
            match_index: commit,
            silent_ms: 0,
            reachable: true,
        };
        let other = |peer: PeerStatus| MemberView {
            host: peer.member.host,
            id: peer.member.id,
            role: if peer.learner { "learner" } else { "member" },
            match_index: peer.match_index,
            silent_ms: peer.silent_ms,
            reachable: peer.reachable,
        };
        let mut machines = vec![own];
        machines.extend(self.consensus.peer_statuses(now).into_iter().map(other));
        let (orders, order) = self.state.membership_order();
        let awaited = order
            .requested_host
            .as_ref()
            .filter(|host| !machines.iter().any(|machine| machine.host == **host))
            .cloned();
        machines.extend(awaited.map(|host| MemberView {
            host,
            id: 0,
            role: "awaited",
            match_index: 0,
            silent_ms: 0,
            reachable: false,
        }));
        let excluded_hosts = order.excluded.iter().map(|exclusion| exclusion.host.clone()).collect();
        CoreView { commit, orders, open_order: open_order(order, &hosts), machines, excluded_hosts }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members(hosts: &str, silent: &str) -> Vec<(String, bool)> {
        hosts
            .split(' ')
            .map(|host| (host.to_string(), !silent.split(' ').any(|other| other == host)))
            .collect()
    }

    fn add(host: &str) -> MembershipRequest {
        MembershipRequest::Add(host.into(), None)
    }

    fn replace(old: &str, new: &str) -> MembershipRequest {
        MembershipRequest::Add(new.into(), Some(old.into()))
    }

    fn remove(host: &str) -> MembershipRequest {
        MembershipRequest::Remove(host.into())
    }

    #[test]
    fn one_order_at_a_time_is_accepted_and_repeats_change_nothing() {
        let none = MembershipOrder::default();
        let three = members("a b c", "");
        assert_eq!(next_order(&add("a"), &none, &three), Ok(None), "it is a member already");
        let addition = next_order(&add("d"), &none, &three).expect("accepted").expect("a new order");
        assert_eq!(next_order(&add("d"), &addition, &three), Ok(None), "a repeat");
        assert!(
            matches!(next_order(&add("e"), &addition, &three), Err(MembershipError::InProgress(open)) if open == "addition of d")
        );
        let cancelled = next_order(&remove("d"), &addition, &three).expect("accepted").expect("a new order");
        assert_eq!(open_order(&cancelled, &["a".into()]), None, "the addition is cancelled");
        // The host has joined, so the next order is accepted.
        let four = members("a b c d", "");
        let swap = next_order(&replace("a", "e"), &addition, &four).expect("accepted").expect("a new order");
        assert_eq!(next_order(&replace("a", "e"), &swap, &four), Ok(None));
        assert_eq!(
            open_order(&swap, &["a", "b"].map(String::from)).as_deref(),
            Some("replacement of a by e")
        );
        assert!(matches!(next_order(&remove("b"), &swap, &four), Err(MembershipError::InProgress(_))));
        let kept = next_order(&remove("e"), &swap, &four).expect("accepted").expect("a new order");
        assert!(
            !kept.excluded.iter().any(|exclusion| exclusion.host == "a"),
            "the member to be replaced stays"
        );
        // The replacement is carried out: a stays excluded even if e is removed later.
        let after_replacement = members("b c d e", "");
        assert_eq!(next_order(&replace("a", "e"), &swap, &after_replacement), Ok(None));
        let next =
            next_order(&remove("e"), &swap, &after_replacement).expect("accepted").expect("a new order");
        assert_eq!(next.excluded, ["a", "e"].map(|host| Exclusion { host: host.into(), after: None }));
        assert_eq!(next_order(&remove("e"), &next, &after_replacement), Ok(None));
        let again =
            next_order(&add("e"), &next, &after_replacement).expect("accepted").expect("cancels the removal");
        assert!(!again.excluded.iter().any(|exclusion| exclusion.host == "e"));
        assert!(
            next_order(&add("a"), &next, &members("b c d", "")).expect("accepted").is_some(),
            "a may join again"
        );
    }

    #[test]
    fn a_replacement_below_three_members_is_refused_as_it_could_never_complete() {
        // The third machine's disk was wiped, and it has not joined again under its new id yet.
        let two = members("a b", "");
        assert_eq!(
            next_order(&replace("b", "c"), &MembershipOrder::default(), &two),
            Err(MembershipError::TooFewMembers(2))
        );
        assert!(next_order(&add("c"), &MembershipOrder::default(), &two).is_ok());
    }

    #[test]
    fn a_host_that_is_being_removed_can_not_replace_itself() {
        let four = members("a b c d", "");
        let removal = next_order(&remove("a"), &MembershipOrder::default(), &four)
            .expect("accepted")
            .expect("a new order");
        assert_eq!(
            next_order(&replace("a", "a"), &removal, &four),
            Err(MembershipError::InProgress("removal of a".into()))
        );
        assert_eq!(
            next_order(&replace("a", "a"), &MembershipOrder::default(), &four),
            Err(MembershipError::AlreadyMember("a".into()))
        );
    }

    #[test]
    fn a_change_that_would_leave_too_few_answering_members_is_refused() {
        let none = MembershipOrder::default();
        assert_eq!(
            next_order(&remove("a"), &none, &members("a b c", "")),
            Err(MembershipError::TooFewMembers(2))
        );
        assert_eq!(
            next_order(&remove("x"), &none, &members("a b c", "")),
            Err(MembershipError::UnknownMember("x".into(), "a, b, c".into()))
        );
        assert!(matches!(
            next_order(&replace("x", "d"), &none, &members("a b c", "")),
            Err(MembershipError::UnknownMember(..))
        ));
        assert_eq!(
            next_order(&replace("a", "b"), &none, &members("a b c", "")),
            Err(MembershipError::AlreadyMember("b".into()))
        );
        assert!(next_order(&remove("a"), &none, &members("a b c d", "d")).is_ok());
        let refused = next_order(&remove("a"), &none, &members("a b c d e", "d e"));
        assert_eq!(refused, Err(MembershipError::TooFewAnswering(4, 2, "d, e".into())));
        assert!(
            next_order(&remove("e"), &none, &members("a b c d e", "d e")).is_ok(),
            "a silent member can be removed"
        );
        assert!(next_order(&replace("c", "d"), &none, &members("a b c", "c")).is_ok());
        assert_eq!(
            next_order(&add("h"), &none, &members("a b c d e f g", "")),
            Err(MembershipError::TooManyMembers(7))
        );
    }
}
