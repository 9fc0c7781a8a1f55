//! The operators' configuration as types, read from the document that they sent.

use crate::lenient;
use serde::de::{Deserialize, Deserializer, Error};
use std::collections::BTreeMap;

/// A whole configuration. Built by [`crate::Document`], which checks it.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
pub struct Config {
    /// Its version, above 0; versions climb by uneven steps.
    #[prost(uint64, tag = "1")]
    #[serde(deserialize_with = "lenient::whole")]
    pub config_version: u64,
    /// Routes by name.
    #[prost(btree_map = "string, message", tag = "2")]
    pub routes: BTreeMap<String, Route>,
    /// Services by name.
    #[prost(btree_map = "string, message", tag = "3")]
    pub backends: BTreeMap<String, Backend>,
    /// What a client may send, and how long it may take.
    #[prost(message, required, tag = "4")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub limits: Limits,
    /// Tenants by name. None: no request needs a key.
    #[prost(btree_map = "string, message", tag = "5")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub tenants: BTreeMap<String, Tenant>,
    /// Trials by the name of their tenant. A tenant without one has the usual curve.
    #[prost(btree_map = "string, message", tag = "6")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub trials: BTreeMap<String, Trial>,
}

impl Config {
    /// Requests need a key, except on routes that are `no_auth`.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Every key with the name of its tenant and the tenant. No key belongs to two tenants.
    pub fn keys(&self) -> impl Iterator<Item = (&str, &str, &Tenant)> + '_ {
        self.tenants.iter().flat_map(|(name, tenant)| {
            tenant.api_keys.iter().map(move |key| (key.as_str(), name.as_str(), tenant))
        })
    }
}

/// What may be repeated, and how large answers are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum RouteType {
    /// At most once per try. Also where nothing is said: the one that does no harm.
    NonIdempotent = 0,
    /// May run more than once.
    Idempotent = 1,
    /// Large answers; may run more than once.
    Download = 2,
    /// All tries that carry one `X-Operation-Key` form one operation, which runs at most once.
    Keyed = 3,
}

impl RouteType {
    /// A try may run more than once.
    pub fn repeatable(self) -> bool {
        matches!(self, RouteType::Idempotent | RouteType::Download)
    }

    fn read<'de, D: Deserializer<'de>>(from: D) -> Result<i32, D::Error> {
        let name = Option::<String>::deserialize(from)?;
        let kind = match name.as_deref() {
            None | Some("non_idempotent") => RouteType::NonIdempotent,
            Some("idempotent") => RouteType::Idempotent,
            Some("download") => RouteType::Download,
            Some("keyed") => RouteType::Keyed,
            Some(other) => {
                let known = &["idempotent", "non_idempotent", "download", "keyed"];
                return Err(D::Error::unknown_variant(other, known));
            }
        };
        Ok(kind.into())
    }
}

/// Which requests go to which service, and how.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
pub struct Route {
    /// Host name; letters' case doesn't count.
    #[prost(string, tag = "1")]
    pub hostname: String,
    /// Beginning of the path, with a slash in front.
    #[prost(string, tag = "2")]
    pub path_prefix: String,
    /// What may be repeated; read it with `route_type()`.
    #[prost(enumeration = "RouteType", tag = "3")]
    #[serde(default, deserialize_with = "RouteType::read")]
    pub route_type: i32,
    /// Longest time that a request is held, s, above 0. `timeout_s()`: 30 where nothing is said.
    #[prost(double, optional, tag = "4", default = "30.0")]
    #[serde(default)]
    pub timeout_s: Option<f64>,
    /// Time within which an answer earns its full worth, s. `aim_ms()` gives it in any case.
    #[prost(double, optional, tag = "5")]
    #[serde(default)]
    pub target_latency_s: Option<f64>,
    /// Rank; 0 is highest, and is taken where nothing is said.
    #[prost(uint32, optional, tag = "6")]
    #[serde(default, deserialize_with = "lenient::small_or_none")]
    pub priority: Option<u32>,
    /// Its service, unless it is split. See [`Route::shares`].
    #[prost(string, tag = "7")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub backend: String,
    /// Its services by weight, instead of `backend`. See [`Route::shares`].
    #[prost(message, repeated, tag = "8")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub traffic_split: Vec<Share>,
    /// Most servers that one try is sent to, above 0. `max_attempts()`: 1 where nothing is said.
    #[prost(uint32, optional, tag = "9", default = "1")]
    #[serde(default, deserialize_with = "lenient::small_or_none")]
    pub max_attempts: Option<u32>,
    /// Requests need no key.
    #[prost(bool, tag = "10")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub no_auth: bool,
    /// Regions to which serving and storing are bound; empty: any.
    #[prost(string, repeated, tag = "11")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub home_regions: Vec<String>,
    /// In which order its requests give way when their tenant's trial lapses, 1 to 3. See [`Route::gives_way`].
    #[prost(uint32, optional, tag = "12")]
    #[serde(default, deserialize_with = "lenient::small_or_none")]
    pub gives_way: Option<u32>,
}

