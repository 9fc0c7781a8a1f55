//! Messages between the processes of the system (internal calls): HTTP/1.1 with JSON on the first internal port of
//! every `core` machine. Plain types, no logic.
//!
//! Times are durations in ms: clocks of two machines are never compared. Fields of frequent calls have short names on
//! the wire, because traffic between regions is paid for by the byte.

mod operations;

pub use operations::{ClaimAnswer, ClaimCall, Claimant, KeptAnswer, OperationId, RecallAnswer, RecallCall};

use nickeljunction_schema::{Difference, DocumentDigest};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Paths of the internal calls.
pub mod path {
    /// Consensus messages between core members, answered with 204.
    pub const CONSENSUS: &str = "/logbook";
    /// State updates for a gateway or another core member: [`super::WatchCall`], [`super::WatchAnswer`].
    pub const WATCH: &str = "/watch";
    /// Quota units lent to a gateway: [`super::UnitsCall`], [`super::UnitsAnswer`].
    pub const UNITS: &str = "/units";
    /// A gateway's shares of the paces of tenants whose trial has lapsed: [`super::PaceSharesCall`],
    /// [`super::PaceSharesAnswer`].
    pub const PACE_SHARES: &str = "/ebb";
    /// A gateway claims a keyed operation: [`super::ClaimCall`], [`super::ClaimAnswer`].
    pub const CLAIM: &str = "/operations/claim";
    /// A gateway asks the holder of a claim for the outcome: [`super::RecallCall`], [`super::RecallAnswer`].
    pub const RECALL: &str = "/operations/recall";
}

/// Number of a core member: drawn when its disk is first written, and lost with that disk.
pub type MemberId = u64;

/// A member of the core, or a candidate for membership.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its number.
    pub id: MemberId,
    /// IP address of its machine; ports are the same on every machine.
    pub host: String,
}

/// Answer of a core member that isn't the leader, with status 421.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// IP address of the leader's machine, if the answering member knows it.
    pub leader: Option<String>,
}

/// Kind of process that sends a [`WatchCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// A gateway.
    #[serde(rename = "g")]
    Gateway,
    /// Another core member: it also receives the list of gateways, for its directory.
    #[serde(rename = "c")]
    Core,
}

/// A gateway as the directory lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayInfo {
    /// Name of its machine.
    pub name: String,
    /// Address for clients.
    pub front: String,
    /// Zone of its machine.
    pub zone: String,
    /// It accepts clients: it is ready and isn't shutting down.
    pub ready: bool,
}

/// Reports that the caller is alive and requests updates. The leader holds the call until there is an update or
/// `wait_ms` have passed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchCall {
    /// Kind of the calling process.
    #[serde(rename = "who")]
    pub caller: Caller,
    /// Name of the machine.
    pub name: String,
    /// Random number drawn at the start of the caller's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// A gateway's own entry, in its first call to a leader and after each change.
    #[serde(rename = "line", default, skip_serializing_if = "Option::is_none")]
    pub gateway: Option<GatewayInfo>,
    /// Term and sequence number of the newest update that the caller has; both 0 if it has none.
    pub term: u64,
    /// See `term`.
    pub seq: u64,
    /// Version of the configuration that the caller has.
    pub version: u64,
    /// How long the call may be held, ms; 0: it is answered at once.
    pub wait_ms: u64,
    /// Set by a gateway that also serves the directory: it receives the list of gateways.
    #[serde(rename = "directory", default, skip_serializing_if = "std::ops::Not::not")]
    pub serves_directory: bool,
    /// The caller understands [`ConfigChange`]s.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub accepts_config_changes: bool,
    /// The caller understands [`RosterChange`]s.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub accepts_roster_changes: bool,
    /// The caller received the full list of servers from the leader of `term`, and all changes since.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_full_server_list: bool,
    /// Set by a core member whose state has diverged from the log's: it needs the leader's full state.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub diverged: bool,
}

/// Changes of the list of gateways since an earlier answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterChange {
    /// New and changed gateways.
    #[serde(rename = "lines", default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<GatewayInfo>,
    /// Names of removed gateways.
    #[serde(rename = "gone", default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

/// Whether a server accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It accepts requests.
    #[serde(rename = "s")]
    InService,
    /// It accepts no new requests.
    #[serde(rename = "d")]
    Draining,
}

