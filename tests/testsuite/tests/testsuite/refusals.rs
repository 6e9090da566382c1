//! Bad input: each kind is refused with its own code, is reported as not run, and has no other effect.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use http::Method;
use test_case::test_case;

use crate::support::{Fleet, MODEL, chat_body};

fn large_body() -> String {
    chat_body(&"x".repeat(200_000), 1, false)
}

#[test]
fn bad_requests_are_refused_with_their_code() {
    let fleet = Fleet::start(1);
    let chat = "/v1/chat/completions";
    let cases = [
        (chat, "{".to_owned(), 1001),
        (chat, "[]".to_owned(), 1001),
        (chat, "\u{0}".to_owned(), 1001),
        (chat, format!(r#"{{"model": "{MODEL}", "messages": []}}"#), 1007),
        (chat, chat_body("x", 1, false).replace(MODEL, "nothing"), 1004),
        (chat, large_body(), 1002),
        ("/nowhere", "x".to_owned(), 1004),
        ("/v1/nowhere", "x".to_owned(), 1006),
        ("/v1/batches", "{".to_owned(), 1001),
        ("/v1/batches", r#"{"input_file_id": "file-0", "endpoint": "/v1/other"}"#.to_owned(), 1007),
        (
            "/v1/batches",
            r#"{"input_file_id": "file-0", "endpoint": "/v1/chat/completions"}"#.to_owned(),
            1005,
        ),
        ("/v1/files", "no form".to_owned(), 1001),
    ];

    for (path, body, code) in cases {
        let answer = fleet.call(0, Method::POST, path, &body);

        assert_eq!(answer.code(), code, "{path} {}", answer.text());
        assert_eq!(answer.execution(), "not run");
    }
    assert!(fleet.engines.iter().all(|engine| engine.stats().requests == 0));
}

#[test_case("", 1100; "no key")]
#[test_case("sk-unknown", 1101; "unknown key")]
fn callers_without_a_key_in_force_are_refused(key: &str, code: u64) {
    let fleet = Fleet::start(1);

    let answer =
        fleet.call_as(0, key, Method::POST, "/v1/chat/completions", &chat_body("x", 1, false), &[]);

    assert_eq!(answer.code(), code);
}

// A request carries two keys, one of them added by a proxy. If the first one were used, the request could run
// for a team that didn't send it.
#[test]
fn a_request_with_two_keys_is_refused_as_ambiguous() {
    let fleet = Fleet::start(1);
    let second = [("authorization", "Bearer sk-other")];
    let body = chat_body("x", 1, false);

    let answer = fleet.call_as(0, &fleet.key, Method::POST, "/v1/chat/completions", &body, &second);

    assert_eq!(answer.code(), 1007);
    assert_eq!(answer.execution(), "not run");
}

/// Sends raw bytes and reads until the daemon closes the connection.
fn send_raw(fleet: &Fleet, bytes: &str) -> String {
    let mut stream = TcpStream::connect(fleet.hosts[0].addresses.caller).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    stream.write_all(bytes.as_bytes()).unwrap();
    let mut text = Vec::new();
    stream.read_to_end(&mut text).unwrap();
    String::from_utf8_lossy(&text).into_owned()
}

// A caller sends part of a request and nothing more. Without timeouts, each such caller would hold
// a connection forever.
#[test]
fn incomplete_requests_time_out() {
    let fleet = Fleet::start(1);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: 100\r\n\r\n{{\"mo",
        fleet.key
    );

    let partial_head = send_raw(&fleet, "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthor");
    let partial_body = send_raw(&fleet, &head);

    assert!(!partial_head.contains("200 OK"), "{partial_head}");
    assert!(partial_body.contains("cuminramp-code: 1003"), "{partial_body}");
}