impl Route {
    /// In which order its requests give way when their tenant's trial lapses: 1 first and most, 2 later and less, 3 never wait.
    /// Where nothing is said: downloads 1, other repeatable ones 2, the rest 3.
    pub fn rank(&self) -> u32 {
        self.gives_way.unwrap_or(match self.route_type() {
            RouteType::Download => 1,
            RouteType::Idempotent => 2,
            RouteType::NonIdempotent | RouteType::Keyed => 3,
        })
    }

    /// Its services with their weights (0 or more, not all 0): the split, or the one service with weight 1.
    pub fn shares(&self) -> impl Iterator<Item = (&str, f64)> + '_ {
        let single = self.traffic_split.is_empty().then_some((self.backend.as_str(), 1.0));
        single
            .into_iter()
            .chain(self.traffic_split.iter().map(|share| (share.backend.as_str(), share.weight)))
    }

    /// Longest time that a request is held, ms.
    pub fn timeout_ms(&self) -> f64 {
        self.timeout_s() * 1_000.0
    }

    /// Time within which an answer earns its full worth, ms. Where nothing is said, the time-out, and a second at most:
    /// gateways take their first guess of a service's latency from it, and one of half a minute would have them refuse
    /// every client that can't wait so long.
    pub fn aim_ms(&self) -> f64 {
        self.target_latency_s.map_or(self.timeout_ms().min(1_000.0), |aim| aim * 1_000.0)
    }
}

/// One service's part of a route.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
pub struct Share {
    /// The service.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Its weight among the others, 0 or more.
    #[prost(double, tag = "2")]
    pub weight: f64,
}

/// A service.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
pub struct Backend {
    /// Path that a server answers for its health; empty: none is known.
    #[prost(string, tag = "1")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub health_check: String,
    /// Connections that a server takes from all callers together; `None`: not stated.
    #[prost(uint32, optional, tag = "2")]
    #[serde(default, deserialize_with = "lenient::small_or_none")]
    pub max_connections: Option<u32>,
    /// Protocol of its servers: `h1`.
    #[prost(string, tag = "3")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub protocol: String,
    /// Its servers want TLS.
    #[prost(bool, tag = "4")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub tls: bool,
    /// A server stays cold so long after its start, s; 0: never.
    #[prost(double, tag = "5")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub warmup_s: f64,
    /// Requests a second that a cold server bears; `None`: not stated, no bound.
    #[prost(double, optional, tag = "6")]
    #[serde(default)]
    pub warmup_per_s: Option<f64>,
    /// Its servers keep a record of operation keys of their own.
    #[prost(bool, tag = "7")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub dedup_capable: bool,
}

/// What a client may send, and how long it may take or stay idle. A figure that is absent or 0 is the usual one.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
pub struct Limits {
    /// Longest head, bytes. See [`Limits::header_bytes`].
    #[prost(uint64, optional, tag = "1")]
    #[serde(default, deserialize_with = "lenient::whole_or_none")]
    pub max_header_bytes: Option<u64>,
    /// Longest body, bytes. See [`Limits::body_bytes`].
    #[prost(uint64, optional, tag = "2")]
    #[serde(default, deserialize_with = "lenient::whole_or_none")]
    pub max_body_bytes: Option<u64>,
    /// Longest time for a head, s. See [`Limits::header_ms`].
    #[prost(double, optional, tag = "3")]
    #[serde(default)]
    pub header_timeout_s: Option<f64>,
    /// Longest time without a request, s. See [`Limits::idle_ms`].
    #[prost(double, optional, tag = "4")]
    #[serde(default)]
    pub idle_timeout_s: Option<f64>,
}

impl Limits {
    /// Longest head, bytes; usually 16 KiB.
    pub fn header_bytes(&self) -> u64 {
        self.max_header_bytes.filter(|bytes| *bytes > 0).unwrap_or(16_384)
    }

