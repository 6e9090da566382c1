//! What hosts tell each other about parts of prompts.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::PoolPart;

/// A target that crashed under a request with the part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedCrash {
    /// The target, as returned by [`name_hash`](crate::name_hash).
    pub target: u32,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
}

/// What a host knows of a part. Reports can be received in any order and repeatedly.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReport {
    /// The part.
    pub part: PoolPart,
    /// Crashes since the last response that the part did not crash, the last ones if there are many.
    pub crashes: Vec<ReportedCrash>,
    /// Time since such a response, in milliseconds; `None` if none is known.
    pub sound_age_ms: Option<u32>,
    /// Time since requests with the part are held back, in milliseconds; `None` if they are not.
    pub quarantine_age_ms: Option<u32>,
    /// Part beside which only they are held back, see [`PartTable`](super::PartTable).
    pub beside: Option<PoolPart>,
    /// Number of trials since then that crashed a target or are under way.
    pub trials: u8,
}

/// Returns the age of a moment as reports state it.
pub(super) fn age_ms(at: Instant, now: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the moment that was `age_ms` ago; `None` if that was before this process's clock began.
pub(super) fn moment(age_ms: u32, now: Instant) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age_ms.into()))
}
