//! The texts that a run's processes start with: gateways' configurations and discovery's lines.

use std::net::SocketAddr;

/// Grace of drains that the gateways are told, ms.
pub(super) const DRAIN_GRACE_MS: f64 = 1_000.0;
/// Cold servers: share of the capacity, requests a second when warm, and time to get there, ms.
pub(super) const COLD: (f64, f64, f64) = (60.0, 0.3, 8_000.0);
pub(super) const FALL: (f64, f64) = (2.0, 1_500.0);
/// Ceiling of the plan `growth`: units a second, at once, slack.
pub(super) const CEILING: (f64, f64, f64) = (12.0, 30.0, 4.0);

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
    let (rate, depth, slack) = CEILING;
    let growth = format!(r#","CeilingRate":{rate},"NeverOverDepth":{depth},"CeilingSlack":{slack}"#);
    let (_, from, warm_ms) = COLD;
    let (multiple, span) = FALL;
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
        "Guarantees":{{"ColdFrom":{from},"ColdMs":{warm_ms},"DrainGraceMs":{DRAIN_GRACE_MS},"FallMultiple":{multiple},"FallMs":{span}}}}}}}"#,
        class("slot-lookup", "repeatable"),
        class("slot-hold", "by_key"),
        class("donor-checkin", "once"),
        plan("starter", ""),
        plan("standard", ""),
        plan("growth", &growth),
    )
}
