//! Declarations of routes, pools and teams, as operators write them, and their checks.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use cuminramp_core::{AvailabilityZone, Name};
use serde::{Deserialize, Serialize};

/// Maximum of a team's rate (requests or tokens a second) and of its burst (requests or tokens).
const MAX_RATE: f64 = 1e9;
/// Timeout of a route that declares none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u32 = 60_000;
/// Slots of a target that declares none.
const DEFAULT_SLOTS: u32 = 16;
/// Path prefixes that the daemon serves itself; no route may use them.
const RESERVED_PREFIXES: [&str; 2] = ["/v1", "/cuminramp"];

/// Rule that sends the requests for a model or path prefix to a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Route {
    /// Name of the route, unique over all routes.
    pub name: Name,
    /// Model whose requests the route matches. Exactly one of `model` and `path-prefix` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// Prefix of the paths that the route matches, in whole segments. Exactly one of `model` and
    /// `path-prefix` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<Name>,
    /// Name of the pool whose targets serve the requests.
    pub pool: Name,
    /// Whether a request may be sent to a second target after the first may have run it. The default
    /// is true for a route by model and false for a route by path.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// Timeout of a request as a whole, over all its attempts, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u32,
}

impl Route {
    /// Returns the timeout of a request as a whole.
    ///
    /// ```
    /// use std::time::Duration;
    /// let text = r#"{"name": "r", "path-prefix": "/bookings", "pool": "p", "timeout-ms": 3000}"#;
    /// let route: cuminramp_routes::Route = serde_json::from_str(text).unwrap();
    /// assert_eq!(route.timeout(), Duration::from_secs(3));
    /// ```
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }

    /// Returns whether the route's requests may be repeated on another target.
    ///
    /// ```
    /// let text = r#"{"name": "r", "path-prefix": "/bookings", "pool": "p"}"#;
    /// let route: cuminramp_routes::Route = serde_json::from_str(text).unwrap();
    /// assert!(!route.is_repeatable());
    /// ```
    pub fn is_repeatable(&self) -> bool {
        self.repeatable.unwrap_or(self.model.is_some())
    }
}

fn default_timeout() -> u32 {
    DEFAULT_TIMEOUT_MS
}

fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

fn default_weight() -> u32 {
    1
}

/// Kind of a pool's targets.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Engines that run a model.
    #[default]
    Engines,
    /// Services without a model.
    Services,
}

/// Named set of targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Pool {
    /// Name of the pool, unique over all pools.
    pub name: Name,
    /// Whether the targets are engines or services.
    #[serde(default)]
    pub kind: PoolKind,
    /// Targets of the pool.
    pub targets: Vec<Target>,
}

/// Backend that serves requests: an engine or an instance of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Target {
    /// Name of the target, unique over all pools.
    pub name: Name,
    /// Address that the target listens on, as `ip:port`.
    pub address: Name,
    /// Availability zone of the target.
    #[serde(default)]
    pub zone: AvailabilityZone,
    /// Whether the target is draining and gets no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Number of requests that the target runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the target rejects a request with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Unit in which a team's rate and burst are counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Charge {
    /// Each request costs 1.
    #[default]
    Requests,
    /// Each request costs the maximum number of tokens that it may generate.
    Tokens,
}

/// Group of callers with a common rate limit and a weight.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Team {
    /// Name of the team, unique over all teams.
    pub name: Name,
    /// Requests or tokens a second that all hosts together admit.
    pub rate: f64,
    /// Requests or tokens that all hosts together admit at once.
    pub burst: f64,
    /// Weight by which the team shares capacity with other teams while requests or batch items wait.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Unit of `rate` and `burst`.
    #[serde(default)]
    pub charge: Charge,
}

/// Contents of a declaration file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Declarations {
    /// All routes.
    pub routes: Vec<Route>,
    /// All pools with their targets.
    pub pools: Vec<Pool>,
    /// All teams.
    pub teams: Vec<Team>,
}

/// An invalid declaration and its place in the file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeclarationError {
    /// Path of the invalid field, such as `routes[2].pool`, or `file` for malformed JSON, an unknown key
    /// or a wrong type.
    pub place: String,
    /// Description of the error.
    pub reason: String,
}

impl DeclarationError {
    fn new(place: impl Into<String>, reason: impl Into<String>) -> Self {
        DeclarationError { place: place.into(), reason: reason.into() }
    }
}

impl fmt::Display for DeclarationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.reason)
    }
}

/// Parses a declaration file, JSON with comments, and checks it.
///
/// If the JSON matches the schema, the returned errors are all that [`Declarations::check`] finds, so
/// that an operator can correct the file in one pass.
///
/// ```
/// let text = r#"{ "routes": [{"name": "r", "model": "m", "pool": "nowhere"}] }"#;
/// let errors = cuminramp_routes::parse_declarations(text).unwrap_err();
/// assert_eq!(errors[0].place, "routes[0].pool");
/// ```
pub fn parse_declarations(text: &str) -> Result<Declarations, Vec<DeclarationError>> {
    let declarations: Declarations = serde_jsonc::from_str(text)
        .map_err(|error| vec![DeclarationError::new("file", error.to_string())])?;
    let errors = declarations.check();
    if errors.is_empty() { Ok(declarations) } else { Err(errors) }
}

