//! Tests of streams whose hosts stand still, read another configuration or are killed midway,
//! and whose callers take them up elsewhere.

#[allow(dead_code)]
mod shapes {
    pub mod caller;
    pub mod deployment;
    pub mod engine;
    pub mod link;
    pub mod site;
}

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

use cranberryridge_standin::stream::{Ledger, Run};

use shapes::caller::{End, Manner, Stream};
use shapes::deployment::{Deployment, LIPOWA};
use shapes::engine::{Fault, Share};
use shapes::site::Site;

/// Time after which gateways may use the fixed part of the retry budget.
const LEAD_TIME: Duration = Duration::from_secs(14);

/// Time in which a host that is back notices that callers are gone, and engines stop.
const CLEANUP_TIME: Duration = Duration::from_millis(1000);

/// Time in which all hosts apply a configuration.
const APPLY_TIME: Duration = Duration::from_secs(3);

/// Bytes of a piece beside its names.
const FILLER_BYTES: usize = 60;

/// Streams whose callers are gone.
type Streams = Arc<Mutex<Vec<Stream>>>;

/// Returns a small deployment.
fn deployment(piece_ms: u64) -> Deployment {
    Deployment {
        name: "hosts",
        hosts: 3,
        engines: 18,
        piece_ms,
        ..LIPOWA
    }
}

fn stream(name: String, total: u32, may_resume: bool) -> Stream {
    Stream {
        name,
        total,
        may_resume,
        begun_at: Instant::now(),
        events: Vec::new(),
        ends: Vec::new(),
        first_attempt: None,
        refusals: Vec::new(),
    }
}

/// Starts `count` streams, of which every second one may be resumed.
fn start_streams(
    tasks: &mut JoinSet<()>,
    ended: &Streams,
    hosts: &[SocketAddr],
    name: &str,
    count: usize,
    total: u32,
) {
    for number in 0..count {
        let mut stream = stream(format!("{name}{number}"), total, number % 2 == 0);
        let (ended, hosts) = (ended.clone(), hosts.to_vec());
        tasks.spawn(async move {
            sleep(Duration::from_millis(10 * number as u64)).await;
            stream.play(&hosts, Manner::default()).await;
            ended.lock().unwrap().push(stream);
        });
    }
}

/// Returns what is wrong with streams: pieces, false ends, and runs that nobody may make.
/// Routes that may not be resumed run a stream once, and never one that they refuse.
fn wrong(streams: &[Stream], ledger: &Ledger) -> Vec<String> {
    let runs = ledger.runs();
    let mut wrong = Vec::new();
    for stream in streams {
        if let Some(form) = stream.check(ledger) {
            wrong.push(format!("{form:?}: {} {:?}", stream.name, stream.ends));
        }
        if stream.ends.contains(&End::Refused(0)) {
            wrong.push(format!("bytes behind the end: {}", stream.name));
        }
        if stream.may_resume {
            continue;
        }
        let count = |is_counted: &dyn Fn(&Run) -> bool| {
            let own = runs.iter().filter(|run| run.stream == stream.name);
            own.filter(|run| is_counted(run)).count()
        };
        if count(&|_| true) > 1 {
            wrong.push(format!("run twice: {} {:?}", stream.name, stream.ends));
        }
        for (number, end) in stream.ends.iter().enumerate() {
            let attempt = format!("{}-{number}", stream.name);
            let is_promise = matches!(end, End::Refused(408 | 421 | 429 | 503));
            if is_promise && count(&|run| run.attempt == attempt) > 0 {
                wrong.push(format!("run and refused: {attempt}"));
            }
        }
    }
    wrong
}

/// Prints how the tries of streams ended.
fn print_ends(name: &str, streams: &[Stream], ledger: &Ledger) {
    let mut ends = std::collections::BTreeMap::<String, usize>::new();
    for stream in streams {
        let key = format!("{} {:?}", stream.may_resume, stream.ends);
        *ends.entry(key).or_default() += 1;
    }
    println!("hosts: {name}: {} runs, {ends:#?}", ledger.run_count());
}

