//! Sends and handles heartbeats.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminramp_core::{HostId, Name};
use cuminramp_fleet::{
    CrashCount, HeartbeatTimer, HostHeartbeat, HostMessage, HostStatus, KnownHost, LocalReadiness,
    StatusResponse,
};
use tokio::time::Instant;

use super::gossip::{BROADCAST_FANOUT, Gossip, StatusExchange, random_hosts};
use super::renewal::renew_incarnation;
use super::socket::{HostSocket, send_to_host};
use crate::jobs::record_reported_end;
use crate::parts::report_parts_to;
use crate::state::{GatewayState, lock};
use crate::sync::{apply_drains, is_behind, request_updates};

/// Maximum number of known hosts in a regular full heartbeat.
const MAX_HOSTS_REGULAR: usize = 2;
/// Maximum number of known hosts in the response to a join request that asks for them. If every join response
/// had them, they would make up most of the traffic when hundreds of hosts start.
const MAX_HOSTS_JOIN_RESPONSE: usize = 40;
/// Number of heartbeats per full heartbeat, which has the counts of all teams and names some known hosts.
const HEARTBEATS_PER_FULL: u64 = 16;

/// Time for which heartbeats advertise the crash count of a poison request. A lost heartbeat is followed by
/// about twenty more in this time.
const CRASH_COUNT_TTL: Duration = Duration::from_secs(2);

/// Maximum number of crash counts in one heartbeat, about 800 bytes. The counts of a mass failure would
/// otherwise exceed the receivers' buffer.
const MAX_CRASH_COUNTS: usize = 64;

/// Time for which heartbeats advertise the end of a job. A job has to stop within three seconds of its end,
/// and a lost heartbeat is followed by others in this time.
const JOB_END_TTL: Duration = Duration::from_secs(3);

/// Reason why a heartbeat is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HeartbeatKind {
    /// The heartbeat is due, or the state changed.
    Regular,
    /// The receiver should show that it is alive.
    Probe,
    /// The receiver owns teams, or would if others failed, of which this host admitted requests.
    UsageReport,
    /// The receiver may not know this host.
    JoinRequest {
        /// Whether the response should name hosts, since this host has not read the hosts table yet.
        wants_hosts: bool,
    },
    /// The receiver sent a join request.
    JoinResponse {
        /// Whether the join request asked for hosts.
        includes_hosts: bool,
    },
}

/// Returns a heartbeat with the present state of this host.
pub(super) fn make_heartbeat(state: &GatewayState, kind: HeartbeatKind) -> HostHeartbeat {
    let now = Instant::now();
    let sequence = state.heartbeat_sequence.fetch_add(1, Ordering::Relaxed);
    let uses_probes = lock(&state.peers).uses_probes();
    let is_full = match kind {
        HeartbeatKind::JoinRequest { .. } | HeartbeatKind::JoinResponse { .. } => true,
        HeartbeatKind::Probe | HeartbeatKind::UsageReport => false,
        HeartbeatKind::Regular => !uses_probes && sequence.is_multiple_of(HEARTBEATS_PER_FULL),
    };
    let known_hosts = match kind {
        HeartbeatKind::JoinResponse { includes_hosts: true } => {
            select_known_hosts(state, sequence, MAX_HOSTS_JOIN_RESPONSE)
        }
        HeartbeatKind::Regular if is_full => select_known_hosts(state, sequence, MAX_HOSTS_REGULAR),
        _ => vec![],
    };
    // Each lock is acquired and released in its own statement: acquiring one lock twice in a single
    // expression would deadlock.
    let declarations_version =
        lock(&state.declarations).current().map_or(0, |current| current.version());
    let targets_version = lock(&state.updates).targets_version();
    let drains = lock(&state.drains).advertised(is_full, now);
    // In a large fleet hosts that own none of the teams don't need their usage.
    let has_usage = is_full || !uses_probes || kind == HeartbeatKind::UsageReport;
    let usage = if has_usage { lock(&state.quota).usage(is_full, now) } else { vec![] };
    let LocalReadiness { is_ready, is_settled } = state.readiness(now);
    let (revision, statuses, status_digest) = advertise_statuses(state, now);
    let crash_counts =
        lock(&state.crashes).recent_local_crashes(CRASH_COUNT_TTL, MAX_CRASH_COUNTS, now);
    HostHeartbeat {
        host: state.known_host(),
        sequence,
        is_ready,
        has_left: state.has_left.load(Ordering::Relaxed),
        is_join_request: matches!(kind, HeartbeatKind::JoinRequest { .. }),
        wants_hosts: kind == HeartbeatKind::JoinRequest { wants_hosts: true },
        is_probe: kind == HeartbeatKind::Probe,
        revision,
        statuses,
        status_digest,
        reaches_store: state.relayed_store.is_reachable(),
        declarations_version,
        targets_version,
        usage,
        is_full,
        is_settled,
        known_hosts,
        ended: state.directory.recently_ended(JOB_END_TTL, now),
        drains,
        crash_counts: crash_counts
            .into_iter()
            .map(|(fingerprint, crashes)| CrashCount { fingerprint, crashes })
            .collect(),
    }
}

