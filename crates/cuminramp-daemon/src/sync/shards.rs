//! Keeps the ownership of shards in the table: claims free shards and hands over those meant for other
//! hosts.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{Host, HostId};
use cuminramp_platform::{Row, StoreError, Transaction, Version};
use cuminramp_quota::{ShardMove, TickOutcome};
use cuminramp_settings::QuotaPolicy;
use cuminramp_wire::peer::Handover;
use cuminramp_wire::rows::ShardRow;
use cuminramp_wire::{decode_row, encode_row};
use tokio::time::Instant;

use crate::daemon::new_incarnation;
use crate::peer::spread_updates;
use crate::state::{DaemonState, lock};
use crate::sync::shard_key;

/// Interval between ticks of the ledger, which detects from their timing that the process was paused.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of polls from one read of the shard map to the next, even if there seems to be nothing
/// to claim or to hand over.
const MAX_POLLS_PER_READ: u32 = 10;
/// Maximum number of rows read in one scan.
const MAX_SCAN_ROWS: usize = 1_024;
/// Maximum number of shards claimed or handed over in one write.
const MAX_MOVES_PER_WRITE: usize = 64;
/// Number of host list polls that a new host waits for before it claims shards. Hosts that start together
/// would otherwise each act as the only host, claim all shards, and then move them for minutes.
const LIST_POLLS_BEFORE_CLAIM: u32 = 2;

/// A shard's row and its version for a compare-and-set write.
struct VersionedShard {
    row: ShardRow,
    version: Version,
}

/// Ticks the ledger, which detects pauses of the process and drops the buckets of unused teams.
pub(crate) async fn tick_ledger(state: Arc<DaemonState>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = Instant::now();
        let confirmed = state.may_spend(now);
        let mut ledger = lock(&state.ledger);
        let outcome = ledger.tick(confirmed, now);
        drop(ledger);
        let earlier_run = lock(&state.members).earlier_run_ahead();
        if outcome == TickOutcome::Lost || earlier_run.is_some() {
            renew_incarnation(&state, confirmed, now);
        }
        let mut ledger = lock(&state.ledger);
        ledger.evict_unused_teams(now);
        let owned = ledger.shards().owned_count();
        drop(ledger);
        let live = lock(&state.members).usable_hosts().len();
        state.metrics.record_state(state.configuration.generation(), live, owned);
    }
}

/// Continues under a new incarnation, higher than that of each earlier run that others know. It owns no shards, as after a
/// restart, but keeps the requests in flight.
fn renew_incarnation(state: &DaemonState, confirmed: bool, now: Instant) {
    let mut members = lock(&state.members);
    let latest = members.earlier_run_ahead().unwrap_or(members.local_host().id.incarnation);
    let incarnation = new_incarnation().max(latest.saturating_add(1));
    members.set_incarnation(incarnation, now);
    let me = members.local_host().id.clone();
    drop(members);
    lock(&state.ledger).renew(me, confirmed, now);
    log::warn!(host = &*state.me.id.address, incarnation = incarnation, decision = "renewed"; "run");
}

/// Polls the shard map, claims free shards and hands over those meant for other hosts.
pub(crate) async fn poll_shards(state: Arc<DaemonState>) {
    tokio::time::sleep(state.settings.peers.list_poll_interval() * LIST_POLLS_BEFORE_CLAIM).await;
    let mut polls_until_read = 0;
    loop {
        if polls_until_read == 0 || has_work(&state) {
            polls_until_read = MAX_POLLS_PER_READ;
            if let Ok(rows) = read_shards(&state).await
                && !lock(&state.ledger).is_unreliable()
            {
                claim_shards(&state, &rows).await;
                move_shards(&state, &rows).await;
            }
        }
        polls_until_read -= 1;
        tokio::time::sleep(state.settings.quota.shard_poll_interval()).await;
    }
}

/// Returns whether there are shards to claim or to hand over, by this host's copy of the shard map. If so,
/// the full map is read before anything is written; otherwise it is seldom read, since digests in probes
/// let hosts detect and pull changes of it.
fn has_work(state: &DaemonState) -> bool {
    let hosts = usable_hosts(state);
    !plan_claims(state, &hosts).is_empty() || lock(&state.ledger).shards().has_moves(&hosts)
}

async fn read_shards(state: &DaemonState) -> Result<Vec<VersionedShard>, StoreError> {
    let requested_at = Instant::now();
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
        let page = state.platform.table.scan("shard/", &after, MAX_SCAN_ROWS).await?;
        let full = page.len() == MAX_SCAN_ROWS;
        rows.extend(page);
        if !full {
            break;
        }
    }
    state.record_table_contact(requested_at);
    let rows = rows.into_iter().filter_map(|row| {
        Some(VersionedShard { row: decode_row(&row.value).ok()?, version: row.version })
    });
    let rows: Vec<VersionedShard> = rows.collect();
    let now = Instant::now();
    let mut ledger = lock(&state.ledger);
    for shard in &rows {
        ledger.shards_mut().apply_row(&shard.row, now);
    }
    Ok(rows)
}

fn usable_hosts(state: &DaemonState) -> Vec<Host> {
    lock(&state.members).usable_hosts()
}

