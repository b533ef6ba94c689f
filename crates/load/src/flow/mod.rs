//! Flows: the load that one team sends to one pool.

mod parse;
mod rate;

pub use parse::{FlowError, parse};
pub use rate::{Arrivals, Pattern, SURGE_FACTOR, Surges};

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use rattanfall_core::record::Class;

/// Load of one team on one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// Team that sends.
    pub team: Arc<str>,
    /// Access key; empty for a pool that is open to all.
    pub key: Arc<str>,
    /// Weight of the team, from which the report computes its fair share.
    pub share: u32,
    /// Priority class of all work of the flow.
    pub class: Class,
    /// Pool that the work goes to.
    pub pool: Arc<str>,
    /// Mean rate of requests and tasks, per second.
    pub rate: f64,
    /// Change of the rate over time.
    pub pattern: Pattern,
    /// Distribution of the work's duration.
    pub work: Work,
    /// Fraction of the work that is marked idempotent, 0 to 1.
    pub idempotent: f64,
    /// Fraction of the work that is submitted as tasks, 0 to 1.
    pub tasks: f64,
    /// Deadline of a request.
    pub timeout: Duration,
    /// Size of a response body, in bytes.
    pub answer_bytes: u32,
    /// Size of a request body, in bytes.
    pub body_bytes: u32,
}

/// Distribution of the duration of work, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// Every item has this duration.
    Constant(f64),
    /// Exponential distribution with this mean.
    Exponential(f64),
    /// Uniform distribution between two bounds.
    Uniform(f64, f64),
}

/// One request or task of a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkItem {
    /// Number of the item, unique in the run.
    pub number: u64,
    /// Index of the flow in the run.
    pub flow: usize,
    /// Duration of the work, in milliseconds.
    pub work_ms: u32,
    /// True if the work may run more than once.
    pub idempotent: bool,
    /// True if it is submitted as a task.
    pub task: bool,
}

impl Work {
    /// Samples a duration, in whole milliseconds.
    pub fn sample<R: Rng>(self, random: &mut R) -> u32 {
        let ms = match self {
            Self::Constant(ms) => ms,
            Self::Exponential(mean) => -mean * (1.0 - random.random::<f64>()).ln(),
            Self::Uniform(low, high) => low + (high - low) * random.random::<f64>(),
        };
        // The cast saturates, so extreme values of the exponential distribution are clamped.
        ms.round() as u32
    }
}

impl Flow {
    /// Samples a work item; `flow` is the index of this flow.
    pub fn sample<R: Rng>(&self, number: u64, flow: usize, random: &mut R) -> WorkItem {
        WorkItem {
            number,
            flow,
            work_ms: self.work.sample(random),
            idempotent: random.random::<f64>() < self.idempotent,
            task: random.random::<f64>() < self.tasks,
        }
    }
}
