//! Claims of idempotency keys, with a store in memory: what is written and by which box, and how a
//! writer handles failures of the store.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use frostdyke::claims::CLOCK_SKEW_MAX;
use frostdyke::claims::ClaimObject;
use frostdyke::claims::ClaimOp;
use frostdyke::claims::ClaimOutcome;
use frostdyke::claims::ClaimRequest;
use frostdyke::claims::ClaimTransport;
use frostdyke::claims::Claims;
use frostdyke::claims::IdempotencyKey;
use frostdyke::claims::KEY_AGE_MAX;
use frostdyke::claims::KeyError;
use frostdyke::claims::OBJECTS_PER_SHARD;
use frostdyke::claims::records::ClaimRecords;
use frostdyke::claims::records::RECORDS_MAX;
use frostdyke::names::BoxName;
use frostdyke::platform::Error;
use frostdyke::platform::Object;
use frostdyke::platform::ObjectStore;
use uuid::Uuid;

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StoreState {
    #[default]
    Available,
    /// Calls fail at once.
    Down,
    /// Calls don't return.
    Hangs,
}

#[derive(Default)]
struct Store {
    objects: Mutex<HashMap<String, Object>>,
    state: Mutex<StoreState>,
    changed: Condvar,
    /// Calls in progress.
    calls: AtomicU64,
}

impl Store {
    fn set(&self, state: StoreState) {
        *self.state.lock().expect("no panic") = state;
        self.changed.notify_all();
    }

    fn call(&self) -> Result<(), Error> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let state = self.state.lock().expect("no panic");
        let state = self.changed.wait_while(state, |m| *m == StoreState::Hangs).expect("no panic");
        self.calls.fetch_sub(1, Ordering::SeqCst);
        match *state {
            StoreState::Down => Err(Error::Unavailable("down".to_owned())),
            StoreState::Available | StoreState::Hangs => Ok(()),
        }
    }
}

impl ObjectStore for Store {
    fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        self.call()?;
        Ok(self.objects.lock().expect("no panic").get(name).cloned())
    }

    fn put(&self, name: &str, value: &[u8], expected: u64) -> Result<u64, Error> {
        self.call()?;
        let mut objects = self.objects.lock().expect("no panic");
        let current = objects.get(name).map_or(0, |o| o.version);
        if expected != current {
            return Err(Error::Conflict { current });
        }
        let object = Object { version: current + 1, value: value.to_vec() };
        objects.insert(name.to_owned(), object);
        Ok(current + 1)
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> Result<Option<Object>, Error> {
        Ok(None)
    }
}

/// A transport by which every box takes itself for the writer of every shard.
struct LocalWriter;

impl ClaimTransport for LocalWriter {
    fn writer_of(&self, _: u64) -> Option<BoxName> {
        None
    }

    fn send(&self, _: &BoxName, _: ClaimRequest) {}
}

/// A transport to another box that writes every shard, and whose responses are late or lost.
struct Unanswered {
    store: Arc<Store>,
}

impl ClaimTransport for Unanswered {
    fn writer_of(&self, _: u64) -> Option<BoxName> {
        Some(BoxName::from("writer"))
    }

    fn send(&self, _: &BoxName, claim: ClaimRequest) {
        let name = ClaimObject::for_request(&claim).expect("it names a key").name();
        let object = self.store.get(&name).expect("the store is available");
        let mut records = object.as_ref().map_or_else(ClaimRecords::default, |o| {
            serde_json::from_slice(&o.value).expect("it holds records")
        });
        records.apply(&claim, claim.made_at_s);
        let value = serde_json::to_vec(&records).expect("it serializes");
        let version = object.map_or(0, |o| o.version);
        // Once others write as well, a conflict is equivalent to a lost message.
        let _ = self.store.put(&name, &value, version);
    }
}

/// As [`Unanswered`], and releases are lost.
struct LosesReleases(Unanswered);

impl ClaimTransport for LosesReleases {
    fn writer_of(&self, shard: u64) -> Option<BoxName> {
        self.0.writer_of(shard)
    }

    fn send(&self, to: &BoxName, claim: ClaimRequest) {
        if claim.op != ClaimOp::Release {
            self.0.send(to, claim);
        }
    }
}

