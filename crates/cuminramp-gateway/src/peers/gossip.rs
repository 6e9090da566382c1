//! Exchange of statuses and reports between the hosts of a large fleet.
//!
//! Each host probes a few others, sends what changed to a few at random, and its usage of teams to the owners of
//! these teams. In smaller fleets, hosts send heartbeats to all others instead.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::Name;
use cuminramp_fleet::{
    HostHeartbeat, HostMessage, HostStatus, PROBE_INTERVAL, StatusRequest, StatusResponse,
};
use tokio::time::Instant;

use super::heartbeats::{HeartbeatKind, make_heartbeat, send_heartbeat};
use super::renewal::renew_incarnation;
use super::socket::send_to_host;
use crate::state::{GatewayState, lock};

/// Numbers of random hosts of the own zone and of other zones that receive a change.
const CHANGE_FANOUT: (usize, usize) = (2, 1);
/// Numbers of random hosts of the own zone and of other zones that learn that this host leaves.
pub(super) const BROADCAST_FANOUT: (usize, usize) = (16, 4);
/// Interval between two reports of usage. Each admission is reported two or three times, since a report may get
/// lost.
const USAGE_INTERVAL: Duration = Duration::from_millis(700);
/// Number of hosts that receive the usage of a team: its owner and those that would follow it.
const USAGE_RECEIVERS: usize = 3;

/// Times of the last probes and reports of usage.
#[derive(Debug)]
pub(super) struct Gossip {
    probed_at: Option<Instant>,
    reported_at: Instant,
}

impl Gossip {
    pub(super) fn new(now: Instant) -> Self {
        Gossip { probed_at: None, reported_at: now }
    }

    /// Sends the probes that are due, or otherwise what has changed, and the reports that are due.
    pub(super) async fn run_step(&mut self, state: &Arc<GatewayState>) {
        let now = Instant::now();
        let is_due = self.probed_at.is_none_or(|at| now.duration_since(at) >= PROBE_INTERVAL);
        if is_due {
            self.probed_at = Some(now);
            let step = {
                let mut peers = lock(&state.peers);
                let mut random = lock(&state.random);
                peers.step_probes(&mut **random, now)
            };
            for id in &step.silenced {
                log::warn!(peer = &*id.address, incarnation = id.incarnation; "host-silent");
                state.request_heartbeat();
            }
            send(state, HeartbeatKind::Probe, &step.probed).await;
        } else if let Some(socket) = state.socket.get() {
            send_heartbeat(state, socket, &random_hosts(state, CHANGE_FANOUT)).await;
        }
        if now.duration_since(self.reported_at) >= USAGE_INTERVAL {
            self.reported_at = now;
            send(state, HeartbeatKind::UsageReport, &report_receivers(state, now)).await;
        }
    }
}

async fn send(state: &GatewayState, kind: HeartbeatKind, receivers: &[Name]) {
    if let Some(socket) = state.socket.get().filter(|_| !receivers.is_empty()) {
        let heartbeat = make_heartbeat(state, kind);
        socket.send(&HostMessage::Heartbeat(heartbeat), receivers).await;
    }
}

/// Returns the addresses of random alive hosts: up to `fanout.0` of this host's zone and up to `fanout.1` of
/// others.
pub(crate) fn random_hosts(state: &GatewayState, fanout: (usize, usize)) -> Vec<Name> {
    let now = Instant::now();
    let peers = lock(&state.peers);
    let (mut near, mut far): (Vec<&Name>, Vec<&Name>) = (Vec::new(), Vec::new());
    for record in peers.iter().filter(|record| !record.has_left && peers.is_alive(record, now)) {
        let is_near = record.host.zone == state.local_host.zone;
        if is_near { &mut near } else { &mut far }.push(&record.host.address);
    }
    let mut chosen = Vec::new();
    for (hosts, count) in [(&mut near, fanout.0), (&mut far, fanout.1)] {
        for _ in 0..count.min(hosts.len()) {
            chosen.push(hosts.swap_remove(state.random_below(hosts.len())).clone());
        }
    }
    chosen
}

