//! The records of one shard and minute: what their object holds, and what a claim does to it. Pure.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::claims::ClaimOp;
use crate::claims::ClaimOutcome;
use crate::claims::ClaimRequest;
use crate::claims::FALLBACK;
use crate::claims::SKEW;
use crate::claims::WINDOW;

/// Records in one object at most, which stays below the platform's megabyte.
pub const RECORDS_MAX: usize = 12_000;

/// What an object holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecords {
    /// The minute of Unix time in which all these keys were made.
    pub minute: u64,
    /// By key.
    pub records: BTreeMap<String, ClaimRecord>,
}

/// The attempt that has a key: when the key was made, which attempt, whether it was answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecord(pub u64, pub u64, pub bool);

impl ClaimRecords {
    /// Does what a claim asks; tells the verdict. `now` is in seconds of Unix time.
    pub fn apply(&mut self, claim: &ClaimRequest, now: u64) -> ClaimOutcome {
        match claim.op {
            ClaimOp::Acquire => self.take(claim, now),
            ClaimOp::MarkRan => {
                if let Some(record) = self.mine(claim) {
                    record.2 = true;
                }
                ClaimOutcome::Ran
            }
            ClaimOp::Release => {
                if self.mine(claim).is_some() {
                    self.records.remove(&claim.key);
                }
                ClaimOutcome::HeldByOther
            }
        }
    }

    fn take(&mut self, claim: &ClaimRequest, now: u64) -> ClaimOutcome {
        // What is here is older by the whole ring: every router refuses such keys by now.
        if self.minute < claim.minute() {
            *self = ClaimRecords { minute: claim.minute(), records: BTreeMap::new() };
        }
        match self.records.get_mut(&claim.key) {
            Some(record) if record.1 == claim.attempt => return ClaimOutcome::Acquired,
            // The router gave up its first attempt before it heard that it had been written. It
            // sends nothing under that one any more, so the record can pass to the second.
            Some(record) if record.1 | FALLBACK == claim.attempt && !record.2 => {
                record.1 = claim.attempt;
                return ClaimOutcome::Acquired;
            }
            Some(record) if record.2 => return ClaimOutcome::Ran,
            Some(_) => return ClaimOutcome::HeldByOther,
            None => {}
        }
        // Whoever is slow must not bring a key back whose record may be forgotten.
        let is_old = claim.made + WINDOW.as_secs() + SKEW.as_secs() < now;
        if is_old || claim.minute() < self.minute {
            return ClaimOutcome::HeldByOther;
        }
        if RECORDS_MAX <= self.records.len() {
            return ClaimOutcome::Full;
        }
        let record = ClaimRecord(claim.made, claim.attempt, false);
        self.records.insert(claim.key.clone(), record);
        ClaimOutcome::Acquired
    }

    fn mine(&mut self, claim: &ClaimRequest) -> Option<&mut ClaimRecord> {
        self.records.get_mut(&claim.key).filter(|r| r.1 == claim.attempt)
    }
}
