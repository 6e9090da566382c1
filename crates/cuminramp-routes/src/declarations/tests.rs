use test_case::test_case;

use super::parse_declarations;

#[test_case(r#"{"routes": 3}"#, "file"; "wrong type")]
#[test_case(r#"{"rotes": []}"#, "file"; "unknown key")]
#[test_case(r#"{"teams": [{"name": "t", "rate": 0, "burst": 1}]}"#, "teams[0].rate"; "no rate")]
#[test_case(r#"{"teams": [{"name": "t", "rate": 1, "burst": 0}]}"#, "teams[0].burst"; "no burst")]
#[test_case(r#"{"pools": [{"name": "p", "targets": []}, {"name": "p", "targets": []}]}"#, "pools[1].name"; "duplicate name")]
#[test_case(r#"{"pools": [{"name": "p", "targets": [{"name": "t", "address": "host"}]}]}"#, "pools[0].targets[0].address"; "no address")]
#[test_case(r#"{"pools": [{"name": "p", "targets": []}], "routes": [{"name": "r", "pool": "p"}]}"#, "routes[0].model"; "matches nothing")]
#[test_case(r#"{"pools": [{"name": "p", "targets": []}], "routes": [{"name": "r", "path-prefix": "/v1/x", "pool": "p"}]}"#, "routes[0].path-prefix"; "reserved path")]
fn an_error_names_its_place(text: &str, place: &str) {
    let errors = parse_declarations(text).unwrap_err();

    assert_eq!(errors[0].place, place);
}

#[test]
fn every_error_is_listed() {
    let text = r#"{"teams": [{"name": "", "rate": -1, "burst": 0, "weight": 0}]}"#;

    let errors = parse_declarations(text).unwrap_err();

    assert_eq!(errors.len(), 4);
}
