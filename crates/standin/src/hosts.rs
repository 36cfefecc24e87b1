//! A stand-in for the platform's host list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cranberryridge::net::Net;
use cranberryridge::platform::hosts::Row;

use crate::server::{json, Server};

/// A host list in memory. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    rows: Arc<Mutex<Vec<Row>>>,
    /// Delay of each answer.
    delay: Arc<Mutex<Duration>>,
}

impl Hosts {
    /// Serves the list over HTTP.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub async fn serve<N: Net>(&self, net: &N, at: SocketAddr) -> std::io::Result<Server> {
        let hosts = self.clone();
        let answer = move |_| {
            let hosts = hosts.clone();
            async move {
                let delay = *hosts.delay.lock().unwrap_or_else(PoisonError::into_inner);
                tokio::time::sleep(delay).await;
                json(&hosts.rows())
            }
        };
        Server::start(net, at, answer).await
    }

    /// Replaces the rows.
    pub fn set_rows(&self, rows: Vec<Row>) {
        *self.rows.lock().unwrap_or_else(PoisonError::into_inner) = rows;
    }

    /// Sets the delay of each answer.
    pub fn set_delay(&self, delay: Duration) {
        *self.delay.lock().unwrap_or_else(PoisonError::into_inner) = delay;
    }

    /// Returns the rows that the list serves.
    pub fn rows(&self) -> Vec<Row> {
        self.rows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
