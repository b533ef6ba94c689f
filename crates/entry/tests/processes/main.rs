//! End-to-end tests with real processes and sockets: a platform, workers and entry instances on the loopback address.

#![allow(clippy::unwrap_used, reason = "a failed step of a helper fails the test")]

mod faults;
mod freeze;
mod holds;
mod kill;
mod operators;
mod outage;
mod retention;
mod stop;
mod support;
mod wave;
