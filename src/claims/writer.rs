//! Commits claims to the store, many in one conditional update, on a thread of its own.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;

use crate::claims::Claim;
use crate::claims::Op;
use crate::claims::Place;
use crate::claims::Verdict;
use crate::claims::book::Book;
use crate::claims::unix;
use crate::platform::Error;
use crate::platform::ObjectStore;

/// Claims that may wait for the writer; more are told that the store can't be reached.
const QUEUE_MAX: usize = 8192;

/// Least time between two updates of one process, so that its writes stay flat under load.
const SPACING: Duration = Duration::from_millis(55);

/// Tries of one update against others who write the same object.
const TRIES_MAX: usize = 8;

/// After a failure claims are refused at once, until the store has answered a probe. The first
/// comes after this long, and so does each that follows a failed one.
const REST: Duration = Duration::from_secs(1);

/// What is read to find out whether the store is back; it need not be there.
const PROBED: &str = "frostdyke/claims";

/// How long news that nobody waits for may wait for an update that is made anyway.
const LAZY: Duration = Duration::from_secs(2);

/// News that nobody waits for and that the store hasn't taken in, at most.
const LAZY_MAX: usize = 20_000;

/// One commit in so many goes to an object with overdue news, however many claims wait.
const GOSSIP_INTERVAL: u64 = 4;

/// Called with the verdict on a claim.
pub type Answer = Box<dyn FnOnce(Verdict) + Send>;

/// The writing side of the claims.
pub struct Writer {
    tx: Sender<Pending>,
    writes: Arc<AtomicU64>,
    down: Arc<AtomicBool>,
}

struct Pending {
    claim: Claim,
    answer: Answer,
    since: Instant,
}

/// News for one object, and since when there is any.
struct News {
    claims: Vec<Claim>,
    since: Instant,
}

impl Default for News {
    fn default() -> News {
        News { claims: Vec::new(), since: Instant::now() }
    }
}

impl Writer {
    /// Starts the thread; it ends when the writer is dropped.
    pub fn start(objects: Arc<dyn ObjectStore>) -> Writer {
        let (tx, rx) = channel::bounded(QUEUE_MAX);
        let writes = Arc::new(AtomicU64::new(0));
        let down = Arc::new(AtomicBool::new(false));
        let job = Job {
            objects,
            rx,
            writes: writes.clone(),
            down: down.clone(),
            known: HashMap::new(),
            waiting: BTreeMap::new(),
            lazy: BTreeMap::new(),
            turns: 0,
            written: None,
            failed: None,
        };
        thread::spawn(move || job.run());
        Writer { tx, writes, down }
    }

    /// Hands a claim over; doesn't block. While the store can't be reached, keys are refused here,
    /// so that nobody waits for a call to it.
    pub fn submit(&self, claim: Claim, answer: Answer) {
        if claim.op == Op::Take && self.is_down() {
            return answer(Verdict::Unavailable);
        }
        if let Err(e) = self.tx.try_send(Pending { claim, answer, since: Instant::now() }) {
            (e.into_inner().answer)(Verdict::Unavailable);
        }
    }

    /// Conditional updates tried so far.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Whether the store could not be reached when it was last asked.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }
}

struct Job {
    objects: Arc<dyn ObjectStore>,
    rx: Receiver<Pending>,
    writes: Arc<AtomicU64>,
    down: Arc<AtomicBool>,
    /// The objects as last seen, with their versions.
    known: HashMap<Place, (u64, Book)>,
    /// Claims that somebody waits for, by their object.
    waiting: BTreeMap<Place, Vec<Pending>>,
    /// News that nobody waits for, by their object.
    lazy: BTreeMap<Place, News>,
    turns: u64,
    written: Option<Instant>,
    failed: Option<Instant>,
}

impl Job {
    fn run(mut self) {
        while self.gather() {
            if self.failed.is_some() {
                let waiting = std::mem::take(&mut self.waiting);
                waiting.into_values().for_each(refuse);
                self.probe();
                continue;
            }
            self.wait_for_turn();
            while let Ok(pending) = self.rx.try_recv() {
                self.sort_in(pending);
            }
            if let Some(place) = self.next_place() {
                let waiting = self.waiting.remove(&place).unwrap_or_default();
                let news = self.lazy.remove(&place).unwrap_or_default();
                self.commit(place, waiting, news.claims);
            }
        }
    }

    /// Waits until there is something to do, or nothing came for a while; false at the end.
    fn gather(&mut self) -> bool {
        if !self.waiting.is_empty() {
            return true;
        }
        let wait = if self.failed.is_some() { REST } else { LAZY };
        match self.rx.recv_timeout(wait) {
            Ok(pending) => self.sort_in(pending),
            Err(channel::RecvTimeoutError::Timeout) => {}
            Err(channel::RecvTimeoutError::Disconnected) => return false,
        }
        true
    }

