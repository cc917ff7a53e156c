//! Streams are split at the ends of events.

use frostdyke::proxy::response_body::EventSplitter;
use proptest::collection;
use proptest::prelude::*;

/// A stream is resumed after its last complete event; half an event would reach the caller twice.
#[test]
fn an_event_is_forwarded_when_complete() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a"), "");
    assert_eq!(splitter.last_id(), None);
    assert_eq!(splitter.push(b"\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    assert_eq!(splitter.take_partial(), "id: 2\nda");
    assert_eq!(splitter.push(b"id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some(2));
}

proptest! {
    /// However a stream is split into chunks, the same bytes are forwarded, and never a partial
    /// event.
    #[test]
    fn chunk_boundaries_make_no_difference(cuts in collection::vec(1usize..40, 0..40)) {
        let stream: String = (1..=12).map(|n| format!("id: {n}\ndata: {}\n\n", "x".repeat(n))).collect();
        let mut rest = stream.as_bytes();
        let mut splitter = EventSplitter::default();
        let mut forwarded = Vec::new();
        for cut in cuts {
            let (chunk, later) = rest.split_at(cut.min(rest.len()));
            rest = later;
            let complete = splitter.push(chunk);
            prop_assert!(complete.is_empty() || complete.ends_with(b"\n\n"));
            forwarded.extend_from_slice(&complete);
        }
        forwarded.extend_from_slice(&splitter.push(rest));
        prop_assert_eq!(forwarded, stream.as_bytes());
        prop_assert_eq!(splitter.last_id(), Some(12));
    }
}
