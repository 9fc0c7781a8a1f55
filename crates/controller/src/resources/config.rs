//! `/-/config`: put, changed and read by operators.

use super::{go_to, json};
use crate::driver::Driver;
use nickeljunction_net::desk::{Answering, Call, Resource, Response};
use nickeljunction_replica::{Answer, Change};
use nickeljunction_schema::if_match;
use std::rc::Rc;

/// See the module.
pub struct Config(pub Rc<Driver>);

impl Resource for Config {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            match call.method.as_str() {
                "GET" => self.get(&call).await,
                "PUT" => self.change(&call, false).await,
                "PATCH" => self.change(&call, true).await,
                _ => Response::error(405, "wants GET, PUT or PATCH").with("Allow", "GET, PUT, PATCH"),
            }
        })
    }
}

impl Config {
    async fn get(&self, call: &Call) -> Response {
        let look = |version, doc: &serde_json::Value| match version {
            0 => Response::error(404, "no configuration was put yet"),
            _ => json(200, doc),
        };
        match self.0.read(look).await {
            Ok(response) => response,
            Err(elsewhere) => go_to(&self.0, call, &elsewhere),
        }
    }

    async fn change(&self, call: &Call, patch: bool) -> Response {
        let base = call.headers.get("if-match").and_then(if_match);
        match self.0.change(Change { patch, base, body: call.body.clone() }).await {
            Answer::Accepted => Response::empty(200),
            Answer::Conflict(Some(version)) => {
                Response::error(412, &format!("version {version} is in place"))
            }
            Answer::Conflict(None) => Response::error(412, "another version came first"),
            Answer::Invalid(wants) => Response::error(400, &wants),
            Answer::Unknown => {
                Response::error(503, "not known to be taken: repeat it unchanged").with("Retry-After", "0.2")
            }
            // Not 412: it may have been taken. Nor when to come again: the answer stays the same.
            Answer::Forgotten(version) => Response::error(
                503,
                &format!("forgotten: version {version} is too old to tell whether it was taken"),
            ),
            Answer::NotLeader(elsewhere) => go_to(&self.0, call, &elsewhere),
            Answer::Confirmed
            | Answer::Units(_)
            | Answer::Claim(_)
            | Answer::MembershipRefused(_)
            | Answer::NotFound(_) => go_to(&self.0, call, &self.0.elsewhere()),
        }
    }
}
