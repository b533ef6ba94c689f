//! Tests of the platform over HTTP: log, list of instances, faults, reboots.

#![expect(clippy::unwrap_used, reason = "a failed call in a helper fails the test")]

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use rattanfall_standin::http::{Server, call, get};
use rattanfall_standin::options::{PlatformOptions, WorkerOptions};
use rattanfall_standin::{start_platform, start_workers};
use rattanfall_wire::platform::{Append, Appended, InstanceList, LogGone, LogPage, Reboot, State};
use rattanfall_wire::worker::WorkerStatus;
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

struct Platform {
    server: Server,
    address: String,
}

impl Platform {
    fn start(options: PlatformOptions) -> Self {
        let server = start_platform(options).unwrap();
        let address = server.address().to_string();
        Self { server, address }
    }

    async fn append(&self, entry: &str) -> Option<(StatusCode, Value)> {
        let body = Append { entries: vec![entry.into()] };
        let (status, body) = call(&self.address, Method::POST, "/log/append", &body).await.ok()?;
        Some((status, serde_json::from_slice(&body).unwrap()))
    }

    async fn read<T: DeserializeOwned>(&self, from: u64, wait_ms: u64) -> (StatusCode, T) {
        let path = format!("/log/read?from={from}&max=100&wait_ms={wait_ms}");
        let (status, body) = get(&self.address, &path).await.unwrap();
        (status, serde_json::from_slice(&body).unwrap())
    }

    async fn faults(&self, faults: Value) {
        let (status, _) = call(&self.address, Method::PUT, "/faults", &faults).await.unwrap();
        assert_eq!(status, StatusCode::OK);
    }

    async fn list(&self) -> InstanceList {
        let (_, body) = get(&self.address, "/instances").await.unwrap();
        serde_json::from_slice(&body).unwrap()
    }
}

/// Guards against a waiting read that misses an append or returns before it.
#[rstest]
#[tokio::test]
async fn a_waiting_read_returns_with_the_next_append() {
    let platform = Platform::start(PlatformOptions::default());
    let waiting = platform.read::<LogPage>(1, 5_000);
    let appending = async {
        tokio::task::yield_now().await;
        platform.append("aGk=").await
    };
    let ((status, page), appended) = tokio::join!(waiting, appending);
    assert_eq!(appended.unwrap().1, json!(Appended { first: 1 }));
    let expected = LogPage { earliest: 1, end: 2, first: 1, entries: vec!["aGk=".into()] };
    assert_eq!((status, page), (StatusCode::OK, expected));
    platform.server.close();
}

/// Guards against a reader that misses dropped entries without noticing: the read must be answered with 410.
#[rstest]
#[tokio::test]
async fn a_read_below_the_retention_is_gone() {
    let platform = Platform::start(PlatformOptions { retention: 2, ..PlatformOptions::default() });
    for _ in 0..3 {
        platform.append("aGk=").await.unwrap();
    }
    let (status, gone) = platform.read::<LogGone>(1, 0).await;
    assert_eq!((status, gone.earliest), (StatusCode::GONE, 2));
    platform.faults(json!({"retention": 1})).await;
    let (status, page) = platform.read::<LogPage>(3, 0).await;
    assert_eq!((status, page.earliest, page.entries.len()), (StatusCode::OK, 3, 1));
    platform.server.close();
}

/// Guards against a log that accepts more appends than its configured rate.
#[rstest]
#[tokio::test]
async fn appends_above_the_rate_get_429() {
    let platform = Platform::start(PlatformOptions { append_rate: 1, ..PlatformOptions::default() });
    assert_eq!(platform.append("aGk=").await.unwrap().0, StatusCode::OK);
    assert_eq!(platform.append("aGk=").await.unwrap().0, StatusCode::TOO_MANY_REQUESTS);
    let (_, page) = platform.read::<LogPage>(1, 0).await;
    assert_eq!(page.end, 2, "the excess append took effect");
    platform.server.close();
}

/// Guards against a lost append that drops the entry instead of the answer, and against faults without effect.
#[rstest]
#[tokio::test]
async fn faults_are_switched_at_run_time() {
    let platform = Platform::start(PlatformOptions::default());
    platform.faults(json!({"lose_appends": 1})).await;
    assert_eq!(platform.append("aGk=").await, None);
    assert_eq!(platform.append("aGk=").await.unwrap().1, json!({"first": 2}));
    platform.faults(json!({"down": true})).await;
    assert_eq!(platform.append("aGk=").await.unwrap().0, StatusCode::SERVICE_UNAVAILABLE);
    platform.faults(json!({"slow_ms": 50})).await;
    let start = Instant::now();
    assert_eq!(platform.read::<LogPage>(1, 0).await.1.end, 3);
    assert!(start.elapsed() >= Duration::from_millis(50));
    platform.server.close();
}

/// Guards against a frozen list that changes, and against a reboot that leaves nonce or pool unchanged.
#[rstest]
#[tokio::test]
async fn a_reboot_changes_nonce_and_pool() {
    let platform = Platform::start(PlatformOptions { list_lag_ms: 0, ..PlatformOptions::default() });
    let options =
        WorkerOptions { platform: Some(platform.address.clone()), reboot_ms: 30, ..Default::default() };
    let workers = start_workers(options).await.unwrap();
    let before = platform.list().await;
    platform.faults(json!({"list_frozen": true})).await;
    let body = Reboot { pool: "orders".into() };
    let answer = call(&platform.address, Method::POST, "/workers/worker-0/reboot", &body).await.unwrap();
    assert_eq!(answer.0, StatusCode::ACCEPTED);
    assert_eq!(platform.list().await, before, "a frozen list changed");
    platform.faults(json!({})).await;
    let during = platform.list().await;
    assert_ne!(during.instances[0].nonce, before.instances[0].nonce);
    assert_eq!(during.instances[0].pool, "orders");
    let worker = workers[0].address().to_string();
    let status = until_up(&worker).await;
    assert_eq!((status.pool.as_str(), status.nonce), ("orders", during.instances[0].nonce));
    until(async || platform.list().await.instances[0].state == State::Live).await;
    let (status, _) =
        call(&platform.address, Method::DELETE, "/instances/worker-0", &json!({})).await.unwrap();
    assert_eq!((status, platform.list().await.instances.len()), (StatusCode::OK, 0));
    workers.into_iter().for_each(Server::close);
    platform.server.close();
}

async fn until(condition: impl AsyncFn() -> bool) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), poll).await.expect("the condition holds within 10 s");
}

async fn until_up(worker: &str) -> WorkerStatus {
    until(async || get(worker, "/worker/status").await.unwrap().0 == StatusCode::OK).await;
    serde_json::from_slice(&get(worker, "/worker/status").await.unwrap().1).unwrap()
}
