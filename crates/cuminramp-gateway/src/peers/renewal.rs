//! Takes a higher incarnation if an earlier run of this host had one.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::state::{GatewayState, lock};
use crate::sync::announce_host;

/// Takes a higher incarnation if the store or another host has named an earlier run of this host with a higher one than
/// the present. Others would ignore this host's messages, and its rows would name the present run as an earlier one.
///
/// Jobs that this host holds are taken over under the new incarnation, by this host or another one.
pub(crate) fn renew_incarnation(state: &Arc<GatewayState>) {
    let renewed = {
        let mut peers = lock(&state.peers);
        let mut random = lock(&state.random);
        peers.renew_incarnation(&mut **random)
    };
    let Some(renewed) = renewed else { return };
    let before = state.incarnation.swap(renewed, Ordering::Relaxed);
    log::warn!(before = before, incarnation = renewed; "incarnation-raised");
    state.slots.renew(state);
    state.request_heartbeat();
    if !state.is_draining() {
        tokio::spawn(announce_host(state.clone()));
    }
}