async fn claim_shards(state: &Arc<DaemonState>, rows: &[VersionedShard]) {
    let moves = plan_claims(state, &usable_hosts(state));
    for group in moves.chunks(MAX_MOVES_PER_WRITE) {
        write_moves(state, rows, group).await;
    }
}

/// Returns the shards that this host should claim, by its copy of the shard map.
fn plan_claims(state: &DaemonState, hosts: &[Host]) -> Vec<ShardMove> {
    let now = Instant::now();
    let members = lock(&state.members);
    if members.is_leaving() {
        return Vec::new();
    }
    let ledger = lock(&state.ledger);
    let takeover_delay = state.settings.quota.lease_duration() * 2;
    let has_leases = state.settings.quota.policy == QuotaPolicy::ExpiringLease;
    let may_claim_from = |owner: &HostId| {
        members.is_confirmed_dead(owner, now)
            || (has_leases && members.is_dead_for(owner, takeover_delay, now))
    };
    ledger.shards().plan_claims(hosts, may_claim_from)
}

async fn move_shards(state: &Arc<DaemonState>, rows: &[VersionedShard]) {
    let hosts = usable_hosts(state);
    let max_moves = state.settings.quota.moves_per_poll;
    let moves = release_moves(state, &hosts, max_moves);
    write_moves(state, rows, &moves).await;
}

fn release_moves(state: &DaemonState, hosts: &[Host], max_moves: usize) -> Vec<ShardMove> {
    lock(&state.ledger).shards_mut().release_moves(hosts, max_moves)
}

/// Hands over all shards of this host, which is leaving, to the hosts that stay.
pub(crate) async fn hand_over_all_shards(state: &Arc<DaemonState>) {
    let Ok(rows) = read_shards(state).await else {
        return;
    };
    let hosts = usable_hosts(state);
    let moves = release_moves(state, &hosts, usize::MAX);
    for group in moves.chunks(MAX_MOVES_PER_WRITE) {
        write_moves(state, &rows, group).await;
    }
    spread_updates(state).await;
}

/// Writes changes of ownership in one transaction, or one by one if that conflicts. The shard map is read
/// back afterwards to see which writes took effect, so a lost response needs no handling of its own.
async fn write_moves(state: &Arc<DaemonState>, rows: &[VersionedShard], moves: &[ShardMove]) {
    if moves.is_empty() {
        return;
    }
    let current_moves: Vec<(&ShardMove, Version)> = moves
        .iter()
        .filter_map(|change| {
            let current = rows.iter().find(|shard| shard.row.shard == change.shard);
            let epoch = current.map_or(0, |shard| shard.row.epoch);
            (epoch == change.from_epoch)
                .then_some((change, current.map_or(0, |shard| shard.version)))
        })
        .collect();
    let put = |transaction: Transaction, (change, version): &(&ShardMove, Version)| {
        transaction.put_if_version(shard_key(change.shard), *version, encode_row(&change.to_row()))
    };
    let handovers = collect_handovers(state, moves);
    let all = current_moves.iter().fold(Transaction::default(), put);
    let outcome = state.platform.table.commit(all).await;
    if matches!(outcome, Ok(cuminramp_platform::CommitOutcome::Conflict(_))) {
        for change in &current_moves {
            let _ = state.platform.table.commit(put(Transaction::default(), change)).await;
        }
    }
    for change in moves {
        let (shard, owner) = (change.shard, &*change.owner.address);
        log::info!(shard = shard, owner = owner, epoch = change.from_epoch + 1; "shard-move");
    }
    let read = read_shards(state).await;
    if read.is_ok() {
        send_handovers(state, handovers).await;
    }
    spread_updates(state).await;
}

/// A shard to hand over, and the message for its next owner.
struct PreparedHandover {
    change: ShardMove,
    handover: Handover,
}

/// Collects the handovers for own shards that move to other hosts; claims need none.
fn collect_handovers(state: &DaemonState, moves: &[ShardMove]) -> Vec<PreparedHandover> {
    let now = Instant::now();
    let mut ledger = lock(&state.ledger);
    let me = ledger.shards().me().clone();
    let outgoing = moves.iter().filter(|change| change.owner != me);
    outgoing
        .filter_map(|change| {
            let handover = ledger.collect_handover(change, now)?;
            Some(PreparedHandover { change: change.clone(), handover })
        })
        .collect()
}

/// Sends each handover after the shard's row names the new owner. Tokens of a lost handover belong to no
/// host, so they can't be spent twice.
async fn send_handovers(state: &Arc<DaemonState>, prepared: Vec<PreparedHandover>) {
    let mut calls = tokio::task::JoinSet::new();
    for PreparedHandover { change, handover } in prepared {
        let record = lock(&state.ledger).shards().record(change.shard);
        let written =
            record.epoch == change.from_epoch + 1 && record.owner.as_ref() == Some(&change.owner);
        if !written {
            continue;
        }
        let state = state.clone();
        state.metrics.count_peer_call("hand-over");
        calls.spawn(async move { state.peers.hand_over(&change.owner, handover).await });
    }
    while calls.join_next().await.is_some() {}
}
