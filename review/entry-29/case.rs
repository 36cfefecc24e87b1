//! The engine that generates answers crashes three times, each time right after it was back.

#[path = "../kit/kit.rs"]
mod kit;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{
    configuration, has_trouble, lock, model_headers, next_attempt, pause, wait_until, Connection,
    Gateway, Recorder, Runner, Site, Store, BROKEN, HELD, NOT_RUN,
};

/// `recoveryS` of the pages.
const RECOVERY_S: u64 = 12;

/// Time for which requests are counted after that.
const COUNTED_S: u64 = 30;

/// Number of crashes, and the time for which the engine is down each time.
const CRASHES: u32 = 3;
const DOWN_MS: u64 = 4500;

/// Three heartbeats, after which the store drops the entry of a silent runner.
const ENTRY_TTL_MS: u64 = 3600;

fn main() {
    kit::main(case)
}

fn case(recorder: &Recorder) -> io::Result<i32> {
    let site = Site::new(6)?;
    let store = Store::default();
    let _server = store.serve(site.store_address())?;
    store.put("keyed.op", "config", &configuration());
    let start = |host, id, phase| {
        Runner::start(id, "model-pool", site.runner_address(host), phase, &store, recorder)
    };
    let _reader = start(20, "i-p0", 1)?;
    let engine = start(21, "i-d0", 2)?;
    let mut gateways = Vec::new();
    for (host, name) in [(2, "front-a-1"), (3, "front-b-1")] {
        gateways.push(Gateway::start(name, &site, host)?);
    }
    if !wait_until(10, || gateways.iter().all(Gateway::is_ready)) {
        return Ok(NOT_RUN);
    }
    pause(5000);
    let is_running = Arc::new(AtomicBool::new(true));
    let rows = Arc::new(Mutex::new(Vec::<(Instant, Option<u16>)>::new()));
    let mut clients = Vec::new();
    for client in 0..8 {
        let front = gateways[client % 2].front;
        let (is_running, rows, recorder) = (is_running.clone(), rows.clone(), recorder.clone());
        clients.push(thread::spawn(move || {
            while is_running.load(SeqCst) {
                let sent_at = Instant::now();
                let status = fetch(front, &recorder);
                lock(&rows).push((sent_at, status));
                pause(200);
            }
        }));
    }
    pause(8000);
    let served = |since: Instant| {
        let rows = lock(&rows);
        let since = rows.iter().filter(|(sent_at, _)| *sent_at >= since).collect::<Vec<_>>();
        let served = since.iter().filter(|(_, status)| *status == Some(200)).count();
        (served, since.len())
    };
    let before = served(Instant::now() - Duration::from_secs(7));
    recorder.say(&format!("before the fault: {} of {} served", before.0, before.1));
    for number in 0..if has_trouble() { CRASHES } else { 0 } {
        engine.crashes.store(true, SeqCst);
        if !wait_until(10, || !engine.is_listed.load(SeqCst)) {
            return Ok(NOT_RUN);
        }
        recorder.say(&format!("the engine crashes, {number} crashes before"));
        pause(ENTRY_TTL_MS);
        engine.remove_entry();
        pause(DOWN_MS - ENTRY_TTL_MS);
        engine.restart(0)?;
        recorder.say("the engine is back");
    }
    pause(RECOVERY_S * 1000);
    let counted_from = Instant::now();
    pause(COUNTED_S * 1000);
    let after = served(counted_from);
    recorder.say(&format!(
        "from 12 s after the engine is back on: {} of {} served",
        after.0, after.1
    ));
    is_running.store(false, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for gateway in &gateways {
        let log = gateway.read_log();
        for line in log.lines().filter(|line| line.contains("part: barred")) {
            recorder.write(&format!("log of {}: {line}", gateway.name));
        }
    }
    let is_broken = before.0 * 4 >= before.1 && after.0 * 4 < after.1;
    Ok(if is_broken { BROKEN } else { HELD })
}

/// Sends a prompt whose first part all share.
fn fetch(front: SocketAddr, recorder: &Recorder) -> Option<u16> {
    let attempt = next_attempt();
    let fetched = || {
        let mut connection = Connection::open(front, Duration::from_secs(5))?;
        let headers = model_headers(&attempt, 600, 60);
        connection.send("POST", &format!("/note/{attempt}"), &headers, b"prompt")?;
        connection.read()
    };
    let fetched: io::Result<kit::Answer> = fetched();
    let status = fetched.as_ref().map(|answer| answer.status).ok();
    recorder.write(&format!("client {attempt} at {front}: {status:?}"));
    status
}
