//! Checks that an answer is complete and belongs to its request.

use http::HeaderMap;

use super::Violation;

/// Header with the token of the work item; workers echo it.
pub(super) const TOKEN_HEADER: &str = "x-caller-token";
/// Response header with the size of the request body that the worker received.
const RECEIVED_HEADER: &str = "x-received-bytes";

/// Checks a worker's answer: the echoed token, the received size, and the body, which consists of the token, a line
/// feed and dots up to the requested size.
///
/// # Errors
///
/// Returns the violated guarantee.
pub fn verify(
    token: &str,
    answer_bytes: usize,
    body_bytes: usize,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<(), Violation> {
    let echoed = headers.get(TOKEN_HEADER);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != token.as_bytes()) {
        return Err(Violation::CrossedAnswer);
    }
    let own = [token.as_bytes(), b"\n"].concat();
    let size = answer_bytes.max(own.len());
    if !body.starts_with(&own[..own.len().min(body.len())]) {
        return Err(Violation::CrossedAnswer);
    }
    let filled = body.get(own.len()..).is_some_and(|rest| rest.iter().all(|byte| *byte == b'.'));
    if body.len() != size || !filled {
        return Err(Violation::TruncatedAnswer);
    }
    let received = headers.get(RECEIVED_HEADER).and_then(|value| value.to_str().ok());
    if received.is_some_and(|received| received != body_bytes.to_string()) {
        return Err(Violation::TruncatedAnswer);
    }
    Ok(())
}
