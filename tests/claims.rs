//! Claims of keys over a store in memory: what is written, by whom, and what a writer does when the
//! store fails.

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

/// What the store does with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Mood {
    #[default]
    Well,
    /// Calls fail at once.
    Down,
    /// Calls don't return.
    Hangs,
}

#[derive(Default)]
struct Store {
    objects: Mutex<HashMap<String, Object>>,
    mood: Mutex<Mood>,
    changed: Condvar,
    /// Calls that are under way.
    calls: AtomicU64,
}

impl Store {
    fn set(&self, mood: Mood) {
        *self.mood.lock().expect("no panic") = mood;
        self.changed.notify_all();
    }

    fn call(&self) -> Result<(), Error> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let mood = self.mood.lock().expect("no panic");
        let mood = self.changed.wait_while(mood, |m| *m == Mood::Hangs).expect("no panic");
        self.calls.fetch_sub(1, Ordering::SeqCst);
        match *mood {
            Mood::Down => Err(Error::Unavailable("down".to_owned())),
            Mood::Well | Mood::Hangs => Ok(()),
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

/// Every box believes that it writes every shard.
struct Alone;

impl ClaimTransport for Alone {
    fn writer_of(&self, _: u64) -> Option<BoxName> {
        None
    }

    fn send(&self, _: &BoxName, _: ClaimRequest) {}
}

/// Another box writes every shard, and what it answers comes too late or not at all.
struct Unanswered {
    store: Arc<Store>,
}

impl ClaimTransport for Unanswered {
    fn writer_of(&self, _: u64) -> Option<BoxName> {
        Some(BoxName::from("writer"))
    }

    fn send(&self, _: &BoxName, claim: ClaimRequest) {
        let name = ClaimObject::for_request(&claim).expect("it names a key").name();
        let object = self.store.get(&name).expect("the store is well");
        let mut records = object.as_ref().map_or_else(ClaimRecords::default, |o| {
            serde_json::from_slice(&o.value).expect("it holds records")
        });
        records.apply(&claim, claim.made_at_s);
        let value = serde_json::to_vec(&records).expect("it serializes");
        let version = object.map_or(0, |o| o.version);
        // Once others write, too, a conflict is as good as a lost message.
        let _ = self.store.put(&name, &value, version);
    }
}

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
    Claims::new(store.clone(), Box::new(Alone))
}

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey::new("alpha", text, SystemTime::now()).expect("a new key")
}

#[tokio::test]
async fn of_four_writers_of_a_shard_one_gets_each_key() {
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
    let mut taken = vec![0; keys.len()];
    for (k, result) in tasks.join_all().await {
        match result {
            Ok(_) => taken[k] += 1,
            Err(outcome) => assert_eq!(outcome, ClaimOutcome::HeldByOther),
        }
    }
    assert_eq!(taken, vec![1; keys.len()]);
}

/// The box that usually writes a shard has written a claim, but its answer is late. Whoever asked
/// then claims by itself, and must not take its own record for another's: nobody would ever run the
/// request.
#[tokio::test(start_paused = true)]
async fn a_claim_whose_answer_is_late_still_belongs_to_who_asked() {
    let store = Arc::new(Store::default());
    // The release that is sent after the wait is lost, as the answer is.
    let transport = LosesReleases(Unanswered { store: store.clone() });
    let asks = Claims::new(store.clone(), Box::new(transport));
    let others = claims(&store);
    let key = key(&new_key());
    let taken = asks.acquire(key, 7).await;
    assert!(taken.is_ok_and(|attempt| attempt != 7), "{taken:?}");
    assert_eq!(others.acquire(key, 8).await, Err(ClaimOutcome::HeldByOther));
}

/// The release of the attempt that was given up must not free the key that its successor has.
#[tokio::test(start_paused = true)]
async fn a_late_release_frees_nothing_that_was_claimed_again() {
    let store = Arc::new(Store::default());
    let transport = LosesReleases(Unanswered { store: store.clone() });
    let asks = Claims::new(store.clone(), Box::new(transport));
    let key = key(&new_key());
    assert!(asks.acquire(key, 7).await.is_ok());
    let late = Claims::new(store.clone(), Box::new(Unanswered { store: store.clone() }));
    late.resolve(key, 7, false);
    assert_eq!(claims(&store).acquire(key, 8).await, Err(ClaimOutcome::HeldByOther));
}

