//! How much of a response is read before its head has come.

use frostdyke::proxy::upstream_io::UpstreamIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

/// Bytes that a pipe holds.
const PIPE_BYTES: usize = 64 << 10;

/// Reads the responses to `requests` requests, of `len` bytes each. Returns whether all are read.
async fn are_read(requests: usize, len: usize) -> bool {
    let (io, mut server) = tokio::io::duplex(PIPE_BYTES);
    let (mut io, progress) = UpstreamIo::new(io);
    tokio::spawn(async move {
        let response = vec![b'x'; len];
        // An error means that the connection was given up.
        while server.write_all(&response).await.is_ok() {}
    });
    let mut response = vec![0; len];
    for _ in 0..requests {
        progress.set_awaits_head(true);
        let is_read = io.read_exact(&mut response).await.is_ok();
        progress.set_awaits_head(false);
        if !is_read {
            return false;
        }
    }
    true
}

/// Guards against heads without end, which take memory and time.
#[tokio::test]
async fn a_head_is_read_up_to_a_bound() {
    assert!(are_read(1, 256 << 10).await);
    assert!(!are_read(1, 1 << 20).await);
}

/// Guards against connections that fail after many responses, since the bytes of all their heads are
/// counted together.
#[tokio::test]
async fn the_head_of_each_response_is_bounded_by_itself() {
    assert!(are_read(40, 100 << 10).await);
}
