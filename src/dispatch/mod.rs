//! Pure decisions: who goes next, and where to. No input or output, no clock and no locks in here:
//! the time is a parameter, counted from the start of the process.

pub mod ledger;
pub mod pool;
pub mod queue;
pub mod remote_zones;
pub mod retry;
pub mod upstreams;
