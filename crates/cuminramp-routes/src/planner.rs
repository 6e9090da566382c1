//! Which route a request takes.

use cuminramp_core::{Name, SortedMap};

use crate::{Configuration, Route};

/// What a request is matched by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteQuery<'a> {
    /// The model that the body names.
    Model(&'a str),
    /// The path of a call to a plain service.
    Path(&'a str),
}

/// Routes indexed by what they match.
#[derive(Clone, Debug, Default)]
pub struct RoutePlanner {
    by_model: SortedMap<Name, Name>,
    by_prefix: SortedMap<Name, Name>,
}

impl RoutePlanner {
    /// Indexes the routes of `configuration`.
    pub fn new(configuration: &Configuration) -> Self {
        let routes = || configuration.routes.values();
        let models = routes().filter_map(|route| Some((route.model.clone()?, route.name.clone())));
        let prefixes =
            routes().filter_map(|route| Some((route.path_prefix.clone()?, route.name.clone())));
        RoutePlanner { by_model: models.collect(), by_prefix: prefixes.collect() }
    }

    /// The route for `query`: the model's own, or the one with the longest matching prefix.
    ///
    /// A prefix matches whole segments: `/bookings` matches `/bookings/7` and not `/bookings2`.
    ///
    /// ```
    /// use cuminramp_routes::{Configuration, RoutePlanner, RouteQuery};
    /// let configuration = Configuration::default();
    /// let planner = RoutePlanner::new(&configuration);
    /// assert!(planner.plan(&configuration, RouteQuery::Model("m")).is_none());
    /// ```
    pub fn plan<'c>(
        &self,
        configuration: &'c Configuration,
        query: RouteQuery<'_>,
    ) -> Option<&'c Route> {
        let name = match query {
            RouteQuery::Model(model) => self.by_model.get(model)?,
            RouteQuery::Path(path) => self.longest_prefix(path)?,
        };
        configuration.routes.get(&**name)
    }

    /// The models that have a route, sorted.
    pub fn models(&self) -> impl Iterator<Item = &Name> {
        self.by_model.keys()
    }

    fn longest_prefix(&self, path: &str) -> Option<&Name> {
        let mut end = path.len();
        loop {
            let candidate = &path[..end];
            let found = self.by_prefix.get(candidate);
            if found.is_some() {
                return found;
            }
            end = candidate.rfind('/')?;
        }
    }
}

#[cfg(test)]
mod tests;
