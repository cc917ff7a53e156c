//! Small fakes of the systems that frostdyke calls: the platform, a model engine and a service that
//! runs no model. They run in a separate process or inside a test, and are not shipped.

pub mod engine;
pub mod hold;
pub mod orders;
pub mod platform;
pub mod service;
mod web;
