//! `/operations/claim`: a gateway claims a keyed operation before it sends the request to a server. `/-/operations`: what
//! operators see of all of them, and under it of one.

use super::inner::{misdirected, read};
use super::{go_to, json, name_under, OPERATIONS};
use crate::driver::Driver;
use nickeljunction_messages::{ClaimCall, OperationId};
use nickeljunction_net::desk::{Answering, Call, Resource, Response};
use nickeljunction_replica::Replica;
use serde_json::{json, Value};
use std::rc::Rc;

/// See the module.
pub struct Claims(pub Rc<Driver>);

impl Resource for Claims {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            let call: ClaimCall = match read(&call) {
                Ok(call) => call,
                Err(response) => return response,
            };
            match self.0.claim(&call).await {
                Ok(Some(answer)) => json(200, &answer),
                Ok(None) => Response::error(503, "not known to be granted: repeat it unchanged"),
                Err(elsewhere) => misdirected(&elsewhere),
            }
        })
    }
}

/// See the module. Nothing is changed by it.
pub struct Operations(pub Rc<Driver>);

impl Resource for Operations {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            if call.method != "GET" {
                return Response::error(405, "wants GET").with("Allow", "GET");
            }
            let operation = match call.path() == OPERATIONS {
                true => None,
                false => match name_under(&call, OPERATIONS).and_then(|digits| digits.parse().ok()) {
                    Some(operation) => Some(operation),
                    None => {
                        return Response::error(404, "wants /-/operations, or 32 hexadecimal digits under it")
                    }
                },
            };
            // A follower sends it on; a leader asks a majority first whether it still leads.
            match self.0.read(|_, _| ()).await {
                Ok(()) => self.look(operation),
                Err(elsewhere) => go_to(&self.0, &call, &elsewhere),
            }
        })
    }
}

impl Operations {
    fn look(&self, operation: Option<OperationId>) -> Response {
        match operation {
            Some(operation) => json(200, &self.0.operation(operation)),
            None => json(200, &self.0.operations()),
        }
    }
}

/// What operators see: how many operations are claimed, by how many claims in how many generations, and for how long the
/// oldest generation has been closed, where this member leads and one is.
pub(crate) fn standing(replica: &Replica, now: u64) -> Value {
    let table = replica.state().operations();
    json!({
        "remembered": table.operation_count(),
        "claims": table.record_count(),
        "generations": table.open_generation() + 1 - table.closed_generations().start,
        "oldest_closed_ms": replica.oldest_generation_age(now),
    })
}

#[cfg(test)]
mod tests;
