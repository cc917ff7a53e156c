//! Placement: predicts the state of every upstream from the requests that this and other boxes send
//! to it, and selects the upstream for each request. Performs no I/O; the current time is a
//! parameter.

pub mod admit;
pub mod backoff;
pub mod cache;
pub mod choice;
pub mod cold;
pub mod connected;
pub mod decision_ids;
pub mod drain;
pub mod engine;
pub mod engine_speed;
pub mod plain;
pub mod probe;
pub mod queue;
pub mod reconnect;
pub mod redirect;
pub mod registry;
pub mod share;
pub mod speed;
pub mod tuning;
pub mod upstream;
pub mod waiting;
