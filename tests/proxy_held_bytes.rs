//! Bytes that a box holds for slow callers and upstreams: what is read on, and who gives way.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use frostdyke::clock::Clock;
use frostdyke::clock::SinceBoot;
use frostdyke::clock::TimeSource;
use frostdyke::metrics::Metrics;
use frostdyke::proxy::connection_reuse::ReuseRule;
use frostdyke::proxy::held_bytes::HeldBytes;
use frostdyke::proxy::held_bytes::HoldKind;
use frostdyke::proxy::held_bytes::HolderId;
use frostdyke::proxy::held_tracker::HeldBody;
use frostdyke::proxy::held_tracker::HeldIo;
use frostdyke::proxy::held_tracker::HeldTracker;
use frostdyke::proxy::proxy_metrics::ProxyMetrics;
use frostdyke::proxy::upstream_connections::ConnectionQuota;
use frostdyke::proxy::upstream_connections::Target;
use frostdyke::proxy::upstream_connections::UpstreamConnections;
use frostdyke::proxy::upstream_io::UpstreamIo;
use frostdyke::web;
use frostdyke::web::BodyError;
use http::Request;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::Instant;

const BOUND: usize = 1000;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn hold(held: &mut HeldBytes, kind: HoldKind, bytes: usize, now: Duration) -> HolderId {
    let id = held.begin(kind, now);
    held.set(id, kind, bytes, now);
    id
}

/// Without a pause of the sources, the bound is reached although every holder is quick.
#[test]
fn sources_pause_before_the_bound_and_bodies_before_answers() {
    let mut held = HeldBytes::new(BOUND);
    hold(&mut held, HoldKind::Body, 699, millis(0));
    assert!(held.may_read(HoldKind::Body) && held.may_read(HoldKind::Answer));
    hold(&mut held, HoldKind::Unread, 1, millis(0));
    assert!(!held.may_read(HoldKind::Body) && held.may_read(HoldKind::Answer));
    hold(&mut held, HoldKind::Answer, 200, millis(0));
    assert!(!held.may_read(HoldKind::Answer));
    assert_eq!(held.take_slowest(millis(10)), None, "none is slow");
}

/// Guards against answers that wait for each other: none is read, none is complete, and one that its
/// caller waits for gives way.
#[test]
fn answers_that_fit_together_are_read_to_their_ends() {
    const LEN: usize = BOUND / 2;
    let mut held = HeldBytes::new(BOUND);
    let mut answers: Vec<(HolderId, usize)> =
        (0..2).map(|_| (hold(&mut held, HoldKind::Answer, 0, millis(0)), 0)).collect();
    for ms in (0..2000).step_by(10) {
        answers.retain_mut(|(id, bytes)| {
            if held.may_read_on(*id, HoldKind::Answer) {
                *bytes += 10;
                held.set(*id, HoldKind::Answer, *bytes, millis(ms));
            }
            let is_complete = *bytes == LEN;
            if is_complete {
                held.end(*id);
            }
            !is_complete
        });
        assert_eq!(held.take_slowest(millis(ms)), None, "after {ms} ms, {answers:?}");
    }
    assert_eq!((answers.len(), held.total()), (0, 0));
}

/// A quick holder must not give way for a slow one, however much it holds.
#[test]
fn the_slowest_gives_way_at_the_bound() {
    let mut held = HeldBytes::new(BOUND);
    let slow = hold(&mut held, HoldKind::Unread, 10, millis(0));
    hold(&mut held, HoldKind::Answer, 900, millis(100));
    hold(&mut held, HoldKind::Unsent, 91, millis(50));
    let first = held.take_slowest(millis(100)).expect("there is too much");
    assert_eq!((first.id, first.kind, first.bytes), (slow, HoldKind::Unread, 10));
    assert_eq!(first.stalled, millis(100));
    assert_eq!((held.total(), held.take_slowest(millis(100))), (991, None));
}

/// Holders that all wait for each other would stop all sources for good.
#[test]
fn a_holder_without_progress_gives_way_while_sources_pause() {
    let mut held = HeldBytes::new(BOUND);
    let stalled = hold(&mut held, HoldKind::Body, 400, millis(0));
    let moving = hold(&mut held, HoldKind::Body, 350, millis(0));
    for ms in (50..250).step_by(50) {
        held.set(moving, HoldKind::Body, 350 + ms as usize, millis(ms));
        assert_eq!(held.take_slowest(millis(ms)), None);
    }
    assert_eq!(held.take_slowest(millis(250)).map(|g| g.id), Some(stalled));
    assert!(held.may_read(HoldKind::Body), "the sources are read again");
    assert_eq!(held.take_slowest(millis(260)), None, "the other one moves");
}

