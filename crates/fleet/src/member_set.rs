//! A set of members by their number, a bit each: what a quorum is counted with and what fits a datagram.

use serde::{Deserialize, Serialize};

/// A set of numbers. Sets of the same members are equal: no byte of zeros ends one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberSet(Vec<u8>);

impl MemberSet {
    /// The set of these numbers.
    pub fn from_numbers(numbers: impl IntoIterator<Item = u16>) -> MemberSet {
        let mut bits = MemberSet::default();
        numbers.into_iter().for_each(|number| bits.insert(number));
        bits
    }

    /// Puts a number in.
    pub fn insert(&mut self, number: u16) {
        let at = usize::from(number / 8);
        if self.0.len() <= at {
            self.0.resize(at + 1, 0);
        }
        self.0[at] |= 1 << (number % 8);
    }

    /// Whether a number is in it.
    pub fn contains(&self, number: u16) -> bool {
        self.0.get(usize::from(number / 8)).is_some_and(|byte| byte & (1 << (number % 8)) != 0)
    }

    /// How many numbers are in it.
    pub fn count(&self) -> usize {
        self.0.iter().map(|byte| byte.count_ones() as usize).sum()
    }

    /// Takes the numbers of another in; whether any of them was new.
    pub fn merge(&mut self, other: &MemberSet) -> bool {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        let mut new = false;
        for (mine, theirs) in self.0.iter_mut().zip(&other.0) {
            new |= *theirs & !*mine != 0;
            *mine |= theirs;
        }
        new
    }

    /// Numbers up to `most` alone, and no byte of zeros at the end: what came in a datagram may hold either.
    pub(crate) fn limit_to(&mut self, most: u16) {
        self.0.truncate(usize::from(most / 8) + 1);
        if let Some(last) = self.0.get_mut(usize::from(most / 8)) {
            *last &= 0xffu8 >> (7 - most % 8);
        }
        while self.0.last() == Some(&0) {
            self.0.pop();
        }
    }

    /// Bytes that it takes.
    pub(crate) fn byte_len(&self) -> usize {
        self.0.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_set_holds_what_was_put_in_and_bounds_what_came_from_outside() {
        let mut bits = MemberSet::from_numbers([0, 9, 300]);
        assert!(bits.contains(9) && !bits.contains(8) && bits.count() == 3 && !bits.contains(4_000));
        assert!(bits.merge(&MemberSet::from_numbers([8])) && !bits.merge(&MemberSet::from_numbers([8, 9])));
        bits.limit_to(9);
        assert_eq!(bits, MemberSet::from_numbers([0, 8, 9]));
        bits.limit_to(8);
        assert_eq!(bits, MemberSet::from_numbers([8, 0]));
        let mut noise = MemberSet(vec![0xff; 40]);
        noise.limit_to(2);
        assert_eq!(noise, MemberSet::from_numbers([0, 1, 2]));
    }
}
