//! Ownership of shards in the table.

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

/// How often the ledger looks at the clock, so that it notices when the process was paused.
const TICK: Duration = Duration::from_millis(100);
/// The whole map is read once in so many polls even if nothing seems to be left to do.
const POLLS_PER_READ: u32 = 10;
/// Rows read in one call.
const SCAN_LIMIT: usize = 1_024;
/// Shards claimed in one write.
const CLAIMS_PER_WRITE: usize = 64;
/// A new host waits for so many reads of the host list before it claims anything: hosts that start
/// together would otherwise each take themselves for the only one, and then move shards for minutes.
const LIST_READS_FIRST: u32 = 2;

/// A shard's row with the version that a write compares.
struct VersionedShard {
    row: ShardRow,
    version: Version,
}

/// Lets the ledger notice pauses and forget teams.
pub(crate) async fn tick_ledger(state: Arc<DaemonState>) {
    loop {
        tokio::time::sleep(TICK).await;
        let now = Instant::now();
        let confirmed = state.may_spend(now);
        let mut ledger = lock(&state.ledger);
        let outcome = ledger.tick(confirmed, now);
        drop(ledger);
        if outcome == TickOutcome::Lost {
            renew_run(&state, confirmed, now);
        }
        let mut ledger = lock(&state.ledger);
        ledger.forget_unused(now);
        let owned = ledger.shards().owned_count();
        drop(ledger);
        let live = lock(&state.members).usable_hosts().len();
        state.metrics.note_state(state.configuration.generation(), live, owned);
    }
}

/// Goes on as a new run, as a restart would, but with its requests.
fn renew_run(state: &DaemonState, confirmed: bool, now: Instant) {
    let mut members = lock(&state.members);
    let incarnation = new_incarnation().max(members.me().id.incarnation + 1);
    members.renew(incarnation, now);
    let me = members.me().id.clone();
    drop(members);
    lock(&state.ledger).renew(me, confirmed, now);
    log::warn!(host = &*state.me.id.address, incarnation = incarnation, decision = "renewed"; "run");
}

/// Reads, claims and moves shards, again and again.
pub(crate) async fn poll_shards(state: Arc<DaemonState>) {
    tokio::time::sleep(state.settings.peers.list_poll() * LIST_READS_FIRST).await;
    let mut polls_until_read = 0;
    loop {
        if polls_until_read == 0 || has_work(&state) {
            polls_until_read = POLLS_PER_READ;
            if let Ok(rows) = read_shards(&state).await
                && !lock(&state.ledger).is_unreliable()
            {
                claim_shards(&state, &rows).await;
                move_shards(&state, &rows).await;
            }
        }
        polls_until_read -= 1;
        tokio::time::sleep(state.settings.quota.shard_poll()).await;
    }
}

/// Whether, as far as this host knows from others, there is something to claim or to give away. The
/// whole map is then read before anything is written; otherwise reading it is seldom needed, since
/// news of it spreads with probes.
fn has_work(state: &DaemonState) -> bool {
    let hosts = staying_hosts(state);
    !plan_claims(state, &hosts).is_empty() || lock(&state.ledger).shards().has_moves(&hosts)
}

async fn read_shards(state: &DaemonState) -> Result<Vec<VersionedShard>, StoreError> {
    let asked_at = Instant::now();
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
        let page = state.platform.table.scan("shard/", &after, SCAN_LIMIT).await?;
        let full = page.len() == SCAN_LIMIT;
        rows.extend(page);
        if !full {
            break;
        }
    }
    state.note_table(asked_at);
    let rows = rows.into_iter().filter_map(|row| {
        Some(VersionedShard { row: decode_row(&row.value).ok()?, version: row.version })
    });
    let rows: Vec<VersionedShard> = rows.collect();
    let now = Instant::now();
    let mut ledger = lock(&state.ledger);
    for shard in &rows {
        ledger.shards_mut().observe(&shard.row, now);
    }
    Ok(rows)
}

