//! Claims at the leader, and questions to the gateways that hold claims.

use super::CoreClient;
use crate::claim_client::{CallFuture, ClaimClient};
use crate::hedge::HedgeDelay;
use nickeljunction_messages::{path, ClaimAnswer, ClaimCall, LeaderRedirect, RecallAnswer, RecallCall};
use nickeljunction_net::caller::{CallError, Reply};
use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;

/// Between two attempts to reach the leader, ms.
const AGAIN_MS: f64 = 20.0;
/// Without a sound way to the core for this part of `revoke_timeout_s`, keyed requests are refused at once.
const CUT_OFF_PART: f64 = 0.6;

/// How a call to a core machine ended.
enum Asked {
    Answered(ClaimAnswer),
    /// It doesn't lead; who does, where it knows.
    Elsewhere(Option<String>),
    Failed,
}

impl CoreClient {
    /// Where to ask: the leader first, and the core's machines in turn after `failed` attempts.
    fn claims_host(&self, failed: usize) -> Option<String> {
        let watcher = self.watcher.borrow();
        if let (0, Some(leader)) = (failed, watcher.leader()) {
            return Some(leader.to_string());
        }
        let hosts = watcher.candidate_hosts();
        let at = failed.checked_rem(hosts.len())?;
        hosts.get(at).cloned()
    }

    async fn claim_at(&self, host: &str, call: &ClaimCall, timeout_ms: f64) -> Asked {
        let (Some(to), Ok(body)) = (self.address(host), serde_json::to_vec(call)) else {
            return Asked::Failed;
        };
        let reply = match self.call_twice(&self.claim_delay, to, path::CLAIM, &body, timeout_ms).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!("event=core_silent step=claim peer={to} error={:?}", error.to_string());
                return Asked::Failed;
            }
        };
        match reply.status {
            200 => serde_json::from_slice(&reply.body).map_or(Asked::Failed, Asked::Answered),
            421 => {
                let elsewhere = serde_json::from_slice::<LeaderRedirect>(&reply.body).ok();
                Asked::Elsewhere(elsewhere.and_then(|elsewhere| elsewhere.leader))
            }
            _ => Asked::Failed,
        }
    }

    /// The first answer of a call that may be made twice: once more where the usual time has gone by.
    async fn call_twice(
        &self,
        delay: &Cell<HedgeDelay>,
        to: SocketAddr,
        path: &str,
        body: &[u8],
        timeout_ms: f64,
    ) -> Result<Reply, CallError> {
        let until = self.wheel.now() + timeout_ms;
        let call = || async {
            let sent = self.wheel.now();
            let reply = self.caller.call(to, "POST", path, &[], body, until - sent).await?;
            let mut known = delay.get();
            known.record_latency(self.wheel.now() - sent);
            delay.set(known);
            Ok(reply)
        };
        let mut first = pin!(call());
        if let Some(ended) = self.wheel.timeout(delay.get().delay_ms().min(timeout_ms), first.as_mut()).await
        {
            return ended;
        }
        let mut second = pin!(call());
        tokio::select! {
            biased;
            ended = &mut first => match ended {
                Err(_) => second.await,
                ended => ended,
            },
            ended = &mut second => match ended {
                Err(_) => first.await,
                ended => ended,
            },
        }
    }

    async fn claim_until(&self, call: &ClaimCall, until: f64) -> Option<ClaimAnswer> {
        let (mut pointed, mut failed) = (None, 0);
        while self.wheel.now() < until {
            let host = pointed.take().or_else(|| self.claims_host(failed));
            if let Some(host) = host {
                match self.claim_at(&host, call, until - self.wheel.now()).await {
                    Asked::Answered(answer) => return Some(answer),
                    Asked::Elsewhere(leader) => pointed = leader.filter(|leader| *leader != host),
                    Asked::Failed => {}
                }
            }
            failed += 1;
            // The held call would find out later.
            self.recall.notify_one();
            // The first word of who leads is followed at once.
            if failed > 1 || pointed.is_none() {
                self.wheel.sleep(AGAIN_MS.min(until - self.wheel.now()).max(0.0)).await;
            }
        }
        None
    }

    async fn recall_at(&self, call: &RecallCall, timeout_ms: f64) -> Option<RecallAnswer> {
        let to = SocketAddr::new(IpAddr::V4(call.claimant.host), self.own.inner_port);
        let body = serde_json::to_vec(call).ok()?;
        match self.call_twice(&self.recall_delay, to, path::RECALL, &body, timeout_ms).await {
            Ok(reply) if reply.status == 200 => serde_json::from_slice(&reply.body).ok(),
            Ok(_) => None,
            Err(error) => {
                log::debug!("event=holder_silent peer={to} error={:?}", error.to_string());
                None
            }
        }
    }
}

impl ClaimClient for CoreClient {
    fn claim<'a>(&'a self, call: &'a ClaimCall, until: f64) -> CallFuture<'a, ClaimAnswer> {
        Box::pin(self.claim_until(call, until))
    }

    fn recall<'a>(&'a self, call: &'a RecallCall, timeout_ms: f64) -> CallFuture<'a, RecallAnswer> {
        Box::pin(self.recall_at(call, timeout_ms))
    }

    fn is_core_unreachable(&self) -> bool {
        let age_ms = self.lease.borrow().age_ms(self.wheel.now());
        age_ms > CUT_OFF_PART * self.own.bounds.revoke_timeout_s * 1_000.0
    }
}
