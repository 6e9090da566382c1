//! Declared routes, pools, teams and keys, and the version in force.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{Name, SortedMap};

use crate::placement::ColdRule;

/// Number of event gaps of a route without an event after which callers give up a stream. They wait for the
/// longest of this, [`GIVE_UP_OBJECTIVES`] and [`MIN_GIVE_UP`].
const GIVE_UP_GAPS: u32 = 8;
/// Number of objectives of a route without an event after which callers give up a stream.
const GIVE_UP_OBJECTIVES: u32 = 4;
/// Minimum time without an event after which callers give up a stream.
const MIN_GIVE_UP: Duration = Duration::from_secs(2);

/// Whether the requests of a route may run more than once, and how they are answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    AtMostOnce,
    /// Answers are event streams; requests run at most once unless the route's streams are resumable.
    Stream,
    /// Requests submit batch jobs.
    Batch,
}

/// A pool and its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolShare {
    /// Name of the pool.
    pub pool: Name,
    /// Weight of the pool among the route's pools.
    pub weight: u32,
}

/// A declared route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Name,
    /// `Host` header that requests must have.
    pub host: Name,
    /// Prefix that paths must have; begins and ends with a slash.
    pub prefix: Name,
    /// Kind of the route's requests.
    pub kind: RouteKind,
    /// Pools whose targets serve the route.
    pub pools: Vec<PoolShare>,
    /// Timeout after which a caller receives its final answer.
    pub timeout: Duration,
    /// Latency objective: maximum time to the answer, or to a stream's first event, that counts as on
    /// time.
    pub objective: Duration,
    /// Maximum time between two events of a stream that counts as on time.
    pub max_event_gap: Option<Duration>,
    /// Maximum number of targets that may run one attempt of a caller.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Whether a stream can be resumed at another target.
    pub is_resumable: bool,
    /// Time from a job's first submission until its results are due.
    pub due_after: Duration,
    /// Time from a job's first submission until its unfinished items may be given up.
    pub item_ttl: Duration,
    /// Maximum number of tokens in a team's unfinished items on the route; 0 means no limit.
    pub max_waiting_tokens: u64,
    /// Home regions: the regions in which the route's requests may run. Empty means all.
    pub home_regions: Vec<Name>,
    /// Priority of the route's requests while they wait for a slot; 0 is the most urgent.
    pub priority: u8,
}

impl RouteRule {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.is_resumable,
        }
    }

    /// Returns the time after which a caller gives up: without an event for streams with a maximum event gap,
    /// without an answer for other routes.
    pub fn give_up_after(&self) -> Duration {
        match self.max_event_gap {
            Some(gap) if self.kind == RouteKind::Stream => {
                (gap * GIVE_UP_GAPS).max(self.objective * GIVE_UP_OBJECTIVES).max(MIN_GIVE_UP)
            }
            _ => self.timeout,
        }
    }

    /// Returns the pool for a request. Evenly distributed values of `spread` distribute requests over
    /// the pools by weight; if all weights are 0, the first pool is used.
    pub fn pick_pool(&self, spread: u64) -> Option<&Name> {
        let total: u64 = self.pools.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.pools.first().map(|share| &share.pool);
        }
        let mut remaining = spread % total;
        for share in &self.pools {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return Some(&share.pool);
            }
            remaining -= weight;
        }
        None
    }
}

/// A declared pool of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolRule {
    /// Name of the pool.
    pub name: Name,
    /// Maximum number of connections that a target accepts, over all hosts.
    pub max_connections: u32,
    /// Rate limit of cold targets and duration of their slow start.
    pub cold: ColdRule,
}

/// A declared team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRule {
    /// Name of the team.
    pub name: Name,
    /// Keys of the team's callers.
    pub keys: Vec<Name>,
    /// Rate limit in requests per second, over all hosts; 0 means no limit.
    pub rate: f64,
    /// Maximum burst in requests, over all hosts.
    pub burst: f64,
    /// Home regions: the regions in which the team's requests may run. Empty means all.
    pub home_regions: Vec<Name>,
}

impl TeamRule {
    /// Returns the rate limit; `None` if the team has none.
    pub(crate) fn limited_rate(&self) -> Option<f64> {
        (self.rate > 0.0 && self.rate.is_finite()).then_some(self.rate)
    }
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the complete head of a request.
    pub head_timeout: Duration,
    /// Timeout after which an idle connection is closed.
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

/// One version of everything that operators declare.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetDeclarations {
    version: u64,
    limits: CallerLimits,
    routes: SortedMap<Name, Vec<RouteRule>>,
    pools: SortedMap<Name, PoolRule>,
    teams: SortedMap<Name, TeamRule>,
    keys: SortedMap<Name, Name>,
    has_teams: bool,
    /// Mean rate of the teams that have one, calculated once since it is needed for each request.
    mean_team_rate: Option<f64>,
}

