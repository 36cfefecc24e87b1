//! Servers of the entry, the sidecar and the gateway.
//!
//! They carry out the decisions of the policy crate. They are generic over the network and
//! the clock, so the same code runs on TCP in the daemons, and on in-process pipes with a
//! paused clock in simulations and tests.

pub mod body;
pub mod client;
pub mod clock;
pub mod config;
pub mod entry;
pub mod events;
pub mod frame;
pub mod gateway;
pub mod logger;
pub mod metrics;
pub mod net;
pub mod platform;
pub mod problem;
pub mod publish;
pub mod reply;
pub mod sidecar;
pub mod stream;
pub mod tally;

pub use cranberryridge_policy as policy;
pub use cranberryridge_wire as wire;
