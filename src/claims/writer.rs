//! Commits claims to the store on a thread of its own, many in one conditional update.

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

use crate::claims::ClaimObject;
use crate::claims::ClaimOp;
use crate::claims::ClaimOutcome;
use crate::claims::ClaimRequest;
use crate::claims::records::ClaimRecords;
use crate::claims::unix_seconds;
use crate::platform::Error;
use crate::platform::ObjectStore;

/// Claims that may wait for the writer; further ones get the outcome that the store can't be
/// reached.
const QUEUE_MAX: usize = 8192;

/// Shortest time between two updates of one process, which bounds its writes under load.
const WRITE_INTERVAL_MIN: Duration = Duration::from_millis(55);

/// Attempts of one update when others write the same object.
const UPDATE_ATTEMPTS_MAX: usize = 8;

/// Interval of the probes after a failure. Claims are refused at once until a probe succeeds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The object read by a probe; it need not exist.
const PROBE_OBJECT: &str = "frostdyke/claims";

/// How long an update for which no requester waits may be deferred, to be committed together with
/// a later claim on its object.
const DEFERRED_DELAY_MAX: Duration = Duration::from_secs(2);

/// Deferred updates kept; further ones are dropped.
const DEFERRED_UPDATES_MAX: usize = 20_000;

/// One in this many commits prefers an object with overdue deferred updates, however many claims
/// wait.
const OVERDUE_SELECTION_INTERVAL: u64 = 4;

/// Called with the outcome of a claim.
pub type OutcomeCallback = Box<dyn FnOnce(ClaimOutcome) + Send>;

/// Hands claims to the writer thread.
pub struct Writer {
    tx: Sender<PendingClaim>,
    writes: Arc<AtomicU64>,
    store_down: Arc<AtomicBool>,
}

struct PendingClaim {
    claim: ClaimRequest,
    callback: OutcomeCallback,
    queued_at: Instant,
}

/// The deferred updates of one object, and since when there are any.
struct DeferredUpdates {
    claims: Vec<ClaimRequest>,
    oldest_at: Instant,
}

impl Default for DeferredUpdates {
    fn default() -> DeferredUpdates {
        DeferredUpdates { claims: Vec::new(), oldest_at: Instant::now() }
    }
}

impl Writer {
    /// Starts the thread, which ends when the `Writer` is dropped.
    pub fn start(objects: Arc<dyn ObjectStore>) -> Writer {
        let (tx, rx) = channel::bounded(QUEUE_MAX);
        let writes = Arc::new(AtomicU64::new(0));
        let store_down = Arc::new(AtomicBool::new(false));
        let worker = WriterThread {
            objects,
            rx,
            writes: writes.clone(),
            store_down: store_down.clone(),
            cache: HashMap::new(),
            waiting: BTreeMap::new(),
            deferred: BTreeMap::new(),
            selection_count: 0,
            last_write_at: None,
            last_failure_at: None,
        };
        thread::spawn(move || worker.run());
        Writer { tx, writes, store_down }
    }

    /// Submits a claim without blocking. While the store can't be reached, acquisitions are refused
    /// here, so that no request waits for a call to the store.
    pub fn submit(&self, claim: ClaimRequest, callback: OutcomeCallback) {
        if claim.op == ClaimOp::Acquire && self.is_store_down() {
            return callback(ClaimOutcome::Unavailable);
        }
        if let Err(e) =
            self.tx.try_send(PendingClaim { claim, callback, queued_at: Instant::now() })
        {
            (e.into_inner().callback)(ClaimOutcome::Unavailable);
        }
    }

    /// Number of conditional updates attempted so far.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Whether the last call to the store failed.
    pub fn is_store_down(&self) -> bool {
        self.store_down.load(Ordering::Relaxed)
    }
}

