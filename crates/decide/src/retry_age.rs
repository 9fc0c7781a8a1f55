//! How long a client has been waiting when one of its tries arrives. The decisions that follow are in `decide/`.
//!
//! The settings state the client's timeout over all its tries, and a later try arrives with what is left of it, so the
//! difference is its age. That is enough where clients mark their retries. Where they don't, a first try is recognised
//! by its timeout: first tries of a class all arrive with the same one, and later tries with any other.

use crate::api::Class;

/// A try's timeout may deviate on its way by this fraction of the client's timeout.
const SLACK: f64 = 0.005;
/// Votes from which on the timeout counts as that of first tries, and the most votes kept. In an overload fewer than
/// half of the tries are first ones, so a vote for it counts twice.
const ENOUGH_VOTES: f64 = 16.0;
const MAX_VOTES: f64 = 200.0;

/// The timeout that first tries of one class arrive with, ms, by a majority vote over all tries.
#[derive(Debug, Clone, Default)]
pub(crate) struct FirstTryTimeout {
    timeout_ms: f64,
    votes: f64,
}

impl FirstTryTimeout {
    /// Records a try with this timeout and returns its age, both in ms: 0 for a first try, or while it is unknown.
    /// `marked`: whether it is marked as a retry, where clients do that.
    pub(crate) fn age(&mut self, class: &Class, timeout_ms: f64, marked: Option<bool>) -> f64 {
        let retry = match marked {
            Some(retry) => retry,
            None => !self.is_first_try(class, timeout_ms),
        };
        if retry { class.client_timeout_ms - timeout_ms } else { 0.0 }.max(0.0)
    }

    /// Records a vote. True if the timeout is that of first tries, or if that is not known yet.
    fn is_first_try(&mut self, class: &Class, timeout_ms: f64) -> bool {
        let same = (timeout_ms - self.timeout_ms).abs() <= SLACK * class.client_timeout_ms;
        self.votes = (self.votes + if same { 2.0 } else { -1.0 }).min(MAX_VOTES);
        if self.votes < 0.0 {
            *self = FirstTryTimeout { timeout_ms, votes: 2.0 };
        }
        same || self.votes < ENOUGH_VOTES
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
    fn age_of_a_retry_is_the_client_timeout_minus_what_is_left() {
        let (class, mut first_try) = (class(), FirstTryTimeout::default());
        let mut ages = Vec::new();
        for round in 0..100 {
            // Three of five tries are retries, each with another age.
            ages.push(first_try.age(&class, 2_700.0 + f64::from(round % 5), None));
            ages.push(first_try.age(&class, 3_900.0 - 15.0 * f64::from(round), None));
            if round % 2 == 0 {
                ages.push(first_try.age(&class, 2_000.0 - 11.0 * f64::from(round), None));
            }
        }
        let last: Vec<f64> = ages[ages.len() - 5..].to_vec();
        assert_eq!(last, [0.0, 1_570.0, 3_078.0, 0.0, 1_585.0]);
        assert!(ages[..20].iter().all(|age| *age == 0.0), "too few votes yet");
    }

    #[test]
    fn marked_retries_have_an_age_at_once_and_varying_timeouts_have_none() {
        let (class, mut first_try) = (class(), FirstTryTimeout::default());
        assert_eq!(first_try.age(&class, 2_500.0, Some(true)), 1_500.0);
        assert_eq!(first_try.age(&class, 2_500.0, Some(false)), 0.0);
        assert_eq!(first_try.age(&class, 9_000.0, Some(true)), 0.0, "longer than the client's timeout");
        let mut rng = fastrand::Rng::with_seed(7);
        for _ in 0..2_000 {
            let timeout_ms = 4_000.0 * rng.f64();
            assert_eq!(first_try.age(&class, timeout_ms, None), 0.0);
        }
    }
}
