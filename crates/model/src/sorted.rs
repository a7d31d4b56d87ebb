//! A map stored as a sorted vector.

use std::borrow::Borrow;

/// A map whose rows are sorted by key and found by binary search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SortedMap<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    /// Returns the value of a key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        Some(&self.rows[at].1)
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        Some(&mut self.rows[at].1)
    }

    /// Returns a mutable reference to the value of a key, and inserts the result of `make` first if
    /// the key is missing.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let at = match self.find(&key) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, (key, make()));
                at
            }
        };
        &mut self.rows[at].1
    }

    /// Sets the value of a key and returns the previous value.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(at) => Some(std::mem::replace(&mut self.rows[at].1, value)),
            Err(at) => {
                self.rows.insert(at, (key, value));
                None
            }
        }
    }

    /// Removes a key and returns its value.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        Some(self.rows.remove(at).1)
    }

    /// Removes all rows for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(key, value)| keep(key, value));
    }

    /// Iterates over the rows in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// Iterates over the rows in the order of their keys, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn find<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: Borrow<Q>,
    {
        self.rows.binary_search_by(|row| row.0.borrow().cmp(key))
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedMap<K, V> {
    fn from_iter<T: IntoIterator<Item = (K, V)>>(iter: T) -> Self {
        let mut sorted = Self::default();
        for (key, value) in iter {
            sorted.insert(key, value);
        }
        sorted
    }
}