/// Returns the mean rate of the teams that have one.
fn calculate_mean_rate(teams: &[TeamRule]) -> Option<f64> {
    let rates = || teams.iter().filter_map(TeamRule::limited_rate);
    let count = rates().count();
    (count > 0).then(|| rates().sum::<f64>() / count as f64)
}

impl FleetDeclarations {
    /// Returns the declarations, indexed for lookups.
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
        let mut routes_by_host: SortedMap<Name, Vec<RouteRule>> = SortedMap::new();
        for route in routes {
            routes_by_host.get_or_insert_with(route.host.clone(), Vec::new).push(route);
        }
        for (_, rules) in routes_by_host.iter_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        let teams_by_key = teams
            .iter()
            .flat_map(|team| team.keys.iter().map(|key| (key.clone(), team.name.clone())));
        FleetDeclarations {
            version,
            limits,
            routes: routes_by_host,
            keys: teams_by_key.collect(),
            has_teams: !teams.is_empty(),
            mean_team_rate: calculate_mean_rate(&teams),
            pools: pools.into_iter().map(|pool| (pool.name.clone(), pool)).collect(),
            teams: teams.into_iter().map(|team| (team.name.clone(), team)).collect(),
        }
    }

    /// Returns the version number that operators gave these declarations.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns whether any team is declared; without teams, no request needs a key.
    pub fn has_teams(&self) -> bool {
        self.has_teams
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.routes.get(host)?.iter().find(|rule| path.starts_with(&*rule.prefix))
    }

    /// Returns the route of `host` with a name.
    ///
    /// ```
    /// assert!(cuminramp_fleet::FleetDeclarations::default().route("host.example", "jobs").is_none());
    /// ```
    pub fn route(&self, host: &str, name: &str) -> Option<&RouteRule> {
        self.routes.get(host)?.iter().find(|rule| *rule.name == *name)
    }

    /// Returns the team that a key belongs to.
    pub fn find_team(&self, key: &str) -> Option<&TeamRule> {
        self.teams.get(&**self.keys.get(key)?)
    }

    /// Returns a team by its name.
    pub fn team(&self, name: &str) -> Option<&TeamRule> {
        self.teams.get(name)
    }

    /// Returns the mean rate of the teams that have one; `None` if none has.
    ///
    /// ```
    /// assert_eq!(cuminramp_fleet::FleetDeclarations::default().mean_team_rate(), None);
    /// ```
    pub fn mean_team_rate(&self) -> Option<f64> {
        self.mean_team_rate
    }

    /// Returns the names of all pools.
    pub fn pools(&self) -> impl Iterator<Item = &Name> {
        self.pools.keys()
    }

    /// Returns the slow start rules of all pools, by the pool's name.
    pub fn cold_rules(&self) -> SortedMap<Name, ColdRule> {
        self.pools.iter().map(|(name, pool)| (name.clone(), pool.cold)).collect()
    }

    /// Returns the home regions of all routes of a host name. Empty, which means all regions, if any of
    /// the routes declares none.
    pub fn home_regions_of(&self, host: &str) -> Vec<Name> {
        let routes = self.routes.get(host).map_or(&[][..], Vec::as_slice);
        if routes.iter().any(|route| route.home_regions.is_empty()) {
            return vec![];
        }
        let mut home_regions: Vec<Name> =
            routes.iter().flat_map(|route| route.home_regions.clone()).collect();
        home_regions.sort();
        home_regions.dedup();
        home_regions
    }

    /// Returns all teams, ordered by name.
    pub fn teams(&self) -> impl Iterator<Item = &TeamRule> {
        self.teams.values()
    }
}

/// Holds the declarations in force, and never replaces them by an earlier version.
#[derive(Debug, Default)]
pub struct DeclarationStore {
    current: Option<Arc<FleetDeclarations>>,
}

impl DeclarationStore {
    /// Puts a version into force if it is later than the current one; returns whether it was.
    ///
    /// Reads of the store may return out of order, and a host that was cut off may pass on the version
    /// from before. If an earlier version replaced a later one, routes and keys that callers already
    /// use would disappear.
    pub fn update(&mut self, offered: Arc<FleetDeclarations>) -> bool {
        let is_later = self.current.as_ref().is_none_or(|held| held.version < offered.version);
        if is_later {
            self.current = Some(offered);
        }
        is_later
    }

    /// Returns the declarations in force; `None` until the first version was received.
    pub fn current(&self) -> Option<&Arc<FleetDeclarations>> {
        self.current.as_ref()
    }
}

#[cfg(test)]
mod tests;
