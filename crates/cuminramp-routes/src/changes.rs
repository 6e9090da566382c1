//! Differences between an operator's declarations and the configuration in force, and conversions
//! between declarations and rows of the table.

use cuminramp_core::{Name, SortedMap};
use cuminramp_wire::rows::change::Entry;
use cuminramp_wire::rows::{
    Change, ChargeUnit, KeyEntry, PoolEntry, RouteEntry, TargetEntry, TeamEntry,
};

use crate::declarations::{Charge, Declarations, Pool, PoolKind, Route, Target, Team};
use crate::{Configuration, KeyGrant};

/// Thousandths per unit: rates and bursts are stored as integers in thousandths.
const MILLI: f64 = 1_000.0;

/// Returns the changes that turn `current` into `desired`. Keys aren't declared and stay unchanged.
///
/// ```
/// use cuminramp_routes::{Configuration, parse_declarations, plan_changes};
/// let desired = parse_declarations(r#"{"teams": [{"name": "t", "rate": 1, "burst": 1}]}"#).unwrap();
/// assert_eq!(plan_changes(&Configuration::default(), &desired).len(), 1);
/// ```
pub fn plan_changes(current: &Configuration, desired: &Declarations) -> Vec<Change> {
    let mut entries = Vec::new();
    let pools = desired.pools.iter().map(|pool| (&pool.name, pool));
    diff_table(
        &current.pools,
        pools,
        &mut entries,
        |pool| Entry::Pool(pool.into()),
        Entry::RemovedPool,
    );
    let routes = desired.routes.iter().map(|route| (&route.name, route));
    diff_table(
        &current.routes,
        routes,
        &mut entries,
        |route| Entry::Route(route.into()),
        Entry::RemovedRoute,
    );
    let teams = desired.teams.iter().map(|team| (&team.name, team));
    diff_table(
        &current.teams,
        teams,
        &mut entries,
        |team| Entry::Team(team.into()),
        Entry::RemovedTeam,
    );
    entries.into_iter().map(|entry| Change { entry: Some(entry) }).collect()
}

fn diff_table<'a, R: PartialEq + 'a>(
    current: &SortedMap<Name, R>,
    desired: impl Iterator<Item = (&'a Name, &'a R)>,
    entries: &mut Vec<Entry>,
    put: impl Fn(&R) -> Entry,
    remove: impl Fn(String) -> Entry,
) {
    let desired: SortedMap<&Name, &R> = desired.collect();
    for (name, row) in desired.iter() {
        if current.get(&**name) != Some(*row) {
            entries.push(put(row));
        }
    }
    for name in current.keys().filter(|name| !desired.contains_key(*name)) {
        entries.push(remove(name.to_string()));
    }
}

fn optional_name(text: &str) -> Option<Name> {
    (!text.is_empty()).then(|| Name::from(text))
}

impl From<&Route> for RouteEntry {
    fn from(route: &Route) -> Self {
        RouteEntry {
            name: route.name.to_string(),
            model: route.model.as_deref().unwrap_or_default().to_owned(),
            path_prefix: route.path_prefix.as_deref().unwrap_or_default().to_owned(),
            pool: route.pool.to_string(),
            repeatable: route.is_repeatable(),
            timeout_ms: route.timeout_ms,
        }
    }
}

impl From<&RouteEntry> for Route {
    fn from(entry: &RouteEntry) -> Self {
        let model = optional_name(&entry.model);
        let default_repeatable = model.is_some();
        Route {
            name: Name::from(entry.name.as_str()),
            model,
            path_prefix: optional_name(&entry.path_prefix),
            pool: Name::from(entry.pool.as_str()),
            repeatable: (entry.repeatable != default_repeatable).then_some(entry.repeatable),
            timeout_ms: entry.timeout_ms,
        }
    }
}

impl From<&Pool> for PoolEntry {
    fn from(pool: &Pool) -> Self {
        let kind = match pool.kind {
            PoolKind::Engines => cuminramp_wire::rows::PoolKind::Engines,
            PoolKind::Services => cuminramp_wire::rows::PoolKind::Services,
        };
        PoolEntry {
            name: pool.name.to_string(),
            kind: kind.into(),
            targets: pool.targets.iter().map(TargetEntry::from).collect(),
        }
    }
}

impl From<&PoolEntry> for Pool {
    fn from(entry: &PoolEntry) -> Self {
        let kind = match entry.kind() {
            cuminramp_wire::rows::PoolKind::Engines => PoolKind::Engines,
            cuminramp_wire::rows::PoolKind::Services => PoolKind::Services,
        };
        let targets = entry.targets.iter().map(Target::from).collect();
        Pool { name: Name::from(entry.name.as_str()), kind, targets }
    }
}

impl From<&Target> for TargetEntry {
    fn from(target: &Target) -> Self {
        TargetEntry {
            name: target.name.to_string(),
            address: target.address.to_string(),
            zone: target.zone.to_string(),
            leaving: target.leaving,
            slots: target.slots,
            checks_fencing: target.checks_fencing,
        }
    }
}

impl From<&TargetEntry> for Target {
    fn from(entry: &TargetEntry) -> Self {
        Target {
            name: Name::from(entry.name.as_str()),
            address: Name::from(entry.address.as_str()),
            zone: Name::from(entry.zone.as_str()),
            leaving: entry.leaving,
            slots: entry.slots,
            checks_fencing: entry.checks_fencing,
        }
    }
}

impl From<&Team> for TeamEntry {
    fn from(team: &Team) -> Self {
        let charge = match team.charge {
            Charge::Requests => ChargeUnit::Requests,
            Charge::Tokens => ChargeUnit::Tokens,
        };
        TeamEntry {
            name: team.name.to_string(),
            rate_milli: (team.rate * MILLI).round() as u64,
            burst_milli: (team.burst * MILLI).round() as u64,
            weight: team.weight,
            charge: charge.into(),
        }
    }
}

impl From<&TeamEntry> for Team {
    fn from(entry: &TeamEntry) -> Self {
        let charge = match entry.charge() {
            ChargeUnit::Requests => Charge::Requests,
            ChargeUnit::Tokens => Charge::Tokens,
        };
        Team {
            name: Name::from(entry.name.as_str()),
            rate: entry.rate_milli as f64 / MILLI,
            burst: entry.burst_milli as f64 / MILLI,
            weight: entry.weight,
            charge,
        }
    }
}

impl KeyGrant {
    /// Returns the table entry of the key with `digest`.
    pub fn to_entry(&self, digest: &cuminramp_core::KeyDigest) -> KeyEntry {
        KeyEntry {
            digest: digest.as_bytes().to_vec(),
            team: self.team.to_string(),
            label: self.label.to_string(),
        }
    }
}
