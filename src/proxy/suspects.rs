//! Requests that broke off with their upstream, and whether it ended by that: one of them may be what ended it.
//!
//! A connection that breaks off says little. What says that the upstream has ended: it refuses connections, its platform
//! lists a newer start of it, or its entry lapses though it didn't leave. Each comes at another time, and to each box at
//! another one; until then the request waits here, and this box doesn't send it on where one more end might be one too many.
//! One that answers again says little, too: something before it may answer in its place, or it was quick to start.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rustc_hash::FxHashMap;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::quarantine::CRASHES_MAX;
use crate::fleet::quarantine::Hold;
use crate::fleet::quarantine::Quarantine;
use crate::fleet::quarantine::SuspectReport;
use crate::fleet::quarantine::Verdict;
use crate::names::UpstreamName;
use crate::proxy::adapter::StoreError;
use crate::proxy::adapter::SuspectStore;
use crate::proxy::aligned_timer;
use crate::proxy::box_api;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;

/// How long a request that broke off waits for a word on its upstream: three heartbeats in which an entry lapses, and
/// some time to hear of it.
const WAITS_FOR: Duration = Duration::from_millis(6000);

/// A break is held against a request by this box alone for this long, without any other word.
const DOUBTED_FOR: Duration = Duration::from_millis(1000);

/// What breaks off so long after its upstream was found to have ended did so with it: a busy box notices late.
const LATE: Duration = Duration::from_millis(1500);

/// Most requests that wait at a time.
const WAITING_MAX: usize = 4096;

/// Suspects told at a time, so that they fit a datagram: at most 65 bytes each.
const TOLD_MAX: usize = 20;

/// Pause before something is kept that could not be kept, and the longest: a store that is away is asked by few.
const KEEP_AGAIN: Duration = Duration::from_millis(500);
const KEEP_AGAIN_MAX: Duration = Duration::from_secs(8);

/// Most requests that a box keeps in the store.
const KEPT_MAX: usize = 256;

/// What is kept may be missing for some seconds where a list says what was, so it is asked for once more after this.
const RECALL_AGAIN: Duration = Duration::from_secs(5);

/// Time between tries to ask for what is kept, and how many: a store that is away for longer than this, while all boxes
/// start, is given up.
const RECALL_EVERY: Duration = Duration::from_millis(700);
const RECALL_TRIES: u32 = 60;

/// A request on trial is tried again after this, if nothing has come of the last try.
const TRY_EVERY: Duration = Duration::from_secs(5);

/// Time between looks whether other boxes hold requests back that this one doesn't.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// A start of an upstream as all boxes name it.
pub fn instance_id(name: &UpstreamName, started_at_ms: Option<u64>) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), started_at_ms.unwrap_or_default())
}

/// A break that waits for a word on its upstream.
#[derive(Clone, Debug)]
struct Waiting {
    at: Duration,
    broken: BrokenRequest,
    /// Whether the upstream has answered since: only a newer start says that it had ended.
    is_answered: bool,
}

/// A request that broke off.
#[derive(Clone, Debug)]
pub struct BrokenRequest {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Which start of it; see [`instance_id`].
    pub instance: u64,
    /// The request.
    pub fingerprint: Fingerprint,
}

/// What is known of requests that may end upstreams.
#[derive(Debug, Default)]
pub struct Suspects {
    inner: Mutex<Inner>,
    /// Woken when there is something to keep.
    to_keep: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    quarantine: Quarantine,
    /// Requests that broke off and nobody knows why, in order of time.
    waiting: VecDeque<Waiting>,
    /// Upstreams that have ended and aren't back, and when that was found.
    ended: FxHashMap<UpstreamName, Duration>,
    /// Requests whose last end this box saw: it keeps them in the store. Those that it hasn't kept yet come first.
    unkept: VecDeque<Fingerprint>,
    kept: BTreeSet<Fingerprint>,
    /// Requests on trial that this box has sent, and when.
    tried: FxHashMap<Fingerprint, Duration>,
}