struct WriterThread {
    objects: Arc<dyn ObjectStore>,
    rx: Receiver<PendingClaim>,
    writes: Arc<AtomicU64>,
    store_down: Arc<AtomicBool>,
    /// The objects as last read or written, with their versions.
    cache: HashMap<ClaimObject, (u64, ClaimRecords)>,
    /// Claims whose requesters wait, by object.
    waiting: BTreeMap<ClaimObject, Vec<PendingClaim>>,
    /// Updates for which no requester waits, by object.
    deferred: BTreeMap<ClaimObject, DeferredUpdates>,
    selection_count: u64,
    last_write_at: Option<Instant>,
    last_failure_at: Option<Instant>,
}

impl WriterThread {
    fn run(mut self) {
        while self.receive() {
            if self.last_failure_at.is_some() {
                let waiting = std::mem::take(&mut self.waiting);
                waiting.into_values().for_each(refuse_all);
                self.probe();
                continue;
            }
            self.wait_write_interval();
            while let Ok(pending) = self.rx.try_recv() {
                self.enqueue(pending);
            }
            if let Some(object) = self.next_object() {
                let waiting = self.waiting.remove(&object).unwrap_or_default();
                let deferred = self.deferred.remove(&object).unwrap_or_default();
                self.commit(object, waiting, deferred.claims);
            }
        }
    }

    /// Waits for a claim, at most until a probe or a deferred update may be due. Returns `false` if
    /// the `Writer` was dropped.
    fn receive(&mut self) -> bool {
        if !self.waiting.is_empty() {
            return true;
        }
        let wait = if self.last_failure_at.is_some() { PROBE_INTERVAL } else { DEFERRED_DELAY_MAX };
        match self.rx.recv_timeout(wait) {
            Ok(pending) => self.enqueue(pending),
            Err(channel::RecvTimeoutError::Timeout) => {}
            Err(channel::RecvTimeoutError::Disconnected) => return false,
        }
        true
    }

    /// Queues an acquisition, whose requester waits; defers any other update.
    fn enqueue(&mut self, pending: PendingClaim) {
        let Some(object) = ClaimObject::for_request(&pending.claim) else {
            return (pending.callback)(ClaimOutcome::Unavailable);
        };
        if pending.claim.op == ClaimOp::Acquire {
            self.waiting.entry(object).or_default().push(pending);
        } else {
            self.defer(object, pending.claim);
        }
    }

    /// Keeps an update for the next commit of its object, unless too many are kept.
    fn defer(&mut self, object: ClaimObject, claim: ClaimRequest) {
        let count: usize = self.deferred.values().map(|deferred| deferred.claims.len()).sum();
        if count < DEFERRED_UPDATES_MAX {
            self.deferred.entry(object).or_default().claims.push(claim);
        }
    }

    /// The object to write next: the one with the greatest total waiting time of its claims, so
    /// that one with many claims goes first and none waits for ever. Every
    /// [`OVERDUE_SELECTION_INTERVAL`]th call prefers the object with the oldest deferred update, if
    /// that is overdue; the other calls return it when no claims wait.
    fn next_object(&mut self) -> Option<ClaimObject> {
        let overdue = || {
            let oldest = self.deferred.iter().min_by_key(|(_, deferred)| deferred.oldest_at)?;
            (DEFERRED_DELAY_MAX <= oldest.1.oldest_at.elapsed()).then_some(*oldest.0)
        };
        let total_wait = |waiting: &[PendingClaim]| -> Duration {
            waiting.iter().map(|p| p.queued_at.elapsed()).sum()
        };
        let longest_waiting = || {
            let objects = self.waiting.iter();
            objects.max_by_key(|(_, waiting)| total_wait(waiting)).map(|(object, _)| *object)
        };
        self.selection_count += 1;
        match self.selection_count.is_multiple_of(OVERDUE_SELECTION_INTERVAL) {
            true => overdue().or_else(longest_waiting),
            false => longest_waiting().or_else(overdue),
        }
    }

