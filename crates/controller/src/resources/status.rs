//! `/-/status`: what operators see of one core member. Answered by every member for itself.

use super::json;
use crate::driver::Driver;
use nickeljunction_net::desk::{Answering, Call, Resource, Response};
use nickeljunction_quota::{Counter, TenantUsage};
use nickeljunction_registry::{state_name, GatewayStatus, Register, ServerStatus};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::rc::Rc;

/// See the module.
pub struct Status(pub Rc<Driver>);

impl Resource for Status {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            match call.method.as_str() {
                "GET" => json(200, &self.0.status()),
                _ => Response::error(405, "wants GET").with("Allow", "GET"),
            }
        })
    }
}

/// Adds what only a leader knows: `gateways` with their versions, `lives` of servers, `units` by tenant, `gathering`
/// and `config_age_ms`.
pub(crate) fn add_lead(shown: &mut Value, register: &Register, counter: &Counter, now: u64) {
    shown["gateways"] = register.gateway_statuses(now).iter().map(gateway).collect();
    shown["lives"] = register.server_statuses(now).iter().map(life).collect();
    shown["units"] = units(&counter.usage_by_tenant(now));
    shown["gathering"] = register.is_gathering().into();
    shown["config_age_ms"] = register.config_age(now).into();
}

/// `version`: of the configuration that it has, null until it has called; `away_ms`: null while it is there.
fn gateway(standing: &GatewayStatus) -> Value {
    let line = &standing.line;
    json!({"name": line.name, "front": line.front, "zone": line.zone, "ready": line.ready,
        "version": standing.version, "away_ms": standing.away_ms})
}

/// `permit`: the gateway that may send to a cold server, empty for none, null where it is warm.
fn life(standing: &ServerStatus) -> Value {
    let line = &standing.line;
    json!({"id": line.id, "service": line.backend, "zone": line.zone, "address": line.address, "slots": line.slots,
        "state": state_name(line), "permit": line.cold, "silent_ms": standing.silent_ms})
}

/// Units by tenant: `ended` and `unheard` are held back for lives that are over or have not told yet.
fn units(standings: &BTreeMap<String, TenantUsage>) -> Value {
    let one = |standing: &TenantUsage| {
        json!({"cap": standing.cap, "lent": standing.lent, "ended": standing.held_for_ended,
            "unheard": standing.held_for_unreported, "used": standing.used(), "held_ms": standing.held_back_ms})
    };
    standings.iter().map(|(tenant, standing)| (tenant.clone(), one(standing))).collect()
}
