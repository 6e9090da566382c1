//! Choice of the hosts to which callers are steered, and through which the store is called.

use std::time::Duration;

use cuminramp_core::{Name, RandomSource};
use tokio::time::Instant;

use super::{PeerRecord, PeerTable};
use crate::heartbeat::KnownHost;
use crate::steering::{SteeringArea, SteeringBounds};

/// Time after its last heartbeat during which callers may still be steered to a silent host if hardly any
/// host is alive. A longer time would steer callers to hosts that are gone.
const SILENT_HOST_STEERING_TTL: Duration = Duration::from_secs(5);

impl PeerTable {
    /// Returns an alive host that can reach the store, for use by a local host that can't. A host of the
    /// local zone is preferred; different values of `spread` select different hosts, which spreads the load.
    pub fn store_relay(&self, spread: usize, now: Instant) -> Option<Name> {
        let relays: Vec<&PeerRecord> = self
            .peers
            .values()
            .filter(|record| !record.has_left && self.is_alive(record, now))
            .filter(|record| {
                record.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.reaches_store)
            })
            .collect();
        let is_near = |record: &&&PeerRecord| record.host.zone == self.local.zone;
        let near: Vec<&&PeerRecord> = relays.iter().filter(is_near).collect();
        let relay = match near.is_empty() {
            true if relays.is_empty() => return None,
            true => relays[spread % relays.len()],
            false => near[spread % near.len()],
        };
        Some(relay.host.address.clone())
    }

    /// Returns the other hosts that are alive and accept requests.
    fn ready_peers(&self, now: Instant) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values().filter(move |record| {
            let is_ready = record.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.is_ready);
            is_ready && !record.has_left && self.is_alive(record, now)
        })
    }

    /// Returns whether another host is alive and accepts requests.
    pub fn has_ready_peer(&self, now: Instant) -> bool {
        self.ready_peers(now).next().is_some()
    }

    /// Returns the caller addresses that the area selects among the alive hosts that accept requests.
    ///
    /// Silent hosts whose last heartbeat or discovery is recent are added in two cases. If there is at most
    /// one alive host that accepts requests, all of them are added. If less than half of all hosts are
    /// alive, those in zones that are silent as a whole are added, because callers may still reach them.
    pub fn steer(
        &self,
        area: &SteeringArea,
        is_local_ready: bool,
        bounds: SteeringBounds,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Vec<Name> {
        let mut live: Vec<&KnownHost> = Vec::new();
        if is_local_ready {
            live.push(&self.local);
        }
        live.extend(self.ready_peers(now).map(|record| &record.host));
        let is_alone = live.len() <= 1;
        if is_alone || !self.has_at_least_half(now) {
            let candidates = self.peers.values().filter(|record| !record.has_left);
            let recent = candidates.filter(|record| {
                let last_seen = self.last_seen(record).unwrap_or(record.discovered_at);
                !self.is_alive(record, now)
                    && now.duration_since(last_seen) < SILENT_HOST_STEERING_TTL
            });
            // A zone that is silent as a whole is more likely cut off from the local host than down.
            let steerable =
                recent.filter(|record| is_alone || self.is_zone_silent(&record.host.zone, now));
            live.extend(steerable.map(|record| &record.host));
        }
        area.choose(&live, bounds, random)
    }
}
