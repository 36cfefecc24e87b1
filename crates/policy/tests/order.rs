//! Orders to engines: derived from the log, sent one at a time, and never executed twice.

use cranberryridge_policy::order::{Command, Reconciler, State, Step};
use cranberryridge_wire::record::{Action, Order};

/// An engine that checks fencing numbers or ignores them.
#[derive(Default)]
struct Engine {
    state: State,
    /// Whether the engine checks fencing numbers.
    checks_fence: bool,
    /// Orders that took effect.
    executed: Vec<Command>,
}

impl Engine {
    /// Receives an order and returns whether it took effect.
    fn take(&mut self, command: &Command) -> bool {
        if self.checks_fence && command.fence < self.state.fence {
            return false;
        }
        if self.checks_fence {
            self.state.fence = command.fence;
        }
        self.state.loaded.retain(|target| *target != command.target);
        match command.action {
            Action::Load => self.state.loaded.push(command.target.clone()),
            Action::Unload => {}
            Action::Role => self.state.role = command.target.clone(),
        }
        self.executed.push(command.clone());
        true
    }
}

/// Creates an order as it is in the log.
fn order(action: Action, target: &str) -> Order {
    Order {
        sidecar: "s".into(),
        endpoint: 0,
        action,
        target: target.into(),
    }
}

/// Creates a reconciler that knows these orders.
fn reconciler(orders: &[Order]) -> Reconciler {
    let mut reconciler = Reconciler::default();
    for (offset, order) in orders.iter().enumerate() {
        reconciler.apply(offset as u64, order);
    }
    reconciler
}

/// Reads the state and sends orders until the reconciler waits. Returns the number of
/// orders sent.
fn run_to_rest(reconciler: &mut Reconciler, engine: &mut Engine) -> usize {
    for sent in 0..100 {
        let Step::Send(command) = reconciler.reconcile(&engine.state) else {
            return sent;
        };
        assert_eq!(reconciler.record_answer(engine.take(&command)), Step::Read);
    }
    panic!("the reconciler never waits");
}

#[test]
fn orders_fold_into_the_latest_state() {
    let orders = [
        order(Action::Load, "a"),
        order(Action::Unload, "a"),
        order(Action::Load, "b"),
        order(Action::Role, "decode"),
    ];
    let (mut reconciler, mut engine) = (reconciler(&orders), Engine::default());
    assert_eq!(run_to_rest(&mut reconciler, &mut engine), 2);
    assert_eq!(engine.state.loaded, ["b"]);
    assert_eq!(engine.state.role, "decode");
}

#[test]
fn a_new_reconciler_repeats_no_order() {
    let orders = [order(Action::Load, "a")];
    let mut engine = Engine::default();
    run_to_rest(&mut reconciler(&orders), &mut engine);
    assert_eq!(run_to_rest(&mut reconciler(&orders), &mut engine), 0);
    assert_eq!(engine.executed.len(), 1);
}

#[test]
fn a_lost_answer_is_resolved_by_reading_the_state() {
    let (mut reconciler, mut engine) = (reconciler(&[order(Action::Load, "a")]), Engine::default());
    let Step::Send(command) = reconciler.reconcile(&engine.state) else {
        panic!("no order for what is missing");
    };
    engine.take(&command);
    assert!(reconciler.has_order_in_flight());
    assert_eq!(reconciler.record_answer(true), Step::Read);
    assert_eq!(reconciler.reconcile(&engine.state), Step::Wait);
    assert_eq!(engine.executed.len(), 1);
}

#[test]
fn a_stale_reconciler_is_fenced_off() {
    let orders = [order(Action::Load, "a"), order(Action::Unload, "a")];
    let mut engine = Engine {
        checks_fence: true,
        ..Engine::default()
    };
    let mut old = reconciler(&orders[..1]);
    let Step::Send(stale) = old.reconcile(&engine.state) else {
        panic!("no order for what is missing");
    };
    engine.state.loaded.push("a".into());
    run_to_rest(&mut reconciler(&orders), &mut engine);
    assert!(
        !engine.take(&stale),
        "the engine took an order with an old fencing number"
    );
    assert_eq!(old.record_answer(false), Step::Read);
    assert_eq!(old.reconcile(&engine.state), Step::Wait);
    assert!(engine.state.loaded.is_empty());
}

#[test]
fn an_unfenced_engine_is_corrected_after_a_stale_order() {
    let orders = [order(Action::Load, "a"), order(Action::Unload, "a")];
    let mut engine = Engine::default();
    let Step::Send(stale) = reconciler(&orders[..1]).reconcile(&engine.state) else {
        panic!("no order for what is missing");
    };
    let mut new = reconciler(&orders);
    run_to_rest(&mut new, &mut engine);
    engine.take(&stale);
    assert_eq!(run_to_rest(&mut new, &mut engine), 1);
    assert!(engine.state.loaded.is_empty());
}

#[test]
fn a_restarted_engine_is_restored() {
    let orders = [order(Action::Load, "a"), order(Action::Load, "b")];
    let (mut reconciler, mut engine) = (reconciler(&orders), Engine::default());
    run_to_rest(&mut reconciler, &mut engine);
    engine.state = State::default();
    assert_eq!(run_to_rest(&mut reconciler, &mut engine), 2);
    assert_eq!(engine.state.loaded, ["a", "b"]);
}

#[test]
fn a_refused_order_does_not_block_others() {
    let orders = [order(Action::Load, "broken"), order(Action::Role, "decode")];
    let mut reconciler = reconciler(&orders);
    assert!(matches!(
        reconciler.reconcile(&State::default()),
        Step::Send(_)
    ));
    reconciler.record_answer(false);
    let Step::Send(next) = reconciler.reconcile(&State::default()) else {
        panic!("the refused order holds up the next one");
    };
    assert_eq!(next.action, Action::Role);
}

#[test]
fn a_refused_order_is_not_repeated() {
    let mut reconciler = reconciler(&[order(Action::Load, "broken")]);
    assert!(matches!(
        reconciler.reconcile(&State::default()),
        Step::Send(_)
    ));
    reconciler.record_answer(false);
    assert_eq!(reconciler.reconcile(&State::default()), Step::Wait);
    reconciler.apply(1, &order(Action::Load, "whole"));
    assert!(matches!(
        reconciler.reconcile(&State::default()),
        Step::Send(_)
    ));
}
