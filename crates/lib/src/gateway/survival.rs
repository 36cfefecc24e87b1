//! Looks at endpoints after the ends of answers that they stated.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use cranberryridge_policy::answer::survival::{Departure, Sign, Watch};
use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::pool::{EndpointKey, State};

use super::dialect::Dialect;
use super::{exchange, lock, Shared};
use crate::client::{Error, Held};
use crate::clock::Clock;
use crate::net::Net;

/// End of an answer that its endpoint stated.
#[derive(Debug)]
pub(super) struct Ending<'a, B> {
    /// Key of the endpoint in the pool.
    pub key: EndpointKey,
    pub endpoint: &'a Endpoint,
    /// The connection that the answer arrived on.
    pub connection: &'a Held<B>,
    /// Time until which a silent endpoint is waited for. It is given up after a few looks if this
    /// is `None`.
    pub wait_until: Option<Instant>,
    /// Whether the endpoint may refuse connections before it has completed its runs.
    pub may_refuse: bool,
}

impl<N: Net, C: Clock, D: Dialect> Shared<N, C, D> {
    /// Looks at an endpoint until it is known whether it has outlived the end of its answer. Returns
    /// what it showed at last.
    pub(super) async fn watch_end<B>(&self, ending: Ending<'_, B>) -> Watch {
        let Ending { key, endpoint, .. } = ending;
        let mut watch = Watch::new(ending.may_refuse);
        // A report is a request, for which there is no permit.
        let is_limited = self.pool().is_limited(key);
        loop {
            let is_leaving = self.pool().get(key).is_none_or(State::is_leaving);
            let may_be_stopping = is_leaving || ending.connection.is_closed();
            let now = self.clock.now();
            let patience = ending.wait_until;
            let patience = patience.map(|until| until.saturating_duration_since(now));
            let delay = watch.next_look(may_be_stopping, patience.unwrap_or_default());
            let Some(delay) = delay else {
                return watch;
            };
            tokio::time::sleep(delay).await;
            let sign = if is_limited {
                self.look_at_listener(endpoint).await
            } else {
                self.look(key, endpoint).await
            };
            watch.record(sign, !ending.connection.is_closed());
        }
    }

    /// Returns what an engine says of its exit, if it is leaving or listed no more. Asks it in the
    /// background as long as it has not said that it drains. One that has named a limit is not
    /// asked, as a report is a request.
    pub(super) fn departure(
        self: &Arc<Self>,
        key: EndpointKey,
        endpoint: &Endpoint,
    ) -> Option<Departure> {
        {
            let pool = self.pool();
            let is_leaving = pool.get(key).is_none_or(State::is_leaving);
            if !is_leaving || endpoint.phase.is_none() || pool.is_limited(key) {
                return None;
            }
        }
        let mut departures = lock(&self.departures);
        let departure = departures.find(key);
        if departure.is_none() && departures.begin_question(self.clock.now(), key) {
            let (shared, endpoint) = (self.clone(), endpoint.clone());
            tokio::spawn(async move { shared.ask_departure(key, &endpoint).await });
        }
        departure
    }

    /// Asks an engine when it exits.
    async fn ask_departure(&self, key: EndpointKey, endpoint: &Endpoint) {
        let report = exchange::fetch_report(self, key, endpoint.address).await;
        let report = report.filter(|report| report.started_ms == Some(endpoint.started_ms));
        let Some(report) = report.filter(|report| report.is_draining) else {
            return;
        };
        let now = self.clock.now();
        let departure = report
            .leaves_in
            .map_or(Departure::AfterRuns, |time| Departure::At(now + time));
        lock(&self.departures).record(key, departure);
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
