//! Warm-up of servers that have just started.

use super::*;

impl Server {
    /// Whether a send is due. A cold server gets no more than its share of a warm one's traffic, one send at
    /// a time: a first burst to an empty new server would overload it.
    pub(super) fn warm_enough(&mut self, now: f64, share: f64, settings: &Settings) -> bool {
        let age = (now - self.cold_since) / settings.warmup_ms.max(1.0);
        if age >= 1.0 {
            return true;
        }
        let warmth = settings.cold_start_share + (1.0 - settings.cold_start_share) * age.max(0.0);
        self.tokens = (self.tokens + (now - self.tokens_at) * share * warmth).min(1.0);
        self.tokens_at = now;
        self.tokens >= 1.0
    }
}
