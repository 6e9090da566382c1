//! Which hosts callers are sent to.

use cuminramp_core::{AvailabilityZone, Name};

use crate::beat::KnownHost;

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
    /// The hosts of the nearest part of the area: those of the zone if they are `fewest` or more, those
    /// of the region, those of the homes, or all.
    ///
    /// A body that is sent to a host in a third region leaves the regions that a team chose, so such a
    /// host is named only where nothing else is left.
    pub(crate) fn choose(&self, live: &[&KnownHost], fewest: usize) -> Vec<Name> {
        let near = named(live, |zone| *zone == self.zone);
        if near.len() >= fewest {
            return near;
        }
        for zones in [&self.region_zones, &self.home_zones] {
            let found = named(live, |zone| zones.contains(zone));
            if !found.is_empty() {
                return found;
            }
        }
        named(live, |_| true)
    }
}

fn named(live: &[&KnownHost], is_chosen: impl Fn(&AvailabilityZone) -> bool) -> Vec<Name> {
    let chosen = live.iter().filter(|host| is_chosen(&host.zone));
    chosen.map(|host| host.caller_address.clone()).collect()
}
