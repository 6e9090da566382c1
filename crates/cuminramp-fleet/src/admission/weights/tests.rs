use cuminramp_core::Name;
use test_case::test_case;

use super::TeamWeights;
use crate::declarations::{CallerLimits, FleetDeclarations, TeamRule};

fn declarations() -> FleetDeclarations {
    let rates = [("set", 20.0), ("fast", 30.0), ("slow", 10.0), ("unlimited", 0.0)];
    let wrong = [("negative", -5.0), ("infinite", f64::INFINITY)];
    let rule = |(name, rate): (&str, f64)| TeamRule {
        name: name.into(),
        keys: vec![],
        rate,
        burst: rate,
        home_regions: vec![],
    };
    let teams = rates.into_iter().chain(wrong).map(rule).collect();
    FleetDeclarations::new(1, CallerLimits::default(), vec![], vec![], teams)
}

/// A weight of 0 would divide by zero at the owner and never get a slot; one that wraps around would give the
/// largest team the smallest share.
#[test_case(Some("set"), 7_500; "the configured weight goes before the declared rate")]
#[test_case(Some("tiny"), 1; "a configured weight below a thousandth")]
#[test_case(Some("huge"), u32::MAX; "a configured weight above the largest")]
#[test_case(Some("slow"), 10_000; "the declared rate")]
#[test_case(Some("unlimited"), 20_000; "the mean of the rates above 0 for a team without a rate")]
#[test_case(Some("undeclared"), 20_000; "the mean for a team that is not declared")]
#[test_case(Some("negative"), 20_000; "the mean for a negative rate")]
#[test_case(Some("infinite"), 20_000; "the mean for an infinite rate")]
#[test_case(None, 20_000; "the mean for a request without a team")]
fn the_weight_has_the_first_source_that_knows_it(team: Option<&str>, expected: u32) {
    let configured = [("set", 7.5), ("tiny", 1e-9), ("huge", 1e300)];
    let weights = TeamWeights::new(configured.map(|(name, weight)| (name.into(), weight)).into());

    let weight = weights.weight_milli(team.map(Name::from).as_ref(), &declarations());

    assert_eq!(weight, expected);
}
