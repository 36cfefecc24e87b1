//! Orders to engines, over pipes on a paused clock.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::metrics::Metrics;
use cranberryridge::net::memory::Memory;
use cranberryridge::sidecar::orders::{run, LogOrder};
use cranberryridge::wire::record::{Action, Order, Record};
use cranberryridge_standin::engine::{Engine, Settings};
use cranberryridge_standin::fleet::{Fleet, Plan};
use cranberryridge_standin::orders::Faults;
use cranberryridge_standin::server::Server;

/// An engine that takes orders over an in-memory network.
struct Bench {
    net: Memory,
    engine: Engine<Memory>,
    /// Keeps the engine's server running.
    _server: Server,
}

impl Bench {
    /// Starts an engine with faults in its order interface.
    async fn new(faults: Faults) -> Self {
        let net = Memory::default();
        let engine = Engine::new(net.clone(), Settings::default());
        engine.orders.set_faults(faults);
        let server = engine.serve(address()).await.unwrap();
        Self {
            net,
            engine,
            _server: server,
        }
    }

    /// Starts a task that sends orders to the engine.
    fn start_sender(&self) -> mpsc::UnboundedSender<LogOrder> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let client = Client::new(self.net.clone(), address());
        let logger = cranberryridge::logger::silent();
        tokio::spawn(run(client, receiver, Metrics::default(), logger));
        sender
    }
}

/// Address of the engine.
fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7100))
}

/// Returns an order at an offset of the log.
fn log_order(offset: u64, action: Action, target: &str) -> LogOrder {
    LogOrder {
        offset,
        order: Order {
            sidecar: "s".into(),
            endpoint: 0,
            action,
            target: target.into(),
        },
    }
}

#[tokio::test(start_paused = true)]
async fn orders_are_taken_one_at_a_time() {
    let bench = Bench::new(Faults {
        apply_time: Duration::from_secs(3),
        ..Faults::default()
    })
    .await;
    let orders = bench.start_sender();
    for offset in 0..4 {
        orders
            .send(log_order(
                offset,
                Action::Load,
                &format!("adapter-{offset}"),
            ))
            .unwrap();
    }
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(bench.engine.orders.report().loaded.len(), 4);
    assert_eq!(bench.engine.orders.applied().len(), 4);
    assert_eq!(bench.engine.orders.max_in_flight(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_order_whose_answer_is_lost_takes_effect_once() {
    let bench = Bench::new(Faults {
        lose_answers: true,
        ..Faults::default()
    })
    .await;
    let orders = bench.start_sender();
    orders.send(log_order(0, Action::Load, "a")).unwrap();
    tokio::time::sleep(Duration::from_secs(600)).await;
    assert_eq!(bench.engine.orders.applied().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_second_sender_repeats_no_order() {
    let bench = Bench::new(Faults::default()).await;
    let first = bench.start_sender();
    first.send(log_order(0, Action::Load, "a")).unwrap();
    tokio::time::sleep(Duration::from_secs(20)).await;
    drop(first);
    let second = bench.start_sender();
    second.send(log_order(0, Action::Load, "a")).unwrap();
    second.send(log_order(1, Action::Role, "decode")).unwrap();
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(bench.engine.orders.applied().len(), 2);
    assert_eq!(bench.engine.orders.report().role, "decode");
}

#[tokio::test(start_paused = true)]
async fn an_old_sender_does_not_undo_a_newer_order() {
    for unfenced in [false, true] {
        let bench = Bench::new(Faults {
            unfenced,
            ..Faults::default()
        })
        .await;
        let (old, new) = (bench.start_sender(), bench.start_sender());
        new.send(log_order(0, Action::Load, "a")).unwrap();
        new.send(log_order(1, Action::Unload, "a")).unwrap();
        tokio::time::sleep(Duration::from_secs(20)).await;
        old.send(log_order(0, Action::Load, "a")).unwrap();
        tokio::time::sleep(Duration::from_secs(1)).await;
        drop(old);
        tokio::time::sleep(Duration::from_secs(20)).await;
        assert!(
            bench.engine.orders.report().loaded.is_empty(),
            "unfenced {unfenced}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn an_order_in_the_log_reaches_its_engine_alone() {
    let fleet = Fleet::start(Memory::default(), Tokio, Plan::default())
        .await
        .unwrap();
    let order = Record::Order(Order {
        sidecar: "sidecar-1".into(),
        endpoint: 0,
        action: Action::Load,
        target: "adapter".into(),
    });
    let offset = fleet.log.append(serde_json::to_string(&order).unwrap());
    tokio::time::sleep(Duration::from_secs(8)).await;
    let report = fleet.engines[1].orders.report();
    assert_eq!(report.loaded, ["adapter"]);
    assert_eq!(report.fence, offset + 1);
    let others = [0, 2, 3].map(|engine| fleet.engines[engine].orders.applied().len());
    assert_eq!(others, [0, 0, 0]);
}
