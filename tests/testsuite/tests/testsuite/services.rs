//! Calls to plain services, and calls that must not run twice.

use cuminramp_standin::PlatformFaults;
use http::Method;

use crate::support::{Fleet, chat_body};

const BOOKING: &str = "seat=4&hall=2";

fn book(fleet: &Fleet, host: usize, key: &str) -> crate::support::Answer {
    let headers = [("idempotency-key", key)];
    fleet.call_as(host, &fleet.key, Method::POST, "/bookings/confirm", BOOKING, &headers)
}

fn bookings(fleet: &Fleet) -> u32 {
    let runs = fleet.engines[0].runs();
    runs.iter().filter(|(call, _)| call.contains("/bookings")).map(|(_, runs)| runs).sum()
}

#[test]
fn a_service_receives_method_and_body_but_no_key_and_its_headers_are_returned() {
    let fleet = Fleet::start(1);

    for method in [Method::GET, Method::PUT, Method::DELETE, Method::PATCH] {
        let answer = fleet.call(0, method.clone(), "/bookings/7?hall=2", "notes");
        assert_eq!(answer.headers["x-service"], "stand-in");
        let answer = answer.json();

        assert_eq!(answer["method"], method.as_str());
        assert_eq!(answer["path"], "/bookings/7?hall=2");
        assert_eq!(answer["body"], "notes");
        assert_eq!(answer["saw-key"], false);
    }
}

// A caller that received no answer to a booking sends it again through other hosts.
#[test]
fn a_booking_that_is_retried_at_other_hosts_runs_once_and_returns_its_answer() {
    let fleet = Fleet::start(3);

    let first = book(&fleet, 0, "booking-1");
    let mut retries = Vec::new();
    fleet.wait("the answer is stored", |fleet| book(fleet, 1, "booking-1").status == 200);
    retries.push(book(&fleet, 1, "booking-1"));
    retries.push(book(&fleet, 2, "booking-1"));

    assert_eq!(bookings(&fleet), 1);
    assert!(retries.iter().all(|answer| answer.body == first.body));
}

// A caller mistakenly reuses an idempotency key for a different request.
#[test]
fn an_idempotency_key_of_another_request_is_refused() {
    let fleet = Fleet::start(1);
    book(&fleet, 0, "booking-1");

    let headers = [("idempotency-key", "booking-1")];
    let other = fleet.call_as(0, &fleet.key, Method::POST, "/bookings/confirm", "seat=5", &headers);

    assert_eq!(other.code(), 1007);
    assert_eq!(bookings(&fleet), 1);
}

// The service accepts the booking and never answers. If the booking were sent again, it could be confirmed
// twice; if it were reported as "not run", its caller would make a second one.
#[test]
fn a_booking_without_an_answer_may_have_run_and_is_not_sent_again() {
    let fleet = Fleet::start(2);
    fleet.engines[0].set_unresponsive(true);

    let first = book(&fleet, 0, "booking-1");
    fleet.engines[0].set_unresponsive(false);
    let retry = book(&fleet, 1, "booking-1");

    assert_eq!(first.execution(), "may have run");
    assert_eq!(retry.code(), 1305);
    assert_ne!(retry.execution(), "not run");
    assert_eq!(bookings(&fleet), 0);
}

// While the table is down, a host can't find out whether another host has started the booking.
#[test]
fn without_the_table_a_booking_is_not_run() {
    let fleet = Fleet::start(1);
    fleet.set_platform(PlatformFaults { down: true, ..PlatformFaults::default() });

    let refused = book(&fleet, 0, "booking-1");
    let chat = fleet.call(0, Method::POST, "/v1/chat/completions", &chat_body("x", 1, false));
    fleet.set_platform(PlatformFaults::default());
    let later = book(&fleet, 0, "booking-1");

    assert_eq!((refused.code(), refused.execution().as_str()), (1400, "not run"));
    assert_eq!(chat.status, 200);
    assert_eq!(later.status, 200);
    assert_eq!(bookings(&fleet), 1);
}

// The answers to all writes are lost after the writes took effect. A host that mistook its own start mark
// for that of another host would refuse the booking forever; one that ignored start marks could run it twice.
#[test]
fn a_booking_runs_once_if_the_answer_to_its_start_mark_is_lost() {
    let fleet = Fleet::start(2);
    fleet
        .set_platform(PlatformFaults { lost_answers_permille: 1_000, ..PlatformFaults::default() });

    let first = book(&fleet, 0, "booking-1");
    book(&fleet, 1, "booking-1");

    assert_eq!(first.status, 200, "{}", first.text());
    assert_eq!(bookings(&fleet), 1);
}
