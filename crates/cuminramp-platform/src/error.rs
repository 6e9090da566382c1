//! Errors of the platform's stores.

use std::fmt;

/// Why the platform gave no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The call had no effect.
    Unavailable(String),
    /// The call may have taken effect: its answer was lost. Read back before trying again.
    Unknown(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Unavailable(reason) => write!(formatter, "store unavailable: {reason}"),
            StoreError::Unknown(reason) => write!(formatter, "outcome unknown: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}
