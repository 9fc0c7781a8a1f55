//! A bit set of member numbers. It counts quorums and is small enough for a datagram.

use serde::{Deserialize, Serialize};

/// A set of numbers, one bit each. The last byte is never zero, so that equal sets compare equal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberSet(Vec<u8>);

impl MemberSet {
    /// Creates the set of these numbers; duplicates are allowed.
    pub fn from_numbers(numbers: impl IntoIterator<Item = u16>) -> MemberSet {
        let mut set = MemberSet::default();
        numbers.into_iter().for_each(|number| set.insert(number));
        set
    }

    /// Adds a number.
    pub fn insert(&mut self, number: u16) {
        let byte = usize::from(number / 8);
        if self.0.len() <= byte {
            self.0.resize(byte + 1, 0);
        }
        self.0[byte] |= 1 << (number % 8);
    }

    /// Whether the number is in the set.
    pub fn contains(&self, number: u16) -> bool {
        self.0.get(usize::from(number / 8)).is_some_and(|byte| byte & (1 << (number % 8)) != 0)
    }

    /// The number of members.
    pub fn count(&self) -> usize {
        self.0.iter().map(|byte| byte.count_ones() as usize).sum()
    }

    /// Adds the numbers of `other`. Returns whether any of them was new.
    pub fn merge(&mut self, other: &MemberSet) -> bool {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        let mut any_new = false;
        for (own, others) in self.0.iter_mut().zip(&other.0) {
            any_new |= *others & !*own != 0;
            *own |= others;
        }
        any_new
    }

    /// Removes numbers above `max` and trailing zero bytes: a set decoded from a datagram may have either.
    pub(crate) fn limit_to(&mut self, max: u16) {
        self.0.truncate(usize::from(max / 8) + 1);
        if let Some(last) = self.0.get_mut(usize::from(max / 8)) {
            *last &= 0xffu8 >> (7 - max % 8);
        }
        while self.0.last() == Some(&0) {
            self.0.pop();
        }
    }

    pub(crate) fn byte_len(&self) -> usize {
        self.0.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn insert_merge_and_limit_keep_the_canonical_form() {
        let mut set = MemberSet::from_numbers([0, 9, 300]);
        assert!(set.contains(9) && !set.contains(8) && set.count() == 3 && !set.contains(4_000));
        assert!(set.merge(&MemberSet::from_numbers([8])) && !set.merge(&MemberSet::from_numbers([8, 9])));
        set.limit_to(9);
        assert_eq!(set, MemberSet::from_numbers([0, 8, 9]));
        set.limit_to(8);
        assert_eq!(set, MemberSet::from_numbers([8, 0]));
        let mut noise = MemberSet(vec![0xff; 40]);
        noise.limit_to(2);
        assert_eq!(noise, MemberSet::from_numbers([0, 1, 2]));
    }
}
