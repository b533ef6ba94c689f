//! Fleets of processes, and their callers and operators.

mod caller;
mod fleet;
mod journal;
mod process;
mod wait;

pub(crate) use caller::{Caller, Load, Response, Sample};
pub(crate) use fleet::{Fleet, Setup};
pub(crate) use journal::{assert_none_interrupted, first_reached, peak_running, starts_of};
pub(crate) use process::Process;
pub(crate) use wait::until;
