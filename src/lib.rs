//! A router fleet that shares model and application engines fairly among workspaces.

pub mod claims;
pub mod cli;
pub mod clock;
pub mod config;
pub mod controller;
pub mod ctl;
pub mod dispatch;
pub mod fleet;
pub mod load;
pub mod log;
pub mod metrics;
pub mod names;
pub mod node;
pub mod operator;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod proxy;
pub mod response_status;
pub mod retry_after;
pub mod router;
pub mod status;
pub mod stop;
pub mod util;
pub mod web;
