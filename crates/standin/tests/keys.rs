//! Non-idempotent plain calls under faults, on a paused clock.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use serde_json::Value;

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::metrics::Metrics;
use cranberryridge::sidecar::{self, Sidecar};
use cranberryridge::wire::code::{Class, Code};
use cranberryridge::wire::id::{Digest, Incarnation, Version};
use cranberryridge::wire::record::{Batch, Claim, Record};
use cranberryridge::wire::setting::{self, Kind};
use cranberryridge_standin::fleet::{Fleet, Plan, LOG_PORT};
use cranberryridge_standin::log::Faults;

use common::FaultyNet;

/// Time that a call takes at its service.
const CALL_TIME: Duration = Duration::from_secs(1);

/// A deployment under test.
struct Bench {
    /// Network whose connections the tests can cut.
    net: FaultyNet,
    /// Daemons, runners and platform services.
    fleet: Fleet<FaultyNet, Tokio>,
}

/// An answer as a caller receives it.
#[derive(Debug)]
struct Answer {
    /// Result code. `None` means that the service answered.
    code: Option<Code>,
    /// Whether the answer was replayed from an earlier run.
    replayed: bool,
    /// Head and body.
    response: Response<Bytes>,
}

impl Bench {
    /// Starts a deployment with plain runners whose calls take [`CALL_TIME`].
    async fn start(plain_runners: u8) -> Self {
        Self::start_with(plain_runners, CALL_TIME).await
    }

    /// Starts a deployment with plain runners and waits until it is ready.
    async fn start_with(plain_runners: u8, plain_call_time: Duration) -> Self {
        let net = FaultyNet::default();
        let plan = Plan {
            prefill_runners: 1,
            decode_runners: 1,
            plain_runners,
            plain_call_time,
            ..Plan::default()
        };
        let fleet = Fleet::start(net.clone(), Tokio, plan).await.unwrap();
        fleet.publish(Version::default(), fleet.services());
        let bench = Self { net, fleet };
        bench.wait_ready().await;
        bench
    }

    /// Waits until the deployment is ready.
    async fn wait_ready(&self) {
        let ready = tokio::time::timeout(Duration::from_secs(10), self.fleet.wait_ready());
        ready.await.expect("fleet not ready");
    }

    /// Sends a request to an entry, with an idempotency key unless it is empty.
    async fn send(&self, entry: usize, method: Method, path: &str, key: &str) -> Answer {
        let mut request = Request::new(Full::new(Bytes::from("{\"reel\":7}")));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().unwrap();
        request.headers_mut().insert("x-tag", "t".parse().unwrap());
        if !key.is_empty() {
            let key = key.parse().unwrap();
            request.headers_mut().insert("idempotency-key", key);
        }
        let client = Client::new(self.net.clone(), self.fleet.entries[entry].address());
        let response = client.fetch(request).await.unwrap();
        let headers = response.headers();
        let code = headers.get("x-cranberryridge-code");
        let code = code.and_then(|code| code.to_str().ok()?.parse().ok());
        Answer {
            code: code.and_then(Code::from_number),
            replayed: headers.contains_key("idempotent-replayed"),
            response,
        }
    }

    /// Makes a call to `reserve`, which isn't idempotent.
    async fn reserve(&self, entry: usize, key: &str) -> Answer {
        let path = "/services/orders/reserve";
        self.send(entry, Method::POST, path, key).await
    }

    /// Requests `/keys/orders`: GET returns a prefix for chosen keys, POST an
    /// issued key.
    async fn request_key(&self, method: Method) -> String {
        let answer = self.send(0, method, "/keys/orders", "").await;
        let answer = serde_json::from_slice::<Value>(answer.response.body()).unwrap();
        let text = answer["key"].as_str().or(answer["prefix"].as_str());
        text.expect("no key").to_owned()
    }

    /// Builds a chosen key at the current log position.
    async fn choose_key(&self) -> String {
        self.request_key(Method::GET).await + "f3a9"
    }

    /// Number of runs of `reserve` so far.
    fn runs(&self) -> u32 {
        self.fleet.ledger.runs("t")
    }

    /// Sets the log's faults.
    fn set_log_faults(&self, down: bool, lose_answers: bool) {
        self.fleet.log.set_faults(Faults {
            down,
            lose_answers,
            ..Faults::default()
        });
    }

