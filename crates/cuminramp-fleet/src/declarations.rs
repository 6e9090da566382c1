//! Routes, pools, teams and keys in force.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{Name, SortedMap};

use crate::placement::ColdRule;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    Once,
    /// Answers are event streams; they run at most once unless they can be resumed.
    Stream,
    /// Batch jobs, handed in whole.
    Batch,
}

/// A pool and how large a part of a route's requests goes there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolShare {
    /// The pool.
    pub pool: Name,
    /// Its weight among the route's pools.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Its name.
    pub name: Name,
    /// The `Host` header that it answers to.
    pub host: Name,
    /// What paths begin with; begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Pools behind it.
    pub pools: Vec<PoolShare>,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or a stream's first event, for full credit.
    pub objective: Duration,
    /// The longest pause between two events that is still on time.
    pub gap: Option<Duration>,
    /// Targets that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a stream can go on at another target.
    pub is_resumable: bool,
    /// How long after its first send a job's results are due.
    pub due: Duration,
    /// How long after its first send an item may be given up.
    pub keep: Duration,
    /// Tokens that a team may have waiting; 0 means no limit.
    pub waiting_tokens: u64,
    /// Regions in which its requests may run; all where none is named.
    pub homes: Vec<Name>,
}

impl RouteRule {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.is_resumable,
        }
    }

    /// The pool for a request, by a number that spreads requests.
    pub fn pick_pool(&self, spread: u64) -> Option<&Name> {
        let total: u64 = self.pools.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.pools.first().map(|share| &share.pool);
        }
        let mut left = spread % total;
        for share in &self.pools {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.pool);
            }
            left -= weight;
        }
        None
    }
}

/// One pool of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolRule {
    /// Its name.
    pub name: Name,
    /// Connections that a target takes from all hosts together.
    pub max_connections: u32,
    /// What its targets bear while they are cold.
    pub cold: ColdRule,
}

/// One team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRule {
    /// Its name.
    pub name: Name,
    /// Keys of its callers.
    pub keys: Vec<Name>,
    /// Requests a second over all hosts; 0 means no limit.
    pub rate: f64,
    /// Requests at once over all hosts.
    pub burst: f64,
    /// Regions in which its requests may run; all where none is named.
    pub homes: Vec<Name>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Until the head of a request is whole.
    pub head_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Everything that operators declare, of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetDeclarations {
    version: u64,
    limits: CallerLimits,
    routes: SortedMap<Name, Vec<RouteRule>>,
    pools: SortedMap<Name, PoolRule>,
    teams: SortedMap<Name, TeamRule>,
    keys: SortedMap<Name, Name>,
    has_teams: bool,
}

impl FleetDeclarations {
    /// Indexes what was declared.
    ///
    /// ```
    /// use cuminramp_fleet::{CallerLimits, FleetDeclarations};
    /// let declared =
    ///     FleetDeclarations::new(7, CallerLimits::default(), vec![], vec![], vec![]);
    /// assert_eq!(declared.version(), 7);
    /// assert!(declared.find_route("a.example", "/x/").is_none());
    /// ```
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<RouteRule>,
        pools: Vec<PoolRule>,
        teams: Vec<TeamRule>,
    ) -> Self {
        let mut by_host: SortedMap<Name, Vec<RouteRule>> = SortedMap::new();
        for route in routes {
            by_host.get_or_insert_with(route.host.clone(), Vec::new).push(route);
        }
        for (_, rules) in by_host.iter_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        let owners = teams
            .iter()
            .flat_map(|team| team.keys.iter().map(|key| (key.clone(), team.name.clone())));
        FleetDeclarations {
            version,
            limits,
            routes: by_host,
            keys: owners.collect(),
            has_teams: !teams.is_empty(),
            pools: pools.into_iter().map(|pool| (pool.name.clone(), pool)).collect(),
            teams: teams.into_iter().map(|team| (team.name.clone(), team)).collect(),
        }
    }

    /// The operators' number of this version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Whether requests need keys at all.
    pub fn has_teams(&self) -> bool {
        self.has_teams
    }

    /// The route with the longest prefix that begins `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.routes.get(host)?.iter().find(|rule| path.starts_with(&*rule.prefix))
    }

    /// The team that holds a key.
    pub fn find_team(&self, key: &str) -> Option<&TeamRule> {
        self.teams.get(&**self.keys.get(key)?)
    }

    /// A team by its name.
    pub fn team(&self, name: &str) -> Option<&TeamRule> {
        self.teams.get(name)
    }

    /// What cold targets of each pool bear.
    pub fn cold_rules(&self) -> SortedMap<Name, ColdRule> {
        self.pools.iter().map(|(name, pool)| (name.clone(), pool.cold)).collect()
    }

    /// Regions in which requests for a host name may run; none where a route of it names no homes.
    pub fn homes_of(&self, host: &str) -> Vec<Name> {
        let routes = self.routes.get(host).map_or(&[][..], Vec::as_slice);
        if routes.iter().any(|route| route.homes.is_empty()) {
            return vec![];
        }
        let mut homes: Vec<Name> = routes.iter().flat_map(|route| route.homes.clone()).collect();
        homes.sort();
        homes.dedup();
        homes
    }

    /// All teams in the order of their names.
    pub fn teams(&self) -> impl Iterator<Item = &TeamRule> {
        self.teams.values()
    }
}

/// The declarations in force; they never go back to an earlier version.
#[derive(Debug, Default)]
pub struct DeclarationStore {
    current: Option<Arc<FleetDeclarations>>,
}

impl DeclarationStore {
    /// Takes a version if it is later than the one in force; says whether it did.
    ///
    /// An answer of the store may come from before an earlier one, and a host that was cut off may
    /// pass on what it knew then. Callers would notice a route or key that is gone again.
    pub fn offer(&mut self, offered: Arc<FleetDeclarations>) -> bool {
        let is_later = self.current.as_ref().is_none_or(|held| held.version < offered.version);
        if is_later {
            self.current = Some(offered);
        }
        is_later
    }

    /// What is in force; `None` until the first version is known.
    pub fn current(&self) -> Option<&Arc<FleetDeclarations>> {
        self.current.as_ref()
    }
}

#[cfg(test)]
mod tests;
