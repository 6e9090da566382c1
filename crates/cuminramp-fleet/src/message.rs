//! Datagrams between hosts.

use serde::{Deserialize, Serialize};

use crate::heartbeat::HostHeartbeat;
use crate::slots::{OwnerFailure, SlotCommand, SlotReport, SlotRequest, SlotResponse};

/// One datagram. Each kind may get lost, come twice or come late without harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HostMessage {
    /// What a host tells of itself.
    Heartbeat(HostHeartbeat),
    /// What a host has in flight in a group, to the owner of its slots.
    Report(SlotReport),
    /// A request's question for a slot.
    Request(SlotRequest),
    /// The answer to it.
    Response(SlotResponse),
    /// What a host does with its batch items.
    Command(SlotCommand),
    /// An owner was found silent.
    OwnerFailure(OwnerFailure),
}
