use test_case::test_case;

use super::{MAX_BYTES_WITHOUT_EVENT, StreamProgress, is_event};
use crate::targets::EventSplitter;

fn progress_of(stream: &str) -> StreamProgress {
    let mut splitter = EventSplitter::default();
    splitter.push(stream.as_bytes());
    let mut progress = StreamProgress::default();
    while let Some(event) = splitter.next_event() {
        progress.record(&event);
    }
    progress
}

#[test_case("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2)]
#[test_case("data: a\n\ndata: b\n\n", 2; "events without numbers")]
#[test_case("id: 1\ndata: a\n\nid: 1\ndata: a\n\n", 1; "an event that was sent before")]
#[test_case("id: 1\ndata: a\n\ndata: b\n\n", 1; "an event without a number after one with a number")]
#[test_case(": waiting\n\n", 0; "a comment")]
#[test_case("id: 1\n\n", 0; "an event without data")]
fn events_are_counted_that_bring_a_stream_forward(stream: &str, events: u64) {
    assert_eq!(progress_of(stream).events(), events);
}

/// A target sends the same event or comments without end. Guards against a stream that waits for it until its deadline.
#[test_case("id: 1\ndata: a\n\n")]
#[test_case(": waiting\n\n")]
fn bytes_without_a_new_event_are_bounded(part: &str) {
    let few = progress_of(&part.repeat(100));
    let many = progress_of(&part.repeat(MAX_BYTES_WITHOUT_EVENT / part.len() + 2));

    assert_eq!(few.error(), None);
    assert!(many.error().is_some());
}

#[test_case("id: 1\r\ndata: a\r\n\r\n", true)]
#[test_case(": comment\n\n", true)]
#[test_case("x-weight-versions: 3\nid: 4\ndata: a\n\n", true)]
#[test_case("these bytes are no answer\n\n", false)]
#[test_case("<html>: x\n\n", false)]
fn lines_of_events_are_fields(raw: &str, expected: bool) {
    assert_eq!(is_event(raw.as_bytes()), expected);
}
