//! Software versions that began streams, as hosts know them.
//!
//! The caller of a stream that was broken off may take it up at any host, and often does so
//! because the first host is gone. While several versions of a service are in use, each
//! host tells those that keep the service's records which version a stream begins at before
//! it sends the request, and asks them when a caller takes up a stream that it does not
//! know.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use rand::rngs::StdRng;
use rand::SeedableRng;

use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::origin::{
    group, Decision, Origin, GROUPS, MAX_LIST_AGE_INTERVALS,
};
use cranberryridge_policy::gateway::pool::EndpointKey;
use cranberryridge_policy::gateway::route::{Kind, Route, Table};
use cranberryridge_wire::code::Code;
use cranberryridge_wire::id::Digest;
use cranberryridge_wire::schedule as wire;

use super::dialect::Description;
use super::refusal::Refusal;
use super::schedule::{locate, Asked};
use super::serve::Call;
use super::{lock, Shared};
use crate::clock::Clock;
use crate::net::Net;

/// Retry time of a stream whose origin may be known to a host that did not answer.
const SILENT_HOST_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry time of a stream whose origin no host knows.
const LOST_ORIGIN_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Digest in questions for a stream that its caller does not name.
const UNNAMED_STREAM: u64 = 0;

impl<N, C: Clock, D> Shared<N, C, D> {
    /// Records the software versions of the listed endpoints, and tells the origins of open
    /// streams if a service now has several.
    pub(super) fn update_versions(&self, endpoints: &[Endpoint]) {
        let now = self.clock.now();
        let changes = lock(&self.origins).update(now, endpoints);
        for change in changes {
            let (service, version) = (&change.service, &change.version);
            if !change.is_listed {
                slog::info!(self.logger, "versions: gone";
                    "service" => %service, "version" => %version);
                continue;
            }
            slog::info!(self.logger, "versions: appeared";
                "service" => %service, "version" => %version);
            for origin in self.open_origins(service) {
                self.tell_origin(&origin);
            }
        }
    }

    /// Records the services to which a new configuration moves routes, and tells the origins
    /// of their open streams.
    pub(super) fn record_moves(&self, table: &Table) {
        let (before, now) = (self.table.load(), self.clock.now());
        for service in table.moved_services(&before) {
            let was_mixed = {
                let mut origins = lock(&self.origins);
                let was_mixed = origins.versions().are_mixed(now, service);
                origins.record_move(now, service);
                was_mixed
            };
            if was_mixed {
                continue;
            }
            slog::info!(self.logger, "versions: route moved"; "service" => %service);
            for origin in self.open_origins(service) {
                self.tell_origin(&origin);
            }
        }
    }

    /// Records the origin of another host's stream.
    pub(super) fn merge_origin(&self, message: wire::Origin) {
        let origin = Origin {
            service: message.service,
            version: message.version,
        };
        let now = self.clock.now();
        lock(&self.origins).merge(now, message.stream, origin);
    }

    /// Chooses the service of a request from its route's targets. A stream goes on at the
    /// service that began it: the one on record, or else the one that all hosts choose for
    /// its id.
    pub(super) fn choose_service(
        &self,
        route: &Route,
        description: &Description,
    ) -> Option<CompactString> {
        let is_split = route.targets.len() > 1;
        let stream = is_split.then(|| stream_digest(route, description));
        let Some(stream) = stream.flatten() else {
            return route.choose_service(&mut rand::rng()).cloned();
        };
        let recorded = {
            let origins = lock(&self.origins);
            let origin = origins.find(self.clock.now(), stream);
            origin.map(|origin| origin.service.clone())
        };
        let is_target = |service: &CompactString| {
            let mut targets = route.targets.iter();
            targets.any(|target| target.service == *service)
        };
        recorded.filter(is_target).or_else(|| {
            let mut random = StdRng::seed_from_u64(stream);
            route.choose_service(&mut random).cloned()
        })
    }

    /// Answers another host's question for the version that began a stream.
    pub(super) fn locate_origin(&self, question: &wire::Locate) -> wire::Located {
        let (now, age) = (self.clock.now(), self.own_list_age());
        let origins = lock(&self.origins);
        let version = origins.version(now, question.stream, &question.service);
        wire::Located {
            number: question.number,
            version: version.cloned(),
            mixed: origins.versions().are_mixed(now, &question.service),
            before: origins.versions().before(now, &question.service).cloned(),
            sole: origins.versions().sole(now, &question.service).cloned(),
            age: age.map(Into::into),
        }
    }

    /// Returns the time since this host itself last began to read the list of endpoints,
    /// including time in which it was suspended. `None` if it has never read it.
    fn own_list_age(&self) -> Option<Duration> {
        let read = self.seen.borrow().listed?;
        let age = self.clock.now().saturating_duration_since(read.at);
        Some(age.max(self.clock.uptime().saturating_sub(read.uptime)))
    }