/// A server instance as gateways need it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Instance id, new with each start of the server.
    pub id: String,
    /// The service that it belongs to.
    #[serde(rename = "b")]
    pub backend: String,
    /// Address on which it listens.
    #[serde(rename = "a")]
    pub address: String,
    /// Zone of its machine.
    #[serde(rename = "z")]
    pub zone: String,
    /// How many requests it processes concurrently.
    #[serde(rename = "n")]
    pub slots: u32,
    /// Whether it accepts requests.
    #[serde(rename = "s")]
    pub state: ServerState,
    /// Set while the server is cold: only the gateway of this name may send to it, at the configured rate. If the name
    /// is empty, no gateway may send to it yet.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<String>,
}

/// A configuration document with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedConfig {
    /// Version of the document.
    pub version: u64,
    /// The full document: as the operator sent it, or with the operator's changes applied.
    #[serde(rename = "doc")]
    pub document: serde_json::Value,
}

/// Difference between an older configuration and the newest one; it covers all versions between them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The version to which the difference applies.
    pub from: u64,
    /// The resulting version.
    pub version: u64,
    /// The changes themselves.
    pub difference: Difference,
    /// Digest of the resulting document.
    pub digest: DocumentDigest,
}

/// The leader's full state, for a core member whose own state has diverged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateTransfer {
    /// Index of the last log entry that is applied in `state`.
    #[serde(rename = "after")]
    pub last_index: u64,
    /// Encoded as in a snapshot of the log.
    pub state: String,
}

/// Updates for the sender of a [`WatchCall`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Term and sequence number of the last update in this answer.
    pub term: u64,
    /// See `term`.
    pub seq: u64,
    /// Time since a majority of the core last confirmed the sender as leader, ms: the answer is no older than that.
    #[serde(rename = "age_ms")]
    pub quorum_age_ms: u64,
    /// `servers` is the full list: instances that it doesn't name are removed.
    #[serde(rename = "whole", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_full_list: bool,
    /// The newest configuration, if the caller lacks it and `config_change` isn't set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config: Option<Rc<VersionedConfig>>,
    /// The newest configuration as a difference from the version that the caller has.
    #[serde(rename = "change", default, skip_serializing_if = "Option::is_none")]
    pub config_change: Option<Rc<ConfigChange>>,
    /// The leader's state, if the caller asked for it.
    #[serde(rename = "restated", default, skip_serializing_if = "Option::is_none")]
    pub state_transfer: Option<StateTransfer>,
    /// All evacuated zones, if they changed.
    #[serde(rename = "evacuated", default, skip_serializing_if = "Option::is_none")]
    pub evacuated_zones: Option<Vec<String>>,
    /// New and changed server instances.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<ServerInfo>,
    /// Ids of removed server instances.
    #[serde(rename = "gone", default, skip_serializing_if = "Vec::is_empty")]
    pub removed_servers: Vec<String>,
    /// Number of gateways, if it changed.
    #[serde(rename = "gateways", default, skip_serializing_if = "Option::is_none")]
    pub gateway_count: Option<u32>,
    /// IP addresses of the core's machines, if they changed.
    #[serde(rename = "core", default, skip_serializing_if = "Option::is_none")]
    pub core_hosts: Option<Vec<String>>,
    /// All gateways, if they changed and `roster_change` isn't set; only for core members and for gateways that serve
    /// the directory.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub roster: Option<Vec<GatewayInfo>>,
    /// The list of gateways as a difference from the list at the `seq` of the call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub roster_change: Option<RosterChange>,
    /// All trials that have ever changed, if any has changed since the caller's last update.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trials: Option<Vec<TrialInfo>>,
}

/// A gateway's report on the quota units of one tenant.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantUnits {
    /// The gateway's loan: units held, plus units spent whose window is still running. If the counter has lent more than
    /// that, the gateway has returned the rest.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub loan: u64,
    /// Units requested; 0: none.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub requested: u64,
    /// First request for this tenant: the counter divides the cap by its own count of gateways instead.
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_first_fetch: bool,
    /// Units that the gateway would spend at once, beyond its pace; 0: none.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub boost: u64,
    /// Units per window that the gateway may spend, if that is more than `loan`. Only in a full report.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub pace: u64,
    /// Lowest pace in the last window. Only in a full report.
    #[serde(rename = "n", default, skip_serializing_if = "is_zero")]
    pub min_pace: u64,
    /// Highest pace in the last window, if that is more than both `loan` and `pace`. Only in a full report.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub max_pace: u64,
    /// Units of `loan` that the gateway may not spend again, because they were spent before its limit was lowered or
    /// its loan expired. Only in a full report.
    #[serde(rename = "o", default, skip_serializing_if = "is_zero")]
    pub unspendable: u64,
    /// Units granted beyond the pace in the last window. Only in a full report.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub boosted: u64,
}

fn is_zero(units: &u64) -> bool {
    *units == 0
}

