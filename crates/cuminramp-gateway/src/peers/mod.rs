//! Communication with other hosts: datagrams, and calls where a reply is needed.

mod calls;
mod clock;
mod heartbeats;
mod socket;

pub(crate) use calls::{PeerClients, serve_calls};
pub(crate) use clock::watch_pauses;
pub(crate) use heartbeats::{forget_silent, greet_host, send_heartbeats, tell_all};
pub(crate) use socket::{HostSocket, receive_datagrams, send_to_host};
