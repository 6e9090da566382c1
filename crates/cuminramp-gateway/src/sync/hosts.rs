//! Maintains this host's row in the hosts table and discovers other hosts by theirs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminramp_core::Name;
use cuminramp_fleet::{KnownHost, MAX_HEARTBEAT_HOSTS, TableSource};
use cuminramp_platform::{Row, StoreError, Transaction};
use cuminramp_settings::GatewaySettings;
use cuminramp_wire::fleet::{HostPresence, HostRow};
use cuminramp_wire::{decode_row, encode_row};
use tokio::time::Instant;

use super::presence::HostRowReview;
use crate::interfaces::FleetStore;
use crate::peers::{renew_incarnation, send_join_request};
use crate::state::{GatewayState, lock};

/// Name of the hosts table.
const TABLE: &str = "hosts";
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of hosts of one zone that are read.
const MAX_ZONE_HOSTS: usize = 5_000;
/// Time after the start by which statuses of hosts of all zones have arrived in a large fleet.
const ALL_ZONES_DELAY: Duration = Duration::from_secs(4);
/// Number of new hosts to which a host of a large fleet sends join requests.
const MAX_JOIN_REQUESTS: usize = 8;

/// Returns the key of a host's row.
pub(super) fn key_of(host: &KnownHost) -> String {
    row_key(&host.zone, &host.address)
}

/// Returns the key of a row by the zone and the address of its host. Rows have a partition for each zone, which can be
/// read alone.
fn row_key(zone: &str, address: &str) -> String {
    format!("{}{address}", zone_prefix(zone))
}

/// Returns the prefix of the keys of a zone's hosts.
fn zone_prefix(zone: &str) -> String {
    format!("{TABLE}/{zone}/")
}

/// Reads the incarnation in the row that an earlier run of this host wrote; `None` if there is no such row, or if the
/// store did not answer.
pub(crate) async fn read_earlier_run(
    settings: &GatewaySettings,
    store: &dyn FleetStore,
) -> Option<u64> {
    let key = row_key(&settings.availability_zone, &settings.peer_address);
    let row = store.read(&[key]).await.ok()?.into_iter().next()??;
    Some(decode_row::<HostRow>(&row.value).ok()?.incarnation)
}

