//! The platform's list of hosts.

use std::sync::Arc;

use cuminramp_core::Name;
use cuminramp_membership::ListedHost;
use cuminramp_platform::HostEntry;
use tokio::time::Instant;

use crate::state::{DaemonState, lock};

/// Polls the platform's host list, and announces this host to it if the settings ask for that.
pub(crate) async fn poll_hosts(state: Arc<DaemonState>) {
    loop {
        if state.settings.platform.announce {
            announce_host(&state).await;
        }
        read_hosts(&state).await;
        tokio::time::sleep(state.settings.peers.list_poll_interval()).await;
    }
}

async fn read_hosts(state: &DaemonState) {
    let listed = match state.platform.hosts.list().await {
        Ok(listed) => listed,
        Err(error) => {
            log::warn!(reason = error.to_string().as_str(); "host-list-unreachable");
            return;
        }
    };
    let hosts: Vec<ListedHost> = listed
        .into_iter()
        .map(|entry| ListedHost { address: entry.address, leaving: entry.leaving })
        .collect();
    lock(&state.members).on_list(&hosts, Instant::now());
}

/// Announces this host to the platform as running or leaving.
pub(crate) async fn announce_host(state: &DaemonState) {
    let leaving = lock(&state.members).is_leaving();
    let entry = HostEntry { address: Name::clone(&state.me.id.address), leaving };
    if let Err(error) = state.platform.hosts.announce(&entry).await {
        log::warn!(reason = error.to_string().as_str(); "announce-failed");
    }
}
