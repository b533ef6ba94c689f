//! State and decisions of one entry instance.
//!
//! The engine does no I/O. The process hands it [`Event`]s and the time, and carries out the [`Command`]s that it
//! returns. Entities live in tables; systems run over the tables on each tick and when work ends.

pub mod command;
pub mod event;
pub mod options;

pub use command::Command;
pub use event::Event;
pub use options::Options;

use serde::{Deserialize, Serialize};

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
}

impl Engine {
    /// Creates an engine that has neither state nor membership. `seed` feeds its random choices.
    #[must_use]
    pub fn new(options: Options, seed: u64) -> Self {
        let _ = seed;
        Self { options }
    }

    /// Settings of the engine.
    #[must_use]
    pub const fn options(&self) -> &Options {
        &self.options
    }
}
