//! Decisions of the gateway, which connects to endpoints directly, without
//! sidecars.

pub mod account;
pub mod admission;
pub mod balance;
pub mod budget;
pub mod cache;
pub mod departure;
pub mod drain;
pub mod era;
pub mod fairness;
pub mod limit;
pub mod member;
pub mod memory;
pub mod origin;
pub mod part;
pub mod permit;
pub mod place;
pub mod pool;
pub mod queue;
pub mod quota;
pub mod roster;
pub mod route;
pub mod schedule;
pub mod surge;
