//! The alarm of a task that makes calls.

use nickeljunction_edge::wake_timer::WakeTimer;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use std::time::Duration;

#[test]
fn a_request_that_makes_a_call_due_in_a_short_while_does_not_wait_for_the_next_refresh() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(async {
        let wheel = Wheel::new(Clock::start());
        let alarm = WakeTimer::default();
        let now = wheel.now();
        let request = async { alarm.bring_forward(now + 150.0) };
        let both = async { tokio::join!(alarm.sleep_until(&wheel, now + 30_000.0), request) };
        tokio::time::timeout(Duration::from_secs(5), both).await.expect("the task looks again");
    });
}
