//! Shedding: whether a waiting request can still meet its deadline.

/// Part of the estimated time that must be left for a request to be kept. Below 1, because the learned run time is a
/// mean: a request that is probably late is shed, one that may be in time is kept.
const CONFIDENCE: f64 = 0.75;

/// What is known about a waiting request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// Requests of the same team that start earlier.
    pub ahead: u32,
    /// Requests of the team that run now, of those counted in `slots`.
    pub running: u32,
    /// Slots that the team may use, for the same scope as `ahead`: fleet-wide or one instance's part.
    pub slots: f64,
    /// Learned run time, in milliseconds.
    pub run_ms: f64,
    /// Time until the deadline, in milliseconds.
    pub left_ms: u64,
}

/// Expected time until the request starts, in milliseconds; infinite if the team has no slots.
#[must_use]
pub fn wait_ms(outlook: &Outlook) -> f64 {
    let free = outlook.slots - f64::from(outlook.running);
    // Number of slots that must become free before this request starts.
    let turns = f64::from(outlook.ahead) + 1.0 - free.max(0.0);
    if turns <= 0.0 {
        0.0
    } else if outlook.slots <= 0.0 {
        f64::INFINITY
    } else {
        turns * outlook.run_ms / outlook.slots
    }
}

/// True if the request can probably still be answered in time. Check it on arrival and again before dispatch.
#[must_use]
pub fn can_meet(outlook: &Outlook) -> bool {
    let needed = wait_ms(outlook) + outlook.run_ms;
    CONFIDENCE * needed <= float(outlook.left_ms)
}

#[expect(clippy::cast_precision_loss, reason = "deadlines in milliseconds are far below 2^52")]
fn float(value: u64) -> f64 {
    value as f64
}