impl Inner {
    /// Breaks of a request that nobody has explained yet.
    fn unexplained(&self, fingerprint: &Fingerprint, now: Duration) -> usize {
        let is_of = |w: &&Waiting| {
            w.broken.fingerprint == *fingerprint && !w.is_answered && now < w.at + DOUBTED_FOR
        };
        self.waiting.iter().filter(is_of).count()
    }

    /// Takes what broke off at an upstream; where it has answered since, only if that was a newer start.
    fn take_waiting(
        &mut self,
        upstream: &UpstreamName,
        is_newer_start: bool,
    ) -> Vec<BrokenRequest> {
        let mut taken = Vec::new();
        self.waiting.retain(|w| {
            let is_of = w.broken.upstream == *upstream && (is_newer_start || !w.is_answered);
            if is_of {
                taken.push(w.broken.clone());
            }
            !is_of
        });
        taken
    }
}

impl Suspects {
    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().expect("no panic under lock"))
    }

    /// Reads what is known for sure.
    pub fn read<T>(&self, f: impl FnOnce(&Quarantine) -> T) -> T {
        self.with(|inner| f(&inner.quarantine))
    }

    /// Takes the right to try a request that is on trial; false while another try may be under way.
    fn take_try(&self, fingerprint: &Fingerprint, now: Duration) -> bool {
        self.with(|inner| {
            inner.tried.retain(|_, at| now < *at + TRY_EVERY);
            let is_free = !inner.tried.contains_key(fingerprint);
            if is_free {
                inner.tried.insert(*fingerprint, now);
            }
            is_free
        })
    }

    /// Whether one more end of an upstream would be one too many, if the breaks that this box has just seen are such
    /// ends.
    pub fn would_reach_crash_limit(&self, fingerprint: &Fingerprint, now: Duration) -> bool {
        self.with(|inner| {
            CRASHES_MAX
                <= inner.quarantine.crash_count(fingerprint) + inner.unexplained(fingerprint, now)
        })
    }

    /// Has requests kept in the store.
    fn to_keep(&self, contents: Vec<Fingerprint>) {
        self.with(|inner| {
            inner.unkept.extend(contents);
            let over = inner.unkept.len().saturating_sub(KEPT_MAX);
            inner.unkept.drain(..over);
        });
        self.to_keep.notify_one();
    }

    /// The store has come back from an older copy, which may lack what this box kept.
    pub fn persist_again(&self) {
        let kept = self.with(|inner| std::mem::take(&mut inner.kept));
        self.to_keep(kept.into_iter().collect());
    }

    /// Forgets what was long ago.
    pub fn tick(&self, now: Duration) {
        self.with(|inner| {
            inner.quarantine.expire(now);
            while inner.waiting.front().is_some_and(|w| w.at + WAITS_FOR < now) {
                inner.waiting.pop_front();
            }
            inner.ended.retain(|_, at| now < *at + LATE);
        });
    }
}

/// For how long a request is held back; nothing if it may be sent.
pub fn hold_time(hub: &Hub, fingerprint: &Fingerprint) -> Option<Duration> {
    let now = hub.now();
    match hub.suspects().read(|quarantine| quarantine.verdict(fingerprint, now)) {
        Verdict::Allowed => None,
        Verdict::Held(left) => Some(left),
        // One box tries for all, so that no more than one upstream ends by it.
        Verdict::OnTrial => {
            let may_try = hub.peers().is_first_for(fingerprint.as_bytes())
                && hub.suspects().take_try(fingerprint, now);
            (!may_try).then_some(TRY_EVERY)
        }
    }
}

/// A request broke off. `is_sure` if its upstream has ended for sure.
pub fn connection_broken(hub: &Hub, broken: BrokenRequest, is_sure: bool) {
    let now = hub.now();
    let has_ended = hub.suspects().with(|inner| {
        if is_sure || inner.ended.contains_key(&broken.upstream) {
            return true;
        }
        if WAITING_MAX <= inner.waiting.len() {
            inner.waiting.pop_front();
        }
        inner.waiting.push_back(Waiting { at: now, broken: broken.clone(), is_answered: false });
        false
    });
    if has_ended {
        suspect(hub, &broken.upstream, vec![(broken.fingerprint, broken.instance)]);
    }
}

