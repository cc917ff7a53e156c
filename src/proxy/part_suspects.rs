//! Withholds requests that share a part of their prompts which crashes engines.
//!
//! [`crate::proxy::suspects`] detects the crashes. The parts of the requests that were running are
//! reported to all boxes, and so are complete responses that clear them.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;

use slog::info;
use slog::warn;

use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::part_quarantine::PartCrash;
use crate::fleet::part_quarantine::PartQuarantine;
use crate::fleet::quarantine::Hold;
use crate::fleet::quarantine::SuspectReport;
use crate::fleet::quarantine::Verdict;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::suspect_saver::SaveQueue;
use crate::proxy::suspect_saver::SavedSuspects;
use crate::proxy::suspects::BrokenRequest;

/// Reports in one message, so that they fit a datagram: at most 130 bytes each.
const REPORTS_PER_MESSAGE: usize = 10;

/// Cleared parts in one message, of 22 bytes each.
const PARTS_PER_MESSAGE: usize = 50;

/// State of the parts of prompts that may crash engines.
#[derive(Debug, Default)]
pub struct PartSuspects {
    quarantine: Mutex<PartQuarantine>,
    to_save: SaveQueue,
}

impl PartSuspects {
    fn with<T>(&self, f: impl FnOnce(&mut PartQuarantine) -> T) -> T {
        f(&mut self.quarantine.lock().expect("no panic under lock"))
    }

    /// Reads the proven crashes.
    pub fn read<T>(&self, f: impl FnOnce(&PartQuarantine) -> T) -> T {
        self.with(|quarantine| f(quarantine))
    }

    /// Parts to be saved in the store by this box, because it detected their latest crash.
    pub fn to_save(&self) -> &SaveQueue {
        &self.to_save
    }
}

/// How requests with some parts are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    Sent,
    /// One of the parts is withheld; a retry is worthwhile after this time.
    Withheld(Duration),
    /// All parts that are withheld may be tried.
    Tried,
}

/// Returns how a request with these parts is treated.
pub fn treatment(hub: &Hub, parts: &[Fingerprint]) -> Treatment {
    let now = hub.now();
    hub.part_suspects().with(|quarantine| {
        let mut treatment = Treatment::Sent;
        for part in parts {
            match quarantine.verdict(part, draw(hub, part), now) {
                Verdict::Allowed => {}
                Verdict::OnTrial if treatment == Treatment::Sent => treatment = Treatment::Tried,
                Verdict::OnTrial => {}
                Verdict::Held(left) => {
                    treatment = match treatment {
                        Treatment::Withheld(longest) => Treatment::Withheld(longest.max(left)),
                        _ => Treatment::Withheld(left),
                    };
                }
            }
        }
        treatment
    })
}

/// Begins the trial of a request with these parts, and informs all boxes.
pub fn start_trial(hub: &Hub, parts: &[Fingerprint], id: &str) {
    let now = hub.now();
    for part in parts {
        let is_on_trial = hub.part_suspects().with(|quarantine| {
            let is_on_trial = quarantine.verdict(part, draw(hub, part), now) == Verdict::OnTrial;
            if is_on_trial {
                quarantine.start_trial(*part, now);
            }
            is_on_trial
        });
        if is_on_trial {
            info!(hub.log(), "request with withheld part tried"; "id" => id, "part" => %part);
            hub.peers().broadcast_now(&Message::PartTrial(*part));
        }
    }
}

/// Records that a request that tries these parts is being sent.
pub fn record_trial_sent(hub: &Hub, parts: &[Fingerprint]) {
    let now = hub.now();
    hub.part_suspects().with(|quarantine| {
        parts.iter().for_each(|part| {
            if quarantine.hold_at(part, now) <= quarantine.crash_count(part) {
                quarantine.record_trial_sent(*part, now);
            }
        });
    });
}

/// Whether a part is withheld if the unexplained broken connections on this box are crashes.
pub fn would_be_withheld(hub: &Hub, parts: &[Fingerprint]) -> bool {
    let now = hub.now();
    parts.iter().any(|part| {
        let unexplained = hub.suspects().unexplained_with_part(part, now);
        hub.part_suspects().read(|quarantine| {
            quarantine.hold_at(part, now) <= quarantine.crash_count(part) + unexplained
        })
    })
}

/// Records that requests were running at an engine when it crashed, and informs all boxes.
pub fn record_crashes(hub: &Hub, broken: &[BrokenRequest]) {
    let crashes = broken.iter().flat_map(|broken| {
        let crash = |part: &Fingerprint| PartCrash {
            part: *part,
            instance: broken.instance,
            at: broken.at,
        };
        broken.parts.iter().map(crash)
    });
    report_crashes(hub, crashes);
}