// Guards against a host that goes on, once it runs again, with streams whose callers took them
// up elsewhere, or with requests that waited in its sockets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_thawed_host_runs_nothing_for_callers_who_left() {
    let ledger = Ledger::new(FILLER_BYTES);
    let mut site = Site::start(21, deployment(110), &ledger).await;
    let hosts = site.hosts();
    sleep(LEAD_TIME).await;
    let (ended, mut tasks) = (Streams::default(), JoinSet::new());
    start_streams(&mut tasks, &ended, &hosts, "a", 60, 80);
    let begun_at = Instant::now();
    sleep_until(begun_at + Duration::from_millis(1500)).await;
    site.signal(0, "STOP");
    // Requests that arrive in the meantime wait in the sockets of the host.
    start_streams(&mut tasks, &ended, &hosts, "b", 20, 80);
    sleep_until(begun_at + Duration::from_millis(6800)).await;
    let mut gone = HashSet::new();
    for stream in ended.lock().unwrap().iter() {
        gone.insert(stream.name.clone());
    }
    let is_idle = |run: &Run| run.is_open && gone.contains(&run.stream);
    let before = ledger.runs().iter().filter(|run| is_idle(run)).count();
    site.signal(0, "CONT");
    let thawed_at = Instant::now();
    sleep_until(thawed_at + CLEANUP_TIME).await;
    let open = ledger.runs().into_iter().filter(|run| run.is_open);
    let open = open.collect::<Vec<_>>();
    let idle = open.iter().filter(|run| gone.contains(&run.stream)).count();
    let streams = open.iter().map(|run| &run.stream).collect::<HashSet<_>>();
    let doubled = open.len() - streams.len();
    tasks.join_all().await;
    let late = ledger.runs().into_iter();
    let late = late.filter(|run| run.begun_at > thawed_at && gone.contains(&run.stream));
    let late = late.count();
    let ended = ended.lock().unwrap();
    print_ends("thaw", &ended, &ledger);
    println!(
        "hosts: thaw: {before} idle before, {} open, {idle} idle, {doubled} doubled, {late} late",
        open.len()
    );
    assert!(before > 0, "no run went on for a caller who left");
    assert_eq!(wrong(&ended, &ledger), Vec::<String>::new());
    assert_eq!((idle, doubled, late), (0, 0, 0), "idle, doubled, late");
}

/// Gives some of a thousand runs that begin at engines a fault.
fn set_fault(site: &Site, fault: Fault, per_mille: u32) {
    for engine in &site.engines {
        engine.set_fault(Some(Share { fault, per_mille }));
    }
}

/// Changes the configuration while streams run, breaks their runs `pause` later, and returns
/// what is wrong.
async fn reload(subnet: u8, (is_resumable, attempts): (bool, u32), pause: Duration) -> Vec<String> {
    let ledger = Ledger::new(FILLER_BYTES);
    let mut site = Site::start(subnet, deployment(60), &ledger).await;
    let hosts = site.hosts();
    site.publish(14_000, !is_resumable, 4 - attempts);
    sleep(LEAD_TIME).await;
    let (ended, mut tasks) = (Streams::default(), JoinSet::new());
    set_fault(&site, Fault::Break, 300);
    start_streams(&mut tasks, &ended, &hosts, "a", 40, 100);
    sleep(Duration::from_millis(1000)).await;
    site.publish(14_000, is_resumable, attempts);
    sleep(pause).await;
    let generating = site
        .engines
        .iter_mut()
        .filter(|engine| !engine.is_prefill());
    for engine in generating.take(6) {
        engine.reset_connections().await;
    }
    start_streams(&mut tasks, &ended, &hosts, "b", 40, 60);
    tasks.join_all().await;
    let ended = ended.lock().unwrap();
    print_ends(&format!("to {is_resumable} {pause:?}"), &ended, &ledger);
    let broken = ended.iter().filter(|got| got.ends.contains(&End::Cut));
    assert!(broken.count() > 0, "no stream broke");
    wrong(&ended, &ledger)
}

// Guards against streams that break under another configuration than the one they began with.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_break_after_a_reload_are_joined_rightly() {
    let pauses = [Duration::from_millis(100), APPLY_TIME];
    let mut plays = JoinSet::new();
    for (index, pause) in (0..).zip(pauses) {
        plays.spawn(reload(31 + 2 * index, (false, 1), pause));
        plays.spawn(reload(32 + 2 * index, (true, 3), pause));
    }
    let wrong = plays.join_all().await.concat();
    assert_eq!(wrong, Vec::<String>::new());
}

