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

use frostdyke::claims::Claim;
use frostdyke::claims::Claims;
use frostdyke::claims::Courier;
use frostdyke::claims::Key;
use frostdyke::claims::KeyFault;
use frostdyke::claims::Op;
use frostdyke::claims::Place;
use frostdyke::claims::RING;
use frostdyke::claims::SKEW;
use frostdyke::claims::Verdict;
use frostdyke::claims::WINDOW;
use frostdyke::claims::book::Book;
use frostdyke::claims::book::RECORDS_MAX;
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

impl Courier for Alone {
    fn writer_of(&self, _: u64) -> Option<BoxName> {
        None
    }

    fn send(&self, _: &BoxName, _: Claim) {}
}

/// Another box writes every shard, and what it answers comes too late or not at all.
struct Unanswered {
    store: Arc<Store>,
}

impl Courier for Unanswered {
    fn writer_of(&self, _: u64) -> Option<BoxName> {
        Some(BoxName::from("writer"))
    }

    fn send(&self, _: &BoxName, claim: Claim) {
        let name = Place::of(&claim).expect("it names a key").object();
        let object = self.store.get(&name).expect("the store is well");
        let mut book = object
            .as_ref()
            .map_or_else(Book::default, |o| serde_json::from_slice(&o.value).expect("a book"));
        book.apply(&claim, claim.made);
        let value = serde_json::to_vec(&book).expect("it serializes");
        let version = object.map_or(0, |o| o.version);
        // Once others write, too, a conflict is as good as a lost message.
        let _ = self.store.put(&name, &value, version);
    }
}

struct LosesReleases(Unanswered);

impl Courier for LosesReleases {
    fn writer_of(&self, shard: u64) -> Option<BoxName> {
        self.0.writer_of(shard)
    }

