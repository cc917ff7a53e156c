//! Where a stream of server-sent events can be resumed: after the id of its last event, as received.

use frostdyke::proxy::event_id::EventId;
use frostdyke::proxy::event_stream::EventSplitter;
use frostdyke::proxy::event_stream::ResumePoint;
use http::HeaderValue;
use proptest::collection;
use proptest::prelude::*;

fn point_after(stream: &[u8]) -> ResumePoint {
    let mut splitter = EventSplitter::default();
    splitter.push(stream);
    splitter.resume_point().clone()
}

fn after(id: &str) -> ResumePoint {
    ResumePoint::After(EventId::from_field(id.as_bytes()).expect("a header can hold it"))
}

/// Guards against a stream that is resumed after another event than its last one.
#[test]
fn the_last_event_decides_where_a_stream_is_resumed() {
    for (stream, point) in [
        ("", ResumePoint::Start),
        ("id: 1\ndata: a\n", ResumePoint::Start),
        (": comment\n\nretry: 50\n\nevent: ping\n\n", ResumePoint::Start),
        ("id: 1\ndata: a\n\n", after("1")),
        ("id:1\ndata: a\n\n", after("1")),
        ("data: a\nid: 1\n\n", after("1")),
        ("id: 1\ndata: a\n\nid: 2\nda", after("1")),
        ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", after("2")),
        ("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", after("2")),
        ("id: 1\rdata: a\r\rid: 2\rdata: b\r\r", after("2")),
        ("id: 1\rdata: a\r\rid: 2\rda", after("1")),
        ("id: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\nid: 3", after("2")),
        ("id: 1\r\ndata: a\r\r\nid: 2", after("1")),
        ("id: 007\ndata: a\n\n", after("007")),
        ("id: 1.50\ndata: a\n\n", after("1.50")),
        ("id: -1\ndata: a\n\n", after("-1")),
        ("id: 18446744073709551616\ndata: a\n\n", after("18446744073709551616")),
        ("id: a: b\ndata: a\n\n", after("a: b")),
        ("id: \u{e9}\ndata: a\n\n", after("\u{e9}")),
        // The last of several ids counts, unless it has a NUL.
        ("id: 1\nid: 2\ndata: a\n\n", after("2")),
        ("id: 1\nid: 2\0\ndata: a\n\n", after("1")),
        // An id without data counts, too.
        ("id: 1\ndata: a\n\nid: 2\n\n", after("2")),
        ("data: a\n\nid: 2\n\n", after("2")),
        ("id: 1\ndata: a\n\n: comment\n\n", after("1")),
        ("id: 1\ndata: a\n\nid:\n\n", after("1")),
        // Other fields, and an id inside the data.
        ("id: 1\nidea: 2\nID: 3\n id: 4\ndata: id: 5\n\n", after("1")),
        ("x-version: 4\nid: 1\ndata: a\n\n", after("1")),
        // No request can return the last event's id.
        ("data: a\n\n", ResumePoint::Nowhere),
        ("data\n\n", ResumePoint::Nowhere),
        ("id: 1\ndata: a\n\ndata: b\n\n", ResumePoint::Nowhere),
        ("id: 1\ndata: a\n\ndata: b\n\n: comment\n\n", ResumePoint::Nowhere),
        ("id: 1\ndata: a\n\nid\ndata: b\n\n", ResumePoint::Nowhere),
        ("id: 1\ndata: a\n\nid:\ndata: b\n\n", ResumePoint::Nowhere),
        ("id: 1\nid\ndata: a\n\n", ResumePoint::Nowhere),
        ("id: 2\0\ndata: a\n\n", ResumePoint::Nowhere),
        ("id: 2\u{7f}\ndata: a\n\n", ResumePoint::Nowhere),
        // Headers lose white space at their ends.
        ("id:  1\ndata: a\n\n", ResumePoint::Nowhere),
        ("id: 1 \ndata: a\n\n", ResumePoint::Nowhere),
        ("id: 1\t\ndata: a\n\n", ResumePoint::Nowhere),
    ] {
        assert_eq!(point_after(stream.as_bytes()), point, "{stream:?}");
    }
}

/// Guards against events that wait for the end of their stream, whichever line end it uses.
#[test]
fn an_event_is_passed_on_with_its_last_byte() {
    for event in ["id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r"] {
        let mut splitter = EventSplitter::default();
        for _ in 0..3 {
            let (rest, last) = event.split_at(event.len() - 1);
            assert_eq!(splitter.push(rest.as_bytes()), "", "{event:?}");
            assert_eq!(splitter.push(last.as_bytes()), event);
        }
    }
}