fn staying_hosts(state: &DaemonState) -> Vec<Host> {
    lock(&state.members).usable_hosts()
}

async fn claim_shards(state: &Arc<DaemonState>, rows: &[VersionedShard]) {
    let moves = plan_claims(state, &staying_hosts(state));
    for group in moves.chunks(CLAIMS_PER_WRITE) {
        write_moves(state, rows, group).await;
    }
}

/// Shards that this host should claim, as far as it knows.
fn plan_claims(state: &DaemonState, hosts: &[Host]) -> Vec<ShardMove> {
    let now = Instant::now();
    let members = lock(&state.members);
    if members.is_leaving() {
        return Vec::new();
    }
    let ledger = lock(&state.ledger);
    let lease = state.settings.quota.lease() * 2;
    let leases = state.settings.quota.policy == QuotaPolicy::ExpiringLease;
    let is_free = |owner: &HostId| {
        members.is_surely_dead(owner, now) || (leases && members.is_gone(owner, lease, now))
    };
    ledger.shards().plan_claims(hosts, is_free)
}

async fn move_shards(state: &Arc<DaemonState>, rows: &[VersionedShard]) {
    let hosts = staying_hosts(state);
    let most = state.settings.quota.moves_per_poll;
    let moves = release(state, &hosts, most);
    write_moves(state, rows, &moves).await;
}

fn release(state: &DaemonState, hosts: &[Host], most: usize) -> Vec<ShardMove> {
    lock(&state.ledger).shards_mut().release_moves(hosts, most)
}

/// Gives all shards to the hosts that stay, as a host that leaves does.
pub(crate) async fn give_back_shards(state: &Arc<DaemonState>) {
    let Ok(rows) = read_shards(state).await else {
        return;
    };
    let hosts = staying_hosts(state);
    let moves = release(state, &hosts, usize::MAX);
    for group in moves.chunks(CLAIMS_PER_WRITE) {
        write_moves(state, &rows, group).await;
    }
    spread_updates(state).await;
}

/// Writes changes of ownership in one transaction, and one by one where that meets a conflict. What
/// took effect is learnt by reading it back, so a lost answer needs no care of its own.
async fn write_moves(state: &Arc<DaemonState>, rows: &[VersionedShard], moves: &[ShardMove]) {
    if moves.is_empty() {
        return;
    }
    let wanted: Vec<(&ShardMove, Version)> = moves
        .iter()
        .filter_map(|change| {
            let known = rows.iter().find(|shard| shard.row.shard == change.shard);
            let epoch = known.map_or(0, |shard| shard.row.epoch);
            (epoch == change.from_epoch).then_some((change, known.map_or(0, |shard| shard.version)))
        })
        .collect();
    let put = |transaction: Transaction, (change, version): &(&ShardMove, Version)| {
        transaction.put_at(shard_key(change.shard), *version, encode_row(&change.to_row()))
    };
    let handovers = collect_handovers(state, moves);
    let all = wanted.iter().fold(Transaction::default(), put);
    let outcome = state.platform.table.commit(all).await;
    if matches!(outcome, Ok(cuminramp_platform::CommitOutcome::Conflict(_))) {
        for change in &wanted {
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

/// A shard that is given away, and what goes with it.
struct PreparedHandover {
    change: ShardMove,
    handover: Handover,
}

/// What goes with own shards that are given away; claims take nothing along.
fn collect_handovers(state: &DaemonState, moves: &[ShardMove]) -> Vec<PreparedHandover> {
    let now = Instant::now();
    let mut ledger = lock(&state.ledger);
    let me = ledger.shards().me().clone();
    let given = moves.iter().filter(|change| change.owner != me);
    given
        .filter_map(|change| {
            let handover = ledger.collect_handover(change, now)?;
            Some(PreparedHandover { change: change.clone(), handover })
        })
        .collect()
}

/// Sends tokens after the row says whose they are. Lost on the way they are nobody's.
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
