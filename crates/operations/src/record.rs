//! Claims as fixed numbers of bytes, many of them in one text.

use crate::entry::{Claim, Takeover};
use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use nickeljunction_messages::{Claimant, OperationId};
use quick_error::quick_error;

const OPERATION_BYTES: usize = 16;
const CLAIMANT_BYTES: usize = 20;
const CLAIM_BYTES: usize = OPERATION_BYTES + CLAIMANT_BYTES;
const TAKEOVER_BYTES: usize = CLAIM_BYTES + CLAIMANT_BYTES;
/// Characters of one claim: its bytes are a multiple of three, so that texts can be joined.
pub(crate) const CLAIM_CHARACTERS: usize = CLAIM_BYTES / 3 * 4;

quick_error! {
    /// A text that holds no records.
    #[derive(Debug, PartialEq, Eq)]
    pub enum RecordError {
        /// It isn't base64.
        Encoding(cause: base64::DecodeError) {
            from()
            display("records: {}", cause)
        }
        /// The last record is cut off.
        Length(bytes: usize) {
            display("records: {} bytes are no whole number of them", bytes)
        }
    }
}

fn put_claimant(to: &mut Vec<u8>, claimant: &Claimant) {
    to.extend(claimant.host.octets());
    to.extend(claimant.incarnation.to_be_bytes());
    to.extend(claimant.number.to_be_bytes());
}

fn put_claim(to: &mut Vec<u8>, claim: &Claim) {
    to.extend(claim.operation.0.to_be_bytes());
    put_claimant(to, &claim.claimant);
}

/// The bytes of one record, read from the front.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> [u8; N] {
        let (taken, rest) = self.0.split_at(N);
        self.0 = rest;
        std::array::from_fn(|at| taken[at])
    }

    fn claimant(&mut self) -> Claimant {
        Claimant {
            host: self.take::<4>().into(),
            incarnation: u64::from_be_bytes(self.take()),
            number: u64::from_be_bytes(self.take()),
        }
    }

    fn claim(&mut self) -> Claim {
        let operation = OperationId(u128::from_be_bytes(self.take()));
        Claim { operation, claimant: self.claimant() }
    }
}

fn read<T>(text: &str, bytes_each: usize, one: impl Fn(Reader<'_>) -> T) -> Result<Vec<T>, RecordError> {
    let bytes = STANDARD_NO_PAD.decode(text)?;
    if bytes.len() % bytes_each != 0 {
        return Err(RecordError::Length(bytes.len()));
    }
    Ok(bytes.chunks_exact(bytes_each).map(|record| one(Reader(record))).collect())
}

/// Adds claims to a text.
pub(crate) fn append_claims<'a>(text: &mut String, claims: impl IntoIterator<Item = &'a Claim>) {
    let mut bytes = Vec::new();
    claims.into_iter().for_each(|claim| put_claim(&mut bytes, claim));
    STANDARD_NO_PAD.encode_string(bytes, text);
}

/// The claims of a text.
pub(crate) fn read_claims(text: &str) -> Result<Vec<Claim>, RecordError> {
    read(text, CLAIM_BYTES, |mut reader| reader.claim())
}

/// Takeovers as a text.
pub(crate) fn write_takeovers(takeovers: &[Takeover]) -> String {
    let mut bytes = Vec::new();
    for takeover in takeovers {
        put_claim(&mut bytes, &takeover.claim);
        put_claimant(&mut bytes, &takeover.released);
    }
    STANDARD_NO_PAD.encode(bytes)
}

/// The takeovers of a text.
pub(crate) fn read_takeovers(text: &str) -> Result<Vec<Takeover>, RecordError> {
    read(text, TAKEOVER_BYTES, |mut reader| Takeover { claim: reader.claim(), released: reader.claimant() })
}
