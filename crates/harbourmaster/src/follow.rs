//! A follower watches its leader, as gateways do, so that it can succeed it and answer for the directory.

use crate::helm::Helm;
use nickeljunction_chandler::caller::Caller;
use nickeljunction_signals::{path, WatchAnswer};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

/// How long a leader may hold a call, ms, and how long beyond that its answer may take.
const HOLD_MS: u64 = 2_000;
const SLACK_MS: f64 = 700.0;
/// Pause before the next call, where there is no leader or it does not answer, ms.
const AGAIN_MS: f64 = 60.0;

/// Watches whoever leads for as long as it is polled.
pub async fn run(helm: Rc<Helm>, caller: Rc<Caller>, life: u64) {
    loop {
        if !once(&helm, &caller, life).await {
            helm.wheel().sleep(AGAIN_MS).await;
        }
    }
}

async fn once(helm: &Helm, caller: &Caller, life: u64) -> bool {
    let Some(ip) = helm.elsewhere().leader.and_then(|host| host.parse::<IpAddr>().ok()) else { return false };
    let to = SocketAddr::new(ip, helm.ports.inner);
    let ask = helm.ask(life, HOLD_MS);
    let body = serde_json::to_vec(&ask).unwrap_or_default();
    let reply = match caller.call(to, "POST", path::WATCH, &[], &body, HOLD_MS as f64 + SLACK_MS).await {
        Ok(reply) if reply.status == 200 => reply,
        Ok(_) => return false,
        Err(error) => {
            log::debug!("event=leader_silent step=watch peer={to} error={:?}", error.to_string());
            return false;
        }
    };
    let answer = match serde_json::from_slice::<WatchAnswer>(&reply.body) {
        Ok(answer) => answer,
        Err(error) => {
            log::warn!("event=answer_unreadable step=watch peer={to} error={:?}", error.to_string());
            return false;
        }
    };
    match helm.learned(answer) {
        Ok(_) => true,
        Err(error) => {
            log::warn!("event=answer_refused step=watch peer={to} error={:?}", error.to_string());
            false
        }
    }
}
