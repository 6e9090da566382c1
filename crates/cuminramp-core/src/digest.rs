//! Digests of keys: the only form in which a key is kept.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Bytes in a digest.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of a caller's key.
///
/// The order of digests tells nothing about keys, so a table sorted by them may be searched by
/// bisection; the final comparison takes the same time wherever two digests first differ.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key as the caller sent it.
    ///
    /// ```
    /// use cuminramp_core::KeyDigest;
    /// assert!(KeyDigest::of_key("sk-1").matches(&KeyDigest::of_key("sk-1")));
    /// assert!(!KeyDigest::of_key("sk-1").matches(&KeyDigest::of_key("sk-2")));
    /// ```
    pub fn of_key(key: &str) -> Self {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }

    /// Reads the bytes of a row.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(KeyDigest)
    }

    /// The bytes of a row.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Compares in constant time.
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
