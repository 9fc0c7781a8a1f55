//! The operators' document and how it changes, without I/O.
//!
//! - [`document`]: the sections and their figures; the JSON Schema is made from these types.
//! - [`check`]: reads the text and tells every problem with file, line, column and key path.
//! - [`bundle`]: a document with the files that it names, its digest and its signature.
//! - [`diff`]: what two documents differ in.
//! - [`ballot`]: a vote among gateways that share nothing but a counter.
//! - [`transaction`]: staged, applied on trial, confirmed or rolled back; with recovery from its own records.
//! - [`guard`]: whether answers got worse after a change, by a sequential test with a stated false-alarm rate.
//!
//! Time comes in as milliseconds since 1970, counter calls and swaps go out as effects.

pub mod ballot;
pub mod bundle;
pub mod check;
pub mod diff;
pub mod document;
pub mod guard;
pub mod problem;
pub mod transaction;
mod tree;