/// Guards against an event that is passed on without an empty line's last byte and taken for another.
#[test]
fn a_carriage_return_may_be_half_of_a_line_end() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n\r"), "");
    assert_eq!(splitter.push(b"\n"), "id: 1\ndata: a\n\r\n");
    assert_eq!(splitter.push(b"id: 2\ndata: b\n\r"), "");
    assert_eq!(splitter.push(b"id: 3"), "id: 2\ndata: b\n\r");
    assert_eq!(*splitter.resume_point(), after("2"));
}

/// Guards against a stream that goes on elsewhere after an unusable id, although a later event has a
/// usable one.
#[test]
fn a_later_id_makes_a_stream_resumable_again() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\ndata: b\n\n");
    assert_eq!(*splitter.resume_point(), ResumePoint::Nowhere);
    splitter.push(b": comment\n\n");
    assert_eq!(*splitter.resume_point(), ResumePoint::Nowhere);
    splitter.push(b"id: 3\ndata: c\n\n");
    assert_eq!(*splitter.resume_point(), after("3"));
}

/// Guards against log lines of unbounded length, and with bytes that aren't text.
#[test]
fn a_logged_id_is_escaped_and_bounded() {
    let logged = |id: &[u8]| EventId::from_field(id).map(|id| id.to_string());
    assert_eq!(logged(b"7"), Some("7".to_owned()));
    assert_eq!(logged(b"\"\xff\t\""), Some("\\\"\\xff\\t\\\"".to_owned()));
    let long = logged(&[b'x'; 5000]).expect("an id");
    assert!(long.len() < 100 && long.ends_with("..."), "{long}");
}

/// An empty header is what clients send that have received no id.
#[test]
fn an_empty_header_names_no_event() {
    assert_eq!(EventId::from_header(&HeaderValue::from_static("")), None);
    let id = EventId::from_header(&HeaderValue::from_static("0"));
    assert_eq!(id.map(|id| id.to_string()), Some("0".to_owned()));
}

/// Bytes that a header can hold and that it doesn't lose.
fn id_bytes() -> impl Strategy<Value = Vec<u8>> {
    let byte = prop_oneof![0x20u8..=0x7e, 0x80u8..=0xff, Just(b'\t'), b'0'..=b'9'];
    let bytes = collection::vec(byte, 1..60);
    bytes.prop_filter("headers lose white space at their ends", |bytes| {
        bytes.trim_ascii().len() == bytes.len()
    })
}

proptest! {
    /// Guards against ids that change on their way from an event to the next request, whatever their
    /// bytes and the boundaries of chunks.
    #[test]
    fn an_id_is_returned_byte_for_byte(
        ids in collection::vec(id_bytes(), 1..6),
        cuts in collection::vec(1usize..40, 0..40),
        has_space: bool,
        line_end in prop_oneof![Just("\n"), Just("\r\n"), Just("\r")],
    ) {
        let (space, event_end) = (if has_space { " " } else { "" }, line_end.repeat(2));
        let mut stream = Vec::new();
        for id in &ids {
            stream.extend_from_slice(format!("id:{space}").as_bytes());
            stream.extend_from_slice(id);
            stream.extend_from_slice(format!("{line_end}data: a{event_end}").as_bytes());
        }
        let (mut rest, mut splitter) = (&stream[..], EventSplitter::default());
        for cut in cuts {
            let (chunk, later) = rest.split_at(cut.min(rest.len()));
            rest = later;
            splitter.push(chunk);
        }
        splitter.push(rest);
        let id = splitter.resume_point().event().map(|id| id.as_header().as_bytes().to_vec());
        prop_assert_eq!(id.as_ref(), ids.last());
    }

    /// Guards against a panic, and against events that are held back or lost, for arbitrary bytes.
    #[test]
    fn all_bytes_of_a_stream_are_passed_on(
        stream in collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), Just(b':'), any::<u8>()], 0..200),
        cuts in collection::vec(1usize..40, 0..40),
    ) {
        let (mut rest, mut splitter) = (&stream[..], EventSplitter::default());
        let mut passed_on = Vec::new();
        for cut in cuts {
            let (chunk, later) = rest.split_at(cut.min(rest.len()));
            rest = later;
            passed_on.extend_from_slice(&splitter.push(chunk));
        }
        passed_on.extend_from_slice(&splitter.push(rest));
        passed_on.extend_from_slice(&splitter.take_partial());
        prop_assert_eq!(passed_on, stream);
    }
}