fn claims(store: &Arc<Store>) -> Arc<Claims> {
    Claims::new(store.clone(), Box::new(LocalWriter))
}

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey::new("alpha", text, SystemTime::now()).expect("a new key")
}

/// While boxes disagree on the writer of a shard, two must not acquire the same key, or a request
/// runs twice.
#[tokio::test]
async fn one_of_four_writers_of_a_shard_acquires_each_key() {
    let store = Arc::new(Store::default());
    let writers: Vec<Arc<Claims>> = (0..4).map(|_| claims(&store)).collect();
    let keys: Vec<IdempotencyKey> = (0..40).map(|_| key(&new_key())).collect();
    let mut tasks = tokio::task::JoinSet::new();
    for (w, writer) in writers.iter().enumerate() {
        for (k, &key) in keys.iter().enumerate() {
            let writer = writer.clone();
            let attempt = (w * keys.len() + k) as u64;
            tasks.spawn(async move { (k, writer.acquire(key, attempt).await) });
        }
    }
    let mut acquired = vec![0; keys.len()];
    for (k, result) in tasks.join_all().await {
        match result {
            Ok(_) => acquired[k] += 1,
            Err(outcome) => assert_eq!(outcome, ClaimOutcome::HeldByOther),
        }
    }
    assert_eq!(acquired, vec![1; keys.len()]);
}

/// The usual writer of a shard has written a claim, but its response is late. The router that sent
/// it then claims by itself and must not mistake its own record for another's: otherwise no router
/// would ever run the request.
#[tokio::test(start_paused = true)]
async fn a_claim_with_a_late_response_belongs_to_its_router() {
    let store = Arc::new(Store::default());
    // The release that is sent after the wait is lost, as is the response.
    let transport = LosesReleases(Unanswered { store: store.clone() });
    let router = Claims::new(store.clone(), Box::new(transport));
    let others = claims(&store);
    let key = key(&new_key());
    let acquired = router.acquire(key, 7).await;
    assert!(acquired.is_ok_and(|attempt| attempt != 7), "{acquired:?}");
    assert_eq!(others.acquire(key, 8).await, Err(ClaimOutcome::HeldByOther));
}

/// The release of the abandoned attempt must not free the key that its successor holds.
#[tokio::test(start_paused = true)]
async fn a_late_release_does_not_free_a_key_claimed_again() {
    let store = Arc::new(Store::default());
    let transport = LosesReleases(Unanswered { store: store.clone() });
    let router = Claims::new(store.clone(), Box::new(transport));
    let key = key(&new_key());
    assert!(router.acquire(key, 7).await.is_ok());
    let late = Claims::new(store.clone(), Box::new(Unanswered { store: store.clone() }));
    late.resolve(key, 7, false);
    assert_eq!(claims(&store).acquire(key, 8).await, Err(ClaimOutcome::HeldByOther));
}

/// No request waits for a store that is known to be unreachable, even while a probe hangs in it.
#[tokio::test]
async fn keys_are_refused_at_once_while_the_store_hangs() {
    let store = Arc::new(Store::default());
    let claims = claims(&store);
    store.set(StoreState::Down);
    assert_eq!(claims.acquire(key(&new_key()), 1).await, Err(ClaimOutcome::Unavailable));
    store.set(StoreState::Hangs);
    while store.calls.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for attempt in 2..50 {
        assert_eq!(claims.acquire(key(&new_key()), attempt).await, Err(ClaimOutcome::Unavailable));
    }
    store.set(StoreState::Available);
    let back = key(&new_key());
    while claims.acquire(back, 100).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(!claims.is_store_down());
}

/// Whether a key is still remembered depends on the time in it, so a key without one, or with one
/// out of range, could run twice.
#[test]
fn keys_without_a_valid_time_are_refused() {
    let now = SystemTime::now();
    let v4 = Uuid::new_v4().to_string();
    assert_eq!(IdempotencyKey::new("a", &v4, now), Err(KeyError::NotUuidV7));
    assert_eq!(IdempotencyKey::new("a", "theft-alarm-7", now), Err(KeyError::NotUuidV7));
    let key = new_key();
    let later = now + KEY_AGE_MAX + Duration::from_secs(2);
    assert_eq!(IdempotencyKey::new("a", &key, later), Err(KeyError::TooOld));
    let earlier = now - CLOCK_SKEW_MAX - Duration::from_secs(2);
    assert_eq!(IdempotencyKey::new("a", &key, earlier), Err(KeyError::MadeInFuture));
    assert_ne!(IdempotencyKey::new("a", &key, now), IdempotencyKey::new("b", &key, now));
}

