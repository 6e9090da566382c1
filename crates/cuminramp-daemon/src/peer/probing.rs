//! Probes, which detect hosts that failed and exchange membership updates and version digests.

use std::sync::Arc;

use cuminramp_core::Name;
use cuminramp_membership::MemberAction;
use cuminramp_wire::peer::{HostState, Probe, ProbeReply, VersionDigest};
use tokio::time::Instant;

use crate::state::{DaemonState, lock};
use crate::sync::{merge_pull, pull_request, version_digest};

/// Number of hosts probed at once to spread a change.
const SPREAD_FANOUT: usize = 4;

/// Ticks the member table every probe interval and runs the probes that it returns.
pub(crate) async fn run_probes(state: Arc<DaemonState>) {
    let mut ticks = tokio::time::interval(state.settings.peers.probe_interval());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let actions = {
            let mut random = lock(&state.random);
            lock(&state.members).tick(random.as_mut(), Instant::now())
        };
        for action in actions {
            let state = state.clone();
            tokio::spawn(async move { execute(&state, action).await });
        }
    }
}

async fn execute(state: &Arc<DaemonState>, action: MemberAction) {
    match action {
        MemberAction::Probe(address) => {
            if probe_host(state, &address).await {
                return;
            }
            let follow_up = {
                let mut random = lock(&state.random);
                lock(&state.members).on_probe_failed(&address, random.as_mut(), Instant::now())
            };
            for action in follow_up {
                Box::pin(execute(state, action)).await;
            }
        }
        MemberAction::IndirectProbe { target, relays } => {
            indirect_probe(state, &target, &relays).await
        }
    }
}

fn make_probe(state: &DaemonState, receiver: &str, target: &str) -> Probe {
    let mut members = lock(&state.members);
    let updates = members.take_updates(Some(receiver));
    let sender = Some(members.local_state());
    drop(members);
    Probe { sender, updates, digest: Some(version_digest(state)), target: target.to_owned() }
}

/// Probes a host and applies its reply; returns whether it answered.
async fn probe_host(state: &Arc<DaemonState>, address: &str) -> bool {
    let probe = make_probe(state, address, "");
    state.metrics.count_peer_call("probe");
    let timeout = state.settings.peers.probe_timeout();
    let Some(reply) = state.peers.probe(address, probe, timeout).await else {
        return false;
    };
    apply_reply(state, address, &reply).await;
    true
}

/// Probes a host through `relays`, and marks it as suspect if it answers none of them.
async fn indirect_probe(state: &Arc<DaemonState>, target: &Name, relays: &[Name]) {
    // Longer than a direct probe: the relay's own probe may last for the probe timeout.
    let timeout = state.settings.peers.probe_timeout() * 3;
    let mut probes = tokio::task::JoinSet::new();
    for relay in relays {
        let (state, relay) = (state.clone(), relay.clone());
        let probe = make_probe(&state, &relay, target);
        probes.spawn(async move {
            state.metrics.count_peer_call("probe-through");
            state.peers.probe(&relay, probe, timeout).await
        });
    }
    let mut alive = false;
    while let Some(reply) = probes.join_next().await {
        alive |= matches!(reply, Ok(Some(reply)) if reply.target_alive);
    }
    if !alive && lock(&state.members).on_unreachable(target, Instant::now()) {
        log::info!(host = &**target, decision = "suspect"; "membership");
    }
}

/// Probes a host on behalf of a peer that can't reach it; returns whether it answered.
pub(crate) async fn probe_on_behalf(state: &Arc<DaemonState>, target: &str) -> bool {
    probe_host(state, target).await
}

/// Handles a probe: applies its updates, pulls what this host lacks, and returns the reply.
pub(crate) fn handle_probe(state: &Arc<DaemonState>, probe: &Probe) -> ProbeReply {
    let sender = probe.sender.clone().unwrap_or_default();
    apply_updates(state, &sender, &probe.updates);
    if let Some(digest) = &probe.digest {
        apply_digest(state, &sender.address, digest);
    }
    let mut members = lock(&state.members);
    let updates = members.take_updates(Some(&sender.address));
    let reply_sender = Some(members.local_state());
    drop(members);
    ProbeReply {
        sender: reply_sender,
        updates,
        digest: Some(version_digest(state)),
        target_alive: false,
    }
}

async fn apply_reply(state: &Arc<DaemonState>, address: &str, reply: &ProbeReply) {
    if let Some(sender) = &reply.sender {
        apply_updates(state, sender, &reply.updates);
    }
    if let Some(digest) = &reply.digest {
        state.contact.record_age(digest.table_age_ms, Instant::now());
        if needs_pull(state, digest) {
            pull_from(state, address).await;
        }
    }
}

fn apply_updates(state: &DaemonState, sender: &HostState, updates: &[HostState]) {
    let now = Instant::now();
    let mut members = lock(&state.members);
    for update in updates {
        members.on_update(update, now);
    }
    members.on_message(sender, now);
}

/// Returns whether the sender's digest shows a newer generation, or other withdrawals or shards than here.
fn needs_pull(state: &DaemonState, theirs: &VersionDigest) -> bool {
    let mine = version_digest(state);
    theirs.generation > mine.generation
        || theirs.withdrawal_hash != mine.withdrawal_hash
        || theirs.shard_hash != mine.shard_hash
}

fn apply_digest(state: &Arc<DaemonState>, address: &str, digest: &VersionDigest) {
    state.contact.record_age(digest.table_age_ms, Instant::now());
    if !address.is_empty() && needs_pull(state, digest) {
        let (state, address) = (state.clone(), address.to_owned());
        state.tasks.clone().spawn(async move { pull_from(&state, &address).await });
    }
}

async fn pull_from(state: &DaemonState, address: &str) {
    state.metrics.count_peer_call("pull");
    let request = pull_request(state, true);
    let Some(reply) = state.peers.pull(address, request).await else {
        return;
    };
    merge_pull(state, &reply);
}

/// Probes up to `SPREAD_FANOUT` random hosts at once, so that they detect and pull a change made here
/// without waiting for the next probe interval.
pub(crate) async fn spread_updates(state: &Arc<DaemonState>) {
    let mut peers = lock(&state.members).answering_peers();
    let mut probes = tokio::task::JoinSet::new();
    while probes.len() < SPREAD_FANOUT && !peers.is_empty() {
        let index = lock(&state.random).below(peers.len());
        let (state, address) = (state.clone(), peers.swap_remove(index));
        probes.spawn(async move { probe_host(&state, &address).await });
    }
    while probes.join_next().await.is_some() {}
}
