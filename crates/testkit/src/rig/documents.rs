//! The texts that a run's processes start with: gateways' configurations and discovery's lines.

use crate::checks::{Capacity, Ceiling, Overload};
use std::net::SocketAddr;

/// Grace of drains that the gateways are told, ms.
pub(super) const DRAIN_GRACE_MS: f64 = 1_000.0;
/// What a server can do, as the gateways are told.
pub(super) const CAPACITY: Capacity = Capacity { warm_per_s: 60.0, cold_part: 0.3, warm_ms: 8_000.0 };
/// What is too much for a cold server, as the gateways are told.
pub(super) const OVERLOAD: Overload = Overload { multiple: 2.0, span_ms: 1_500.0 };
/// Ceiling of the plan `growth`.
pub(super) const CEILING: Ceiling = Ceiling { rate: 12.0, burst: 30.0, slack: 4.0 };

pub(super) fn region_line(at: usize, endpoint: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"r{at}","endpoint":"{endpoint}","az":"east","pod_group":1,"state":"{state}","boot_ms":{boot_ms}}}"#
    )
}

pub(super) fn configuration(
    me: usize,
    gateways: usize,
    discovery: SocketAddr,
    counter: SocketAddr,
    known: &str,
) -> String {
    let class = |name: &str, repeat: &str| {
        format!(
            r#"{{"Name":"{name}","AimMs":1000,"GiveUpMs":2000,"Repeat":"{repeat}","Group":"all","KeyTtlMs":1000,"Worth":1}}"#
        )
    };
    let plan = |name: &str, more: &str| {
        format!(r#"{{"Name":"{name}","Refill":20,"PeakUnits":60,"WorthFactor":1,"OverCost":1{more}}}"#)
    };
    let Ceiling { rate, burst, slack } = CEILING;
    let growth = format!(r#","CeilingRate":{rate},"NeverOverDepth":{burst},"CeilingSlack":{slack}"#);
    let Capacity { cold_part, warm_ms, .. } = CAPACITY;
    let Overload { multiple, span_ms } = OVERLOAD;
    format!(
        r#"{{"name":"n{me}","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:0","discovery":"{discovery}",
        "counter":"{counter}","seed":"{me}7","limits":{{"sockets":1024,"memory_mb":192}},
        "known":{{"rev":1,"all":true,"targets":[{known}]}},
        "settings":{{"Me":{me},"Siblings":{gateways},"Locality":"east","StepMs":2.0,
        "Classes":[{},{},{}],"TiersOfService":[{},{},{}],
        "Extra":{{"Counter":true,"CounterTimeoutMs":100,"Settles":true,"UnitsTop":1,"MailPerS":100}},
        "Discovery":"automatic",
        "Permissions":{{"MayCancel":true,"MaxAttempts":3,"MaxRetryAfterMs":2000,"RetryAfter":true,"MayTell":true,
        "SecondCopies":false,"ConnectTimeoutMs":500,"IdleCloseMs":30000}},
        "Guarantees":{{"ColdFrom":{cold_part},"ColdMs":{warm_ms},"DrainGraceMs":{DRAIN_GRACE_MS},"FallMultiple":{multiple},"FallMs":{span_ms}}}}}}}"#,
        class("slot-lookup", "repeatable"),
        class("slot-hold", "by_key"),
        class("donor-checkin", "once"),
        plan("starter", ""),
        plan("standard", ""),
        plan("growth", &growth),
    )
}
