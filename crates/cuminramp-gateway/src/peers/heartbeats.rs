//! Sends and takes heartbeats.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminramp_core::{HostId, Name};
use cuminramp_fleet::{CrashCount, HeartbeatTimer, HostHeartbeat, HostMessage, KnownHost};
use tokio::time::Instant;

use super::socket::{HostSocket, send_to_host};
use crate::jobs::notice_end;
use crate::state::{GatewayState, lock};
use crate::sync::{request_updates, take_drains};

/// Hosts that a whole heartbeat names.
const KNOWN_IN_HEARTBEAT: usize = 2;
/// Hosts that a heartbeat names to one that knows hardly any. Named to each host that greets, they would be
/// most of the bytes of a start of hundreds of hosts.
const KNOWN_IN_ANSWER: usize = 40;
/// Every so many heartbeats tell the counts of all teams and name some hosts.
const WHOLE_EVERY: u64 = 16;

/// How long a request that broke targets is told to others; heartbeats that get lost are followed by
/// some twenty more.
const TELL_SUSPECTS_FOR: Duration = Duration::from_secs(2);

/// Such requests in one heartbeat: some 800 bytes, where all of a mass failure would be more than
/// receivers read.
const MOST_SUSPECTS: usize = 64;

/// How long the end of a job is told: a job has to stop within three seconds of its end, and heartbeats
/// that get lost are followed by others.
const TELL_ENDS_FOR: Duration = Duration::from_secs(3);

/// Why a heartbeat goes out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeartbeatKind {
    /// It is time, or something changed.
    Usual,
    /// The receiver may not know this host.
    Greeting {
        /// Whether this host knows hardly any others.
        wants_hosts: bool,
    },
    /// The receiver greeted this host.
    Answer {
        /// Whether it asked for hosts.
        names_hosts: bool,
    },
}

fn make_heartbeat(state: &GatewayState, kind: HeartbeatKind) -> HostHeartbeat {
    let now = Instant::now();
    let sequence = state.heartbeat_sequence.fetch_add(1, Ordering::Relaxed);
    let is_usage_full = kind != HeartbeatKind::Usual || sequence.is_multiple_of(WHOLE_EVERY);
    let known_hosts = match kind {
        HeartbeatKind::Answer { names_hosts: true } => some_known(state, sequence, KNOWN_IN_ANSWER),
        HeartbeatKind::Usual if is_usage_full => some_known(state, sequence, KNOWN_IN_HEARTBEAT),
        _ => vec![],
    };
    // Each lock is taken and released in a statement of its own: two of one lock in one expression
    // would stop the host for good.
    let declarations = lock(&state.declarations).current().map_or(0, |held| held.version());
    let targets = lock(&state.updates).targets_version();
    let drains = lock(&state.drains).advertised(is_usage_full, now);
    let quota = lock(&state.quota);
    let (usage, is_settled) = (quota.usage(is_usage_full, now), quota.is_settled(now));
    drop(quota);
    let suspects = lock(&state.crashes).seen_lately(TELL_SUSPECTS_FOR, MOST_SUSPECTS, now);
    HostHeartbeat {
        host: state.me.clone(),
        sequence,
        is_ready: state.is_ready(),
        has_left: state.has_left.load(Ordering::Relaxed),
        wants_answer: matches!(kind, HeartbeatKind::Greeting { .. }),
        wants_hosts: kind == HeartbeatKind::Greeting { wants_hosts: true },
        reaches_store: state.relay.is_reached(),
        declarations,
        targets,
        usage,
        is_usage_full,
        is_settled,
        known_hosts,
        ended: state.directory.ended_lately(TELL_ENDS_FOR, now),
        drains,
        crash_counts: suspects
            .into_iter()
            .map(|(fingerprint, crashes)| CrashCount { fingerprint, crashes })
            .collect(),
    }
}

/// Some of the hosts that are known, others each time.
fn some_known(state: &GatewayState, sequence: u64, most: usize) -> Vec<KnownHost> {
    let peers = lock(&state.peers);
    let all: Vec<&KnownHost> =
        peers.iter().filter(|record| !record.has_left).map(|record| &record.host).collect();
    let skip = if all.is_empty() { 0 } else { sequence as usize % all.len() };
    all.iter().cycle().skip(skip).take(most.min(all.len())).map(|host| (*host).clone()).collect()
}

fn addresses(state: &GatewayState, is_near: bool) -> Vec<Name> {
    let peers = lock(&state.peers);
    let chosen = peers
        .iter()
        .filter(|record| !record.has_left && (record.host.zone == state.me.zone) == is_near);
    chosen.map(|record| record.host.address.clone()).collect()
}

/// Greets a host that may not know this one.
pub(crate) async fn greet_host(state: &Arc<GatewayState>, address: &Name) {
    let wants_hosts = !state.has_read_hosts.load(Ordering::Relaxed);
    let heartbeat = make_heartbeat(state, HeartbeatKind::Greeting { wants_hosts });
    send_to_host(state, HostMessage::Heartbeat(heartbeat), address).await;
}

