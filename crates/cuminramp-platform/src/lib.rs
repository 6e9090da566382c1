//! Interfaces to the platform (table, object store and host list) and their HTTP client.
//!
//! The traits define what the daemon requires of the platform. Each error states whether a write had
//! no effect or may have taken effect; callers base no decision on any other detail of an outage.

mod error;
mod hosts;
mod http_platform;
mod objects;
mod table;

pub use error::StoreError;
pub use hosts::{HostEntry, HostList};
pub use http_platform::{HttpPlatform, wire_format};
pub use objects::ObjectStore;
pub use table::{
    CommitOutcome, Condition, Row, RowChange, TableSnapshot, TableStore, Transaction, Version,
    WatchResponse, WatchedTable,
};
