//! When a task that makes calls is to look again, as others bring that moment forward.

use nickeljunction_net::wheel::Wheel;
use std::cell::Cell;
use tokio::sync::Notify;

/// Longest sleep, ms.
const LONGEST_MS: f64 = 60_000.0;

/// See the module.
pub struct WakeTimer {
    /// What the task sleeps until, ms by the wheel's clock.
    set_for: Cell<f64>,
    earlier: Notify,
}

impl Default for WakeTimer {
    fn default() -> WakeTimer {
        WakeTimer { set_for: Cell::new(f64::INFINITY), earlier: Notify::new() }
    }
}

impl WakeTimer {
    /// Sleeps until `wake`, or until it is brought forward.
    pub async fn sleep_until(&self, wheel: &Wheel, wake: f64) {
        self.set_for.set(wake);
        tokio::select! {
            () = self.earlier.notified() => {}
            () = wheel.sleep_until(wake.min(wheel.now() + LONGEST_MS)) => {}
        }
    }

    /// Something is due at `wake`, now or later: a task that sleeps for longer looks again.
    pub fn bring_forward(&self, wake: f64) {
        if wake < self.set_for.get() {
            self.earlier.notify_one();
        }
    }

    /// The task looks again at once.
    pub fn wake_now(&self) {
        self.earlier.notify_one();
    }
}
