//! Messages, settings, frame codec, ids and result codes.
//!
//! `cranberryridge-codegen` generates the types of [`message`], [`record`],
//! [`schedule`] and [`setting`] from the files in `schema/`; the rest is written
//! by hand.

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

/// Records that are stored in the platform's log.
#[path = "generated/record.rs"]
#[rustfmt::skip]
#[allow(missing_docs, dead_code, unreachable_pub, clippy::all)]
pub mod record;

/// Messages between an entry host and a scheduler.
#[path = "generated/schedule.rs"]
#[rustfmt::skip]
#[allow(missing_docs, dead_code, unreachable_pub, clippy::all)]
pub mod schedule;

/// Settings of the entry and sidecar daemons.
#[path = "generated/setting.rs"]
#[rustfmt::skip]
#[allow(missing_docs, dead_code, unreachable_pub, clippy::all)]
pub mod setting;

/// Hash map with a fast hasher that does not resist crafted keys.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the same hasher as [`Map`].
pub type Set<K> = rustc_hash::FxHashSet<K>;