/// Sends heartbeats until the gateway stops: soon after changes, and at intervals.
pub(crate) async fn send_heartbeats(state: Arc<GatewayState>) {
    let Some(socket) = state.socket.get() else { return };
    let mut times = HeartbeatTimer::new(Instant::now());
    loop {
        let schedule = lock(&state.peers).schedule();
        tokio::select! {
            () = tokio::time::sleep_until(times.next()) => {}
            () = state.heartbeat_wanted.notified() => {
                times.bring_forward(&schedule, Instant::now());
                continue;
            }
        }
        let (is_near_due, is_far_due) = times.take_due(&schedule, Instant::now());
        let mut receivers = Vec::new();
        if is_near_due {
            receivers.extend(addresses(&state, true));
        }
        if is_far_due {
            receivers.extend(addresses(&state, false));
        }
        send_heartbeat(&state, socket, &receivers).await;
        renew_share(&state);
    }
}

/// Tells everybody, at once and twice, since a datagram may get lost.
pub(crate) async fn tell_all(state: &Arc<GatewayState>) {
    let Some(socket) = state.socket.get() else { return };
    for _ in 0..2 {
        send_heartbeat(state, socket, &addresses(state, true)).await;
        send_heartbeat(state, socket, &addresses(state, false)).await;
    }
}

async fn send_heartbeat(state: &GatewayState, socket: &HostSocket, to: &[Name]) {
    let heartbeat = make_heartbeat(state, HeartbeatKind::Usual);
    socket.send(&HostMessage::Heartbeat(heartbeat), to).await;
}

fn renew_share(state: &GatewayState) {
    let now = Instant::now();
    let (heard, all) = lock(&state.peers).count_alive(now);
    lock(&state.quota).set_alive_share(heard, all);
}

/// Takes a heartbeat that came from an address.
pub(super) async fn take_heartbeat(
    state: &Arc<GatewayState>,
    heartbeat: HostHeartbeat,
    from: Name,
) {
    let now = Instant::now();
    let (wants_answer, names_hosts) = (heartbeat.wants_answer, heartbeat.wants_hosts);
    let address = heartbeat.host.address.clone();
    let known = heartbeat.known_hosts.clone();
    let is_taken = merge_heartbeat(state, heartbeat, now);
    if is_taken && wants_answer {
        let answer = make_heartbeat(state, HeartbeatKind::Answer { names_hosts });
        send_to_host(state, HostMessage::Heartbeat(answer), &from).await;
    }
    for host in known {
        let is_new = lock(&state.peers).discover(&host, now);
        if is_new {
            log::info!(peer = &*host.address, incarnation = host.incarnation, source = &*address; "host-known");
            greet_host(state, &host.address).await;
        }
    }
}

/// Lets everything know what a heartbeat says; `false` if it was an old one.
fn merge_heartbeat(state: &Arc<GatewayState>, heartbeat: HostHeartbeat, now: Instant) -> bool {
    let id =
        HostId { address: heartbeat.host.address.clone(), incarnation: heartbeat.host.incarnation };
    let told = heartbeat.clone();
    let mut peers = lock(&state.peers);
    let before = peers.get(&id.address).map(|record| peers.is_alive(record, now));
    if !peers.receive_heartbeat(heartbeat, now) {
        return false;
    }
    drop(peers);
    let was_silent = before != Some(true);
    if was_silent {
        log::info!(peer = &*id.address, incarnation = id.incarnation; "host-heard");
        renew_share(state);
        if !told.is_usage_full {
            // Its counts have a starting point only with its next whole heartbeat.
            let (state, address) = (state.clone(), id.address.clone());
            tokio::spawn(async move { greet_host(&state, &address).await });
        }
    }
    // Before news of declarations are asked for: once those are in force, requests are sent.
    take_drains(state, told.drains.clone(), &id.address);
    lock(&state.quota).receive_heartbeat(&told, was_silent, now);
    for ended in &told.ended {
        notice_end(state, ended, &id);
    }
    for suspect in &told.crash_counts {
        lock(&state.crashes).merge(suspect.fingerprint, suspect.crashes, now);
    }
    let own_declarations = lock(&state.declarations).current().map_or(0, |held| held.version());
    let own_targets = lock(&state.updates).targets_version();
    if told.declarations > own_declarations || told.targets > own_targets {
        let is_first = state.asks_for_updates.try_acquire();
        if let Ok(permit) = is_first {
            permit.forget();
            let state = state.clone();
            tokio::spawn(async move {
                request_updates(state.clone(), id.address).await;
                state.asks_for_updates.add_permits(1);
            });
        }
    }
    true
}

/// Keeps a part of each rate for hosts that fell silent, and says which did.
pub(crate) fn forget_silent(state: &GatewayState, silent: &mut Vec<HostId>) {
    let now = Instant::now();
    let peers = lock(&state.peers);
    let unheard: Vec<HostId> = peers
        .iter()
        .filter(|record| record.heartbeat.is_some() && !peers.is_alive(record, now))
        .map(|record| record.id())
        .collect();
    drop(peers);
    for id in &unheard {
        if !silent.contains(id) {
            // A host that said that it leaves is missed by nobody.
            let has_left = lock(&state.peers).get(&id.address).is_some_and(|host| host.has_left);
            if !has_left {
                log::warn!(peer = &*id.address, incarnation = id.incarnation; "host-silent");
            }
            lock(&state.quota).mark_silent(id);
        }
    }
    *silent = unheard;
}