    /// Claims are answered; other news goes along with them.
    fn sort_in(&mut self, pending: Pending) {
        let Some(place) = Place::of(&pending.claim) else {
            return (pending.answer)(Verdict::Unavailable);
        };
        if pending.claim.op == Op::Take {
            self.waiting.entry(place).or_default().push(pending);
        } else {
            self.put_off(place, pending.claim);
        }
    }

    /// Keeps news for the next commit of its object.
    fn put_off(&mut self, place: Place, claim: Claim) {
        let kept: usize = self.lazy.values().map(|news| news.claims.len()).sum();
        if kept < LAZY_MAX {
            self.lazy.entry(place).or_default().claims.push(claim);
        }
    }

    /// The object to write next: the one for which claims have waited longest in sum, so that a full
    /// one goes first and none waits for ever. Now and then, or when no claims wait, one with news
    /// that is overdue.
    fn next_place(&mut self) -> Option<Place> {
        let overdue = || {
            let oldest = self.lazy.iter().min_by_key(|(_, news)| news.since)?;
            (LAZY <= oldest.1.since.elapsed()).then_some(*oldest.0)
        };
        let waited =
            |waiting: &[Pending]| -> Duration { waiting.iter().map(|p| p.since.elapsed()).sum() };
        let claimed = || {
            let places = self.waiting.iter();
            places.max_by_key(|(_, waiting)| waited(waiting)).map(|(place, _)| *place)
        };
        self.turns += 1;
        match self.turns.is_multiple_of(GOSSIP_INTERVAL) {
            true => overdue().or_else(claimed),
            false => claimed().or_else(overdue),
        }
    }

    /// Looks whether the store is back, when it is time to.
    fn probe(&mut self) {
        if self.failed.is_some_and(|at| at.elapsed() < REST) {
            return;
        }
        let failed = self.objects.get(PROBED).is_err();
        self.note_store(failed);
    }

    fn note_store(&mut self, failed: bool) {
        self.failed = failed.then(Instant::now);
        self.down.store(failed, Ordering::Relaxed);
    }

    fn wait_for_turn(&self) {
        if let Some(at) = self.written {
            thread::sleep(SPACING.saturating_sub(at.elapsed()));
        }
    }

    /// Commits claims and news of one object, and answers the claims.
    fn commit(&mut self, place: Place, pending: Vec<Pending>, news: Vec<Claim>) {
        let claims: Vec<Claim> = pending.iter().map(|p| p.claim.clone()).collect();
        match self.update(place, &claims, &news) {
            Ok(verdicts) => {
                for (pending, verdict) in pending.into_iter().zip(verdicts) {
                    (pending.answer)(verdict);
                }
            }
            Err(_) => {
                self.note_store(true);
                self.known.remove(&place);
                // The claims may have been written all the same, though nothing will be sent.
                let released = claims.into_iter().map(|c| Claim { op: Op::Release, ..c });
                for claim in released.chain(news) {
                    self.put_off(place, claim);
                }
                refuse(pending);
            }
        }
    }

    fn update(
        &mut self,
        place: Place,
        claims: &[Claim],
        news: &[Claim],
    ) -> Result<Vec<Verdict>, Error> {
        for _ in 0..TRIES_MAX {
            let (version, mut book) = match self.known.remove(&place) {
                Some(known) => known,
                None => self.read(place)?,
            };
            let before = book.clone();
            let now = unix(SystemTime::now());
            for claim in news {
                book.apply(claim, now);
            }
            let verdicts = claims.iter().map(|c| book.apply(c, now)).collect();
            if book == before {
                // Only a fresh look tells that nothing has to be written.
                let (version, fresh) = self.read(place)?;
                let same = fresh == before;
                self.known.insert(place, (version, fresh));
                if same {
                    return Ok(verdicts);
                }
                continue;
            }
            match self.write(place, &book, version) {
                Ok(version) => {
                    self.known.insert(place, (version, book));
                    return Ok(verdicts);
                }
                // Somebody else has written, or this did and its answer is lost: the records tell.
                Err(Error::Conflict { .. } | Error::Unknown(_)) => {}
                Err(e) => return Err(e),
            }
        }
        Err(Error::Unavailable("too many conflicts".to_owned()))
    }

    fn read(&self, place: Place) -> Result<(u64, Book), Error> {
        let Some(object) = self.objects.get(&place.object())? else {
            return Ok((0, Book::default()));
        };
        let book = serde_json::from_slice(&object.value);
        book.map(|b| (object.version, b)).map_err(|e| Error::Unexpected(e.to_string()))
    }

    fn write(&mut self, place: Place, book: &Book, version: u64) -> Result<u64, Error> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        self.written = Some(Instant::now());
        let value = serde_json::to_vec(book).expect("records serialize");
        self.objects.put(&place.object(), &value, version)
    }
}

fn refuse(pending: Vec<Pending>) {
    for p in pending {
        (p.answer)(Verdict::Unavailable);
    }
}
