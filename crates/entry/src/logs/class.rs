//! Classes of log records.

/// Class of a log record. Each has limits of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Changes what is believed about a machine, a worker or a run.
    Decision,
    /// Anything else, such as lines of each request or job.
    Other,
}

impl Class {
    /// All classes, in the order of their discriminants.
    pub const ALL: [Self; 2] = [Self::Decision, Self::Other];

    /// Name in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Decision => "decision",
            Self::Other => "other",
        }
    }
}
