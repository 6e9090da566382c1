//! The configuration in force on a host.

use std::fmt;

use cuminramp_core::{KeyDigest, Name, SortedMap};
use cuminramp_wire::rows::change::Entry;
use cuminramp_wire::rows::{ChangeSet, KeyEntry, PoolEntry, RouteEntry, Snapshot, TeamEntry};

use crate::declarations::{DeclarationError, Declarations, Pool, Route, Team};

/// Assignment of a key to a team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyGrant {
    /// Team that requests with the key belong to.
    pub team: Name,
    /// Name that operators gave the key.
    pub label: Name,
}

/// Reason why a change set can't be applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyError {
    /// The set's generation is not above the one in force.
    Stale,
    /// One or more generations between the one in force and the set's are missing.
    Gap,
}

impl fmt::Display for ApplyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ApplyError::Stale => "the generation is not above the one in force",
            ApplyError::Gap => "changes before this one are missing",
        })
    }
}

impl std::error::Error for ApplyError {}

/// Routes, pools, teams and keys of one generation. Generation 0 is empty.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Number of the generation.
    pub generation: u64,
    /// Routes by name.
    pub routes: SortedMap<Name, Route>,
    /// Pools by name.
    pub pools: SortedMap<Name, Pool>,
    /// Teams by name.
    pub teams: SortedMap<Name, Team>,
    /// Teams and labels of keys by the key's digest.
    pub keys: SortedMap<KeyDigest, KeyGrant>,
}

impl Configuration {
    /// Returns the configuration with `set` applied.
    ///
    /// Only the set of the next generation is applied. A set that arrives late, twice or out of order
    /// is rejected, so the configuration in force never returns to an older generation.
    ///
    /// ```
    /// use cuminramp_routes::{ApplyError, Configuration};
    /// use cuminramp_wire::rows::ChangeSet;
    /// let set = ChangeSet { generation: 1, ..ChangeSet::default() };
    /// let next = Configuration::default().apply(&set).unwrap();
    /// assert_eq!(next.generation, 1);
    /// assert_eq!(next.apply(&set), Err(ApplyError::Stale));
    /// ```
    pub fn apply(&self, set: &ChangeSet) -> Result<Configuration, ApplyError> {
        if set.generation <= self.generation {
            return Err(ApplyError::Stale);
        }
        if set.generation > self.generation + 1 {
            return Err(ApplyError::Gap);
        }
        let mut next = self.clone();
        next.generation = set.generation;
        for change in &set.changes {
            if let Some(entry) = &change.entry {
                next.apply_entry(entry);
            }
        }
        Ok(next)
    }

    fn apply_entry(&mut self, entry: &Entry) {
        match entry {
            Entry::Route(entry) => self.put_route(entry),
            Entry::Pool(entry) => self.put_pool(entry),
            Entry::Team(entry) => self.put_team(entry),
            Entry::Key(entry) => self.put_key(entry),
            Entry::RemovedRoute(name) => drop(self.routes.remove(name.as_str())),
            Entry::RemovedPool(name) => drop(self.pools.remove(name.as_str())),
            Entry::RemovedTeam(name) => drop(self.teams.remove(name.as_str())),
            Entry::WithdrawnKey(bytes) => {
                if let Some(digest) = KeyDigest::from_bytes(bytes) {
                    self.keys.remove(&digest);
                }
            }
        }
    }

    fn put_route(&mut self, entry: &RouteEntry) {
        let route = Route::from(entry);
        self.routes.insert(route.name.clone(), route);
    }

    fn put_pool(&mut self, entry: &PoolEntry) {
        let pool = Pool::from(entry);
        self.pools.insert(pool.name.clone(), pool);
    }

    fn put_team(&mut self, entry: &TeamEntry) {
        let team = Team::from(entry);
        self.teams.insert(team.name.clone(), team);
    }

    fn put_key(&mut self, entry: &KeyEntry) {
        if let Some((digest, grant)) = self.convert_key(entry) {
            self.keys.insert(digest, grant);
        }
    }

    /// Converts a key's entry, or returns `None` if its digest is malformed.
    ///
    /// The grant shares the name of a declared team, so that many keys of a team don't each store a copy.
    fn convert_key(&self, entry: &KeyEntry) -> Option<(KeyDigest, KeyGrant)> {
        let digest = KeyDigest::from_bytes(&entry.digest)?;
        let team = match self.teams.get(entry.team.as_str()) {
            Some(team) => team.name.clone(),
            None => Name::from(entry.team.as_str()),
        };
        Some((digest, KeyGrant { team, label: Name::from(entry.label.as_str()) }))
    }

    /// Returns the full configuration as one message.
    pub fn to_snapshot(&self) -> Snapshot {
        Snapshot {
            generation: self.generation,
            routes: self.routes.values().map(RouteEntry::from).collect(),
            pools: self.pools.values().map(PoolEntry::from).collect(),
            teams: self.teams.values().map(TeamEntry::from).collect(),
            keys: self.keys.iter().map(|(digest, grant)| grant.to_entry(digest)).collect(),
        }
    }

    /// Creates the configuration that a snapshot contains.
    ///
    /// ```
    /// use cuminramp_routes::Configuration;
    /// let configuration = Configuration::default();
    /// assert_eq!(Configuration::from_snapshot(&configuration.to_snapshot()), configuration);
    /// ```
    pub fn from_snapshot(snapshot: &Snapshot) -> Configuration {
        let routes = snapshot.routes.iter().map(Route::from);
        let pools = snapshot.pools.iter().map(Pool::from);
        let teams = snapshot.teams.iter().map(Team::from);
        let mut configuration = Configuration {
            generation: snapshot.generation,
            routes: routes.map(|route| (route.name.clone(), route)).collect(),
            pools: pools.map(|pool| (pool.name.clone(), pool)).collect(),
            teams: teams.map(|team| (team.name.clone(), team)).collect(),
            keys: SortedMap::new(),
        };
        let keys =
            snapshot.keys.iter().filter_map(|entry| configuration.convert_key(entry)).collect();
        configuration.keys = keys;
        configuration
    }

    /// Returns the declarations of this configuration, which contain no keys.
    pub fn to_declarations(&self) -> Declarations {
        Declarations {
            routes: self.routes.values().cloned().collect(),
            pools: self.pools.values().cloned().collect(),
            teams: self.teams.values().cloned().collect(),
        }
    }

    /// Returns every error: those of [`Declarations::check`], and keys whose team is not declared.
    pub fn check(&self) -> Vec<DeclarationError> {
        let mut errors = self.to_declarations().check();
        for grant in self.keys.values().filter(|grant| !self.teams.contains_key(&*grant.team)) {
            errors.push(DeclarationError {
                place: format!("keys[{}]", grant.label),
                reason: format!(
                    "its team {:?} is not declared; withdraw the key first",
                    grant.team
                ),
            });
        }
        errors
    }

    /// Returns the grant of the key with `digest`.
    ///
    /// The timing of the binary search depends on digests, which reveal nothing about the key. The
    /// final comparison is constant-time: it doesn't depend on where two digests differ.
    pub fn find_key(&self, digest: &KeyDigest) -> Option<&KeyGrant> {
        let (found, grant) = self.keys.get_key_value(digest)?;
        found.matches(digest).then_some(grant)
    }
}
