//! Names, result codes, sorted collections and hashing shared by all other crates.
//!
//! Nothing here does I/O or reads a clock; the daemon passes in the time and the random source.

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

/// Shared immutable name of a team, pool, target, model, host or availability zone.
pub type Name = std::sync::Arc<str>;

/// Name of a failure domain that shares power and network with nothing outside it.
pub type AvailabilityZone = Name;