/// Counts trials of this box that have no outcome as crashes, and removes expired state.
pub fn expire(hub: &Hub) {
    let now = hub.now();
    let unresolved = hub.part_suspects().with(|quarantine| {
        quarantine.expire(now);
        quarantine.take_unresolved_trials(now)
    });
    report_crashes(hub, unresolved.into_iter());
}

fn report_crashes(hub: &Hub, crashes: impl Iterator<Item = PartCrash>) {
    let now = hub.now();
    let (held, reports) = hub.part_suspects().with(|quarantine| {
        let (mut held, mut parts) = (Vec::new(), BTreeSet::new());
        for crash in crashes {
            held.extend(quarantine.record_crash(&crash, now).map(|hold| (crash.part, hold)));
            parts.insert(crash.part);
        }
        let reports = parts.iter().filter_map(|part| quarantine.report(part, now));
        (held, reports.collect::<Vec<SuspectReport>>())
    });
    for chunk in reports.chunks(REPORTS_PER_MESSAGE) {
        hub.peers().broadcast_now(&Message::PartSuspects(chunk.to_vec()));
    }
    for (part, hold) in held {
        log_hold(hub, &part, hold, "seen");
        if hold == Hold::Confirmed {
            hub.part_suspects().to_save().push([part]);
        }
    }
}

/// Applies reports from another box or from the store.
pub fn merge_reports(hub: &Hub, reports: &[SuspectReport]) {
    let now = hub.now();
    for report in reports {
        if let Some(hold) = hub.part_suspects().with(|quarantine| quarantine.merge(report, now)) {
            log_hold(hub, &report.fingerprint, hold, "told");
        }
    }
}

/// Records that a response to a request with these parts was complete.
pub fn record_completed(hub: &Hub, parts: &[Fingerprint]) {
    let announced = complete(hub, parts);
    for chunk in announced.chunks(PARTS_PER_MESSAGE) {
        hub.peers().broadcast_now(&Message::PartsCompleted(chunk.to_vec()));
    }
}

/// Applies another box's message that responses to requests with these parts were complete.
pub fn apply_completed(hub: &Hub, parts: &[Fingerprint]) {
    complete(hub, parts);
}

/// Applies another box's message that it tries a request with a part.
pub fn apply_trial(hub: &Hub, part: Fingerprint) {
    let now = hub.now();
    hub.part_suspects().with(|quarantine| quarantine.start_trial(part, now));
}

fn complete(hub: &Hub, parts: &[Fingerprint]) -> Vec<Fingerprint> {
    let now = hub.now();
    let (released, announced) = hub.part_suspects().with(|quarantine| {
        let is_held =
            |part: &&Fingerprint| quarantine.hold_at(part, now) <= quarantine.crash_count(part);
        let released: Vec<Fingerprint> = parts.iter().filter(is_held).copied().collect();
        (released, quarantine.record_completed(parts, now))
    });
    for part in &released {
        info!(hub.log(), "prompt part released"; "part" => %part);
    }
    if !released.is_empty() {
        hub.part_suspects().to_save().push(released);
    }
    announced
}

fn log_hold(hub: &Hub, part: &Fingerprint, hold: Hold, by: &'static str) {
    warn!(hub.log(), "prompt part withheld"; "part" => %part, "by" => by,
        "until_tried" => hold == Hold::Provisional);
    hub.metrics().part_withheld(by, hold == Hold::Provisional);
}

/// A number from 0 to 1 that differs between boxes.
fn draw(hub: &Hub, part: &Fingerprint) -> f64 {
    f64::from(hub.peers().own_draw(&part.to_string())) / f64::from(u32::MAX)
}

/// The parts whose hold is confirmed, for [`crate::proxy::suspect_saver`].
pub struct SavedParts;

impl SavedSuspects for SavedParts {
    fn queue<'a>(&self, hub: &'a Hub) -> &'a SaveQueue {
        hub.part_suspects().to_save()
    }

    fn report(&self, hub: &Hub, part: &Fingerprint) -> Option<SuspectReport> {
        hub.part_suspects().read(|quarantine| quarantine.report(part, hub.now()))
    }

    fn merge(&self, hub: &Hub, reports: &[SuspectReport]) {
        merge_reports(hub, reports);
    }

    fn is_held(&self, hub: &Hub, part: &Fingerprint) -> bool {
        let now = hub.now();
        hub.part_suspects().read(|known| known.hold_at(part, now) <= known.crash_count(part))
    }
}
