//! Generated messages and rows, and the service between daemons.
//!
//! The messages are written by `tools/generate-wire` from the `.proto` files beside this crate and
//! committed, so that the build needs no generator. Fields are only ever added, never renumbered:
//! daemons of two versions talk to each other while hosts are replaced one by one.

mod encoded;
mod fleet_service;
mod service;

/// Rows and messages of hosts that share a fleet.
#[allow(missing_docs)]
pub mod fleet {
    include!("generated/cuminramp.fleet.rs");
}

/// Messages between daemons.
#[allow(missing_docs)]
pub mod peer {
    include!("generated/cuminramp.peer.rs");
}

/// Rows of the platform's table.
#[allow(missing_docs)]
pub mod rows {
    include!("generated/cuminramp.rows.rs");
}

pub use encoded::{Encoded, decode_row, encode_row};
pub use fleet_service::{FleetService, FleetServiceClient};
pub use service::{PeerService, PeerServiceClient};
