//! Parsing and forwarding of request headers.

use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use rattanfall_core::engine::event::Submission;
use rattanfall_core::record::{Class, KeyHash};
use rattanfall_wire::caller::{CLASS_HEADER, DEADLINE_HEADER, IDEMPOTENT_HEADER, parse_class};
use sha2::{Digest, Sha256};
use xitca_web::http::WebRequest;

use super::error::EdgeError;

/// Headers that are forwarded in neither direction: hop-by-hop headers, headers that the entry instance sets, and
/// credentials.
const UNFORWARDED_HEADERS: [&str; 16] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "authorization",
    "content-length",
    "x-request-id",
    "x-deadline-ms",
    "x-refused",
];

/// Returns the SHA-256 hash of the bearer key. The key itself is not stored.
pub(super) fn key_hash(headers: &HeaderMap) -> Result<Option<KeyHash>, EdgeError> {
    let Some(value) = headers.get(header::AUTHORIZATION) else {
        return Ok(None);
    };
    let malformed = EdgeError::MalformedHeader("authorization");
    let text = value.to_str().map_err(|_| malformed.clone())?;
    let key = text.strip_prefix("Bearer ").filter(|key| !key.is_empty()).ok_or(malformed)?;
    Ok(Some(Sha256::digest(key.as_bytes()).into()))
}

/// Parses the class of the work; normal if the header is absent.
pub(super) fn class(headers: &HeaderMap) -> Result<Class, EdgeError> {
    let text = text(headers, CLASS_HEADER)?;
    text.map_or(Ok(Class::Normal), |text| {
        parse_class(text).map_err(|_| EdgeError::MalformedHeader(CLASS_HEADER))
    })
}

/// Returns whether the work may run more than once. Without the header, the HTTP method decides.
pub(super) fn idempotent(method: &Method, headers: &HeaderMap) -> Result<bool, EdgeError> {
    match text(headers, IDEMPOTENT_HEADER)? {
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(EdgeError::MalformedHeader(IDEMPOTENT_HEADER)),
        None => Ok(method.is_idempotent()),
    }
}

/// Returns a header's value as text; an error if it is not visible ASCII.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, EdgeError> {
    let text = headers.get(name).map(HeaderValue::to_str).transpose();
    text.map_err(|_| EdgeError::MalformedHeader(name))
}

/// Returns the body's length; none for a chunked body, 0 if there is no body.
pub(super) fn length(headers: &HeaderMap) -> Result<Option<u64>, EdgeError> {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return Ok(None);
    }
    let Some(text) = text(headers, "content-length")? else {
        return Ok(Some(0));
    };
    text.parse().map(Some).map_err(|_| EdgeError::MalformedHeader("content-length"))
}

/// Parses the properties of a request that the engine schedules by.
pub(super) fn submission(request: &WebRequest<()>, pool: &str) -> Result<Submission, EdgeError> {
    let headers = request.headers();
    let deadline = text(headers, DEADLINE_HEADER)?;
    let deadline = deadline.map(|text| text.parse().map_err(|_| EdgeError::MalformedHeader(DEADLINE_HEADER)));
    Ok(Submission {
        key: key_hash(headers)?,
        pool: pool.to_owned(),
        class: class(headers)?,
        idempotent: idempotent(request.method(), headers)?,
        deadline_ms: deadline.transpose()?,
    })
}

/// Copies the headers to forward, without those that the `connection` header names.
pub(super) fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> =
        named.flat_map(|list| list.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect();
    let own = |name: &HeaderName| {
        UNFORWARDED_HEADERS.contains(&name.as_str()) || named.iter().any(|n| n == name.as_str())
    };
    headers.iter().filter(|(name, _)| !own(name)).map(|(name, value)| (name.clone(), value.clone())).collect()
}
