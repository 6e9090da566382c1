//! Matches requests to routes.

use cuminramp_core::{Name, SortedMap};

use crate::{Configuration, Route};

/// Property of a request by which its route is selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteQuery<'a> {
    /// Model named in the request body.
    Model(&'a str),
    /// Path of a request to a service.
    Path(&'a str),
}

/// Index of route names by model and by path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    by_model: SortedMap<Name, Name>,
    by_prefix: SortedMap<Name, Name>,
}

impl RouteIndex {
    /// Indexes the routes of `configuration`.
    pub fn new(configuration: &Configuration) -> Self {
        let routes = || configuration.routes.values();
        let models = routes().filter_map(|route| Some((route.model.clone()?, route.name.clone())));
        let prefixes =
            routes().filter_map(|route| Some((route.path_prefix.clone()?, route.name.clone())));
        RouteIndex { by_model: models.collect(), by_prefix: prefixes.collect() }
    }

    /// Returns the route for `query`: the route of the model, or the one with the longest path prefix
    /// that matches.
    ///
    /// A prefix matches whole segments: `/bookings` matches `/bookings/7` but not `/bookings2`.
    ///
    /// ```
    /// use cuminramp_routes::{Configuration, RouteIndex, RouteQuery};
    /// let configuration = Configuration::default();
    /// let index = RouteIndex::new(&configuration);
    /// assert!(index.find(&configuration, RouteQuery::Model("m")).is_none());
    /// ```
    pub fn find<'c>(
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

    /// Returns the models that have a route, sorted.
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
