//! Where a request goes: models of the upstreams, fed by what this box and the others send there,
//! and the choice among them. Nothing here does input or output; time is a parameter.

pub mod admit;
pub mod backoff;
pub mod cache;
pub mod choice;
pub mod cold;
pub mod engine;
pub mod plain;
pub mod registry;
pub mod share;
pub mod speed;
pub mod tuning;
pub mod upstream;
