//! Talk with other hosts: datagrams, and the few calls that need an answer.

mod beats;
mod calls;
mod clock;
mod socket;

pub(crate) use beats::{forget_silent, greet_host, send_beats, tell_all};
pub(crate) use calls::{PeerClients, serve_calls};
pub(crate) use clock::watch_pauses;
pub(crate) use socket::{HostSocket, receive_datagrams, send_to_host};