fn claim(attempt: u64, op: ClaimOp, made_at_s: u64) -> ClaimRequest {
    ClaimRequest { key: "abc".to_owned(), made_at_s, attempt, op }
}

/// A record may be dropped only when every router, with any clock skew permitted, would refuse the
/// key.
#[test]
fn a_record_outlives_its_key() {
    let made_at_s = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs();
    let mut records = ClaimRecords::default();
    assert_eq!(
        records.apply(&claim(1, ClaimOp::Acquire, made_at_s), made_at_s),
        ClaimOutcome::Acquired
    );
    let refused = made_at_s + KEY_AGE_MAX.as_secs() + CLOCK_SKEW_MAX.as_secs();
    assert_eq!(
        records.apply(&claim(2, ClaimOp::Acquire, made_at_s), refused),
        ClaimOutcome::HeldByOther
    );
    // The next keys in the same object, of a caller whose clock is ahead of the slowest router's by
    // the most that is allowed, arrive when the key is refused everywhere.
    let minute = made_at_s / 60;
    let next = ClaimRequest {
        key: "def".to_owned(),
        ..claim(3, ClaimOp::Acquire, (minute + OBJECTS_PER_SHARD) * 60)
    };
    let earliest = next.made_at_s - CLOCK_SKEW_MAX.as_secs();
    assert!(refused + CLOCK_SKEW_MAX.as_secs() < earliest);
    let again = ClaimRequest { made_at_s: next.made_at_s, ..claim(3, ClaimOp::Acquire, 0) };
    assert_eq!(
        ClaimObject::for_request(&again),
        ClaimObject::for_request(&claim(1, ClaimOp::Acquire, made_at_s)),
        "the objects of the shard are reused"
    );
    assert_eq!(records.apply(&next, earliest), ClaimOutcome::Acquired);
    assert_eq!(records.records.len(), 1, "the old one is dropped");
    // No claim can restore it, nor remove the current record, not even with a clock that stands
    // still.
    assert_eq!(
        records.apply(&claim(4, ClaimOp::Acquire, made_at_s), earliest),
        ClaimOutcome::HeldByOther
    );
    assert_eq!(
        records.apply(&claim(5, ClaimOp::Acquire, made_at_s), made_at_s),
        ClaimOutcome::HeldByOther
    );
    assert_eq!(records.records.len(), 1);
}

/// A late release of another attempt would free a key whose request runs.
#[test]
fn only_the_attempt_that_holds_a_key_can_release_it() {
    let mut records = ClaimRecords::default();
    assert_eq!(records.apply(&claim(1, ClaimOp::Acquire, 100), 100), ClaimOutcome::Acquired);
    records.apply(&claim(2, ClaimOp::Release, 100), 100);
    assert_eq!(records.apply(&claim(2, ClaimOp::Acquire, 100), 100), ClaimOutcome::HeldByOther);
    assert_eq!(
        records.apply(&claim(1, ClaimOp::Acquire, 100), 100),
        ClaimOutcome::Acquired,
        "a repeated claim"
    );
    records.apply(&claim(1, ClaimOp::Release, 100), 100);
    assert_eq!(records.apply(&claim(2, ClaimOp::Acquire, 100), 100), ClaimOutcome::Acquired);
}

/// The platform rejects larger objects.
#[test]
fn a_full_shard_stays_below_a_megabyte() {
    let mut records = ClaimRecords::default();
    let now = 1_790_000_000;
    let filler = |n: usize| ClaimRequest {
        key: format!("{:032x}", u128::MAX - n as u128),
        made_at_s: now,
        attempt: u64::MAX - n as u64,
        op: ClaimOp::Acquire,
    };
    for n in 0..RECORDS_MAX {
        assert_eq!(records.apply(&filler(n), now), ClaimOutcome::Acquired);
    }
    assert_eq!(records.apply(&filler(RECORDS_MAX), now), ClaimOutcome::Full);
    let size = serde_json::to_vec(&records).expect("it serializes").len();
    assert!(size < 1 << 20, "it has {size} bytes");
}
