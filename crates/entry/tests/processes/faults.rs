//! Faults of connections to workers and of their responses.

use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::support::{Fleet, Response, Setup, until};

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(800);
/// Time that a response may take beyond the deadline on a busy machine.
const MARGIN: Duration = Duration::from_millis(1_000);

async fn send_concurrently(fleet: &Fleet, name: &str) -> Vec<(String, Result<Response, String>, Duration)> {
    let mut calls = JoinSet::new();
    for number in 0..4 {
        let (mut caller, token) = (fleet.caller(0), format!("{name}-{number}"));
        calls.spawn(async move {
            let start = Instant::now();
            let response = caller.work(&token, 100, &[("x-deadline-ms", "800")]).await;
            (token, response, start.elapsed())
        });
    }
    calls.join_all().await
}

/// Whether this is the complete response to the request with this token.
fn is_own_response(token: &str, response: &Result<Response, String>) -> bool {
    response.as_ref().is_ok_and(|a| a.status == 200 && a.body.trim_end_matches('.') == format!("{token}\n"))
}

/// Guards against requests that wait on an unresponsive connection beyond their deadline, and against sending later
/// requests on the same connection.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unresponsive_connections_delay_no_request_beyond_its_deadline() {
    let fleet = Fleet::start(Setup { entries: 1, workers: vec![(1, "zone-a")], ..Setup::default() }).await;
    for (token, response, _) in send_concurrently(&fleet, "before").await {
        assert!(is_own_response(&token, &response), "{response:?}");
    }
    fleet.worker_faults(json!({ "silence_open": true })).await;
    let mut interrupted = 0;
    for (token, response, took) in send_concurrently(&fleet, "silent").await {
        assert!(took < DEADLINE + MARGIN, "{token} took {took:?}");
        let response = response.unwrap();
        if !is_own_response(&token, &Ok(response.clone())) {
            assert_eq!(response.header("x-outcome"), "unknown", "{response:?}");
            interrupted += 1;
        }
    }
    assert!(interrupted > 0, "no request used an unresponsive connection");
    for (token, response, _) in send_concurrently(&fleet, "after").await {
        assert!(is_own_response(&token, &response), "{response:?}");
    }
    fleet.close();
}

/// Guards against a caller that receives the response to another request, or part of a response as a complete one.
#[rstest]
#[case::late(json!({ "late_ms": 1_000 }))]
#[case::crossed(json!({ "crossed": true }))]
#[case::truncated(json!({ "truncated": true }))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_faulty_response_is_never_passed_on(#[case] faults: Value) {
    let fleet = Fleet::start(Setup { entries: 1, workers: vec![(1, "zone-a")], ..Setup::default() }).await;
    fleet.worker_faults(faults).await;
    for (token, response, took) in send_concurrently(&fleet, "faulty").await {
        assert!(took < DEADLINE + MARGIN, "{token} took {took:?}");
        let done = response.as_ref().is_ok_and(|a| a.status == 200 || a.header("x-outcome") == "done");
        assert!(!done || is_own_response(&token, &response), "{token}: {response:?}");
    }
    let more = [("x-deadline-ms", "800"), ("x-answer-bytes", "300000")];
    for number in 0..3 {
        let token = format!("large-{number}");
        let response = fleet.caller(0).work(&token, 0, &more).await;
        let whole = |a: &Response| a.body.len() == 300_000 && a.body.starts_with(&format!("{token}\n"));
        let done = response.as_ref().is_ok_and(|a| a.status == 200);
        assert!(!done || response.as_ref().is_ok_and(whole), "{token} has a wrong or partial response");
    }
    fleet.worker_faults(json!({})).await;
    until("requests succeed again", async || {
        let response = fleet.caller(0).work("again", 0, &[]).await;
        is_own_response("again", &response).then_some(())
    })
    .await;
    for (token, response, _) in send_concurrently(&fleet, "after").await {
        assert!(is_own_response(&token, &response), "{token}: {response:?}");
    }
    fleet.close();
}
