//! Exit codes. Scripts depend on them; `docs/operators.md` lists them.

/// Exit code of `rattanctl`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done, or nothing to do.
    Ok,
    /// The input has a problem: a file, a name or an id.
    Input,
    /// The command line is wrong.
    Usage,
    /// Another operator changed the same thing before.
    Conflict,
    /// The fleet refuses: budget, state or credential.
    Refused,
    /// No entry instance could do it; nothing was changed.
    Unavailable,
    /// The change may have taken effect.
    Unknown,
}

impl Exit {
    /// Number for the operating system.
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
