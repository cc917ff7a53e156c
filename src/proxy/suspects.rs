//! Detects requests that crash upstreams: requests that were running when their upstream crashed
//! are suspects.
//!
//! A broken connection alone doesn't prove a crash. Proof is that the upstream refuses connections,
//! that the store lists a newer instance of it, or that its entry expires though it wasn't leaving.
//! Each arrives at a different time, and at a different one on each box. Until then the request
//! waits here, and this box doesn't send it again if one more crash might reach the limit. That the
//! upstream answers again doesn't disprove a crash either: a proxy in front of it may answer, or it
//! may have restarted quickly.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rustc_hash::FxHashMap;
use slog::debug;
use slog::info;
use slog::warn;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::quarantine::CRASHES_MAX;
use crate::fleet::quarantine::Hold;
use crate::fleet::quarantine::Quarantine;
use crate::fleet::quarantine::SuspectReport;
use crate::fleet::quarantine::Verdict;
use crate::names::UpstreamName;
use crate::proxy::aligned_timer;
use crate::proxy::box_api;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::part_suspects;
use crate::proxy::suspect_saver::SaveQueue;
use crate::proxy::suspect_saver::SavedSuspects;

/// How long a broken request waits for proof of a crash: the three heartbeats after which an entry
/// expires, and some time until this box learns of it.
const PROOF_TIMEOUT: Duration = Duration::from_millis(6000);

/// How long this box counts an unexplained broken connection against a request.
const UNEXPLAINED_MAX_AGE: Duration = Duration::from_millis(1000);

/// A connection that breaks within this time after its upstream's crash was detected is attributed
/// to the crash: a busy box notices late.
const CRASH_ATTRIBUTION_WINDOW: Duration = Duration::from_millis(1500);

/// Maximum number of broken requests that wait for proof at a time.
const WAITING_MAX: usize = 4096;

/// Suspects in one message, so that they fit a datagram: at most 65 bytes each.
const SUSPECTS_PER_MESSAGE: usize = 20;

/// A request on trial may be sent again after this, if the last attempt had no known outcome.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);

/// Time between checks whether other boxes hold back requests that this one doesn't.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the id of an instance of an upstream, which is the same on all boxes.
pub fn instance_id(name: &UpstreamName, started_at_ms: Option<u64>) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), started_at_ms.unwrap_or_default())
}

/// A broken request that waits for proof of a crash.
#[derive(Clone, Debug)]
struct Waiting {
    broken: BrokenRequest,
    /// Whether the upstream has answered since; then only a newer instance proves a crash.
    is_answered: bool,
}

/// A request whose connection to the upstream broke.
#[derive(Clone, Debug)]
pub struct BrokenRequest {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The instance of the upstream; see [`instance_id`].
    pub instance: u64,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may have, too.
    pub parts: Vec<Fingerprint>,
    /// When the connection broke.
    pub at: Duration,
}

/// State of the detection of requests that crash upstreams.
#[derive(Debug, Default)]
pub struct Suspects {
    inner: Mutex<Inner>,
    to_save: SaveQueue,
}

#[derive(Debug, Default)]
struct Inner {
    quarantine: Quarantine,
    /// Broken requests without proof of a crash so far, in order of time.
    waiting: VecDeque<Waiting>,
    /// Upstreams that have crashed and not returned, and when that was detected.
    crashed: FxHashMap<UpstreamName, Duration>,
    /// Requests on trial that this box has sent, and when.
    trials: FxHashMap<Fingerprint, Duration>,
}

impl Inner {
    /// Returns the number of recent unexplained broken connections of a request.
    fn unexplained(&self, fingerprint: &Fingerprint, now: Duration) -> usize {
        let is_match = |w: &&Waiting| {
            w.broken.fingerprint == *fingerprint
                && !w.is_answered
                && now < w.broken.at + UNEXPLAINED_MAX_AGE
        };
        self.waiting.iter().filter(is_match).count()
    }

    /// Takes the broken requests of an upstream. Those after which it has answered are taken only
    /// if `is_newer_instance`.
    fn take_waiting(
        &mut self,
        upstream: &UpstreamName,
        is_newer_instance: bool,
    ) -> Vec<BrokenRequest> {
        let mut taken = Vec::new();
        self.waiting.retain(|w| {
            let is_match = w.broken.upstream == *upstream && (is_newer_instance || !w.is_answered);
            if is_match {
                taken.push(w.broken.clone());
            }
            !is_match
        });
        taken
    }
}

