//! Selection of the hosts that callers are steered to.

use cuminramp_core::{AvailabilityZone, Name, RandomSource};

use crate::heartbeat::KnownHost;

/// Number of hosts of other zones per host of the caller's zone. If a zone fails, callers that know only
/// hosts of that zone can't reach the fleet until they refresh their list of hosts.
const OTHERS_PER_NEAR_HOST: usize = 1;

/// Bounds on the number of hosts that a caller receives.
#[derive(Clone, Copy, Debug)]
pub struct SteeringBounds {
    /// Minimum number of alive hosts in the caller's zone. With fewer, the caller receives the hosts of a
    /// wider area instead; if it received a single host and that host failed, it couldn't send requests
    /// until it refreshes its list.
    pub min_near_hosts: usize,
    /// Maximum number of hosts in one response.
    pub max_hosts: usize,
}

/// Zone and region of a caller, and the zones in which its work may run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SteeringArea {
    /// The caller's zone.
    pub zone: AvailabilityZone,
    /// All zones of its region.
    pub region_zones: Vec<AvailabilityZone>,
    /// Zones of its home regions, in which its work may run; empty if it may run in all regions.
    pub home_zones: Vec<AvailabilityZone>,
}

impl SteeringArea {
    /// Returns the caller addresses of the nearest alive hosts. If the caller's zone has enough of them,
    /// these are its hosts and as many random hosts of the region's other zones. Otherwise they are the
    /// hosts of the region, else those of the home regions, else all.
    ///
    /// A request body that is sent to a host in a third region leaves the regions that the team chose, so
    /// hosts of third regions are returned only if there are no others.
    pub(crate) fn choose(
        &self,
        live: &[&KnownHost],
        bounds: SteeringBounds,
        random: &mut dyn RandomSource,
    ) -> Vec<Name> {
        let near = addresses(live, |zone| *zone == self.zone);
        if near.len() >= bounds.min_near_hosts {
            let is_other =
                |zone: &AvailabilityZone| *zone != self.zone && self.region_zones.contains(zone);
            let others =
                sample(addresses(live, is_other), near.len() * OTHERS_PER_NEAR_HOST, random);
            let all = near.into_iter().chain(others).collect();
            return sample(all, bounds.max_hosts, random);
        }
        for zones in [&self.region_zones, &self.home_zones] {
            let found = addresses(live, |zone| zones.contains(zone));
            if !found.is_empty() {
                return sample(found, bounds.max_hosts, random);
            }
        }
        sample(addresses(live, |_| true), bounds.max_hosts, random)
    }
}

/// Returns at most `max` of the hosts, sampled uniformly at random.
fn sample(hosts: Vec<Name>, max: usize, random: &mut dyn RandomSource) -> Vec<Name> {
    if hosts.len() <= max {
        return hosts;
    }
    let mut sampled: Vec<(usize, Name)> =
        hosts.into_iter().map(|host| (random.below(1 << 16), host)).collect();
    sampled.sort();
    sampled.truncate(max);
    sampled.into_iter().map(|(_, host)| host).collect()
}

fn addresses(live: &[&KnownHost], is_included: impl Fn(&AvailabilityZone) -> bool) -> Vec<Name> {
    let included = live.iter().filter(|host| is_included(&host.zone));
    included.map(|host| host.caller_address.clone()).collect()
}

#[cfg(test)]
mod tests;
