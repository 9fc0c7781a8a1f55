//! [`WakeTimer`]: another task brings the wake-up of a sleeping task forward.

use nickeljunction_edge::wake_timer::WakeTimer;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use std::time::Duration;

#[test]
fn bring_forward_wakes_a_task_that_sleeps_longer() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(async {
        let wheel = Wheel::new(Clock::start());
        let timer = WakeTimer::default();
        let now = wheel.now();
        let request = async { timer.bring_forward(now + 150.0) };
        let both = async { tokio::join!(timer.sleep_until(&wheel, now + 30_000.0), request) };
        tokio::time::timeout(Duration::from_secs(5), both).await.expect("the task wakes up early");
    });
}
