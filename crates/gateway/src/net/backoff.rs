//! How long to wait before asking again what all gateways ask of one service. Without I/O: the driver sleeps.

/// First wait, ms.
const FIRST_MS: f64 = 50.0;
/// Longest wait of a gateway among few, ms, and of one among however many: a table older than that is of no use.
const MOST_MS: f64 = 1_000.0;
const MOST_OF_ALL_MS: f64 = 8_000.0;
/// So many gateways are few: together they ask no more than so often in [`MOST_MS`].
const FEW: f64 = 4.0;
/// What each gateway beyond a few adds to the time over which all of them first ask after a common start, ms.
const APART_MS: f64 = 10.0;

/// Waits that double, drawn by lot so that gateways which failed together do not come back together, and bounded by
/// how many gateways share the service: a hundred that ask every second keep one that is overbooked from serving any.
pub struct Backoff {
    rng: fastrand::Rng,
    few: f64,
    next_ms: f64,
}

impl Backoff {
    /// For one of so many `gateways`; `seed` should differ between them.
    pub fn new(gateways: usize, seed: u64) -> Backoff {
        let few = (gateways as f64 / FEW).max(1.0);
        Backoff { rng: fastrand::Rng::with_seed(seed), few, next_ms: FIRST_MS }
    }

    /// Wait before the first call after a start, ms, from 0: gateways of a large fleet start at one moment.
    pub fn start(&mut self) -> f64 {
        self.rng.f64() * (self.few - 1.0) * FEW * APART_MS
    }

    /// Wait after a failed call, ms: half to all of one and a half times what doubles from call to call.
    pub fn failed(&mut self) -> f64 {
        let most = (MOST_MS * self.few).min(MOST_OF_ALL_MS);
        let wait = self.next_ms * (0.5 + self.rng.f64());
        self.next_ms = (self.next_ms * 2.0).min(most);
        wait
    }

    /// The call was answered: the next failure is a first one. Returns the wait before the next call, ms.
    pub fn answered(&mut self) -> f64 {
        self.next_ms = FIRST_MS * 2.0;
        FIRST_MS * self.few.min(MOST_MS / FIRST_MS) * (0.5 + self.rng.f64())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Calls in each tenth of a second of so many gateways that fail together from 0 on, over `seconds`.
    fn calls(gateways: usize, seconds: f64) -> Vec<usize> {
        let mut slots = vec![0; (seconds * 10.0) as usize];
        for me in 0..gateways {
            let mut backoff = Backoff::new(gateways, 1_000 + me as u64);
            let mut at = 0.0;
            loop {
                at += backoff.failed();
                let Some(slot) = slots.get_mut((at / 100.0) as usize) else { break };
                *slot += 1;
            }
        }
        slots
    }

    #[test]
    fn a_hundred_that_failed_together_do_not_come_back_together_and_ask_no_more_than_a_few_would() {
        let slots = calls(100, 30.0);
        let late = &slots[100..];
        assert!(late.iter().all(|calls| *calls <= 12), "in step: {late:?}");
        let per_second = late.iter().sum::<usize>() as f64 / 20.0;
        assert!(per_second < 25.0, "{per_second} calls a second");
    }

    #[test]
    fn one_of_a_few_asks_about_once_a_second_at_last() {
        let per_second = calls(2, 30.0)[100..].iter().sum::<usize>() as f64 / 20.0;
        assert!((1.5..=2.5).contains(&per_second), "{per_second} calls a second of two");
    }

    #[test]
    fn few_start_at_once_and_many_apart() {
        assert_eq!(Backoff::new(4, 1).start(), 0.0);
        let starts: Vec<f64> = (0..100).map(|me| Backoff::new(100, me).start()).collect();
        assert!(starts.iter().all(|start| *start <= 960.0));
        assert!(starts.iter().filter(|start| **start < 100.0).count() < 30, "{starts:?}");
    }
}
