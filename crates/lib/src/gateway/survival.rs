//! Looks at endpoints after the ends of answers that they stated.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberryridge_policy::answer::survival::{Departure, Sign, Watch};
use cranberryridge_policy::gateway::departure::{Start, Voice};
use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::pool::EndpointKey;

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
    /// Time at which the endpoint is known to have been at work.
    pub served_at: Instant,
    /// Time that the endpoint takes for an event, before which it may have stopped.
    pub event_time: Duration,
}

impl<N, C: Clock, D> Shared<N, C, D> {
    /// Records which endpoints leave, of the list that has just been put in force and of those that
    /// it lacks.
    pub(super) fn update_departures(&self, removed: &[Endpoint]) {
        let (now, pool) = (self.clock.now(), self.pool());
        let mut departures = lock(&self.departures);
        departures.retain(now, |start| {
            pool.is_start_leaving(&start.id, start.started_ms)
        });
        for endpoint in pool.leaving() {
            departures.begin(now, endpoint.into(), true);
        }
        for endpoint in removed {
            departures.begin(now, endpoint.into(), false);
        }
    }
}

impl<N: Net, C: Clock, D: Dialect> Shared<N, C, D> {
    /// Looks at an endpoint until it is known whether it has outlived the end of its answer. Returns
    /// what it showed at last.
    pub(super) async fn watch_end<B>(&self, ending: Ending<'_, B>) -> Watch {
        let Ending { key, endpoint, .. } = ending;
        let mut watch = Watch::default();
        let ended_at = self.clock.now();
        // What a list that is read later tells says nothing of the run.
        let inferred = self.departure(endpoint, ending.served_at);
        // A report is a request, for which there is no permit.
        let is_limited = self.pool().is_limited(key);
        loop {
            let may_be_stopping = self.is_leaving(endpoint) || ending.connection.is_closed();
            let now = self.clock.now();
            let said = lock(&self.departures).said(&endpoint.into());
            let departure = said.or(inferred);
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
    pub(super) fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        let pool = self.pool();
        pool.is_start_leaving(&endpoint.id, endpoint.started_ms)
    }

    /// Returns what is known of the exit of an endpoint that was at work at `served_at`.
    pub(super) fn departure(&self, endpoint: &Endpoint, served_at: Instant) -> Option<Departure> {
        let voice = {
            let pool = self.pool();
            let key = pool.key_of_start(&endpoint.id, endpoint.started_ms);
            let is_asked = endpoint.phase.is_some() && key.is_some_and(|key| !pool.is_limited(key));
            if is_asked {
                Voice::Reporting
            } else {
                Voice::Mute
            }
        };
        let settings = &self.settings;
        // An endpoint that leaves as planned is at work for this long at least after this host has
        // noticed it, which may be one reading of the list late.
        let notice_time = settings.list_interval + settings.call_timeout;
        let min_service_time = settings.drain_period.saturating_sub(notice_time);
        lock(&self.departures).find(&endpoint.into(), voice, served_at, min_service_time)
    }

    /// Asks an engine in the background what it says of its exit, if it is leaving or listed no
    /// more, as long as it has not said so. One that has named a limit is not asked, as a report is
    /// a request.
    pub(super) fn follow_departure(self: &Arc<Self>, key: EndpointKey, endpoint: &Endpoint) {
        let is_engine = endpoint.phase.is_some();
        if !is_engine || !self.is_leaving(endpoint) || self.pool().is_limited(key) {
            return;
        }
        let (now, start) = (self.clock.now(), Start::from(endpoint));
        let is_listed = self
            .pool()
            .key_of_start(&start.id, start.started_ms)
            .is_some();
        let mut departures = lock(&self.departures);
        departures.begin(now, start.clone(), is_listed);
        if departures.begin_question(now, &start) {
            let (shared, endpoint) = (self.clone(), endpoint.clone());
            tokio::spawn(async move { shared.ask_departure(key, &endpoint).await });
        }
    }

    /// Asks an engine when it exits.
    async fn ask_departure(&self, key: EndpointKey, endpoint: &Endpoint) {
        let report = exchange::fetch_report(self, key, endpoint.address).await;
        if let Some(report) = report {
            self.record_departure(endpoint, &report);
        }
    }

    /// Records what an engine reports of its exit, if it drains and is the start that is known.
    fn record_departure(&self, endpoint: &Endpoint, report: &Report) {
        if !report.is_draining || report.started_ms != Some(endpoint.started_ms) {
            return;
        }
        let now = self.clock.now();
        let departure = report
            .leaves_in
            .map_or(Departure::AfterRuns, |time| Departure::At(now + time));
        lock(&self.departures).record(now, endpoint.into(), departure);
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
        self.record_departure(endpoint, &report);
        match report.started_ms {
            Some(started_ms) if started_ms != endpoint.started_ms => Sign::Restarted,
            _ => Sign::Serving,
        }
    }
}
