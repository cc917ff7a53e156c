//! The records of one shard and minute, as an object stores them, and how a claim changes them. No
//! I/O.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::claims::CLOCK_SKEW_MAX;
use crate::claims::ClaimOp;
use crate::claims::ClaimOutcome;
use crate::claims::ClaimRequest;
use crate::claims::KEY_AGE_MAX;
use crate::claims::LOCAL_ATTEMPT_BIT;

/// Most records in one object, which keeps it below the platform's limit of a megabyte.
pub const RECORDS_MAX: usize = 12_000;

/// The content of an object.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecords {
    /// The minute of Unix time in which all these keys were made.
    pub minute: u64,
    /// By key.
    pub records: BTreeMap<String, ClaimRecord>,
}

/// When the key was made, in seconds of Unix time; the attempt that holds it; whether that attempt
/// was answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecord(pub u64, pub u64, pub bool);

impl ClaimRecords {
    /// Applies a claim and returns its outcome. `now` is in seconds of Unix time.
    pub fn apply(&mut self, claim: &ClaimRequest, now: u64) -> ClaimOutcome {
        match claim.op {
            ClaimOp::Acquire => self.acquire(claim, now),
            ClaimOp::MarkRan => {
                if let Some(record) = self.own_record(claim) {
                    record.2 = true;
                }
                ClaimOutcome::Ran
            }
            ClaimOp::Release => {
                if self.own_record(claim).is_some() {
                    self.records.remove(&claim.key);
                }
                ClaimOutcome::HeldByOther
            }
        }
    }

    fn acquire(&mut self, claim: &ClaimRequest, now: u64) -> ClaimOutcome {
        // The object still holds the records of its previous turn in the ring; every router refuses
        // their keys by now.
        if self.minute < claim.minute() {
            *self = ClaimRecords { minute: claim.minute(), records: BTreeMap::new() };
        }
        match self.records.get_mut(&claim.key) {
            Some(record) if record.1 == claim.attempt => return ClaimOutcome::Acquired,
            // The router gave up its first attempt before it learnt that the claim was written. It
            // sends nothing under that attempt any more, so the record can pass to the second.
            Some(record) if record.1 | LOCAL_ATTEMPT_BIT == claim.attempt && !record.2 => {
                record.1 = claim.attempt;
                return ClaimOutcome::Acquired;
            }
            Some(record) if record.2 => return ClaimOutcome::Ran,
            Some(_) => return ClaimOutcome::HeldByOther,
            None => {}
        }
        // A delayed claim must not bring back a key whose record may be deleted already.
        let is_old = claim.made_at_s + KEY_AGE_MAX.as_secs() + CLOCK_SKEW_MAX.as_secs() < now;
        if is_old || claim.minute() < self.minute {
            return ClaimOutcome::HeldByOther;
        }
        if RECORDS_MAX <= self.records.len() {
            return ClaimOutcome::Full;
        }
        let record = ClaimRecord(claim.made_at_s, claim.attempt, false);
        self.records.insert(claim.key.clone(), record);
        ClaimOutcome::Acquired
    }

    fn own_record(&mut self, claim: &ClaimRequest) -> Option<&mut ClaimRecord> {
        self.records.get_mut(&claim.key).filter(|r| r.1 == claim.attempt)
    }
}