/// An upstream refuses connections, so it has ended.
pub fn connection_refused(hub: &Hub, name: &UpstreamName) {
    let now = hub.now();
    hub.suspects().with(|inner| _ = inner.ended.insert(name.clone(), now));
    suspect_waiting(hub, name, false);
}

/// An upstream's entry is gone, so it has ended.
pub fn entry_removed(hub: &Hub, name: &UpstreamName) {
    hub.suspects().with(|inner| _ = inner.ended.remove(name));
    suspect_waiting(hub, name, false);
}

/// An upstream has started anew, so it had ended before.
pub fn restarted(hub: &Hub, name: &UpstreamName) {
    hub.suspects().with(|inner| _ = inner.ended.remove(name));
    suspect_waiting(hub, name, true);
}

/// An upstream answers, so what broke off there was only a connection, unless it proves to be a newer start.
pub fn upstream_answered(hub: &Hub, name: &UpstreamName) {
    hub.suspects().with(|inner| {
        inner.ended.remove(name);
        let of_it = inner.waiting.iter_mut().filter(|w| w.broken.upstream == *name);
        of_it.for_each(|w| w.is_answered = true);
    });
}

/// A request has ended well.
pub fn request_succeeded(hub: &Hub, fingerprint: &Fingerprint) {
    if hub.suspects().with(|inner| inner.quarantine.clear(fingerprint)) {
        debug!(hub.log(), "suspect cleared"; "content" => %fingerprint);
        hub.peers().broadcast(&Message::SuspectCleared { fingerprint: *fingerprint });
    }
}

fn suspect_waiting(hub: &Hub, name: &UpstreamName, is_newer_start: bool) {
    let taken = hub.suspects().with(|inner| inner.take_waiting(name, is_newer_start));
    if !taken.is_empty() {
        suspect(hub, name, taken.into_iter().map(|b| (b.fingerprint, b.instance)).collect());
    }
}

/// Requests were at an upstream when it ended. All boxes hear of it: the next one may have the same request already.
fn suspect(hub: &Hub, name: &UpstreamName, mut crashes: Vec<(Fingerprint, u64)>) {
    let now = hub.now();
    crashes.sort_unstable();
    crashes.dedup();
    info!(hub.log(), "upstream ended"; "name" => name.as_str(), "requests" => crashes.len());
    let (mut held, told) = hub.suspects().with(|Inner { quarantine, .. }| {
        let mut held = Vec::new();
        for (fingerprint, start) in &crashes {
            if let Some(hold) = quarantine.record_crash(*fingerprint, *start, now) {
                held.push((*fingerprint, hold));
            }
        }
        let told =
            crashes.iter().filter_map(|(fingerprint, _)| quarantine.report(fingerprint, now));
        (held, told.collect::<Vec<SuspectReport>>())
    });
    for chunk in told.chunks(TOLD_MAX) {
        // The next end is the last that is allowed, or was; a datagram may be lost.
        let copies = if chunk.iter().any(|s| 1 < s.crashes.len()) { 2 } else { 1 };
        let message = Message::Suspects(chunk.to_vec());
        (0..copies).for_each(|_| hub.peers().broadcast_now(&message));
    }
    held.iter().for_each(|(fingerprint, hold)| tell_hold(hub, fingerprint, *hold, "seen"));
    held.retain(|(_, hold)| *hold == Hold::Confirmed);
    if !held.is_empty() {
        hub.suspects().to_keep(held.into_iter().map(|(fingerprint, _)| fingerprint).collect());
    }
}

