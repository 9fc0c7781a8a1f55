//! The order of an orderly shutdown: connections are taken until none can be served any more, requests at work are waited
//! for, what has no answer by then is told so, and only then the process may end.

use crate::frontend::Lifecycle;
use crate::shutdown::Shutdown;
use nickeljunction_net::wheel::Wheel;
use std::future::Future;

/// At least so long after the order connections are taken, ms: clients that were sent here still come.
const ACCEPT_LEAST_MS: f64 = 1_500.0;
/// For giving units back and for the last bytes to clients, ms.
const LAST_MS: f64 = 150.0;

/// Drains a front whose [`Lifecycle::begin_shutdown`] has been called. Ready when the process may end: no connection is open, or
/// the time of the schedule is over. `give_back` runs when no request can begin any more.
pub async fn drain(
    wheel: &Wheel,
    lifecycle: &Lifecycle,
    shutdown: Shutdown,
    give_back: impl Future<Output = ()>,
) {
    let left_until = |until: f64| (until - wheel.now()).max(0.0);
    wheel.sleep_until((shutdown.began + ACCEPT_LEAST_MS).min(shutdown.work_until)).await;
    wheel.timeout(left_until(shutdown.work_until), lifecycle.all_closed()).await;
    lifecycle.stop_accepting();
    // Between the last look and here another one may have been taken.
    wheel.timeout(left_until(shutdown.answers_until), lifecycle.all_closed()).await;
    lifecycle.fail_unanswered();
    let last = async {
        tokio::join!(give_back, lifecycle.all_closed());
    };
    wheel.timeout(LAST_MS, last).await;
}
