//! All decisions of cranberryridge, without I/O.
//!
//! Each decision is a deterministic state machine: its inputs are the time, an event and,
//! where needed, a seeded random source; its outputs are actions. The daemons and the tests
//! drive these machines step by step.

pub mod answer;
pub mod claim;
pub mod gate;
pub mod gateway;
pub mod invoke;
pub mod issue;
pub mod kept;
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