    /// Appends a claim of a key for a sidecar, as a competing entry would.
    fn append_rival_claim(&self, key: &str, incarnation: Incarnation) {
        let parts = [b"anonymous", "orders".as_bytes(), key.as_bytes()];
        let claim = Claim {
            key: Digest::of(&parts),
            request: Default::default(),
            sidecar: "rival".into(),
            incarnation,
        };
        let claims = vec![claim];
        let record = Record::Claims(Batch { claims });
        self.fleet
            .log
            .append(serde_json::to_string(&record).unwrap());
    }

    /// Crashes every plain service halfway through a call and restarts it.
    async fn crash_plain_services(&self) {
        wait_half_call().await;
        let plain_runners = usize::from(self.fleet.plan.plain_runners);
        let last = self.fleet.sidecars.len();
        let hosts = last - plain_runners..last;
        let addresses = hosts.map(|at| self.fleet.runner_address(at));
        let addresses = addresses.collect::<Vec<_>>();
        addresses.iter().for_each(|at| self.net.cut(*at, true));
        tokio::time::sleep(Duration::from_millis(10)).await;
        addresses.iter().for_each(|at| self.net.cut(*at, false));
    }

    /// Replaces the last sidecar with a new incarnation at the same address.
    async fn replace_sidecar(&self) {
        let index = self.fleet.sidecars.len() - 1;
        let old = self.fleet.sidecars[index].address();
        let new = SocketAddr::new(old.ip(), 7300);
        self.net.cut(old, true);
        let settings = setting::Sidecar {
            common: setting::Common {
                name: "new".into(),
                domain: "a".into(),
                listen: new.to_string().into(),
                log_service: self.fleet.plan.address(1, LOG_PORT).to_string().into(),
                ..setting::Common::default()
            },
            endpoints: vec![setting::Endpoint {
                address: self.fleet.runner_address(index).to_string().into(),
                kind: Kind::Plain,
                serves: "orders".into(),
                pages: 1,
                page_tokens: 1,
                slots: 20,
                rate: 1,
                link: 1,
                fenced: true,
            }],
            ..setting::Sidecar::default()
        };
        let log = Client::new(self.net.clone(), self.fleet.plan.address(1, LOG_PORT));
        let parts = sidecar::Parts {
            net: self.net.clone(),
            clock: Tokio,
            log: cranberryridge::platform::log::Http::new(log),
            settings,
            metrics: Metrics::default(),
            logger: cranberryridge::logger::silent(),
            incarnation: Incarnation(99),
            traffic: tokio::runtime::Handle::current(),
        };
        Sidecar::start(parts).await.unwrap();
        self.net.redirect(old, new);
        tokio::time::sleep(Duration::from_secs(3)).await;
        self.wait_ready().await;
    }
}

/// Waits until a call has reached its service and is half done.
async fn wait_half_call() {
    tokio::time::sleep(CALL_TIME / 2).await;
}

