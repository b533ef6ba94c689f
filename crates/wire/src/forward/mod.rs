//! RPC interface through which an entry instance forwards records of the intake to another one: the `tarpc` service and
//! its types.

use std::fmt;

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Protocol version. Connections to instances of another version are refused.
pub const FORWARD_VERSION: u32 = 2;

/// First message on a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u32,
    /// Name of the sending process.
    pub name: String,
}

/// Response to the first message.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Welcome {
    /// Protocol version of the receiver.
    pub version: u32,
    /// Maximum size of the records of a call, keys and values, in bytes.
    pub max_bytes: u64,
}

/// Reason why an instance does not process a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ForwardError {
    /// The protocol versions differ, or no hello was sent.
    Version {
        /// Protocol version of the receiver.
        ours: u32,
    },
}

/// Record of the intake.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Encoded value, passed on unchanged.
    pub value: Bytes,
}

/// Byte string, encoded as a whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Bytes(pub Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = Bytes;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a byte string")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Bytes, E> {
        Ok(Bytes(bytes.to_vec()))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Bytes, E> {
        Ok(Bytes(bytes))
    }
}

/// Why a receiver that owns the work declines a submission.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reason {
    /// The team sends more than it is owed, and there is no room for more.
    Share,
    /// The job can't be done by its objective.
    Deadline,
    /// The accepted jobs take all the memory that they may.
    Memory,
}

/// Outcome of a forwarded record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The record is stored.
    Stored,
    /// The record is not stored, nor will it be by the receiver.
    Refused,
    /// The record may be stored.
    Unknown,
    /// The receiver declines the job. The record is not stored, nor will it be by the receiver.
    Declined {
        /// Why.
        reason: Reason,
        /// Time after which the job will be admitted, in milliseconds.
        retry_ms: u64,
    },
}

/// Calls between entry instances.
#[tarpc::service]
pub trait Forwarding {
    /// Checks that both sides use the same protocol version.
    async fn hello(hello: Hello) -> Result<Welcome, ForwardError>;
    /// Stores records of the intake within a time in milliseconds. Returns an outcome for each record, in their order.
    async fn forward(records: Vec<Record>, wait_ms: u64) -> Result<Vec<Outcome>, ForwardError>;
}
