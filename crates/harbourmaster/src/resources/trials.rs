//! `/-/trials`: how far tenants' trials have lapsed. `POST /-/trials/TENANT` has one lapse, `DELETE` restores it; `GET` tells how
//! all of them stand.

use super::{go_to, json, name_under, TRIALS};
use crate::helm::Helm;
use nickeljunction_chandler::desk::{Answering, Call, Resource, Response};
use nickeljunction_wheelhouse::{Answer, TrialView};
use std::rc::Rc;

/// See the module.
pub struct Trials(pub Rc<Helm>);

impl Resource for Trials {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            match call.path() == TRIALS {
                true if call.method == "GET" => self.look(&call).await,
                true => Response::error(405, "wants GET; orders go to /-/trials/TENANT").with("Allow", "GET"),
                false => self.order(&call).await,
            }
        })
    }
}

impl Trials {
    async fn look(&self, call: &Call) -> Response {
        // A follower sends it on; a leader asks a majority first whether it still leads.
        match self.0.read(|_, _| ()).await {
            Ok(()) => json(200, &self.0.trials()),
            Err(elsewhere) => go_to(&self.0, call, &elsewhere),
        }
    }

    async fn order(&self, call: &Call) -> Response {
        let Some(tenant) = name_under(call, TRIALS) else {
            return Response::error(404, "wants /-/trials or /-/trials/TENANT");
        };
        let lapse = match call.method.as_str() {
            "POST" => true,
            "DELETE" => false,
            _ => return Response::error(405, "wants POST or DELETE").with("Allow", "POST, DELETE"),
        };
        match self.0.trial(&tenant, lapse).await {
            Answer::Taken => json(200, &self.0.trials().remove(tenant.as_ref()) as &Option<TrialView>),
            Answer::Missing(wants) => Response::error(404, &wants),
            Answer::Unknown => {
                Response::error(503, "not known to be taken: repeat it unchanged").with("Retry-After", "0.2")
            }
            Answer::Elsewhere(elsewhere) => go_to(&self.0, call, &elsewhere),
            _ => go_to(&self.0, call, &self.0.elsewhere()),
        }
    }
}
