use test_case::test_case;

use super::parse_settings;
use crate::DaemonSettings;

#[test]
fn settings_that_are_not_given_have_their_defaults() {
    let settings = parse_settings("// nothing\n{}").unwrap();

    assert_eq!(settings, DaemonSettings::default());
}

#[test_case(r#"{"peers": {"probe-interval-ms": "1"}}"#, "peers.probe-interval-ms"; "wrong type")]
#[test_case(r#"{"peers": {"probe-interval-ms": -1}}"#, "peers.probe-interval-ms"; "negative")]
#[test_case(r#"{"peers": 3}"#, "peers"; "section as number")]
#[test_case(r#"{"pears": {}}"#, "pears"; "unknown section")]
#[test_case(r#"{"caller-address": "host:1"}"#, "caller-address"; "not an ip")]
#[test_case(r#"{"quota": {"shards": 0}}"#, "quota.shards"; "zero")]
#[test_case(r#"{"targets": {"eject-share": 1.5}}"#, "targets.eject-share"; "share above one")]
#[test_case("{\n\"peers\": {", "line 2 column 10"; "malformed json")]
fn an_error_names_its_place(text: &str, place: &str) {
    let errors = parse_settings(text).unwrap_err();

    assert_eq!(errors[0].place, place);
    assert!(errors[0].to_string().starts_with("1502 "));
}
