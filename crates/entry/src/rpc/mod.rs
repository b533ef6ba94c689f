//! Helpers for RPC clients.

use std::time::{Duration, Instant};

use tarpc::context::Context;

/// Context of a call with a time limit.
pub(crate) fn with_timeout(limit: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + limit;
    context
}
