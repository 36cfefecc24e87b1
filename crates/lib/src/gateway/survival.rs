//! Looks at endpoints after the ends of answers that they stated.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberryridge_policy::answer::survival::{Departure, Sign, Watch};
use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::pool::{EndpointKey, State};

use super::dialect::{Dialect, Report};
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
    /// What the endpoint has said of its exit, as far as it is known.
    pub departure: Option<Departure>,
    /// Time that the endpoint takes for an event, before which it may have stopped.
    pub event_time: Duration,
}

impl<N: Net, C: Clock, D: Dialect> Shared<N, C, D> {
    /// Looks at an endpoint until it is known whether it has outlived the end of its answer. Returns
    /// what it showed at last.
    pub(super) async fn watch_end<B>(&self, ending: Ending<'_, B>) -> Watch {
        let Ending { key, endpoint, .. } = ending;
        let mut watch = Watch::default();
        let ended_at = self.clock.now();
        // A report is a request, for which there is no permit.
        let is_limited = self.pool().is_limited(key);
        loop {
            let is_leaving = self.is_leaving(key);
            let may_be_stopping = is_leaving || ending.connection.is_closed();
            let now = self.clock.now();
            let departure = ending.departure;
            let departure = departure.or_else(|| lock(&self.departures).find(key));
            if departure.is_some_and(|it| !it.may_end_run(ended_at, ending.event_time)) {
                watch.expect_completion();
            }
            let is_over = departure.is_some_and(|departure| departure.is_over(now));
            let patience = ending.wait_until.filter(|_| !is_over);
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

    /// Returns whether an endpoint is leaving or listed no more.
    pub(super) fn is_leaving(&self, key: EndpointKey) -> bool {
        self.pool().get(key).is_none_or(State::is_leaving)
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
        if let Some(report) = report {
            self.record_departure(key, endpoint, &report);
        }
    }

    /// Records what an engine reports of its exit, if it drains and is the start that is known.
    fn record_departure(&self, key: EndpointKey, endpoint: &Endpoint, report: &Report) {
        if !report.is_draining || report.started_ms != Some(endpoint.started_ms) {
            return;
        }
        let now = self.clock.now();
        let departure = report
            .leaves_in
            .map_or(Departure::AfterRuns, |time| Departure::At(now + time));
        lock(&self.departures).record(now, key, departure);
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
        // An engine that does not tell its start serves all the same.
        let Some(report) = self.dialect.parse_report(answer.body()) else {
            return Sign::Serving;
        };
        self.record_departure(key, endpoint, &report);
        match report.started_ms {
            Some(started_ms) if started_ms != endpoint.started_ms => Sign::Restarted,
            _ => Sign::Serving,
        }
    }
}