/// Returns the revision of this host's status, the statuses of others that it passes on, and the digest of all.
fn advertise_statuses(state: &GatewayState, now: Instant) -> (u32, Vec<HostStatus>, u64) {
    let readiness = state.readiness(now);
    let (has_left, reaches_store) =
        (state.has_left.load(Ordering::Relaxed), state.relayed_store.is_reachable());
    let mut peers = lock(&state.peers);
    peers.set_local_status(readiness, has_left, reaches_store);
    if !peers.uses_probes() {
        return (peers.local_revision(), vec![], 0);
    }
    (peers.local_revision(), peers.recent_statuses(now), peers.status_digest())
}

/// Returns up to `limit` known hosts that have not left. The first one depends on `sequence`, so that all
/// hosts are named in turn.
fn select_known_hosts(state: &GatewayState, sequence: u64, limit: usize) -> Vec<KnownHost> {
    let peers = lock(&state.peers);
    let all: Vec<&KnownHost> =
        peers.iter().filter(|record| !record.has_left).map(|record| &record.host).collect();
    let skip = if all.is_empty() { 0 } else { sequence as usize % all.len() };
    all.iter().cycle().skip(skip).take(limit.min(all.len())).map(|host| (*host).clone()).collect()
}

/// Returns the addresses of other hosts that have not left: those in this host's zone if `is_near`, otherwise
/// those in all other zones.
fn peer_addresses(state: &GatewayState, is_near: bool) -> Vec<Name> {
    let peers = lock(&state.peers);
    let chosen = peers.iter().filter(|record| {
        !record.has_left && (record.host.zone == state.local_host.zone) == is_near
    });
    chosen.map(|record| record.host.address.clone()).collect()
}

/// Sends a join request to a seed, which is to name the hosts that it knows.
pub(crate) async fn send_seed_request(state: &Arc<GatewayState>, address: &Name) {
    let heartbeat = make_heartbeat(state, HeartbeatKind::JoinRequest { wants_hosts: true });
    send_to_host(state, HostMessage::Heartbeat(heartbeat), address).await;
}

/// Sends a join request to a host that may not know this one.
pub(crate) async fn send_join_request(state: &Arc<GatewayState>, address: &Name) {
    let heartbeat = make_heartbeat(state, HeartbeatKind::JoinRequest { wants_hosts: false });
    send_to_host(state, HostMessage::Heartbeat(heartbeat), address).await;
}

/// Sends heartbeats shortly after changes and at intervals. Runs until its task is cancelled.
pub(crate) async fn send_heartbeats(state: Arc<GatewayState>) {
    let Some(socket) = state.socket.get() else { return };
    let mut timer = HeartbeatTimer::new(Instant::now());
    let mut gossip = Gossip::new(Instant::now());
    loop {
        let schedule = lock(&state.peers).schedule();
        tokio::select! {
            () = tokio::time::sleep_until(timer.next_due()) => {}
            () = state.heartbeat_requested.notified() => {
                timer.bring_forward(&schedule, Instant::now());
                continue;
            }
        }
        let (is_near_due, is_far_due) = timer.take_due(&schedule, Instant::now());
        if schedule.uses_probes() {
            if is_near_due {
                gossip.run_step(&state).await;
            }
            update_alive_share(&state);
            continue;
        }
        let mut receivers = Vec::new();
        if is_near_due {
            receivers.extend(peer_addresses(&state, true));
        }
        if is_far_due {
            receivers.extend(peer_addresses(&state, false));
        }
        send_heartbeat(&state, socket, &receivers).await;
        update_alive_share(&state);
    }
}

