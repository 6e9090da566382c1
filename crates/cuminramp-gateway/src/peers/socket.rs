//! The socket for datagrams between hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use cuminramp_core::Name;
use cuminramp_fleet::HostMessage;
use tokio::net::UdpSocket;

use super::gossip::{handle_status_request, handle_status_response};
use super::heartbeats::handle_heartbeat;
use super::traffic::PeerTraffic;
use crate::metrics::DatagramCounters;
use crate::parts::handle_part_reports;
use crate::slots::{
    handle_admission_request, handle_admission_withdrawal, handle_command, handle_owner_failure,
    handle_pace_report, handle_report, handle_request, handle_response, handle_target,
};
use crate::state::GatewayState;
use crate::streams::{handle_origin_request, handle_origin_response, handle_stream_origin};
use crate::tokens::{handle_token_request, handle_token_response};

/// Size of the receive buffer in bytes. A longer datagram is truncated and rejected as unreadable.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// Sends and receives datagrams.
#[derive(Debug)]
pub(crate) struct HostSocket {
    socket: UdpSocket,
    traffic: PeerTraffic,
}

impl HostSocket {
    /// Binds the socket to `address`.
    pub(crate) async fn bind(
        address: &str,
        counters: DatagramCounters,
    ) -> Result<Self, std::io::Error> {
        let socket = UdpSocket::bind(address).await?;
        Ok(HostSocket { socket, traffic: PeerTraffic::new(counters) })
    }

    /// Returns the counts of datagrams.
    pub(crate) fn traffic(&self) -> &PeerTraffic {
        &self.traffic
    }

    /// Sends a message to each address in `to`. A failed send is ignored.
    pub(crate) async fn send(&self, message: &HostMessage, to: &[Name]) {
        let bytes = match postcard::to_allocvec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                let reason = error.to_string();
                log::error!(reason = reason.as_str(); "datagram-unwritable");
                return;
            }
        };
        self.traffic.count_sent(message.kind(), to.len(), bytes.len());
        for address in to {
            // A failed send equals a lost datagram; the next message replaces it.
            let _ = self.socket.send_to(&bytes, &**address).await;
        }
    }
}

/// Sends a message to one host.
pub(crate) async fn send_to_host(state: &GatewayState, message: HostMessage, to: &Name) {
    if let Some(socket) = state.socket.get() {
        socket.send(&message, std::slice::from_ref(to)).await;
    }
}

/// Sends a message to one host if that is possible without waiting, for callers that can't wait.
pub(crate) fn try_send_to_host(state: &GatewayState, message: &HostMessage, to: &Name) {
    let (Some(socket), Ok(address)) = (state.socket.get(), to.parse::<SocketAddr>()) else {
        return;
    };
    if let Ok(bytes) = postcard::to_allocvec(message) {
        socket.traffic.count_sent(message.kind(), 1, bytes.len());
        // A failed send equals a lost datagram.
        let _ = socket.socket.try_send_to(&bytes, address);
    }
}

/// Receives and handles datagrams. Runs until its task is cancelled.
pub(crate) async fn receive_datagrams(state: Arc<GatewayState>) {
    let Some(socket) = state.socket.get() else { return };
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // If a host is gone, the kernel reports an earlier send to it as refused.
                log::debug!(reason = error.to_string().as_str(); "datagram-not-received");
                continue;
            }
        };
        match postcard::from_bytes::<HostMessage>(&buffer[..length]) {
            Ok(message) => {
                socket.traffic.count_received(message.kind(), length);
                handle_message(&state, message, from).await;
            }
            Err(error) => {
                let (reason, from) = (error.to_string(), from.to_string());
                log::warn!(from = from.as_str(), reason = reason.as_str(); "datagram-unreadable");
            }
        }
    }
}

/// Passes a message to the handler of its kind.
async fn handle_message(state: &Arc<GatewayState>, message: HostMessage, from: SocketAddr) {
    let address: Name = from.to_string().into();
    match message {
        HostMessage::Heartbeat(heartbeat) => handle_heartbeat(state, heartbeat, address).await,
        HostMessage::Report(report) => handle_report(state, &address, report).await,
        HostMessage::Request(slot_request) => {
            handle_request(state, &address, slot_request, None).await;
        }
        HostMessage::VersionedRequest(request) => {
            handle_request(state, &address, request.slot_request, Some(request.software)).await;
        }
        HostMessage::Response(response) => handle_response(state, &address, response),
        HostMessage::Command(command) => handle_command(state, &address, command),
        HostMessage::Target(target) => handle_target(state, target),
        HostMessage::TokenRequest(request) => handle_token_request(state, &address, request).await,
        HostMessage::TokenResponse(response) => handle_token_response(state, response),
        HostMessage::OwnerFailure(failure) => handle_owner_failure(state, &address, &failure),
        HostMessage::PaceReport(report) => handle_pace_report(state, &report),
        HostMessage::AdmissionRequest(request) => {
            handle_admission_request(state, &address, request).await;
        }
        HostMessage::AdmissionWithdrawal(withdrawal) => {
            handle_admission_withdrawal(state, &address, withdrawal).await;
        }
        HostMessage::StreamOrigin(origin) => handle_stream_origin(state, origin),
        HostMessage::OriginRequest(request) => {
            handle_origin_request(state, &address, request).await;
        }
        HostMessage::OriginResponse(response) => handle_origin_response(state, &address, response),
        HostMessage::PartReports(reports) => handle_part_reports(state, &reports),
        HostMessage::StatusRequest(request) => {
            handle_status_request(state, &address, request).await;
        }
        HostMessage::StatusResponse(response) => {
            handle_status_response(state, &address, response).await;
        }
    }
}

#[cfg(test)]
mod tests;
