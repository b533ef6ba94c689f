//! Faults of the platform, switched at run time by `PUT /faults`.

use serde::{Deserialize, Serialize};

/// Active faults. An absent field switches its fault off, so each `PUT` replaces the whole set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Log, list and reboot calls are answered with 503 and have no effect.
    pub down: bool,
    /// Delay before each log, list or reboot call is handled, in milliseconds.
    pub slow_ms: u64,
    /// Number of following appends that take effect, but whose connections are closed without an answer.
    pub lose_appends: u32,
    /// Overrides the number of log entries that are kept.
    pub retention: Option<usize>,
    /// Overrides the number of appends accepted per second.
    pub append_rate: Option<u32>,
    /// Overrides the lag of the list of instances, in milliseconds.
    pub list_lag_ms: Option<u64>,
    /// The list of instances stops changing; queued changes follow once the fault is switched off.
    pub list_frozen: bool,
}
