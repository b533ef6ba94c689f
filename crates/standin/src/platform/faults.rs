//! Faults of the platform, switched at run time by `PUT /faults`.

use serde::{Deserialize, Serialize};

/// Faults in force. An absent field means no such fault, so each `PUT` replaces all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Log, list and reboots answer 503; nothing takes effect.
    pub down: bool,
    /// Log and list answer later by this time, in milliseconds.
    pub slow_ms: u64,
    /// The next appends take effect, but their connections are closed without an answer.
    pub lose_appends: u32,
    /// Log entries that are kept, in place of the setting.
    pub retention: Option<usize>,
    /// Appends accepted in a second, in place of the setting.
    pub append_rate: Option<u32>,
    /// Lag of the list in milliseconds, in place of the setting.
    pub list_lag_ms: Option<u64>,
    /// The list shows no change any more.
    pub list_frozen: bool,
}
