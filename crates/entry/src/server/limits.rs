//! Limits of the requests and connections of a process.

use std::time::Duration;

/// Part of the memory limit for bytes of unfinished requests. What is decoded of them and its record take up to twice as much.
const BUDGET_DIVISOR: u64 = 8;
/// Part of the memory limit for the buffers of connections.
const CONNECTIONS_DIVISOR: u64 = 4;
/// Buffers and state of a connection, in bytes: 4 KB to read into, answers that are not sent yet, and the handler.
const CONNECTION_BYTES: u64 = 32 << 10;
/// Part of the descriptors for connections to the HTTP ports. The rest is for other instances (768) and outgoing calls.
const DESCRIPTORS_DIVISOR: u64 = 2;
/// Smallest budget and fewest connections of a process that is told to have very little.
const MIN_BUDGET_BYTES: u64 = 1 << 20;
const MIN_CONNECTIONS: u64 = 16;

/// Limits of a process, shared by its HTTP ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Bytes of all unfinished requests, as they came.
    pub budget_bytes: u64,
    /// Largest body that is read whole, in bytes.
    pub body_bytes: u64,
    /// Open connections.
    pub connections: usize,
    /// Time for a whole body.
    pub body: Duration,
    /// Time for a head, from its first bytes.
    pub head: Duration,
    /// Time for which an answer may make no progress.
    pub delivery: Duration,
    /// Time after which an idle connection is closed. It exceeds the usual idle timeout of load balancers (60 s), so that
    /// they close idle connections first and never send a request on a connection that is being closed.
    pub idle: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            budget_bytes: 32 << 20,
            body_bytes: 4 << 20,
            connections: 2_048,
            body: Duration::from_secs(10),
            head: Duration::from_secs(5),
            delivery: Duration::from_secs(20),
            idle: Duration::from_secs(75),
        }
    }
}

impl RequestLimits {
    /// Limits for a process with this memory, these descriptors and bodies of up to `body_bytes`. 0 means unknown.
    #[must_use]
    pub fn for_process(memory_bytes: u64, descriptors: u64, body_bytes: u64) -> Self {
        let defaults = Self::default();
        let part = |whole: u64, divisor: u64, least: u64, default: u64| {
            if whole == 0 { default } else { (whole / divisor).max(least) }
        };
        let connections = defaults.connections as u64;
        let by_memory =
            part(memory_bytes, CONNECTIONS_DIVISOR * CONNECTION_BYTES, MIN_CONNECTIONS, connections);
        let by_descriptors = part(descriptors, DESCRIPTORS_DIVISOR, MIN_CONNECTIONS, by_memory);
        let budget_bytes = part(memory_bytes, BUDGET_DIVISOR, MIN_BUDGET_BYTES, defaults.budget_bytes);
        Self {
            budget_bytes,
            body_bytes: body_bytes.min(budget_bytes / 4),
            connections: usize::try_from(by_memory.min(by_descriptors)).unwrap_or(usize::MAX),
            ..defaults
        }
    }
}