    /// Returns whether a list of this age names every version that may have begun a stream.
    pub(super) fn is_fresh(&self, age: Duration) -> bool {
        age <= self.settings.list_interval * MAX_LIST_AGE_INTERVALS
    }

    /// Returns whether this host's own list names every version that may have begun a stream.
    pub(super) fn has_fresh_list(&self) -> bool {
        self.own_list_age().is_some_and(|age| self.is_fresh(age))
    }

    /// Returns the time until a version may begin streams that may be taken up.
    fn joining_time(&self, service: &str, version: &str) -> Duration {
        let (now, interval) = (self.clock.now(), self.settings.list_interval);
        let origins = lock(&self.origins);
        origins
            .versions()
            .joining_time(now, service, version, interval)
    }

    /// Returns the services of which several versions are in use.
    pub(super) fn mixed_services(&self) -> Vec<CompactString> {
        lock(&self.origins).versions().mixed(self.clock.now())
    }

    /// Returns the messages for a host to which a link has been opened: the origins of open
    /// streams of which it keeps the records.
    pub(super) fn origin_messages(&self, address: SocketAddr) -> Vec<wire::Origin> {
        let mut messages = Vec::new();
        for service in self.mixed_services() {
            let groups = 0..GROUPS;
            let kept = groups.filter(|group| {
                let keepers = lock(&self.hosts).keepers(&service, *group);
                keepers.contains(&address)
            });
            let kept = kept.collect::<Vec<_>>();
            let open = self.open_origins(&service).into_iter();
            messages.extend(open.filter(|origin| kept.contains(&group(origin.stream))));
        }
        messages
    }

    /// Returns the messages that tell the origins of a service's open streams, none if it
    /// has one version only.
    fn open_origins(&self, service: &str) -> Vec<wire::Origin> {
        let open = lock(&self.origins).open(self.clock.now(), service);
        open.iter()
            .map(|(stream, origin)| to_message(*stream, origin))
            .collect()
    }

    /// Tells the origin of a stream to the hosts that keep its record.
    fn tell_origin(&self, origin: &wire::Origin) {
        let keepers = lock(&self.hosts).keepers(&origin.service, origin.stream);
        self.links.report_origin(&keepers, origin);
        if keepers.contains(&self.settings.scheduler) {
            self.merge_origin(origin.clone());
        }
        self.metrics.count("stream.origin_told");
    }
}

impl<N, C: Clock, D> Call<N, C, D> {
    /// Records the software version of the endpoint that the request is sent to. It begins
    /// the stream, or begins it anew as nothing of it has reached the caller. Called before
    /// each send.
    pub fn record_version(&mut self, endpoint: &Endpoint) {
        self.record.version = endpoint.version.clone();
        let Some(stream) = self.stream else { return };
        let shared = &self.shared;
        let origin = Origin {
            service: self.service.clone(),
            version: endpoint.version.clone(),
        };
        let message = to_message(stream, &origin);
        let is_news = lock(&shared.origins).record(shared.clock.now(), stream, origin);
        if is_news {
            shared.tell_origin(&message);
        }
    }

    /// Returns whether a version has yet to begin this stream, and it may be taken up. The
    /// version that began a stream may serve it at once.
    fn begins_resumable_stream(&self) -> bool {
        let is_resumable = self.route.kind == Kind::ResumableStream;
        is_resumable && self.stream.is_some() && self.version.is_none()
    }

    /// Returns the time until an endpoint's version may begin this stream, zero if it may.
    pub fn joining_time(&self, endpoint: &Endpoint) -> Duration {
        if !self.begins_resumable_stream() {
            return Duration::ZERO;
        }
        self.shared.joining_time(&self.service, &endpoint.version)
    }

    /// Excludes the endpoints whose versions may not yet begin this stream.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there are no others, with the time until the first one may.
    pub fn exclude_joining(&self, excluded: &mut Vec<EndpointKey>) -> Result<(), Refusal> {
        if !self.begins_resumable_stream() {
            return Ok(());
        }
        let (shared, service) = (&self.shared, self.service.as_str());
        let (now, interval) = (shared.clock.now(), shared.settings.list_interval);
        let joining = {
            let origins = lock(&shared.origins);
            let joining = origins.versions().joining(now, service, interval);
            let joining = joining.map(|(version, time)| (CompactString::from(version), time));
            joining.collect::<Vec<_>>()
        };
        if joining.is_empty() {
            return Ok(());
        }
        let (mut first, mut is_any_left) = (Duration::MAX, false);
        let pool = shared.pool();
        for key in pool.endpoints(service) {
            let Some(state) = pool.get(*key).filter(|state| !state.is_leaving()) else {
                continue;
            };
            let version = &state.endpoint.version;
            let found = joining.iter().find(|(joining, _)| joining == version);
            let is_excluded = excluded.contains(key);
            is_any_left |= found.is_none() && !is_excluded;
            if let Some((_, time)) = found {
                first = first.min(*time);
                if !is_excluded {
                    excluded.push(*key);
                }
            }
        }
        if is_any_left || first == Duration::MAX {
            return Ok(());
        }
        Err(Refusal::at_earliest(Code::Full, first))
    }

