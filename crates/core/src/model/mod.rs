//! Specification for the model checker.
//!
//! A [`World`] holds a few processes, one log, the network and the workers. Its transitions call the real
//! [`Fleet`](crate::fleet::Fleet) functions; what an engine must obey beside them (the check of the hold, the order of
//! records and starts, the evidence for an end) is written down here. Time is not modelled: waits and leases end by
//! steps of their own, and the step that ends a reclaim wait requires that the leases of the ended process have lapsed.
//!
//! Two assumptions are not checked here: a worker refuses a start whose lease or deadline has passed, however late it
//! arrives, and a request that its process counts as ended no longer runs.
//!
//! Bounds and faults are part of the [`Setup`], so the state space is finite and each rule can be switched off to see
//! that the checker finds the counterexample.

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

pub use entry::{Act, Entry, Kind};
pub use setup::{Bounds, Faults, Setup};
pub use state::{Broken, Host, Phase, Process, Start, Step, Work, World};

/// A setup and the replicated states that were reached from it.
#[derive(Debug)]
pub struct Model {
    setup: Setup,
    arena: RefCell<Arena>,
}

impl Model {
    /// Creates a model; nothing is explored yet.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        Self { setup, arena: RefCell::default() }
    }

    /// World in which the members have joined and the configuration is in force.
    #[must_use]
    pub fn start(&self) -> World {
        let (fleet, offset) = self.setup.fleet();
        let id = self.arena.borrow_mut().intern(fleet);
        World::new(&self.setup, id, offset)
    }

    /// Every step from a world and the world after it. A broken world has none.
    #[must_use]
    pub fn steps(&self, world: &World) -> Vec<(Step, World)> {
        if world.broken.is_some() {
            return Vec::new();
        }
        let mut steps = Vec::new();
        self.process_steps(world, &mut steps);
        self.environment_steps(world, &mut steps);
        for (_, next) in &mut steps {
            next.forget_applied();
            next.broken = next.broken.or_else(|| self.check(next));
        }
        steps
    }

    /// Worlds after one step.
    #[must_use]
    pub fn successors(&self, world: &World) -> Vec<World> {
        self.steps(world).into_iter().map(|(_, next)| next).collect()
    }

    /// Steps along a path of worlds, one line each.
    #[must_use]
    pub fn explain(&self, path: &[World]) -> Vec<String> {
        let pairs = path.iter().zip(path.iter().skip(1));
        let step = |(from, to): (&World, &World)| {
            let found = self.steps(from).into_iter().find(|(_, next)| next == to);
            found.map_or_else(|| "unknown step".to_owned(), |(step, _)| format!("{step:?}"))
        };
        pairs.map(step).collect()
    }

    /// First invariant that the world breaks. Events such as a second run are noted by the steps themselves.
    fn check(&self, world: &World) -> Option<Broken> {
        let works = || world.hosts.iter().flat_map(|host| &host.works);
        if works().count() > self.setup.limit as usize {
            return Some(Broken::Limit);
        }
        if world.hosts.iter().any(|host| host.works.iter().any(|work| work.pool != host.pool)) {
            return Some(Broken::OldPool);
        }
        if world.runs > 1 {
            return Some(Broken::SecondRun);
        }
        let arena = self.arena.borrow();
        let head = arena.get(world.head());
        let owned = |task: &Task| {
            let ended = matches!(task.state, TaskState::Ended { .. });
            ended || head.live_members().next().is_none() || head.live_members().any(|id| id == task.owner)
        };
        (world.accepted && !head.tasks.values().any(owned)).then_some(Broken::Lost)
    }
}
