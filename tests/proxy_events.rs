//! Streams are cut at the ends of events.

use frostdyke::proxy::response_body::EventSplitter;
use proptest::collection;
use proptest::prelude::*;

#[test]
fn an_event_is_passed_on_when_it_is_whole() {
    let mut events = EventSplitter::default();
    assert_eq!(events.push(b"id: 1\ndata: a"), "");
    assert_eq!(events.last_id(), None);
    assert_eq!(events.push(b"\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    assert_eq!(events.last_id(), Some(1));
    assert_eq!(events.take_partial(), "id: 2\nda");
    assert_eq!(events.push(b"id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    assert_eq!(events.last_id(), Some(2));
}

proptest! {
    /// However a stream is cut into pieces, the same bytes are passed on, and never half an event.
    #[test]
    fn pieces_make_no_difference(cuts in collection::vec(1usize..40, 0..40)) {
        let stream: String = (1..=12).map(|n| format!("id: {n}\ndata: {}\n\n", "x".repeat(n))).collect();
        let mut rest = stream.as_bytes();
        let mut events = EventSplitter::default();
        let mut passed = Vec::new();
        for cut in cuts {
            let (piece, later) = rest.split_at(cut.min(rest.len()));
            rest = later;
            let whole = events.push(piece);
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
            passed.extend_from_slice(&whole);
        }
        passed.extend_from_slice(&events.push(rest));
        prop_assert_eq!(passed, stream.as_bytes());
        prop_assert_eq!(events.last_id(), Some(12));
    }
}
