//! Software versions that began streams, as hosts know them.
//!
//! The caller of a stream that was broken off may take it up at any host, and often does so
//! because the first host is gone. While several versions of a service are in use, each
//! host tells those that keep the service's records which version a stream begins at before
//! it sends the request, and asks them when a caller takes up a stream that it does not
//! know.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::rngs::StdRng;
use rand::SeedableRng;

use cranberryridge_policy::answer::deadline::Moment;
use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::origin::{group, Answers, Decision, Origin, GROUPS};
use cranberryridge_policy::gateway::pool::EndpointKey;
use cranberryridge_policy::gateway::route::{Kind, Route, Table};
use cranberryridge_wire::code::Code;
use cranberryridge_wire::id::Digest;
use cranberryridge_wire::schedule as wire;

use super::dialect::Description;
use super::refusal::Refusal;
use super::schedule::{confirm, locate, Asked};
use super::serve::Call;
use super::{lock, Shared};
use crate::clock::Clock;
use crate::net::Net;

/// Retry time of a stream whose origin may be known to a host that did not answer, or to the store.
const UNREAD_ORIGIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry time of a stream whose origin no host knows.
const LOST_ORIGIN_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Retry time of a stream that another host may begin.
const ISOLATED_RETRY_AFTER: Duration = Duration::from_millis(50);

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
            self.tell_open_origins(service);
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
            self.tell_open_origins(service);
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
        let now = self.clock.moment();
        let origins = lock(&self.origins);
        let version = origins.version(now.now, question.stream, &question.service);
        let settled = origins.versions().last_settled(now, &question.service);
        wire::Located {
            number: question.number,
            version: version.cloned(),
            mixed: origins.versions().are_mixed(now.now, &question.service),
            sole: settled.map(|(version, _)| version.clone()),
            age: settled.map(|(_, age)| age.into()),
        }
    }

    /// Returns whether this host has itself read the list of endpoints a short time ago.
    pub(super) fn has_fresh_list(&self) -> bool {
        let (now, interval) = (self.clock.moment(), self.settings.list_interval);
        lock(&self.origins).versions().has_fresh_list(now, interval)
    }

    /// Returns whether this host has reached neither the store nor another host for so long that no
    /// other one could go on with a stream that begins now. Without other hosts there is none that
    /// could go on at another version.
    fn is_isolated(&self) -> bool {
        let now = self.clock.moment();
        lock(&self.origins).versions().is_outdated(now)
            && lock(&self.hosts).count() > 1
            && !self.links.is_any_up()
    }

    /// Returns the time until a version may begin streams that may be taken up.
    fn joining_time(&self, service: &str, version: &str) -> Duration {
        let (now, interval) = (self.clock.now(), self.settings.list_interval);
        let origins = lock(&self.origins);
        origins
            .versions()
            .joining_time(now, service, version, interval)
    }

    /// Records that this host has a list of endpoints of this age, as read by itself or told by
    /// its reader.
    pub(super) fn record_list(&self, age: Duration) {
        let (now, interval) = (self.clock.moment(), self.settings.list_interval);
        let read_at = Moment {
            now: now.now.checked_sub(age).unwrap_or(now.now),
            uptime: now.uptime.saturating_sub(age),
        };
        let mut origins = lock(&self.origins);
        origins.versions_mut().record_list(read_at, interval);
        if origins.versions().needs_history() {
            self.history_changed.notify_one();
        }
    }

    /// Records that this host has itself read the complete list of endpoints.
    pub(super) fn record_reading(&self, read_at: Moment) {
        let mut origins = lock(&self.origins);
        origins.versions_mut().record_reading(read_at);
        if origins.versions().unrecorded(self.clock.now()).is_some() {
            self.history_changed.notify_one();
        }
    }

    /// Tells the origins of all open streams if the list has become old.
    pub(super) fn update_staleness(&self) {
        let (now, interval) = (self.clock.moment(), self.settings.list_interval);
        let (has_become_stale, services) = {
            let mut origins = lock(&self.origins);
            let has_become_stale = origins.versions_mut().update_staleness(now, interval);
            (has_become_stale, origins.versions().recorded(now.now))
        };
        if !has_become_stale {
            return;
        }
        slog::info!(self.logger, "versions: list is old, telling origins");
        for service in &services {
            self.tell_open_origins(service);
        }
    }

    /// Returns the services of whose streams other hosts are told.
    pub(super) fn recorded_services(&self) -> Vec<CompactString> {
        lock(&self.origins).versions().recorded(self.clock.now())
    }

    /// Returns the streams of which a host is told when a link to it has been opened: the open
    /// ones of which it keeps the records.
    pub(super) fn open_streams(&self, address: SocketAddr) -> Vec<u64> {
        let mut streams = Vec::new();
        for service in self.recorded_services() {
            let groups = 0..GROUPS;
            let kept = groups.filter(|group| {
                let keepers = lock(&self.hosts).keepers(&service, *group);
                keepers.contains(&address)
            });
            let kept = kept.collect::<Vec<_>>();
            let open = lock(&self.origins).open(self.clock.now(), &service);
            let open = open.into_iter().map(|(stream, _)| stream);
            streams.extend(open.filter(|stream| kept.contains(&group(*stream))));
        }
        streams
    }

    /// Passes the message with the origin of this host's stream to `send`, unless the stream has
    /// ended. A newer origin is not recorded meanwhile, and so not sent before.
    pub(super) fn send_current_origin(&self, stream: u64, send: impl FnOnce(wire::Origin)) {
        let origins = lock(&self.origins);
        if let Some(origin) = origins.find_own(self.clock.now(), stream) {
            send(to_message(stream, origin));
        }
    }

    /// Queues the origins of all open streams for the store if they have to be recorded there.
    pub(super) fn queue_open_origins(&self) {
        for service in self.recorded_services() {
            self.queue_open_origins_of(&service);
        }
    }

    /// Queues the origins of a service's open streams for the store if they have to be recorded
    /// there.
    fn queue_open_origins_of(&self, service: &str) {
        if lock(&self.origins).queue_open(self.clock.now(), service) {
            self.journal_changed.notify_one();
        }
    }

    /// Tells the origins of a service's open streams to the hosts that keep their records, none
    /// if these need not know them.
    fn tell_open_origins(&self, service: &str) {
        self.queue_open_origins_of(service);
        let open = lock(&self.origins).open(self.clock.now(), service);
        for (stream, origin) in open {
            let keepers = self.record_told(&to_message(stream, &origin));
            self.links.queue_origin(&keepers, stream);
        }
    }

    /// Tells the origin of a stream to the hosts that keep its record.
    fn tell_origin(&self, origin: &wire::Origin) {
        let keepers = self.record_told(origin);
        self.links.report_origin(&keepers, origin);
    }

    /// Records the origin of a stream as told if this host keeps its record. Returns the hosts
    /// that do.
    fn record_told(&self, origin: &wire::Origin) -> Vec<SocketAddr> {
        let keepers = lock(&self.hosts).keepers(&origin.service, origin.stream);
        if keepers.contains(&self.settings.scheduler) {
            self.merge_origin(origin.clone());
        }
        self.metrics.count("stream.origin_told");
        keepers
    }
}

