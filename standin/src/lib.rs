//! Small fakes of the systems that frostdyke meets: the platform, a model engine and a plain
//! service. They live in a process of their own or inside a test. Not shipped.

pub mod engine;
pub mod hold;
pub mod orders;
pub mod platform;
pub mod service;
mod web;
