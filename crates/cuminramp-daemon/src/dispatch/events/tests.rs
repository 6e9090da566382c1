use super::{EventCutter, EventKind};

// A target's bytes arrive cut anywhere. Passed on as they come, a stream that breaks off and is
// resumed would join two halves of different events.
#[test]
fn events_come_out_whole_wherever_the_bytes_are_cut() {
    let text = concat!(
        "data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n",
        ": comment\n\n",
        "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
        "data: [DONE]\n\n",
    );
    for size in 1..text.len() {
        let mut cutter = EventCutter::default();
        let mut kinds = Vec::new();
        let mut joined = Vec::new();

        for part in text.as_bytes().chunks(size) {
            assert!(cutter.push(part));
            while let Some(event) = cutter.next_event() {
                kinds.push(event.kind);
                joined.extend_from_slice(&event.bytes);
            }
        }

        let expected = [EventKind::Token, EventKind::Other, EventKind::Other, EventKind::Done];
        assert_eq!(kinds, expected);
        assert_eq!(joined, text.as_bytes());
    }
}