/// While little is held, a caller may take its time; the more is held, the less.
#[test]
fn holders_may_stall_the_longer_the_less_is_held() {
    let stalls_for = |bytes| {
        let mut held = HeldBytes::new(BOUND);
        hold(&mut held, HoldKind::Unread, bytes, millis(0));
        (0..10_000).find(|ms| held.take_slowest(millis(*ms)).is_some())
    };
    assert_eq!(stalls_for(499), None);
    let times = [500, 550, 600, 650, 700, 900, 1001].map(|bytes| stalls_for(bytes).expect("it is"));
    assert!(times.is_sorted_by(|a, b| b <= a), "{times:?}");
    assert_eq!((times[0], times[5], times[6]), (1500, 250, 0));
}

/// A request that was sent may have run: cutting it off gains only its body, and loses the run.
#[test]
fn a_sent_request_does_not_give_way() {
    let mut held = HeldBytes::new(BOUND);
    let sent = hold(&mut held, HoldKind::Unsent, 900, millis(0));
    held.set(sent, HoldKind::Sent, 900, millis(1));
    let body = hold(&mut held, HoldKind::Body, 200, millis(5_000));
    assert_eq!(held.take_slowest(millis(5_000)).map(|g| g.id), Some(body));
    assert_eq!(held.take_slowest(millis(50_000)), None);
    assert_eq!((held.total(), held.may_read(HoldKind::Body)), (900, false));
}

/// A holder that has given way may still report bytes, or end, before it learns of it.
#[test]
fn a_holder_that_has_given_way_counts_no_more() {
    let mut held = HeldBytes::new(BOUND);
    let id = hold(&mut held, HoldKind::Body, 2_000, millis(0));
    assert_eq!(held.take_slowest(millis(0)).map(|g| g.id), Some(id));
    held.set(id, HoldKind::Body, 4_000, millis(1));
    held.end(id);
    held.end(id);
    assert_eq!(held.total(), 0);
}

/// Nothing may leak: a count that only grows stops all sources in the end.
#[test]
fn the_count_returns_to_zero() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut held = HeldBytes::new(BOUND);
    let mut ids = Vec::new();
    for step in 0..10_000 {
        let now = millis(step);
        let kind = HoldKind::ALL[rng.random_range(0..HoldKind::ALL.len())];
        match rng.random_range(0..3) {
            0 => ids.push(held.begin(kind, now)),
            1 if !ids.is_empty() => {
                let id = ids[rng.random_range(0..ids.len())];
                held.set(id, kind, rng.random_range(0..300), now);
            }
            2 if !ids.is_empty() => held.end(ids.swap_remove(rng.random_range(0..ids.len()))),
            _ => {}
        }
        while held.take_slowest(now).is_some() {}
    }
    ids.into_iter().for_each(|id| held.end(id));
    assert_eq!(held.total(), 0);
}

/// Many callers read nothing while others read: those that read are served in full and nearly as
/// fast as alone, and the bound holds.
#[test]
fn many_callers_read_nothing_while_others_read() {
    const BOUND: usize = 4 << 20;
    const CHUNK: usize = 2 << 10;
    const ANSWER: usize = 64 << 10;
    const STEP: Duration = Duration::from_millis(10);
    // Of each eight streams, five are never read. Those that are read take a chunk every 10 ms.
    let serve = |slow_of_8: usize| {
        let mut held = HeldBytes::new(BOUND);
        let mut streams: Vec<(HolderId, bool, usize, usize)> = Vec::new();
        let (mut begun, mut served, mut cut_readers, mut peak, mut paused) = (0, 0, 0, 0, 0);
        for step in 0..2_000u32 {
            let now = STEP * step;
            for n in 0..8 {
                // A request's body comes first, and it is not read while too much is held.
                if !held.may_read(HoldKind::Body) {
                    paused += usize::from(slow_of_8 <= n);
                    continue;
                }
                begun += usize::from(slow_of_8 <= n);
                streams.push((held.begin(HoldKind::Unread, now), slow_of_8 <= n, 0, 0));
            }
            for (id, reads, received, pending) in &mut streams {
                // A stream's next chunk is read once the one before is written.
                if (*reads || *pending < 4 * CHUNK) && *received < ANSWER {
                    *received += CHUNK;
                    *pending += CHUNK;
                }
                held.set(*id, HoldKind::Unread, *pending, now);
                if *reads {
                    *pending -= CHUNK;
                    held.set(*id, HoldKind::Unread, *pending, now);
                }
            }
            peak = peak.max(held.total());
            while let Some(slowest) = held.take_slowest(now) {
                let at = streams.iter().position(|s| s.0 == slowest.id).expect("it is known");
                cut_readers += usize::from(streams.swap_remove(at).1);
            }
            streams.retain(|(id, reads, received, _)| {
                let is_done = *reads && *received == ANSWER;
                if is_done {
                    held.end(*id);
                    served += 1;
                }
                !is_done
            });
        }
        (begun, served, cut_readers, peak, paused)
    };
    let (begun, served, cut, peak, paused) = serve(5);
    println!("begun {begun}, served {served}, cut {cut}, peak {peak}, paused {paused}");
    assert_eq!(cut, 0, "those who read are never cut");
    assert!(peak <= BOUND + 8 * CHUNK, "{peak}");
    // All but those that still run at the end.
    assert!(begun - served <= 3 * (ANSWER / CHUNK + 1), "{served} of {begun}");
    assert!(5_400 <= begun, "nine in ten begin at once: {begun} of 6,000, {paused} paused");
}

