//! For how long a gateway may go by what it knows. No I/O.
//!
//! A key that was taken away must not be taken for longer than `revoke_timeout_s` after the acknowledgement, by machines
//! out of touch, too. An answer of the leader says how long ago a majority agreed that it leads: before that moment no
//! configuration it doesn't know of was acknowledged. So from the sending of the call, less that age, the knowledge
//! holds for nearly the whole time-out.

/// Part of the time-out that the knowledge holds for. What counts is when the client sent its request, which is before
/// the check here: the rest is for clocks that don't run quite alike.
const PART: f64 = 0.98;

/// The lease of one gateway.
#[derive(Debug, Clone)]
pub struct Lease {
    /// How long knowledge holds, ms; `None`: for good.
    holds_ms: Option<f64>,
    known_at: Option<f64>,
}

impl Lease {
    /// `revoke_ms`: a key that was taken away must be refused after so long, ms, where `strict`.
    pub fn new(strict: bool, revoke_ms: f64) -> Lease {
        Lease { holds_ms: strict.then_some(revoke_ms * PART), known_at: None }
    }

    /// The leader answered a call sent at `sent`, ms; a majority had agreed on it `age_ms` before it answered.
    pub fn renew(&mut self, sent: f64, age_ms: f64) {
        let known = sent - age_ms;
        // Answers may overtake each other; knowledge doesn't get older by that.
        self.known_at = Some(self.known_at.map_or(known, |before| before.max(known)));
    }

    /// How old the knowledge is, ms; infinite before the first answer.
    pub fn age_ms(&self, now: f64) -> f64 {
        self.known_at.map_or(f64::INFINITY, |known| now - known)
    }

    /// The knowledge may be used.
    pub fn is_valid(&self, now: f64) -> bool {
        self.known_at.is_some() && self.holds_ms.is_none_or(|holds| self.age_ms(now) < holds)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_is_never_taken_after_its_time_whatever_the_answer_said() {
        let mut lease = Lease::new(true, 5_000.0);
        assert!(!lease.is_valid(0.0), "nothing is known yet");
        // Sent at 1,000, held by the leader until 2,000, whose majority was heard 300 ms before.
        lease.renew(1_000.0, 300.0);
        assert!(lease.is_valid(5_000.0));
        // A configuration acknowledged right after the majority's word, at the earliest at 700, binds from 5,700 on.
        assert!(!lease.is_valid(5_601.0));
        lease.renew(3_000.0, 0.0);
        lease.renew(2_000.0, 0.0);
        assert!(lease.is_valid(7_890.0), "an older answer takes nothing away");
        assert!(!lease.is_valid(7_900.0));
    }

    #[test]
    fn without_strictness_what_is_known_is_served_on() {
        let mut lease = Lease::new(false, 5_000.0);
        assert!(!lease.is_valid(0.0));
        lease.renew(0.0, 0.0);
        assert!(lease.is_valid(1e9));
        assert_eq!(lease.age_ms(70.0), 70.0);
    }
}
