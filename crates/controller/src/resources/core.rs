//! `/-/core`: who is a member of the core. `PUT /-/core/HOST` has a host become one, with `{"instead_of": OLD}` as body in
//! the place of another; `DELETE` has it cease to be one. What is ordered is on the log when it is answered, and carried
//! out one change at a time: `GET` tells how far it is.

use super::{go_to, json, name_under, CORE};
use crate::driver::Driver;
use nickeljunction_net::desk::{Answering, Call, Resource, Response};
use nickeljunction_replica::{Answer, MembershipRequest};
use serde::Deserialize;
use std::net::IpAddr;
use std::rc::Rc;

/// See the module.
pub struct Core(pub Rc<Driver>);

#[derive(Deserialize)]
struct Replacement {
    instead_of: String,
}

/// A host as members go by: an IP address, in its usual writing.
fn host(field: &str, text: &str) -> Result<String, Response> {
    let ip = text.parse::<IpAddr>();
    ip.map(|ip| ip.to_string())
        .map_err(|_| Response::error(400, &format!("{field}: wants an IP address, got {text:?}")))
}

fn wish(call: &Call) -> Result<MembershipRequest, Response> {
    let Some(name) = name_under(call, CORE) else {
        return Err(Response::error(404, "wants /-/core or /-/core/HOST"));
    };
    let name = host("host", &name)?;
    match call.method.as_str() {
        "DELETE" => Ok(MembershipRequest::Remove(name)),
        "PUT" if call.body.is_empty() => Ok(MembershipRequest::Add(name, None)),
        "PUT" => {
            let body: Replacement = serde_json::from_slice(&call.body).map_err(|error| {
                Response::error(400, &format!("body: wants {{\"instead_of\": HOST}}: {error}"))
            })?;
            Ok(MembershipRequest::Add(name, Some(host("instead_of", &body.instead_of)?)))
        }
        _ => Err(Response::error(405, "wants PUT or DELETE").with("Allow", "PUT, DELETE")),
    }
}

impl Resource for Core {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            match self.answer(&call).await {
                Ok(response) | Err(response) => response,
            }
        })
    }
}

impl Core {
    async fn answer(&self, call: &Call) -> Result<Response, Response> {
        let look = call.path() == CORE;
        if look && call.method != "GET" {
            return Err(Response::error(405, "wants GET; orders go to /-/core/HOST").with("Allow", "GET"));
        }
        let wish = if look { None } else { Some(wish(call)?) };
        let Some(wish) = wish else {
            // A follower sends it on; a leader asks a majority first whether it still leads.
            let confirmed = self.0.read(|_, _| ()).await;
            return confirmed
                .map(|()| json(200, &self.0.core_view()))
                .map_err(|elsewhere| go_to(&self.0, call, &elsewhere));
        };
        Err(match self.0.order(wish).await {
            Answer::Accepted => return Ok(json(200, &self.0.core_view())),
            Answer::MembershipRefused(unfit) => Response::error(409, &unfit.to_string()),
            Answer::Conflict(_) => Response::error(409, "another order came first: look again"),
            Answer::Unknown => {
                Response::error(503, "not known to be taken: repeat it unchanged").with("Retry-After", "0.2")
            }
            Answer::NotLeader(elsewhere) => go_to(&self.0, call, &elsewhere),
            Answer::Confirmed
            | Answer::Units(_)
            | Answer::Claim(_)
            | Answer::Invalid(_)
            | Answer::NotFound(_)
            | Answer::Forgotten(_) => go_to(&self.0, call, &self.0.elsewhere()),
        })
    }
}
