use proptest::prelude::*;
use test_case::test_case;

use super::{EventSplitter, MAX_EVENT_BYTES, StreamEnd};
use crate::targets::ResponseFraming::{self, Chunks, Connection};

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\r\ndata:b\r\ndata: c\r\n\r\nid: 3\ndata: half";

fn split(chunk: usize) -> (Vec<(Option<u64>, String)>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for bytes in STREAM.as_bytes().chunks(chunk) {
        splitter.push(bytes);
        while let Some(event) = splitter.next_event() {
            events.push((event.id, event.data()));
        }
    }
    (events, splitter.rest().to_vec())
}

/// A target closes the connection in the middle of an event, and its bytes arrive in pieces of any size. If
/// the incomplete event were passed on, the caller would receive it joined to output of another run.
#[test_case(1)]
#[test_case(2)]
#[test_case(7)]
#[test_case(1_000)]
fn only_complete_events_are_returned(chunk: usize) {
    let (events, rest) = split(chunk);

    assert_eq!(events, [(Some(1), "a".into()), (Some(2), "b\nc".into())]);
    assert_eq!(rest, b"id: 3\ndata: half");
}

/// A stream that was broken off must not count as complete, and line ends after the last event are no event.
#[test_case("id: 1\ndata: a\n\n", Connection, true)]
#[test_case("id: 1\ndata: a\n\n\r\n\n", Connection, true; "empty lines after the last event")]
#[test_case("id: 1\ndata: a\n", Chunks, false; "without the empty line that ends the event")]
#[test_case("id: 1\ndata: a\n\nid", Chunks, false)]
#[test_case("id: 1\ndata: a\n\n: comment", Connection, false)]
#[test_case("", Chunks, true; "no event, ended by a chunk")]
#[test_case("", Connection, false; "no event, ended by the connection")]
#[test_case("\n", Connection, false; "a line end, ended by the connection")]
fn a_stream_is_complete_at_the_end_of_an_event(
    stream: &str,
    framing: ResponseFraming,
    is_complete: bool,
) {
    let mut splitter = EventSplitter::default();
    splitter.push(stream.as_bytes());

    while splitter.next_event().is_some() {}

    assert_eq!(matches!(splitter.end(framing), StreamEnd::Complete(_)), is_complete);
}

/// One read returns events 5, 6 and 8. The stream is cancelled because of the gap and resumed at another
/// target after event 6. If 5 and 6 had not been passed on, the caller would miss them for good.
#[test]
fn events_before_a_gap_are_passed_on() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 5\ndata: a\n\nid: 6\ndata: b\n\nid: 8\ndata: d\n\n");
    let mut last = Some(4);

    let taken = splitter.take_following(&mut last);

    assert_eq!(&taken.bytes[..], b"id: 5\ndata: a\n\nid: 6\ndata: b\n\n");
    assert_eq!((taken.stop_reason.as_deref(), last), (Some("event 8 follows 6"), Some(6)));
}

/// A target sends bytes without end and never ends its event. Waiting for the end would use up the memory of
/// the host, and the streams of all other callers would fail with it.
#[test]
fn an_event_without_end_is_rejected() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);

    let taken = splitter.take_following(&mut None);

    assert!(taken.bytes.is_empty());
    assert!(taken.stop_reason.is_some());
}

/// Returns a stream of events with these numbers, as a target sends it.
fn stream_of(ids: &[u64]) -> String {
    ids.iter().map(|id| format!("id: {id}\ndata: text of {id}\n\n")).collect()
}

proptest! {
    /// Bytes arrive in pieces of any size, with events repeated and missing. The caller must receive only
    /// complete events, with consecutive numbers.
    #[test]
    fn events_passed_on_have_no_gap(
        ids in prop::collection::vec(1_u64..12, 0..30),
        cut in 1_usize..40,
    ) {
        let mut splitter = EventSplitter::default();
        let (mut last, mut passed_on) = (Some(0), Vec::new());

        for piece in stream_of(&ids).as_bytes().chunks(cut) {
            splitter.push(piece);
            let taken = splitter.take_following(&mut last);
            passed_on.extend_from_slice(&taken.bytes);
            if taken.stop_reason.is_some() {
                break;
            }
        }

        let complete: Vec<u64> = (1..=last.unwrap_or(0)).collect();
        prop_assert_eq!(String::from_utf8(passed_on).unwrap(), stream_of(&complete));
    }

    /// For any bytes that a target sends, the events and the rest together are exactly these bytes.
    #[test]
    fn no_byte_is_lost_or_added(bytes in prop::collection::vec(prop::sample::select(
        b"id:\ndata\r 19\xff".to_vec()), 0..200), cut in 1_usize..50,
    ) {
        let mut splitter = EventSplitter::default();
        let mut seen = Vec::new();

        for piece in bytes.chunks(cut) {
            splitter.push(piece);
            while let Some(event) = splitter.next_event() {
                seen.extend_from_slice(&event.raw);
            }
        }

        seen.extend_from_slice(splitter.rest());
        prop_assert_eq!(seen, bytes);
    }
}