/// Nobody waits for a store that is known to be out of reach, though a probe hangs in it.
#[tokio::test]
async fn while_the_store_hangs_keys_are_refused_at_once() {
    let store = Arc::new(Store::default());
    let claims = claims(&store);
    store.set(Mood::Down);
    assert_eq!(claims.acquire(key(&new_key()), 1).await, Err(ClaimOutcome::Unavailable));
    store.set(Mood::Hangs);
    while store.calls.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for attempt in 2..50 {
        assert_eq!(claims.acquire(key(&new_key()), attempt).await, Err(ClaimOutcome::Unavailable));
    }
    store.set(Mood::Well);
    let back = key(&new_key());
    while claims.acquire(back, 100).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(!claims.is_store_down());
}

#[test]
fn keys_that_cant_be_judged_are_refused() {
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

fn claim(attempt: u64, op: ClaimOp, made: u64) -> ClaimRequest {
    ClaimRequest { key: "abc".to_owned(), made_at_s: made, attempt, op }
}

/// A record is forgotten only when every router, whatever its clock within the skew, would refuse
/// the key.
#[test]
fn a_record_outlives_its_key() {
    let made = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs();
    let mut records = ClaimRecords::default();
    assert_eq!(records.apply(&claim(1, ClaimOp::Acquire, made), made), ClaimOutcome::Acquired);
    let refused = made + KEY_AGE_MAX.as_secs() + CLOCK_SKEW_MAX.as_secs();
    assert_eq!(
        records.apply(&claim(2, ClaimOp::Acquire, made), refused),
        ClaimOutcome::HeldByOther
    );
    // The next keys in the same object, of a caller whose clock is ahead of the oldest router's
    // by all that is allowed, come when the key is refused everywhere.
    let minute = made / 60;
    let next = ClaimRequest {
        key: "def".to_owned(),
        ..claim(3, ClaimOp::Acquire, (minute + OBJECTS_PER_SHARD) * 60)
    };
    let earliest = next.made_at_s - CLOCK_SKEW_MAX.as_secs();
    assert!(refused + CLOCK_SKEW_MAX.as_secs() < earliest);
    let again = ClaimRequest { made_at_s: next.made_at_s, ..claim(3, ClaimOp::Acquire, 0) };
    assert_eq!(
        ClaimObject::for_request(&again),
        ClaimObject::for_request(&claim(1, ClaimOp::Acquire, made)),
        "the ring has come round"
    );
    assert_eq!(records.apply(&next, earliest), ClaimOutcome::Acquired);
    assert_eq!(records.records.len(), 1, "the old one is forgotten");
    // Nobody can bring it back, either, nor what is here now: not even with a clock that stands.
    assert_eq!(
        records.apply(&claim(4, ClaimOp::Acquire, made), earliest),
        ClaimOutcome::HeldByOther
    );
    assert_eq!(records.apply(&claim(5, ClaimOp::Acquire, made), made), ClaimOutcome::HeldByOther);
    assert_eq!(records.records.len(), 1);
}

#[test]
fn only_the_attempt_that_has_a_key_can_release_it() {
    let mut records = ClaimRecords::default();
    assert_eq!(records.apply(&claim(1, ClaimOp::Acquire, 100), 100), ClaimOutcome::Acquired);
    records.apply(&claim(2, ClaimOp::Release, 100), 100);
    assert_eq!(records.apply(&claim(2, ClaimOp::Acquire, 100), 100), ClaimOutcome::HeldByOther);
    assert_eq!(
        records.apply(&claim(1, ClaimOp::Acquire, 100), 100),
        ClaimOutcome::Acquired,
        "told again"
    );
    records.apply(&claim(1, ClaimOp::Release, 100), 100);
    assert_eq!(records.apply(&claim(2, ClaimOp::Acquire, 100), 100), ClaimOutcome::Acquired);
}

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