    /// Longest body, bytes; usually 64 MiB.
    pub fn body_bytes(&self) -> u64 {
        self.max_body_bytes.filter(|bytes| *bytes > 0).unwrap_or(67_108_864)
    }

    /// Longest time for a head, ms; usually 3 s.
    pub fn header_ms(&self) -> f64 {
        self.header_timeout_s.filter(|time| *time > 0.0).unwrap_or(3.0) * 1_000.0
    }

    /// Longest time without a request, ms; usually 15 s.
    pub fn idle_ms(&self) -> f64 {
        self.idle_timeout_s.filter(|time| *time > 0.0).unwrap_or(15.0) * 1_000.0
    }
}

/// Who may send requests, with its quota.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
pub struct Tenant {
    /// Its keys; no key belongs to two tenants.
    #[prost(string, repeated, tag = "1")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub api_keys: Vec<String>,
    /// Rank in place of the route's; `None`: the route's holds.
    #[prost(uint32, optional, tag = "2")]
    #[serde(default, deserialize_with = "lenient::small_or_none")]
    pub priority: Option<u32>,
    /// Requests a second, across all gateways; 0: no limit.
    #[prost(double, tag = "3")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub rate_per_s: f64,
    /// Requests above the rate at once; 0 without a rate.
    #[prost(double, tag = "4")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub burst_size: f64,
    /// Regions to which serving and storing are bound; empty: any. A route's own homes bind besides.
    #[prost(string, repeated, tag = "5")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub home_regions: Vec<String>,
}

impl Tenant {
    /// Rate a second and burst; `None`: no limit.
    pub fn quota(&self) -> Option<(f64, f64)> {
        (self.rate_per_s > 0.0).then_some((self.rate_per_s, self.burst_size))
    }
}

/// What operators want of a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum TrialState {
    /// Nothing is said.
    Unsaid = 0,
    /// At full pace.
    Running = 1,
    /// It lapses, stage by stage.
    Lapsed = 2,
    /// It goes back to full pace, stage by stage.
    Restored = 3,
}

impl TrialState {
    fn read<'de, D: Deserializer<'de>>(from: D) -> Result<i32, D::Error> {
        let name = Option::<String>::deserialize(from)?;
        let state = match name.as_deref() {
            None => TrialState::Unsaid,
            Some("running") => TrialState::Running,
            Some("lapsed") => TrialState::Lapsed,
            Some("restored") => TrialState::Restored,
            Some(other) => return Err(D::Error::unknown_variant(other, &["running", "lapsed", "restored"])),
        };
        Ok(state.into())
    }
}

/// How a tenant is slowed when its trial lapses.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
pub struct Trial {
    /// An order where it differs from the configuration before; read it with `state()`.
    #[prost(enumeration = "TrialState", tag = "1")]
    #[serde(default, deserialize_with = "TrialState::read")]
    pub state: i32,
    /// Stages, the mildest first; none: the usual ones. The last one holds until the trial is restored.
    #[prost(message, repeated, tag = "2")]
    #[serde(default, deserialize_with = "lenient::or_default")]
    pub stages: Vec<Stage>,
    /// Requests a second that the tenant's pace never falls below, over all gateways; 1 where nothing is said.
    #[prost(double, optional, tag = "3", default = "1.0")]
    #[serde(default)]
    pub floor_per_s: Option<f64>,
}

/// A stage of a trial that lapses.
#[derive(Clone, PartialEq, prost::Message, serde::Deserialize)]
pub struct Stage {
    /// It lasts so long before the next one, s, above 0.
    #[prost(double, tag = "1")]
    pub for_s: f64,
    /// Added wait of requests that give way first, s.
    #[prost(double, tag = "2")]
    pub wait_s: f64,
    /// Added wait of interactive reads, s; `wait_s` at most. A quarter of it where nothing is said.
    #[prost(double, optional, tag = "3")]
    #[serde(default)]
    pub read_wait_s: Option<f64>,
    /// Part of the tenant's `rate_per_s` that it is paced to, above 0, 1 at most; 1 where nothing is said.
    #[prost(double, optional, tag = "4", default = "1.0")]
    #[serde(default)]
    pub pace: Option<f64>,
}

impl Stage {
    /// Added wait of interactive reads, s.
    pub fn reads_s(&self) -> f64 {
        self.read_wait_s.unwrap_or(self.wait_s / 4.0)
    }
}
