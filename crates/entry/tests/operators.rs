//! The HTTP interface for operators.

mod support;

use rattanfall_core::record::Record;
use rstest::rstest;
use serde_json::json;
use support::harness::{CREDENTIAL, Harness, KEY, settings, start};
use support::http::send;
use support::until;

/// Guards against access without the credential, and against health checks that require it.
#[tokio::test(flavor = "multi_thread")]
async fn requires_the_credential() {
    let harness = Harness::start().await;
    let to = harness.instance.operators();
    for wrong in
        [&[][..], &["authorization: Bearer operators-credentia"], &["authorization: operators-credential"]]
    {
        let response = send(to, "GET", "/v1/config", wrong, b"").await;
        assert_eq!((response.status, response.json()["error"].as_str()), (401, Some("credential")));
    }
    assert_eq!(send(to, "GET", "/v1/config", &[CREDENTIAL], b"").await.status, 200);
    for open in ["/healthz", "/readyz", "/metrics"] {
        assert_eq!(send(to, "GET", open, &[], b"").await.status, 200, "{open}");
    }
}

/// Guards against a refused change with a status or an error code that does not match the reason.
#[rstest]
#[case::conflict("PUT", "/v1/config", json!({"version": 0, "declaration": {"pools": {"quotes": {"min_serving": 0}}}}), 409, "conflict")]
#[case::invalid("PUT", "/v1/config", json!({"version": 1, "declaration": {"teams": {"t": {"share": 0, "limit": 0}}}}), 422, "invalid")]
#[case::malformed("PUT", "/v1/config", json!({"version": 1, "declaration": {"pool": {}}}), 400, "malformed")]
#[case::team("POST", "/v1/keys", json!({"team": "nobody", "hash": "0".repeat(64)}), 404, "unknown-entity")]
#[case::hash("POST", "/v1/keys", json!({"team": "growers", "hash": "0123"}), 400, "malformed")]
#[case::key("DELETE", "/v1/keys/99", json!({}), 404, "unknown-entity")]
#[case::zone("POST", "/v1/zones/nowhere/remove", json!({}), 404, "unknown-entity")]
#[case::zone_version("POST", "/v1/zones/zone-a/remove", json!({"version": 7}), 409, "conflict")]
#[case::restored("POST", "/v1/zones/zone-a/restore", json!({}), 409, "state")]
#[case::worker("POST", "/v1/workers/w9/drain", json!({}), 404, "unknown-entity")]
#[case::move_pool("POST", "/v1/workers/w1/move", json!({"pool": "nowhere"}), 404, "unknown-entity")]
#[case::pool("POST", "/v1/pools/nowhere/maintenance", json!({}), 404, "unknown-entity")]
#[case::path("GET", "/v1/nothing", json!({}), 404, "unknown-entity")]
#[tokio::test(flavor = "multi_thread")]
async fn explains_a_refused_change(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: serde_json::Value,
    #[case] status: u16,
    #[case] error: &str,
) {
    let harness = Harness::start().await;
    let response = harness.operate(method, path, body.to_string().as_bytes()).await;
    assert_eq!(
        (response.status, response.json()["error"].as_str()),
        (status, Some(error)),
        "{}",
        response.text()
    );
}

/// Guards against a drain that breaks the availability budget of a pool (P1).
#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_drain_below_the_budget() {
    let harness = Harness::start().await;
    let mut config = harness.operate("GET", "/v1/config", b"").await.json();
    config["declaration"]["pools"]["quotes"]["min_serving"] = 1.into();
    assert_eq!(harness.operate("PUT", "/v1/config", config.to_string().as_bytes()).await.status, 200);
    for path in ["/v1/workers/w1/drain", "/v1/zones/zone-a/remove"] {
        let response = harness.operate("POST", path, b"").await;
        assert_eq!((response.status, response.json()["error"].as_str()), (409, Some("budget")), "{path}");
    }
}

