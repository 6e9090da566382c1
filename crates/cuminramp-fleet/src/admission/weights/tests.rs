use cuminramp_core::Name;
use test_case::test_case;

use super::TeamWeights;
use crate::declarations::{CallerLimits, FleetDeclarations, TeamRule};

fn team(name: &str, rate: f64) -> TeamRule {
    TeamRule { name: name.into(), keys: vec![], rate, burst: rate, home_regions: vec![] }
}

fn declared(teams: Vec<TeamRule>) -> FleetDeclarations {
    FleetDeclarations::new(1, CallerLimits::default(), vec![], vec![], teams)
}

#[test_case(Some("configured"), 7_500; "the configured weight goes before the declared rate")]
#[test_case(Some("slow"), 10_000; "the declared rate")]
#[test_case(Some("unlimited"), 20_000; "the mean of the rates above 0 for a team without a rate")]
#[test_case(Some("undeclared"), 20_000; "the mean for a team that is not declared")]
#[test_case(None, 20_000; "the mean for a request without a team")]
fn the_weight_has_the_first_source_that_knows_it(name: Option<&str>, expected: u32) {
    let weights = TeamWeights::new(vec![("configured".into(), 7.5)]);
    let teams = [("configured", 20.0), ("fast", 30.0), ("slow", 10.0), ("unlimited", 0.0)];
    let declarations = declared(teams.into_iter().map(|(name, rate)| team(name, rate)).collect());

    let weight = weights.weight_milli(name.map(Name::from).as_ref(), &declarations);

    assert_eq!(weight, expected);
}

/// A weight of 0 would divide by zero at the owner and never get a slot; one that wraps around would give the
/// largest team the smallest share.
#[test_case(1e-9, 1; "below a thousandth")]
#[test_case(1e300, u32::MAX; "above the largest weight")]
#[test_case(f64::INFINITY, 1_000; "infinite")]
#[test_case(f64::NAN, 1_000; "not a number")]
#[test_case(-5.0, 1_000; "negative")]
fn an_extreme_rate_has_a_weight_within_bounds(rate: f64, expected: u32) {
    let declarations = declared(vec![team("extreme", rate)]);

    let weight = TeamWeights::default().weight_milli(Some(&"extreme".into()), &declarations);

    assert_eq!(weight, expected);
}

#[test]
fn teams_without_rates_have_equal_weights() {
    let declarations = declared(vec![team("a", 0.0), team("b", 0.0)]);

    let weight = TeamWeights::default().weight_milli(Some(&"a".into()), &declarations);

    assert_eq!(weight, 1_000);
}
