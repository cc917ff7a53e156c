//! What several test files share.

pub mod rig;
