//! The platform's protocol: the class is the first part of the path, the rest stands in header lines.

use super::caller::{Bounds, Caller};
use crate::reception::Front;
use nickeljunction_core::facade::{Class, Intake, Settings};
use nickeljunction_decide::api::RetrySafety;
use nickeljunction_http::{TerminalReply, TerminalRequest};

/// The platform's front.
#[derive(Debug, Clone)]
pub struct Platform {
    classes: Vec<Class>,
    siblings: usize,
    bounds: Bounds,
}

impl Platform {
    /// A front for the classes of these settings.
    pub fn new(settings: &Settings) -> Platform {
        Platform {
            classes: settings.classes.clone(),
            siblings: settings.gateway_count,
            bounds: Bounds::of(settings),
        }
    }
}

impl Front for Platform {
    fn take_in(&self, request: &TerminalRequest) -> Result<Intake, TerminalReply> {
        let name =
            request.path().strip_prefix('/').and_then(|path| path.split('/').next()).unwrap_or_default();
        let Some(class) = self.classes.iter().find(|class| class.name == name) else {
            return Err(TerminalReply::text(404, "no such class\n"));
        };
        // The class promises what a repeat may do; a request that does not fit it must not be repeated on
        // the strength of that.
        let (method, key) = match class.retry_safety {
            RetrySafety::Idempotent => ("GET", false),
            RetrySafety::Keyed => ("POST", true),
            RetrySafety::AtMostOnce => ("POST", false),
        };
        if request.method != method {
            return Err(TerminalReply::text(405, "the class goes with another method\n"));
        }
        if key && request.headers.get("idempotency-key").is_none_or(str::is_empty) {
            return Err(TerminalReply::text(400, "missing: Idempotency-Key\n"));
        }
        let caller = Caller::read(request, &self.bounds)?;
        Ok(Intake {
            class: class.name.clone(),
            never_twice: false,
            plan: caller.plan,
            customer: caller.customer,
            timeout_ms: caller.patience_ms.unwrap_or(class.client_timeout_ms).min(class.client_timeout_ms),
            units: caller.units.unwrap_or(1.0),
            gateways: caller.doors.unwrap_or(self.siblings),
            retry: caller.retry,
        })
    }
}
