//! Keeps the rows of hosts in line with which hosts run: those of lost hosts are marked, and deleted later.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminramp_core::{HostId, Name, SortedMap};
use cuminramp_fleet::{
    HostSight, KnownHost, PresenceStep, PresenceView, RowPresence, SUSPICION_READ_INTERVAL,
};
use cuminramp_platform::{CommitOutcome, Condition, Row, StoreError, Transaction, Version};
use cuminramp_wire::fleet::{HostPresence, HostRow};
use cuminramp_wire::{decode_row, encode_row};
use tokio::time::Instant;

use super::follow_hosts::host_read_interval;
use super::hosts::{announce_host, key_of};
use crate::jobs::unix_ms;
use crate::state::{GatewayState, lock};

/// Maximum number of rows that are written after one read. When many hosts are lost at once, the others would exceed
/// the store's limits of calls.
const MAX_WRITES: usize = 8;

/// Version of a host's row, and when this host first read it.
#[derive(Clone, Copy, Debug)]
struct SeenVersion {
    version: Version,
    at: Instant,
}

/// Rows of hosts as this host has read them.
#[derive(Debug, Default)]
pub(super) struct HostRowReview {
    seen: SortedMap<Name, SeenVersion>,
}

impl HostRowReview {
    /// Compares the rows of whole zones, as just read, with what this host hears, and writes those that are to change.
    /// `was_announced` tells whether this host had written its own row before the read.
    ///
    /// # Errors
    /// Returns the store's error; the rows that are left follow with the next read.
    pub(super) async fn review(
        &mut self,
        state: &Arc<GatewayState>,
        rows: &[Row],
        was_announced: bool,
    ) -> Result<(), StoreError> {
        let now = Instant::now();
        lock(&state.peers).forget_lost(now);
        self.seen.retain(|key, _| rows.iter().any(|row| *row.key == **key));
        let mut writes = 0;
        let mut has_own_row = false;
        for row in rows {
            // Rows that can't be read are logged where the hosts are recorded.
            let Ok(host) = decode_row::<HostRow>(&row.value) else { continue };
            if *host.address == *state.local_host.address {
                has_own_row = is_own_announcement(state, &host);
                continue;
            }
            apply_presence(state, &host, now);
            let step = self.view(state, row, &host, now).next_step();
            if step != PresenceStep::Keep && writes < MAX_WRITES {
                writes += 1;
                write_step(state, row, host, step).await?;
            }
        }
        declare_missing(state, rows, now);
        if was_announced && !has_own_row && !state.is_draining() {
            log::warn!(reason = "suspected or lost"; "host-announced-again");
            announce_host(state.clone()).await;
        }
        Ok(())
    }

    /// Returns what this host knows of another one and its row.
    fn view(
        &mut self,
        state: &GatewayState,
        row: &Row,
        host: &HostRow,
        now: Instant,
    ) -> PresenceView {
        let fresh = SeenVersion { version: row.version, at: now };
        let seen = self.seen.get_or_insert_with(Name::from(row.key.as_str()), || fresh);
        if seen.version != row.version {
            *seen = fresh;
        }
        let presence = match host.presence() {
            HostPresence::Present => RowPresence::Present,
            HostPresence::Suspected => RowPresence::Suspected,
            HostPresence::Lost => {
                RowPresence::Lost(Duration::from_millis(unix_ms().saturating_sub(host.lost_ms)))
            }
        };
        let read_interval = host_read_interval(state);
        let peers = lock(&state.peers);
        let is_large_fleet = peers.uses_probes();
        PresenceView {
            presence,
            unchanged_for: now.duration_since(seen.at),
            sight: peers.sight_of(&host.address, now).unwrap_or(HostSight::Heard),
            is_judge: peers.is_judge_of(&host.address, now),
            is_large_fleet,
            read_interval: if is_large_fleet { read_interval } else { SUSPICION_READ_INTERVAL },
        }
    }
}

/// Returns whether this host's row is as the host itself wrote it.
fn is_own_announcement(state: &GatewayState, host: &HostRow) -> bool {
    host.presence() == HostPresence::Present && host.incarnation == state.incarnation()
}

