//! How long a client has waited already when a try of its request arrives. Bookkeeping; what follows from it is decided
//! in `decide/`.
//!
//! The settings tell a client's whole wait over all its tries, and a later try comes with what is left of that: so its
//! age is the difference. Where clients mark their retries nothing more is needed. Where they don't, a first try is told
//! by its patience: first tries of a class come with one and the same, and later ones with any other.

use crate::api::Class;

/// Patience of a try may be off by this much on its way, as a part of the whole wait.
const SLACK: f64 = 0.005;
/// Votes for a usual patience from which on it is believed, and the most it can gather: in an overload fewer than
/// half of the tries are first ones, so a vote for it counts twice.
const BELIEVED: f64 = 16.0;
const VOTES_MOST: f64 = 200.0;

/// The patience that first tries of one class come with, ms, as a majority vote over all tries.
#[derive(Debug, Clone, Default)]
pub(crate) struct Usual {
    patience: f64,
    votes: f64,
}

impl Usual {
    /// Books a try with this patience, ms, and tells its age, ms: 0 for a first try, or while it can't be told.
    /// `marked`: whether it is a client's retry, where clients mark them.
    pub(crate) fn age(&mut self, class: &Class, patience: f64, marked: Option<bool>) -> f64 {
        let later = match marked {
            Some(retry) => retry,
            None => !self.usual(class, patience),
        };
        if later { class.client_timeout_ms - patience } else { 0.0 }.max(0.0)
    }

    /// Votes, and tells whether this is a first try's patience, for all that is known.
    fn usual(&mut self, class: &Class, patience: f64) -> bool {
        let same = (patience - self.patience).abs() <= SLACK * class.client_timeout_ms;
        self.votes = (self.votes + if same { 2.0 } else { -1.0 }).min(VOTES_MOST);
        if self.votes < 0.0 {
            *self = Usual { patience, votes: 2.0 };
        }
        same || self.votes < BELIEVED
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::{DedupScope, RetrySafety};

    fn class() -> Class {
        Class {
            name: "c".into(),
            target_latency_ms: 1_000.0,
            client_timeout_ms: 4_000.0,
            retry_safety: RetrySafety::Idempotent,
            dedup_scope: DedupScope::All,
            key_ttl_ms: 0.0,
            late_share: 0.2,
            stream: false,
            worth: 1.0,
        }
    }

    #[test]
    fn later_tries_are_told_by_what_is_left_of_the_whole_wait() {
        let (class, mut usual) = (class(), Usual::default());
        let mut told = Vec::new();
        for turn in 0..100 {
            // Two of three tries are later ones, each with an age of its own.
            told.push(usual.age(&class, 2_700.0 + f64::from(turn % 5), None));
            told.push(usual.age(&class, 3_900.0 - 15.0 * f64::from(turn), None));
            if turn % 2 == 0 {
                told.push(usual.age(&class, 2_000.0 - 11.0 * f64::from(turn), None));
            }
        }
        let late: Vec<f64> = told[told.len() - 5..].to_vec();
        assert_eq!(late, [0.0, 1_570.0, 3_078.0, 0.0, 1_585.0]);
        assert!(told[..20].iter().all(|age| *age == 0.0), "nothing is believed yet");
    }

    #[test]
    fn marks_are_believed_at_once_and_patience_without_a_usual_one_says_nothing() {
        let (class, mut usual) = (class(), Usual::default());
        assert_eq!(usual.age(&class, 2_500.0, Some(true)), 1_500.0);
        assert_eq!(usual.age(&class, 2_500.0, Some(false)), 0.0);
        assert_eq!(usual.age(&class, 9_000.0, Some(true)), 0.0, "longer than the whole wait");
        let mut dice = fastrand::Rng::with_seed(7);
        for _ in 0..2_000 {
            let patience = 4_000.0 * dice.f64();
            assert_eq!(usual.age(&class, patience, None), 0.0);
        }
    }
}
