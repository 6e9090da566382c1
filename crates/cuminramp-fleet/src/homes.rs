//! Regions in which work may run.
//!
//! A route and a team may each name home regions. A request, or an item of a job, then reaches only
//! targets in regions that both allow, and callers are sent to hosts of their own region or a home.

use cuminramp_core::{AvailabilityZone, Name, SortedMap};

/// The zones in which a piece of work may run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneLimit {
    /// In the order of their names; `None` where every zone will do.
    allowed: Option<Vec<AvailabilityZone>>,
}

impl ZoneLimit {
    /// Allows every zone.
    ///
    /// ```
    /// assert!(cuminramp_fleet::ZoneLimit::none().allows("anywhere"));
    /// ```
    pub fn none() -> Self {
        ZoneLimit::default()
    }

    /// Whether work may run in a zone.
    pub fn allows(&self, zone: &str) -> bool {
        let Some(allowed) = &self.allowed else { return true };
        allowed.binary_search_by(|held| (**held).cmp(zone)).is_ok()
    }
}

/// The region of each zone, as operators set it.
#[derive(Clone, Debug, Default)]
pub struct RegionMap {
    regions: SortedMap<AvailabilityZone, Name>,
}

impl RegionMap {
    /// A map of zones to their regions.
    ///
    /// ```
    /// use cuminramp_fleet::RegionMap;
    /// let map = RegionMap::new([("z1".into(), "east".into()), ("z2".into(), "west".into())]);
    /// assert_eq!(map.zones_of("east"), ["z1".into()]);
    /// assert!(!map.limit(&["east".into()], &[]).allows("z2"));
    /// ```
    pub fn new(zones: impl IntoIterator<Item = (AvailabilityZone, Name)>) -> Self {
        RegionMap { regions: zones.into_iter().collect() }
    }

    /// The zones of a region.
    pub fn zones_of(&self, region: &str) -> Vec<AvailabilityZone> {
        let zones = self.regions.iter().filter(|(_, held)| ***held == *region);
        zones.map(|(zone, _)| zone.clone()).collect()
    }

    /// Where work of a route and a team with these homes may run. A zone whose region nobody set is in
    /// no home.
    pub fn limit(&self, route_homes: &[Name], team_homes: &[Name]) -> ZoneLimit {
        if route_homes.is_empty() && team_homes.is_empty() {
            return ZoneLimit::none();
        }
        let holds = |homes: &[Name], region: &Name| homes.is_empty() || homes.contains(region);
        let allowed = self
            .regions
            .iter()
            .filter(|(_, region)| holds(route_homes, region) && holds(team_homes, region));
        ZoneLimit { allowed: Some(allowed.map(|(zone, _)| zone.clone()).collect()) }
    }
}

#[cfg(test)]
mod tests;