impl Suspects {
    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().expect("no panic under lock"))
    }

    /// Reads the proven crashes.
    pub fn read<T>(&self, f: impl FnOnce(&Quarantine) -> T) -> T {
        self.with(|inner| f(&inner.quarantine))
    }

    /// Reserves an attempt for a request on trial; false while an earlier attempt may be running.
    fn start_trial(&self, fingerprint: &Fingerprint, now: Duration) -> bool {
        self.with(|inner| {
            inner.trials.retain(|_, at| now < *at + TRIAL_INTERVAL);
            let is_due = !inner.trials.contains_key(fingerprint);
            if is_due {
                inner.trials.insert(*fingerprint, now);
            }
            is_due
        })
    }

    /// Whether the request reaches the limit of crashes if the unexplained broken connections on
    /// this box are crashes.
    pub fn would_reach_crash_limit(&self, fingerprint: &Fingerprint, now: Duration) -> bool {
        self.with(|inner| {
            CRASHES_MAX
                <= inner.quarantine.crash_count(fingerprint) + inner.unexplained(fingerprint, now)
        })
    }

    /// Requests to be saved in the store by this box, because it detected their latest crash.
    pub fn to_save(&self) -> &SaveQueue {
        &self.to_save
    }

    /// Returns the number of upstreams whose recent broken connections on this box are unexplained
    /// and concern requests with a part of a prompt.
    pub fn unexplained_with_part(&self, part: &Fingerprint, now: Duration) -> usize {
        self.with(|inner| {
            let is_match = |w: &&Waiting| {
                !w.is_answered
                    && now < w.broken.at + UNEXPLAINED_MAX_AGE
                    && w.broken.parts.contains(part)
            };
            let instances = inner.waiting.iter().filter(is_match).map(|w| w.broken.instance);
            instances.collect::<BTreeSet<u64>>().len()
        })
    }

    /// Removes expired state.
    pub fn expire(&self, now: Duration) {
        self.with(|inner| {
            inner.quarantine.expire(now);
            while inner.waiting.front().is_some_and(|w| w.broken.at + PROOF_TIMEOUT < now) {
                inner.waiting.pop_front();
            }
            inner.crashed.retain(|_, at| now < *at + CRASH_ATTRIBUTION_WINDOW);
        });
    }
}

/// Returns for how long a request is held back; `None` if it may be sent.
pub fn hold_time(hub: &Hub, fingerprint: &Fingerprint) -> Option<Duration> {
    let now = hub.now();
    match hub.suspects().read(|quarantine| quarantine.verdict(fingerprint, now)) {
        Verdict::Allowed => None,
        Verdict::Held(left) => Some(left),
        // One box sends it for all, so that at most one upstream crashes.
        Verdict::OnTrial => {
            let may_send = hub.peers().is_first_for(fingerprint.as_bytes())
                && hub.suspects().start_trial(fingerprint, now);
            (!may_send).then_some(TRIAL_INTERVAL)
        }
    }
}

/// Records that a request's connection to its upstream broke. `is_crash` if the upstream is known
/// to have crashed.
pub fn connection_broken(hub: &Hub, broken: BrokenRequest, is_crash: bool) {
    let has_crashed = hub.suspects().with(|inner| {
        if is_crash || inner.crashed.contains_key(&broken.upstream) {
            return true;
        }
        if WAITING_MAX <= inner.waiting.len() {
            inner.waiting.pop_front();
        }
        inner.waiting.push_back(Waiting { broken: broken.clone(), is_answered: false });
        false
    });
    if has_crashed {
        record_crash(hub, &broken.upstream, std::slice::from_ref(&broken));
    }
}

/// Records that an upstream refuses connections, which proves a crash.
pub fn connection_refused(hub: &Hub, name: &UpstreamName) {
    let now = hub.now();
    hub.suspects().with(|inner| _ = inner.crashed.insert(name.clone(), now));
    suspect_broken_requests(hub, name, false);
}

/// Records that an upstream's entry was removed, which proves a crash.
pub fn entry_removed(hub: &Hub, name: &UpstreamName) {
    hub.suspects().with(|inner| _ = inner.crashed.remove(name));
    suspect_broken_requests(hub, name, false);
}

/// Records that a newer instance of an upstream has started, which proves a crash of the previous
/// one.
pub fn restarted(hub: &Hub, name: &UpstreamName) {
    hub.suspects().with(|inner| _ = inner.crashed.remove(name));
    suspect_broken_requests(hub, name, true);
}

/// Records that an upstream answers: only connections broke, unless it turns out that a newer
/// instance answers.
pub fn upstream_answered(hub: &Hub, name: &UpstreamName) {
    hub.suspects().with(|inner| {
        inner.crashed.remove(name);
        let at_upstream = inner.waiting.iter_mut().filter(|w| w.broken.upstream == *name);
        at_upstream.for_each(|w| w.is_answered = true);
    });
}

/// Records that a request succeeded, which clears it of suspicion on all boxes.
pub fn request_succeeded(hub: &Hub, fingerprint: &Fingerprint) {
    if hub.suspects().with(|inner| inner.quarantine.clear(fingerprint)) {
        debug!(hub.log(), "suspect cleared"; "content" => %fingerprint);
        hub.peers().broadcast(&Message::SuspectCleared { fingerprint: *fingerprint });
    }
}