impl Declarations {
    /// Returns every error in the declarations, not only the first.
    pub fn check(&self) -> Vec<DeclarationError> {
        let mut errors = Vec::new();
        self.check_names(&mut errors);
        self.check_routes(&mut errors);
        self.check_targets(&mut errors);
        self.check_teams(&mut errors);
        errors
    }

    fn check_names(&self, errors: &mut Vec<DeclarationError>) {
        let targets = || self.pools.iter().flat_map(|pool| pool.targets.iter());
        check_unique("routes", "name", self.routes.iter().map(|row| Some(&row.name)), errors);
        check_unique("routes", "model", self.routes.iter().map(|row| row.model.as_ref()), errors);
        let prefixes = self.routes.iter().map(|row| row.path_prefix.as_ref());
        check_unique("routes", "path-prefix", prefixes, errors);
        check_unique("pools", "name", self.pools.iter().map(|row| Some(&row.name)), errors);
        check_unique("targets", "name", targets().map(|row| Some(&row.name)), errors);
        check_unique("teams", "name", self.teams.iter().map(|row| Some(&row.name)), errors);
    }

    fn check_routes(&self, errors: &mut Vec<DeclarationError>) {
        for (index, route) in self.routes.iter().enumerate() {
            let place = |field: &str| format!("routes[{index}].{field}");
            if route.model.is_some() == route.path_prefix.is_some() {
                let reason = "exactly one of model and path-prefix must be set";
                errors.push(DeclarationError::new(place("model"), reason));
            }
            if let Some(prefix) = &route.path_prefix {
                check_prefix(place("path-prefix"), prefix, errors);
            }
            if !self.pools.iter().any(|pool| pool.name == route.pool) {
                let reason = format!("no pool is named {:?}", route.pool);
                errors.push(DeclarationError::new(place("pool"), reason));
            }
            if route.timeout_ms == 0 {
                errors.push(DeclarationError::new(place("timeout-ms"), "must be above 0"));
            }
        }
    }

    fn check_targets(&self, errors: &mut Vec<DeclarationError>) {
        for (pool_index, pool) in self.pools.iter().enumerate() {
            for (index, target) in pool.targets.iter().enumerate() {
                let place = |field: &str| format!("pools[{pool_index}].targets[{index}].{field}");
                if target.address.parse::<SocketAddr>().is_err() {
                    let reason = format!("{:?} is not ip:port", target.address);
                    errors.push(DeclarationError::new(place("address"), reason));
                }
                if target.slots == 0 {
                    errors.push(DeclarationError::new(place("slots"), "must be above 0"));
                }
            }
        }
    }

    fn check_teams(&self, errors: &mut Vec<DeclarationError>) {
        for (index, team) in self.teams.iter().enumerate() {
            let place = |field: &str| format!("teams[{index}].{field}");
            if !(team.rate > 0.0 && team.rate <= MAX_RATE) {
                errors
                    .push(DeclarationError::new(place("rate"), "must be above 0 and at most 1e9"));
            }
            if !(team.burst >= 1.0 && team.burst <= MAX_RATE) {
                errors.push(DeclarationError::new(place("burst"), "must be from 1 to 1e9"));
            }
            if team.weight == 0 {
                errors.push(DeclarationError::new(place("weight"), "must be above 0"));
            }
        }
    }
}

fn check_prefix(place: String, prefix: &str, errors: &mut Vec<DeclarationError>) {
    if !prefix.starts_with('/') || prefix.len() < 2 {
        errors
            .push(DeclarationError::new(place, "must start with / and have at least 2 characters"));
    } else if RESERVED_PREFIXES.iter().any(|reserved| prefix.starts_with(reserved)) {
        errors.push(DeclarationError::new(place, format!("{prefix:?} is reserved for the daemon")));
    }
}

fn check_unique<'a>(
    table: &str,
    field: &str,
    names: impl Iterator<Item = Option<&'a Name>>,
    errors: &mut Vec<DeclarationError>,
) {
    let mut seen: Vec<(usize, &Name)> =
        names.enumerate().filter_map(|(index, name)| Some((index, name?))).collect();
    for (index, name) in &seen {
        if name.is_empty() {
            let place = format!("{table}[{index}].{field}");
            errors.push(DeclarationError::new(place, "must not be empty"));
        }
    }
    seen.sort_by(|left, right| (left.1, left.0).cmp(&(right.1, right.0)));
    for pair in seen.windows(2) {
        if pair[0].1 == pair[1].1 {
            let place = format!("{table}[{}].{field}", pair[1].0);
            let reason = format!("{:?} is already used by {table}[{}]", pair[1].1, pair[0].0);
            errors.push(DeclarationError::new(place, reason));
        }
    }
}

#[cfg(test)]
mod tests;
