//! Blocks: a bounded stretch of events, compressed (lz4) and checksummed (CRC-32C), that can be read alone.

use crate::event::{Context, Event};
use crate::number::Take;
use crate::TraceError;
use std::collections::BTreeSet;

/// What a block begins with.
pub const MAGIC: [u8; 4] = *b"NJBK";
/// Bytes before the packed events: magic, raw length, packed length, events, first and last time, checksum.
pub const HEAD: usize = 4 + 4 + 4 + 4 + 8 + 8 + 4;
/// A block is closed when its events take so many bytes unpacked.
pub const FULL: usize = 64 * 1024;
/// Longest block, unpacked and packed, bytes: one event may be a service table of thousands of lines.
pub const MOST: usize = 8 * 1024 * 1024;
/// Bits that an id takes in the filter of a block, and how many of them are set.
const FILTER_BITS: usize = 10;
const FILTER_SET: u32 = 4;

/// What a block holds, for the index.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Summary {
    /// Where it begins in the file.
    pub offset: u64,
    /// Its length there, bytes.
    pub length: u32,
    /// Events.
    pub events: u32,
    /// Time of its first and last event, ticks of 1/1024 ms.
    pub first: i64,
    /// See `first`.
    pub last: i64,
    /// Franchisees that its events are about, in order.
    pub franchisees: Vec<u64>,
    /// A filter over request ids and idempotency keys.
    pub ids: Vec<u8>,
}

fn id_bits(id: &str, bits: usize) -> impl Iterator<Item = usize> {
    let (a, b) = (crc32c::crc32c(id.as_bytes()), crc32c::crc32c_append(0x9e37_79b9, id.as_bytes()) | 1);
    (0..FILTER_SET).map(move |at| a.wrapping_add(b.wrapping_mul(at)) as usize % bits.max(1))
}

impl Summary {
    /// This id or key may be in the block; false: it is not.
    pub fn may_hold(&self, id: &str) -> bool {
        let bits = self.ids.len() * 8;
        bits > 0 && id_bits(id, bits).all(|bit| self.ids[bit / 8] & 1 << (bit % 8) != 0)
    }
}

/// A block that is being filled.
#[derive(Debug, Default)]
pub struct Builder {
    context: Context,
    raw: Vec<u8>,
    events: u32,
    first: i64,
    last: i64,
    franchisees: BTreeSet<u64>,
    ids: Vec<String>,
}

impl Builder {
    /// Adds an event; true once the block is full.
    pub fn add(&mut self, time: i64, event: &Event) -> bool {
        if self.events == 0 {
            self.first = time;
        }
        self.context.put(&mut self.raw, time, event);
        self.events += 1;
        self.last = time;
        self.franchisees.extend(event.franchisee());
        if let Event::Taken { id, key, .. } = event {
            self.ids.extend([id, key].into_iter().filter(|id| !id.is_empty()).cloned());
        }
        self.raw.len() >= FULL
    }

    /// Nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.events == 0
    }

    /// Events so far.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Closes it: its bytes, and what it holds (`offset` is the file's to set). What was in it is gone from here.
    pub fn close(&mut self) -> (Vec<u8>, Summary) {
        let block = std::mem::take(self);
        let packed = lz4_flex::block::compress(&block.raw);
        let mut bytes = Vec::with_capacity(HEAD + packed.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&(block.raw.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&(packed.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&block.events.to_le_bytes());
        bytes.extend_from_slice(&block.first.to_le_bytes());
        bytes.extend_from_slice(&block.last.to_le_bytes());
        let sum = crc32c::crc32c_append(crc32c::crc32c(&bytes), &packed);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes.extend_from_slice(&packed);
        let mut ids = vec![0u8; (block.ids.len() * FILTER_BITS).div_ceil(8)];
        let bits = ids.len() * 8;
        for id in &block.ids {
            id_bits(id, bits).for_each(|bit| ids[bit / 8] |= 1 << (bit % 8));
        }
        let summary = Summary {
            offset: 0,
            length: bytes.len() as u32,
            events: block.events,
            first: block.first,
            last: block.last,
            franchisees: block.franchisees.into_iter().collect(),
            ids,
        };
        (bytes, summary)
    }
}

/// The head of a block.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Head {
    /// Length unpacked, bytes.
    pub raw: usize,
    /// Length packed, bytes.
    pub packed: usize,
    /// Events.
    pub events: u32,
    /// Time of the first and of the last event.
    pub first: i64,
    /// See `first`.
    pub last: i64,
    sum: u32,
}

impl Head {
    /// Reads a head; `None`: no block begins with these bytes. Lengths beyond [`MOST`] are no block's.
    pub fn read(bytes: &[u8; HEAD]) -> Option<Head> {
        let word = |at: usize| bytes[at..at + 4].try_into().map(u32::from_le_bytes).unwrap_or(0);
        let long = |at: usize| bytes[at..at + 8].try_into().map(i64::from_le_bytes).unwrap_or(0);
        let (raw, packed) = (word(4) as usize, word(8) as usize);
        let fits = bytes[..4] == MAGIC && raw <= MOST && packed <= MOST;
        let head =
            Head { raw, packed, events: word(12), first: long(16), last: long(24), sum: word(HEAD - 4) };
        fits.then_some(head)
    }

    /// Unpacks the events behind a head. `at`: where the block begins, for errors.
    ///
    /// # Errors
    /// The checksum does not fit, or what it covers makes no sense.
    pub fn unpack(&self, at: u64, head: &[u8; HEAD], packed: &[u8]) -> Result<Vec<(i64, Event)>, TraceError> {
        let damaged = |why: &str| TraceError::Damaged(at, why.to_string());
        let sum = crc32c::crc32c_append(crc32c::crc32c(&head[..HEAD - 4]), packed);
        if packed.len() != self.packed || sum != self.sum {
            return Err(damaged("the checksum of a block does not fit"));
        }
        // Unpacked into a buffer of the stated, bounded length: a block can't swell beyond it.
        let mut raw = vec![0; self.raw];
        match lz4_flex::block::decompress_into(packed, &mut raw) {
            Ok(length) if length == self.raw => {}
            _ => return Err(damaged("a block does not unpack to its length")),
        }
        let (mut context, mut take, mut events) = (Context::default(), Take(&raw), Vec::new());
        while !take.done() {
            let event = context.take(&mut take).ok_or_else(|| damaged("an event can't be read"))?;
            events.push(event);
        }
        if events.len() != self.events as usize {
            return Err(damaged("a block does not hold its number of events"));
        }
        Ok(events)
    }
}

/// What a block that was read holds: its summary is made anew from its events, where the index is missing.
pub fn summarise(offset: u64, head: &Head, events: &[(i64, Event)]) -> Summary {
    let mut builder = Builder::default();
    for (time, event) in events {
        builder.add(*time, event);
    }
    let (_, summary) = builder.close();
    Summary { offset, length: (HEAD + head.packed) as u32, ..summary }
}
