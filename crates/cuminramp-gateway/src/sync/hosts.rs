//! This host's row in the table, and those of others.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_fleet::KnownHost;
use cuminramp_platform::{StoreError, Transaction};
use cuminramp_wire::fleet::HostRow;
use cuminramp_wire::{decode_row, encode_row};
use tokio::time::Instant;

use crate::peers::greet_host;
use crate::state::{GatewayState, lock};

/// The table of hosts.
const TABLE: &str = "hosts";
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(300);

fn key_of(address: &str) -> String {
    format!("{TABLE}//{address}")
}

/// Writes this host's row, again until it stands there.
pub(crate) async fn announce_host(state: Arc<GatewayState>) {
    let me = &state.me;
    let row = HostRow {
        address: me.address.to_string(),
        incarnation: me.incarnation,
        caller_address: me.caller_address.to_string(),
        zone: me.zone.to_string(),
    };
    let transaction = Transaction::default().put(key_of(&me.address), encode_row(&row));
    while let Err(error) = state.store.commit(transaction.clone()).await {
        let reason = error.to_string();
        log::warn!(reason = reason.as_str(); "host-not-announced");
        tokio::time::sleep(PAUSE).await;
    }
    log::info!(address = &*me.address, incarnation = me.incarnation; "host-announced");
}

/// Reads the rows of all hosts and greets those that are new.
pub(crate) async fn learn_hosts(state: &Arc<GatewayState>) -> Result<(), StoreError> {
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
            greet_host(state, &known.address).await;
        }
    }
    Ok(())
}

/// Deletes this host's row when it leaves; best effort, since a row left behind is only a name.
pub(crate) async fn withdraw_host(state: &Arc<GatewayState>) {
    let transaction =
        Transaction { deletes: vec![key_of(&state.me.address)], ..Transaction::default() };
    if let Err(error) = state.store.commit(transaction).await {
        let reason = error.to_string();
        log::warn!(reason = reason.as_str(); "host-not-withdrawn");
    }
}
