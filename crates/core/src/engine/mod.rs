//! State and decisions of one entry instance.
//!
//! The engine does no I/O. The process hands it [`Event`]s and the time, and carries out the [`Command`]s that it
//! returns. Entities live in tables; systems run over the tables on each tick and when work ends.

pub mod command;
pub mod event;
pub mod options;
pub mod view;

pub use command::Command;
pub use event::Event;
pub use options::Options;
pub use view::{Counters, View};

use serde::{Deserialize, Serialize};

use command::NotRun;
use event::{Submission, TaskSubmission};

use crate::fleet::Fleet;
use crate::record::Record;

/// Interval of ticks, in milliseconds.
pub const TICK_MS: u64 = 50;

slotmap::new_key_type! {
    /// Key of a waiting or running request.
    pub struct RequestKey;
}

/// Time since the start of the process on its monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Millis(pub u64);

impl Millis {
    /// This time plus a number of milliseconds.
    #[must_use]
    pub const fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Milliseconds since an earlier time; 0 if it is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Number of a proposal of this process, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// State of one entry instance and the systems that run over it.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    fleet: Fleet,
    counters: Counters,
}

impl Engine {
    /// Creates an engine that has neither state nor membership. `seed` feeds its random choices.
    #[must_use]
    pub fn new(options: Options, seed: u64) -> Self {
        let _ = seed;
        Self { options, fleet: Fleet::default(), counters: Counters::default() }
    }

    /// Settings of the engine.
    #[must_use]
    pub const fn options(&self) -> &Options {
        &self.options
    }

    /// Replica of the shared state.
    #[must_use]
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Counts of refusals, retries and exposures since the start.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Takes in a request. A `Send` or a `Refuse` command with its key follows, often at once.
    pub fn submit(&mut self, now: Millis, submission: Submission) -> RequestKey {
        let _ = (now, submission);
        RequestKey::default()
    }

    /// Takes in a task. `Resolve` follows once the record has an offset.
    ///
    /// # Errors
    ///
    /// Fails if the task is refused at once; it did not run and will not run.
    pub fn submit_task(&mut self, now: Millis, submission: TaskSubmission) -> Result<Ticket, NotRun> {
        let _ = (now, submission);
        Err(NotRun::NotReady)
    }

    /// Proposes a record on behalf of an operator. `Resolve` follows.
    pub fn propose(&mut self, now: Millis, record: Record) -> Ticket {
        let _ = (now, record);
        Ticket(0)
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Millis, event: Event) {
        let _ = (now, event);
    }

    /// Runs every system once. The process calls it each [`TICK_MS`].
    pub fn tick(&mut self, now: Millis) {
        let _ = now;
    }

    /// Returns the commands since the last call, in order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        Vec::new()
    }

    /// What the instance knows and does now.
    #[must_use]
    pub fn view(&self, now: Millis) -> View {
        let _ = now;
        View::default()
    }
}
