//! What is played: sizes and the configuration.

use serde_json::{json, Value};

/// Host name of the route.
pub const HOST: &str = "donors.example";
/// The service.
pub const SERVICE: &str = "bookdesk";
/// The API key of all clients.
pub const KEY: &str = "key-of-all";
/// `key_window_s`, where the settings name none, ms.
pub const WINDOW_MS: f64 = 60_000.0;
/// Seconds of faults where none are given, and bounds of them.
pub const USUAL_S: f64 = 60.0;
/// At least one fault, at most some minutes.
pub const LENGTH_S: (f64, f64) = (10.0, 600.0);

/// One keyed route.
pub fn config() -> Value {
    json!({"config_version": 1,
        "routes": {"book": {"hostname": HOST, "path_prefix": "/book/", "route_type": "keyed", "backend": SERVICE,
            "timeout_s": 1.5, "target_latency_s": 0.6, "priority": 1, "max_attempts": 2}},
        "backends": {SERVICE: {"health_check": "/health", "max_connections": 400, "protocol": "h1", "tls": false, "warmup_s": 0}},
        "tenants": {"donors": {"api_keys": [KEY], "priority": 1}},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_048_576, "header_timeout_s": 3, "idle_timeout_s": 15}})
}