/// Returns the hosts that need a report of this one: those that own teams whose requests it admitted, or would
/// if others failed; the holders of jobs that callers ended through it; and all hosts if a request crashed
/// targets, which is rare.
fn report_receivers(state: &GatewayState, now: Instant) -> Vec<Name> {
    let recent = USAGE_INTERVAL * 2;
    if !lock(&state.crashes).recent_local_crashes(recent, 1, now).is_empty() {
        return lock(&state.peers).iter().map(|record| record.host.address.clone()).collect();
    }
    let mut receivers = state.directory.holders_of_ended(recent, now);
    let teams = lock(&state.quota).reported_teams(now);
    let readiness = state.readiness(now);
    let peers = lock(&state.peers);
    for team in teams {
        let owners = state.slots.team_owners(&team, &peers, readiness, USAGE_RECEIVERS, now);
        receivers.extend(owners.into_iter().map(|owner| owner.address));
    }
    receivers.sort_unstable();
    receivers.dedup();
    receivers.retain(|address| *address != state.local_host.address);
    receivers
}

/// What a heartbeat says of the statuses of hosts.
#[derive(Debug)]
pub(super) struct StatusExchange {
    address: Name,
    zone: Name,
    revision: u32,
    digest: u64,
    statuses: Vec<HostStatus>,
}

impl StatusExchange {
    pub(super) fn new(heartbeat: &HostHeartbeat) -> Self {
        StatusExchange {
            address: heartbeat.host.address.clone(),
            zone: heartbeat.host.zone.clone(),
            revision: heartbeat.revision,
            digest: heartbeat.status_digest,
            statuses: heartbeat.statuses.clone(),
        }
    }

    /// Applies the statuses, requests those that are missing, and tells a host that is recorded as silent so
    /// that it refutes it.
    pub(super) async fn run(self, state: &Arc<GatewayState>, now: Instant) {
        let (has_news, wrong_status, request) = {
            let mut peers = lock(&state.peers);
            if !peers.uses_probes() {
                return;
            }
            let has_news = peers.merge_statuses(&self.statuses, true, now);
            let recorded = peers.status_of(&self.address);
            let wrong_status =
                recorded.filter(|status| status.is_silent && status.revision >= self.revision);
            (has_news, wrong_status, peers.request_statuses(&self.zone, self.digest, now))
        };
        if has_news {
            state.request_heartbeat();
        }
        if let Some(status) = wrong_status {
            let response = StatusResponse { statuses: vec![status], has_more: false };
            send_to_host(state, HostMessage::StatusResponse(response), &self.address).await;
        }
        if let Some(request) = request {
            send_to_host(state, HostMessage::StatusRequest(request), &self.address).await;
        }
    }
}

/// Handles a request of another host for the statuses that it lacks.
pub(super) async fn handle_status_request(
    state: &GatewayState,
    from: &Name,
    request: StatusRequest,
) {
    let response = {
        let peers = lock(&state.peers);
        let mut random = lock(&state.random);
        peers.answer_status_request(&request, &mut **random)
    };
    send_to_host(state, HostMessage::StatusResponse(response), from).await;
}

/// Handles a response to a request for statuses, and requests the rest.
pub(super) async fn handle_status_response(
    state: &Arc<GatewayState>,
    from: &Name,
    response: StatusResponse,
) {
    let now = Instant::now();
    let (has_news, request) = {
        let mut peers = lock(&state.peers);
        let is_own =
            response.statuses.iter().any(|status| status.host.address == state.local_host.address);
        let has_news = peers.merge_statuses(&response.statuses, false, now);
        let request = (response.has_more && has_news).then(|| peers.status_request());
        (has_news && is_own, request)
    };
    renew_incarnation(state);
    if has_news {
        // This host was recorded as silent; the next heartbeats refute it.
        state.request_heartbeat();
    }
    if let Some(request) = request {
        send_to_host(state, HostMessage::StatusRequest(request), from).await;
    }
}
