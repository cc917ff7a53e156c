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
use crate::claims::Verdict;
use crate::claims::book::Book;
use crate::claims::shard_of;
use crate::claims::unix;
use crate::platform::Error;
use crate::platform::Objects;

/// Claims that may wait for the writer; more are told that the store can't be reached.
const QUEUE_MAX: usize = 8192;

/// Least time between two updates of one process, so that its writes stay flat under load.
const SPACING: Duration = Duration::from_millis(55);

/// Tries of one update against others who write the same shard.
const TRIES_MAX: usize = 8;

/// After a failure claims are refused at once, until the store has answered a probe. The first
/// comes after this long, and so does each that follows a failed one.
const REST: Duration = Duration::from_secs(1);

/// How long news that nobody waits for may wait for an update that is made anyway.
const LAZY: Duration = Duration::from_secs(2);

/// News that nobody waits for and that the store hasn't taken in, at most.
const LAZY_MAX: usize = 20_000;

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
}

impl Writer {
    /// Starts the thread; it ends when the writer is dropped.
    pub fn start(objects: Arc<dyn Objects>) -> Writer {
        let (tx, rx) = channel::bounded(QUEUE_MAX);
        let writes = Arc::new(AtomicU64::new(0));
        let down = Arc::new(AtomicBool::new(false));
        let job = Job {
            objects,
            rx,
            writes: writes.clone(),
            down: down.clone(),
            known: HashMap::new(),
            lazy: Vec::new(),
            lazy_since: Instant::now(),
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
        if let Err(e) = self.tx.try_send(Pending { claim, answer }) {
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
    objects: Arc<dyn Objects>,
    rx: Receiver<Pending>,
    writes: Arc<AtomicU64>,
    down: Arc<AtomicBool>,
    /// The shards as last seen, with their versions.
    known: HashMap<u64, (u64, Book)>,
    /// News that nobody waits for.
    lazy: Vec<Claim>,
    lazy_since: Instant,
    written: Option<Instant>,
    failed: Option<Instant>,
}

impl Job {
    fn run(mut self) {
        loop {
            let mut urgent = Vec::new();
            let wait = if self.failed.is_some() { REST } else { LAZY };
            match self.rx.recv_timeout(wait) {
                Ok(pending) => self.sort_in(pending, &mut urgent),
                Err(channel::RecvTimeoutError::Timeout) => {}
                Err(channel::RecvTimeoutError::Disconnected) => return,
            }
            if self.failed.is_some() {
                refuse(urgent);
                self.probe();
                continue;
            }
            self.wait_for_turn();
            while let Ok(pending) = self.rx.try_recv() {
                self.sort_in(pending, &mut urgent);
            }
            self.commit_all(urgent);
        }
    }

    /// Claims are answered; other news goes along with them.
    fn sort_in(&mut self, pending: Pending, urgent: &mut Vec<Pending>) {
        if pending.claim.op == Op::Take {
            urgent.push(pending);
            return;
        }
        if self.lazy.is_empty() {
            self.lazy_since = Instant::now();
        }
        if self.lazy.len() < LAZY_MAX {
            self.lazy.push(pending.claim);
        }
    }

    /// Looks whether the store is back, when it is time to.
    fn probe(&mut self) {
        if self.failed.is_some_and(|at| at.elapsed() < REST) {
            return;
        }
        let failed = self.objects.get(&name(0)).is_err();
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

    fn commit_all(&mut self, urgent: Vec<Pending>) {
        let mut shards: BTreeMap<u64, Vec<Pending>> = BTreeMap::new();
        for pending in urgent {
            match shard_of(&pending.claim) {
                Some(shard) => shards.entry(shard).or_default().push(pending),
                None => (pending.answer)(Verdict::Unavailable),
            }
        }
        let overdue = !self.lazy.is_empty() && LAZY <= self.lazy_since.elapsed();
        let mut lazy: BTreeMap<u64, Vec<Claim>> = BTreeMap::new();
        for claim in std::mem::take(&mut self.lazy) {
            lazy.entry(shard_of(&claim).unwrap_or(0)).or_default().push(claim);
        }
        if overdue {
            for &shard in lazy.keys() {
                shards.entry(shard).or_default();
            }
        }
        for (shard, pending) in shards {
            self.wait_for_turn();
            let news = lazy.remove(&shard).unwrap_or_default();
            self.commit(shard, pending, news);
        }
        self.lazy.extend(lazy.into_values().flatten());
    }

    /// Commits claims and news of one shard, and answers the claims.
    fn commit(&mut self, shard: u64, pending: Vec<Pending>, news: Vec<Claim>) {
        let claims: Vec<Claim> = pending.iter().map(|p| p.claim.clone()).collect();
        match self.update(shard, &claims, &news) {
            Ok(verdicts) => {
                for (pending, verdict) in pending.into_iter().zip(verdicts) {
                    (pending.answer)(verdict);
                }
            }
            Err(_) => {
                self.note_store(true);
                self.known.remove(&shard);
                // The claims may have been written all the same, though nothing will be sent.
                for claim in claims {
                    self.lazy.push(Claim { op: Op::Release, ..claim });
                }
                self.lazy.extend(news);
                self.lazy.truncate(LAZY_MAX);
                refuse(pending);
            }
        }
    }

    fn update(
        &mut self,
        shard: u64,
        claims: &[Claim],
        news: &[Claim],
    ) -> Result<Vec<Verdict>, Error> {
        for _ in 0..TRIES_MAX {
            let (version, mut book) = match self.known.remove(&shard) {
                Some(known) => known,
                None => self.read(shard)?,
            };
            let before = book.clone();
            let now = unix(SystemTime::now());
            for claim in news {
                book.apply(claim, now);
            }
            let verdicts = claims.iter().map(|c| book.apply(c, now)).collect();
            if book == before {
                // Only a fresh look tells that nothing has to be written.
                let (version, fresh) = self.read(shard)?;
                let same = fresh == before;
                self.known.insert(shard, (version, fresh));
                if same {
                    return Ok(verdicts);
                }
                continue;
            }
            book.expire(now);
            match self.write(shard, &book, version) {
                Ok(version) => {
                    self.known.insert(shard, (version, book));
                    return Ok(verdicts);
                }
                // Somebody else has written, or this did and its answer is lost: the records tell.
                Err(Error::Conflict { .. } | Error::Unknown(_)) => {}
                Err(e) => return Err(e),
            }
        }
        Err(Error::Unavailable("too many conflicts".to_owned()))
    }

    fn read(&self, shard: u64) -> Result<(u64, Book), Error> {
        let Some(object) = self.objects.get(&name(shard))? else {
            return Ok((0, Book::default()));
        };
        let book = serde_json::from_slice(&object.value);
        book.map(|b| (object.version, b)).map_err(|e| Error::Unexpected(e.to_string()))
    }

    fn write(&mut self, shard: u64, book: &Book, version: u64) -> Result<u64, Error> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        self.written = Some(Instant::now());
        let value = serde_json::to_vec(book).expect("records serialize");
        self.objects.put(&name(shard), &value, version)
    }
}

fn refuse(pending: Vec<Pending>) {
    for p in pending {
        (p.answer)(Verdict::Unavailable);
    }
}

fn name(shard: u64) -> String {
    format!("frostdyke/claims/{shard}")
}
