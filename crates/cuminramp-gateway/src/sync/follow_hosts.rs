//! Reads the rows of all hosts at intervals, and sooner while a host is silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminramp_core::Name;
use cuminramp_fleet::SUSPICION_READ_INTERVAL;
use tokio::time::{Instant, sleep_until, timeout};

use super::hosts::{discover_hosts, knows_all_zones, rereads_hosts};
use super::presence::{HostRowReview, has_suspects};
use crate::peers::send_seed_request;
use crate::state::{GatewayState, lock};

/// Interval between two reads of the rows of all hosts. New hosts send join requests by themselves; the read
/// finds hosts whose join requests were lost.
const HOST_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum of [`HOST_READ_INTERVAL`], which grows with the fleet since each read returns a row of every host.
const MAX_HOST_READ_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum wait for the write of this host's row before the rows of all hosts are read for the first time.
const MAX_ANNOUNCE_WAIT: Duration = Duration::from_millis(300);
/// Time after the first start of a fleet by which most hosts have written their rows. A host that read them
/// earlier would see a small fleet.
const FIRST_HOST_READ_DELAY: Duration = Duration::from_millis(700);
/// Delay after a failed read of the hosts' rows.
const HOST_READ_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Sends join requests to the seeds, then reads the rows of all hosts at intervals.
///
/// The rows are read once this host's own row is written. Of two hosts that start at the same time, the
/// later writer then reads the other's row. If each read before the other wrote, they would not know each
/// other until the next read, and a team would get its rate from both.
pub(crate) async fn follow_hosts(state: Arc<GatewayState>) {
    for seed in seed_addresses(&state) {
        send_seed_request(&state, &seed).await;
    }
    let mut announcement = state.is_announced.subscribe();
    if state.settings.first_start {
        tokio::time::sleep(FIRST_HOST_READ_DELAY).await;
    }
    // On timeout, the rows are read all the same: the store may reject writes only.
    let _ = timeout(MAX_ANNOUNCE_WAIT, announcement.wait_for(|is| *is)).await;
    let mut review = HostRowReview::default();
    loop {
        let was_announced = *state.is_announced.borrow();
        let pause = match discover_hosts(&state, &mut review).await {
            Ok(()) => {
                state.has_read_host_table.fetch_or(was_announced, Ordering::Relaxed);
                if lock(&state.peers).uses_probes() && !knows_all_zones(&state) {
                    HOST_READ_INTERVAL
                } else {
                    host_read_interval(&state)
                }
            }
            Err(error) => {
                state.metrics.count_store_failure("hosts");
                log::debug!(reason = error.to_string().as_str(); "hosts-not-read");
                HOST_READ_RETRY_DELAY
            }
        };
        tokio::select! {
            () = wait_for_host_read(&state, pause) => {}
            Ok(_) = announcement.wait_for(|is| *is), if !was_announced => {}
        }
        let has_read = || state.has_read_host_table.load(Ordering::Relaxed);
        while has_read() && !rereads_hosts(&state) {
            tokio::time::sleep(HOST_READ_INTERVAL).await;
        }
    }
}

/// Returns the interval between two reads while no host is silent.
pub(super) fn host_read_interval(state: &GatewayState) -> Duration {
    lock(&state.peers).schedule().scale(HOST_READ_INTERVAL, MAX_HOST_READ_INTERVAL)
}

/// Waits until the rows of all hosts are to be read again: after `pause`, or sooner if a host is silent.
async fn wait_for_host_read(state: &GatewayState, pause: Duration) {
    let due = Instant::now() + pause;
    loop {
        let next = due.min(Instant::now() + SUSPICION_READ_INTERVAL);
        sleep_until(next).await;
        if next == due || has_suspects(state) {
            return;
        }
    }
}

/// Returns the peer addresses of the seeds: their IP addresses with the peer port of this host.
fn seed_addresses(state: &GatewayState) -> Vec<Name> {
    let Ok(own) = state.local_host.address.parse::<SocketAddr>() else { return vec![] };
    let seeds = state.settings.seeds.iter().filter_map(|seed| seed.parse::<SocketAddr>().ok());
    let others = seeds.map(|seed| SocketAddr::new(seed.ip(), own.port()));
    others.filter(|seed| *seed != own).map(|seed| seed.to_string().into()).collect()
}
