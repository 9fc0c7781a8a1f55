//! `Debug` for the types that the `trace` command prints. Its output is read outside this program, so it
//! keeps the field and variant names that recorded traces have always been printed with.

use crate::facade::{CounterReply, Intake, Outcome, RegionEntry};
use std::fmt::{Debug, Formatter, Result};

impl Debug for Intake {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.debug_struct("Intake")
            .field("class", &self.class)
            .field("never_twice", &self.never_twice)
            .field("plan", &self.plan)
            .field("customer", &self.customer)
            .field("patience_ms", &self.timeout_ms)
            .field("units", &self.units)
            .field("doors", &self.gateways)
            .field("retry", &self.retry)
            .finish()
    }
}

impl Debug for RegionEntry {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.debug_struct("RegionEntry")
            .field("uid", &self.uid)
            .field("endpoint", &self.endpoint)
            .field("state", &self.state)
            .field("zone", &self.zone)
            .field("pod_group", &self.pod_group)
            .field("weight", &self.weight)
            .field("boot_ms", &self.boot_ms)
            .field("near", &self.distance)
            .field("order", &self.rank)
            .finish()
    }
}

impl Debug for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.write_str(match self {
            Outcome::Served => "Served",
            Outcome::Error => "Error",
            Outcome::Rejected => "TurnedAway",
            Outcome::CouldNotConnect => "CouldNotConnect",
            Outcome::Reset => "Reset",
            Outcome::Unreadable => "Spoilt",
            Outcome::TimedOut => "TimedOut",
            Outcome::Canceled => "CalledOff",
            Outcome::NotSent => "NotSent",
        })
    }
}

impl Debug for CounterReply {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            CounterReply::Total(total) => f.debug_tuple("Total").field(total).finish(),
            CounterReply::Busy => f.write_str("Busy"),
            CounterReply::CouldNotConnect => f.write_str("CouldNotConnect"),
            CounterReply::TimedOut => f.write_str("TimedOut"),
            CounterReply::Late(total) => f.debug_tuple("Late").field(total).finish(),
            CounterReply::Unresolved => f.write_str("Never"),
        }
    }
}