fn id_of(host: &HostRow) -> HostId {
    HostId { address: host.address.as_str().into(), incarnation: host.incarnation }
}

/// Returns whether a host's row is that of another run that was declared lost. A host that runs would have written it
/// again.
fn is_of_lost_run(row: &Row, host: &KnownHost) -> bool {
    let said = decode_row::<HostRow>(&row.value);
    said.is_ok_and(|said| {
        said.presence() == HostPresence::Lost && said.incarnation != host.incarnation
    })
}

/// Declares silent hosts lost that have no row. In a large fleet only this host's zone is read each time.
fn declare_missing(state: &GatewayState, rows: &[Row], now: Instant) {
    let local_zone = &state.local_host.zone;
    let mut peers = lock(&state.peers);
    let reads_all_zones = !peers.uses_probes();
    let missing = peers.declare_missing(
        |host| {
            let is_read = reads_all_zones || host.zone == *local_zone;
            let key = key_of(host);
            let row = rows.iter().find(|row| row.key == key);
            !is_read || row.is_some_and(|row| !is_of_lost_run(row, host))
        },
        now,
    );
    drop(peers);
    for id in missing {
        log::info!(peer = &*id.address, incarnation = id.incarnation; "host-without-row");
    }
}

/// Records what another host's row says of it.
fn apply_presence(state: &GatewayState, host: &HostRow, now: Instant) {
    let id = id_of(host);
    let mut peers = lock(&state.peers);
    let is_lost = host.presence() == HostPresence::Lost;
    let is_news = if is_lost { peers.declare_lost(&id, now) } else { peers.restore(&id, now) };
    let (alive_hosts, known_hosts) = peers.count_alive(now);
    drop(peers);
    if is_news {
        log::info!(
            peer = &*id.address, incarnation = id.incarnation, lost = is_lost,
            heard_hosts = alive_hosts, known_hosts = known_hosts;
            "host-presence"
        );
    }
}

/// Writes what follows from a step, unless the row has changed since it was read.
async fn write_step(
    state: &Arc<GatewayState>,
    row: &Row,
    host: HostRow,
    step: PresenceStep,
) -> Result<(), StoreError> {
    let id = id_of(&host);
    let presence = match step {
        PresenceStep::Keep => return Ok(()),
        PresenceStep::Suspect => HostPresence::Suspected,
        PresenceStep::DeclareLost | PresenceStep::Delete => HostPresence::Lost,
        PresenceStep::Confirm => HostPresence::Present,
    };
    let is_lost = presence == HostPresence::Lost;
    let transaction = if step == PresenceStep::Delete {
        let condition = Condition { key: row.key.clone(), version: row.version };
        let deletes = vec![row.key.clone()];
        Transaction { conditions: vec![condition], deletes, ..Transaction::default() }
    } else {
        let lost_ms = if is_lost { unix_ms() } else { 0 };
        let changed = HostRow { presence: presence.into(), lost_ms, ..host.clone() };
        Transaction::default().put_if_version(&row.key, row.version, encode_row(&changed))
    };
    let outcome = state.store.commit(transaction).await?;
    let is_committed = matches!(outcome, CommitOutcome::Committed(_));
    log::info!(
        peer = &*id.address, incarnation = id.incarnation, step = format!("{step:?}").as_str(),
        committed = is_committed;
        "host-row-changed"
    );
    if is_committed && step == PresenceStep::DeclareLost {
        let lost = HostRow { presence: presence.into(), ..host };
        apply_presence(state, &lost, Instant::now());
        state.request_heartbeat();
    }
    Ok(())
}

/// Returns whether the rows of hosts are to be read soon: a host of a small fleet is silent, or suspects this one.
pub(super) fn has_suspects(state: &GatewayState) -> bool {
    let peers = lock(&state.peers);
    let is_up = state.has_read_host_table.load(Ordering::Relaxed);
    is_up && !peers.uses_probes() && peers.has_suspects(Instant::now())
}