/// Takes in what another box tells.
pub fn merge_reports(hub: &Hub, all: &[SuspectReport]) {
    let now = hub.now();
    for suspect in all {
        if let Some(hold) = hub.suspects().with(|inner| inner.quarantine.merge(suspect, now)) {
            tell_hold(hub, &suspect.fingerprint, hold, "told");
        }
    }
}

/// Another box says that a request has ended well.
pub fn clear(hub: &Hub, fingerprint: &Fingerprint) {
    hub.suspects().with(|inner| inner.quarantine.clear(fingerprint));
}

fn tell_hold(hub: &Hub, fingerprint: &Fingerprint, hold: Hold, by: &'static str) {
    warn!(hub.log(), "request held back"; "content" => %fingerprint, "by" => by,
        "until_tried" => hold == Hold::Provisional, "upstreams_ended" => CRASHES_MAX);
    hub.metrics().held_back(by);
}

/// Asks other boxes for requests that they hold back and this one doesn't, until the process ends: it may have been cut
/// off, or have started since.
pub async fn catch_up(hub: Arc<Hub>) {
    loop {
        aligned_timer::wait_for_tick(LOOK_EVERY).await;
        let own = hub.suspects().read(|quarantine| quarantine.held_digest(hub.now()));
        let Some(addr) = hub.peers().box_with_other_held(own) else { continue };
        match box_api::fetch_held(addr).await {
            Ok(all) => merge_reports(&hub, &all),
            Err(e) => debug!(hub.log(), "box not asked"; "addr" => %addr, "error" => %e),
        }
    }
}

/// Keeps in the store what this box holds back by its own sight, until the process ends: all boxes may lose their memory
/// at once.
pub async fn persist(hub: Arc<Hub>, records: Arc<dyn SuspectStore>) {
    let mut pause = KEEP_AGAIN;
    loop {
        let Some(fingerprint) = hub.suspects().with(|inner| inner.unkept.front().copied()) else {
            hub.suspects().to_keep.notified().await;
            continue;
        };
        let told = hub.suspects().read(|quarantine| quarantine.report(&fingerprint, hub.now()));
        let kept = match &told {
            Some(suspect) => records.save(suspect).await,
            // Nothing is held against it any more.
            None => Ok(()),
        };
        if let Err(e) = kept {
            info!(hub.log(), "request not kept"; "content" => %fingerprint, "error" => %e);
            if let StoreError::Unavailable(_) = e {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(KEEP_AGAIN_MAX);
                continue;
            }
        }
        pause = KEEP_AGAIN;
        hub.suspects().with(|inner| {
            inner.unkept.retain(|unkept| *unkept != fingerprint);
            if inner.kept.len() < KEPT_MAX {
                inner.kept.insert(fingerprint);
            }
        });
    }
}

/// Asks the store for what other boxes kept before this one started, if it is one of those that ask the store at all;
/// the others are told.
pub async fn load_persisted(hub: Arc<Hub>, records: Arc<dyn SuspectStore>) {
    let mut recalls = 0;
    for _ in 0..RECALL_TRIES {
        if hub.peers().is_store_due() {
            match records.load_all().await {
                Ok(all) => {
                    recalls += 1;
                    take_kept(&hub, &*records, &all).await;
                    if 1 < recalls {
                        return;
                    }
                    tokio::time::sleep(RECALL_AGAIN).await;
                    continue;
                }
                Err(e) => info!(hub.log(), "requests not recalled"; "error" => %e),
            }
        }
        tokio::time::sleep(RECALL_EVERY).await;
    }
}

async fn take_kept(hub: &Hub, records: &dyn SuspectStore, all: &[SuspectReport]) {
    merge_reports(hub, all);
    for SuspectReport { fingerprint, .. } in all {
        let verdict = hub.suspects().read(|known| known.verdict(fingerprint, hub.now()));
        if verdict != Verdict::Allowed {
            continue;
        }
        // It was long ago. Another box may do the same at the same time.
        if let Err(e) = records.delete(fingerprint).await {
            debug!(hub.log(), "request not forgotten"; "content" => %fingerprint, "error" => %e);
        }
    }
}
