use proptest::prelude::*;
use test_case::test_case;

use super::{GatewaySettings, parse_gateway_settings};

#[test]
fn settings_that_are_not_given_have_their_defaults() {
    let settings = parse_gateway_settings("{ // nothing\n }").unwrap();

    assert_eq!(settings, GatewaySettings::default());
}

#[test_case(r#"{ "caller-address": "nowhere" }"#, "caller-address")]
#[test_case(r#"{ "seeds": ["10.0.0.1"] }"#, "seeds")]
#[test_case(r#"{ "seeds": "10.0.0.1:1" }"#, "seeds")]
#[test_case(r#"{ "log-level": "loud" }"#, "log-level")]
#[test_case(r#"{ "availability-zone": "" }"#, "availability-zone")]
#[test_case(r#"{ "grace-s": 0 }"#, "grace-s")]
#[test_case(r#"{ "steering-keep-s": 0 }"#, "steering-keep-s")]
#[test_case(r#"{ "grace-s": 1e300 }"#, "grace-s"; "grace time too long for a duration")]
#[test_case(r#"{ "steering-keep-s": 1e300 }"#, "steering-keep-s"; "steering time too long for a duration")]
#[test_case(r#"{ "rate-window-s": -1 }"#, "rate-window-s")]
#[test_case(r#"{ "target-pace": "on" }"#, "target-pace")]
#[test_case(r#"{ "unknown": 0 }"#, "unknown")]
#[test_case(r#"{ "name": "#, "line 1 column 10")]
fn an_error_names_its_place(text: &str, place: &str) {
    let errors = parse_gateway_settings(text).unwrap_err();

    assert_eq!(errors[0].place, place);
}

proptest! {
    /// Guards against a panic on values that a template fills in unchecked: any text is parsed completely
    /// or rejected with at least one error.
    #[test]
    fn any_text_is_parsed_or_rejected_with_an_error(
        place in "(name|grace-s|seeds|rate-window-s|log-level|steering-keep-s)",
        value in prop_oneof![
            any::<f64>().prop_map(|number| number.to_string()),
            "[\\[\\]{}\"a0:., /]{0,12}",
        ],
    ) {
        let result = parse_gateway_settings(&format!(r#"{{ "{place}": {value} }}"#));

        if let Ok(settings) = &result {
            prop_assert!(settings.grace().as_secs_f64() > 0.0);
        }
        prop_assert!(result.is_ok() || !result.unwrap_err().is_empty());
    }
}
