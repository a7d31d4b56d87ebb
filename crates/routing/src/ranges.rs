//! Prefixes as disjoint ranges, so that one binary search finds the longest.

use crate::prefix::mask;

/// The value of one prefix: its length and the place of its site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Owner(u32);

// No prefix covers the range.
const NOBODY: Owner = Owner(u32::MAX);
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

    fn is_within(self, length: u8) -> bool {
        self == NOBODY || self.length() < length
    }
}

/// The prefixes of one address family.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ranges {
    // The first point of each range, rising; a range ends where the next begins.
    starts: Vec<u64>,
    owners: Vec<Owner>,
    // The prefixes, sorted by first point and length.
    points: Vec<u64>,
    values: Vec<Owner>,
}

impl Ranges {
    // `prefixes` is sorted by first point and length, without repeats.
    pub(crate) fn build(prefixes: &[(u64, Owner)]) -> Self {
        let mut ranges = Self {
            points: prefixes.iter().map(|(start, _)| *start).collect(),
            values: prefixes.iter().map(|(_, owner)| *owner).collect(),
            ..Self::default()
        };
        let mut open: Vec<(u64, Owner)> = Vec::new();
        for (start, owner) in prefixes {
            while let Some(end) = open.pop_if(|(end, _)| *end < *start) {
                ranges.close(end.0, &open);
            }
            ranges.begin(*start, *owner);
            open.push((last(*start, owner.length()), *owner));
        }
        while let Some(end) = open.pop() {
            ranges.close(end.0, &open);
        }
        ranges.starts.shrink_to_fit();
        ranges.owners.shrink_to_fit();
        ranges
    }

    pub(crate) fn len(&self) -> usize {
        self.points.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        let row = size_of::<u64>() + size_of::<Owner>();
        (self.starts.capacity() + self.points.capacity()) * row
    }

    /// The longest prefix around a point.
    pub(crate) fn find(&self, point: u64) -> Option<Owner> {
        let after = self.starts.partition_point(|start| *start <= point);
        let owner = *self.owners.get(after.checked_sub(1)?)?;
        (owner != NOBODY).then_some(owner)
    }

    /// Adds a prefix, or changes the site of one that is there.
    pub(crate) fn insert(&mut self, start: u64, owner: Owner) {
        let length = owner.length();
        match self.place(start, length) {
            Ok(at) => self.values[at] = owner,
            Err(at) => {
                self.points.insert(at, start);
                self.values.insert(at, owner);
            }
        }
        for at in self.cut(start, length) {
            let known = self.owners[at];
            if known.is_within(length) || known.length() == length {
                self.owners[at] = owner;
            }
        }
    }

    /// Removes a prefix; its addresses fall to the next longer one around them.
    pub(crate) fn remove(&mut self, start: u64, length: u8) -> bool {
        let Ok(at) = self.place(start, length) else {
            return false;
        };
        self.points.remove(at);
        self.values.remove(at);
        let around = self.around(start, length);
        let cut = self.cut(start, length);
        for at in cut.clone() {
            let known = self.owners[at];
            if known != NOBODY && known.length() == length {
                self.owners[at] = around;
            }
        }
        self.join(cut.end);
        self.join(cut.start);
        true
    }

    fn begin(&mut self, start: u64, owner: Owner) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.owners.pop();
        }
        self.starts.push(start);
        self.owners.push(owner);
    }

    fn close(&mut self, end: u64, open: &[(u64, Owner)]) {
        if let Some(next) = end.checked_add(1) {
            let owner = open.last().map_or(NOBODY, |(_, owner)| *owner);
            self.begin(next, owner);
        }
    }

    fn place(&self, start: u64, length: u8) -> Result<usize, usize> {
        let from = self.points.partition_point(|point| *point < start);
        let points = self.points[from..].iter();
        let same = points.take_while(|point| **point == start).count();
        let values = &self.values[from..from + same];
        match values.binary_search_by_key(&length, |v| v.length()) {
            Ok(at) => Ok(from + at),
            Err(at) => Err(from + at),
        }
    }

    // The longest prefix that holds this one.
    fn around(&self, start: u64, length: u8) -> Owner {
        let shorter = (0..length).rev();
        let mut found = shorter.filter_map(|l| self.place(start & mask(l), l).ok());
        found.next().map_or(NOBODY, |at| self.values[at])
    }

    // Makes ranges begin at the first point of a prefix and after its last,
    // and gives the places of the ranges between.
    fn cut(&mut self, start: u64, length: u8) -> std::ops::Range<usize> {
        let from = self.split(start);
        let next = last(start, length).checked_add(1);
        let to = next.map_or(self.starts.len(), |next| self.split(next));
        from..to
    }

    fn split(&mut self, point: u64) -> usize {
        let at = self.starts.partition_point(|start| *start < point);
        if self.starts.get(at) != Some(&point) {
            let owner = at.checked_sub(1).map_or(NOBODY, |left| self.owners[left]);
            self.starts.insert(at, point);
            self.owners.insert(at, owner);
        }
        at
    }

    // Drops the border before a range if the same prefix holds both sides.
    fn join(&mut self, at: usize) {
        let Some(left) = at.checked_sub(1).filter(|_| at < self.starts.len()) else {
            return;
        };
        let (before, after) = (self.owners[left], self.owners[at]);
        let bits = match before {
            NOBODY => 0,
            owner => mask(owner.length()),
        };
        if before == after && self.starts[left] & bits == self.starts[at] & bits {
            self.starts.remove(at);
            self.owners.remove(at);
        }
    }
}

fn last(start: u64, length: u8) -> u64 {
    start | !mask(length)
}
