//! Talk between daemons.

mod caller;
mod rhythm;
mod server;

pub(crate) use caller::TarpcPeers;
pub(crate) use rhythm::{run_rhythm, spread_updates};
pub(crate) use server::serve_peers;

/// The largest message between daemons.
const MAX_FRAME_BYTES: usize = 256 << 20;
