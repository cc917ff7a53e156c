//! Claims of idempotency keys over an in-memory store: which records are written, by which box, and
//! what a writer does when the store fails.

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
    Unavailable,
    /// Calls don't return.
    Unresponsive,
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
        let state =
            self.changed.wait_while(state, |m| *m == StoreState::Unresponsive).expect("no panic");
        self.calls.fetch_sub(1, Ordering::SeqCst);
        match *state {
            StoreState::Unavailable => Err(Error::Unavailable("down".to_owned())),
            StoreState::Available | StoreState::Unresponsive => Ok(()),
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

/// Makes every box the writer of every shard.
struct OwnWriter;

impl ClaimTransport for OwnWriter {
    fn writer_of(&self, _: u64) -> Option<BoxName> {
        None
    }

    fn send(&self, _: &BoxName, _: ClaimRequest) {}
}

/// Makes another box the writer of every shard; its responses never arrive.
struct LosesResponses {
    store: Arc<Store>,
}

impl ClaimTransport for LosesResponses {
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
        // A conflict with another writer has the same effect as a lost message.
        let _ = self.store.put(&name, &value, version);
    }
}

/// Like [`LosesResponses`], and releases are lost on the way to the writer.
struct LosesReleases(LosesResponses);

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
    Claims::new(store.clone(), Box::new(OwnWriter))
}

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey::new("alpha", text, SystemTime::now()).expect("a new key")
}

/// Guards against two writers that acquire the same key at once.
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

/// Guards against a request that no box ever runs: the writer of a shard writes the claim, but its
/// response is late. The box that asked then writes the claim itself and must not mistake its own
/// record for another box's.
#[tokio::test(start_paused = true)]
async fn a_claim_with_a_late_response_still_belongs_to_its_requester() {
    let store = Arc::new(Store::default());
    // The release that is sent after the time-out is lost, too.
    let transport = LosesReleases(LosesResponses { store: store.clone() });
    let requester = Claims::new(store.clone(), Box::new(transport));
    let others = claims(&store);
    let key = key(&new_key());
    let acquired = requester.acquire(key, 7).await;
    assert!(acquired.is_ok_and(|attempt| attempt != 7), "{acquired:?}");
    assert_eq!(others.acquire(key, 8).await, Err(ClaimOutcome::HeldByOther));
}

/// Guards against a late release of an abandoned attempt that frees the key of a later attempt.
#[tokio::test(start_paused = true)]
async fn a_late_release_does_not_free_a_key_claimed_again() {
    let store = Arc::new(Store::default());
    let transport = LosesReleases(LosesResponses { store: store.clone() });
    let requester = Claims::new(store.clone(), Box::new(transport));
    let key = key(&new_key());
    assert!(requester.acquire(key, 7).await.is_ok());
    let late = Claims::new(store.clone(), Box::new(LosesResponses { store: store.clone() }));
    late.resolve(key, 7, false);
    assert_eq!(claims(&store).acquire(key, 8).await, Err(ClaimOutcome::HeldByOther));
}

/// Guards against requests that wait for a store known to be unavailable while a probe of it hangs.
#[tokio::test]
async fn keys_are_rejected_at_once_while_the_store_is_unresponsive() {
    let store = Arc::new(Store::default());
    let claims = claims(&store);
    store.set(StoreState::Unavailable);
    assert_eq!(claims.acquire(key(&new_key()), 1).await, Err(ClaimOutcome::Unavailable));
    store.set(StoreState::Unresponsive);
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

/// Guards against accepting a key whose age is unknown or outside the limits: its record may be
/// gone.
#[test]
fn invalid_keys_are_rejected() {
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

fn claim_request(attempt: u64, op: ClaimOp, made_at_s: u64) -> ClaimRequest {
    ClaimRequest { key: "abc".to_owned(), made_at_s, attempt, op }
}

/// Guards against dropping a record while some router still accepts its key: with clocks within the
/// allowed skew, every router must reject the key by then.
#[test]
fn a_record_is_kept_until_its_key_is_rejected_everywhere() {
    let made_at_s = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs();
    let mut records = ClaimRecords::default();
    assert_eq!(
        records.apply(&claim_request(1, ClaimOp::Acquire, made_at_s), made_at_s),
        ClaimOutcome::Acquired
    );
    let refused = made_at_s + KEY_AGE_MAX.as_secs() + CLOCK_SKEW_MAX.as_secs();
    assert_eq!(
        records.apply(&claim_request(2, ClaimOp::Acquire, made_at_s), refused),
        ClaimOutcome::HeldByOther
    );
    // The object is reused for keys made `OBJECTS_PER_SHARD` minutes later. Even from a caller
    // whose clock is ahead by the allowed skew, those arrive after every router rejects the old
    // key.
    let minute = made_at_s / 60;
    let next = ClaimRequest {
        key: "def".to_owned(),
        ..claim_request(3, ClaimOp::Acquire, (minute + OBJECTS_PER_SHARD) * 60)
    };
    let earliest = next.made_at_s - CLOCK_SKEW_MAX.as_secs();
    assert!(refused + CLOCK_SKEW_MAX.as_secs() < earliest);
    let again = ClaimRequest { made_at_s: next.made_at_s, ..claim_request(3, ClaimOp::Acquire, 0) };
    assert_eq!(
        ClaimObject::for_request(&again),
        ClaimObject::for_request(&claim_request(1, ClaimOp::Acquire, made_at_s)),
        "the object is used again"
    );
    assert_eq!(records.apply(&next, earliest), ClaimOutcome::Acquired);
    assert_eq!(records.records.len(), 1, "the old record is dropped");
    // A claim of the old key fails, also from a router whose clock stands still.
    assert_eq!(
        records.apply(&claim_request(4, ClaimOp::Acquire, made_at_s), earliest),
        ClaimOutcome::HeldByOther
    );
    assert_eq!(
        records.apply(&claim_request(5, ClaimOp::Acquire, made_at_s), made_at_s),
        ClaimOutcome::HeldByOther
    );
    assert_eq!(records.records.len(), 1);
}

/// Guards against a release of one attempt freeing the key of another.
#[test]
fn only_the_attempt_that_holds_a_key_can_release_it() {
    let mut records = ClaimRecords::default();
    assert_eq!(
        records.apply(&claim_request(1, ClaimOp::Acquire, 100), 100),
        ClaimOutcome::Acquired
    );
    records.apply(&claim_request(2, ClaimOp::Release, 100), 100);
    assert_eq!(
        records.apply(&claim_request(2, ClaimOp::Acquire, 100), 100),
        ClaimOutcome::HeldByOther
    );
    assert_eq!(
        records.apply(&claim_request(1, ClaimOp::Acquire, 100), 100),
        ClaimOutcome::Acquired,
        "a repeated request has the same outcome"
    );
    records.apply(&claim_request(1, ClaimOp::Release, 100), 100);
    assert_eq!(
        records.apply(&claim_request(2, ClaimOp::Acquire, 100), 100),
        ClaimOutcome::Acquired
    );
}

/// Guards against objects that the store rejects as too large: a shard refuses claims before that.
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
    assert!(size < 1 << 20, "the records have {size} bytes");
}
