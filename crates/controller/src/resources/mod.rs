//! One handler object for each resource that others call.

pub mod config;
pub mod core;
pub mod evacuations;
pub mod inner;
pub mod instances;
pub mod operations;
pub mod status;
pub mod trials;

use crate::driver::Driver;
use nickeljunction_messages::LeaderRedirect;
use nickeljunction_net::desk::{percent_decoded, Call, Response};
use serde::Serialize;

/// Where the configuration is put, changed and read.
pub const CONFIG: &str = "/-/config";
/// Under it servers say that they live.
pub const INSTANCES: &str = "/-/instances";
/// Under it zones are evacuated and taken back.
pub const EVACUATIONS: &str = "/-/evacuations";
/// Who is a member of the core; under it hosts become members, or cease to be.
pub const CORE: &str = "/-/core";
/// How far tenants' trials have lapsed; under it they lapse and are restored.
pub const TRIALS: &str = "/-/trials";
/// Who holds keyed operations; under it one is told by its digest.
pub const OPERATIONS: &str = "/-/operations";
/// What operators see of a member.
pub const STATUS: &str = "/-/status";

/// Seconds after which a caller may find a leader, where none is known.
const SOON_S: &str = "0.3";

/// Sends who called control on to the leader.
pub(crate) fn go_to(driver: &Driver, call: &Call, elsewhere: &LeaderRedirect) -> Response {
    match &elsewhere.leader {
        Some(host) => Response::redirect(format!("http://{host}:{}{}", driver.ports.control, call.target)),
        None => Response::error(503, "no leader is known here: ask another one").with("Retry-After", SOON_S),
    }
}

/// A JSON answer.
pub(crate) fn json(status: u16, body: &impl Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(body) => Response::json(status, body),
        Err(error) => Response::error(500, &error.to_string()),
    }
}

/// The name after a resource's own path, without slashes; `None`: there is none, or more than one.
pub(crate) fn name_under<'a>(call: &'a Call, resource: &str) -> Option<std::borrow::Cow<'a, str>> {
    let name = call.path().strip_prefix(resource)?.strip_prefix('/')?;
    (!name.is_empty() && !name.contains('/')).then(|| percent_decoded(name))
}
