//! Faults of a worker, switched at run time by `PUT /control/faults`.

use serde::{Deserialize, Serialize};

/// Active faults. An absent field switches its fault off, so each `PUT` replaces the whole set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Requests and tasks fail immediately after they start.
    pub fail: bool,
    /// Connections that have carried a request before this call stay open but get no more answers, even after the
    /// fault is switched off. New connections work normally.
    pub silence_open: bool,
    /// Delay between the end of a request's work and its answer, in milliseconds.
    pub late_ms: u64,
    /// Each answer to a request carries the id, token and body of the previous answer.
    pub crossed: bool,
    /// Answers to requests end in the middle of the body: half of the announced length is sent.
    pub truncated: bool,
    /// Reason with which all new work is refused: `full`, `leaving`, `wrong-pool` or `lease`.
    pub refuse: Option<String>,
    /// The worker is about to stop: new work is refused, running work completes.
    pub leaving: bool,
}
