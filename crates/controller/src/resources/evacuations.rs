//! `/-/evacuations/ZONE`: a zone's servers are to get nothing more, or are taken back.

use super::{go_to, name_under, EVACUATIONS};
use crate::driver::Driver;
use nickeljunction_net::desk::{Answering, Call, Resource, Response};
use nickeljunction_replica::Answer;
use std::rc::Rc;

/// See the module.
pub struct Evacuations(pub Rc<Driver>);

impl Resource for Evacuations {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            let Some(zone) = name_under(&call, EVACUATIONS) else {
                return Response::error(404, "wants /-/evacuations/ZONE");
            };
            if !self.0.place.zones.contains_key(zone.as_ref()) {
                let zones: Vec<&str> = self.0.place.zones.keys().map(String::as_str).collect();
                return Response::error(404, &format!("no such zone; wants one of {}", zones.join(", ")));
            }
            let back = match call.method.as_str() {
                "POST" => false,
                "DELETE" => true,
                _ => return Response::error(405, "wants POST or DELETE").with("Allow", "POST, DELETE"),
            };
            match self.0.zone(&zone, back).await {
                Answer::Accepted => Response::empty(200),
                _ => go_to(&self.0, &call, &self.0.elsewhere()),
            }
        })
    }
}
