//! Which hosts callers are sent to.

use cuminramp_core::{AvailabilityZone, Name, RandomSource};

use crate::heartbeat::KnownHost;

/// Hosts of other zones for each one of the caller's own: where a zone is lost, callers who know no host
/// of another one are shut out for as long as they keep the answer.
const OTHERS_FOR_EACH_NEAR: usize = 1;

/// How many hosts callers are told.
#[derive(Clone, Copy, Debug)]
pub struct SteeringBounds {
    /// Hosts of the caller's zone under which it is told others in place of them: with one alone, its loss
    /// would leave the caller with nowhere to go until it asks again.
    pub min_near: usize,
    /// Hosts in one answer.
    pub max_hosts: usize,
}

/// Where a caller stands, and where its work may run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SteeringArea {
    /// The caller's zone.
    pub zone: AvailabilityZone,
    /// All zones of its region.
    pub region_zones: Vec<AvailabilityZone>,
    /// Zones of the regions in which its work may run; none where all regions will do.
    pub home_zones: Vec<AvailabilityZone>,
}

impl SteeringArea {
    /// Hosts of the nearest part of the area. Where the caller's zone has enough,
    /// its hosts and as many of the region's other zones, drawn by chance; else those of the region, those
    /// of the homes, or all.
    ///
    /// A body that is sent to a host in a third region leaves the regions that a team chose, so such a
    /// host is named only where nothing else is left.
    pub(crate) fn choose(
        &self,
        live: &[&KnownHost],
        bounds: SteeringBounds,
        random: &mut dyn RandomSource,
    ) -> Vec<Name> {
        let near = named(live, |zone| *zone == self.zone);
        if near.len() >= bounds.min_near {
            let is_other =
                |zone: &AvailabilityZone| *zone != self.zone && self.region_zones.contains(zone);
            let others = draw(named(live, is_other), near.len() * OTHERS_FOR_EACH_NEAR, random);
            let all = near.into_iter().chain(others).collect();
            return draw(all, bounds.max_hosts, random);
        }
        for zones in [&self.region_zones, &self.home_zones] {
            let found = named(live, |zone| zones.contains(zone));
            if !found.is_empty() {
                return draw(found, bounds.max_hosts, random);
            }
        }
        draw(named(live, |_| true), bounds.max_hosts, random)
    }
}

/// At most `most` of some hosts, each as likely as any other.
fn draw(hosts: Vec<Name>, most: usize, random: &mut dyn RandomSource) -> Vec<Name> {
    if hosts.len() <= most {
        return hosts;
    }
    let mut drawn: Vec<(usize, Name)> =
        hosts.into_iter().map(|host| (random.below(1 << 16), host)).collect();
    drawn.sort();
    drawn.truncate(most);
    drawn.into_iter().map(|(_, host)| host).collect()
}

fn named(live: &[&KnownHost], is_chosen: impl Fn(&AvailabilityZone) -> bool) -> Vec<Name> {
    let chosen = live.iter().filter(|host| is_chosen(&host.zone));
    chosen.map(|host| host.caller_address.clone()).collect()
}

#[cfg(test)]
mod tests;
