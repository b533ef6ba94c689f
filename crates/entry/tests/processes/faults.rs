//! Faults of the connection to a worker and of its answers.

use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::support::{Answer, Fleet, Setup, until};

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(800);
/// Time for an answer beyond the deadline on a busy machine.
const MARGIN: Duration = Duration::from_millis(1_000);

async fn at_once(fleet: &Fleet, name: &str) -> Vec<(String, Result<Answer, String>, Duration)> {
    let mut calls = JoinSet::new();
    for number in 0..4 {
        let (mut caller, token) = (fleet.caller(0), format!("{name}-{number}"));
        calls.spawn(async move {
            let start = Instant::now();
            let answer = caller.work(&token, 100, &[("x-deadline-ms", "800")]).await;
            (token, answer, start.elapsed())
        });
    }
    calls.join_all().await
}

/// Whether this is the whole answer to the own request.
fn is_own(token: &str, answer: &Result<Answer, String>) -> bool {
    answer.as_ref().is_ok_and(|a| a.status == 200 && a.body.trim_end_matches('.') == format!("{token}\n"))
}

/// Guards against requests that wait on a silent connection beyond their deadline, and against later requests on
/// the same connection.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_cost_one_deadline() {
    let fleet = Fleet::start(Setup { entries: 1, workers: vec![(1, "zone-a")], ..Setup::default() }).await;
    for (token, answer, _) in at_once(&fleet, "before").await {
        assert!(is_own(&token, &answer), "{answer:?}");
    }
    fleet.worker_faults(json!({ "silence_open": true })).await;
    let mut cut = 0;
    for (token, answer, took) in at_once(&fleet, "silent").await {
        assert!(took < DEADLINE + MARGIN, "{token} took {took:?}");
        let answer = answer.unwrap();
        if !is_own(&token, &Ok(answer.clone())) {
            assert_eq!(answer.header("x-outcome"), "unknown", "{answer:?}");
            cut += 1;
        }
    }
    assert!(cut > 0, "no request met a silent connection");
    for (token, answer, _) in at_once(&fleet, "after").await {
        assert!(is_own(&token, &answer), "{answer:?}");
    }
    fleet.close();
}

/// Guards against a caller that receives the answer to another request, or part of an answer as a whole one.
#[rstest]
#[case::late(json!({ "late_ms": 1_000 }))]
#[case::crossed(json!({ "crossed": true }))]
#[case::truncated(json!({ "truncated": true }))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_faulty_answer_is_never_passed_on(#[case] faults: Value) {
    let fleet = Fleet::start(Setup { entries: 1, workers: vec![(1, "zone-a")], ..Setup::default() }).await;
    fleet.worker_faults(faults).await;
    for (token, answer, took) in at_once(&fleet, "faulty").await {
        assert!(took < DEADLINE + MARGIN, "{token} took {took:?}");
        let done = answer.as_ref().is_ok_and(|a| a.status == 200 || a.header("x-outcome") == "done");
        assert!(!done || is_own(&token, &answer), "{token}: {answer:?}");
    }
    let more = [("x-deadline-ms", "800"), ("x-answer-bytes", "300000")];
    for number in 0..3 {
        let token = format!("large-{number}");
        let answer = fleet.caller(0).work(&token, 0, &more).await;
        let whole = |a: &Answer| a.body.len() == 300_000 && a.body.starts_with(&format!("{token}\n"));
        let done = answer.as_ref().is_ok_and(|a| a.status == 200);
        assert!(!done || answer.as_ref().is_ok_and(whole), "{token} has another answer or a part");
    }
    fleet.worker_faults(json!({})).await;
    until("requests succeed again", async || {
        let answer = fleet.caller(0).work("again", 0, &[]).await;
        is_own("again", &answer).then_some(())
    })
    .await;
    for (token, answer, _) in at_once(&fleet, "after").await {
        assert!(is_own(&token, &answer), "{token}: {answer:?}");
    }
    fleet.close();
}
