//! Operators' changes that were taken, remembered so that a repeat of one is known: the same order may be sent again long
//! after, when hundreds of later changes have been made. Bounded; what it has forgotten it says.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::VecDeque;

/// Changes remembered: nearly two days of 4,300 changes, a day's target.
pub const MAX_CHANGES: usize = 8_192;
/// So many did programs remember whose snapshots hold a plain list.
const REMEMBERED_BY_FORMER: usize = 64;
/// Bits of a digest that are kept. Only different changes of one number have to be told apart: two of them are mistaken for
/// one in 2^48 cases.
const DIGEST_BITS: u32 = 48;
/// Bits of a digit in a snapshot's text.
const DIGIT_BITS: u32 = 6;
/// Digits of a digest.
const DIGEST_DIGITS: usize = (DIGEST_BITS / DIGIT_BITS) as usize;
/// The digits, by their value.
const DIGITS: &[u8; 1 << DIGIT_BITS] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

/// A change that was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Record {
    version: u64,
    digest: u64,
}

/// A change as snapshots of former programs hold it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LegacyRecord {
    version: u64,
    digest: String,
}

/// What is known of a change by its version and digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeStatus {
    /// It was taken.
    Taken,
    /// It was not: another one has its version, or a later one was taken and this one was not.
    NotTaken,
    /// It is as old as what was forgotten: it may have been taken or not.
    Forgotten,
}

/// See the module.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ChangeHistory {
    /// Oldest first: versions only rise.
    records: VecDeque<Record>,
    /// Changes up to this version may have been taken without a record.
    forgotten: u64,
}

/// The bits that are kept of a digest, which is given as text (FNV-1a: fixed for good, as all members have to find the same).
fn short(digest: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    digest.bytes().fold(0xcbf2_9ce4_8422_2325, step) >> (u64::BITS - DIGEST_BITS)
}

impl ChangeHistory {
    /// Remembers a change that was taken, with a version above all before it.
    pub fn add(&mut self, version: u64, digest: &str) {
        if self.records.len() >= MAX_CHANGES {
            self.forgotten = self.records.pop_front().map_or(self.forgotten, |oldest| oldest.version);
        }
        self.records.push_back(Record { version, digest: short(digest) });
    }

    /// What became of a change.
    pub fn status(&self, version: u64, digest: &str) -> ChangeStatus {
        let found = self.records.binary_search_by_key(&version, |record| record.version);
        match found.ok().and_then(|at| self.records.get(at)) {
            Some(record) if record.digest == short(digest) => ChangeStatus::Taken,
            None if version <= self.forgotten => ChangeStatus::Forgotten,
            _ => ChangeStatus::NotTaken,
        }
    }

    /// Takes over the list of a former program's snapshot.
    pub(crate) fn adopt(&mut self, former: &[LegacyRecord]) {
        let oldest = former.first().map_or(0, |record| record.version);
        if former.len() >= REMEMBERED_BY_FORMER {
            self.forgotten = oldest.saturating_sub(1);
        }
        former.iter().for_each(|record| self.add(record.version, &record.digest));
    }
}

/// In a snapshot: what was forgotten, and a text of records, each of the digits of its digest and the steps from the version
/// before it (a decimal number).
#[derive(Serialize, Deserialize)]
struct Stored {
    forgotten: u64,
    records: String,
}

impl Serialize for ChangeHistory {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let mut records = String::with_capacity(self.records.len() * (DIGEST_DIGITS + 2));
        let mut before = self.forgotten;
        for record in &self.records {
            push_digits(&mut records, record.digest);
            records += &(record.version - before).to_string();
            records.push(',');
            before = record.version;
        }
        Stored { forgotten: self.forgotten, records }.serialize(to)
    }
}

impl<'de> Deserialize<'de> for ChangeHistory {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<ChangeHistory, D::Error> {
        let stored = Stored::deserialize(from)?;
        let mut memory = ChangeHistory { records: VecDeque::new(), forgotten: stored.forgotten };
        let mut version = stored.forgotten;
        for text in stored.records.split_terminator(',') {
            let record = record_of(text, version).ok_or_else(|| D::Error::custom("a broken record"))?;
            version = record.version;
            memory.records.push_back(record);
        }
        Ok(memory)
    }
}

fn push_digits(text: &mut String, digest: u64) {
    let values = (0..DIGEST_DIGITS as u32).rev().map(|digit| digest >> (digit * DIGIT_BITS));
    text.extend(values.map(|value| char::from(DIGITS[value as usize % DIGITS.len()])));
}

fn record_of(text: &str, before: u64) -> Option<Record> {
    let (digits, steps) = text.split_at_checked(DIGEST_DIGITS)?;
    let mut digest = 0;
    for digit in digits.bytes() {
        let value = DIGITS.iter().position(|known| *known == digit)?;
        digest = digest << DIGIT_BITS | value as u64;
    }
    Some(Record { version: before.checked_add(steps.parse().ok()?)?, digest })
}
