//! Every decision of cranberryridge, without I/O.
//!
//! Each decision is a deterministic state machine: time, an event and
//! where needed a seeded random source go in, actions come out. The daemons
//! drive them, and so do tests, step by step.

pub mod claim;
pub mod gate;
pub mod gateway;
pub mod invoke;
pub mod issue;
pub mod limit;
pub mod member;
pub mod order;
pub mod place;
pub mod prefix;
pub mod publish;
pub mod request;
pub mod retry;
pub mod subset;
pub mod suspect;
pub mod unreported;
