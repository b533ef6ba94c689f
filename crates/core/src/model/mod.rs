//! Specification for the model checker.
//!
//! A [`State`] consists of a few processes, one log, the network and the workers. Its transitions call the functions
//! of [`Fleet`](crate::fleet::Fleet) that run in production; the rules that an engine must follow beyond them (the
//! check of the hold, the order of records and starts, the evidence for the end of a member) are specified here. Time
//! is not modelled: leases expire in steps of their own, and a reclaim requires that the leases of the ended process
//! have expired.
//!
//! Two assumptions are not checked here: a worker refuses a start whose lease or deadline has passed, however late it
//! arrives, and a request that its process counts as ended no longer runs.
//!
//! The [`Setup`] bounds the state space. It can also switch off single rules, to verify that the checker then finds a
//! counterexample.

mod arena;
mod entry;
mod environment;
mod process;
mod proposals;
mod replica;
mod setup;
mod starts;
mod state;

use std::cell::RefCell;

use arena::Arena;

use crate::fleet::{Task, TaskState};

pub use entry::{Action, Entry, RecordKind};
pub use setup::{Bounds, Faults, Setup};
pub use state::{Host, Phase, Process, Start, State, Step, Violation, Work};

/// A setup, with the replicated states that were reached from it.
#[derive(Debug)]
pub struct Model {
    setup: Setup,
    arena: RefCell<Arena>,
}

impl Model {
    /// Creates a model without exploring it.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        Self { setup, arena: RefCell::default() }
    }

    /// Initial state: the members have joined, the configuration is in force and the workers serve.
    #[must_use]
    pub fn start(&self) -> State {
        let (fleet, offset) = self.setup.fleet();
        let id = self.arena.borrow_mut().intern(fleet);
        State::new(&self.setup, id, offset)
    }

    /// All steps from a state, each with the resulting state. A state that violates an invariant has none.
    #[must_use]
    pub fn steps(&self, state: &State) -> Vec<(Step, State)> {
        if state.violation.is_some() {
            return Vec::new();
        }
        let mut steps = Vec::new();
        self.process_steps(state, &mut steps);
        self.environment_steps(state, &mut steps);
        for (_, next) in &mut steps {
            next.prune_log();
            next.violation = next.violation.or_else(|| self.check(next));
        }
        steps
    }

    /// States that are reached from a state in one step.
    #[must_use]
    pub fn successors(&self, state: &State) -> Vec<State> {
        self.steps(state).into_iter().map(|(_, next)| next).collect()
    }

    /// Steps along a path of states, one line each.
    #[must_use]
    pub fn explain(&self, path: &[State]) -> Vec<String> {
        let pairs = path.iter().zip(path.iter().skip(1));
        let step = |(from, to): (&State, &State)| {
            let found = self.steps(from).into_iter().find(|(_, next)| next == to);
            found.map_or_else(|| "unknown step".to_owned(), |(step, _)| format!("{step:?}"))
        };
        pairs.map(step).collect()
    }

    /// First invariant that the state violates. Violations that only show during a step are set by the steps.
    fn check(&self, state: &State) -> Option<Violation> {
        let running = || state.hosts.iter().flat_map(|host| &host.running);
        if running().count() > self.setup.limit as usize {
            return Some(Violation::LimitExceeded);
        }
        if state.hosts.iter().any(|host| host.running.iter().any(|work| work.pool != host.pool)) {
            return Some(Violation::PoolMismatch);
        }
        if state.executions > 1 {
            return Some(Violation::DuplicateRun);
        }
        let arena = self.arena.borrow();
        let head = arena.get(state.head());
        let owned = |task: &Task| {
            let ended = matches!(task.state, TaskState::Ended { .. });
            ended || head.live_members().next().is_none() || head.live_members().any(|id| id == task.owner)
        };
        (state.accepted && !head.tasks.values().any(owned)).then_some(Violation::TaskLost)
    }
}
