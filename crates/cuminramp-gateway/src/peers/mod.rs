//! Talk with other hosts: beats over UDP, and the few calls that need an answer.

mod beats;
mod calls;
mod clock;

pub(crate) use beats::{
    BeatSocket, forget_silent, greet_host, receive_beats, send_beats, tell_all,
};
pub(crate) use calls::{PeerClients, serve_calls};
pub(crate) use clock::watch_pauses;
