//! What the boxes of a fleet know of each other: which are alive, which watch the store, and which
//! own which groups of engines. Nothing in this module does input or output; time is a parameter.

pub mod draining;
pub mod evacuated;
pub mod fingerprint;
pub mod headroom;
pub mod in_progress;
pub mod members;
pub mod owners;
pub mod part_quarantine;
pub mod quarantine;
pub mod revision;
pub mod rollout;
pub mod store_watch;
pub mod stream_versions;
pub mod sync_state;
