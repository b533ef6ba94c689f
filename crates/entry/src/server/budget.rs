//! Budget of the bytes of unfinished requests and of the connections of a process.
//!
//! Bytes are taken before they are read and belong to a connection until its request is answered. When there are too few,
//! the request that has made no progress for longest gives way, and when there are too many connections, the one that has
//! been idle for longest.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::limits::RequestLimits;

/// Input that counts as progress of a request, in bytes. A byte now and then does not.
const PROGRESS_BYTES: usize = 4 << 10;
/// Time without progress from which a request gives way. Ordinary requests arrive whole within it on most links.
const STALL: Duration = Duration::from_millis(250);
/// Longest wait for bytes of the budget. The caller has time left to repeat the request elsewhere.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Interval at which a waiting request looks for others that could give way.
const WAIT_INTERVAL: Duration = Duration::from_millis(25);
/// Time without a wait or refusal after which the limits no longer bind.
const CALM: Duration = Duration::from_secs(5);

/// Part of the connections that callers leave to operators and checks of readiness. While all handlers of callers wait for
/// the store, none of their connections can be closed for another one.
const RESERVED_DIVISOR: usize = 8;
/// Part of the connections that may be open beyond the limit, while they are accepted or closed. Their descriptors are in use.
const TRANSIENT_DIVISOR: usize = 4;

/// Clients of a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clients {
    /// Callers, whom nobody controls.
    Callers,
    /// Operators, collectors of metrics and checks of readiness.
    Operators,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// Nothing: a handler is running.
    Busy,
    /// The rest of a request that was answered, which is not used.
    Draining,
    /// Output that the client does not take.
    Writing,
    /// Input, or bytes for it.
    Reading,
}

#[derive(Debug)]
struct Slot {
    held: u64,
    phase: Phase,
    /// Time of the last progress.
    since: Instant,
    /// Input since then, in bytes.
    fresh: usize,
    /// Told to end.
    ended: bool,
    wake: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    used: u64,
    next: u64,
    slots: BTreeMap<u64, Slot>,
    /// Connections that were told to end.
    ending: usize,
    /// Connections that were accepted and are not admitted yet.
    accepted: usize,
    /// Time of the last wait or refusal, while the limits bind.
    bound: Option<Instant>,
    refusals: BTreeMap<&'static str, u64>,
}

/// Use of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestUse {
    /// Bytes of unfinished requests.
    pub bytes: u64,
    /// Open connections.
    pub connections: u64,
}

/// Budget of a process, shared by its HTTP ports.
#[derive(Debug, Default)]
pub struct RequestBudget {
    limits: RequestLimits,
    state: Mutex<State>,
    /// Told when a connection is closed.
    closed: Notify,
}

/// The budget has too few bytes, or the request had to give way to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Exhausted;

impl RequestBudget {
    /// Creates a budget.
    #[must_use]
    pub fn new(limits: RequestLimits) -> Arc<Self> {
        Arc::new(Self { limits, ..Self::default() })
    }

    /// Limits of the process.
    #[must_use]
    pub const fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// Present use.
    #[must_use]
    pub fn usage(&self) -> RequestUse {
        let state = self.state.lock();
        RequestUse { bytes: state.used, connections: state.slots.len() as u64 }
    }

    /// Counts a refused request or a connection that was closed early.
    pub fn refuse(&self, reason: &'static str) {
        *self.state.lock().refusals.entry(reason).or_default() += 1;
    }

    /// Refusals by reason, since the start.
    #[must_use]
    pub fn refusals(&self) -> Vec<(&'static str, u64)> {
        self.state.lock().refusals.iter().map(|(reason, count)| (*reason, *count)).collect()
    }

    /// Most connections of these clients. Callers leave some to operators and checks of readiness.
    const fn most(&self, clients: Clients) -> usize {
        match clients {
            Clients::Callers => self.limits.connections - self.limits.connections / RESERVED_DIVISOR,
            Clients::Operators => self.limits.connections,
        }
    }

    /// Waits until a connection may be accepted: while too many are being closed, further ones wait in the queue of the
    /// listener, where they take no descriptors of the process.
    pub(super) async fn wait_for_descriptor(&self, clients: Clients) {
        let most = self.most(clients) + self.limits.connections.div_ceil(TRANSIENT_DIVISOR);
        loop {
            let closed = self.closed.notified();
            {
                let mut state = self.state.lock();
                if state.slots.len() + state.accepted < most {
                    return;
                }
                state.bind();
            }
            closed.await;
        }
    }

    /// Counts a connection that was accepted.
    pub(super) fn accept(&self) {
        self.state.lock().accepted += 1;
    }

    /// Ends the count of an accepted connection, which is admitted next or closed.
    pub(super) fn arrive(&self) {
        let mut state = self.state.lock();
        state.accepted = state.accepted.saturating_sub(1);
        drop(state);
        self.closed.notify_waiters();
    }

    /// Admits a new connection. At the limit, another one is told to end, or the new one is not admitted.
    pub(super) fn connect(self: &Arc<Self>, clients: Clients) -> Option<Lease> {
        let most = self.most(clients);
        let mut state = self.state.lock();
        if state.slots.len() - state.ending >= most {
            state.bind();
            let ended = state.end_idle();
            *state.refusals.entry("connections").or_default() += 1;
            if !ended {
                return None;
            }
        }
        state.relax();
        let (id, wake) = (state.next, Arc::new(Notify::new()));
        state.next += 1;
        let slot = Slot {
            held: 0,
            phase: Phase::Busy,
            since: Instant::now(),
            fresh: 0,
            ended: false,
            wake: Arc::clone(&wake),
        };
        state.slots.insert(id, slot);
        Some(Lease { budget: Arc::clone(self), id, wake })
    }
}

