//! What a process and the system are told: the settings file of a process ([`Settings`], TOML), the operators'
//! configuration ([`Document`] whole as sent, [`Config`] typed) and its changes ([`Patch`], [`delta`]).
//!
//! Unknown fields are ignored in the typed views and kept in documents. Whatever is refused names its place
//! (`routes.r-6sz.timeout_s`) and what is wanted there. Times are seconds, as the operators write them; accessors
//! that end in `_ms` give milliseconds.

mod config;
mod difference;
mod digest;
mod document;
mod lenient;
mod patch;
mod settings;
mod table;

pub use config::{Backend, Config, Limits, Route, RouteType, Share, Stage, Tenant, Trial, TrialState};
pub use difference::{places_in, Difference, Place};
pub use digest::{call_digest, if_match, value_digest, DocumentDigest};
pub use document::{body_version, read_body, Document, Problem};
pub use patch::{apply_delta, delta, Patch, Patched};
pub use settings::{
    Bounds, CoreAddresses, EdgeAddresses, FaultTolerance, Listen, MachineLimits, Settings, SettingsError,
    SETTINGS_VAR,
};
pub use table::Table;
