//! Datagrams between hosts.

use serde::{Deserialize, Serialize};

use crate::admission::{AdmissionRequest, AdmissionWithdrawal};
use crate::heartbeat::HostHeartbeat;
use crate::quota::{TokenRequest, TokenResponse};
use crate::slots::{OwnerFailure, PaceReport, SlotCommand, SlotReport, SlotRequest, SlotResponse};

/// Content of one datagram. A lost, repeated or late datagram of any kind does no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HostMessage {
    /// State that a host reports about itself.
    Heartbeat(HostHeartbeat),
    /// Load that a host has in flight at a group's targets, sent to the owner of the group's slots.
    Report(SlotReport),
    /// Slot request for one online request, sent to the owner.
    Request(SlotRequest),
    /// Response of the owner to a slot request.
    Response(SlotResponse),
    /// Command of the owner to start or preempt a host's batch items.
    Command(SlotCommand),
    /// Report that the owner of a group is silent.
    OwnerFailure(OwnerFailure),
    /// Request for a token of a team, sent to the owner of the team.
    TokenRequest(TokenRequest),
    /// Response of the owner to a token request.
    TokenResponse(TokenResponse),
    /// Paces that targets of a group reported to a host, sent to the owner of the group.
    PaceReport(PaceReport),
    /// Request for a slot of a group with an admission queue, sent to the owner.
    AdmissionRequest(AdmissionRequest),
    /// Notice that a request no longer waits in the owner's admission queue.
    AdmissionWithdrawal(AdmissionWithdrawal),
}
