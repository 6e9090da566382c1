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
#[test_case(r#"{ "unknown": 0 }"#, "unknown")]
#[test_case(r#"{ "name": "#, "line 1 column 10")]
fn a_fault_names_its_place(text: &str, place: &str) {
    let faults = parse_gateway_settings(text).unwrap_err();

    assert_eq!(faults[0].place, place);
}
