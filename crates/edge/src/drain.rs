//! The steps of an orderly shutdown: accept connections until none can be served any more, wait for the requests in
//! progress, answer the rest with a refusal, and only then let the process end.

use crate::frontend::Lifecycle;
use crate::shutdown::Shutdown;
use nickeljunction_net::wheel::Wheel;
use std::future::Future;

/// Connections are accepted for at least this time after the shutdown begins, ms: clients that were directed here before
/// still connect.
const MIN_ACCEPT_MS: f64 = 1_500.0;
/// Time for returning quota units and for the last bytes to clients, ms.
const FINAL_MS: f64 = 150.0;

/// Drains a front whose [`Lifecycle::begin_shutdown`] has been called. Completes when the process may end: no connection is open,
/// or the time of the schedule is over. `return_units` runs once no request can begin any more.
pub async fn drain(
    wheel: &Wheel,
    lifecycle: &Lifecycle,
    shutdown: Shutdown,
    return_units: impl Future<Output = ()>,
) {
    let remaining_ms = |until: f64| (until - wheel.now()).max(0.0);
    wheel.sleep_until((shutdown.began + MIN_ACCEPT_MS).min(shutdown.work_until)).await;
    wheel.timeout(remaining_ms(shutdown.work_until), lifecycle.all_closed()).await;
    lifecycle.stop_accepting();
    // Another connection may have been accepted between the last check and here.
    wheel.timeout(remaining_ms(shutdown.answers_until), lifecycle.all_closed()).await;
    lifecycle.fail_unanswered();
    let finish = async {
        tokio::join!(return_units, lifecycle.all_closed());
    };
    wheel.timeout(FINAL_MS, finish).await;
}
