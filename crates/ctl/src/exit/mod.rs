//! Exit codes of `rattanctl`. Scripts depend on them; `docs/operators.md` lists them.

/// Result of a command as its exit code reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded, or there was nothing to do.
    Ok,
    /// The input has a problem: a file, a name or an id.
    Input,
    /// The command line is wrong.
    Usage,
    /// Another change was accepted first; nothing was changed.
    Conflict,
    /// Refused because of a budget, a state, the credential or a declined question; nothing was changed.
    Refused,
    /// No entry instance could run the command; nothing was changed.
    Unavailable,
    /// The change may have taken effect.
    Unknown,
}

impl Exit {
    /// Number that the process exits with.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Input => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Refused => 4,
            Self::Unavailable => 5,
            Self::Unknown => 6,
        }
    }
}
