//! What the system's own processes say to each other (inner calls): HTTP/1.1 with JSON on the first inner port of every
//! `core` machine. Plain types, no logic.
//!
//! Times are durations in ms: clocks of two machines are never compared. Short names on the wire where a call is made
//! often: bytes between regions are priced.

mod operations;

pub use operations::{ClaimAnswer, ClaimCall, Claimant, KeptAnswer, OperationId, RecallAnswer, RecallCall};

use nickeljunction_schema::{Difference, DocumentDigest};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Paths of the inner calls.
pub mod path {
    /// Messages of the agreement between core members, answered with 204.
    pub const CONSENSUS: &str = "/logbook";
    /// What a gateway or another core member learns: [`super::WatchCall`], [`super::WatchAnswer`].
    pub const WATCH: &str = "/watch";
    /// Counted adds of a gateway: [`super::UnitsCall`], [`super::UnitsAnswer`].
    pub const UNITS: &str = "/units";
    /// Shares of the paces of lapsed tenants: [`super::PaceSharesCall`], [`super::PaceSharesAnswer`].
    pub const PACE_SHARES: &str = "/ebb";
    /// A gateway claims a keyed operation: [`super::ClaimCall`], [`super::ClaimAnswer`].
    pub const CLAIM: &str = "/operations/claim";
    /// A gateway asks the one that holds a claim: [`super::RecallCall`], [`super::RecallAnswer`].
    pub const RECALL: &str = "/operations/recall";
}

/// Number of a core member: drawn when its disk is first written, and gone with that disk.
pub type MemberId = u64;

/// A member of the core, or one that would be.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its number.
    pub id: MemberId,
    /// Its machine's IP address; ports are the same on every machine.
    pub host: String,
}

/// Answer of a core member that doesn't lead, with status 421.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// IP address of the machine that leads, as far as this one knows.
    pub leader: Option<String>,
}

/// Who asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// A gateway.
    #[serde(rename = "g")]
    Gateway,
    /// Another core member: it also learns the list of gateways, for its directory.
    #[serde(rename = "c")]
    Core,
}

/// A gateway as the directory needs it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayInfo {
    /// Name of its machine.
    pub name: String,
    /// Where clients reach it.
    pub front: String,
    /// Its zone.
    pub zone: String,
    /// It is ready for clients and doesn't leave.
    pub ready: bool,
}

/// "Here I am; tell me what is new": held by the leader until there is news or `wait_ms` have passed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchCall {
    /// Who asks.
    #[serde(rename = "who")]
    pub caller: Caller,
    /// Name of the machine.
    pub name: String,
    /// Drawn at the start of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// A gateway's own line, in its first call to a leader and whenever it changed.
    #[serde(rename = "line", default, skip_serializing_if = "Option::is_none")]
    pub gateway: Option<GatewayInfo>,
    /// Term and number of what it has; 0, 0: nothing.
    pub term: u64,
    /// See `term`.
    pub seq: u64,
    /// Version of the configuration that it has.
    pub version: u64,
    /// How long the call may be held, ms; 0: answer at once.
    pub wait_ms: u64,
    /// A gateway that serves the directory, too: it is told the list of gateways.
    #[serde(rename = "directory", default, skip_serializing_if = "std::ops::Not::not")]
    pub serves_directory: bool,
    /// It takes [`ConfigChange`]s.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub accepts_config_changes: bool,
    /// It takes [`RosterChange`]s.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub accepts_roster_changes: bool,
    /// The table of servers that it has was told whole by the leader of `term`, and followed since.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_full_server_list: bool,
    /// A core member whose state came apart from the log's: it is to be told the leader's, whole.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub diverged: bool,
}

/// What changed in the list of gateways since an earlier answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterChange {
    /// Gateways that came or changed.
    #[serde(rename = "lines", default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<GatewayInfo>,
    /// Names of those that are gone.
    #[serde(rename = "gone", default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

/// State of a server's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// Takes requests.
    #[serde(rename = "s")]
    InService,
    /// Takes no more requests.
    #[serde(rename = "d")]
    Draining,
}

