//! Keyed operations: a gateway claims an operation at the leader before it sends the request to a server, and other
//! gateways ask the one that holds the claim what became of it.
//!
//! ```text
//! gateway ── ClaimCall ──> leader        Granted: run it.  Held: another process claimed it.
//! gateway ── RecallCall ──> holder       what became of it, with the first run's answer
//! ```
//!
//! An operation is named by a digest of its tenant and its key, so that neither leaves the client's region.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

/// Digest of a tenant and a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u128);

impl fmt::Display for OperationId {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{:032x}", self.0)
    }
}

impl Serialize for OperationId {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for OperationId {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<OperationId, D::Error> {
        String::deserialize(from)?.parse().map_err(serde::de::Error::custom)
    }
}

impl FromStr for OperationId {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<OperationId, &'static str> {
        let is_digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = is_digits.then(|| u128::from_str_radix(text, 16).ok()).flatten();
        number.map(OperationId).ok_or("wants 32 hexadecimal digits")
    }
}

impl OperationId {
    /// Of a key of a tenant; `None` is the tenant of routes that need no key.
    pub fn of(tenant: Option<&str>, key: &str) -> OperationId {
        let mut hasher = SipHasher13::new();
        hasher.write(&[u8::from(tenant.is_some())]);
        // With their lengths in front, so that no two rows of texts look alike.
        for text in [tenant.unwrap_or_default(), key] {
            hasher.write(&(text.len() as u64).to_le_bytes());
            hasher.write(text.as_bytes());
        }
        OperationId(hasher.finish128().as_u128())
    }
}

/// Who claimed an operation: a process of a gateway, and the number of the claim in that process's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// IP address of its machine; it answers [`RecallCall`]s on the first inner port.
    #[serde(rename = "h")]
    pub host: std::net::Ipv4Addr,
    /// Drawn at the start of its process.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Rises with each claim of this life.
    #[serde(rename = "n")]
    pub number: u64,
}

/// A gateway would run an operation. Sent again unchanged it has the same outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCall {
    /// Which.
    #[serde(rename = "o")]
    pub operation: OperationId,
    /// Who asks.
    #[serde(rename = "c")]
    pub claimant: Claimant,
    /// The claim that it takes over: its holder said that it was released, having run nowhere.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub released: Option<Claimant>,
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// It is on a majority's disks: the caller, and nobody else, may run the operation.
    Granted,
    /// Another claim came first.
    Held(Claimant),
    /// As many operations are remembered as fit: nothing was claimed.
    Full,
}

/// What became of the operation that this claim is for?
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallCall {
    /// Which.
    #[serde(rename = "o")]
    pub operation: OperationId,
    /// The claim, as the leader named it.
    #[serde(rename = "c")]
    pub claimant: Claimant,
    /// Digest of the request that asks: another request under the same key gets no answer of the first one.
    #[serde(rename = "f")]
    pub request_digest: u64,
}

/// What a holder says of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecallAnswer {
    /// A server may be at work on it.
    #[serde(rename = "at_work")]
    InProgress,
    /// It ran nowhere and this claim will never be used: it may be taken over.
    Released,
    /// It ran, and this is the answer that its client got.
    Answered(KeptAnswer),
    /// It may have run; there is no answer, or none any more. It must not be run again.
    InDoubt,
    /// The key was used for another request.
    OtherRequest,
}

/// A server's answer that is kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// Status.
    #[serde(rename = "s")]
    pub status: u16,
    /// Header lines that go to the client, but for `X-Attempt-Id`.
    #[serde(rename = "h")]
    pub headers: Vec<(String, String)>,
    /// The body, base64.
    #[serde(rename = "b")]
    pub body: String,
}
