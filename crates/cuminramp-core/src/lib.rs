//! Names, result codes, sorted collections and hashing that every other crate shares.
//!
//! Nothing here does I/O or reads a clock; the daemon hands in the time and the random source.

mod code;
mod digest;
mod host;
mod random;
mod rendezvous;
mod sorted_map;

pub use code::{Execution, Refusal, ResultCode};
pub use digest::KeyDigest;
pub use host::{Host, HostId, Incarnation};
pub use random::{RandomSource, SeededRandom};
pub use rendezvous::{hash_parts, rank_by_score, rendezvous_score};
pub use sorted_map::SortedMap;

/// A shared immutable name of a team, pool, target, model, host or availability zone.
pub type Name = std::sync::Arc<str>;

/// The name of a place that shares power and network with nothing outside it.
pub type AvailabilityZone = Name;
