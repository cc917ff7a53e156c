//! How the routers of a fleet talk: messages, membership and links.

pub mod connection;
pub mod member;
pub mod message;
pub mod server;
pub mod traffic;
