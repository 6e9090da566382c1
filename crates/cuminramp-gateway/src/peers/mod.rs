//! Communication with other hosts: datagrams, and calls where a reply is needed.

mod calls;
mod gossip;
mod heartbeats;
mod pauses;
mod renewal;
mod socket;
mod traffic;

pub(crate) use calls::{PeerClients, serve_calls};
pub(crate) use gossip::random_hosts;
pub(crate) use heartbeats::{
    broadcast_heartbeat, mark_silent_hosts, send_heartbeats, send_join_request, send_seed_request,
};
pub(crate) use pauses::PauseDetector;
pub(crate) use renewal::renew_incarnation;
pub(crate) use socket::{HostSocket, receive_datagrams, send_to_host, try_send_to_host};
