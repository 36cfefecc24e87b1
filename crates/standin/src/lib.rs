//! Stand-ins for the systems around cranberryridge: the platform's log, store
//! and host list, model engines and plain services. The observer checks what
//! they did against the guarantees of cranberryridge.

pub mod engine;
pub mod fleet;
pub mod flood;
pub mod hosts;
pub mod ledger;
pub mod log;
pub mod observer;
pub mod orders;
pub mod plain;
pub mod runner;
pub mod script;
pub mod server;
pub mod store;
pub mod stream;
pub mod transcript;
