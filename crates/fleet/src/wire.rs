//! What a datagram says, as bytes: a version, the packet in postcard's form, and a CRC-32C of both. 256 bytes at most.

use crate::share::{Ballot, Grant};
use serde::{Deserialize, Serialize};

/// Most bytes of a datagram, by the protocol page: a longer one is never made and never read.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Version of the datagrams: another one is dropped whole, for what it would mean is not known.
pub const PROTOCOL_VERSION: u8 = 1;
/// Bytes of the version and the checksum.
const FRAME: usize = 5;

/// What is claimed of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Claim {
    /// It lives.
    Alive,
    /// It did not answer the gateway of this number, nor its helpers.
    Suspect(u16),
    /// It leaves by its own word.
    Leaving,
    /// Nobody heard it for as long as a suspicion lasts.
    Gone,
}

impl Claim {
    /// Of two claims of one incarnation the higher holds: only the member itself takes a claim back, with a new one.
    pub(crate) fn rank(self) -> u8 {
        match self {
            Claim::Alive => 0,
            Claim::Suspect(_) => 1,
            Claim::Leaving => 2,
            Claim::Gone => 3,
        }
    }
}

/// What is told of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) number: u16,
    pub(crate) claim: Claim,
    /// Incarnation less that of the sender: gateways that started together need fewer bytes.
    ahead: i64,
    /// Epoch of its configuration.
    pub(crate) epoch: u32,
}

impl Entry {
    pub(crate) fn new(number: u16, claim: Claim, incarnation: u64, epoch: u32, base: u64) -> Entry {
        Entry { number, claim, ahead: incarnation.wrapping_sub(base) as i64, epoch }
    }

    pub(crate) fn incarnation(&self, base: u64) -> u64 {
        base.wrapping_add(self.ahead as u64)
    }

    pub(crate) fn byte_len(&self) -> usize {
        postcard::to_allocvec(self).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
    }
}

/// What a packet asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Answer with an [`Body::Ack`] of this number.
    Ping(u16),
    /// The answer.
    Ack(u16),
    /// Ping that member and answer with what came of it.
    PingFor { number: u16, seq: u16 },
    /// The helper heard nothing: its own path to the asker is fine.
    Nack(u16),
    /// News alone.
    Gossip,
    /// Digests of equal parts of a range of numbers; what differs is told.
    Compare { from: u16, span: u16, parts: Vec<u32> },
    /// The news are all that is known of a range; `back`: tell what is newer.
    Tell { from: u16, span: u16, back: bool },
}

/// A datagram's content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub(crate) from: u16,
    /// Print of the sender's roster: votes and parts mean something only among those that have the same.
    pub(crate) roster: u16,
    pub(crate) incarnation: u64,
    /// Epoch of its configuration.
    pub(crate) epoch: u32,
    /// It leaves.
    pub(crate) leaving: bool,
    /// The lower half of the sender's digest.
    pub(crate) digest: u32,
    pub(crate) body: Body,
    pub(crate) ballot: Option<Ballot>,
    pub(crate) grant: Option<Grant>,
    pub(crate) news: Vec<Entry>,
}

/// Why a datagram can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unreadable {
    Damaged,
    Version,
}

impl Packet {
    /// Bytes that are left for news.
    pub(crate) fn room(&self) -> usize {
        let head = postcard::to_allocvec(self).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
        // The number of news may take a byte more than an empty list's.
        (MAX_DATAGRAM_BYTES - FRAME).saturating_sub(head + 1)
    }

    /// The datagram; `None` if it would be too long, which the caller's bounds rule out.
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = vec![PROTOCOL_VERSION];
        bytes.extend(postcard::to_allocvec(self).ok()?);
        bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Packet, Unreadable> {
        if bytes.len() <= FRAME || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(Unreadable::Damaged);
        }
        let (head, sum) = bytes.split_at(bytes.len() - 4);
        if crc32c::crc32c(head).to_le_bytes() != sum {
            return Err(Unreadable::Damaged);
        }
        if head[0] != PROTOCOL_VERSION {
            return Err(Unreadable::Version);
        }
        match postcard::take_from_bytes::<Packet>(&head[1..]) {
            Ok((packet, [])) => Ok(packet),
            _ => Err(Unreadable::Damaged),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn packet(news: usize) -> Packet {
        let entry =
            |number| Entry::new(number, Claim::Suspect(7), 5_000_000 + u64::from(number), 3, 5_000_000);
        let news = (0..news as u16).map(entry).collect();
        let (ballot, grant) = (None, None);
        Packet {
            from: 3,
            roster: 77,
            incarnation: 5_000_000,
            epoch: 1,
            leaving: false,
            digest: 9,
            body: Body::Ping(4),
            ballot,
            grant,
            news,
        }
    }

    #[test]
    fn a_packet_comes_back_as_it_went_and_a_changed_bit_or_another_version_does_not() {
        let bytes = packet(5).encode().expect("short");
        assert_eq!(Packet::decode(&bytes), Ok(packet(5)));
        for bit in 0..bytes.len() * 8 {
            let mut other = bytes.clone();
            other[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(Packet::decode(&other), Err(Unreadable::Damaged), "bit {bit}");
        }
        let mut later = bytes[..bytes.len() - 4].to_vec();
        later[0] = PROTOCOL_VERSION + 1;
        later.extend(crc32c::crc32c(&later).to_le_bytes());
        assert_eq!(Packet::decode(&later), Err(Unreadable::Version));
        assert_eq!(packet(200).encode(), None, "too long is not made");
    }

    proptest! {
        #[test]
        fn noise_is_turned_down_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let mut summed = bytes.clone();
            summed.insert(0, PROTOCOL_VERSION);
            let sum = crc32c::crc32c(&summed);
            summed.extend(sum.to_le_bytes());
            let _ = Packet::decode(&summed);
            prop_assert!(Packet::decode(&bytes).is_err());
        }
    }
}
