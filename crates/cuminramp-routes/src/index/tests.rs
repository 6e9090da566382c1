use test_case::test_case;

use super::{RouteIndex, RouteQuery};
use crate::{Configuration, Route};

fn route(name: &str, model: Option<&str>, prefix: Option<&str>) -> Route {
    Route {
        name: name.into(),
        model: model.map(Into::into),
        path_prefix: prefix.map(Into::into),
        pool: "p".into(),
        repeatable: None,
        timeout_ms: 1,
    }
}

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    for row in [
        route("chat", Some("llm"), None),
        route("bookings", None, Some("/bookings")),
        route("seats", None, Some("/bookings/seats")),
    ] {
        configuration.routes.insert(row.name.clone(), row);
    }
    configuration
}

#[test_case(RouteQuery::Model("llm"), Some("chat"))]
#[test_case(RouteQuery::Model("other"), None)]
#[test_case(RouteQuery::Path("/bookings"), Some("bookings"))]
#[test_case(RouteQuery::Path("/bookings/7"), Some("bookings"))]
#[test_case(RouteQuery::Path("/bookings/seats/7"), Some("seats"))]
#[test_case(RouteQuery::Path("/bookings2"), None)]
#[test_case(RouteQuery::Path("/"), None)]
fn the_most_specific_route_is_selected(query: RouteQuery<'_>, expected: Option<&str>) {
    let configuration = configuration();
    let index = RouteIndex::new(&configuration);

    let found = index.find(&configuration, query);

    assert_eq!(found.map(|route| &*route.name), expected);
}
