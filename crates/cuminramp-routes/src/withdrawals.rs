//! Keys whose withdrawal is in force before it is in the table.

use cuminramp_core::{KeyDigest, hash_parts};

/// Withdrawn keys whose withdrawal is not in the generation in force yet.
///
/// While the table is unreachable, no generation can be accepted, and a key that its owner lost would
/// stay valid. A withdrawal is therefore added to this set first, and hosts merge each other's sets. A
/// digest stays in the set until its withdrawal is in the table, so withdrawals spread without the
/// table and in any order, and a repeated message can't undo one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WithdrawalSet {
    digests: Vec<KeyDigest>,
}

impl WithdrawalSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a digest; returns whether it is new.
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

    /// Returns whether the key with `digest` is in the set.
    pub fn contains(&self, digest: &KeyDigest) -> bool {
        self.digests.binary_search(digest).is_ok()
    }

    /// Removes the digests for which `written` returns true: their withdrawal is in the table.
    pub fn remove_written(&mut self, written: impl Fn(&KeyDigest) -> bool) {
        self.digests.retain(|digest| !written(digest));
    }

    /// Returns the digests, sorted.
    pub fn digests(&self) -> &[KeyDigest] {
        &self.digests
    }

    /// Returns a hash by which hosts detect that their sets differ; 0 for an empty set.
    pub fn digest_hash(&self) -> u64 {
        if self.digests.is_empty() {
            return 0;
        }
        let texts: Vec<String> = self.digests.iter().map(KeyDigest::to_string).collect();
        let parts: Vec<&str> = texts.iter().map(String::as_str).collect();
        hash_parts(&parts)
    }
}
