//! Parts of prompts that requests share, and the quarantine of those that crash targets.
//!
//! A part may crash each target that begins to write a response to it, whatever else the request holds. Requests
//! with it come to all hosts and are not alike in anything else, so [`PartTable`] counts the crashes by part, over
//! all hosts, and holds back the requests with a part that only ever crashes.

mod policy;
mod record;
mod report;
mod table;

use std::fmt;

use cuminramp_core::hash_parts;
use serde::{Deserialize, Serialize};

pub use policy::PartPolicy;
pub use report::{PartReport, ReportedCrash};
pub use table::{HeldPart, PartCounts, PartDecision, PartTable, SoundParts};

/// A part of a prompt that other requests share, as a hash of the ID that callers give it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PromptPart(u64);

impl PromptPart {
    /// Returns the part with an ID.
    ///
    /// ```
    /// use cuminramp_fleet::PromptPart;
    /// assert_ne!(PromptPart::new("5c1e07a2"), PromptPart::new("91bd3f06"));
    /// ```
    pub fn new(id: &str) -> Self {
        PromptPart(hash_parts(&[id]))
    }

    /// Returns the part as the targets of one pool see it: those of another pool run other software.
    ///
    /// ```
    /// use cuminramp_fleet::PromptPart;
    /// let part = PromptPart::new("5c1e07a2");
    /// assert_ne!(part.in_pool("pool-1"), part.in_pool("pool-2"));
    /// ```
    pub fn in_pool(self, pool: &str) -> PoolPart {
        let pool = hash_parts(&[pool, &self.to_string()]);
        PoolPart(self.0 & !POOL_MASK | pool & POOL_MASK)
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Bits of a [`PoolPart`] that tell the pool; the others are those of the [`PromptPart`].
const POOL_MASK: u64 = u32::MAX as u64;

/// A part of a prompt at the targets of one pool.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PoolPart(u64);

impl PoolPart {
    /// Returns whether both are the same part, at the targets of any pools.
    ///
    /// ```
    /// use cuminramp_fleet::PromptPart;
    /// let part = PromptPart::new("5c1e07a2");
    /// assert!(part.in_pool("pool-1").is_same_part(part.in_pool("pool-2")));
    /// assert!(!part.in_pool("pool-1").is_same_part(PromptPart::new("91bd3f06").in_pool("pool-1")));
    /// ```
    pub fn is_same_part(self, other: PoolPart) -> bool {
        self.0 & !POOL_MASK == other.0 & !POOL_MASK
    }

    /// Returns the key by which hosts are ranked for the part.
    pub fn key(self) -> u64 {
        self.0
    }

    /// Reads what [`fmt::Display`] writes.
    ///
    /// ```
    /// use cuminramp_fleet::{PoolPart, PromptPart};
    /// let part = PromptPart::new("5c1e07a2").in_pool("pool-1");
    /// assert_eq!(PoolPart::parse(&part.to_string()), Some(part));
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(PoolPart)
    }
}

impl fmt::Display for PoolPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
