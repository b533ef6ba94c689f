//! Requests from a caller to a worker and back, with the faults of workers and callers.

mod support;

use rattanfall_entry::options::RawSettings;
use rstest::rstest;
use support::harness::{Harness, KEY};
use support::http::{read_response, send_raw};
use support::until;
use support::worker::Mode;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Guards against losing the path, the query, the body or the outcome on the way.
#[tokio::test(flavor = "multi_thread")]
async fn passes_a_request_on() {
    let harness = Harness::start().await;
    let response = harness.call("POST", &[KEY, "x-mine: 1", "x-deadline-ms: 3000"], b"hello").await;
    assert_eq!((response.status, response.text().as_str()), (200, "hello"));
    assert_eq!(response.header("x-outcome"), "done");
    let ran = harness.worker.state.lock().ran.clone();
    assert_eq!(ran.len(), 1);
    assert_eq!(ran[0].path, "/echo?x=1");
    assert_eq!(ran[0].headers["x-pool"], "quotes");
    assert_eq!(ran[0].headers["x-mine"], "1");
    assert!(ran[0].headers["x-deadline-ms"].parse::<u64>().unwrap() <= 3_000);
    assert!(!ran[0].headers.contains_key("authorization"), "the key reached a worker");
}

/// Guards against a refusal whose status, headers and body disagree (P3, P7).
#[rstest]
#[case::missing(&[], 401, "key-missing")]
#[case::unknown(&["authorization: Bearer nobody"], 403, "key-unknown")]
#[tokio::test(flavor = "multi_thread")]
async fn refuses_work_without_a_valid_key(
    #[case] headers: &[&str],
    #[case] status: u16,
    #[case] reason: &str,
) {
    let harness = Harness::start().await;
    let response = harness.call("GET", headers, b"").await;
    assert_eq!(response.status, status);
    assert_eq!(response.header("x-outcome"), "not-run");
    assert_eq!(response.header("x-reason"), reason);
    assert_eq!(response.json()["reason"], reason);
    assert_eq!(response.json()["outcome"], "not-run");
    assert_eq!(harness.worker.ran(), 0);
}

/// Guards against passing another request's answer to a caller, and against a second run of a request that may not
/// run twice (P6, P8).
#[rstest]
#[case::crossed(Mode::Crossed, 502, "corrupt-answer")]
#[case::truncated(Mode::Truncated(1_000, 10), 502, "corrupt-answer")]
#[case::closed(Mode::Close, 502, "connection-broken")]
#[case::silent(Mode::Silent, 504, "timed-out")]
#[tokio::test(flavor = "multi_thread")]
async fn reports_an_unknown_end(#[case] mode: Mode, #[case] status: u16, #[case] reason: &str) {
    let harness = Harness::start().await;
    harness.worker.next([mode]);
    let response = harness.call("POST", &[KEY, "x-deadline-ms: 500"], b"once").await;
    assert_eq!((response.status, response.header("x-outcome")), (status, "unknown"));
    assert_eq!(response.header("x-reason"), reason);
    assert_eq!(harness.worker.ran(), 1, "a non-idempotent request ran again");
}

/// Lets every request be retried: the usual budget of 10% allows no retry after an unknown end among the
/// first requests of a test.
fn allow_retries(texts: &mut RawSettings) {
    texts.insert("retry-percent", "100".into());
}

/// Guards against giving up a request that can be repeated, and against repeating it on the broken connection.
#[rstest]
#[case::crossed(Mode::Crossed)]
#[case::truncated(Mode::Truncated(1_000, 10))]
#[case::closed(Mode::Close)]
#[tokio::test(flavor = "multi_thread")]
async fn repeats_an_idempotent_request(#[case] mode: Mode) {
    let harness = Harness::start_with(allow_retries).await;
    harness.worker.next([mode]);
    let response = harness.call("PUT", &[KEY], b"twice").await;
    assert_eq!(
        (response.status, response.text().as_str()),
        (200, "twice"),
        "{}",
        response.header("x-reason")
    );
    assert_eq!(harness.worker.ran(), 2);
}

/// Guards against treating a refusal as an answer or as a run: a refused request did not run and may be sent again.
#[rstest]
#[case("full")]
#[case("leaving")]
#[tokio::test(flavor = "multi_thread")]
async fn sends_a_refused_request_again(#[case] reason: &'static str) {
    let harness = Harness::start().await;
    harness.worker.next([Mode::Refuse(reason)]);
    let response = harness.call("POST", &[KEY], b"once").await;
    assert_eq!((response.status, response.text().as_str()), (200, "once"), "{}", response.header("x-reason"));
    assert_eq!((harness.worker.ran(), harness.worker.state.lock().refused), (1, 1));
}

/// Guards against a short answer that looks complete, when part of it was passed on already (P6).
#[tokio::test(flavor = "multi_thread")]
async fn breaks_the_callers_answer_when_a_large_one_is_truncated() {
    let harness = Harness::start().await;
    harness.worker.next([Mode::Truncated(1 << 20, 300_000)]);
    let response = harness.call("PUT", &[KEY], b"").await;
    assert!(!response.complete, "a truncated answer looked complete: {} bytes", response.body.len());
    assert_eq!(harness.worker.ran(), 1, "an answer that was partly passed on was repeated");
    let next = harness.call("GET", &[KEY], b"").await;
    assert_eq!(next.status, 200);
}

