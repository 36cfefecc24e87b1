//! Clients of the platform's services: the append-only log and the host list.

pub mod hosts;
pub mod log;