/// The time of the runtime, which the tests pause.
struct RuntimeTime(Instant);

impl TimeSource for RuntimeTime {
    fn now(&self) -> Duration {
        self.0.elapsed()
    }
}

fn tracker() -> Arc<HeldTracker> {
    let clock = Clock::new(Box::new(RuntimeTime(Instant::now())));
    let metrics = ProxyMetrics::new(Metrics::new().expect("no metrics yet"));
    HeldTracker::new(BOUND, clock, metrics, Logger::root(Discard, o!()))
}

/// A body whose sender sends `left` times 100 bytes, and then nothing.
struct StallingBody {
    left: usize,
}

impl Body for StallingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.left == 0 {
            return Poll::Pending;
        }
        self.left -= 1;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&[0; 100])))))
    }
}

/// A caller that stops sending a long body keeps memory from those who send; it must get a status
/// that says "not run" while it is still connected.
#[tokio::test(start_paused = true)]
async fn a_body_that_stalls_gives_way_and_its_bytes_are_released() {
    let tracker = tracker();
    let hold = tracker.hold(HoldKind::Body);
    let body = HeldBody::new(StallingBody { left: 6 }, HoldKind::Body, Some(&hold));
    let (read, ()) = tokio::join!(web::read_body(body, 10_000, Duration::from_secs(30)), async {
        while !hold.gave_way() {
            tokio::time::sleep(Duration::from_millis(50)).await;
            tracker.check();
        }
    });
    assert_eq!(read, Err(BodyError::Truncated));
    assert_eq!(tracker.total(), 0);
}