/// Writes this host's row and retries until the write succeeds.
pub(crate) async fn announce_host(state: Arc<GatewayState>) {
    let incarnation = loop {
        let host = state.known_host();
        let row = HostRow {
            address: host.address.to_string(),
            incarnation: host.incarnation,
            caller_address: host.caller_address.to_string(),
            zone: host.zone.to_string(),
            core_percent: u32::from(host.core_percent),
            presence: HostPresence::Present.into(),
            lost_ms: 0,
        };
        let transaction = Transaction::default().put(key_of(&host), encode_row(&row));
        match state.store.commit(transaction).await {
            Ok(_) => break host.incarnation,
            Err(error) => {
                let reason = error.to_string();
                log::warn!(reason = reason.as_str(); "host-not-announced");
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    };
    log::info!(address = &*state.local_host.address, incarnation = incarnation; "host-announced");
    state.is_announced.send_replace(true);
}

/// Finds out from the rows of this host's zone whether the fleet is small.
///
/// A host that starts again in a small fleet would otherwise refuse its callers until it has written its row and
/// read those of all hosts. At the first start of a fleet the rows tell nothing, since most are not written yet.
pub(crate) async fn check_fleet_size(state: Arc<GatewayState>) {
    if state.settings.first_start {
        return;
    }
    let zones = state.settings.zone_regions.len().max(1);
    let max_hosts = MAX_HEARTBEAT_HOSTS / zones;
    let zone = zone_prefix(&state.local_host.zone);
    if let Ok(rows) = state.direct_store.scan(&zone, "", max_hosts + 1).await {
        let is_small = (1..=max_hosts).contains(&rows.len());
        state.is_small_fleet.send_replace(is_small);
    }
}

/// Reads the rows of hosts, and sends join requests to new ones.
///
/// Reads only those of this host's zone if there are many: hosts of a large fleet learn of the others by
/// their statuses, and rows of all hosts for each host would be most of what the store sends. Those of other
/// zones are read by few hosts, if no host of one of them is known some time after the start.
pub(super) async fn discover_hosts(
    state: &Arc<GatewayState>,
    review: &mut HostRowReview,
) -> Result<(), StoreError> {
    let was_announced = *state.is_announced.borrow();
    let zone = zone_prefix(&state.local_host.zone);
    let mut rows = state.store.scan(&zone, "", MAX_ZONE_HOSTS).await?;
    let mut new_hosts = record_hosts(state, &rows);
    let has_statuses = state.started_at.elapsed() >= ALL_ZONES_DELAY;
    let lacks_zones = has_statuses && rereads_hosts(state) && !knows_all_zones(state);
    if !lock(&state.peers).uses_probes() || lacks_zones {
        rows = state.store.snapshot(TABLE).await?.rows;
        new_hosts.append(&mut record_hosts(state, &rows));
        state.has_read_all_zones.store(true, Ordering::Relaxed);
    }
    if lock(&state.peers).uses_probes() {
        while new_hosts.len() > MAX_JOIN_REQUESTS {
            new_hosts.swap_remove(state.random_below(new_hosts.len()));
        }
    }
    for address in new_hosts {
        send_join_request(state, &address).await;
    }
    rows.append(&mut read_silent_zones(state).await?);
    review.review(state, &rows, was_announced).await
}

/// Reads the rows of zones of a large fleet in which no host is alive, since none of their hosts reads them.
async fn read_silent_zones(state: &GatewayState) -> Result<Vec<Row>, StoreError> {
    let now = Instant::now();
    let silent: Vec<String> = {
        let peers = lock(&state.peers);
        let zones = state.settings.zone_regions.iter().map(|region| region.zone.as_str());
        let silent = zones.filter(|zone| peers.uses_probes() && peers.is_zone_silent(zone, now));
        silent.map(zone_prefix).collect()
    };
    let mut rows = Vec::new();
    for zone in silent {
        rows.append(&mut state.store.scan(&zone, "", MAX_ZONE_HOSTS).await?);
    }
    Ok(rows)
}

/// Returns whether this host reads the table of hosts again: each one of a small fleet, and in a large fleet those
/// that follow the store for their zone.
pub(super) fn rereads_hosts(state: &GatewayState) -> bool {
    let peers = lock(&state.peers);
    peers.table_source(TABLE, &[], Instant::now()) == TableSource::Store
}

/// Returns whether a host of each zone in the settings is known.
pub(super) fn knows_all_zones(state: &GatewayState) -> bool {
    let peers = lock(&state.peers);
    let is_known = |zone: &str| peers.iter().any(|record| *record.host.zone == *zone);
    let mut others = state.settings.zone_regions.iter().map(|region| region.zone.as_str());
    others.all(|zone| zone == &*state.local_host.zone || is_known(zone))
}

/// Records the hosts in rows and returns the addresses of the new ones.
fn record_hosts(state: &Arc<GatewayState>, rows: &[Row]) -> Vec<Name> {
    let mut new_hosts = Vec::new();
    for row in rows {
        let host = match decode_row::<HostRow>(&row.value) {
            Ok(host) => host,
            Err(error) => {
                let reason = error.to_string();
                log::warn!(key = row.key.as_str(), reason = reason.as_str(); "host-unreadable");
                continue;
            }
        };
        let known = KnownHost {
            address: host.address.into(),
            incarnation: host.incarnation,
            caller_address: host.caller_address.into(),
            zone: host.zone.into(),
            core_percent: u16::try_from(host.core_percent).unwrap_or(u16::MAX),
        };
        if lock(&state.peers).discover(&known, Instant::now()) {
            new_hosts.push(known.address);
        }
    }
    renew_incarnation(state);
    new_hosts
}

/// Deletes this host's row when it leaves. A failure is only logged: other hosts declare this one lost.
pub(crate) async fn withdraw_host(state: &Arc<GatewayState>) {
    let transaction =
        Transaction { deletes: vec![key_of(&state.known_host())], ..Transaction::default() };
    if let Err(error) = state.store.commit(transaction).await {
        let reason = error.to_string();
        log::warn!(reason = reason.as_str(); "host-not-withdrawn");
    }
}
