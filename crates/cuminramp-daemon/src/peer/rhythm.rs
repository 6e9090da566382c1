//! Probes: who lives, and who has what in force.

use std::sync::Arc;

use cuminramp_core::Name;
use cuminramp_membership::MemberAction;
use cuminramp_wire::peer::{HostState, Probe, ProbeReply, VersionDigest};
use tokio::time::Instant;

use crate::state::{DaemonState, lock};
use crate::sync::{merge_pull, pull_request, version_digest};

/// How many hosts are told at once that something new is in force.
const SPREAD_WIDTH: usize = 4;

/// Probes one host after another.
pub(crate) async fn run_rhythm(state: Arc<DaemonState>) {
    let mut heartbeat = tokio::time::interval(state.settings.peers.probe_interval());
    heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        heartbeat.tick().await;
        let actions = {
            let mut random = lock(&state.random);
            lock(&state.members).tick(random.as_mut(), Instant::now())
        };
        for action in actions {
            let state = state.clone();
            tokio::spawn(async move { carry_out(&state, action).await });
        }
    }
}

async fn carry_out(state: &Arc<DaemonState>, action: MemberAction) {
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
                Box::pin(carry_out(state, action)).await;
            }
        }
        MemberAction::ProbeThrough { target, helpers } => {
            probe_through(state, &target, &helpers).await
        }
    }
}

fn make_probe(state: &DaemonState, receiver: &str, target: &str) -> Probe {
    let mut members = lock(&state.members);
    let updates = members.take_updates(Some(receiver));
    let sender = Some(members.my_state());
    drop(members);
    Probe { sender, updates, digest: Some(version_digest(state)), target: target.to_owned() }
}

/// Probes a host; says whether it answered.
async fn probe_host(state: &Arc<DaemonState>, address: &str) -> bool {
    let probe = make_probe(state, address, "");
    state.metrics.count_peer_call("probe");
    let limit = state.settings.peers.probe_timeout();
    let Some(reply) = state.peers.probe(address, probe, limit).await else {
        return false;
    };
    take_reply(state, address, &reply).await;
    true
}

async fn probe_through(state: &Arc<DaemonState>, target: &Name, helpers: &[Name]) {
    let limit = state.settings.peers.probe_timeout() * 3;
    let mut asked = tokio::task::JoinSet::new();
    for helper in helpers {
        let (state, helper) = (state.clone(), helper.clone());
        let probe = make_probe(&state, &helper, target);
        asked.spawn(async move {
            state.metrics.count_peer_call("probe-through");
            state.peers.probe(&helper, probe, limit).await
        });
    }
    let mut alive = false;
    while let Some(reply) = asked.join_next().await {
        alive |= matches!(reply, Ok(Some(reply)) if reply.target_alive);
    }
    if !alive && lock(&state.members).on_unreachable(target, Instant::now()) {
        log::info!(host = &**target, decision = "suspect"; "membership");
    }
}

/// Probes a host that another one can't reach.
pub(crate) async fn probe_for_other(state: &Arc<DaemonState>, target: &str) -> bool {
    probe_host(state, target).await
}

/// Takes a probe in and answers it.
pub(crate) fn answer_probe(state: &Arc<DaemonState>, probe: &Probe) -> ProbeReply {
    let sender = probe.sender.clone().unwrap_or_default();
    take_news(state, &sender, &probe.updates);
    if let Some(digest) = &probe.digest {
        note_digest(state, &sender.address, digest);
    }
    let mut members = lock(&state.members);
    let updates = members.take_updates(Some(&sender.address));
    let reply_sender = Some(members.my_state());
    drop(members);
    ProbeReply {
        sender: reply_sender,
        updates,
        digest: Some(version_digest(state)),
        target_alive: false,
    }
}

async fn take_reply(state: &Arc<DaemonState>, address: &str, reply: &ProbeReply) {
    if let Some(sender) = &reply.sender {
        take_news(state, sender, &reply.updates);
    }
    if let Some(digest) = &reply.digest {
        state.contact.note_age(digest.table_age_ms, Instant::now());
        if differs(state, digest) {
            pull_from(state, address).await;
        }
    }
}

fn take_news(state: &DaemonState, sender: &HostState, updates: &[HostState]) {
    let now = Instant::now();
    let mut members = lock(&state.members);
    for update in updates {
        members.on_update(update, now);
    }
    members.on_message(sender, now);
}

/// Whether the sender has something that this host lacks.
fn differs(state: &DaemonState, theirs: &VersionDigest) -> bool {
    let mine = version_digest(state);
    theirs.generation > mine.generation
        || theirs.withdrawal_hash != mine.withdrawal_hash
        || theirs.shard_hash != mine.shard_hash
}

fn note_digest(state: &Arc<DaemonState>, address: &str, digest: &VersionDigest) {
    state.contact.note_age(digest.table_age_ms, Instant::now());
    if !address.is_empty() && differs(state, digest) {
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

/// Probes a few hosts at once, so that what is new here is soon known everywhere.
pub(crate) async fn spread_updates(state: &Arc<DaemonState>) {
    let mut peers = lock(&state.members).usable_peers();
    let mut probes = tokio::task::JoinSet::new();
    while probes.len() < SPREAD_WIDTH && !peers.is_empty() {
        let index = lock(&state.random).below(peers.len());
        let (state, address) = (state.clone(), peers.swap_remove(index));
        probes.spawn(async move { probe_host(&state, &address).await });
    }
    while probes.join_next().await.is_some() {}
}
