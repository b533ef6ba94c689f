//! Flows: what one team sends to one pool, and when.

mod parse;
mod rate;

pub use parse::{FlowError, parse};
pub use rate::{Arrivals, Pattern, SURGE_FACTOR, Wave};

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use rattanfall_core::record::Class;

/// Load of one team on one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// Team.
    pub team: Arc<str>,
    /// Access key; empty for a pool that is open to all.
    pub key: Arc<str>,
    /// Weight of the team, for the share owed.
    pub share: u32,
    /// Class.
    pub class: Class,
    /// Pool.
    pub pool: Arc<str>,
    /// Mean of requests and tasks per second.
    pub rate: f64,
    /// Pattern of the rate.
    pub pattern: Pattern,
    /// Duration of the work.
    pub work: Work,
    /// Part of the requests that is idempotent, 0 to 1.
    pub idempotent: f64,
    /// Part of the work that is submitted as tasks, 0 to 1.
    pub tasks: f64,
    /// Deadline of a request.
    pub timeout: Duration,
    /// Size of an answer, in bytes.
    pub answer_bytes: u32,
    /// Size of a request body, in bytes.
    pub body_bytes: u32,
}

/// Distribution of the duration of work, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// Always the same.
    Constant(f64),
    /// Exponential with a mean.
    Exponential(f64),
    /// Uniform between two bounds.
    Uniform(f64, f64),
}

/// One piece of work of a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Order {
    /// Number in the run, unique.
    pub number: u64,
    /// Index of the flow.
    pub flow: usize,
    /// Duration of the work, in milliseconds.
    pub work_ms: u32,
    /// True if it may run more than once.
    pub idempotent: bool,
    /// True if it is submitted as a task.
    pub task: bool,
}

impl Work {
    /// Draws a duration, in whole milliseconds.
    pub fn draw<R: Rng>(self, random: &mut R) -> u32 {
        let ms = match self {
            Self::Constant(ms) => ms,
            Self::Exponential(mean) => -mean * (1.0 - random.random::<f64>()).ln(),
            Self::Uniform(low, high) => low + (high - low) * random.random::<f64>(),
        };
        // The cast saturates, so a far value of the exponential tail stays in range.
        ms.round() as u32
    }
}

impl Flow {
    /// Draws one piece of work.
    pub fn draw<R: Rng>(&self, number: u64, flow: usize, random: &mut R) -> Order {
        Order {
            number,
            flow,
            work_ms: self.work.draw(random),
            idempotent: random.random::<f64>() < self.idempotent,
            task: random.random::<f64>() < self.tasks,
        }
    }
}
