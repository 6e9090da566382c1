use proptest::prelude::*;
use test_case::test_case;

use super::{GatewaySettings, parse_gateway_settings};

#[test]
fn what_is_not_named_has_its_default() {
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
#[test_case(r#"{ "grace-s": 1e300 }"#, "grace-s"; "a time that no duration can hold")]
#[test_case(r#"{ "steering-keep-s": 1e300 }"#, "steering-keep-s"; "another one")]
#[test_case(r#"{ "rate-window-s": -1 }"#, "rate-window-s")]
#[test_case(r#"{ "unknown": 0 }"#, "unknown")]
#[test_case(r#"{ "name": "#, "line 1 column 10")]
fn a_fault_names_its_place(text: &str, place: &str) {
    let faults = parse_gateway_settings(text).unwrap_err();

    assert_eq!(faults[0].place, place);
}

proptest! {
    /// Settings are filled in by a template, with whatever stands in its fields. They are taken
    /// whole or refused with the place of each fault.
    #[test]
    fn no_text_makes_the_reader_fail_otherwise(
        place in "(name|grace-s|seeds|rate-window-s|log-level|steering-keep-s)",
        value in prop_oneof![
            any::<f64>().prop_map(|number| number.to_string()),
            "[\\[\\]{}\"a0:., /]{0,12}",
        ],
    ) {
        let read = parse_gateway_settings(&format!(r#"{{ "{place}": {value} }}"#));

        if let Ok(settings) = &read {
            prop_assert!(settings.grace().as_secs_f64() > 0.0);
        }
        prop_assert!(read.is_ok() || !read.unwrap_err().is_empty());
    }
}
