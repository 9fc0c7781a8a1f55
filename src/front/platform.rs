//! The platform's protocol: the class is the first part of the path, the rest stands in header lines.

use super::Front;
use crate::api::Repeat;
use crate::facade::{Class, Intake, Settings};
use crate::net::http::{TerminalReply, TerminalRequest};

/// The platform's front.
#[derive(Debug, Clone)]
pub struct Platform {
    classes: Vec<Class>,
    siblings: usize,
}

impl Platform {
    /// A front for the classes of these settings.
    pub fn new(settings: &Settings) -> Platform {
        Platform { classes: settings.classes.clone(), siblings: settings.siblings }
    }
}

/// Who asks and how long it waits: the header lines that every front reads alike.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    /// Plan by name.
    pub plan: String,
    /// The franchisee.
    pub customer: u64,
    /// `Request-Timeout`, ms.
    pub patience_ms: Option<f64>,
    /// `X-Metering`: units.
    pub units: Option<f64>,
    /// `X-Metering`: spread.
    pub doors: Option<usize>,
    /// `Client-Retry: 1`.
    pub retry: bool,
}

impl Caller {
    /// Reads the lines; the error names the one at fault.
    pub fn read(request: &TerminalRequest) -> Result<Caller, TerminalReply> {
        let bad = |what: &str| TerminalReply::text(400, &format!("missing or malformed: {what}\n"));
        let headers = &request.headers;
        let plan =
            headers.get("x-contract").filter(|plan| !plan.is_empty()).ok_or_else(|| bad("X-Contract"))?;
        let customer = headers.get("x-client-id").and_then(|text| u64::from_str_radix(text, 16).ok());
        let customer = customer.ok_or_else(|| bad("X-Client-Id"))?;
        let patience_ms = match headers.get("request-timeout").map(str::parse::<f64>) {
            None => None,
            Some(Ok(seconds)) if seconds.is_finite() && seconds >= 0.0 => Some(seconds * 1000.0),
            Some(_) => return Err(bad("Request-Timeout")),
        };
        let (mut units, mut doors) = (None, None);
        for part in headers.get("x-metering").unwrap_or_default().split(',') {
            match part.trim().split_once('=') {
                Some(("units", value)) => {
                    let number = value.parse::<f64>().ok().filter(|units| units.is_finite() && *units >= 0.0);
                    units = Some(number.ok_or_else(|| bad("X-Metering"))?);
                }
                Some(("spread", value)) => doors = Some(value.parse().map_err(|_| bad("X-Metering"))?),
                _ => {}
            }
        }
        let retry = headers.get("client-retry") == Some("1");
        Ok(Caller { plan: plan.to_string(), customer, patience_ms, units, doors, retry })
    }
}

impl Front for Platform {
    fn take_in(&self, request: &TerminalRequest) -> Result<Intake, TerminalReply> {
        let name = request.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let Some(class) = self.classes.iter().find(|class| class.name == name) else {
            return Err(TerminalReply::text(404, "no such class\n"));
        };
        // The class promises what a repeat may do; a request that does not fit it must not be repeated on
        // the strength of that.
        let (method, key) = match class.repeat {
            Repeat::Repeatable => ("GET", false),
            Repeat::ByKey => ("POST", true),
            Repeat::Once => ("POST", false),
        };
        if request.method != method {
            return Err(TerminalReply::text(405, "the class goes with another method\n"));
        }
        if key && request.headers.get("idempotency-key").is_none_or(str::is_empty) {
            return Err(TerminalReply::text(400, "missing: Idempotency-Key\n"));
        }
        let caller = Caller::read(request)?;
        Ok(Intake {
            class: class.name.clone(),
            never_twice: false,
            plan: caller.plan,
            customer: caller.customer,
            patience_ms: caller.patience_ms.unwrap_or(class.give_up_ms).min(class.give_up_ms),
            units: caller.units.unwrap_or(1.0),
            doors: caller.doors.unwrap_or(self.siblings),
            retry: caller.retry,
        })
    }
}