/// A gateway's report on its quota units, and its request for more. It carries the gateway's state of the named tenants
/// rather than increments, so that a lost answer does no harm; tenants that aren't named are unchanged since the last
/// report and answer. If calls overtake each other, the counter uses the one with the highest `seq`, and the gateway
/// uses only the answer to its newest call.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UnitsCall {
    /// Random number drawn at the start of the gateway's process.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Increases with each call of this incarnation.
    #[serde(rename = "q")]
    pub seq: u64,
    /// A full report: it names all tenants and includes their figures of the last window. A new counter requests it.
    #[serde(rename = "all", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_full_report: bool,
    /// Name of the gateway's machine. Only in a full report.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub name: String,
    /// Term of the counter to which a full report is addressed. A counter of any other term requests a new one: the
    /// report may be old, and more units may have been lent since.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub counter_term: u64,
    /// Time since this incarnation started, ms. Only in a full report.
    #[serde(rename = "born_ms", default, skip_serializing_if = "is_zero")]
    pub uptime_ms: u64,
    /// The gateway reports `boosted` where it isn't 0; versions before 0.3.0 don't. Only in a full report.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub reports_boosted: bool,
    /// The last call of this incarnation: it spends nothing afterwards.
    #[serde(rename = "end", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_final: bool,
    /// By tenant.
    #[serde(rename = "u", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tenants: BTreeMap<String, TenantUnits>,
}

/// The counter's answer for one tenant.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantGrant {
    /// Units lent with this answer.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub granted: u64,
    /// Units that the counter can still lend after this answer.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub remaining: u64,
    /// The part of `remaining` that the paces of all gateways leave for this gateway; `None`: all of it.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub pace_headroom: Option<u64>,
    /// Units of the loan that the gateway may spend at once, beyond its pace.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub boost: u64,
    /// Pace, in units per window, that applies for a while regardless of the loan. Only after a first fetch.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub initial_pace: u64,
}

/// The counter's answer to a [`UnitsCall`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UnitsAnswer {
    /// `seq` of the call.
    #[serde(rename = "q")]
    pub seq: u64,
    /// Term of the counter: a different term than before means a new counter.
    #[serde(rename = "e")]
    pub term: u64,
    /// The counter doesn't know this incarnation and has lent nothing: the gateway must call again with a full report.
    #[serde(rename = "tell", default, skip_serializing_if = "std::ops::Not::not")]
    pub full_report_needed: bool,
    /// Time since a majority of the core last confirmed the sender as leader, ms.
    #[serde(rename = "a", default)]
    pub quorum_age_ms: u64,
    /// Version of the newest configuration at that time. If the gateway has this version, the answer confirms that its
    /// configuration is current.
    #[serde(rename = "v", default)]
    pub version: u64,
    /// By tenant: those of the call, and those whose remaining part has changed noticeably since the last answer.
    #[serde(rename = "u", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tenants: BTreeMap<String, TenantGrant>,
}

/// A tenant's trial as gateways need it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialInfo {
    /// Name of the tenant.
    #[serde(rename = "t")]
    pub tenant: String,
    /// Increases with each change of this tenant's trial on the log.
    #[serde(rename = "n")]
    pub step: u64,
    /// Stage of throttling after the trial has lapsed; 0: not lapsed.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero_stage")]
    pub stage: u32,
    /// Time from the sending of this message until the stage begins, ms; 0: it has begun.
    #[serde(rename = "i", default, skip_serializing_if = "is_zero")]
    pub in_ms: u64,
}

fn is_zero_stage(stage: &u32) -> bool {
    *stage == 0
}

/// A gateway's request for its shares of the paces of tenants whose trial has lapsed. Sent only while there are such
/// tenants.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceSharesCall {
    /// Name of the gateway's machine.
    pub name: String,
    /// Random number drawn at the start of the gateway's process.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Increases with each call of this incarnation.
    #[serde(rename = "q")]
    pub seq: u64,
    /// Recent requests per second to this gateway, by tenant.
    #[serde(rename = "d", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub demand: BTreeMap<String, f64>,
    /// Shares that the gateway applies now, in requests per second, by tenant.
    #[serde(rename = "h", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub held: BTreeMap<String, f64>,
}

/// Shares of paces, valid for a limited time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceSharesAnswer {
    /// `seq` of the call.
    #[serde(rename = "q")]
    pub seq: u64,
    /// Term of the leader.
    #[serde(rename = "e")]
    pub term: u64,
    /// Requests per second that may pass at this gateway, by tenant.
    #[serde(rename = "s", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub shares: BTreeMap<String, f64>,
}
