//! Communication with other hosts: datagrams, and calls where a reply is needed.

mod calls;
mod heartbeats;
mod pauses;
mod socket;

pub(crate) use calls::{PeerClients, serve_calls};
pub(crate) use heartbeats::{forget_silent, greet_host, send_heartbeats, tell_all};
pub(crate) use pauses::watch_pauses;
pub(crate) use socket::{HostSocket, receive_datagrams, send_to_host};