    /// Forgets the origin of the stream, as its caller got it in full.
    pub fn forget_origin(&self) {
        if let Some(stream) = self.stream {
            lock(&self.shared.origins).forget(stream);
        }
    }
}

impl<N: Net, C: Clock, D: Send + Sync + 'static> Call<N, C, D> {
    /// Finds the software version at which the stream must go on, if the caller takes one
    /// up.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the version is unknown or no endpoint serves it.
    pub async fn restrict_version(&mut self) -> Result<(), Refusal> {
        let is_resumption = self.record.description.is_resumption;
        if !is_resumption || !self.route.kind.is_stream() {
            return Ok(());
        }
        self.shared.metrics.count("stream.taken_up");
        if self.stream.is_none() && self.route.is_split() {
            // Nobody can tell which of the services began a stream that is not named.
            self.record.add_call("origin", &self.service, "not named");
            let retry_after = LOST_ORIGIN_RETRY_AFTER;
            return Err(Refusal::with_retry_after(Code::OriginUnknown, retry_after));
        }
        let version = self.find_origin().await?;
        self.record.add_call("origin", &version, "known");
        self.version = Some(version);
        self.check_version(&[], Duration::ZERO)
    }

    /// Finds the software version that began the stream, with the help of other hosts.
    async fn find_origin(&self) -> Result<CompactString, Refusal> {
        let shared = &self.shared;
        let (stream, service) = (self.stream, self.service.as_str());
        let is_list_fresh = shared.has_fresh_list();
        let decision = {
            let origins = lock(&shared.origins);
            origins.decide(shared.clock.now(), stream, service, is_list_fresh)
        };
        let waits_for_links = match decision {
            Decision::GoOn(version) => return Ok(version),
            Decision::Ask { waits_for_links } => waits_for_links,
            Decision::Gone => {
                let retry_after = LOST_ORIGIN_RETRY_AFTER;
                return Err(Refusal::with_retry_after(Code::VersionGone, retry_after));
            }
        };
        // No host has a record of a stream that is not named, but the versions are asked for.
        let number = stream.unwrap_or(UNNAMED_STREAM);
        let mut answers = match locate(self, number, Asked::Reader).await {
            Ok(version) => return Ok(version),
            Err(answers) => answers,
        };
        if answers.confirmed.is_none() {
            let asked = Asked::Keepers { waits_for_links };
            answers = match locate(self, number, asked).await {
                Ok(version) => return Ok(version),
                Err(answers) => answers,
            };
        }
        answers.is_list_fresh = is_list_fresh;
        if stream.is_none() {
            // That no host has a record does not tell when it began.
            answers.before = None;
        }
        let now = shared.clock.now();
        let origins = lock(&shared.origins);
        let concluded = origins.versions().conclude(now, service, &answers);
        concluded.ok_or_else(|| {
            slog::info!(shared.logger, "stream: origin unknown";
                "request" => %self.record.description.attempt_id,
                "resumes" => self.record.description.first_attempt_id.as_deref(),
                "service" => service,
                "answered" => answers.answered,
                "silent" => answers.silent,
                "others_know_several" => answers.are_mixed,
                "knows_several" => origins.versions().are_mixed(now, service),
                "list_fresh" => answers.is_list_fresh);
            let retry_after = if answers.silent > 0 {
                SILENT_HOST_RETRY_AFTER
            } else {
                LOST_ORIGIN_RETRY_AFTER
            };
            Refusal::with_retry_after(Code::OriginUnknown, retry_after)
        })
    }
}

/// Returns the digest by which hosts know the stream of a request. `None` if it is no stream, or
/// its caller takes it up and does not name it. A route that may not be resumed may become
/// resumable while its streams run, or may have been when they began.
pub(super) fn stream_digest(route: &Route, description: &Description) -> Option<u64> {
    let id = description.stream_id()?;
    let is_stream = route.kind.is_stream();
    is_stream.then(|| Digest::of(&[id.as_bytes()]).0[0])
}

/// Returns the message that tells the origin of a stream.
fn to_message(stream: u64, origin: &Origin) -> wire::Origin {
    wire::Origin {
        stream,
        service: origin.service.clone(),
        version: origin.version.clone(),
    }
}
