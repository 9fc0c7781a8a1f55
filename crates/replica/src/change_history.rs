//! A bounded history of the accepted changes of the configuration, by which repeats are recognised: an operator may send
//! the same change again after hundreds of later ones. The history also answers whether a change is too old for it.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::VecDeque;

/// Most changes remembered: nearly two days at the target of 4,300 changes a day.
pub const MAX_CHANGES: usize = 8_192;
/// Most changes in the plain list that snapshots of older program versions have.
const LEGACY_MAX_CHANGES: usize = 64;
/// Bits that are kept of a digest. Only different changes with the same version have to be distinguished: two of them
/// collide with a probability of 2^-48.
const DIGEST_BITS: u32 = 48;
/// Bits of a digit in the text of a snapshot.
const DIGIT_BITS: u32 = 6;
const DIGEST_DIGITS: usize = (DIGEST_BITS / DIGIT_BITS) as usize;
const DIGITS: &[u8; 1 << DIGIT_BITS] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Record {
    version: u64,
    digest: u64,
}

/// An accepted change in a snapshot of an older program version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LegacyRecord {
    version: u64,
    digest: String,
}

/// What the history knows about a change with a given version and digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeStatus {
    /// It was accepted.
    Taken,
    /// It was not accepted: another change has its version, or a later change was accepted and this one was not.
    NotTaken,
    /// It is as old as the changes that are no longer remembered, so it may have been accepted or not.
    Forgotten,
}

/// The accepted changes; see the module.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ChangeHistory {
    /// Ordered by version, which only rises.
    records: VecDeque<Record>,
    /// Changes up to this version may have been accepted without a record here.
    forgotten_up_to: u64,
}

/// The bits that are kept of a digest, which is given as text. The hash (FNV-1a) must never change, as all members have to
/// get the same value.
fn truncated_digest(digest: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    digest.bytes().fold(0xcbf2_9ce4_8422_2325, step) >> (u64::BITS - DIGEST_BITS)
}

impl ChangeHistory {
    /// Adds an accepted change, whose version must be above those of all changes before.
    pub fn add(&mut self, version: u64, digest: &str) {
        if self.records.len() >= MAX_CHANGES {
            self.forgotten_up_to =
                self.records.pop_front().map_or(self.forgotten_up_to, |oldest| oldest.version);
        }
        self.records.push_back(Record { version, digest: truncated_digest(digest) });
    }

    /// Whether a change was accepted.
    pub fn status(&self, version: u64, digest: &str) -> ChangeStatus {
        let found = self.records.binary_search_by_key(&version, |record| record.version);
        match found.ok().and_then(|position| self.records.get(position)) {
            Some(record) if record.digest == truncated_digest(digest) => ChangeStatus::Taken,
            None if version <= self.forgotten_up_to => ChangeStatus::Forgotten,
            _ => ChangeStatus::NotTaken,
        }
    }

    /// Adds the list from a snapshot of an older program version.
    pub(crate) fn import_legacy(&mut self, legacy: &[LegacyRecord]) {
        let oldest = legacy.first().map_or(0, |record| record.version);
        if legacy.len() >= LEGACY_MAX_CHANGES {
            self.forgotten_up_to = oldest.saturating_sub(1);
        }
        legacy.iter().for_each(|record| self.add(record.version, &record.digest));
    }
}

/// The form in a snapshot. `records` is a text of records; each has the digits of its digest and, as a decimal number, how
/// far its version is above the one before.
#[derive(Serialize, Deserialize)]
struct Stored {
    forgotten: u64,
    records: String,
}

impl Serialize for ChangeHistory {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut records = String::with_capacity(self.records.len() * (DIGEST_DIGITS + 2));
        let mut previous = self.forgotten_up_to;
        for record in &self.records {
            push_digits(&mut records, record.digest);
            records += &(record.version - previous).to_string();
            records.push(',');
            previous = record.version;
        }
        Stored { forgotten: self.forgotten_up_to, records }.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ChangeHistory {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ChangeHistory, D::Error> {
        let stored = Stored::deserialize(deserializer)?;
        let mut history = ChangeHistory { records: VecDeque::new(), forgotten_up_to: stored.forgotten };
        let mut version = stored.forgotten;
        for text in stored.records.split_terminator(',') {
            let record =
                parse_record(text, version).ok_or_else(|| D::Error::custom("invalid record of a change"))?;
            version = record.version;
            history.records.push_back(record);
        }
        Ok(history)
    }
}

fn push_digits(text: &mut String, digest: u64) {
    let values = (0..DIGEST_DIGITS as u32).rev().map(|digit| digest >> (digit * DIGIT_BITS));
    text.extend(values.map(|value| char::from(DIGITS[value as usize % DIGITS.len()])));
}

fn parse_record(text: &str, previous: u64) -> Option<Record> {
    let (digits, steps) = text.split_at_checked(DIGEST_DIGITS)?;
    let mut digest = 0;
    for digit in digits.bytes() {
        let value = DIGITS.iter().position(|known| *known == digit)?;
        digest = digest << DIGIT_BITS | value as u64;
    }
    Some(Record { version: previous.checked_add(steps.parse().ok()?)?, digest })
}
