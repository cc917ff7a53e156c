//! Communication between the routers of a fleet: connections, messages and membership.

pub mod connection;
pub mod member;
pub mod message;
pub mod server;
pub mod traffic;