    fn send(&self, to: &BoxName, claim: Claim) {
        if claim.op != Op::Release {
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

fn key(text: &str) -> Key {
    Key::new("alpha", text, SystemTime::now()).expect("a new key")
}

#[tokio::test]
async fn of_four_writers_of_a_shard_one_gets_each_key() {
    let store = Arc::new(Store::default());
    let writers: Vec<Arc<Claims>> = (0..4).map(|_| claims(&store)).collect();
    let keys: Vec<Key> = (0..40).map(|_| key(&new_key())).collect();
    let mut tasks = tokio::task::JoinSet::new();
    for (w, writer) in writers.iter().enumerate() {
        for (k, &key) in keys.iter().enumerate() {
            let writer = writer.clone();
            let attempt = (w * keys.len() + k) as u64;
            tasks.spawn(async move { (k, writer.take(key, attempt).await) });
        }
    }
    let mut taken = vec![0; keys.len()];
    for (k, result) in tasks.join_all().await {
        match result {
            Ok(_) => taken[k] += 1,
            Err(verdict) => assert_eq!(verdict, Verdict::Elsewhere),
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
    let courier = LosesReleases(Unanswered { store: store.clone() });
    let asks = Claims::new(store.clone(), Box::new(courier));
    let others = claims(&store);
    let key = key(&new_key());
    let taken = asks.take(key, 7).await;
    assert!(taken.is_ok_and(|attempt| attempt != 7), "{taken:?}");
    assert_eq!(others.take(key, 8).await, Err(Verdict::Elsewhere));
}

/// The release of the attempt that was given up must not free the key that its successor has.
#[tokio::test(start_paused = true)]
async fn a_late_release_frees_nothing_that_was_claimed_again() {
    let store = Arc::new(Store::default());
    let courier = LosesReleases(Unanswered { store: store.clone() });
    let asks = Claims::new(store.clone(), Box::new(courier));
    let key = key(&new_key());
    assert!(asks.take(key, 7).await.is_ok());
    let late = Claims::new(store.clone(), Box::new(Unanswered { store: store.clone() }));
    late.settle(key, 7, false);
    assert_eq!(claims(&store).take(key, 8).await, Err(Verdict::Elsewhere));
}

/// Nobody waits for a store that is known to be out of reach, though a probe hangs in it.
#[tokio::test]
async fn while_the_store_hangs_keys_are_refused_at_once() {
    let store = Arc::new(Store::default());
    let claims = claims(&store);
    store.set(Mood::Down);
    assert_eq!(claims.take(key(&new_key()), 1).await, Err(Verdict::Unavailable));
    store.set(Mood::Hangs);
    while store.calls.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for attempt in 2..50 {
        assert_eq!(claims.take(key(&new_key()), attempt).await, Err(Verdict::Unavailable));
    }
    store.set(Mood::Well);
    let back = key(&new_key());
    while claims.take(back, 100).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(!claims.is_down());
}

#[test]
fn keys_that_cant_be_judged_are_refused() {
    let now = SystemTime::now();
    let v4 = Uuid::new_v4().to_string();
    assert_eq!(Key::new("a", &v4, now), Err(KeyFault::Kind));
    assert_eq!(Key::new("a", "theft-alarm-7", now), Err(KeyFault::Kind));
    let key = new_key();
    let later = now + WINDOW + Duration::from_secs(2);
    assert_eq!(Key::new("a", &key, later), Err(KeyFault::Old));
    let earlier = now - SKEW - Duration::from_secs(2);
    assert_eq!(Key::new("a", &key, earlier), Err(KeyFault::Future));
    assert_ne!(Key::new("a", &key, now), Key::new("b", &key, now));
}

fn claim(attempt: u64, op: Op, made: u64) -> Claim {
    Claim { key: "abc".to_owned(), made, attempt, op }
}

/// A record is forgotten only when every router, whatever its clock within the skew, would refuse
/// the key.
#[test]
fn a_record_outlives_its_key() {
    let made = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs();
    let mut book = Book::default();
    assert_eq!(book.apply(&claim(1, Op::Take, made), made), Verdict::Taken);
    let refused = made + WINDOW.as_secs() + SKEW.as_secs();
    assert_eq!(book.apply(&claim(2, Op::Take, made), refused), Verdict::Elsewhere);
    // The next keys in the same object, of a caller whose clock is ahead of the oldest router's
    // by all that is allowed, come when the key is refused everywhere.
    let minute = made / 60;
    let next = Claim { key: "def".to_owned(), ..claim(3, Op::Take, (minute + RING) * 60) };
    let earliest = next.made - SKEW.as_secs();
    assert!(refused + SKEW.as_secs() < earliest);
    let again = Claim { made: next.made, ..claim(3, Op::Take, 0) };
    assert_eq!(Place::of(&again), Place::of(&claim(1, Op::Take, made)), "the ring has come round");
    assert_eq!(book.apply(&next, earliest), Verdict::Taken);
    assert_eq!(book.records.len(), 1, "the old one is forgotten");
    // Nobody can bring it back, either, nor what is here now: not even with a clock that stands.
    assert_eq!(book.apply(&claim(4, Op::Take, made), earliest), Verdict::Elsewhere);
    assert_eq!(book.apply(&claim(5, Op::Take, made), made), Verdict::Elsewhere);
    assert_eq!(book.records.len(), 1);
}

#[test]
fn only_the_attempt_that_has_a_key_can_release_it() {
    let mut book = Book::default();
    assert_eq!(book.apply(&claim(1, Op::Take, 100), 100), Verdict::Taken);
    book.apply(&claim(2, Op::Release, 100), 100);
    assert_eq!(book.apply(&claim(2, Op::Take, 100), 100), Verdict::Elsewhere);
    assert_eq!(book.apply(&claim(1, Op::Take, 100), 100), Verdict::Taken, "told again");
    book.apply(&claim(1, Op::Release, 100), 100);
    assert_eq!(book.apply(&claim(2, Op::Take, 100), 100), Verdict::Taken);
}

#[test]
fn a_full_shard_stays_below_a_megabyte() {
    let mut book = Book::default();
    let now = 1_790_000_000;
    let filler = |n: usize| Claim {
        key: format!("{:032x}", u128::MAX - n as u128),
        made: now,
        attempt: u64::MAX - n as u64,
        op: Op::Take,
    };
    for n in 0..RECORDS_MAX {
        assert_eq!(book.apply(&filler(n), now), Verdict::Taken);
    }
    assert_eq!(book.apply(&filler(RECORDS_MAX), now), Verdict::Full);
    let size = serde_json::to_vec(&book).expect("it serializes").len();
    assert!(size < 1 << 20, "it has {size} bytes");
}
