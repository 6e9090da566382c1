//! Map stored as a sorted vector.

/// Map from `K` to `V`, stored in one sorted vector and searched by bisection.
///
/// The maps of this system are read far more often than changed, and a vector is compact and fast to
/// iterate over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SortedMap<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        SortedMap { entries: Vec::new() }
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    /// Creates an empty map.
    ///
    /// ```
    /// let mut map = cuminramp_core::SortedMap::new();
    /// map.insert("b", 2);
    /// map.insert("a", 1);
    /// assert_eq!(map.get("a"), Some(&1));
    /// assert_eq!(map.keys().copied().collect::<Vec<_>>(), ["a", "b"]);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    fn position<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.entries.binary_search_by(|(entry, _)| entry.borrow().cmp(key))
    }

    /// Returns the value at `key`.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.position(key).ok().map(|index| &self.entries[index].1)
    }

    /// Returns the value at `key` together with the stored key.
    pub fn get_key_value<Q: Ord + ?Sized>(&self, key: &Q) -> Option<(&K, &V)>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.position(key).ok().map(|index| (&self.entries[index].0, &self.entries[index].1))
    }

    /// Returns a mutable reference to the value at `key`.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.position(key).ok().map(|index| &mut self.entries[index].1)
    }

    /// Returns whether the map contains `key`.
    pub fn contains_key<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: std::borrow::Borrow<Q>,
    {
        self.position(key).is_ok()
    }

    /// Inserts `value` at `key` and returns the previous value.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.entries[index].1, value)),
            Err(index) => {
                self.entries.insert(index, (key, value));
                None
            }
        }
    }

    /// Returns the value at `key`, inserting the result of `make` if there is none.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let index = match self.position(&key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (key, make()));
                index
            }
        };
        &mut self.entries[index].1
    }

    /// Removes `key` and returns its value.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.position(key).ok().map(|index| self.entries.remove(index).1)
    }

    /// Keeps only the entries for which `keep` returns `true`.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(key, value)| keep(key, value));
    }

    /// Iterates over the entries in ascending order of their keys.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.entries.iter().map(|(key, value)| (key, value))
    }

    /// Iterates over the entries in ascending order of their keys, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Iterates over the keys in ascending order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> + ExactSizeIterator {
        self.entries.iter().map(|(key, _)| key)
    }

    /// Iterates over the values in ascending order of their keys.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + ExactSizeIterator {
        self.entries.iter().map(|(_, value)| value)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedMap<K, V> {
    /// Sorts the entries once; of several entries with the same key the last one is kept.
    fn from_iter<I: IntoIterator<Item = (K, V)>>(iter: I) -> Self {
        let mut entries: Vec<(K, V)> = iter.into_iter().collect();
        entries.sort_by(|left, right| left.0.cmp(&right.0));
        entries.reverse();
        entries.dedup_by(|left, right| left.0 == right.0);
        entries.reverse();
        SortedMap { entries }
    }
}

#[cfg(test)]
mod tests;
