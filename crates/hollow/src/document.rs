//! Documents of any size, and what one costs a gateway before it is in force.

use crate::flags::Document as Flags;
use crate::procfs;
use crate::run::Trouble;
use nickeljunction_quota::Limit;
use nickeljunction_routing::Table;
use nickeljunction_schema::{Bounds, Document};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Instant;

/// Routes that share one host name.
const ROUTES_A_HOST: usize = 10;
/// Requests a second of each tenant with a quota.
const TENANT_RATE: f64 = 1_000.0;
/// Length of a tenant's key, as the operators' keys have it.
const KEY_LETTERS: usize = 20;

/// How large a document is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Routes.
    pub routes: usize,
    /// Tenants, with one key each.
    pub tenants: usize,
    /// Of these, the first have a quota.
    pub limited: usize,
    /// Services.
    pub services: usize,
}

/// Name of a service.
pub fn service(number: usize) -> String {
    format!("service-{number}")
}

/// Name of a tenant.
pub fn tenant(number: usize) -> String {
    format!("tenant-{number}")
}

fn route(number: usize, services: usize, timeout_s: f64) -> Value {
    json!({
        "hostname": format!("host-{}.example", number / ROUTES_A_HOST),
        "path_prefix": format!("/path-{number}/"),
        "route_type": if number.is_multiple_of(3) { "non_idempotent" } else { "idempotent" },
        "timeout_s": timeout_s,
        "target_latency_s": 0.6,
        "priority": number % 3,
        "backend": service(number % services),
        "max_attempts": 2,
        "no_auth": false,
        "home_regions": [],
    })
}

/// A whole document.
pub fn whole(version: u64, size: &Size) -> Value {
    let services = size.services.max(1);
    let named = |count: usize, item: &dyn Fn(usize) -> (String, Value)| -> Map<String, Value> {
        (0..count).map(item).collect()
    };
    let tenant = |number: usize| {
        let rate = if number < size.limited { TENANT_RATE } else { 0.0 };
        let item = json!({"api_keys": [format!("key{number:0width$}", width = KEY_LETTERS - 3)], "priority": 1,
            "rate_per_s": rate, "burst_size": rate, "home_regions": []});
        (tenant(number), item)
    };
    let backend = json!({"health_check": "/health", "max_connections": 110, "protocol": "h1", "tls": false,
        "warmup_s": 0.0, "warmup_per_s": 3.6});
    json!({
        "config_version": version,
        "routes": named(size.routes, &|number| (format!("route-{number}"), route(number, services, 2.5))),
        "backends": named(services, &|number| (service(number), backend.clone())),
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 67_108_864, "header_timeout_s": 3,
            "idle_timeout_s": 15},
        "tenants": named(size.tenants, &tenant),
    })
}

/// A change of one route, to `version`.
pub fn change(version: u64, size: &Size) -> Value {
    let number = version as usize % size.routes.max(1);
    let timeout_s = 2.0 + (version % 10) as f64 / 10.0;
    let route = route(number, size.services.max(1), timeout_s);
    json!({"config_version": version, "upsert": {"routes": {(format!("route-{number}")): route}}})
}

/// Units that tenants may spend, as a gateway makes them out of a document of this size.
pub fn limits(size: &Size, bounds: &Bounds) -> BTreeMap<String, Limit> {
    let (window, overrun, slack) = (bounds.quota_window_s, bounds.quota_overrun, bounds.quota_slack);
    let limit = Limit::with_margin(TENANT_RATE, TENANT_RATE, window, overrun, slack);
    let limited = 0..size.limited.min(size.tenants);
    limit.map_or_else(BTreeMap::new, |limit| limited.map(|number| (tenant(number), limit)).collect())
}

/// Makes a document and measures it: its bytes, the time to read it, to check it and to compile the table of it, and the
/// memory of each.
///
/// # Errors
/// `/proc` can't be read, or the document is refused.
pub fn measure(flags: &Flags) -> Result<String, Trouble> {
    let size = Size {
        routes: flags.routes.unwrap_or(30),
        tenants: flags.tenants.unwrap_or(100),
        limited: flags.tenants.unwrap_or(100),
        services: flags.services.unwrap_or(10),
    };
    let bytes = whole(1, &size).to_string().into_bytes();
    let own = std::process::id();
    let resident = || procfs::look(own).map(|(_, look)| look.resident_kib as f64 / 1024.0);
    let ms = |since: Instant| since.elapsed().as_secs_f64() * 1_000.0;
    let at_first = resident()?;
    let begin = Instant::now();
    let raw: Value = serde_json::from_slice(&bytes).map_err(|error| Trouble::Odd(error.to_string()))?;
    let (read_ms, read_mib) = (ms(begin), resident()?);
    let begin = Instant::now();
    let document = Document::of(raw).map_err(|problem| Trouble::Odd(problem.to_string()))?;
    let (check_ms, check_mib) = (ms(begin), resident()?);
    let begin = Instant::now();
    let table = Table::of(document.config());
    let (table_ms, table_mib) = (ms(begin), resident()?);
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = writeln!(text, "routes {} tenants {} services {}", size.routes, size.tenants, size.services);
    let _ = writeln!(text, "document  {} bytes", bytes.len());
    let _ = writeln!(text, "read      {read_ms:.1} ms  +{:.1} MiB", read_mib - at_first);
    let _ = writeln!(text, "check     {check_ms:.1} ms  +{:.1} MiB", check_mib - read_mib);
    let _ = writeln!(text, "compile   {table_ms:.1} ms  +{:.1} MiB", table_mib - check_mib);
    drop(table);
    Ok(text)
}
