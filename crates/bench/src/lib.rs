//! Load generation, policy comparison and cost measurements.
//!
//! A run starts the real daemon code with stand-in engines and services. It uses
//! in-memory pipes and a paused clock, so minutes of load take seconds.

pub mod caller;
pub mod ceiling;
pub mod check;
pub mod deployment;
pub mod load;
pub mod plot;
pub mod row;
pub mod run;
