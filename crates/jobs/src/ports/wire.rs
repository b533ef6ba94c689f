//! Conversions between the types of the port to other instances and those of the wire.

use rattanfall_wire::forward::{Bytes, Outcome, Reason, Record};
use thiserror::Error;

use super::Forwarded;
use crate::dispatch::admission::Decline;
use crate::record::Entry;

/// Maximum size of a key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Key of a forwarded record that no instance sends.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
#[error("a key has {0} bytes instead of 1 to {MAX_KEY_BYTES}")]
pub struct BadKey(pub usize);

impl From<&Entry> for Record {
    fn from(entry: &Entry) -> Self {
        Self { key: entry.key.clone(), value: Bytes(entry.value.clone()) }
    }
}

impl TryFrom<Record> for Entry {
    type Error = BadKey;

    fn try_from(record: Record) -> Result<Self, BadKey> {
        match record.key.len() {
            1..=MAX_KEY_BYTES => Ok(Self { key: record.key, value: record.value.0 }),
            bytes => Err(BadKey(bytes)),
        }
    }
}

impl From<Outcome> for Forwarded {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Stored => Self::Stored,
            Outcome::Refused => Self::Refused,
            Outcome::Unknown => Self::Unknown,
            Outcome::Declined { reason, retry_ms } => Self::Declined { reason: reason.into(), retry_ms },
        }
    }
}

impl From<Forwarded> for Outcome {
    fn from(forwarded: Forwarded) -> Self {
        match forwarded {
            Forwarded::Stored => Self::Stored,
            Forwarded::Declined { reason, retry_ms } => Self::Declined { reason: reason.into(), retry_ms },
            Forwarded::Refused => Self::Refused,
            Forwarded::Unreachable | Forwarded::Unknown => Self::Unknown,
        }
    }
}

impl From<Reason> for Decline {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::Share => Self::Share,
            Reason::Deadline => Self::Deadline,
            Reason::Memory => Self::Memory,
        }
    }
}

impl From<Decline> for Reason {
    fn from(reason: Decline) -> Self {
        match reason {
            Decline::Share => Self::Share,
            Decline::Deadline => Self::Deadline,
            Decline::Memory => Self::Memory,
        }
    }
}
