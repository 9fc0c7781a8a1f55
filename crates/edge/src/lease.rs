//! How long a gateway may rely on its copy of the configuration. No I/O.
//!
//! A revoked API key must not be accepted for longer than `revoke_timeout_s` after the revocation was acknowledged,
//! even by gateways that have lost contact with the core. Each answer of the leader states how long ago a majority
//! confirmed that it leads. No configuration that the leader doesn't know was acknowledged before that moment. So a
//! copy stays valid for nearly the whole `revoke_timeout_s`, counted from when the call was sent, less that age.

/// Part of the time-out for which a copy is valid. What counts is when the client sent its request, which is before the
/// check here. The rest also covers clocks that run at slightly different rates.
const VALID_PART: f64 = 0.98;

/// The lease of one gateway on its copy of the configuration.
#[derive(Debug, Clone)]
pub struct Lease {
    /// How long a confirmed copy is valid, ms; `None`: without limit.
    valid_ms: Option<f64>,
    /// When the copy was last confirmed, ms; `None` before the first answer.
    confirmed_at: Option<f64>,
}

impl Lease {
    /// A lease without a confirmation. If `strict`, a revoked key must be refused after `revoke_ms`.
    pub fn new(strict: bool, revoke_ms: f64) -> Lease {
        Lease { valid_ms: strict.then_some(revoke_ms * VALID_PART), confirmed_at: None }
    }

    /// Records that the leader answered a call sent at `sent`, ms; a majority had confirmed its leadership `age_ms`
    /// before it answered.
    pub fn renew(&mut self, sent: f64, age_ms: f64) {
        let confirmed = sent - age_ms;
        // Answers may arrive out of order; an older one must not shorten the lease.
        self.confirmed_at = Some(self.confirmed_at.map_or(confirmed, |previous| previous.max(confirmed)));
    }

    /// Time since the copy was last confirmed, ms; infinite before the first answer.
    pub fn age_ms(&self, now: f64) -> f64 {
        self.confirmed_at.map_or(f64::INFINITY, |confirmed| now - confirmed)
    }

    /// Whether the copy may be used.
    pub fn is_valid(&self, now: f64) -> bool {
        self.confirmed_at.is_some() && self.valid_ms.is_none_or(|valid_ms| self.age_ms(now) < valid_ms)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn strict_lease_ends_before_the_revocation_timeout() {
        let mut lease = Lease::new(true, 5_000.0);
        assert!(!lease.is_valid(0.0), "valid before the first answer");
        // Sent at 1,000, answered by the leader at 2,000, which a majority had confirmed 300 ms before.
        lease.renew(1_000.0, 300.0);
        assert!(lease.is_valid(5_000.0));
        // A revocation acknowledged right after that confirmation, at 700 at the earliest, is in force from 5,700 on.
        assert!(!lease.is_valid(5_601.0));
        lease.renew(3_000.0, 0.0);
        lease.renew(2_000.0, 0.0);
        assert!(lease.is_valid(7_890.0), "shortened by an older answer");
        assert!(!lease.is_valid(7_900.0));
    }

    #[test]
    fn lease_that_is_not_strict_never_expires() {
        let mut lease = Lease::new(false, 5_000.0);
        assert!(!lease.is_valid(0.0));
        lease.renew(0.0, 0.0);
        assert!(lease.is_valid(1e9));
        assert_eq!(lease.age_ms(70.0), 70.0);
    }
}