impl<N, C: Clock, D> Call<N, C, D> {
    /// Records the software version of the endpoint that the request is sent to. It begins
    /// the stream, or begins it anew as nothing of it has reached the caller. Called before
    /// each send.
    pub fn record_version(&mut self, endpoint: &Endpoint) {
        self.record.version = endpoint.version.clone();
        if let Some(stream) = self.stream {
            self.record_origin(stream, &endpoint.version);
        }
    }

    /// Records that an event has reached the caller, which an endpoint of this version has made. The
    /// stream goes on at no other one from then on.
    pub fn record_begin(&self, version: &str) {
        let Some(stream) = self.stream else { return };
        let shared = &self.shared;
        if lock(&shared.origins).record_begin(shared.clock.now(), stream, version) {
            shared.journal_changed.notify_one();
        }
    }

    /// Records the software version that begins a stream, and tells other hosts if they have to
    /// know.
    fn record_origin(&self, stream: u64, version: &CompactString) {
        let shared = &self.shared;
        let origin = Origin {
            service: self.service.clone(),
            version: version.clone(),
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
    /// Returns a refusal if there are no others, with the time until the first one may, or if this
    /// host is isolated.
    pub fn exclude_joining(&self, excluded: &mut Vec<EndpointKey>) -> Result<(), Refusal> {
        if !self.begins_resumable_stream() {
            return Ok(());
        }
        let (shared, service) = (&self.shared, self.service.as_str());
        if shared.is_isolated() {
            return Err(Refusal::with_retry_after(
                Code::Isolated,
                ISOLATED_RETRY_AFTER,
            ));
        }
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
    /// Prepares to send the request to an endpoint of another software version than that of an
    /// earlier attempt which other hosts were told. One that does not hear of the change would let
    /// the stream go on at the earlier one. Returns `false` if one is not in reach, and the stream
    /// has to begin at that version.
    ///
    /// # Errors
    ///
    /// Returns a refusal if a host may not have heard of the change, so that the stream can begin at
    /// neither version.
    pub async fn change_version(&mut self, version: &CompactString) -> Result<bool, Refusal> {
        let shared = Arc::clone(&self.shared);
        let Some(stream) = self.stream.filter(|_| self.version.is_none()) else {
            return Ok(true);
        };
        let before = {
            let (origins, now) = (lock(&shared.origins), shared.clock.now());
            let told = origins.versions().needs_records(now, &self.service);
            let before = origins.version(now, stream, &self.service);
            before.filter(|before| told && *before != version).cloned()
        };
        let Some(before) = before else {
            return Ok(true);
        };
        if !confirm(self, stream, None).await {
            shared.metrics.count("stream.version_kept");
            self.record.add_call("origin", &before, "kept");
            self.version = Some(before);
            return Ok(false);
        }
        self.record_origin(stream, version);
        if confirm(self, stream, Some(version.as_str())).await {
            return Ok(true);
        }
        shared.metrics.count("stream.version_unconfirmed");
        self.record.add_call("origin", version, "not confirmed");
        Err(Refusal::new(Code::OriginUnknown))
    }

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
        let (version, basis) = self.find_origin().await?;
        self.record.add_call("origin", &version, basis.name());
        let counter = format!("stream.origin_{}", basis.name());
        self.shared.metrics.count(&counter);
        self.version = Some(version);
        self.check_version(&[], Duration::ZERO)
    }

    /// Finds the software version that began the stream, with the help of other hosts.
    async fn find_origin(&self) -> Result<(CompactString, Basis), Refusal> {
        let shared = &self.shared;
        let (stream, service) = (self.stream, self.service.as_str());
        let interval = shared.settings.list_interval;
        let (decision, is_recorded) = {
            let (origins, now) = (lock(&shared.origins), shared.clock.moment());
            let decision = origins.decide(now, stream, service, interval);
            let record = stream.and_then(|stream| origins.find(now.now, stream));
            (decision, record.is_some())
        };
        let is_patient = match decision {
            Decision::GoOn(version) if is_recorded => return Ok((version, Basis::Recorded)),
            Decision::GoOn(version) => return Ok((version, Basis::Listed)),
            Decision::Ask { is_patient } => is_patient,
            Decision::Gone => {
                let retry_after = LOST_ORIGIN_RETRY_AFTER;
                return Err(Refusal::with_retry_after(Code::VersionGone, retry_after));
            }
        };
        // No host has a record of a stream that is not named, but the versions are asked for.
        let number = stream.unwrap_or(UNNAMED_STREAM);
        let mut answers = match locate(self, number, Asked::Reader).await {
            Ok(version) => return Ok((version, Basis::Located)),
            Err(answers) => answers,
        };
        if answers.confirmed.is_none() {
            let asked = Asked::Keepers { is_patient };
            match locate(self, number, asked).await {
                Ok(version) => return Ok((version, Basis::Located)),
                Err(further) => {
                    // The reader need not keep the record, so that it does not count as a
                    // keeper that has none.
                    answers = Answers {
                        are_mixed: answers.are_mixed || further.are_mixed,
                        ..further
                    };
                }
            }
        }
        let now = shared.clock.moment();
        let origins = lock(&shared.origins);
        let concluded = origins
            .versions()
            .conclude(now, service, interval, &answers);
        let basis = concluded.as_ref().map(|_| match answers.confirmed {
            Some(_) => Basis::Confirmed,
            None => Basis::Only,
        });
        slog::info!(shared.logger, "stream: no record of the origin";
            "request" => %self.record.description.attempt_id,
            "resumes" => self.record.description.first_attempt_id.as_deref(),
            "service" => service,
            "concluded" => concluded.as_deref(),
            "basis" => basis.map(Basis::name),
            "answered" => answers.answered,
            "silent" => answers.silent,
            "others_know_several" => answers.are_mixed,
            "knows_several" => origins.versions().are_mixed(now.now, service),
            "list_fresh" => origins.versions().has_fresh_list(now, interval));
        concluded.zip(basis).ok_or_else(|| {
            shared.journal_wanted.notify_one();
            let retry_after = if answers.silent > 0 || !origins.are_records_read() {
                UNREAD_ORIGIN_RETRY_AFTER
            } else {
                LOST_ORIGIN_RETRY_AFTER
            };
            Refusal::with_retry_after(Code::OriginUnknown, retry_after)
        })
    }
}

/// How the version of a stream that is taken up was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Basis {
    /// This host has a record of the stream.
    Recorded,
    /// Another host has one.
    Located,
    /// This host's list names no other version.
    Listed,
    /// No host that answered has a record, and a fresh list of one names no other version.
    Confirmed,
    /// No host that answered has a record or knows another version, nor does this host's list.
    Only,
}

impl Basis {
    /// Returns the name in logs and of the counter.
    fn name(self) -> &'static str {
        match self {
            Self::Recorded => "recorded",
            Self::Located => "located",
            Self::Listed => "listed",
            Self::Confirmed => "confirmed",
            Self::Only => "only",
        }
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
