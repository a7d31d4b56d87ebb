//! Prefixes stored as disjoint ranges, so that one binary search finds the longest
//! prefix of an address.
//!
//! The ranges cover the addresses from the first prefix on without gaps; each has
//! the longest prefix that contains it, or none. Addresses are the leading 64 bits.

use crate::prefix::mask;

/// The value of one prefix: its length in the upper half, and the index of its site
/// in the lower half.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Owner(u32);

// The value of a range in no prefix.
const NO_OWNER: Owner = Owner(u32::MAX);
const LENGTH_SHIFT: u32 = 16;

impl Owner {
    pub(crate) fn new(length: u8, site: u16) -> Self {
        Self(u32::from(length) << LENGTH_SHIFT | u32::from(site))
    }

    pub(crate) fn length(self) -> u8 {
        (self.0 >> LENGTH_SHIFT) as u8
    }

    pub(crate) fn site(self) -> u16 {
        self.0 as u16
    }

    fn is_shorter_than(self, length: u8) -> bool {
        self == NO_OWNER || self.length() < length
    }
}

/// The prefixes of one address family.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ranges {
    // The first address of each range, ascending; a range ends before the next one.
    starts: Vec<u64>,
    owners: Vec<Owner>,
    // The first address and the value of each prefix, sorted by address and length.
    prefix_starts: Vec<u64>,
    prefix_owners: Vec<Owner>,
}

impl Ranges {
    // `prefixes` must be sorted by first address and length, without repeats.
    pub(crate) fn build(prefixes: &[(u64, Owner)]) -> Self {
        let mut ranges = Self {
            prefix_starts: prefixes.iter().map(|(start, _)| *start).collect(),
            prefix_owners: prefixes.iter().map(|(_, owner)| *owner).collect(),
            ..Self::default()
        };
        let mut open: Vec<(u64, Owner)> = Vec::new();
        for (start, owner) in prefixes {
            while let Some(end) = open.pop_if(|(end, _)| *end < *start) {
                ranges.end_prefix(end.0, &open);
            }
            ranges.push_range(*start, *owner);
            open.push((last_address(*start, owner.length()), *owner));
        }
        while let Some(end) = open.pop() {
            ranges.end_prefix(end.0, &open);
        }
        ranges.starts.shrink_to_fit();
        ranges.owners.shrink_to_fit();
        ranges
    }

    pub(crate) fn len(&self) -> usize {
        self.prefix_starts.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        let row = size_of::<u64>() + size_of::<Owner>();
        (self.starts.capacity() + self.prefix_starts.capacity()) * row
    }

    /// Finds the longest prefix that contains an address.
    pub(crate) fn find(&self, address: u64) -> Option<Owner> {
        let after = self.starts.partition_point(|start| *start <= address);
        let owner = *self.owners.get(after.checked_sub(1)?)?;
        (owner != NO_OWNER).then_some(owner)
    }

    /// Adds a prefix, or changes the site of a known one.
    pub(crate) fn insert(&mut self, start: u64, owner: Owner) {
        let length = owner.length();
        match self.find_prefix(start, length) {
            Ok(index) => self.prefix_owners[index] = owner,
            Err(index) => {
                self.prefix_starts.insert(index, start);
                self.prefix_owners.insert(index, owner);
            }
        }
        for index in self.split_bounds(start, length) {
            let known = self.owners[index];
            if known.is_shorter_than(length) || known.length() == length {
                self.owners[index] = owner;
            }
        }
    }

    /// Removes a prefix, and returns whether it was known. Its addresses get the
    /// longest remaining prefix that contains them.
    pub(crate) fn remove(&mut self, start: u64, length: u8) -> bool {
        let Ok(index) = self.find_prefix(start, length) else {
            return false;
        };
        self.prefix_starts.remove(index);
        self.prefix_owners.remove(index);
        let enclosing = self.enclosing(start, length);
        let split = self.split_bounds(start, length);
        for index in split.clone() {
            let known = self.owners[index];
            if known != NO_OWNER && known.length() == length {
                self.owners[index] = enclosing;
            }
        }
        self.merge_at(split.end);
        self.merge_at(split.start);
        true
    }

    fn push_range(&mut self, start: u64, owner: Owner) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.owners.pop();
        }
        self.starts.push(start);
        self.owners.push(owner);
    }

    fn end_prefix(&mut self, end: u64, open: &[(u64, Owner)]) {
        if let Some(next) = end.checked_add(1) {
            let owner = open.last().map_or(NO_OWNER, |(_, owner)| *owner);
            self.push_range(next, owner);
        }
    }

    fn find_prefix(&self, start: u64, length: u8) -> Result<usize, usize> {
        let first = self
            .prefix_starts
            .partition_point(|address| *address < start);
        let prefix_starts = self.prefix_starts[first..].iter();
        let same = prefix_starts
            .take_while(|address| **address == start)
            .count();
        let prefix_owners = &self.prefix_owners[first..first + same];
        match prefix_owners.binary_search_by_key(&length, |v| v.length()) {
            Ok(index) => Ok(first + index),
            Err(index) => Err(first + index),
        }
    }

    // Finds the longest prefix that contains this one and is not equal to it.
    fn enclosing(&self, start: u64, length: u8) -> Owner {
        let shorter = (0..length).rev();
        let mut found = shorter.filter_map(|l| self.find_prefix(start & mask(l), l).ok());
        found
            .next()
            .map_or(NO_OWNER, |index| self.prefix_owners[index])
    }

    // Splits ranges so that one starts at the first address of a prefix and one
    // after its last address. Returns the indices of the ranges between.
    fn split_bounds(&mut self, start: u64, length: u8) -> std::ops::Range<usize> {
        let first = self.split(start);
        let next = last_address(start, length).checked_add(1);
        let end = next.map_or(self.starts.len(), |next| self.split(next));
        first..end
    }

    fn split(&mut self, address: u64) -> usize {
        let index = self.starts.partition_point(|start| *start < address);
        if self.starts.get(index) != Some(&address) {
            let owner = index
                .checked_sub(1)
                .map_or(NO_OWNER, |left| self.owners[left]);
            self.starts.insert(index, address);
            self.owners.insert(index, owner);
        }
        index
    }

    // Merges a range with the one before it if both have the same prefix.
    fn merge_at(&mut self, index: usize) {
        let Some(left) = index.checked_sub(1).filter(|_| index < self.starts.len()) else {
            return;
        };
        let (before, after) = (self.owners[left], self.owners[index]);
        let bits = match before {
            NO_OWNER => 0,
            owner => mask(owner.length()),
        };
        if before == after && self.starts[left] & bits == self.starts[index] & bits {
            self.starts.remove(index);
            self.owners.remove(index);
        }
    }
}

fn last_address(start: u64, length: u8) -> u64 {
    start | !mask(length)
}
