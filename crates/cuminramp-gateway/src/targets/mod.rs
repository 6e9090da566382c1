//! Connections to targets, and sends over them.

mod connections;
mod events;
mod send;

pub(crate) use connections::{TargetConnections, TargetLease};
pub(crate) use events::{EventOrder, EventSplitter};
pub(crate) use send::{SendFailure, TargetAnswer, TargetRequest, TargetRun, send_request};
