//! Parts of prompts that crash targets: what this host sees of them, and the exchange with other hosts.

mod saved;

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cuminramp_core::{Name, Refusal, ResultCode};
use cuminramp_fleet::{
    FleetTarget, HostMessage, PartCounts, PartDecision, PartReport, PartTable, PoolPart,
    PromptPart, name_hash,
};
use futures_util::future::join_all;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

pub(crate) use saved::restore_quarantines;
use saved::{delete_saved, save_quarantines};

use crate::peers::{random_hosts, send_to_host};
use crate::state::{GatewayState, lock};

/// Number of events from which a response has gone beyond its begin: a target may send one or two before a part of the
/// prompt crashes it.
pub(crate) const SOUND_EVENTS: u64 = 4;
/// Timeout for the connection that shows whether a target has ended.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of such connections, and the time between them.
const MAX_CHECKS: u32 = 3;
const CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// Time for which changes are collected before they are sent.
const COLLECT_DELAY: Duration = Duration::from_millis(20);
/// Time after which changes are sent again, since a datagram may get lost.
const REPEAT_DELAY: Duration = Duration::from_millis(200);
/// Interval at which a host with quarantines reports them to a few others.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time by which a host begins a trial later than the one that ranks before it, in which that one's report arrives.
const TRIAL_RANK_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of other targets that are checked when the target of a trial has ended.
const MAX_CHECKED_TARGETS: usize = 3;
/// Numbers of random hosts of the own zone and of other zones that receive these reports.
const EXCHANGE_FANOUT: (usize, usize) = (1, 1);

/// Parts of prompts that crash targets, as known to this host.
#[derive(Debug, Default)]
pub(crate) struct PartState {
    table: Mutex<PartTable>,
    changed: Notify,
    /// Notified when a quarantine has ended, which other hosts learn at once: they refuse sound requests until then.
    released: Notify,
    /// Parts whose quarantine this host has saved or read.
    saved: Mutex<Vec<PoolPart>>,
}

impl PartState {
    /// Returns the numbers of parts that this host remembers.
    pub(crate) fn counts(&self) -> PartCounts {
        lock(&self.table).counts()
    }
}

/// Returns the parts of a prompt as the targets of a pool see them.
pub(crate) fn parts_in_pool(parts: &[PromptPart], pool: &str) -> Vec<PoolPart> {
    parts.iter().map(|part| part.in_pool(pool)).collect()
}

/// Returns whether this host saves the quarantine of a part: it ranks first, and is not one of the few that were cut off.
fn saves_quarantine(state: &GatewayState, part: PoolPart, now: Instant) -> bool {
    let peers = lock(&state.peers);
    peers.has_at_least_half(now) && peers.ranks_first(part.key(), now)
}

/// Returns how long after a trial is due this host may begin it: the later the more hosts rank before it, which may get
/// no request with the part; and not soon if it is one of the few that were cut off.
fn trial_delay(state: &GatewayState, part: PoolPart, now: Instant) -> Duration {
    let peers = lock(&state.peers);
    if !peers.has_at_least_half(now) {
        return Duration::MAX;
    }
    let rank = u32::try_from(peers.alive_rank(part.key(), now)).unwrap_or(u32::MAX);
    TRIAL_RANK_DELAY.saturating_mul(rank)
}

/// Returns whether a request with these parts may be sent.
pub(crate) fn decide_parts(state: &GatewayState, parts: &[PoolPart]) -> PartDecision {
    let now = Instant::now();
    lock(&state.parts.table).decide(parts, now, |part| trial_delay(state, part, now))
}

/// Returns whether a request with these parts may be sent, just before it is. Begins a trial if it is one.
pub(crate) fn admit_parts(state: &GatewayState, parts: &[PoolPart]) -> PartDecision {
    let now = Instant::now();
    let decision = lock(&state.parts.table).admit(parts, now, |part| trial_delay(state, part, now));
    if let PartDecision::Trial(part) = decision {
        log::info!(part = &*part.to_string(); "part-tried");
        state.parts.changed.notify_one();
    }
    decision
}

/// Returns whether an item with these parts may be sent, just before it is.
pub(crate) fn admit_item_parts(state: &GatewayState, parts: &[PoolPart]) -> PartDecision {
    let decision = lock(&state.parts.table).admit_item(parts, Instant::now());
    if let PartDecision::Trial(part) = decision {
        log::info!(part = &*part.to_string(); "item-sent-with-part");
    }
    decision
}

/// Returns the refusal of a request with a quarantined part.
pub(crate) fn refuse_part(state: &GatewayState, part: PoolPart) -> Refusal {
    let remaining = lock(&state.parts.table).remaining(part, Instant::now());
    let reason = "a part of the prompt crashed several targets";
    Refusal::not_run(ResultCode::RequestHeldBack, reason).with_retry_after(remaining)
}

