//! Load shedding: estimates whether a waiting request can still meet its deadline.

/// Time that must be left at the start while other requests wait, as a multiple of the mean run time. A request that
/// starts with only the mean left is late about half of the time, and its slot could have served another one in time.
const MARGIN_RUNS: f64 = 3.0;

/// Maximum margin as a fraction of the request's time limit, so that requests with short limits are not all shed.
const MAX_MARGIN_SHARE: f64 = 0.5;

/// Queue position of a request, with the figures that its start depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueuePosition {
    /// Requests of the same team that start before it.
    pub ahead: u32,
    /// Other waiting requests of the team, including those ahead.
    pub waiting: u32,
    /// Running requests of the team that use the slots counted in `slots`.
    pub running: u32,
    /// Slots that the team may use, in the same scope as `ahead`: fleet-wide or at one instance.
    pub slots: f64,
    /// Mean run time, in milliseconds.
    pub run_ms: f64,
    /// Time until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Time until the deadline when the request arrived, in milliseconds.
    pub asked_ms: u64,
}

/// Expected time until the request starts, in milliseconds; infinite if it has to wait and the team has no slots.
#[must_use]
pub fn expected_wait_ms(position: &QueuePosition) -> f64 {
    let free = position.slots - f64::from(position.running);
    // Number of slots that must become free before the request starts.
    let slots_to_free = f64::from(position.ahead) + 1.0 - free.max(0.0);
    if slots_to_free <= 0.0 {
        0.0
    } else if position.slots <= 0.0 {
        f64::INFINITY
    } else {
        slots_to_free * position.run_ms / position.slots
    }
}

/// True if the request can probably still be answered in time. To be checked on arrival and again before the start.
///
/// A request that has a free slot while no others wait is kept until its deadline: shedding it would help nobody.
#[must_use]
pub fn can_meet_deadline(position: &QueuePosition) -> bool {
    let wait = expected_wait_ms(position);
    let left = float(position.left_ms);
    if wait <= 0.0 && position.waiting == 0 {
        return left > 0.0;
    }
    let margin = (MARGIN_RUNS * position.run_ms).min(MAX_MARGIN_SHARE * float(position.asked_ms));
    wait + margin <= left
}

#[expect(clippy::cast_precision_loss, reason = "deadlines in milliseconds are far below 2^52")]
fn float(value: u64) -> f64 {
    value as f64
}
