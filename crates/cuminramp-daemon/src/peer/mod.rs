//! Calls between daemons: client, server and failure detection by probes.

mod caller;
mod probing;
mod server;

pub(crate) use caller::TarpcPeers;
pub(crate) use probing::{run_probes, spread_updates};
pub(crate) use server::serve_peers;

/// Maximum size of a message between daemons in bytes.
const MAX_FRAME_BYTES: usize = 256 << 20;
