//! Crashes, restarts and replacements of endpoints.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

use cranberryridge::net::Tcp;
use cranberryridge_standin::runner::{self, Runner};
use cranberryridge_standin::server;

use super::load::CRASHING_PART;
use super::site::Site;

/// Time after which an engine that crashed is back.
const RESTART_TIME: Duration = Duration::from_millis(1500);

/// Time for which an engine that is replaced is listed as draining, and then serves on.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// How the connections of an endpoint that crashes end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// All are reset at once.
    Reset,
    /// The listener closes, then all are closed in order.
    InOrder,
    /// All are closed in order, and the endpoint is back at once as another start.
    BackAtOnce,
    /// All are closed in order, and what stands before the endpoint goes on to accept.
    BehindProxy,
}

impl Site {
    /// Lets each decode engine crash when it begins to answer a prompt with
    /// [`CRASHING_PART`], and start again after a while.
    pub fn crash_engines_on_part(&mut self) {
        for index in 0..self.runners.len() {
            if self.runners[index].settings.phase == Some("decode") {
                self.runners[index].crash_on_part(CRASHING_PART);
                self.restart_crashed(index, Crash::Reset);
            }
        }
    }

    /// Lets all endpoints start again after they have crashed. A crash of an engine ends its
    /// connections in a way that is chosen, that of others closes them in order.
    pub fn restart_closed_endpoints(&mut self, crash: Crash) {
        for index in 0..self.runners.len() {
            let is_engine = self.runners[index].settings.phase.is_some();
            self.restart_crashed(index, if is_engine { crash } else { Crash::InOrder });
        }
    }

    /// Lets decode engines answer each second stream without a length or chunks, until the
    /// faults end.
    pub fn unframe_streams(&self) {
        let decoders = self.runners.iter();
        let decoders = decoders.filter(|runner| runner.settings.phase == Some("decode"));
        decoders.for_each(Runner::unframe);
    }

    /// Lets an endpoint start again a while after each crash.
    fn restart_crashed(&mut self, index: usize, crash: Crash) {
        let Some(server) = self.servers[index].take() else {
            return;
        };
        let (runner, store) = (self.runners[index].clone(), self.store.clone());
        let (entries, thawed_at) = (self.entries.clone(), self.thawed_at.clone());
        let proxy = self.proxies[index].clone();
        tokio::spawn(async move {
            let (mut runner, mut server) = (runner, server);
            loop {
                runner.crashed().await;
                let address = server.address;
                match crash {
                    // A crash that closed connections in order would look like the end of
                    // answers without a length.
                    Crash::Reset => proxy.stop(),
                    Crash::InOrder => proxy.begin_close().await,
                    Crash::BackAtOnce | Crash::BehindProxy => {}
                }
                server.kill();
                drop(server);
                let is_frozen = |until: Instant| {
                    let thawed_at = *thawed_at.lock().unwrap();
                    thawed_at.is_none_or(|at| at + RESTART_TIME > until)
                };
                if crash != Crash::BackAtOnce {
                    tokio::time::sleep(RESTART_TIME).await;
                }
                // A gateway that thaws after the restart finds the endpoint up.
                while crash == Crash::InOrder && is_frozen(Instant::now()) {
                    tokio::time::sleep(RESTART_TIME / 10).await;
                }
                runner = runner.restart_as(&runner.settings.id);
                server = server::rebind(|| runner.serve(&Tcp, address))
                    .await
                    .unwrap();
                proxy.start_again();
                let mut entries = entries.lock().unwrap();
                let entry = &mut entries[index].value;
                entry["born"] = runner.born().into();
                store.put("keyed.servers", &runner.settings.id, Some(entry));
            }
        });
    }

    /// Replaces the last decode engine by one of the next version, again and again until
    /// `stop` is set. Each drains before it ends, and the next one has its address.
    pub fn release_versions(&mut self, stop: Arc<AtomicBool>) {
        let index = self.runners.len() - 1;
        let Some(mut server) = self.servers[index].take() else {
            return;
        };
        let (mut runner, store) = (self.runners[index].clone(), self.store.clone());
        let entries = self.entries.clone();
        tokio::spawn(async move {
            for number in 2.. {
                tokio::time::sleep(DRAIN_TIME).await;
                if stop.load(Ordering::SeqCst) {
                    return std::future::pending().await;
                }
                let id = runner.settings.id.clone();
                let mut entry = entries.lock().unwrap()[index].value.clone();
                entry["state"] = "draining".into();
                store.put("keyed.servers", &id, Some(&entry));
                tokio::time::sleep(DRAIN_TIME).await;
                store.put("keyed.servers", &id, None);
                {
                    let current = &mut entries.lock().unwrap()[index];
                    current.removed.push(id);
                    current.value = Value::Null;
                }
                tokio::time::sleep(DRAIN_TIME).await;
                let address = server.address;
                server.kill();
                drop(server);
                tokio::time::sleep(RESTART_TIME).await;
                let version = format!("v1.{}", 2 + number % 2);
                runner = runner.restart_with(runner::Settings {
                    id: format!("i-{index}.{number}"),
                    version: version.clone(),
                    ..(*runner.settings).clone()
                });
                server = server::rebind(|| runner.serve(&Tcp, address))
                    .await
                    .unwrap();
                entry["state"] = "ready".into();
                entry["version"] = version.into();
                entry["born"] = runner.born().into();
                store.put("keyed.servers", &runner.settings.id, Some(&entry));
                let current = &mut entries.lock().unwrap()[index];
                current.id = runner.settings.id.clone();
                current.value = entry;
            }
        });
    }
}
