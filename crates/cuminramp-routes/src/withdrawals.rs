//! Keys withdrawn ahead of the table.

use cuminramp_core::{KeyDigest, hash_parts};

/// Keys that were withdrawn and whose withdrawal is not in the generation in force yet.
///
/// While the table is down no generation can be accepted, and a key whose owner lost it would go on
/// working. So a withdrawal first joins this set, which only grows until the table has taken it and
/// which hosts merge: it spreads without the table, in any order, and can't be undone by a repeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WithdrawalSet {
    digests: Vec<KeyDigest>,
}

impl WithdrawalSet {
    /// An empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a digest; says whether it is new.
    ///
    /// ```
    /// use cuminramp_core::KeyDigest;
    /// let mut set = cuminramp_routes::WithdrawalSet::new();
    /// assert!(set.insert(KeyDigest::of_key("sk-1")));
    /// assert!(!set.insert(KeyDigest::of_key("sk-1")));
    /// assert!(set.contains(&KeyDigest::of_key("sk-1")));
    /// ```
    pub fn insert(&mut self, digest: KeyDigest) -> bool {
        match self.digests.binary_search(&digest) {
            Ok(_) => false,
            Err(index) => {
                self.digests.insert(index, digest);
                true
            }
        }
    }

    /// Whether a key is in it.
    pub fn contains(&self, digest: &KeyDigest) -> bool {
        self.digests.binary_search(digest).is_ok()
    }

    /// Forgets the digests that `written` says the table has taken.
    pub fn retain_unwritten(&mut self, written: impl Fn(&KeyDigest) -> bool) {
        self.digests.retain(|digest| !written(digest));
    }

    /// The digests, sorted.
    pub fn digests(&self) -> &[KeyDigest] {
        &self.digests
    }

    /// A number that differs where two sets do; 0 for an empty one.
    pub fn digest_hash(&self) -> u64 {
        if self.digests.is_empty() {
            return 0;
        }
        let texts: Vec<String> = self.digests.iter().map(KeyDigest::to_string).collect();
        let parts: Vec<&str> = texts.iter().map(String::as_str).collect();
        hash_parts(&parts)
    }
}
