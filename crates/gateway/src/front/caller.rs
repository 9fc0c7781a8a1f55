//! Who asks, for what and how long it waits: the header lines that every front reads and checks alike. The
//! module counts with these figures, so a wild one under a real franchisee's name would spoil its quota and
//! the averages of all: what the settings rule out is answered here.

use crate::reception::{bad, needed, request_id, single};
use nickeljunction_core::facade::Settings;
use nickeljunction_http::{TerminalReply, TerminalRequest};

/// Franchisees' numbers lie under this.
const CUSTOMERS: u64 = 1 << 33;
/// Hexadecimal digits of a franchisee's number.
const CUSTOMER_DIGITS: usize = 16;
/// What a proper request may name, out of the settings.
#[derive(Debug, Clone)]
pub struct Bounds {
    plans: Vec<String>,
    units_top: f64,
    siblings: usize,
}

impl Bounds {
    /// The bounds of these settings.
    pub fn of(settings: &Settings) -> Bounds {
        let plans = settings.plans.iter().map(|plan| plan.name.clone()).collect();
        Bounds {
            plans,
            units_top: settings.max_request_units.max(1.0),
            siblings: settings.gateway_count.max(1),
        }
    }
}

/// What the lines say.
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

/// A whole number: digits alone, since `parse` takes a sign, too.
fn whole(text: &str) -> Option<usize> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

impl Caller {
    /// Reads the lines; the error names the one at fault.
    pub fn read(request: &TerminalRequest, bounds: &Bounds) -> Result<Caller, TerminalReply> {
        request_id(request)?;
        let plan = needed(request, "X-Contract")?;
        if !bounds.plans.iter().any(|known| known == plan) {
            return Err(bad("X-Contract"));
        }
        let customer = needed(request, "X-Client-Id")?;
        let digits = customer.len() == CUSTOMER_DIGITS && customer.bytes().all(|b| b.is_ascii_hexdigit());
        let customer = u64::from_str_radix(customer, 16).ok().filter(|number| digits && *number < CUSTOMERS);
        let customer = customer.ok_or_else(|| bad("X-Client-Id"))?;
        let patience_ms = match single(request, "Request-Timeout")?.map(str::parse::<f64>) {
            None => None,
            Some(Ok(seconds)) if seconds.is_finite() && seconds >= 0.0 => Some(seconds * 1000.0),
            Some(_) => return Err(bad("Request-Timeout")),
        };
        let (mut units, mut doors) = (None, None);
        for part in single(request, "X-Metering")?.into_iter().flat_map(|text| text.split(',')) {
            let fine = match part.trim().split_once('=') {
                Some(("units", value)) => {
                    let number = value.parse::<f64>().ok();
                    units = number.filter(|units| (1.0..=bounds.units_top).contains(units));
                    units.is_some()
                }
                Some(("spread", value)) => {
                    doors = whole(value).filter(|doors| (1..=bounds.siblings).contains(doors));
                    doors.is_some()
                }
                Some(("first", value)) => whole(value).is_some_and(|first| first < bounds.siblings),
                _ => true,
            };
            if !fine {
                return Err(bad("X-Metering"));
            }
        }
        let retry = request.headers.get("client-retry") == Some("1");
        Ok(Caller { plan: plan.to_string(), customer, patience_ms, units, doors, retry })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::BytesMut;
    use nickeljunction_decide::api::Plan;
    use nickeljunction_http::TerminalCodec;
    use tokio_util::codec::Decoder;

    fn read(lines: &str) -> Result<Caller, TerminalReply> {
        let plan = Plan { name: "p".into(), rate: 1.0, burst: 1.0, excess_cost: 0.0, ..Plan::default() };
        let settings =
            Settings { plans: vec![plan], max_request_units: 6.0, gateway_count: 4, ..Settings::default() };
        let text = format!("GET /c/1 HTTP/1.1\r\n{lines}\r\n\r\n");
        let request = TerminalCodec::default().decode(&mut BytesMut::from(&text[..]));
        Caller::read(&request.expect("well formed").expect("whole"), &Bounds::of(&settings))
    }

    /// Guards the module's books: none of these may reach it, under whatever franchisee's name.
    #[test]
    fn what_the_settings_rule_out_is_no_proper_request() {
        let good =
            "Request-Id: a1\r\nX-Contract: p\r\nX-Client-Id: 00000001ffffffff\r\nRequest-Timeout: 0.5\r\n\
            X-Metering: units=6,spread=4,first=3";
        let caller = read(good).expect("proper");
        assert_eq!((caller.customer, caller.units, caller.doors), ((1 << 33) - 1, Some(6.0), Some(4)));
        for (from, to) in [
            ("Request-Id: a1\r\n", ""),
            ("Request-Id: a1", "Request-Id: "),
            ("Request-Id: a1", "Request-Id: a1\r\nRequest-Id: a2"),
            ("X-Contract: p", "X-Contract: q"),
            ("00000001ffffffff", "0000000200000000"),
            ("00000001ffffffff", "+000000000000001"),
            ("00000001ffffffff", "7"),
            ("0.5", "NaN"),
            ("0.5", "inf"),
            ("0.5", "-1"),
            ("0.5", "soon"),
            ("units=6", "units=NaN"),
            ("units=6", "units=inf"),
            ("units=6", "units=6.5"),
            ("units=6", "units=0"),
            ("units=6", "units=-1"),
            ("units=6", "units="),
            ("spread=4", "spread=5"),
            ("spread=4", "spread=0"),
            ("spread=4", "spread=+1"),
            ("first=3", "first=4"),
            ("first=3", "first=-1"),
            ("first=3", "first=x"),
        ] {
            let said = read(&good.replacen(from, to, 1)).expect_err(to);
            assert_eq!(said.status, 400, "{to}");
        }
    }
}
