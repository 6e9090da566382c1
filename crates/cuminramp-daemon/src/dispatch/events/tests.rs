use super::{EventKind, EventParser};

// A target's bytes can be split anywhere between two reads. If they were forwarded as they arrive, a stream
// that is interrupted and resumed would join halves of two different events.
#[test]
fn events_are_complete_wherever_the_bytes_are_split() {
    let text = concat!(
        "data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n",
        ": comment\n\n",
        "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
        "data: [DONE]\n\n",
    );
    for size in 1..text.len() {
        let mut parser = EventParser::default();
        let mut kinds = Vec::new();
        let mut joined = Vec::new();

        for part in text.as_bytes().chunks(size) {
            assert!(parser.push(part));
            while let Some(event) = parser.next_event() {
                kinds.push(event.kind);
                joined.extend_from_slice(&event.bytes);
            }
        }

        let expected = [EventKind::Token, EventKind::Other, EventKind::Other, EventKind::Done];
        assert_eq!(kinds, expected);
        assert_eq!(joined, text.as_bytes());
    }
}
