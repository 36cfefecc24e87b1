//! Connections of callers, of which some are closed for others.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use tokio::sync::Notify;

use cranberryridge_policy::gateway::admission::{Key, Stage, Table};
use cranberryridge_wire::Map;

use crate::gateway::lock;

/// The open connections of a listener.
#[derive(Debug)]
pub struct Registry {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: Table,
    /// Notified when a connection is to be closed.
    evictions: Map<Key, Arc<Notify>>,
}

/// An admitted connection, until dropped.
#[derive(Debug)]
pub struct Connection {
    registry: Arc<Registry>,
    key: Key,
    evicted: Arc<Notify>,
}

impl Registry {
    /// Creates a registry that admits at most a number of connections.
    pub fn new(max_connections: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                table: Table::new(max_connections),
                evictions: Map::default(),
            }),
        })
    }

    /// Admits a connection, for which another one may have to close. Returns `None` if there is no
    /// room.
    pub fn admit(self: &Arc<Self>, now: Instant) -> Option<Connection> {
        let mut state = lock(&self.state);
        let (key, evicted) = state.table.admit(now)?;
        if let Some(evicted) = evicted {
            state.evict(evicted);
        }
        let evicted = Arc::new(Notify::new());
        state.evictions.insert(key, evicted.clone());
        Some(Connection {
            registry: self.clone(),
            key,
            evicted,
        })
    }

    /// Closes the connection that gives way to a request that needs memory. Returns `false` if there
    /// is none.
    pub fn evict_for_memory(&self, now: Instant) -> bool {
        let mut state = lock(&self.state);
        let evicted = state.table.evict_for_memory(now);
        if let Some(key) = evicted {
            state.evict(key);
        }
        evicted.is_some()
    }
}

impl State {
    fn evict(&mut self, key: Key) {
        if let Some(evicted) = self.evictions.remove(&key) {
            evicted.notify_one();
        }
    }
}

impl Connection {
    /// Records what the connection does.
    pub fn set_stage(&self, now: Instant, stage: Stage) {
        lock(&self.registry.state)
            .table
            .set_stage(now, self.key, stage);
    }

    /// Waits until the connection is to be closed for another one.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = lock(&self.registry.state);
        state.table.remove(self.key);
        state.evictions.remove(&self.key);
    }
}
