//! Tasks: submission, results, cancellation and refusals.

mod support;

use rattanfall_core::record::Record;
use support::harness::{Harness, KEY, OTHER_KEY};
use support::http::send;
use support::until;

async fn submit(harness: &Harness, headers: &[&str]) -> support::http::Response {
    send(harness.instance.callers(), "POST", "/v1/pools/quotes/tasks", headers, b"colours").await
}

async fn state(harness: &Harness, id: &str) -> serde_json::Value {
    send(harness.instance.callers(), "GET", &format!("/v1/tasks/{id}"), &[KEY], b"").await.json()
}

/// Guards against an accepted task that never runs, and against a result that its team cannot read (P12).
#[tokio::test(flavor = "multi_thread")]
async fn runs_a_task_to_its_end() {
    let harness = Harness::start().await;
    let accepted = submit(&harness, &[KEY]).await;
    assert_eq!(accepted.status, 202, "{}", accepted.text());
    let id = accepted.json()["id"].as_str().unwrap().to_owned();
    until("the end of the task", || async { state(&harness, &id).await["state"] == "done" }).await;
    assert_eq!(state(&harness, &id).await["result"], "result of the task");
    let starts = harness.worker.state.lock().starts.clone();
    assert_eq!(starts.len(), 1);
    assert_eq!((starts[0].lease, starts[0].payload.as_str()), (3, "Y29sb3Vycw=="));
    let path = format!("/v1/explain/tasks/{id}");
    let explained = harness.operate("GET", &path, b"").await.json();
    assert!(explained["reasons"][0].as_str().unwrap().starts_with("it is done"), "{explained}");
}

/// Guards against a second task from a repeated submission.
#[tokio::test(flavor = "multi_thread")]
async fn returns_the_first_task_for_a_repeated_token() {
    let harness = Harness::start().await;
    let first = submit(&harness, &[KEY, "x-submit-token: sweep-1"]).await.json();
    let second = submit(&harness, &[KEY, "x-submit-token: sweep-1"]).await.json();
    assert_eq!(first["id"], second["id"]);
}

/// Guards against tasks that another team can see or cancel (P3).
#[tokio::test(flavor = "multi_thread")]
async fn hides_tasks_from_other_teams() {
    let harness = Harness::start().await;
    assert_eq!(harness.operate("POST", "/v1/zones/zone-a/remove", b"").await.status, 200);
    let id = submit(&harness, &[KEY]).await.json()["id"].as_str().unwrap().to_owned();
    let path = format!("/v1/tasks/{id}");
    let to = harness.instance.callers();
    for method in ["GET", "DELETE"] {
        for headers in [&[][..], &[OTHER_KEY], &["authorization: Bearer nobody"]] {
            let response = send(to, method, &path, headers, b"").await;
            assert_eq!(
                (response.status, response.header("x-reason")),
                (404, "no-task"),
                "{method} {headers:?}"
            );
        }
    }
    assert_eq!(harness.platform.count(|record| matches!(record, Record::TaskCancelled { .. })), 0);
    let cancelled = send(to, "DELETE", &path, &[KEY], b"").await;
    assert_eq!((cancelled.status, cancelled.json()["state"].as_str()), (202, Some("cancelled")));
    assert_eq!(cancelled.header("x-outcome"), "not-run");
    let again = send(to, "DELETE", &path, &[KEY], b"").await;
    assert_eq!((again.status, again.header("x-reason")), (409, "task-ended"));
}

/// Guards against accepting a payload above the declared size, and against a task that is lost in an outage without
/// an error.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_large_payloads_and_tasks_during_an_outage() {
    let harness = Harness::start().await;
    let to = harness.instance.callers();
    let large = vec![b'p'; 70_000];
    let response = send(to, "POST", "/v1/pools/quotes/tasks", &[KEY], &large).await;
    assert_eq!((response.status, response.header("x-reason")), (413, "too-large"));
    harness.platform.set_down(true);
    let response = submit(&harness, &[KEY]).await;
    let end = (response.header("x-outcome").to_owned(), response.header("x-reason").to_owned());
    assert_eq!((response.status, end), (504, ("unknown".into(), "append-unknown".into())));
    let response = submit(&harness, &[KEY]).await;
    assert_eq!((response.status, response.header("x-reason")), (503, "platform-unavailable"));
    assert_eq!(response.header("x-outcome"), "not-run");
}