/// Guards against loss in streamed bodies, both ways.
#[tokio::test(flavor = "multi_thread")]
async fn streams_large_bodies() {
    let harness = Harness::start().await;
    let body: Vec<u8> = (0..3_000_000_u32).map(|n| n as u8).collect();
    let response = harness.call("POST", &[KEY], &body).await;
    assert_eq!(response.status, 200, "{}", response.text());
    assert!(response.complete && response.body == body);
}

/// Guards against sending half a body again: a large body can be sent once, and a refusal still means not run.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_large_body_that_a_worker_refused() {
    let harness = Harness::start().await;
    harness.worker.next([Mode::Refuse("leaving")]);
    let response = harness.call("PUT", &[KEY], &vec![b'x'; 500_000]).await;
    assert_eq!((response.status, response.header("x-outcome")), (503, "not-run"));
    assert_eq!(response.header("x-reason"), "body-used");
    assert_eq!(harness.worker.ran(), 0);
}

/// Guards against work that goes on waiting, or a slot that stays taken, after its caller hung up.
#[tokio::test(flavor = "multi_thread")]
async fn ends_a_request_whose_caller_hangs_up() {
    let harness = Harness::start().await;
    harness.worker.next([Mode::Held]);
    let mut caller = TcpStream::connect(harness.instance.callers()).await.unwrap();
    let head = format!("GET /v1/pools/quotes/call/slow HTTP/1.1\r\nhost: t\r\n{KEY}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.unwrap();
    until("the run", || async { harness.worker.ran() == 1 }).await;
    drop(caller);
    until("the end of the request", || async { harness.instance.edge.get("hung-up") == 1 }).await;
    let now = harness.instance.shell.now();
    let view = harness.instance.shell.read(|engine| engine.view(now));
    assert!(view.running.values().all(|running| *running == 0), "{view:?}");
}

/// Guards against malformed requests that are answered twice, not at all, or passed on.
#[rstest]
#[case::no_length(
    "POST /v1/pools/quotes/call/a HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    411,
    "no-length"
)]
#[case::short(
    "POST /v1/pools/quotes/call/a HTTP/1.1\r\nhost: t\r\ncontent-length: 10\r\n\r\nshort",
    400,
    "body-ended-early"
)]
#[case::too_large(
    "POST /v1/pools/quotes/call/a HTTP/1.1\r\nhost: t\r\nauthorization: Bearer key-of-growers\r\ncontent-length: 99999999\r\n\r\n",
    413,
    "too-large"
)]
#[case::class("GET /v1/pools/quotes/call/a HTTP/1.1\r\nhost: t\r\nx-class: soon\r\n\r\n", 400, "header")]
#[case::path("GET /v2 HTTP/1.1\r\nhost: t\r\n\r\n", 404, "no-route")]
#[case::not_http("nonsense\r\n\r\n", 400, "malformed")]
#[case::two_lengths(
    "POST /v1/pools/quotes/call/a HTTP/1.1\r\nhost: t\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
    400,
    "malformed"
)]
#[tokio::test(flavor = "multi_thread")]
async fn answers_a_malformed_request_once(
    #[case] bytes: &str,
    #[case] status: u16,
    #[case] counted: &'static str,
) {
    let harness = Harness::start().await;
    let mut caller = TcpStream::connect(harness.instance.callers()).await.unwrap();
    caller.write_all(bytes.as_bytes()).await.unwrap();
    caller.shutdown().await.unwrap();
    let response = read_response(&mut caller, false).await.expect("an answer");
    assert_eq!(response.status, status, "{}", response.text());
    until("the count", || async { harness.instance.edge.get(counted) == 1 }).await;
    assert!(read_response(&mut caller, false).await.is_none(), "a second answer");
    assert_eq!(harness.worker.ran(), 0);
    assert_eq!(harness.call("GET", &[KEY], b"").await.status, 200);
}

/// Guards against heads without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_an_oversized_head() {
    let harness = Harness::start().await;
    let head = format!("GET / HTTP/1.1\r\nhost: t\r\nx-long: {}", "l".repeat(70_000));
    let response = send_raw(harness.instance.callers(), head.as_bytes()).await.expect("an answer");
    assert_eq!(response.status, 431);
    until("the count", || async { harness.instance.edge.get("malformed") == 1 }).await;
}

/// Guards against requests that a worker that closed its port may have run: nothing was sent, so the end is not-run.
#[tokio::test(flavor = "multi_thread")]
async fn says_not_run_when_no_connection_can_be_made() {
    let harness = Harness::start().await;
    let row = rattanfall_wire::platform::Instance {
        address: "127.0.0.1:9".into(),
        nonce: 8,
        ..harness.worker.listed("zone-a")
    };
    harness.platform.state.lock().instances = vec![row];
    until("the new address", || async {
        harness
            .instance
            .shell
            .read(|engine| engine.fleet().workers.values().any(|w| w.address == "127.0.0.1:9"))
    })
    .await;
    let response = harness.call("POST", &[KEY, "x-deadline-ms: 400"], b"once").await;
    assert_eq!(
        (response.status, response.header("x-outcome")),
        (503, "not-run"),
        "{}",
        response.header("x-reason")
    );
}