/// Sends a heartbeat to every other host at once, and sends it twice, since a datagram may get lost. In a large
/// fleet some hosts receive it and pass the status on.
pub(crate) async fn broadcast_heartbeat(state: &Arc<GatewayState>) {
    let Some(socket) = state.socket.get() else { return };
    if lock(&state.peers).uses_probes() {
        for _ in 0..2 {
            let receivers = random_hosts(state, BROADCAST_FANOUT);
            send_heartbeat(state, socket, &receivers).await;
        }
        return;
    }
    for _ in 0..2 {
        send_heartbeat(state, socket, &peer_addresses(state, true)).await;
        send_heartbeat(state, socket, &peer_addresses(state, false)).await;
    }
}

/// Sends a regular heartbeat to the addresses in `to`.
pub(super) async fn send_heartbeat(state: &GatewayState, socket: &HostSocket, to: &[Name]) {
    let heartbeat = make_heartbeat(state, HeartbeatKind::Regular);
    socket.send(&HostMessage::Heartbeat(heartbeat), to).await;
}

/// Updates the quota's share of hosts that are alive.
fn update_alive_share(state: &GatewayState) {
    let now = Instant::now();
    let (alive, all) = lock(&state.peers).count_rate_shares(now);
    lock(&state.quota).set_alive_share(alive, all);
}

/// Handles a heartbeat received from address `from`.
///
/// Replies if the heartbeat is a join request, and sends a join request to each host that it names whose
/// incarnation is new here.
pub(super) async fn handle_heartbeat(
    state: &Arc<GatewayState>,
    heartbeat: HostHeartbeat,
    from: Name,
) {
    let now = Instant::now();
    let (is_join_request, includes_hosts) = (heartbeat.is_join_request, heartbeat.wants_hosts);
    let is_probe = heartbeat.is_probe;
    let address = heartbeat.host.address.clone();
    let known_hosts = heartbeat.known_hosts.clone();
    let exchange = StatusExchange::new(&heartbeat);
    let later_run = lock(&state.peers).later_run_of(&heartbeat.host);
    let is_applied = apply_heartbeat(state, heartbeat, now);
    if let Some(status) = later_run.filter(|_| !is_applied) {
        // Either an old message, or the host's clock was ahead during its earlier run.
        let response = StatusResponse { statuses: vec![status], has_more: false };
        send_to_host(state, HostMessage::StatusResponse(response), &from).await;
    }
    if is_applied && is_join_request {
        let response = make_heartbeat(state, HeartbeatKind::JoinResponse { includes_hosts });
        send_to_host(state, HostMessage::Heartbeat(response), &from).await;
    } else if is_applied && is_probe {
        let response = make_heartbeat(state, HeartbeatKind::Regular);
        send_to_host(state, HostMessage::Heartbeat(response), &from).await;
    }
    if is_applied {
        exchange.run(state, now).await;
    }
    discover_known_hosts(state, known_hosts, &address, now).await;
    renew_incarnation(state);
}

/// Records the hosts that a heartbeat of the host `source` names, and sends a join request to each new one.
async fn discover_known_hosts(
    state: &Arc<GatewayState>,
    known_hosts: Vec<KnownHost>,
    source: &Name,
    now: Instant,
) {
    // A response with as many hosts as fit is one of a larger fleet. Its hosts learn of this one by its row and its
    // heartbeats; join requests to all that each response names would be most of the traffic at a start.
    let is_complete = known_hosts.len() < MAX_HOSTS_JOIN_RESPONSE;
    for host in known_hosts {
        let is_new = lock(&state.peers).discover(&host, now);
        if is_new && is_complete && !lock(&state.peers).uses_probes() {
            log::info!(peer = &*host.address, incarnation = host.incarnation, source = &**source; "host-known");
            send_join_request(state, &host.address).await;
        }
    }
}

