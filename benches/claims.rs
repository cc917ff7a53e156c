//! What claiming a key costs: latency and store writes against requests a second, for one box that
//! writes for its zone. `cargo bench --bench claims` prints `name value bound ok|FAIL`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use frostdyke::claims::ClaimRequest;
use frostdyke::claims::ClaimTransport;
use frostdyke::claims::Claims;
use frostdyke::claims::IdempotencyKey;
use frostdyke::load;
use frostdyke::names::BoxName;
use frostdyke::platform::client::Client;
use frostdyke_standin::platform::Platform;
use hdrhistogram::Histogram;
use uuid::NoContext;
use uuid::Timestamp;
use uuid::Uuid;

const SECONDS: u64 = 4;

/// Store writes a second that a zone may cause.
const WRITES: f64 = 20.0;

/// Writes all claims itself.
struct Alone;

impl ClaimTransport for Alone {
    fn writer_of(&self, _: u64) -> Option<BoxName> {
        None
    }

    fn send(&self, _: &BoxName, _: ClaimRequest) {}
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let mut failed = false;
    for rate in [10, 100, 1000] {
        let (histogram, writes) = runtime.block_on(run(rate));
        let (p50, p99) = (histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99));
        println!("claims.{rate}.p50-ms {:.1}", p50 as f64 / 1000.0);
        println!("claims.{rate}.p99-ms {:.1}", p99 as f64 / 1000.0);
        let ok = writes <= WRITES;
        failed |= !ok;
        let verdict = if ok { "ok" } else { "FAIL" };
        println!("claims.{rate}.writes-per-second {writes:.1} {WRITES:.1} {verdict}");
    }
    runtime.block_on(with_history());
    if failed {
        std::process::exit(1);
    }
}

/// Keys of the ten minutes before, which are still remembered.
const HISTORY: u64 = 40_000;

/// The same at a hundred a second, and what is written, once ten minutes of keys are remembered.
async fn with_history() {
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).expect("the platform starts");
    let claims = Claims::new(Arc::new(Client::new(platform.addr)), Box::new(Alone));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs();
    let mut running = tokio::task::JoinSet::new();
    for n in 0..HISTORY {
        let made = Timestamp::from_unix(NoContext, now - n * 590 / HISTORY, 0);
        let key = IdempotencyKey::new("alpha", &Uuid::new_v7(made).to_string(), SystemTime::now());
        let (key, claims) = (key.expect("it is young"), claims.clone());
        running.spawn(async move { claims.acquire(key, n + 1).await.is_ok() });
        if running.len() == 4000 {
            while running.join_next().await.is_some() {}
        }
    }
    while running.join_next().await.is_some() {}
    let before = platform.calls();
    let mut interval = tokio::time::interval(Duration::from_millis(10));
    for n in 0..100 * SECONDS {
        interval.tick().await;
        let claims = claims.clone();
        running.spawn(async move {
            let key = IdempotencyKey::new("alpha", &Uuid::now_v7().to_string(), SystemTime::now());
            claims.acquire(key.expect("it is new"), HISTORY + n + 1).await.is_ok()
        });
    }
    let taken = running.join_all().await.iter().filter(|taken| **taken).count();
    let after = platform.calls();
    let per_second = |n: u64| n as f64 / SECONDS as f64;
    println!("claims.history.refused {}", 100 * SECONDS - taken as u64);
    println!("claims.history.writes-per-second {:.1}", per_second(after.writes - before.writes));
    println!(
        "claims.history.kb-per-second {:.0}",
        per_second(after.written - before.written) / 1e3
    );
}

async fn run(rate: u64) -> (Histogram<u64>, f64) {
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).expect("the platform starts");
    let claims = Claims::new(Arc::new(Client::new(platform.addr)), Box::new(Alone));
    let mut interval = tokio::time::interval(Duration::from_secs(1) / rate as u32);
    let mut running = tokio::task::JoinSet::new();
    for n in 0..rate * SECONDS {
        interval.tick().await;
        let claims = claims.clone();
        running.spawn(async move {
            let text = Uuid::now_v7().to_string();
            let key = IdempotencyKey::new("alpha", &text, SystemTime::now()).expect("it is new");
            let begun = Instant::now();
            let attempt = claims.acquire(key, n + 1).await.expect("nobody else has it");
            claims.resolve(key, attempt, true);
            begun.elapsed()
        });
    }
    let mut histogram = load::histogram();
    for took in running.join_all().await {
        histogram.saturating_record(took.as_micros() as u64);
    }
    (histogram, platform.calls().writes as f64 / SECONDS as f64)
}
