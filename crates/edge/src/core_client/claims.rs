//! Claims of keyed operations at the leader, and queries to the gateways that hold claims.

use super::CoreClient;
use crate::claim_client::{CallFuture, ClaimClient};
use crate::hedge::HedgeDelay;
use nickeljunction_messages::{path, ClaimAnswer, ClaimCall, LeaderRedirect, RecallAnswer, RecallCall};
use nickeljunction_net::caller::{CallError, Reply};
use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;

/// Pause between attempts to reach the leader, ms.
const RETRY_PAUSE_MS: f64 = 20.0;
/// Part of `revoke_timeout_s` without an answer from the core after which keyed requests are refused at once.
const CUT_OFF_RATIO: f64 = 0.6;

/// How a claim call to a core host ended.
enum ClaimCallOutcome {
    Answered(ClaimAnswer),
    /// The host doesn't lead; with the leader's host, if it named one.
    NotLeader(Option<String>),
    Failed,
}

impl CoreClient {
    /// The host to call after `failed` attempts: the leader first, then all hosts that may lead, in turn.
    fn host_to_call(&self, failed: usize) -> Option<String> {
        let watcher = self.watcher.borrow();
        if let (0, Some(leader)) = (failed, watcher.leader()) {
            return Some(leader.to_string());
        }
        let hosts = watcher.candidate_hosts();
        let index = failed.checked_rem(hosts.len())?;
        hosts.get(index).cloned()
    }

    async fn claim_at(&self, host: &str, call: &ClaimCall, timeout_ms: f64) -> ClaimCallOutcome {
        let (Some(to), Ok(body)) = (self.address(host), serde_json::to_vec(call)) else {
            return ClaimCallOutcome::Failed;
        };
        let reply = match self.call_hedged(&self.claim_delay, to, path::CLAIM, &body, timeout_ms).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!("event=core_silent step=claim peer={to} error={:?}", error.to_string());
                return ClaimCallOutcome::Failed;
            }
        };
        match reply.status {
            200 => serde_json::from_slice(&reply.body)
                .map_or(ClaimCallOutcome::Failed, ClaimCallOutcome::Answered),
            421 => {
                let redirect = serde_json::from_slice::<LeaderRedirect>(&reply.body).ok();
                ClaimCallOutcome::NotLeader(redirect.and_then(|redirect| redirect.leader))
            }
            _ => ClaimCallOutcome::Failed,
        }
    }

    /// Makes a call, once more if the first one takes longer than usual, and returns the first answer. The call must be
    /// safe to make twice.
    async fn call_hedged(
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
            let mut updated = delay.get();
            updated.record_latency(self.wheel.now() - sent);
            delay.set(updated);
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
        let (mut redirect, mut failed) = (None, 0);
        while self.wheel.now() < until {
            let host = redirect.take().or_else(|| self.host_to_call(failed));
            if let Some(host) = host {
                match self.claim_at(&host, call, until - self.wheel.now()).await {
                    ClaimCallOutcome::Answered(answer) => return Some(answer),
                    ClaimCallOutcome::NotLeader(leader) => redirect = leader.filter(|leader| *leader != host),
                    ClaimCallOutcome::Failed => {}
                }
            }
            failed += 1;
            // The held watch call would notice later that the leader may have failed.
            self.query_leader.notify_one();
            // The first redirect to the leader is followed without a pause.
            if failed > 1 || redirect.is_none() {
                self.wheel.sleep(RETRY_PAUSE_MS.min(until - self.wheel.now()).max(0.0)).await;
            }
        }
        None
    }

    async fn recall_at(&self, call: &RecallCall, timeout_ms: f64) -> Option<RecallAnswer> {
        let to = SocketAddr::new(IpAddr::V4(call.claimant.host), self.identity.inner_port);
        let body = serde_json::to_vec(call).ok()?;
        match self.call_hedged(&self.recall_delay, to, path::RECALL, &body, timeout_ms).await {
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
        age_ms > CUT_OFF_RATIO * self.identity.bounds.revoke_timeout_s * 1_000.0
    }
}