/// A source that sends faster than the box can pass on must wait, not fail.
#[tokio::test(start_paused = true)]
async fn a_body_waits_while_too_much_is_held_and_is_read_after() {
    let tracker = tracker();
    let other = tracker.hold(HoldKind::Unsent);
    other.set(HoldKind::Sent, 800);
    let read = tokio::spawn({
        let hold = tracker.hold(HoldKind::Body);
        async move {
            let body = Full::new(Bytes::from_static(b"abc"));
            let body = HeldBody::new(body, HoldKind::Body, Some(&hold));
            web::read_body(body, 10_000, Duration::from_secs(30)).await
        }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!read.is_finished());
    drop(other);
    assert_eq!(read.await.expect("no panic"), Ok(Bytes::from_static(b"abc")));
    assert_eq!(tracker.total(), 0);
}

/// A caller that only waits for the box must not give way to one that has stopped sending.
#[tokio::test(start_paused = true)]
async fn a_body_that_has_stalled_gives_way_before_one_that_waits() {
    let tracker = tracker();
    let (stalled, waiting) = (tracker.hold(HoldKind::Body), tracker.hold(HoldKind::Body));
    let slow = HeldBody::new(StallingBody { left: 8 }, HoldKind::Body, Some(&stalled));
    let quick = Full::new(Bytes::from_static(b"abc"));
    let quick = HeldBody::new(quick, HoldKind::Body, Some(&waiting));
    let max = Duration::from_secs(30);
    let checks = async {
        // The longest interval of a box that is healthy.
        let mut interval = tokio::time::interval(Duration::from_millis(100));
        while !stalled.gave_way() {
            interval.tick().await;
            tracker.check();
        }
    };
    let (slow, quick, ()) = tokio::join!(
        web::read_body(slow, 10_000, max),
        async {
            tokio::task::yield_now().await;
            web::read_body(quick, 10_000, max).await
        },
        checks
    );
    assert_eq!(slow, Err(BodyError::Truncated));
    assert_eq!(quick, Ok(Bytes::from_static(b"abc")));
}

/// If only requests that run hold memory, no holder gives way; a caller whose body isn't read must
/// be refused in time to try another box.
#[tokio::test(start_paused = true)]
async fn a_body_that_may_not_be_read_is_refused_early() {
    let tracker = tracker();
    let other = tracker.hold(HoldKind::Unsent);
    other.set(HoldKind::Sent, 800);
    let hold = tracker.hold(HoldKind::Body);
    let body = Full::new(Bytes::from_static(b"abc"));
    let body = HeldBody::new(body, HoldKind::Body, Some(&hold));
    let started = Instant::now();
    let read = web::read_body(body, 10_000, Duration::from_secs(30)).await;
    assert_eq!(read, Err(BodyError::Truncated));
    assert!(hold.gave_way() && started.elapsed() < Duration::from_secs(5));
    assert_eq!(tracker.total(), 800);
}

/// An unread answer is memory of the box; the connection of a caller that reads nothing is closed,
/// so that its upstream's connection is free.
#[tokio::test(start_paused = true)]
async fn a_caller_that_reads_nothing_is_cut_off() {
    let tracker = tracker();
    // Takes a few bytes, and then nothing.
    let (io, _caller) = tokio::io::duplex(100);
    let mut io = HeldIo::new(io, Some(tracker.clone()));
    let answer = [0; 900];
    let write = io.write_all(&answer);
    tokio::pin!(write);
    let written = loop {
        tokio::select! {
            written = &mut write => break written,
            () = tokio::time::sleep(Duration::from_millis(50)) => tracker.check(),
        }
    };
    let e = written.expect_err("the caller doesn't read");
    assert_eq!(e.kind(), io::ErrorKind::ConnectionAborted);
    assert_eq!(tracker.total(), 0);
}

/// An engine that accepts a request and doesn't read its body would keep the body in memory until
/// the deadline. Some of it was written, so it may have run.
#[tokio::test]
async fn a_body_that_the_engine_does_not_take_ends_after_some_seconds() {
    let connections = UpstreamConnections::new(Clock::new(Box::new(SinceBoot)));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let target = Target {
        addr: listener.local_addr().expect("it is bound"),
        name_hash: 1,
        zone_hash: 1,
        quota: ConnectionQuota { open_max: 1, kept_max: 1 },
        reuse_rule: ReuseRule { is_once_only: true, trusts_announced: true },
        gives_up_stalled: true,
    };
    let body = Full::new(Bytes::from(vec![0; 32 << 20]));
    let req = Request::post("/x").body(body).expect("it is valid");
    let sent = tokio::time::timeout(Duration::from_secs(10), async {
        let (sent, _engine) =
            tokio::join!(connections.send(target, req, || None), listener.accept());
        sent.map(|_| ())
    });
    let e = sent.await.expect("it ends in time").expect_err("there is no answer");
    assert!(!e.is_unsent(), "{e}");
}

/// Bytes that the fake engine's connection buffers.
const ENGINE_BUF: usize = 100;

/// Writes a request of `len` bytes to an engine that takes a byte each `interval`, if any. Returns
/// after which time it is given up; `None` if all is written.
async fn given_up_after(len: usize, interval: Option<Duration>) -> Option<Duration> {
    let (io, mut engine) = tokio::io::duplex(ENGINE_BUF);
    let (mut io, progress) = UpstreamIo::new(io);
    let (request, started) = (vec![0; len], Instant::now());
    let engine = tokio::spawn(async move {
        let Some(interval) = interval else { return std::future::pending().await };
        loop {
            tokio::time::sleep(interval).await;
            engine.read_exact(&mut [0]).await.expect("a byte comes");
        }
    });
    let (write, stalled) = (io.write_all(&request), progress.wait_stalled());
    tokio::pin!(write, stalled);
    let given_up = std::future::poll_fn(|cx| match write.as_mut().poll(cx) {
        Poll::Ready(written) => {
            written.expect("the engine is there");
            Poll::Ready(None)
        }
        Poll::Pending => stalled.as_mut().poll(cx).map(|()| Some(started.elapsed())),
    });
    let given_up = given_up.await;
    engine.abort();
    given_up
}

/// Keep-alive and acknowledgement timers of the kernel don't end a request whose bytes a relay has
/// accepted, or that a kernel keeps probing: it would hold its body until its deadline.
#[tokio::test(start_paused = true)]
async fn a_request_that_the_engine_takes_nothing_of_is_given_up() {
    assert_eq!(given_up_after(ENGINE_BUF, None).await, None, "it is written");
    assert_eq!(given_up_after(ENGINE_BUF + 1, None).await, Some(millis(1000)));
}

/// An engine whose steps are long takes bytes in between; to give up its request costs a run.
#[tokio::test(start_paused = true)]
async fn a_request_that_the_engine_takes_slowly_is_not_given_up() {
    assert_eq!(given_up_after(ENGINE_BUF + 20, Some(millis(900))).await, None);
    let stuck = given_up_after(ENGINE_BUF + 20, Some(millis(1100))).await;
    assert_eq!(stuck, Some(millis(1000)));
}

/// Holders as a plain list that is searched each time.
#[derive(Default)]
struct HolderList(Vec<(HolderId, HoldKind, usize, Duration)>);

impl HolderList {
    fn set(&mut self, id: HolderId, kind: HoldKind, bytes: usize, now: Duration) {
        if let Some(holder) = self.0.iter_mut().find(|h| h.0 == id)
            && (holder.1, holder.2) != (kind, bytes)
        {
            *holder = (id, kind, bytes, now);
        }
    }

    /// The holder that gives way, which is removed.
    fn take_slowest(
        &mut self,
        stall_max: Option<Duration>,
        now: Duration,
    ) -> Option<(HolderId, usize)> {
        let (stall_max, count) = (stall_max?, self.0.len());
        let total: usize = self.0.iter().map(|h| h.2).sum();
        let can = self.0.iter().filter(|h| h.1 != HoldKind::Sent && h.2 != 0);
        let can = can.filter(|h| BOUND < total || total <= 2 * count * h.2);
        let &(id, _, bytes, since) = can.min_by_key(|h| (h.3, usize::MAX - h.2, h.0))?;
        if now - since < stall_max {
            return None;
        }
        self.0.retain(|h| h.0 != id);
        Some((id, bytes))
    }
}

/// With thousands of holders, a search through all of them at each change costs more than the
/// requests; the order that replaces it must choose the same holders.
#[test]
fn the_order_of_holders_agrees_with_a_search_through_all() {
    let mut gave_way = 0;
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut held, mut list) = (HeldBytes::new(BOUND), HolderList::default());
        // Few distinct times, so that many holders are equally slow.
        let step_ms = rng.random_range(1..300);
        for step in 0..500 {
            let now = millis(step / 3 * step_ms);
            let kind = HoldKind::ALL[rng.random_range(0..HoldKind::ALL.len())];
            let known = (!list.0.is_empty()).then(|| rng.random_range(0..list.0.len()));
            match (rng.random_range(0..5), known) {
                (0, Some(at)) => held.end(list.0.swap_remove(at).0),
                (1..4, Some(at)) => {
                    let (id, bytes) = (list.0[at].0, rng.random_range(0..200));
                    held.set(id, kind, bytes, now);
                    list.set(id, kind, bytes, now);
                }
                _ => list.0.push((held.begin(kind, now), kind, 0, now)),
            }
            loop {
                let expected = list.take_slowest(held.stall_max(), now);
                let taken = held.take_slowest(now).map(|g| (g.id, g.bytes));
                assert_eq!(taken, expected, "seed {seed}, step {step}");
                gave_way += usize::from(taken.is_some());
                if taken.is_none() {
                    break;
                }
            }
        }
    }
    assert!(1_000 < gave_way, "{gave_way}");
}

/// Below the bound, holders of little gave way beside a large one, though they freed next to
/// nothing.
#[test]
fn holders_of_little_do_not_give_way_below_the_bound() {
    const BOUND: usize = 1_000_000;
    const SMALL: usize = 1_000;
    let mut held = HeldBytes::new(BOUND);
    for _ in 0..100 {
        hold(&mut held, HoldKind::Unread, SMALL, millis(0));
    }
    let large = hold(&mut held, HoldKind::Unread, BOUND * 3 / 4 - 100 * SMALL, millis(0));
    for ms in (50..=600).step_by(50) {
        // It moves, and little changes.
        held.set(large, HoldKind::Unread, 650_000 + ms as usize, millis(ms));
        assert_eq!(held.take_slowest(millis(ms)), None, "after {ms} ms");
    }
    assert_eq!(held.take_slowest(millis(849)), None);
    let first = held.take_slowest(millis(850)).expect("it has stalled");
    assert_eq!((first.id, first.stalled), (large, millis(250)));
    assert_eq!((held.total(), held.take_slowest(millis(850))), (100 * SMALL, None));
}
