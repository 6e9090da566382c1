//! Connections to targets, requests sent over them, and the events of their responses.

mod connections;
mod errors;
mod events;
mod framing;
mod head_limit;
mod progress;
mod send;

pub(crate) use connections::{TargetConnection, TargetConnections, UNACKNOWLEDGED_TIMEOUT};
pub(crate) use errors::{describe_error, is_path_cut};
pub(crate) use events::{EventOrder, EventSplitter, StreamEnd};
pub(crate) use framing::ResponseFraming;
pub(crate) use send::{
    SendFailure, TargetRequest, TargetResponse, TargetRun, record_silent_target, send_request,
};
