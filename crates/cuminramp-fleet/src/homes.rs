//! Home regions, which limit where work may run.
//!
//! A route and a team may each name home regions. A request, or an item of a job, then reaches only
//! targets in regions that both allow, and callers are directed to hosts in their own region or a home
//! region.

use cuminramp_core::{AvailabilityZone, Name, SortedMap};

/// Availability zones in which a request or an item may run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneLimit {
    /// Allowed zones, sorted by name; `None` if every zone is allowed.
    allowed: Option<Vec<AvailabilityZone>>,
}

impl ZoneLimit {
    /// Creates a limit that allows every zone.
    ///
    /// ```
    /// assert!(cuminramp_fleet::ZoneLimit::none().allows("anywhere"));
    /// ```
    pub fn none() -> Self {
        ZoneLimit::default()
    }

    /// Returns whether work may run in a zone.
    pub fn allows(&self, zone: &str) -> bool {
        let Some(allowed) = &self.allowed else { return true };
        allowed.binary_search_by(|entry| (**entry).cmp(zone)).is_ok()
    }
}

/// Region of each availability zone, as set by operators.
#[derive(Clone, Debug, Default)]
pub struct RegionMap {
    regions: SortedMap<AvailabilityZone, Name>,
}

impl RegionMap {
    /// Creates a map from pairs of zone and region.
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

    /// Returns the zones of a region.
    pub fn zones_of(&self, region: &str) -> Vec<AvailabilityZone> {
        let zones = self.regions.iter().filter(|(_, of_zone)| ***of_zone == *region);
        zones.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns whether two zones are in the same region. A zone without a configured region shares its region
    /// with no other.
    ///
    /// ```
    /// use cuminramp_fleet::RegionMap;
    /// let map = RegionMap::new([("z1".into(), "east".into()), ("z2".into(), "east".into())]);
    /// assert!(map.is_same_region("z1", "z2"));
    /// assert!(!map.is_same_region("z1", "z3"));
    /// ```
    pub fn is_same_region(&self, one: &str, other: &str) -> bool {
        let region = self.regions.get(one);
        one == other || (region.is_some() && region == self.regions.get(other))
    }

    /// Returns the zones in which work of a route and a team with these home regions may run. A zone
    /// without a configured region is in no home region.
    pub fn limit(&self, route_homes: &[Name], team_homes: &[Name]) -> ZoneLimit {
        if route_homes.is_empty() && team_homes.is_empty() {
            return ZoneLimit::none();
        }
        let allows = |homes: &[Name], region: &Name| homes.is_empty() || homes.contains(region);
        let allowed = self
            .regions
            .iter()
            .filter(|(_, region)| allows(route_homes, region) && allows(team_homes, region));
        ZoneLimit { allowed: Some(allowed.map(|(zone, _)| zone.clone()).collect()) }
    }
}

#[cfg(test)]
mod tests;