/// A server's life as gateways need it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Its instance id, new with each start.
    pub id: String,
    /// Its service.
    #[serde(rename = "b")]
    pub backend: String,
    /// Where it listens.
    #[serde(rename = "a")]
    pub address: String,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Requests that it works on at once.
    #[serde(rename = "n")]
    pub slots: u32,
    /// Its state.
    #[serde(rename = "s")]
    pub state: ServerState,
    /// It is cold: only the gateway of this name may send to it, at the configured rate. Empty: none may, for now.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<String>,
}

/// A configuration under way to a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedConfig {
    /// Its version.
    pub version: u64,
    /// The document, whole, as the operator sent it or as its changes made it.
    #[serde(rename = "doc")]
    pub document: serde_json::Value,
}

/// What makes the newest configuration of an older one: all versions between in one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The version that it changes.
    pub from: u64,
    /// The version that results.
    pub version: u64,
    /// What differs.
    pub difference: Difference,
    /// Digest of the document that results.
    pub digest: DocumentDigest,
}

/// A leader's state, for a core member that lost its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateTransfer {
    /// Index of the last entry of the log in it.
    #[serde(rename = "after")]
    pub last_index: u64,
    /// As in a snapshot of the log.
    pub state: String,
}

/// What is new.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Term and number up to which this goes.
    pub term: u64,
    /// See `term`.
    pub seq: u64,
    /// So long ago, ms, a majority of the core agreed that the sender leads: what it tells is no older than that.
    #[serde(rename = "age_ms")]
    pub quorum_age_ms: u64,
    /// `servers` is the whole list: lives that are not named are gone.
    #[serde(rename = "whole", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_full_list: bool,
    /// The newest configuration, where the caller hasn't it and `change` isn't given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config: Option<Rc<VersionedConfig>>,
    /// The same as a difference to the version that the caller has.
    #[serde(rename = "change", default, skip_serializing_if = "Option::is_none")]
    pub config_change: Option<Rc<ConfigChange>>,
    /// The leader's state, where the caller asked for it.
    #[serde(rename = "restated", default, skip_serializing_if = "Option::is_none")]
    pub state_transfer: Option<StateTransfer>,
    /// Zones that are evacuated: all of them, where they changed.
    #[serde(rename = "evacuated", default, skip_serializing_if = "Option::is_none")]
    pub evacuated_zones: Option<Vec<String>>,
    /// Lives that came or changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<ServerInfo>,
    /// Ids of lives that are gone.
    #[serde(rename = "gone", default, skip_serializing_if = "Vec::is_empty")]
    pub removed_servers: Vec<String>,
    /// How many gateways there are, where that changed.
    #[serde(rename = "gateways", default, skip_serializing_if = "Option::is_none")]
    pub gateway_count: Option<u32>,
    /// IP addresses of the core's machines, where they changed.
    #[serde(rename = "core", default, skip_serializing_if = "Option::is_none")]
    pub core_hosts: Option<Vec<String>>,
    /// All gateways, where they changed and `roster_change` isn't given; told to core members, and to gateways that serve
    /// the directory.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub roster: Option<Vec<GatewayInfo>>,
    /// The same as a difference to what was told up to the call's number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub roster_change: Option<RosterChange>,
    /// All trials that have ever changed, where one did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trials: Option<Vec<TrialInfo>>,
}

/// What a gateway tells of one tenant's units.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantUnits {
    /// Its loan: units held, and those spent whose window still runs. What is less than the counter lent has come back.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub loan: u64,
    /// Units asked for (the add's amount); 0: none.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub requested: u64,
    /// First fetch of this tenant: the counter divides the cap by its own count of gateways instead.
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_first_fetch: bool,
    /// Units that it would spend at once, beyond its pace; 0: none.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub boost: u64,
    /// Units a window that it may spend, where that is more than `loan`, in a call that tells all.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub pace: u64,
    /// Least pace that it had in the last window, in a call that tells all.
    #[serde(rename = "n", default, skip_serializing_if = "is_zero")]
    pub min_pace: u64,
    /// Most pace that it had in the last window, where that is more than both `loan` and `pace`, in a call that tells all.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub max_pace: u64,
    /// So many units of `loan` it may not spend again: they were spent before its limit was lowered, or its loan ran out.
    /// In a call that tells all.
    #[serde(rename = "o", default, skip_serializing_if = "is_zero")]
    pub unspendable: u64,
    /// Units that it was allowed beyond its pace in the last window, in a call that tells all.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub boosted: u64,
}

