//! Protobuf messages and table rows, and the RPC services between daemons and between hosts.
//!
//! `tools/generate-wire` generates the messages from the `.proto` files in this crate's `proto`
//! folder. The generated code is committed, so that a build needs no generator.
//!
//! Fields are only added, never renumbered: during a rolling upgrade, daemons of two versions
//! exchange these messages.

mod encoded;
mod fleet_service;
mod service;

/// Table rows of gateways, the hosts that share a fleet, and the messages between them.
#[allow(missing_docs)]
pub mod fleet {
    include!("generated/cuminramp.fleet.rs");
}

/// Messages between daemons.
#[allow(missing_docs)]
pub mod peer {
    include!("generated/cuminramp.peer.rs");
}

/// Table rows of daemons.
#[allow(missing_docs)]
pub mod rows {
    include!("generated/cuminramp.rows.rs");
}

pub use encoded::{Encoded, decode_row, encode_row};
pub use fleet_service::{FleetService, FleetServiceClient};
pub use service::{PeerService, PeerServiceClient};
