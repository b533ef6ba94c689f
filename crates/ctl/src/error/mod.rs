//! Errors shown to operators, with their exit codes and advice.

use miette::Diagnostic;
use rattanfall_wire::operator::ErrorBody;

use crate::exit::Exit;

/// Category of an error. Determines the exit code and the advice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// Another change to the same version was accepted first.
    Conflict,
    /// The declaration has problems.
    Invalid,
    /// No entity has the name or id, or the id is malformed.
    UnknownEntity,
    /// The change would violate an availability budget or the limit on concurrent drains.
    Budget,
    /// The change is not allowed in the current state of its target.
    State,
    /// No instance could make the change; nothing was changed.
    Unavailable,
    /// The change may have taken effect.
    Unknown,
    /// The operator credential is missing or wrong.
    Credential,
    /// The instance rejected the form of the request.
    Malformed,
    /// The command line is wrong.
    Usage,
    /// A file cannot be read or output cannot be written.
    File,
    /// The operator did not confirm the change.
    Declined,
}

impl ErrorKind {
    /// Every kind, in the order of declaration.
    pub const ALL: [Self; 12] = [
        Self::Conflict,
        Self::Invalid,
        Self::UnknownEntity,
        Self::Budget,
        Self::State,
        Self::Unavailable,
        Self::Unknown,
        Self::Credential,
        Self::Malformed,
        Self::Usage,
        Self::File,
        Self::Declined,
    ];

    /// Name in the operator interface and in `--json` output.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Conflict => "conflict",
            Self::Invalid => "invalid",
            Self::UnknownEntity => "unknown-entity",
            Self::Budget => "budget",
            Self::State => "state",
            Self::Unavailable => "unavailable",
            Self::Unknown => "unknown",
            Self::Credential => "credential",
            Self::Malformed => "malformed",
            Self::Usage => "usage",
            Self::File => "file",
            Self::Declined => "declined",
        }
    }

    /// Exit code of a command that fails with this kind.
    #[must_use]
    pub const fn exit(self) -> Exit {
        match self {
            Self::Invalid | Self::UnknownEntity | Self::Malformed | Self::File => Exit::Input,
            Self::Usage => Exit::Usage,
            Self::Conflict => Exit::Conflict,
            Self::Budget | Self::State | Self::Credential | Self::Declined => Exit::Refused,
            Self::Unavailable => Exit::Unavailable,
            Self::Unknown => Exit::Unknown,
        }
    }

    const fn help(self) -> &'static str {
        match self {
            Self::Conflict => {
                "nothing was changed; run `rattanctl diff` or `rattanctl status` and decide again"
            }
            Self::Invalid => "nothing was changed; correct the declaration",
            Self::UnknownEntity => "nothing was changed; `rattanctl status` lists the names",
            Self::Budget => {
                "nothing was changed; wait for workers to return, or lower the budget with an exception"
            }
            Self::State => "nothing was changed; `rattanctl status` shows the current state",
            Self::Unavailable => {
                "nothing was changed; try again later or name other instances with --operator"
            }
            Self::Unknown => {
                "the change may have taken effect; look with `rattanctl status` before you repeat it"
            }
            Self::Credential => "set RATTANFALL_CREDENTIAL to the operator credential of the entry instances",
            Self::Malformed => {
                "nothing was changed; check that rattanctl and the entry instances have one version"
            }
            Self::Usage => "see `rattanctl help`",
            Self::File => "check the path and the permissions",
            Self::Declined => "nothing was changed",
        }
    }

    fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Error of a command, with advice for the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("{}: {message}", .kind.name())]
pub struct CtlError {
    /// Category, which determines the exit code.
    pub kind: ErrorKind,
    /// What failed, without the name of the kind.
    pub message: String,
    #[help]
    help: String,
}

impl CtlError {
    /// Creates an error with the usual advice for its kind.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), help: kind.help().into() }
    }

    /// Replaces the advice.
    #[must_use]
    pub fn with_help(self, help: impl Into<String>) -> Self {
        Self { help: help.into(), ..self }
    }

    /// Body of the error for `--json`.
    #[must_use]
    pub fn body(&self) -> ErrorBody {
        ErrorBody { error: self.kind.name().into(), message: self.message.clone() }
    }
}

impl From<ErrorBody> for CtlError {
    /// Maps a name that this version does not know to `Unknown`, because such an error does not guarantee that
    /// nothing was changed.
    fn from(body: ErrorBody) -> Self {
        match ErrorKind::from_name(&body.error) {
            Some(kind) => Self::new(kind, body.message),
            None => Self::new(ErrorKind::Unknown, format!("{}: {}", body.error, body.message)),
        }
    }
}
