//! Figures by gateway and kind, for people.

use super::record::{End, Log, Try, KINDS, TENANTS};
use super::waits::{mean, quantile, Sample};
use crate::status::table;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// One gateway, tenant and kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    gateway: String,
    tenant: &'static str,
    kind: &'static str,
    requests: usize,
    served: usize,
    told: usize,
    p50: f64,
    p99: f64,
    added: f64,
}

/// All rows: requests by the gateway that they were sent to first, latencies counted from when they were due, ms; added
/// waits of those sent from the lapse to the restoring.
pub fn rows(log: &Log, waits: &[Sample]) -> Vec<Row> {
    let mut requests: BTreeMap<u32, Vec<&Try>> = BTreeMap::new();
    for one in &log.tries {
        requests.entry(one.request).or_default().push(one);
    }
    let mut groups: BTreeMap<(usize, usize, usize), Vec<&Vec<&Try>>> = BTreeMap::new();
    for tries in requests.values_mut() {
        tries.sort_by_key(|one| one.number);
    }
    for tries in requests.values() {
        if let Some(first) = tries.first() {
            groups.entry((first.tenant, first.gateway, first.kind)).or_default().push(tries);
        }
    }
    let rows = groups.into_iter().map(|((tenant, gateway, kind), all)| {
        let served = || all.iter().filter_map(|tries| tries.iter().find(|one| one.end.served()));
        let latencies = || served().map(|one| one.ended - one.due).collect::<Vec<f64>>();
        let told = |one: &&Try| matches!(one.end, End::Answer(429 | 503, Some(_)));
        let own = waits.iter().filter(|wait| {
            (wait.tenant, wait.gateway, wait.kind) == (tenant, gateway, kind)
                && (log.lapse..log.restore).contains(&wait.sent)
        });
        Row {
            gateway: log.gateways[gateway].clone(),
            tenant: TENANTS[tenant],
            kind: KINDS[kind].name,
            requests: all.len(),
            served: served().count(),
            told: all.iter().filter(|tries| tries.iter().any(told)).count(),
            p50: quantile(latencies(), 0.5).unwrap_or(0.0),
            p99: quantile(latencies(), 0.99).unwrap_or(0.0),
            added: mean(own.map(|wait| wait.added)).unwrap_or(0.0),
        }
    });
    rows.collect()
}

/// As a table.
pub fn as_text(rows: &[Row]) -> String {
    let heads = ["TENANT", "GATEWAY", "KIND", "REQUESTS", "SERVED", "TOLD", "P50 MS", "P99 MS", "ADDED MS"];
    let mut lines = vec![heads.map(String::from)];
    for row in rows {
        lines.push([
            row.tenant.into(),
            row.gateway.clone(),
            row.kind.into(),
            row.requests.to_string(),
            row.served.to_string(),
            row.told.to_string(),
            format!("{:.0}", row.p50),
            format!("{:.0}", row.p99),
            format!("{:.0}", row.added),
        ]);
    }
    table(&lines)
}

/// As JSON.
pub fn as_json(rows: &[Row]) -> Value {
    let tenth = |figure: f64| (figure * 10.0).round() / 10.0;
    let rows = rows.iter().map(|row| {
        json!({"tenant": row.tenant, "gateway": row.gateway, "kind": row.kind, "requests": row.requests,
            "served": row.served, "told": row.told, "p50_ms": tenth(row.p50), "p99_ms": tenth(row.p99),
            "added_ms": tenth(row.added)})
    });
    rows.collect()
}
