//! Datagrams between hosts.

use serde::{Deserialize, Serialize};

use crate::admission::{AdmissionRequest, AdmissionWithdrawal};
use crate::heartbeat::HostHeartbeat;
use crate::peers::{StatusRequest, StatusResponse};
use crate::placement::FleetTarget;
use crate::prompt_parts::PartReport;
use crate::quota::{TokenRequest, TokenResponse};
use crate::slots::{
    OwnerFailure, PaceReport, SlotCommand, SlotReport, SlotRequest, SlotResponse,
    VersionedSlotRequest,
};
use crate::streams::{OriginRequest, OriginResponse, StreamOrigin};

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
    /// Target of which the sender grants a slot, for a host that does not know the targets of the group.
    Target(FleetTarget),
    /// Request for the statuses of hosts that differ from those of the sender.
    StatusRequest(StatusRequest),
    /// Response to a request for statuses.
    StatusResponse(StatusResponse),
    /// Slot request for an online request that resumes a stream, sent to the owner.
    VersionedRequest(VersionedSlotRequest),
    /// Record of the software that began a stream, sent to the hosts that hold it.
    StreamOrigin(StreamOrigin),
    /// Request for the software that began a stream, sent to the hosts that may hold its record.
    OriginRequest(OriginRequest),
    /// Response to such a request.
    OriginResponse(OriginResponse),
    /// Parts of prompts that crash targets, or that no longer do.
    PartReports(Vec<PartReport>),
}

impl HostMessage {
    /// Returns the kind of the message as metrics and log lines name it.
    pub fn kind(&self) -> &'static str {
        match self {
            HostMessage::Heartbeat(heartbeat) if heartbeat.is_join_request => "join",
            HostMessage::Heartbeat(heartbeat) if heartbeat.is_probe => "probe",
            HostMessage::Heartbeat(_) => "heartbeat",
            HostMessage::Report(_) => "slot-report",
            HostMessage::Request(_)
            | HostMessage::AdmissionRequest(_)
            | HostMessage::VersionedRequest(_) => "slot-request",
            HostMessage::Response(_) => "slot-response",
            HostMessage::Command(_) => "slot-command",
            HostMessage::OwnerFailure(_) => "owner-failure",
            HostMessage::TokenRequest(_) => "token-request",
            HostMessage::TokenResponse(_) => "token-response",
            HostMessage::PaceReport(_) => "pace-report",
            HostMessage::AdmissionWithdrawal(_) => "withdrawal",
            HostMessage::Target(_) => "target",
            HostMessage::StatusRequest(_) => "status-request",
            HostMessage::StatusResponse(_) => "status-response",
            HostMessage::StreamOrigin(_) => "stream-origin",
            HostMessage::OriginRequest(_) => "origin-request",
            HostMessage::OriginResponse(_) => "origin-response",
            HostMessage::PartReports(_) => "part-reports",
        }
    }
}