fn suspect_broken_requests(hub: &Hub, name: &UpstreamName, is_newer_instance: bool) {
    let taken = hub.suspects().with(|inner| inner.take_waiting(name, is_newer_instance));
    if !taken.is_empty() {
        record_crash(hub, name, &taken);
    }
}

/// Records that requests were running at an upstream when it crashed, and informs all boxes:
/// another one may already have received the same request.
fn record_crash(hub: &Hub, name: &UpstreamName, broken: &[BrokenRequest]) {
    let now = hub.now();
    let mut crashes: Vec<(Fingerprint, u64)> =
        broken.iter().map(|b| (b.fingerprint, b.instance)).collect();
    crashes.sort_unstable();
    crashes.dedup();
    info!(hub.log(), "upstream crashed"; "name" => name.as_str(), "requests" => crashes.len());
    let (mut held, reports) = hub.suspects().with(|Inner { quarantine, .. }| {
        let mut held = Vec::new();
        for (fingerprint, instance) in &crashes {
            if let Some(hold) = quarantine.record_crash(*fingerprint, *instance, now) {
                held.push((*fingerprint, hold));
            }
        }
        let reports =
            crashes.iter().filter_map(|(fingerprint, _)| quarantine.report(fingerprint, now));
        (held, reports.collect::<Vec<SuspectReport>>())
    });
    for chunk in reports.chunks(SUSPECTS_PER_MESSAGE) {
        // At most one more crash is allowed for one of them, and a datagram may be lost, so it is
        // sent twice.
        let copies = if chunk.iter().any(|s| 1 < s.crashes.len()) { 2 } else { 1 };
        let message = Message::Suspects(chunk.to_vec());
        (0..copies).for_each(|_| hub.peers().broadcast_now(&message));
    }
    part_suspects::record_crashes(hub, broken);
    held.iter().for_each(|(fingerprint, hold)| log_hold(hub, fingerprint, *hold, "seen"));
    held.retain(|(_, hold)| *hold == Hold::Confirmed);
    if !held.is_empty() {
        hub.suspects().to_save().push(held.into_iter().map(|(fingerprint, _)| fingerprint));
    }
}

/// Applies reports from another box or from the store.
pub fn merge_reports(hub: &Hub, all: &[SuspectReport]) {
    let now = hub.now();
    for suspect in all {
        if let Some(hold) = hub.suspects().with(|inner| inner.quarantine.merge(suspect, now)) {
            log_hold(hub, &suspect.fingerprint, hold, "told");
        }
    }
}

/// Applies another box's message that a request succeeded.
pub fn clear(hub: &Hub, fingerprint: &Fingerprint) {
    hub.suspects().with(|inner| inner.quarantine.clear(fingerprint));
}

fn log_hold(hub: &Hub, fingerprint: &Fingerprint, hold: Hold, by: &'static str) {
    warn!(hub.log(), "request held back"; "content" => %fingerprint, "by" => by,
        "until_tried" => hold == Hold::Provisional, "upstreams_ended" => CRASHES_MAX);
    hub.metrics().held_back(by);
}

/// Fetches from other boxes the requests and parts of prompts that they hold back and this one
/// doesn't, until the process ends. This box may have been cut off, or have started since.
pub async fn catch_up(hub: Arc<Hub>) {
    loop {
        aligned_timer::wait_for_tick(CATCH_UP_INTERVAL).await;
        let Some(addr) = hub.peers().box_with_other_held(held_digest(&hub)) else { continue };
        let contents = box_api::fetch_held(addr).await.map(|all| merge_reports(&hub, &all));
        let parts = box_api::fetch_held_parts(addr)
            .await
            .map(|all| part_suspects::merge_reports(&hub, &all));
        for e in [contents.err(), parts.err()].into_iter().flatten() {
            debug!(hub.log(), "request to another box failed"; "addr" => %addr, "error" => %e);
        }
    }
}

/// Returns a digest of all that this box holds back; zero for nothing.
pub fn held_digest(hub: &Hub) -> u64 {
    let now = hub.now();
    let contents = hub.suspects().read(|quarantine| quarantine.held_digest(now));
    contents ^ hub.part_suspects().read(|quarantine| quarantine.held_digest(now))
}

/// The requests that are held back, for [`crate::proxy::suspect_saver`].
pub struct SavedContents;

impl SavedSuspects for SavedContents {
    fn queue<'a>(&self, hub: &'a Hub) -> &'a SaveQueue {
        hub.suspects().to_save()
    }

    fn report(&self, hub: &Hub, fingerprint: &Fingerprint) -> Option<SuspectReport> {
        hub.suspects().read(|quarantine| quarantine.report(fingerprint, hub.now()))
    }

    fn merge(&self, hub: &Hub, reports: &[SuspectReport]) {
        merge_reports(hub, reports);
    }

    fn is_held(&self, hub: &Hub, fingerprint: &Fingerprint) -> bool {
        let verdict = hub.suspects().read(|known| known.verdict(fingerprint, hub.now()));
        verdict != Verdict::Allowed
    }
}
