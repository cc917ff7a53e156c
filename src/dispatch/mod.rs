//! Scheduling of requests: which one goes next, and to which upstream. No I/O, clock or locks: the
//! time is a parameter, counted from the start of the process.

pub mod ledger;
pub mod order;
pub mod pool;
pub mod queue;
pub mod remote_zones;
pub mod retry;
pub mod upstreams;