#[tokio::test(start_paused = true)]
async fn first_claim_wins_among_two_entries() {
    let bench = Bench::start(4).await;
    let key = bench.choose_key().await;
    let (a, b) = tokio::join!(bench.reserve(0, &key), bench.reserve(1, &key));
    assert_eq!(bench.runs(), 1);
    let codes = [a.code, b.code];
    assert!(codes.contains(&None) && codes.contains(&Some(Code::KeyRunning)));
    let again = bench.reserve(1, &key).await;
    assert!(again.replayed && again.code.is_none());
    assert_eq!(
        again.response.body(),
        a.code.map_or(a.response.body(), |_| b.response.body())
    );
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_later_claim_changes_nothing() {
    let bench = Bench::start(4).await;
    let key = bench.choose_key().await;
    assert_eq!(bench.reserve(0, &key).await.code, None);
    for sidecar in bench.fleet.entries[0]
        .shared()
        .snapshot
        .load()
        .view
        .sidecars
        .values()
    {
        bench.append_rival_claim(&key, sidecar.incarnation);
    }
    tokio::time::sleep(CALL_TIME).await;
    for entry in [0, 1, 0, 1] {
        assert!(bench.reserve(entry, &key).await.replayed);
    }
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_earlier_claim_is_never_overtaken() {
    let bench = Bench::start(4).await;
    let key = bench.choose_key().await;
    // The entry reads the rival claim before its own or together with it.
    let (answer, ()) = tokio::join!(bench.reserve(0, &key), async {
        bench.append_rival_claim(&key, Incarnation(98));
    });
    assert_eq!(answer.code, Some(Code::KeyUnknown));
    assert_eq!(bench.reserve(1, &key).await.code, Some(Code::KeyUnknown));
    assert_eq!(bench.runs(), 0);
}

#[tokio::test(start_paused = true)]
async fn calls_without_a_key_run_independently() {
    let bench = Bench::start(4).await;
    tokio::join!(bench.reserve(0, ""), bench.reserve(1, ""));
    assert_eq!(bench.runs(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_lost_append_answer_is_resolved_by_reading() {
    let bench = Bench::start(2).await;
    let key = bench.choose_key().await;
    bench.set_log_faults(false, true);
    let answer = bench.reserve(0, &key).await;
    assert_eq!(answer.code, None);
    assert!(bench.reserve(1, &key).await.replayed);
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn log_down_means_not_run() {
    let bench = Bench::start(2).await;
    let key = bench.choose_key().await;
    bench.set_log_faults(true, false);
    let refused = bench.reserve(0, &key).await;
    assert_eq!(refused.code, Some(Code::LogDown));
    assert!(refused.response.headers().contains_key("retry-after"));
    assert_eq!(bench.runs(), 0);
    bench.set_log_faults(false, false);
    tokio::time::sleep(CALL_TIME).await;
    assert_eq!(bench.reserve(0, &key).await.code, None);
    bench.set_log_faults(true, false);
    assert!(
        bench.reserve(0, &key).await.replayed,
        "a known claim needs no log"
    );
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_key_from_before_a_gap_is_refused() {
    let bench = Bench::start(2).await;
    let key = bench.choose_key().await;
    bench.set_log_faults(true, false);
    tokio::time::sleep(CALL_TIME).await;
    for _ in 0..3 {
        bench.fleet.log.append("{}".into());
    }
    bench.fleet.log.trim(3);
    bench.set_log_faults(false, false);
    tokio::time::sleep(CALL_TIME).await;
    let refused = bench.reserve(0, &key).await;
    assert_eq!(refused.code, Some(Code::KeyExpired));
    assert_eq!(
        bench.reserve(0, "no-position").await.code,
        Some(Code::BadKey)
    );
    assert_eq!(bench.runs(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_key_belongs_to_one_request() {
    let bench = Bench::start(2).await;
    let key = bench.choose_key().await;
    assert_eq!(bench.reserve(0, &key).await.code, None);
    let other = "/services/orders/cancel";
    let other = bench.send(1, Method::POST, other, &key).await;
    assert_eq!(other.code, Some(Code::KeyMismatch));
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_repeated_call_gets_a_retry_delay() {
    let bench = Bench::start(2).await;
    let key = bench.choose_key().await;
    let (first, again) = tokio::join!(bench.reserve(0, &key), async {
        wait_half_call().await;
        bench.reserve(0, &key).await
    });
    assert_eq!(first.code, None);
    assert_eq!(again.code, Some(Code::KeyRunning));
    assert!(again.response.headers().contains_key("retry-after"));
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_sidecar_that_dies_leaves_an_unknown_outcome() {
    let bench = Bench::start(1).await;
    let key = bench.choose_key().await;
    let (answer, ()) = tokio::join!(bench.reserve(0, &key), async {
        wait_half_call().await;
        bench.replace_sidecar().await;
    });
    assert_eq!(answer.code.map(Code::class), Some(Class::Unknown));
    let again = bench.reserve(1, &key).await;
    assert_eq!(again.code, Some(Code::KeyUnknown));
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_cut_connection_never_runs_a_call_twice() {
    let bench = Bench::start(1).await;
    let key = bench.choose_key().await;
    let sidecar = bench.fleet.sidecars.last().unwrap().address();
    let (answer, ()) = tokio::join!(bench.reserve(0, &key), async {
        wait_half_call().await;
        bench.net.cut(sidecar, false);
    });
    assert_eq!(answer.code, Some(Code::ConnectionLost));
    tokio::time::sleep(2 * CALL_TIME).await;
    assert!(bench.reserve(1, &key).await.replayed);
    // Without a key the outcome stays unknown, and the call isn't repeated.
    let (answer, ()) = tokio::join!(bench.reserve(0, ""), async {
        wait_half_call().await;
        bench.net.cut(sidecar, false);
    });
    assert_eq!(answer.code, Some(Code::ConnectionLost));
    assert_eq!(bench.runs(), 2);
}

#[tokio::test(start_paused = true)]
async fn issued_keys_work_through_a_log_outage() {
    let bench = Bench::start(2).await;
    bench.set_log_faults(true, false);
    let key = bench.request_key(Method::POST).await;
    let (a, b) = tokio::join!(bench.reserve(0, &key), bench.reserve(1, &key));
    let codes = [a.code, b.code];
    assert!(codes.contains(&None) && codes.contains(&Some(Code::KeyRunning)));
    assert!(bench.reserve(1, &key).await.replayed);
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_issued_key_is_lost_with_its_sidecar() {
    let bench = Bench::start(1).await;
    let key = bench.request_key(Method::POST).await;
    bench.replace_sidecar().await;
    let gone = bench.reserve(0, &key).await;
    assert_eq!(gone.code, Some(Code::KeyGone));
    assert_eq!(bench.runs(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_two_endpoints_is_barred_everywhere() {
    let bench = Bench::start(4).await;
    bench.set_log_faults(true, false);
    for crash in 1..=2 {
        let (answer, ()) = tokio::join!(bench.reserve(0, ""), bench.crash_plain_services());
        assert_eq!(answer.code, Some(Code::EndpointLost), "crash {crash}");
        tokio::time::sleep(2 * CALL_TIME).await;
    }
    for entry in 0..2 {
        let barred = bench.reserve(entry, "").await;
        assert_eq!(barred.code, Some(Code::Barred));
    }
    assert_eq!(bench.runs(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_ran_alongside_a_crash_is_cleared_by_a_good_run() {
    let bench = Bench::start(4).await;
    let innocent = || bench.send(1, Method::POST, "/services/orders/innocent", "");
    for _ in 0..2 {
        let (guilty, alongside, ()) = tokio::join!(
            bench.reserve(0, ""),
            innocent(),
            bench.crash_plain_services()
        );
        assert_eq!(guilty.code, Some(Code::EndpointLost));
        assert_eq!(alongside.code, Some(Code::EndpointLost));
        tokio::time::sleep(2 * CALL_TIME).await;
        assert_eq!(innocent().await.code, None);
        tokio::time::sleep(2 * CALL_TIME).await;
    }
    assert_eq!(bench.reserve(0, "").await.code, Some(Code::Barred));
    assert_eq!(innocent().await.code, None);
}

/// Maximum append rate of one entry. The log takes several hundred appends per
/// second from all entries.
const MAX_APPENDS_PER_SECOND: f64 = 100.0;

#[tokio::test(start_paused = true)]
async fn concurrent_claims_share_records() {
    let bench = Bench::start_with(4, Duration::from_millis(20)).await;
    bench.fleet.log.set_faults(Faults {
        delay: Duration::from_millis(5),
        ..Faults::default()
    });
    let prefix = bench.request_key(Method::GET).await;
    let started = tokio::time::Instant::now();
    let callers = (0..50).map(|caller| {
        let (bench, prefix) = (&bench, &prefix);
        async move {
            tokio::time::sleep(Duration::from_millis(caller)).await;
            for number in 0..20 {
                let key = format!("{prefix}{caller}-{number}");
                assert_eq!(bench.reserve(0, &key).await.code, None);
            }
        }
    });
    futures::future::join_all(callers).await;
    let seconds = started.elapsed().as_secs_f64();
    let metrics = bench.fleet.entries[0].metrics();
    let (records, claims) = (metrics.get("claim.records"), metrics.get("claim.claims"));
    let sizes = bench.fleet.log.records();
    let bytes = sizes.iter().map(|entry| entry.data.len()).sum::<usize>();
    println!("{claims} claims in {records} records, {bytes} bytes, {seconds:.3} s");
    assert_eq!(claims, 1000);
    assert!(
        records as f64 <= seconds * MAX_APPENDS_PER_SECOND,
        "{records} in {seconds}"
    );
    assert_eq!(bench.runs(), 1000);
}
