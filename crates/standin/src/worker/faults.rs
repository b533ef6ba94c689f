//! Faults of a worker, switched at run time by `PUT /control/faults`.

use serde::{Deserialize, Serialize};

/// Faults in force. An absent field means no such fault, so each `PUT` replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Requests and tasks fail as soon as they start.
    pub fail: bool,
    /// Connections that carried a request before this call stay open and are never answered again, also after the
    /// fault is switched off; new connections work.
    pub silence_open: bool,
    /// Answers to requests are late by this time after the work ended, in milliseconds.
    pub late_ms: u64,
    /// Each answer to a request carries the id and the body of the answer before it.
    pub crossed: bool,
    /// Answers to requests end in the middle of the body.
    pub truncated: bool,
    /// New work is refused with this reason: `full`, `leaving`, `wrong-pool` or `lease`.
    pub refuse: Option<String>,
    /// The worker is about to stop: new work is refused, running work ends.
    pub leaving: bool,
}
