//! Maintains this host's row in the hosts table and discovers other hosts by theirs.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_fleet::KnownHost;
use cuminramp_platform::{StoreError, Transaction};
use cuminramp_wire::fleet::HostRow;
use cuminramp_wire::{decode_row, encode_row};
use tokio::time::Instant;

use crate::peers::send_join_request;
use crate::state::{GatewayState, lock};

/// Name of the hosts table.
const TABLE: &str = "hosts";
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Returns the key of a host's row.
fn key_of(address: &str) -> String {
    format!("{TABLE}//{address}")
}

/// Writes this host's row and retries until the write succeeds.
pub(crate) async fn announce_host(state: Arc<GatewayState>) {
    let local_host = &state.local_host;
    let row = HostRow {
        address: local_host.address.to_string(),
        incarnation: local_host.incarnation,
        caller_address: local_host.caller_address.to_string(),
        zone: local_host.zone.to_string(),
    };
    let transaction = Transaction::default().put(key_of(&local_host.address), encode_row(&row));
    while let Err(error) = state.store.commit(transaction.clone()).await {
        let reason = error.to_string();
        log::warn!(reason = reason.as_str(); "host-not-announced");
        tokio::time::sleep(RETRY_DELAY).await;
    }
    log::info!(address = &*local_host.address, incarnation = local_host.incarnation; "host-announced");
    state.is_announced.send_replace(true);
}

/// Reads the rows of all hosts and sends a join request to each new one.
pub(crate) async fn discover_hosts(state: &Arc<GatewayState>) -> Result<(), StoreError> {
    let snapshot = state.store.snapshot(TABLE).await?;
    for row in snapshot.rows {
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
        };
        let is_new = lock(&state.peers).discover(&known, Instant::now());
        if is_new {
            send_join_request(state, &known.address).await;
        }
    }
    Ok(())
}

/// Deletes this host's row when it leaves. A failure is only logged: a leftover row merely names
/// an address, and heartbeats decide whether a host is alive.
pub(crate) async fn withdraw_host(state: &Arc<GatewayState>) {
    let transaction =
        Transaction { deletes: vec![key_of(&state.local_host.address)], ..Transaction::default() };
    if let Err(error) = state.store.commit(transaction).await {
        let reason = error.to_string();
        log::warn!(reason = reason.as_str(); "host-not-withdrawn");
    }
}
