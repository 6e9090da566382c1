//! What operators write: the tables of routes and pools, and the teams.

use std::fmt;
use std::net::SocketAddr;

use cuminramp_core::{AvailabilityZone, Name};
use serde::{Deserialize, Serialize};

/// The widest rate or burst that a team can have.
const MAX_RATE: f64 = 1e9;
/// The time-out of a route that names none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u32 = 60_000;
/// The slots of a target that names none.
const DEFAULT_SLOTS: u32 = 16;
/// Paths that the daemon serves itself and no route may take.
const RESERVED_PREFIXES: [&str; 2] = ["/v1", "/cuminramp"];

/// One row of the table of routes: which kind of request goes to which pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Route {
    /// The row's name.
    pub name: Name,
    /// Requests for this model; or else `path-prefix` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// Requests whose path starts so; or else `model` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<Name>,
    /// The pool that answers them.
    pub pool: Name,
    /// Whether a request may be sent to a second target after the first may have run it. Routes by
    /// model repeat unless they say otherwise, routes by path don't.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// How long a request may take as a whole, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u32,
}

impl Route {
    /// Whether its requests may be repeated.
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

/// What stands behind a pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines.
    #[default]
    Engines,
    /// Plain services.
    Services,
}

/// One row of the table of pools: which targets stand behind a name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Pool {
    /// The pool's name.
    pub name: Name,
    /// Engines or services.
    #[serde(default)]
    pub kind: PoolKind,
    /// Its targets.
    pub targets: Vec<Target>,
}

/// A back end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Target {
    /// Its name, unique over all pools.
    pub name: Name,
    /// Where it listens, `ip:port`.
    pub address: Name,
    /// Its availability zone.
    #[serde(default)]
    pub zone: AvailabilityZone,
    /// Whether it is to get no new work.
    #[serde(default)]
    pub leaving: bool,
    /// How many requests it works on at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// What a team's rate and burst count.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Charge {
    /// Each request costs one.
    #[default]
    Requests,
    /// Each request costs the most tokens that it may generate.
    Tokens,
}

/// A customer, and what it pays for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Team {
    /// Its name.
    pub name: Name,
    /// Requests (or tokens) a second over all hosts.
    pub rate: f64,
    /// Requests (or tokens) at once over all hosts.
    pub burst: f64,
    /// Its share of idle capacity against other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// What rate and burst count.
    #[serde(default)]
    pub charge: Charge,
}

/// A whole declaration file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Declarations {
    /// The table of routes.
    pub routes: Vec<Route>,
    /// The table of pools.
    pub pools: Vec<Pool>,
    /// The teams.
    pub teams: Vec<Team>,
}

/// Something wrong with a declaration, and where.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeclarationError {
    /// The place, as `routes[2].pool`.
    pub place: String,
    /// What is wrong.
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

/// Reads JSON with comments and checks it; on failure lists everything that is wrong.
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
    /// Lists everything that is wrong.
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
                let reason = "exactly one of model and path-prefix is needed";
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
        errors.push(DeclarationError::new(place, "must start with / and go on"));
    } else if RESERVED_PREFIXES.iter().any(|reserved| prefix.starts_with(reserved)) {
        errors.push(DeclarationError::new(
            place,
            format!("{prefix:?} is served by the daemon itself"),
        ));
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
            let reason = format!("{:?} stands already at {table}[{}]", pair[1].1, pair[0].0);
            errors.push(DeclarationError::new(place, reason));
        }
    }
}

#[cfg(test)]
mod tests;