/// Guards against a withdrawn key that still works, and against work that is sent to a removed availability zone
/// (P3, P5).
#[tokio::test(flavor = "multi_thread")]
async fn applies_withdrawals_and_removals() {
    let harness = Harness::start().await;
    assert_eq!(harness.operate("POST", "/v1/zones/zone-a/remove", b"").await.status, 200);
    let response = harness.call("GET", &[KEY, "x-deadline-ms: 300"], b"").await;
    assert_eq!((response.status, response.header("x-outcome")), (503, "not-run"));
    assert_eq!(harness.worker.ran(), 0);
    assert_eq!(harness.operate("POST", "/v1/zones/zone-a/restore", b"").await.json()["value"], 2);
    assert_eq!(harness.call("GET", &[KEY], b"").await.status, 200);
    let keys = harness.operate("GET", "/v1/status", b"").await.json()["keys"].clone();
    let id = keys.as_array().unwrap().iter().find(|key| key["team"] == "growers").unwrap()["id"].clone();
    assert_eq!(harness.operate("DELETE", &format!("/v1/keys/{id}"), b"").await.status, 200);
    let response = harness.call("GET", &[KEY], b"").await;
    assert_eq!((response.status, response.header("x-reason")), (403, "key-withdrawn"));
}

/// Guards against a reboot that is reported as complete too early: the worker must respond in its pool with a new
/// nonce first.
#[tokio::test(flavor = "multi_thread")]
async fn maintains_a_worker() {
    let harness = Harness::start().await;
    let state =
        || async { harness.operate("GET", "/v1/status", b"").await.json()["workers"][0]["state"].clone() };
    assert_eq!(harness.operate("POST", "/v1/workers/w1/drain", b"").await.status, 200);
    until("the reboot", || async { !harness.platform.state.lock().reboots.is_empty() }).await;
    assert_eq!(harness.platform.state.lock().reboots, [("w1".to_owned(), "quotes".to_owned())]);
    assert_eq!(state().await, "maintenance");
    assert_eq!(harness.platform.count(|record| matches!(record, Record::MaintenanceEnded { .. })), 0);
    harness.worker.state.lock().nonce = 8;
    until("the end of the maintenance", || async { state().await == "serving" }).await;
    assert_eq!(harness.call("GET", &[KEY], b"").await.status, 200);
}

/// Guards against missing rows in the status, and against missing or constant metrics.
#[tokio::test(flavor = "multi_thread")]
async fn shows_status_and_metrics() {
    let harness = Harness::start().await;
    harness.call("GET", &[], b"").await;
    let status = harness.operate("GET", "/v1/status", b"").await.json();
    assert_eq!(status["instance"], "entry-1");
    assert_eq!(status["workers"][0]["pool"], "quotes");
    assert_eq!(status["members"][0]["state"], "live");
    assert_eq!(status["zones"][0]["state"], "in-service");
    let page = harness.operate("GET", "/metrics", b"").await.text();
    let line = page.lines().find(|line| line.starts_with("not_run_total{") && line.contains("key-missing"));
    assert!(line.is_some_and(|line| line.ends_with(" 1")), "{page}");
    for name in ["answered_total", "stale_view_dispatches_total", "ready", "connections", "applied_offset"] {
        assert!(page.lines().any(|line| line.starts_with(name)), "{name} is missing:\n{page}");
    }
}

/// Guards against an instance that reports readiness without a state, and against changes that wait for an unreachable
/// log.
#[tokio::test(flavor = "multi_thread")]
async fn is_not_ready_without_the_platform() {
    let instance = start(&settings("entry-1", "127.0.0.1:9".parse().unwrap()));
    let to = instance.operators();
    assert_eq!(send(to, "GET", "/healthz", &[], b"").await.status, 200);
    assert_eq!(send(to, "GET", "/readyz", &[], b"").await.status, 503);
    let response = send(to, "POST", "/v1/pools/quotes/maintenance", &[CREDENTIAL], b"").await;
    assert_eq!((response.status, response.json()["error"].as_str()), (503, Some("unavailable")));
    let response = send(instance.callers(), "GET", "/v1/pools/quotes/call/a", &[KEY], b"").await;
    assert_eq!((response.status, response.header("x-reason")), (503, "not-ready"));
}
