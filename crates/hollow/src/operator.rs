//! The operator: puts a document, and changes it at a steady pace.

use crate::document::{self, Size};
use crate::gateway::Fleet;
use crate::run::Trouble;
use crate::traffic::{Ask, Channel, Kind};
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;

/// A document of many megabytes may take so long, ms.
const ORDER_MS: f64 = 30_000.0;
/// Pause before an order is made again, ms, and how often it is made.
const AGAIN_MS: f64 = 300.0;
const TRIES: usize = 40;

/// Host and port of a redirection.
pub fn target(location: &str) -> Option<SocketAddr> {
    let rest = location.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}

/// See the module.
pub struct Operator {
    /// Connections.
    pub channel: Channel,
    /// Where control takes orders.
    pub control: Vec<SocketAddr>,
    /// All that hollow gateways share: timers, and how changes spread.
    pub fleet: Rc<Fleet>,
    /// Size of the document.
    pub size: Size,
}

impl Operator {
    /// Puts the document, version 1.
    ///
    /// # Errors
    /// It was refused, or nobody took it.
    pub async fn put(&self) -> Result<usize, Trouble> {
        let body = document::whole(1, &self.size).to_string().into_bytes();
        self.order("PUT", 0, &body).await?;
        self.fleet.spread.borrow_mut().acknowledged(1, self.fleet.wheel.now());
        Ok(body.len())
    }

    /// Makes `per_minute` changes a minute above version `from`, for as long as it is polled.
    ///
    /// # Errors
    /// One was refused, or nobody took it.
    pub async fn change(&self, from: u64, per_minute: f64) -> Result<(), Trouble> {
        if per_minute <= 0.0 {
            return std::future::pending().await;
        }
        let (pause, wheel) = (60_000.0 / per_minute, &self.fleet.wheel);
        // Short runs have a change, too.
        let mut next = wheel.now() + pause.min(2_000.0);
        for version in from + 1.. {
            wheel.sleep_until(next).await;
            next += pause;
            let body: Value = document::change(version, &self.size);
            self.order("PATCH", version - 1, body.to_string().as_bytes()).await?;
            self.fleet.spread.borrow_mut().acknowledged(version, wheel.now());
        }
        Ok(())
    }

    async fn order(&self, method: &str, on: u64, body: &[u8]) -> Result<(), Trouble> {
        let on = on.to_string();
        let headers = [("If-Match", on.as_str())];
        let (mut last, mut to, mut turn) = (String::new(), self.control[0], 0);
        for _ in 0..TRIES {
            let ask = Ask { method, path: "/-/config", headers: &headers, body, timeout_ms: ORDER_MS };
            match self.channel.call(Kind::Order, to, ask).await {
                Ok(reply) if reply.status == 200 => return Ok(()),
                Ok(reply) if reply.status == 307 => {
                    if let Some(leader) = reply.headers.get("Location").and_then(target) {
                        to = leader;
                        continue;
                    }
                }
                Ok(reply) if [400, 409, 412, 413, 422].contains(&reply.status) => {
                    let why = String::from_utf8_lossy(&reply.body).into_owned();
                    return Err(Trouble::Refused(method.into(), reply.status, why));
                }
                Ok(reply) => last = format!("{to} answers {}", reply.status),
                Err(error) => last = error.to_string(),
            }
            turn += 1;
            to = self.control[turn % self.control.len()];
            self.fleet.wheel.sleep(AGAIN_MS).await;
        }
        Err(Trouble::NotTaken(method.into(), last))
    }
}
