//! Streams are split at the ends of events, and what the end of a response shows.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use frostdyke::proxy::event_id::EventId;
use frostdyke::proxy::event_stream::EVENT_BYTES_MAX;
use frostdyke::proxy::event_stream::EventSplitter;
use frostdyke::proxy::event_stream::ResumePoint;
use frostdyke::proxy::response_end::EventBoundary;
use frostdyke::proxy::response_end::Framing;
use frostdyke::proxy::response_end::ResponseEnd;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use proptest::collection;
use proptest::prelude::*;

fn after(id: &str) -> ResumePoint {
    ResumePoint::After(EventId::from_field(id.as_bytes()).expect("a header can hold it"))
}

/// A stream is resumed after its last complete event; half an event would reach the caller twice.
#[test]
fn an_event_is_forwarded_when_complete() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a"), "");
    assert_eq!(*splitter.resume_point(), ResumePoint::Start);
    assert_eq!(splitter.push(b"\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    assert_eq!(*splitter.resume_point(), after("1"));
    assert_eq!(splitter.take_partial(), "id: 2\nda");
    assert_eq!(splitter.push(b"id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    assert_eq!(*splitter.resume_point(), after("2"));
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
        prop_assert_eq!(splitter.resume_point(), &after("12"));
    }
}

fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let header = |(name, value): &(&'static str, &'static str)| {
        (HeaderName::from_static(name), HeaderValue::from_static(value))
    };
    lines.iter().map(header).collect()
}

fn boundary_after(chunks: &[&[u8]]) -> EventBoundary {
    let mut boundary = EventBoundary::default();
    chunks.iter().for_each(|chunk| boundary.push(chunk));
    boundary
}

/// A response is taken for one with a length or chunks only if it has one of them.
#[test]
fn the_framing_follows_the_headers_and_the_body() {
    let sized = Full::new(Bytes::from_static(b"x"));
    assert_eq!(Framing::new(&headers(&[]), &sized), Framing::Length);
    let events = futures_util::stream::empty::<Result<Frame<Bytes>, std::io::Error>>();
    let unsized_body = StreamBody::new(events);
    for (lines, framing) in [
        (vec![("transfer-encoding", "chunked")], Framing::Chunks),
        (vec![("transfer-encoding", "gzip, Chunked")], Framing::Chunks),
        (vec![("transfer-encoding", "chunked, gzip")], Framing::Close),
        (vec![("transfer-encoding", "gzip")], Framing::Close),
        (vec![], Framing::Close),
    ] {
        assert_eq!(Framing::new(&headers(&lines), &unsized_body), framing, "{lines:?}");
    }
}

/// Guards against a stream that ends inside an event and is taken for a complete one: in an id,
/// between the bytes of an empty line, after a comment or a line without an id.
#[test]
fn a_stream_that_ends_inside_an_event_is_broken() {
    for stream in [
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
        "data: a\n\n: comment\ndata: b\n\n",
        "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
        "id: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\n",
    ] {
        let is_end =
            |at: &usize| ["\n\n", "\n\r\n", "\r\r"].iter().any(|end| stream[..*at].ends_with(end));
        let ends: Vec<usize> = (1..=stream.len()).filter(is_end).collect();
        assert_eq!(ends.len(), 2);
        for at in 1..=stream.len() {
            let boundary = boundary_after(&[&stream.as_bytes()[..at]]);
            let end = ResponseEnd::of_stream(Framing::Close, &boundary, false);
            let wanted = match ends.contains(&at) {
                true => ResponseEnd::CompleteUnlessCrashed,
                false => ResponseEnd::Broken,
            };
            assert_eq!(end, wanted, "{:?}", &stream[..at]);
            for framing in [Framing::Length, Framing::Chunks] {
                let end = ResponseEnd::of_stream(framing, &boundary, false);
                assert_eq!(end, ResponseEnd::Complete);
            }
        }
    }
}

/// Guards against an empty stream that is taken for a complete one, unless it resumes a stream that
/// had all its events.
#[test]
fn an_empty_stream_is_complete_only_where_it_resumes_another() {
    let empty = boundary_after(&[b""]);
    let end = |resumes| ResponseEnd::of_stream(Framing::Close, &empty, resumes);
    assert_eq!(end(false), ResponseEnd::Broken);
    assert_eq!(end(true), ResponseEnd::CompleteUnlessCrashed);
}

/// Guards against a body that is cut inside its format and taken for a complete one.
#[test]
fn a_body_that_ends_inside_its_format_is_broken() {
    let (whole, cut) = (ResponseEnd::CompleteUnlessCrashed, ResponseEnd::Broken);
    for (content_type, body, wanted) in [
        ("application/json", r#"{"a": [1]}"#, whole),
        ("application/json; charset=utf-8", r#"{"a": [1]"#, cut),
        ("application/problem+json", r#"{"a": "#, cut),
        ("application/json", "", cut),
        ("text/event-stream", "id: 1\ndata: a\n\n", whole),
        ("text/event-stream", "id: 1\ndata: a\n", cut),
        ("text/plain", "a", whole),
        ("text/plain", "", whole),
    ] {
        let lines = headers(&[("content-type", content_type)]);
        let end = |framing| ResponseEnd::of_body(framing, &lines, body.as_bytes());
        assert_eq!(end(Framing::Close), wanted, "{content_type}: {body}");
        assert_eq!(end(Framing::Length), ResponseEnd::Complete);
    }
}

proptest! {
    /// However a stream is split into chunks, it is between the same events.
    #[test]
    fn chunk_boundaries_make_no_difference_to_the_end(cuts in collection::vec(1usize..9, 0..40), len in 0usize..80) {
        let stream: String = (1..=6).map(|n| format!("id: {n}\ndata: {n}\n\n")).collect();
        let stream = &stream.as_bytes()[..len.min(stream.len())];
        let (mut rest, mut boundary) = (stream, EventBoundary::default());
        for cut in cuts {
            let (chunk, later) = rest.split_at(cut.min(rest.len()));
            rest = later;
            boundary.push(chunk);
        }
        boundary.push(rest);
        let whole = boundary_after(&[stream]);
        prop_assert_eq!(boundary.is_between_events(), whole.is_between_events());
        prop_assert_eq!(boundary.is_between_events(), stream.is_empty() || stream.ends_with(b"\n\n"));
    }
}

/// The end of the last event by a search of all bytes.
fn end_by_search_of_all(bytes: &[u8]) -> usize {
    let is_end = |at: &usize| {
        let (before, after) = bytes.split_at(*at);
        let ends = [&b"\n\n"[..], b"\r\r", b"\n\r\n", b"\r\r\n"];
        ends.iter().any(|end| before.ends_with(end))
            || before.ends_with(b"\n\r") && !after.is_empty()
    };
    (1..=bytes.len()).rev().find(is_end).unwrap_or(0)
}

proptest! {
    /// Guards against an end of an event that is missed, or found too early, where a search goes on
    /// after the bytes of an earlier one.
    #[test]
    fn events_are_those_that_a_search_of_all_bytes_finds(
        stream in collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), Just(b'a')], 0..60),
        cuts in collection::vec(1usize..5, 0..60),
        taken_at in 0usize..60,
    ) {
        let (mut rest, mut splitter) = (&stream[..], EventSplitter::default());
        let mut held = Vec::new();
        for (n, cut) in cuts.into_iter().enumerate() {
            let (chunk, later) = rest.split_at(cut.min(rest.len()));
            rest = later;
            held.extend_from_slice(chunk);
            let wanted: Vec<u8> = held.drain(..end_by_search_of_all(&held)).collect();
            prop_assert_eq!(splitter.push(chunk), wanted);
            if n == taken_at {
                prop_assert_eq!(splitter.take_partial(), std::mem::take(&mut held));
            }
        }
        prop_assert_eq!(splitter.take_partial(), held);
    }
}

/// Time to split an event of `chunks` chunks of 1 KB; the shortest of some.
fn time_to_split(chunks: usize) -> Duration {
    let chunk = [b'x'; 1 << 10];
    let split = |_| {
        let (started, mut splitter) = (Instant::now(), EventSplitter::default());
        (0..chunks).for_each(|_| assert_eq!(splitter.push(&chunk), ""));
        assert_eq!(splitter.push(b"\n\n").len(), chunks * chunk.len() + 2);
        started.elapsed()
    };
    (0..5).map(split).min().expect("some")
}

/// Guards against work that grows with the square of an event's length: eight times the bytes take
/// 64 times as long then.
#[test]
fn the_work_for_a_long_event_is_linear() {
    let (short, long) = (time_to_split(128), time_to_split(1024));
    println!("128 KB take {short:?}, 1 MB {long:?}");
    assert!(long < 24 * short, "128 KB take {short:?}, 1 MB {long:?}");
}

/// Guards against an event that is kept without a bound, and against a bound that long events of
/// other streams meet.
#[test]
fn an_event_is_too_long_over_its_bound() {
    let chunk = vec![b'x'; 16 << 10];
    let mut splitter = EventSplitter::default();
    for _ in 0..EVENT_BYTES_MAX / chunk.len() {
        splitter.push(&chunk);
        assert!(!splitter.is_too_long());
    }
    splitter.push(b"x");
    assert!(splitter.is_too_long());
    assert_eq!(splitter.push(b"\n\n").len(), EVENT_BYTES_MAX + 3);
    assert!(!splitter.is_too_long());
}
