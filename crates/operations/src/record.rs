//! Encoding of claims: fixed-size binary records, concatenated and written as one base64 text.

use crate::entry::{Claim, Takeover};
use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use nickeljunction_messages::{Claimant, OperationId};
use quick_error::quick_error;

const OPERATION_BYTES: usize = 16;
const CLAIMANT_BYTES: usize = 20;
const CLAIM_BYTES: usize = OPERATION_BYTES + CLAIMANT_BYTES;
const TAKEOVER_BYTES: usize = CLAIM_BYTES + CLAIMANT_BYTES;
/// Base64 characters of one claim. Its size in bytes is a multiple of three, so that texts can be concatenated.
pub(crate) const CLAIM_CHARACTERS: usize = CLAIM_BYTES / 3 * 4;

quick_error! {
    /// Why a text can't be decoded into records.
    #[derive(Debug, PartialEq, Eq)]
    pub enum RecordError {
        /// The text isn't valid base64.
        Encoding(cause: base64::DecodeError) {
            from()
            display("records: {}", cause)
        }
        /// The last record is cut off.
        Length(bytes: usize) {
            display("records: {} bytes are not a multiple of the record size", bytes)
        }
    }
}

fn encode_claimant(bytes: &mut Vec<u8>, claimant: &Claimant) {
    bytes.extend(claimant.host.octets());
    bytes.extend(claimant.incarnation.to_be_bytes());
    bytes.extend(claimant.number.to_be_bytes());
}

fn encode_claim(bytes: &mut Vec<u8>, claim: &Claim) {
    bytes.extend(claim.operation.0.to_be_bytes());
    encode_claimant(bytes, &claim.claimant);
}

/// The remaining bytes of one record.
struct RecordReader<'a>(&'a [u8]);

impl RecordReader<'_> {
    fn read_bytes<const N: usize>(&mut self) -> [u8; N] {
        let (head, rest) = self.0.split_at(N);
        self.0 = rest;
        std::array::from_fn(|index| head[index])
    }

    fn read_claimant(&mut self) -> Claimant {
        Claimant {
            host: self.read_bytes::<4>().into(),
            incarnation: u64::from_be_bytes(self.read_bytes()),
            number: u64::from_be_bytes(self.read_bytes()),
        }
    }

    fn read_claim(&mut self) -> Claim {
        let operation = OperationId(u128::from_be_bytes(self.read_bytes()));
        Claim { operation, claimant: self.read_claimant() }
    }
}

fn decode_records<T>(
    text: &str,
    record_bytes: usize,
    decode_record: impl Fn(RecordReader<'_>) -> T,
) -> Result<Vec<T>, RecordError> {
    let bytes = STANDARD_NO_PAD.decode(text)?;
    if bytes.len() % record_bytes != 0 {
        return Err(RecordError::Length(bytes.len()));
    }
    Ok(bytes.chunks_exact(record_bytes).map(|record| decode_record(RecordReader(record))).collect())
}

/// Appends encoded claims to a text.
pub(crate) fn append_claims<'a>(text: &mut String, claims: impl IntoIterator<Item = &'a Claim>) {
    let mut bytes = Vec::new();
    claims.into_iter().for_each(|claim| encode_claim(&mut bytes, claim));
    STANDARD_NO_PAD.encode_string(bytes, text);
}

/// Decodes a text of claims.
pub(crate) fn decode_claims(text: &str) -> Result<Vec<Claim>, RecordError> {
    decode_records(text, CLAIM_BYTES, |mut reader| reader.read_claim())
}

/// Encodes takeovers as a text.
pub(crate) fn encode_takeovers(takeovers: &[Takeover]) -> String {
    let mut bytes = Vec::new();
    for takeover in takeovers {
        encode_claim(&mut bytes, &takeover.claim);
        encode_claimant(&mut bytes, &takeover.released);
    }
    STANDARD_NO_PAD.encode(bytes)
}

/// Decodes a text of takeovers.
pub(crate) fn decode_takeovers(text: &str) -> Result<Vec<Takeover>, RecordError> {
    decode_records(text, TAKEOVER_BYTES, |mut reader| Takeover {
        claim: reader.read_claim(),
        released: reader.read_claimant(),
    })
}
