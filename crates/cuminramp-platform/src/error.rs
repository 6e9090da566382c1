//! Error type of the platform interfaces.

use std::fmt;

/// Reason why a call to the platform failed, distinguished by whether it may have taken effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The call had no effect.
    Unavailable(String),
    /// The outcome is unknown: the response was lost, and the call may have taken effect. The caller
    /// must read the state back before it retries.
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