fn is_zero(units: &u64) -> bool {
    *units == 0
}

/// Counted adds of one gateway: its state of the named tenants, so that a lost answer harms nothing; a tenant that is not
/// named is as last told and answered. Of calls that cross each other the counter goes by the highest `seq`, and the
/// gateway only takes the answer to its newest.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UnitsCall {
    /// Drawn at the start of its process.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Rises with each call of this life.
    #[serde(rename = "q")]
    pub seq: u64,
    /// Tells all tenants with their memory: what a new counter asks for.
    #[serde(rename = "all", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_full_report: bool,
    /// Name of the gateway's machine; in a call that tells all.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub name: String,
    /// Term of the counter that it is meant for, in a call that tells all: any other has it told anew, for such a call
    /// may be old, and more have been lent since.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub counter_term: u64,
    /// So long ago, ms, this life began; in a call that tells all.
    #[serde(rename = "born_ms", default, skip_serializing_if = "is_zero")]
    pub uptime_ms: u64,
    /// It tells `boosted` where that isn't 0; programs before 0.3.0 don't. In a call that tells all.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub reports_boosted: bool,
    /// The last call of this life: it spends nothing after it.
    #[serde(rename = "end", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_final: bool,
    /// By tenant.
    #[serde(rename = "u", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tenants: BTreeMap<String, TenantUnits>,
}

/// What the counter says of one tenant.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantGrant {
    /// Units lent with this answer.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub granted: u64,
    /// Units that remain unlent after it.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub remaining: u64,
    /// Units of these that the paces of all gateways leave for this one; none: all.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub pace_headroom: Option<u64>,
    /// Units of its loan that may be spent at once, beyond the pace.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub boost: u64,
    /// A pace, units a window, that holds for a while whatever the loan is; with a first fetch.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub initial_pace: u64,
}

/// The counter's answer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UnitsAnswer {
    /// The call's own number.
    #[serde(rename = "q")]
    pub seq: u64,
    /// Term of the counter: another one than before means a new counter.
    #[serde(rename = "e")]
    pub term: u64,
    /// The counter doesn't know this life: call again and tell all; nothing was lent.
    #[serde(rename = "tell", default, skip_serializing_if = "std::ops::Not::not")]
    pub full_report_needed: bool,
    /// So long ago, ms, a majority of the core agreed that the sender leads.
    #[serde(rename = "a", default)]
    pub quorum_age_ms: u64,
    /// Version of the newest configuration at that time: to a gateway that has it, the answer confirms its knowledge.
    #[serde(rename = "v", default)]
    pub version: u64,
    /// By tenant: those of the call, and those of which about another part remains than was told before.
    #[serde(rename = "u", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tenants: BTreeMap<String, TenantGrant>,
}

/// A tenant's trial as gateways need it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialInfo {
    /// Whose.
    #[serde(rename = "t")]
    pub tenant: String,
    /// Rises with each change of this tenant's trial on the agreed log.
    #[serde(rename = "n")]
    pub step: u64,
    /// How far it has lapsed; 0: not at all.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero_stage")]
    pub stage: u32,
    /// From when it holds, ms after this was told; 0: now.
    #[serde(rename = "i", default, skip_serializing_if = "is_zero")]
    pub in_ms: u64,
}

fn is_zero_stage(stage: &u32) -> bool {
    *stage == 0
}

/// A gateway asks for its shares of the paces of tenants whose trial lapses. Only while there are some.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceSharesCall {
    /// Name of the gateway's machine.
    pub name: String,
    /// Drawn at the start of its process.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Rises with each call of this life.
    #[serde(rename = "q")]
    pub seq: u64,
    /// Requests a second that each tenant sent here lately.
    #[serde(rename = "d", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub demand: BTreeMap<String, f64>,
    /// Shares that it goes by now.
    #[serde(rename = "h", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub held: BTreeMap<String, f64>,
}

/// Shares of paces, good for a while.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceSharesAnswer {
    /// The call's own number.
    #[serde(rename = "q")]
    pub seq: u64,
    /// Term of the leader.
    #[serde(rename = "e")]
    pub term: u64,
    /// Requests a second that may pass here, by tenant.
    #[serde(rename = "s", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub shares: BTreeMap<String, f64>,
}
