//! Tasks that a host runs at short intervals, and the log lines of its load.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::peers::{PauseDetector, mark_silent_hosts};
use crate::readers::expire_unread;
use crate::slots::{log_pace_changes, return_targets};
use crate::state::{GatewayState, lock};
use crate::sync::drop_missing_targets;

/// Interval at which pauses of this host, silent hosts, missing targets and expired idle connections are handled.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Number of upkeep intervals between two log lines with the load: one line every two seconds.
const LOAD_LOG_TURNS: u32 = 20;
/// Number of upkeep intervals between two log lines with the datagrams between hosts: one line every ten seconds.
const TRAFFIC_LOG_TURNS: u32 = 100;
/// Number of upkeep intervals between two log lines with the token buckets of active teams.
const RATE_LOG_TURNS: u32 = 10;
/// Maximum number of teams that are logged each time; those with the lowest levels come first.
const MAX_LOGGED_TEAMS: usize = 8;

/// Runs these tasks until the gateway stops.
pub(crate) async fn run_upkeep(state: Arc<GatewayState>) {
    let mut silent = Vec::new();
    let mut pauses = PauseDetector::new(UPKEEP_INTERVAL);
    let mut turn = 0u32;
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        pauses.check(&state);
        mark_silent_hosts(&state, &mut silent);
        drop_missing_targets(&state, Instant::now());
        log_pace_changes(&state);
        state.connections.close_expired();
        expire_unread(&state);
        turn = turn.wrapping_add(1);
        if turn.is_multiple_of(LOAD_LOG_TURNS) {
            log_load(&state);
        }
        if turn.is_multiple_of(TRAFFIC_LOG_TURNS)
            && let Some(socket) = state.socket.get()
        {
            socket.traffic().log();
        }
        if turn.is_multiple_of(RATE_LOG_TURNS) {
            return_targets(&state, Instant::now());
            log_rates(&state);
        }
    }
}

/// Logs the token buckets of active teams, which shows which host spent tokens that others do not count.
fn log_rates(state: &GatewayState) {
    let now = Instant::now();
    let (alive_hosts, known_hosts) = lock(&state.peers).count_alive(now);
    let mut quota = lock(&state.quota);
    let active = quota.active_teams(UPKEEP_INTERVAL * RATE_LOG_TURNS, MAX_LOGGED_TEAMS, now);
    let (counted_hosts, is_settled) = (quota.count_baselines(), quota.is_settled(now));
    drop(quota);
    for status in active {
        log::info!(
            team = &*status.team, level = status.level, admitted = status.admitted,
            alone = status.admitted_alone, granted = status.granted, deducted = status.deducted,
            heard_hosts = alive_hosts, known_hosts = known_hosts, counted_hosts = counted_hosts,
            settled = is_settled;
            "team-rate"
        );
    }
}

/// Logs the load as recorded by this host, which explains its decisions.
fn log_load(state: &GatewayState) {
    let now = Instant::now();
    let (alive_hosts, known_hosts) = lock(&state.peers).count_alive(now);
    let (online, batch, own_online, own_batch, slots) = lock(&state.placement).load();
    let jobs = lock(&state.jobs);
    let (held_jobs, waiting_items) = (jobs.jobs().count(), jobs.waiting(now));
    drop(jobs);
    let parts = state.parts.counts();
    log::info!(
        online = online, batch = batch, own_online = own_online, own_batch = own_batch,
        slots = slots, held_jobs = held_jobs, waiting_items = waiting_items,
        heard_hosts = alive_hosts, known_hosts = known_hosts,
        suspected_parts = parts.suspected, quarantined_parts = parts.quarantined;
        "load"
    );
}
