//! Reconciles an engine with the orders in the log.
//!
//! The orders in the log fold into the desired state of an engine. The reconciler compares
//! it with the state that the engine reports and sends one order at a time, fenced by the
//! offset of the newest known order. After each order, even if its answer was lost, it reads
//! the engine's state before it continues.

use compact_str::CompactString;

use cranberryridge_wire::record::{Action, Order};

/// Decides which orders to send to one engine.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::order::{Reconciler, State, Step};
/// use cranberryridge_wire::record::{Action, Order};
/// let mut reconciler = Reconciler::default();
/// reconciler.apply(6, &Order {
///     sidecar: "s".into(),
///     endpoint: 0,
///     action: Action::Load,
///     target: "adapter-a".into(),
/// });
/// let Step::Send(command) = reconciler.reconcile(&State::default()) else { panic!() };
/// assert_eq!(command.fence, 7);
/// // Nothing else is sent until the engine's state is read.
/// assert_eq!(reconciler.record_answer(true), Step::Read);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reconciler {
    /// Desired state of each target, in the order of the log.
    desired: Vec<DesiredTarget>,
    /// Desired role of the engine; empty if no order sets one.
    role: CompactString,
    /// Offset of the newest order, plus 1.
    fence: u64,
    /// Order that was sent and not answered yet.
    in_flight: Option<Command>,
    /// Targets whose order the engine refused since the newest order.
    refused: Vec<CompactString>,
}

/// Desired state of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DesiredTarget {
    /// Model, adapter or version.
    target: CompactString,
    /// Whether the target should be loaded.
    loaded: bool,
}

/// State that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Highest fencing number that the engine has seen; 0 if it does not track them.
    pub fence: u64,
    /// Targets that are loaded.
    pub loaded: Vec<CompactString>,
    /// Role; empty if the engine has none.
    pub role: CompactString,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Fencing number: the offset of the newest known order, plus 1.
    pub fence: u64,
    /// What to do with the target.
    pub action: Action,
    /// Model, adapter, version or role.
    pub target: CompactString,
}

/// Next step of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send an order to the engine.
    Send(Command),
    /// Read the engine's state.
    Read,
    /// Wait for the next order in the log.
    Wait,
}

impl Reconciler {
    /// Adds an order from the log. Orders at offsets that were seen before have no effect.
    pub fn apply(&mut self, offset: u64, order: &Order) {
        if offset < self.fence {
            return;
        }
        self.fence = offset + 1;
        self.refused.clear();
        if order.action == Action::Role {
            self.role = order.target.clone();
            return;
        }
        self.desired
            .retain(|desired| desired.target != order.target);
        self.desired.push(DesiredTarget {
            target: order.target.clone(),
            loaded: order.action == Action::Load,
        });
    }

    /// Compares the engine's state with the desired state and returns the next step. An
    /// order in flight is over, because the state was read after it.
    pub fn reconcile(&mut self, state: &State) -> Step {
        self.in_flight = None;
        if state.fence > self.fence {
            // Another reconciler knows a newer order, because this reader of the log lags.
            return Step::Wait;
        }
        self.in_flight = self.next_command(state);
        self.in_flight.clone().map_or(Step::Wait, Step::Send)
    }

    /// Records the answer to an order. A lost answer counts as accepted, because the state
    /// that is read next shows what happened.
    pub fn record_answer(&mut self, accepted: bool) -> Step {
        let sent = self.in_flight.take().filter(|_| !accepted);
        self.refused.extend(sent.map(|command| command.target));
        Step::Read
    }

    /// Whether an order is in flight.
    pub fn has_order_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns the order for the first difference between the actual and the desired state.
    /// A refused order is not repeated until a newer one is known.
    fn next_command(&self, state: &State) -> Option<Command> {
        let is_allowed = |target: &CompactString| !self.refused.contains(target);
        let is_different =
            |desired: &DesiredTarget| state.loaded.contains(&desired.target) != desired.loaded;
        let mut targets = self.desired.iter();
        if let Some(desired) =
            targets.find(|desired| is_allowed(&desired.target) && is_different(desired))
        {
            let action = if desired.loaded {
                Action::Load
            } else {
                Action::Unload
            };
            return Some(self.new_command(action, &desired.target));
        }
        let changes_role =
            !self.role.is_empty() && self.role != state.role && is_allowed(&self.role);
        changes_role.then(|| self.new_command(Action::Role, &self.role))
    }

    /// Creates an order with the current fencing number.
    fn new_command(&self, action: Action, target: &CompactString) -> Command {
        Command {
            fence: self.fence,
            action,
            target: target.clone(),
        }
    }
}
