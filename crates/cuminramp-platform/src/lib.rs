//! Borders to the platform: table, object store and host list, with their HTTP clients.
//!
//! The traits say what the daemon asks of the platform. Each error tells whether a write surely
//! had no effect or may have had one; nothing else about an outage matters to the decisions.

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
