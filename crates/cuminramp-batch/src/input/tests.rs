use proptest::prelude::*;
use test_case::test_case;

use super::{parse_input, parse_line};

#[test_case("not json", "line-3"; "no json")]
#[test_case(r#"{"custom_id": "x"}"#, "x"; "fields missing")]
#[test_case(r#"{"custom_id": "x", "method": "GET", "url": "/v1/chat/completions", "body": {}}"#, "x"; "method")]
#[test_case(r#"{"custom_id": "x", "method": "POST", "url": "/v1/other", "body": {}}"#, "x"; "url")]
#[test_case(r#"{"custom_id": "x", "method": "POST", "url": "/v1/chat/completions", "body": {}}"#, "x"; "no model")]
fn an_invalid_line_has_its_own_error(line: &str, custom_id: &str) {
    let item_error = parse_line(line, 3).unwrap_err();

    assert_eq!(item_error.custom_id, custom_id);
    assert_eq!(item_error.refusal.code.number(), 1008);
}

proptest! {
    #[test]
    fn any_text_gives_one_outcome_for_each_line(text in "[ -~\n]{0,400}") {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();

        prop_assert_eq!(parse_input(&text, 1).len(), lines);
    }
}
