//! Engines to which the box that sends a request has an idle connection. Among engines that would
//! serve equally well, one of these is preferred.

use std::time::Duration;

/// Engines serve equally well if they compute the same part of a prompt and their waits differ by
/// at most this: some steps of a busy engine, which a wait can't be foreseen more exactly than.
pub const EQUAL_WAIT_MAX: Duration = Duration::from_millis(20);

/// Most engines that a question names, so that it stays small.
pub const CONNECTED_MAX: usize = 12;

/// A short hash of an engine's name. Engines of one group rarely have the same, and then one of
/// them gets an undeserved preference.
pub fn short_hash(name_hash: u64) -> u16 {
    // Groups differ in the upper bits.
    name_hash as u16
}

/// Whether a list from another box is as long as it may be.
pub fn is_valid(connected: &[u16]) -> bool {
    connected.len() <= CONNECTED_MAX
}

/// Whether an engine is among those that the sending box is connected to.
pub fn is_named(connected: &[u16], name_hash: u64) -> bool {
    connected.contains(&short_hash(name_hash))
}
