//! How long to wait before asking again what all gateways ask of one service. Without I/O: the driver sleeps.

use std::rc::Rc;

/// First wait, ms.
const FIRST_MS: f64 = 50.0;
/// What the wait doubles to at a gateway among few, ms, and at one among however many.
const MOST_MS: f64 = 1_000.0;
const MOST_OF_ALL_MS: f64 = 8_000.0;
/// So many gateways are few: they may ask as often as one would.
const FEW: f64 = 4.0;
/// What each gateway beyond a few adds to the time over which all of them first ask after a common start, ms,
/// and the longest that time may be: a table brought from before the start may name servers that drain, and
/// nothing new may go to one later than 1 s after the gateway could have been told.
const APART_MS: f64 = 10.0;
const APART_MOST_MS: f64 = 300.0;

/// Waits that double, drawn by lot so that gateways which failed together do not come back together, and bounded by
/// how many gateways share the service: a hundred that ask every second keep one that is overbooked from serving any.
#[derive(Debug, Clone)]
pub struct Backoff {
    rng: fastrand::Rng,
    crowd: Crowd,
    next_ms: f64,
}

/// How many gateways share a service: told at the start, or asked anew each time.
#[derive(Clone)]
enum Crowd {
    Told(f64),
    Asked(Rc<dyn Fn() -> f64>),
}

impl std::fmt::Debug for Crowd {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.gateways())
    }
}

impl Crowd {
    fn gateways(&self) -> f64 {
        match self {
            Crowd::Told(gateways) => *gateways,
            Crowd::Asked(gateways) => gateways(),
        }
    }
}

impl Backoff {
    /// For one of so many `gateways`; `seed` should differ between them and between starts.
    pub fn new(gateways: usize, seed: u64) -> Backoff {
        Backoff {
            rng: fastrand::Rng::with_seed(seed),
            crowd: Crowd::Told(gateways as f64),
            next_ms: FIRST_MS,
        }
    }

    /// The same, where a view of the fleet tells at each wait how many gateways to reckon with: one over the part of
    /// the service that this one may use, which over all gateways never adds up to more than the whole.
    pub fn among(gateways: Rc<dyn Fn() -> f64>, seed: u64) -> Backoff {
        Backoff { rng: fastrand::Rng::with_seed(seed), crowd: Crowd::Asked(gateways), next_ms: FIRST_MS }
    }

    /// How many times a few the gateways are; 1 at least.
    fn few(&self) -> f64 {
        (self.crowd.gateways() / FEW).max(1.0)
    }

    /// Wait before the first call after a start, ms: 0 to 10 for each gateway beyond four, 300 at most.
    pub fn start(&mut self) -> f64 {
        self.rng.f64() * ((self.few() - 1.0) * FEW * APART_MS).min(APART_MOST_MS)
    }

    /// Wait after a failed call, ms: between a half and one and a half times a figure that doubles from call to call.
    pub fn failed(&mut self) -> f64 {
        let wait = self.next_ms * (0.5 + self.rng.f64());
        self.next_ms = (self.next_ms * 2.0).min((MOST_MS * self.few()).min(MOST_OF_ALL_MS));
        wait
    }

    /// Wait before the next call after one that was answered and then ended, ms: what broke all watches at once must
    /// not bring all back at once.
    pub fn answered(&mut self) -> f64 {
        self.next_ms = (FIRST_MS * self.few()).min(MOST_MS);
        self.failed()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Calls by tenths of the seconds 10 to 30 after so many gateways have failed together.
    fn calls(gateways: usize) -> Vec<usize> {
        let mut slots = vec![0; 300];
        for me in 0..gateways {
            let (mut backoff, mut at) = (Backoff::new(gateways, 1_000 + me as u64), 0.0);
            while at < 30_000.0 {
                slots[(at / 100.0) as usize] += 1;
                at += backoff.failed();
            }
        }
        slots.split_off(100)
    }

    #[test]
    fn a_hundred_that_failed_together_come_back_out_of_step_and_seldom_and_two_once_a_second() {
        let (many, few) = (calls(100), calls(2).iter().sum::<usize>());
        assert!(many.iter().all(|calls| *calls <= 12), "in step: {many:?}");
        assert!(many.iter().sum::<usize>() < 500 && (30..=50).contains(&few), "{many:?} {few}");
    }

    #[test]
    fn one_of_a_hundred_that_learns_it_is_one_of_four_asks_as_often_as_one_of_four() {
        let gateways = Rc::new(std::cell::Cell::new(100.0));
        let seen = gateways.clone();
        let mut backoff = Backoff::among(Rc::new(move || seen.get()), 5);
        let longest = |backoff: &mut Backoff| (0..50).map(|_| backoff.failed()).fold(0.0, f64::max);
        assert!(longest(&mut backoff) > 4_000.0);
        gateways.set(4.0);
        backoff.failed();
        assert!(longest(&mut backoff) <= 1_500.0);
    }

    #[test]
    fn few_start_at_once_and_many_apart() {
        assert_eq!(Backoff::new(4, 1).start(), 0.0);
        let soon = (0..100).filter(|me| Backoff::new(100, *me).start() < 100.0).count();
        assert!(soon < 45, "{soon} of 100 within a tenth of a second");
        let late = (0..300).map(|me| Backoff::new(300, me).start()).fold(0.0, f64::max);
        assert!((250.0..=300.0).contains(&late), "the last of 300 asks {late} ms after the start");
    }
}