    /// Checks whether the store is reachable again, if a probe is due.
    fn probe(&mut self) {
        if self.last_failure_at.is_some_and(|at| at.elapsed() < PROBE_INTERVAL) {
            return;
        }
        let failed = self.objects.get(PROBE_OBJECT).is_err();
        self.set_store_failed(failed);
    }

    fn set_store_failed(&mut self, failed: bool) {
        self.last_failure_at = failed.then(Instant::now);
        self.store_down.store(failed, Ordering::Relaxed);
    }

    fn wait_write_interval(&self) {
        if let Some(at) = self.last_write_at {
            thread::sleep(WRITE_INTERVAL_MIN.saturating_sub(at.elapsed()));
        }
    }

    /// Commits claims and deferred updates of one object, and passes the claims' outcomes on.
    fn commit(
        &mut self,
        object: ClaimObject,
        pending: Vec<PendingClaim>,
        deferred: Vec<ClaimRequest>,
    ) {
        let claims: Vec<ClaimRequest> = pending.iter().map(|p| p.claim.clone()).collect();
        match self.update(object, &claims, &deferred) {
            Ok(outcomes) => {
                for (pending, outcome) in pending.into_iter().zip(outcomes) {
                    (pending.callback)(outcome);
                }
            }
            Err(_) => {
                self.set_store_failed(true);
                self.cache.remove(&object);
                // The claims may have been written nevertheless. They are released, since their
                // requests won't be sent.
                let released =
                    claims.into_iter().map(|c| ClaimRequest { op: ClaimOp::Release, ..c });
                for claim in released.chain(deferred) {
                    self.defer(object, claim);
                }
                refuse_all(pending);
            }
        }
    }

    fn update(
        &mut self,
        object: ClaimObject,
        claims: &[ClaimRequest],
        deferred: &[ClaimRequest],
    ) -> Result<Vec<ClaimOutcome>, Error> {
        for _ in 0..UPDATE_ATTEMPTS_MAX {
            let (version, mut records) = match self.cache.remove(&object) {
                Some(cached) => cached,
                None => self.read(object)?,
            };
            let before = records.clone();
            let now = unix_seconds(SystemTime::now());
            for claim in deferred {
                records.apply(claim, now);
            }
            let outcomes = claims.iter().map(|c| records.apply(c, now)).collect();
            if records == before {
                // The cached records may be outdated: only a fresh read shows that no write is
                // needed.
                let (version, fresh) = self.read(object)?;
                let same = fresh == before;
                self.cache.insert(object, (version, fresh));
                if same {
                    return Ok(outcomes);
                }
                continue;
            }
            match self.write(object, &records, version) {
                Ok(version) => {
                    self.cache.insert(object, (version, records));
                    return Ok(outcomes);
                }
                // Another box has written, or this write succeeded and its response is lost: the
                // records of the next read show which.
                Err(Error::Conflict { .. } | Error::Unknown(_)) => {}
                Err(e) => return Err(e),
            }
        }
        Err(Error::Unavailable("too many conflicts".to_owned()))
    }

    fn read(&self, object: ClaimObject) -> Result<(u64, ClaimRecords), Error> {
        let Some(stored) = self.objects.get(&object.name())? else {
            return Ok((0, ClaimRecords::default()));
        };
        let records = serde_json::from_slice(&stored.value);
        records.map(|r| (stored.version, r)).map_err(|e| Error::Unexpected(e.to_string()))
    }

    fn write(
        &mut self,
        object: ClaimObject,
        records: &ClaimRecords,
        version: u64,
    ) -> Result<u64, Error> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        self.last_write_at = Some(Instant::now());
        let value = serde_json::to_vec(records).expect("records serialize");
        self.objects.put(&object.name(), &value, version)
    }
}

fn refuse_all(pending: Vec<PendingClaim>) {
    for p in pending {
        (p.callback)(ClaimOutcome::Unavailable);
    }
}
