//! Orders to an engine, derived from the log alone.
//!
//! The log's orders fold into what an engine should be like. The desk compares
//! that with what the engine says of itself and sends one order at a time,
//! fenced by the offset of the newest order that it knows. After each order,
//! and whenever an answer was lost, it reads the engine back before it goes on.

use compact_str::CompactString;

use cranberryridge_wire::record::{Action, Order};

/// Decides the orders to one engine.
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
/// // Until the engine was read again, nothing else is sent.
/// assert_eq!(reconciler.record_answer(true), Step::Read);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reconciler {
    /// Targets that should be loaded, or not, in order of their orders.
    desired: Vec<DesiredTarget>,
    /// The role that the engine should have, empty for as it is.
    role: CompactString,
    /// Offset of the newest order, plus 1.
    fence: u64,
    /// The order under way.
    in_flight: Option<Command>,
    /// Targets whose order the engine refused since the newest order.
    refused: Vec<CompactString>,
}

/// What is wanted of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DesiredTarget {
    /// The model, adapter or version.
    target: CompactString,
    /// Whether it should be loaded.
    loaded: bool,
}

/// An engine's state in its own words.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Highest fencing number that it has seen; 0 where it keeps none.
    pub fence: u64,
    /// What is loaded.
    pub loaded: Vec<CompactString>,
    /// Its role, empty where it has none.
    pub role: CompactString,
}

/// One order as it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Fencing number.
    pub fence: u64,
    /// What to do.
    pub action: Action,
    /// The model, adapter, version or role.
    pub target: CompactString,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send an order.
    Send(Command),
    /// Read the engine's state.
    Read,
    /// Wait for an order in the log.
    Wait,
}

impl Reconciler {
    /// Takes an order from the log. Offsets that were seen before change
    /// nothing.
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

    /// Takes the engine's state, and says what to do about it. Whatever was
    /// under way is over, because the engine was read after it.
    pub fn reconcile(&mut self, state: &State) -> Step {
        self.in_flight = None;
        if state.fence > self.fence {
            // Another orderer knows a newer order; this one's log is behind.
            return Step::Wait;
        }
        self.in_flight = self.next_command(state);
        self.in_flight.clone().map_or(Step::Wait, Step::Send)
    }

    /// Takes the answer to an order: whether the engine took it. A lost answer
    /// counts as taken, because the state that is read next tells.
    pub fn record_answer(&mut self, accepted: bool) -> Step {
        let sent = self.in_flight.take().filter(|_| !accepted);
        self.refused.extend(sent.map(|command| command.target));
        Step::Read
    }

    /// Whether an order is under way.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// The first difference between what is and what should be. An order that
    /// the engine refused is not sent again before a newer one is known.
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

    /// An order with the present fencing number.
    fn new_command(&self, action: Action, target: &CompactString) -> Command {
        Command {
            fence: self.fence,
            action,
            target: target.clone(),
        }
    }
}
