//! Binary form of a batch: a version byte, a CRC-32 of the version byte and the body, and the body in `postcard` form.
//!
//! Later versions keep this header. An entry of another release is thus told apart from a damaged one: replicas pass over
//! damaged entries, but must not pass over what another release can read.

use super::Batch;

/// Version of the record format.
const FORMAT_VERSION: u8 = 1;
/// Version byte and checksum, in bytes.
const HEADER_BYTES: usize = 5;

/// Reason why bytes of the log are not a batch.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Fewer bytes than a header.
    #[error("record of {0} bytes is shorter than its header")]
    Short(usize),
    /// Format of another release.
    #[error("record format version {0} is not supported")]
    Version(u8),
    /// The checksum differs.
    #[error("record checksum does not match its body")]
    Checksum,
    /// The body does not parse.
    #[error("record body is malformed")]
    Body,
}

/// Encodes a batch for the log.
#[must_use]
pub fn encode(batch: &Batch) -> Vec<u8> {
    let body = postcard::to_stdvec(batch).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.push(FORMAT_VERSION);
    bytes.extend_from_slice(&checksum(FORMAT_VERSION, &body));
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes a log entry.
///
/// # Errors
///
/// Returns the first reason for which the bytes are not a batch of this format.
pub fn decode(bytes: &[u8]) -> Result<Batch, DecodeError> {
    let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(DecodeError::Short(bytes.len()));
    };
    if checksum(header[0], body) != header[1..] {
        return Err(DecodeError::Checksum);
    }
    if header[0] != FORMAT_VERSION {
        return Err(DecodeError::Version(header[0]));
    }
    postcard::from_bytes(body).map_err(|_| DecodeError::Body)
}

fn checksum(version: u8, body: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[version]);
    hasher.update(body);
    hasher.finalize().to_le_bytes()
}
