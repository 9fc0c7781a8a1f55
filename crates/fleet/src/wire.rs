//! Encoding of datagrams: a version byte, the packet as postcard, and a CRC-32C of both; 256 bytes at most.

use crate::share::{Ballot, Grant};
use serde::{Deserialize, Serialize};

/// Largest datagram, as the protocol page states: a longer one is neither encoded nor decoded.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Version of the encoding. A datagram of another version is dropped, since its meaning is unknown.
pub const PROTOCOL_VERSION: u8 = 1;
/// Bytes of the version and the checksum together.
const FRAMING_BYTES: usize = 5;

/// A claim about a member's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Claim {
    /// It runs.
    Alive,
    /// It did not answer the gateway with this number, nor that gateway's helpers.
    Suspect(u16),
    /// It announced that it leaves.
    Leaving,
    /// Its suspicion timed out.
    Gone,
}

impl Claim {
    /// Of two claims with one incarnation the higher rank supersedes. Only the member itself can refute a claim, with a
    /// new incarnation.
    pub(crate) fn rank(self) -> u8 {
        match self {
            Claim::Alive => 0,
            Claim::Suspect(_) => 1,
            Claim::Leaving => 2,
            Claim::Gone => 3,
        }
    }
}

/// What a gateway reports about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) number: u16,
    pub(crate) claim: Claim,
    /// Incarnation relative to the sender's: for gateways that started together this takes fewer bytes.
    incarnation_offset: i64,
    /// Epoch of the member's configuration.
    pub(crate) epoch: u32,
}

impl Entry {
    /// An entry in a datagram whose sender has the incarnation `base`.
    pub(crate) fn new(number: u16, claim: Claim, incarnation: u64, epoch: u32, base: u64) -> Entry {
        Entry { number, claim, incarnation_offset: incarnation.wrapping_sub(base) as i64, epoch }
    }

    pub(crate) fn incarnation(&self, base: u64) -> u64 {
        base.wrapping_add(self.incarnation_offset as u64)
    }

    pub(crate) fn byte_len(&self) -> usize {
        postcard::to_allocvec(self).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
    }
}

/// The kind of a packet with its parameters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Requests an [`Body::Ack`] with this sequence number.
    Ping(u16),
    /// Answers a ping.
    Ack(u16),
    /// Requests an indirect ping of the member `number`, and an answer with the sequence number `seq`.
    PingRequest { number: u16, seq: u16 },
    /// A helper got no answer to the indirect ping. It shows that the path between it and the requester works.
    Nack(u16),
    /// Only entries and votes.
    Gossip,
    /// The digests of equal parts of a range of numbers; the receiver replies about the parts that differ.
    CompareDigests { first: u16, span: u16, digests: Vec<u32> },
    /// The packet's entries are from a range of numbers; if `reply_wanted` they are all that the sender knows of it, and
    /// the receiver replies with newer ones.
    Entries { first: u16, span: u16, reply_wanted: bool },
}

/// The content of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub(crate) from: u16,
    /// Hash of the sender's roster: votes and shares are valid only among gateways with the same roster.
    pub(crate) roster_hash: u16,
    pub(crate) incarnation: u64,
    /// Epoch of the sender's configuration.
    pub(crate) epoch: u32,
    pub(crate) leaving: bool,
    /// The lower half of the digest of the sender's view.
    pub(crate) digest: u32,
    pub(crate) body: Body,
    pub(crate) ballot: Option<Ballot>,
    pub(crate) grant: Option<Grant>,
    pub(crate) entries: Vec<Entry>,
}

/// Why a datagram cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DecodeError {
    Damaged,
    UnknownVersion,
}

impl Packet {
    /// Bytes left for entries.
    pub(crate) fn free_bytes(&self) -> usize {
        let head = postcard::to_allocvec(self).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
        // The length of the entry list may take one byte more than that of an empty list.
        (MAX_DATAGRAM_BYTES - FRAMING_BYTES).saturating_sub(head + 1)
    }

    /// Encodes the datagram; `None` if it would be too long, which the limits of the callers rule out.
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = vec![PROTOCOL_VERSION];
        bytes.extend(postcard::to_allocvec(self).ok()?);
        bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Packet, DecodeError> {
        if bytes.len() <= FRAMING_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::Damaged);
        }
        let (head, sum) = bytes.split_at(bytes.len() - 4);
        if crc32c::crc32c(head).to_le_bytes() != sum {
            return Err(DecodeError::Damaged);
        }
        if head[0] != PROTOCOL_VERSION {
            return Err(DecodeError::UnknownVersion);
        }
        match postcard::take_from_bytes::<Packet>(&head[1..]) {
            Ok((packet, [])) => Ok(packet),
            _ => Err(DecodeError::Damaged),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn packet(entry_count: usize) -> Packet {
        let entry =
            |number| Entry::new(number, Claim::Suspect(7), 5_000_000 + u64::from(number), 3, 5_000_000);
        let entries = (0..entry_count as u16).map(entry).collect();
        let (ballot, grant) = (None, None);
        Packet {
            from: 3,
            roster_hash: 77,
            incarnation: 5_000_000,
            epoch: 1,
            leaving: false,
            digest: 9,
            body: Body::Ping(4),
            ballot,
            grant,
            entries,
        }
    }

    #[test]
    fn packet_round_trips_and_flipped_bits_and_other_versions_are_rejected() {
        let bytes = packet(5).encode().expect("short");
        assert_eq!(Packet::decode(&bytes), Ok(packet(5)));
        for bit in 0..bytes.len() * 8 {
            let mut damaged = bytes.clone();
            damaged[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(Packet::decode(&damaged), Err(DecodeError::Damaged), "bit {bit}");
        }
        let mut newer = bytes[..bytes.len() - 4].to_vec();
        newer[0] = PROTOCOL_VERSION + 1;
        newer.extend(crc32c::crc32c(&newer).to_le_bytes());
        assert_eq!(Packet::decode(&newer), Err(DecodeError::UnknownVersion));
        assert_eq!(packet(200).encode(), None, "a packet that is too long is not encoded");
    }

    proptest! {
        #[test]
        fn garbage_is_rejected_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let mut with_checksum = bytes.clone();
            with_checksum.insert(0, PROTOCOL_VERSION);
            let sum = crc32c::crc32c(&with_checksum);
            with_checksum.extend(sum.to_le_bytes());
            let _ = Packet::decode(&with_checksum);
            prop_assert!(Packet::decode(&bytes).is_err());
        }
    }
}
