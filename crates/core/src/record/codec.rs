//! Binary format of a batch: a version byte, a CRC-32 of the version byte and the body, and the body in `postcard`
//! format.
//!
//! Later versions keep this header, so that an entry of another release can be told from a damaged one: replicas skip
//! damaged entries, but must not skip entries that another release can read.

use super::Batch;

/// Version of the record format; the only one that this release reads.
const FORMAT_VERSION: u8 = 1;
/// Size of the version byte and the checksum.
const HEADER_BYTES: usize = 5;

/// Error of a log entry that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The entry has fewer bytes than the header.
    #[error("record of {0} bytes is shorter than its header")]
    Short(usize),
    /// The format version belongs to another release.
    #[error("record format version {0} is not supported")]
    Version(u8),
    /// The checksum does not match.
    #[error("record checksum does not match its body")]
    Checksum,
    /// The checksum matches, but the body does not parse.
    #[error("record body is malformed")]
    Body,
}

/// Encodes a batch as a log entry.
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
/// Fails if the entry is damaged or has another format version.
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
