//! Looks at endpoints after the ends of answers that they stated.

use std::io;
use std::time::Instant;

use cranberryridge_policy::answer::survival::{Sign, Watch};
use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::pool::{EndpointKey, State};

use super::dialect::Dialect;
use super::{exchange, Shared};
use crate::client::{Error, Held};
use crate::clock::Clock;
use crate::net::Net;

impl<N: Net, C: Clock, D: Dialect> Shared<N, C, D> {
    /// Looks at an endpoint until it is known whether it has outlived the end of an answer that
    /// arrived on a connection. One that is silent is waited for until a time, or given up after a
    /// few looks if that is `None`. Returns what it showed at last.
    pub(super) async fn watch_end<B>(
        &self,
        key: EndpointKey,
        endpoint: &Endpoint,
        connection: &Held<B>,
        wait_until: Option<Instant>,
    ) -> Watch {
        let mut watch = Watch::default();
        // A report is a request, for which there is no permit.
        let is_limited = self.pool().is_limited(key);
        loop {
            let is_leaving = self.pool().get(key).is_none_or(State::is_leaving);
            let may_be_stopping = is_leaving || connection.is_closed();
            let now = self.clock.now();
            let patience = wait_until.map(|until| until.saturating_duration_since(now));
            let patience = patience.unwrap_or_default();
            let Some(delay) = watch.next_look(may_be_stopping, patience) else {
                return watch;
            };
            tokio::time::sleep(delay).await;
            let sign = if is_limited {
                self.look_at_listener(endpoint).await
            } else {
                self.look(key, endpoint).await
            };
            watch.record(sign, !connection.is_closed());
        }
    }

    /// Asks an endpoint for a connection.
    async fn look_at_listener(&self, endpoint: &Endpoint) -> Sign {
        match self.refuses_connections(endpoint).await {
            Some(true) => Sign::Refusing,
            Some(false) => Sign::Serving,
            None => Sign::Silent,
        }
    }

    /// Asks an endpoint for a connection, and an engine for its start.
    pub(super) async fn look(&self, key: EndpointKey, endpoint: &Endpoint) -> Sign {
        if endpoint.phase.is_none() {
            return self.look_at_listener(endpoint).await;
        }
        let request = self.dialect.report_request(endpoint.address);
        let limit = self.settings.call_timeout;
        let answer = exchange::try_control(self, key, endpoint.address, request, limit).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(Error::Connect(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Sign::Refusing
            }
            Err(Error::Broken(_)) => return Sign::Resetting,
            Err(_) => return Sign::Silent,
        };
        let report = self.dialect.parse_report(answer.body());
        match report.and_then(|report| report.started_ms) {
            Some(started_ms) if started_ms != endpoint.started_ms => Sign::Restarted,
            // An engine that does not tell its start serves all the same.
            _ => Sign::Serving,
        }
    }
}
