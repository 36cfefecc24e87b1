//! Messages, settings, codec, ids and result codes of cranberryridge.
//!
//! The types of [`message`], [`record`], [`schedule`] and [`setting`] are generated from
//! the schema files of the repository; the rest is written by hand.

pub mod blob;
pub mod code;
pub mod codec;
pub mod id;
pub mod service;
pub mod settings;
pub mod time;

/// Messages between an entry and a sidecar.
#[path = "generated/message.rs"]
#[rustfmt::skip]
#[allow(missing_docs, dead_code, unreachable_pub, clippy::all)]
pub mod message;

/// Records in the platform's log.
#[path = "generated/record.rs"]
#[rustfmt::skip]
#[allow(missing_docs, dead_code, unreachable_pub, clippy::all)]
pub mod record;

/// Messages between an entry host and a scheduler.
#[path = "generated/schedule.rs"]
#[rustfmt::skip]
#[allow(missing_docs, dead_code, unreachable_pub, clippy::all)]
pub mod schedule;

/// Settings of the daemons.
#[path = "generated/setting.rs"]
#[rustfmt::skip]
#[allow(missing_docs, dead_code, unreachable_pub, clippy::all)]
pub mod setting;

/// The hash map used throughout, with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// The hash set used throughout, with a fast hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
