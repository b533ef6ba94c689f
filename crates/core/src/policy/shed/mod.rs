//! Shedding: whether a waiting request can still meet its deadline.

/// Run times that must be left at the start while others wait. Run times vary: a request that starts with just its mean
/// left is late about as often as not, and its slot would have served another in time.
const MARGIN_RUNS: f64 = 3.0;

/// Largest part of the asked time that the margin may take, so that requests with tight deadlines are not all shed.
const MAX_MARGIN_SHARE: f64 = 0.5;

/// What is known about a waiting request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueuePosition {
    /// Requests of the same team that start earlier.
    pub ahead: u32,
    /// Other requests of the team that wait, those ahead included.
    pub waiting: u32,
    /// Requests of the team that run now, of those counted in `slots`.
    pub running: u32,
    /// Slots that the team may use, for the same scope as `ahead`: fleet-wide or one instance's part.
    pub slots: f64,
    /// Learned run time, in milliseconds.
    pub run_ms: f64,
    /// Time until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Time until the deadline when the request arrived, in milliseconds.
    pub asked_ms: u64,
}

/// Expected time until the request starts, in milliseconds; infinite if the team has no slots.
#[must_use]
pub fn expected_wait_ms(position: &QueuePosition) -> f64 {
    let free = position.slots - f64::from(position.running);
    // Number of slots that must become free before this request starts.
    let slots_to_free = f64::from(position.ahead) + 1.0 - free.max(0.0);
    if slots_to_free <= 0.0 {
        0.0
    } else if position.slots <= 0.0 {
        f64::INFINITY
    } else {
        slots_to_free * position.run_ms / position.slots
    }
}

/// True if the request can probably still be answered in time. Check it on arrival and again before dispatch.
///
/// A request with a free slot and no competitor is kept until its deadline: nothing is gained by shedding it.
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
