//! A follower watches its leader, as gateways do, so that it can succeed it and answer for the directory.

use crate::driver::Driver;
use nickeljunction_messages::{path, WatchAnswer};
use nickeljunction_net::caller::Caller;
use nickeljunction_net::compression;
use nickeljunction_replica::follower::{ANSWER_MARGIN_MS, RETRY_MS, WATCH_HOLD_MS};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

/// Watches whoever leads for as long as it is polled.
pub async fn run(driver: Rc<Driver>, caller: Rc<Caller>, life: u64) {
    loop {
        if !once(&driver, &caller, life).await {
            driver.wheel().sleep(RETRY_MS as f64).await;
        }
    }
}

async fn once(driver: &Driver, caller: &Caller, life: u64) -> bool {
    let Some(ip) = driver.elsewhere().leader.and_then(|host| host.parse::<IpAddr>().ok()) else {
        return false;
    };
    let to = SocketAddr::new(ip, driver.ports.inner);
    let ask = driver.ask(life);
    let body = serde_json::to_vec(&ask).unwrap_or_default();
    let (headers, within_ms) = ([compression::ACCEPT], (WATCH_HOLD_MS + ANSWER_MARGIN_MS) as f64);
    let reply = match caller.call(to, "POST", path::WATCH, &headers, &body, within_ms).await {
        Ok(reply) if reply.status == 200 => reply,
        Ok(_) => return false,
        Err(error) => {
            log::debug!("event=leader_silent step=watch peer={to} error={:?}", error.to_string());
            return false;
        }
    };
    let unreadable =
        |error: String| log::warn!("event=answer_unreadable step=watch peer={to} error={error:?}");
    let body = compression::decompressed(&reply).map_err(|error| unreadable(error.to_string()));
    let answer = body.and_then(|body| {
        serde_json::from_slice::<WatchAnswer>(&body).map_err(|error| unreadable(error.to_string()))
    });
    let Ok(answer) = answer else { return false };
    match driver.learned(answer) {
        Ok(_) => true,
        Err(error) => {
            log::warn!("event=answer_refused step=watch peer={to} error={:?}", error.to_string());
            false
        }
    }
}