impl State {
    fn bind(&mut self) {
        if self.bound.replace(Instant::now()).is_none() {
            log::warn!(bytes = self.used, connections = self.slots.len(); "the limits of unfinished requests bind");
        }
    }

    fn relax(&mut self) {
        if self.bound.is_some_and(|at| at.elapsed() >= CALM) {
            self.bound = None;
            log::info!(bytes = self.used, connections = self.slots.len(); "the limits of unfinished requests no longer bind");
        }
    }

    fn end(&mut self, id: u64) {
        if let Some(slot) = self.slots.get_mut(&id) {
            slot.ended = true;
            slot.wake.notify_one();
            self.ending += 1;
        }
    }

    /// Tells the connection that has been idle for longest to end, or else one whose client makes no progress.
    fn end_idle(&mut self) -> bool {
        let candidates = self.slots.iter().filter(|(_, slot)| {
            let idle = slot.phase == Phase::Reading && slot.held == 0;
            !slot.ended && (idle || (slot.phase != Phase::Busy && slot.since.elapsed() >= STALL))
        });
        let rank = |slot: &Slot| (slot.held > 0, Reverse(slot.phase), slot.since);
        let id = candidates.min_by_key(|(_, slot)| rank(slot)).map(|(id, _)| *id);
        id.inspect(|id| self.end(*id)).is_some()
    }

    /// Tells the request that has held bytes for longest without progress to give way.
    fn end_stalled(&mut self, except: u64) {
        let candidates = self.slots.iter().filter(|(id, slot)| {
            let waits = slot.phase == Phase::Reading && slot.held > 0;
            **id != except && !slot.ended && waits && slot.since.elapsed() >= STALL
        });
        let id = candidates.min_by_key(|(_, slot)| slot.since).map(|(id, _)| *id);
        if let Some(id) = id {
            *self.refusals.entry("gave-way").or_default() += 1;
            self.end(id);
        }
    }
}

/// Share of a connection in the budget. Dropping it gives everything back.
#[derive(Debug)]
pub(super) struct Lease {
    budget: Arc<RequestBudget>,
    id: u64,
    wake: Arc<Notify>,
}

/// Marks what a connection waits for, until it is dropped.
pub(super) struct Waiting<'a>(&'a Lease);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.update(|slot| slot.phase = Phase::Busy);
    }
}

/// Bytes that were taken and are not filled yet.
pub(super) struct Taken<'a> {
    lease: &'a Lease,
    bytes: u64,
}

impl Taken<'_> {
    /// Keeps the bytes that were read and gives the others back.
    pub(super) fn keep(mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes as u64);
        self.lease.update(|slot| {
            slot.fresh += bytes;
            if slot.fresh >= PROGRESS_BYTES {
                slot.fresh = 0;
                slot.since = Instant::now();
            }
        });
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.lease.give_back(self.bytes);
    }
}

impl Lease {
    fn update<T>(&self, change: impl FnOnce(&mut Slot) -> T) -> Option<T> {
        self.budget.state.lock().slots.get_mut(&self.id).map(change)
    }

    /// Budget of the process.
    pub(super) fn budget(&self) -> &RequestBudget {
        &self.budget
    }

    /// Marks what the connection waits for. Time without progress of an answer counts from here.
    pub(super) fn wait(&self, phase: Phase) -> Waiting<'_> {
        self.update(|slot| {
            if phase == Phase::Writing || slot.held == 0 {
                slot.since = Instant::now();
            }
            slot.phase = phase;
        });
        Waiting(self)
    }

    /// Waits until the connection is told to end.
    pub(super) async fn ended(&self) {
        while self.update(|slot| slot.ended) == Some(false) {
            self.wake.notified().await;
        }
    }

    /// Takes bytes for a read. Waits for others to give way.
    pub(super) async fn take(&self, bytes: usize) -> Result<Taken<'_>, Exhausted> {
        let bytes = bytes as u64;
        let started = Instant::now();
        loop {
            {
                let mut state = self.budget.state.lock();
                if state.slots.get(&self.id).is_none_or(|slot| slot.ended) {
                    return Err(Exhausted);
                }
                if state.used + bytes <= self.budget.limits.budget_bytes {
                    state.relax();
                    state.used += bytes;
                    if let Some(slot) = state.slots.get_mut(&self.id) {
                        slot.held += bytes;
                    }
                    return Ok(Taken { lease: self, bytes });
                }
                state.bind();
                if started.elapsed() >= MAX_WAIT {
                    *state.refusals.entry("no-budget").or_default() += 1;
                    return Err(Exhausted);
                }
                state.end_stalled(self.id);
            }
            sleep(WAIT_INTERVAL).await;
        }
    }

    /// Gives bytes back.
    pub(super) fn give_back(&self, bytes: u64) {
        let mut state = self.budget.state.lock();
        let held = state.slots.get_mut(&self.id).map(|slot| {
            let bytes = bytes.min(slot.held);
            slot.held -= bytes;
            bytes
        });
        state.used -= held.unwrap_or(0);
    }

    /// Begins the next request, of which these bytes have been read already.
    pub(super) fn restart(&self, read: usize) {
        let held = self.update(|slot| {
            slot.since = Instant::now();
            slot.fresh = 0;
            slot.held
        });
        self.give_back(held.unwrap_or(0).saturating_sub(read as u64));
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut state = self.budget.state.lock();
        if let Some(slot) = state.slots.remove(&self.id) {
            state.used -= slot.held;
            state.ending -= usize::from(slot.ended);
        }
        drop(state);
        self.budget.closed.notify_waiters();
    }
}
