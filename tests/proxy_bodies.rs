//! Bodies are collected within a bound of memory.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use frostdyke::web;
use frostdyke::web::BodyError;
use http_body_util::StreamBody;
use hyper::body::Frame;

/// Length of a body that is collected.
const BODY_BYTES: usize = 4 << 20;

/// By how much memory may grow, in KB: a buffer of twice the length, and a copy while it grows.
const GROWTH_MAX_KB: u64 = 16 << 10;

/// The largest resident memory of this process so far, in KB.
fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("it is stated");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("it is stated");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

async fn collect(frames: usize, max: usize) -> Result<Bytes, BodyError> {
    // Each frame is a part of a buffer of its own, as those of a connection may be.
    let frame = |n| Ok::<_, io::Error>(Frame::data(Bytes::from(vec![n as u8; 64]).slice(..1)));
    let body = StreamBody::new(futures_util::stream::iter((0..frames).map(frame)));
    web::read_body(body, max, Duration::from_secs(60)).await
}

/// Guards against frames that are kept apart, each with the buffer that it was read into, and
/// against a body that is cut or longer than its bound.
#[tokio::test]
async fn a_body_of_frames_of_one_byte_takes_no_more_than_its_bytes() {
    let before = peak_kb();
    let body = collect(BODY_BYTES, BODY_BYTES).await.expect("it isn't too long");
    assert!(body.iter().enumerate().all(|(n, byte)| n as u8 == *byte));
    assert_eq!(body.len(), BODY_BYTES);
    assert_eq!(collect(BODY_BYTES + 1, BODY_BYTES).await, Err(BodyError::TooLong));
    let grown = peak_kb() - before;
    println!("grown by {grown} KB");
    assert!(grown < GROWTH_MAX_KB, "grown by {grown} KB");
}