// Guards against engines that begin anew for callers who take up a stream of a route that could
// be resumed when it began: they got its pieces twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_taken_up_after_a_reload_do_not_begin_anew() {
    let ledger = Ledger::new(FILLER_BYTES);
    let mut site = Site::start(51, deployment(60), &ledger).await;
    let hosts = site.hosts();
    sleep(LEAD_TIME).await;
    let (ended, mut tasks) = (Streams::default(), JoinSet::new());
    start_streams(&mut tasks, &ended, &hosts, "a", 40, 100);
    sleep(Duration::from_millis(1000)).await;
    site.publish(14_000, false, 1);
    sleep(APPLY_TIME).await;
    set_fault(&site, Fault::Anew, 1000);
    site.signal(0, "KILL");
    tasks.join_all().await;
    let ended = ended.lock().unwrap();
    print_ends("anew", &ended, &ledger);
    let taken_up = ended.iter().filter(|got| got.ends.len() > 1);
    assert!(taken_up.count() > 0, "no stream was taken up");
    assert_eq!(wrong(&ended, &ledger), Vec::<String>::new());
}

// Guards against a host that refuses, for longer than it says, streams that are taken up when it
// was thawed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_taken_up_at_a_thawed_host_go_on_soon() {
    let ledger = Ledger::new(FILLER_BYTES);
    let mut site = Site::start(61, deployment(60), &ledger).await;
    let hosts = site.hosts();
    sleep(LEAD_TIME).await;
    site.signal(0, "STOP");
    sleep(Duration::from_millis(3000)).await;
    let mut tasks = JoinSet::new();
    for number in 0..24 {
        let others = hosts[1..].to_vec();
        tasks.spawn(async move {
            let mut stream = stream(format!("t{number}"), 40, true);
            let manner = Manner {
                leaves: true,
                ..Manner::default()
            };
            stream.play(&others, manner).await;
            stream
        });
    }
    sleep(Duration::from_millis(2000)).await;
    let broken = tasks.join_all().await;
    site.signal(0, "CONT");
    let mut tasks = JoinSet::new();
    for mut stream in broken {
        let host = [hosts[0]];
        tasks.spawn(async move {
            stream.play(&host, Manner::default()).await;
            stream
        });
    }
    let streams = tasks.join_all().await;
    print_ends("thawed", &streams, &ledger);
    for stream in &streams {
        println!("hosts: {} {:?}", stream.name, stream.refusals);
    }
    assert_eq!(wrong(&streams, &ledger), Vec::<String>::new());
    let whole = streams.iter().filter(|stream| stream.has_ended()).count();
    assert_eq!(whole, streams.len(), "streams did not go on");
}

// Guards against bytes of one answer that reach the caller of another one on its connection,
// and against cut streams that look whole, when a host is killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_connections_of_killed_hosts_end_without_false_ends() {
    let ledger = Ledger::new(FILLER_BYTES);
    let mut site = Site::start(41, deployment(30), &ledger).await;
    let hosts = site.hosts();
    sleep(LEAD_TIME).await;
    let (ended, mut tasks) = (Streams::default(), JoinSet::new());
    let until = Instant::now() + Duration::from_secs(12);
    for caller in 0..30 {
        let (ended, hosts) = (ended.clone(), hosts.clone());
        tasks.spawn(async move {
            let mut kept = None;
            let manner = Manner {
                keeps_connection: true,
                ..Manner::default()
            };
            for number in 0.. {
                if Instant::now() > until {
                    break;
                }
                let name = format!("c{caller}-{number}");
                let total = 5 + (caller + number) % 40;
                let mut stream = stream(name, total, number % 2 == 0);
                stream.play_on(&mut kept, &hosts, manner).await;
                ended.lock().unwrap().push(stream);
            }
        });
    }
    for strike in 0..5 {
        sleep(Duration::from_millis(1300)).await;
        site.signal(strike % hosts.len(), "KILL");
        sleep(Duration::from_millis(800)).await;
        site.restart_ended();
    }
    tasks.join_all().await;
    let ended = ended.lock().unwrap();
    print_ends("kill", &ended, &ledger);
    let cut = ended.iter().filter(|got| got.ends.contains(&End::Cut));
    assert!(cut.count() > 0, "no stream was cut");
    assert_eq!(wrong(&ended, &ledger), Vec::<String>::new());
}
