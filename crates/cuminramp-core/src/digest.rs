//! Digests of API keys. Keys are stored only as digests.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a SHA-256 digest in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a caller's API key.
///
/// The order of digests reveals nothing about the keys, so tables may be sorted by digest and searched
/// by bisection. [`matches`](KeyDigest::matches) makes the final comparison and takes the same time
/// wherever two digests first differ.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key as the caller sent it.
    ///
    /// ```
    /// use cuminramp_core::KeyDigest;
    /// assert!(KeyDigest::of_key("sk-1").matches(&KeyDigest::of_key("sk-1")));
    /// assert!(!KeyDigest::of_key("sk-1").matches(&KeyDigest::of_key("sk-2")));
    /// ```
    pub fn of_key(key: &str) -> Self {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }

    /// Creates a digest from its stored bytes; returns `None` unless there are exactly 32.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(KeyDigest)
    }

    /// Returns the bytes to store.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({self})")
    }
}
