use test_case::test_case;

use super::EventSplitter;

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

/// A target breaks off in the middle of an event, and its bytes come in pieces of any size. The
/// caller must get whole events only, or the rest of another run would be glued to half of one.
#[test_case(1)]
#[test_case(2)]
#[test_case(7)]
#[test_case(1_000)]
fn only_whole_events_come_out(chunk: usize) {
    let (events, rest) = split(chunk);

    assert_eq!(events, [(Some(1), "a".into()), (Some(2), "b\nc".into())]);
    assert_eq!(rest, b"id: 3\ndata: half");
}
