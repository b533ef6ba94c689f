//! Changes by operators. Each change becomes a record; the response is sent once the record has an offset.

use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use rattanfall_core::engine::command::ProposalError;
use rattanfall_core::fleet::{Effect, Fleet};
use rattanfall_core::ids::{KeyId, WorkerId};
use rattanfall_core::record::{KeyHash, Record};
use rattanfall_wire::operator::{Accepted, ChangeZone, Config, GrantKey, MoveWorker};
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use xitca_web::body::{Body, Frame, RequestBody};
use xitca_web::http::WebResponse;

use super::Operators;
use super::response::{OperatorError, json};

/// Largest request body of a change, in bytes. A declaration of 88 teams and 34 pools has a few tens of kilobytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Time limit for reading a request body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a record's offset. The engine normally resolves a proposal earlier.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Headers and body of a request.
pub(super) type RequestParts<'a> = (&'a HeaderMap, RequestBody);

/// Replaces the declaration.
pub(super) async fn configure(
    operators: &Operators,
    parts: RequestParts<'_>,
) -> Result<WebResponse, OperatorError> {
    let Config { version, declaration } = read(parts, false).await?;
    let problems: Vec<String> = declaration.validate().iter().map(ToString::to_string).collect();
    if !problems.is_empty() {
        return Err(OperatorError::Invalid(problems.join("; ")));
    }
    propose(operators, Record::ConfigChanged { base: version, declaration }).await
}

/// Grants a team an access key, of which only the hash is sent.
pub(super) async fn grant_key(
    operators: &Operators,
    parts: RequestParts<'_>,
) -> Result<WebResponse, OperatorError> {
    let GrantKey { team, hash } = read(parts, false).await?;
    let malformed = || OperatorError::Malformed("the hash must have 64 hexadecimal digits".into());
    let hash = parse_hash(&hash).ok_or_else(malformed)?;
    propose(operators, Record::KeyGranted { team, hash }).await
}

/// Parses a hash of 64 hexadecimal digits.
fn parse_hash(text: &str) -> Option<KeyHash> {
    let mut hash = KeyHash::default();
    if text.len() != 2 * hash.len() || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return None;
    }
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * index..2 * index + 2)?, 16).ok()?;
    }
    Some(hash)
}

/// Withdraws an access key. The id may have the prefix `key-`.
pub(super) async fn withdraw_key(operators: &Operators, id: &str) -> Result<WebResponse, OperatorError> {
    let key = id.strip_prefix("key-").unwrap_or(id).parse().map_err(|_| OperatorError::Unknown("key"))?;
    propose(operators, Record::KeyWithdrawn { key: KeyId(key) }).await
}

/// Removes or restores an availability zone. Without a version, the current one is used.
pub(super) async fn change_zone(
    operators: &Operators,
    zone: &str,
    remove: bool,
    parts: RequestParts<'_>,
) -> Result<WebResponse, OperatorError> {
    let change: ChangeZone = read(parts, true).await?;
    let current =
        find(operators, "availability zone", |fleet| Some(fleet.zones.get(&fleet.zone(zone)?)?.version))?;
    let (zone, base) = (zone.to_owned(), change.version.unwrap_or(current));
    let record =
        if remove { Record::ZoneRemoved { zone, base } } else { Record::ZoneRestored { zone, base } };
    propose(operators, record).await
}

/// Drains a worker, which is then rebooted into its pool.
pub(super) async fn drain(operators: &Operators, name: &str) -> Result<WebResponse, OperatorError> {
    let worker = worker(operators, name)?;
    propose(operators, Record::DrainStarted { worker }).await
}

/// Moves a worker to another pool.
pub(super) async fn move_worker(
    operators: &Operators,
    name: &str,
    parts: RequestParts<'_>,
) -> Result<WebResponse, OperatorError> {
    let MoveWorker { pool } = read(parts, false).await?;
    let worker = worker(operators, name)?;
    propose(operators, Record::MoveLeft { worker, to: pool }).await
}

/// Starts a maintenance wave, which drains and reboots every worker of a pool.
pub(super) async fn maintain(operators: &Operators, pool: &str) -> Result<WebResponse, OperatorError> {
    propose(operators, Record::WaveStarted { pool: pool.to_owned() }).await
}

fn worker(operators: &Operators, name: &str) -> Result<WorkerId, OperatorError> {
    find(operators, "worker", |fleet| fleet.worker(name))
}

fn find<T>(
    operators: &Operators,
    entity: &'static str,
    find: impl FnOnce(&Fleet) -> Option<T>,
) -> Result<T, OperatorError> {
    operators.shell.read(|engine| find(engine.fleet())).ok_or(OperatorError::Unknown(entity))
}

async fn propose(operators: &Operators, record: Record) -> Result<WebResponse, OperatorError> {
    let resolution = timeout(RESOLVE_TIMEOUT, operators.shell.propose(record)).await;
    let Ok(Ok(resolution)) = resolution else {
        return Err(ProposalError::Unknown.into());
    };
    let (offset, effect) = resolution?;
    let value = match effect {
        Effect::Configured(version) | Effect::Zone(version) => Some(version),
        Effect::Key(key) => Some(key.0.into()),
        _ => None,
    };
    Ok(json(StatusCode::OK, &Accepted { offset: offset.0, value }))
}

/// Reads a JSON body. If `optional` is set, an empty body counts as `{}`.
async fn read<T: DeserializeOwned>(
    (headers, body): RequestParts<'_>,
    optional: bool,
) -> Result<T, OperatorError> {
    let length =
        headers.get(http::header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    let length: usize = length.unwrap_or(0);
    if headers.contains_key(http::header::TRANSFER_ENCODING) {
        return Err(OperatorError::Malformed("the body needs a content-length".into()));
    }
    if length > MAX_BODY_BYTES {
        return Err(OperatorError::Malformed(format!("the body must not exceed {MAX_BODY_BYTES} bytes")));
    }
    let late = |_| OperatorError::Malformed("the body did not arrive in time".into());
    let bytes = timeout(READ_TIMEOUT, collect(body)).await.map_err(late)?;
    if bytes.len() != length {
        return Err(OperatorError::Malformed("the body ended early".into()));
    }
    let bytes = if bytes.is_empty() && optional { b"{}".to_vec() } else { bytes };
    serde_json::from_slice(&bytes).map_err(|error| OperatorError::Malformed(error.to_string()))
}

async fn collect(mut body: RequestBody) -> Vec<u8> {
    let mut bytes = Vec::new();
    while let Some(Ok(frame)) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
        if let Frame::Data(part) = frame {
            bytes.extend_from_slice(&part);
        }
    }
    bytes
}
