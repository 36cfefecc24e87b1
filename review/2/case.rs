//! Twice as many users as usual send model requests whose bodies are as large as the limits
//! allow. The platform ends a process that exceeds its memory.

#[path = "../kit/kit.rs"]
mod kit;

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{
    client_headers, configuration, has_trouble, lock, model_headers, next_attempt, pause,
    wait_until, Connection, Gateway, Recorder, Runner, Site, Store, BROKEN, HELD, MEMORY_MB,
    NOT_RUN,
};

/// Users of each gateway that have a model request running, usually and in the burst.
const USUAL_USERS: usize = 14;
const BURST_USERS: usize = 28;

/// Time from the start of the load until the burst, and its length.
const BURST_AT_MS: u64 = 15_000;
const BURST: Duration = Duration::from_secs(10);

/// Time after which a further user joins the burst.
fn burst_delay(user: usize) -> u64 {
    (user - USUAL_USERS) as u64 * 250
}

/// Users of each gateway that send orders, one after the other on a kept connection.
const ORDER_USERS: usize = 10;

/// Size of the prompts, `bodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;

/// Requests that a machine in touch may lose.
const MAX_LOST: usize = 3;

/// What clients have seen.
#[derive(Default)]
struct Seen {
    /// Attempts on a kept connection that ended without an answer.
    unanswered: Mutex<Vec<String>>,
    /// Streams that were cut off.
    cut: AtomicUsize,
    /// Requests that were answered in full.
    served: AtomicUsize,
    /// Requests that were refused.
    refused: AtomicUsize,
}

fn main() {
    kit::main(case)
}

fn case(recorder: &Recorder) -> io::Result<i32> {
    let site = Site::new(2)?;
    let store = Store::default();
    let _server = store.serve(site.store_address())?;
    store.put("keyed.op", "config", &configuration());
    let mut runners = Vec::new();
    for number in 0..10u8 {
        let (id, phase) = (format!("i-m{number}"), if number < 2 { 1 } else { 2 });
        let at = site.runner_address(20 + number);
        let engine = Runner::start(&id, "model-pool", at, phase, &store, recorder)?;
        // A stream of 32 events with pauses below the route's 300 ms lasts 8 s.
        engine.work_ms.store(250, SeqCst);
        engine.events.store(32, SeqCst);
        runners.push(engine);
    }
    for number in 0..4u8 {
        let at = site.runner_address(40 + number);
        let id = format!("i-a{number}");
        let runner = Runner::start(&id, "loan-api", at, 0, &store, recorder)?;
        runner.work_ms.store(200, SeqCst);
        runners.push(runner);
    }
    let mut gateways = Vec::new();
    for (host, name) in [(2, "front-a-1"), (3, "front-b-1")] {
        gateways.push(Gateway::start(name, &site, host)?);
    }
    if !wait_until(10, || gateways.iter().all(Gateway::is_ready)) {
        return Ok(NOT_RUN);
    }
    pause(5000);
    let seen = Arc::new(Seen::default());
    let is_running = Arc::new(AtomicBool::new(true));
    let body = Arc::new(vec![b'p'; BODY_BYTES]);
    let mut clients = Vec::new();
    for gateway in &gateways {
        for user in 0..if has_trouble() { BURST_USERS } else { USUAL_USERS } {
            let (front, recorder, seen) = (gateway.front, recorder.clone(), seen.clone());
            let (is_running, body) = (is_running.clone(), body.clone());
            let is_usual = user < USUAL_USERS;
            let delay = if is_usual { user as u64 * 500 } else { BURST_AT_MS + burst_delay(user) };
            clients.push(thread::spawn(move || {
                pause(delay);
                let begun_at = Instant::now();
                while is_running.load(SeqCst) && (is_usual || begun_at.elapsed() < BURST) {
                    send_prompt(front, &body, &recorder, &seen);
                }
            }));
        }
        for _ in 0..ORDER_USERS {
            let (front, recorder, seen) = (gateway.front, recorder.clone(), seen.clone());
            let is_running = is_running.clone();
            clients.push(thread::spawn(move || {
                while is_running.load(SeqCst) {
                    let _ = send_orders(front, &is_running, &recorder, &seen);
                    pause(200);
                }
            }));
        }
    }
    let mut ends = 0;
    for tick in 0..400 {
        for gateway in &mut gateways {
            let memory = gateway.memory_mb();
            if tick % 10 == 0 {
                recorder.write(&format!("{} occupies {memory:.1} MB", gateway.name));
            }
            if memory > MEMORY_MB as f64 {
                let name = &gateway.name;
                recorder.say(&format!("{name} occupies {memory:.1} MB of {MEMORY_MB}: is killed"));
                gateway.kill();
                ends += 1;
                pause(500);
                gateway.launch()?;
            }
        }
        pause(100);
    }
    is_running.store(false, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let ran = runners.iter().flat_map(|runner| lock(&runner.ran).clone());
    let ran = ran.collect::<HashSet<_>>();
    let unanswered = lock(&seen.unanswered);
    let lost = unanswered.iter().filter(|attempt| ran.contains(*attempt)).count();
    recorder.say(&format!(
        "{} requests served, {} refused; processes exceeded their memory {ends} times; {lost} \
         orders on kept connections ran and got no answer; {} streams were cut off",
        seen.served.load(SeqCst),
        seen.refused.load(SeqCst),
        seen.cut.load(SeqCst),
    ));
    Ok(if lost > MAX_LOST { BROKEN } else { HELD })
}

/// Sends a model request and reads its stream.
fn send_prompt(front: SocketAddr, body: &[u8], recorder: &Recorder, seen: &Seen) {
    let attempt = next_attempt();
    let mut head = 0;
    let mut fetched = || {
        let mut connection = Connection::open(front, Duration::from_secs(14))?;
        let headers = model_headers(&attempt, 3000, 350);
        connection.send("POST", &format!("/note/{attempt}"), &headers, body)?;
        let mut answer = connection.read_head()?;
        head = answer.status;
        connection.read_body(&mut answer)?;
        Ok::<_, io::Error>(answer.status)
    };
    let status = fetched();
    recorder.write(&format!("client {attempt} note at {front}: {status:?}"));
    match status {
        Ok(200) => seen.served.fetch_add(1, SeqCst),
        Ok(_) => {
            pause(500);
            seen.refused.fetch_add(1, SeqCst)
        }
        Err(_) if head == 200 => {
            pause(1000);
            seen.cut.fetch_add(1, SeqCst)
        }
        Err(_) => {
            pause(1000);
            0
        }
    };
}

/// Sends orders on a kept connection until it ends.
fn send_orders(
    front: SocketAddr,
    is_running: &AtomicBool,
    recorder: &Recorder,
    seen: &Seen,
) -> io::Result<()> {
    let mut connection = Connection::open(front, Duration::from_secs(4))?;
    while is_running.load(SeqCst) {
        let attempt = next_attempt();
        let headers = client_headers(&attempt, 3000);
        connection.send("POST", &format!("/book/{attempt}"), &headers, b"order")?;
        let answer = connection.read();
        let status = answer.as_ref().map(|answer| answer.status).ok();
        recorder.write(&format!("client {attempt} book at {front}: {status:?}"));
        match answer {
            Ok(answer) if answer.status == 200 => seen.served.fetch_add(1, SeqCst),
            Ok(_) => seen.refused.fetch_add(1, SeqCst),
            Err(error) => {
                lock(&seen.unanswered).push(attempt);
                return Err(error);
            }
        };
        pause(50);
    }
    Ok(())
}