/// Applies a heartbeat to the state of this host. Returns `false` if the heartbeat is outdated, or is this
/// host's own.
fn apply_heartbeat(state: &Arc<GatewayState>, heartbeat: HostHeartbeat, now: Instant) -> bool {
    let id =
        HostId { address: heartbeat.host.address.clone(), incarnation: heartbeat.host.incarnation };
    let received = heartbeat.clone();
    let mut peers = lock(&state.peers);
    let earlier_run = peers.get(&id.address).map_or(0, |record| record.host.incarnation);
    let was_alive = peers.get(&id.address).map(|record| peers.is_alive(record, now));
    let uses_probes = peers.uses_probes();
    if !peers.receive_heartbeat(heartbeat, now) {
        return false;
    }
    drop(peers);
    if earlier_run > id.incarnation {
        log::warn!(
            peer = &*id.address, incarnation = id.incarnation, earlier = earlier_run;
            "run-behind-earlier-one"
        );
        state.slots.forget_grants(&id.address);
    }
    let was_silent = was_alive != Some(true);
    if was_silent {
        exchange_state_with(state, &id, received.is_full, uses_probes);
    }
    // Drains are applied before newer declarations are requested: once declarations are in force, requests
    // are sent to targets.
    apply_drains(state, received.drains.clone(), &id.address);
    lock(&state.quota).receive_heartbeat(&received, was_silent, uses_probes, now);
    for ended in &received.ended {
        record_reported_end(state, ended, &id);
    }
    for count in &received.crash_counts {
        lock(&state.crashes).merge(count.fingerprint, count.crashes, now);
    }
    if is_behind(state, &received) {
        request_newer_tables(state, id.address);
    }
    true
}

/// Exchanges what a host needs that is heard for the first time, or again. `is_full` tells whether it sent a full
/// heartbeat.
fn exchange_state_with(state: &Arc<GatewayState>, id: &HostId, is_full: bool, uses_probes: bool) {
    let (reporting, address) = (state.clone(), id.address.clone());
    tokio::spawn(async move { report_parts_to(&reporting, &address).await });
    if !uses_probes {
        // In a large fleet the statuses of others tell so first, and the load line has the sum.
        log::info!(peer = &*id.address, incarnation = id.incarnation; "host-heard");
        update_alive_share(state);
    }
    let needs_full = !uses_probes || lock(&state.quota).needs_full_heartbeat(id);
    if !is_full && needs_full {
        // The quota needs a full heartbeat as the baseline of the host's counts. The response to a join request is
        // one.
        let (state, address) = (state.clone(), id.address.clone());
        tokio::spawn(async move { send_join_request(&state, &address).await });
    }
}

/// Requests newer declarations or targets from a host, unless such a request is under way.
fn request_newer_tables(state: &Arc<GatewayState>, address: Name) {
    let Ok(permit) = state.update_request_permit.try_acquire() else { return };
    permit.forget();
    let state = state.clone();
    tokio::spawn(async move {
        request_updates(state.clone(), address).await;
        state.update_request_permit.add_permits(1);
    });
}

/// Marks hosts that fell silent, so that the quota reserves their part of each rate, and logs each of them.
///
/// `silent` holds the silent hosts of the previous call, sorted, and is replaced by the present ones.
pub(crate) fn mark_silent_hosts(state: &GatewayState, silent: &mut Vec<HostId>) {
    let now = Instant::now();
    let peers = lock(&state.peers);
    let uses_probes = peers.uses_probes();
    let mut now_silent: Vec<HostId> = peers
        .iter()
        .filter(|record| record.heartbeat.is_some() && !peers.is_alive(record, now))
        .map(|record| record.id())
        .collect();
    drop(peers);
    now_silent.sort_unstable();
    for id in &now_silent {
        if silent.binary_search(id).is_err() {
            // Silence is expected from a host that reported that it has left.
            let has_left = lock(&state.peers).get(&id.address).is_some_and(|host| host.has_left);
            // Where hosts probe each other, the one that found it silent logs it.
            if !has_left && !uses_probes {
                log::warn!(peer = &*id.address, incarnation = id.incarnation; "host-silent");
            }
            lock(&state.quota).mark_silent(id);
        }
    }
    *silent = now_silent;
}
