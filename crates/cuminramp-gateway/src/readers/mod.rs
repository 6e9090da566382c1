//! Bounds on what this host holds for callers that don't read their responses.

mod budget;
mod connection;
mod socket;

pub(crate) use budget::{EndedReader, ReaderBudget, ReaderTag};
pub(crate) use connection::{CallerReader, expire_unread};
pub(crate) use socket::{CallerSocket, TARGET_READ_BYTES, bound_target_socket};
