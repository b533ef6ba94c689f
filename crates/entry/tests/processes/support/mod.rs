//! Small fleets of processes, and callers and operators for them.

mod caller;
mod fleet;
mod journal;
mod process;
mod wait;

pub(crate) use caller::{Answer, Caller, Load, Sample};
pub(crate) use fleet::{Fleet, Setup};
pub(crate) use journal::{assert_uncut, peak, reaches, starts_of};
pub(crate) use process::Process;
pub(crate) use wait::until;
