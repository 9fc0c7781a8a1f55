//! A timer for a task that makes calls: other tasks can bring its next wake-up forward.

use nickeljunction_net::wheel::Wheel;
use std::cell::Cell;
use tokio::sync::Notify;

const LONGEST_SLEEP_MS: f64 = 60_000.0;

/// The next wake-up of one task.
pub struct WakeTimer {
    /// When the task wakes up, ms by the wheel's clock.
    wakes_at: Cell<f64>,
    earlier: Notify,
}

impl Default for WakeTimer {
    fn default() -> WakeTimer {
        WakeTimer { wakes_at: Cell::new(f64::INFINITY), earlier: Notify::new() }
    }
}

impl WakeTimer {
    /// Sleeps until `wake`, ms by the wheel's clock, or until another task brings the wake-up forward.
    pub async fn sleep_until(&self, wheel: &Wheel, wake: f64) {
        self.wakes_at.set(wake);
        tokio::select! {
            () = self.earlier.notified() => {}
            () = wheel.sleep_until(wake.min(wheel.now() + LONGEST_SLEEP_MS)) => {}
        }
    }

    /// Wakes the task if it would sleep beyond `wake`, ms, so that it reads its new due time.
    pub fn bring_forward(&self, wake: f64) {
        if wake < self.wakes_at.get() {
            self.earlier.notify_one();
        }
    }

    /// Wakes the task at once.
    pub fn wake_now(&self) {
        self.earlier.notify_one();
    }
}