/// Records that a target broke the connection of a request with these parts before its response went beyond its
/// begin. It counts if the target has ended.
pub(crate) fn record_part_crash(
    state: &Arc<GatewayState>,
    parts: Vec<PoolPart>,
    target: &FleetTarget,
) {
    if parts.is_empty() {
        return;
    }
    let (state, target, crashed_at) = (state.clone(), target.clone(), Instant::now());
    tokio::spawn(async move {
        if !has_ended(&target.address).await {
            return;
        }
        let is_trial = lock(&state.parts.table).is_trying(&parts);
        if is_trial && have_others_ended(&state, &target).await {
            // Nothing else with the part was sent, so that the targets have ended for another reason.
            log::info!(pool = &*target.pool; "part-trial-withdrawn");
            lock(&state.parts.table).withdraw_trials(&parts, Instant::now());
            state.parts.changed.notify_one();
            return;
        }
        let hash = name_hash(&target.id);
        let quarantined = lock(&state.parts.table).record_crash(&parts, hash, crashed_at);
        if let Some(part) = quarantined {
            log::warn!(part = &*part.to_string(), pool = &*target.pool; "part-quarantined");
        }
        state.parts.changed.notify_one();
    });
}

/// Returns whether other targets of the pool have ended at the same time: most of the few that are checked.
async fn have_others_ended(state: &GatewayState, target: &FleetTarget) -> bool {
    let others: Vec<Name> = {
        let placement = lock(&state.placement);
        let in_pool = placement.targets().filter(|other| other.pool == target.pool);
        in_pool
            .filter(|other| other.id != target.id)
            .take(MAX_CHECKED_TARGETS)
            .map(|other| other.address.clone())
            .collect()
    };
    let checks = others.iter().map(|address| has_ended(address));
    let ended = join_all(checks).await.into_iter().filter(|has_ended| *has_ended).count();
    ended * 2 > others.len()
}

/// Returns whether a target refuses connections. One that lost a single connection, or that can't be reached, may be
/// sound. A process that ends may close its connections just before it stops to accept new ones.
async fn has_ended(address: &str) -> bool {
    for _ in 0..MAX_CHECKS {
        let connected = timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
        match connected {
            Ok(Err(error)) => return error.kind() == io::ErrorKind::ConnectionRefused,
            Ok(Ok(_)) => sleep(CHECK_INTERVAL).await,
            Err(_) => return false,
        }
    }
    false
}

/// Records a response to a request with these parts that went beyond its begin.
pub(crate) fn record_sound_parts(state: &Arc<GatewayState>, parts: &[PoolPart]) {
    if parts.is_empty() {
        return;
    }
    let sound = lock(&state.parts.table).record_sound(parts, Instant::now());
    for part in &sound.released {
        log::info!(part = &*part.to_string(); "part-released");
        delete_saved(state, *part);
    }
    if !sound.released.is_empty() {
        state.parts.released.notify_one();
    } else if sound.has_news {
        state.parts.changed.notify_one();
    }
}

/// Reports changes to all other hosts, and quarantines to a few at intervals. Runs until its task is cancelled.
pub(crate) async fn exchange_parts(state: Arc<GatewayState>) {
    loop {
        tokio::select! {
            () = state.parts.released.notified() => report_twice(&state).await,
            () = state.parts.changed.notified() => {
                tokio::select! {
                    () = sleep(COLLECT_DELAY) => {}
                    () = state.parts.released.notified() => {}
                }
                report_twice(&state).await;
            }
            () = sleep(EXCHANGE_INTERVAL) => {
                send_reports(&state, &random_hosts(&state, EXCHANGE_FANOUT)).await;
                save_quarantines(&state).await;
            }
        }
    }
}

/// Reports to all other hosts, and again after a while or as soon as a quarantine ends.
async fn report_twice(state: &Arc<GatewayState>) {
    send_reports(state, &all_hosts(state)).await;
    tokio::select! {
        () = sleep(REPEAT_DELAY) => {}
        () = state.parts.released.notified() => {}
    }
    send_reports(state, &all_hosts(state)).await;
}

fn all_hosts(state: &GatewayState) -> Vec<Name> {
    let peers = lock(&state.peers);
    let present = peers.iter().filter(|record| !record.has_left);
    present.map(|record| record.host.address.clone()).collect()
}

async fn send_reports(state: &GatewayState, receivers: &[Name]) {
    let reports = lock(&state.parts.table).reports(Instant::now());
    if let Some(socket) = state.socket.get().filter(|_| !reports.is_empty()) {
        socket.send(&HostMessage::PartReports(reports), receivers).await;
    }
}

/// Reports what this host knows to one that was heard for the first time, or again.
pub(crate) async fn report_parts_to(state: &GatewayState, address: &Name) {
    let reports = lock(&state.parts.table).reports(Instant::now());
    if !reports.is_empty() {
        send_to_host(state, HostMessage::PartReports(reports), address).await;
    }
}

/// Handles the reports of another host.
pub(crate) fn handle_part_reports(state: &GatewayState, reports: &[PartReport]) {
    let now = Instant::now();
    let mut is_refuted = false;
    {
        let mut table = lock(&state.parts.table);
        for report in reports {
            is_refuted |= table.merge(report, now);
        }
    }
    if is_refuted {
        state.parts.changed.notify_one();
    }
}
