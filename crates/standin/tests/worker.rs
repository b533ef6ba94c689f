//! Tests of a worker over HTTP: requests, refusals, faults, journal.

#![expect(clippy::unwrap_used, reason = "a failed call in a helper fails the test")]

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rattanfall_standin::http::{Server, call, get};
use rattanfall_standin::options::WorkerOptions;
use rattanfall_standin::start_workers;
use rattanfall_standin::worker::{JournalPage, RunOutcome};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::net::TcpStream;

struct Worker {
    server: Server,
    address: String,
}

impl Worker {
    async fn start(slots: u32) -> Self {
        let options =
            WorkerOptions { slots, pool: "orders".into(), reboot_ms: 10, ..WorkerOptions::default() };
        let server = start_workers(options).await.unwrap().remove(0);
        let address = server.address().to_string();
        Self { server, address }
    }

    async fn connect(&self) -> SendRequest<Full<Bytes>> {
        let stream = TcpStream::connect(&self.address).await.unwrap();
        let (sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        sender
    }

    async fn send(&self, headers: &[(&str, &str)]) -> Response<Incoming> {
        self.connect().await.send_request(request(headers)).await.unwrap()
    }

    async fn faults(&self, faults: Value) {
        let (status, _) = call(&self.address, Method::PUT, "/control/faults", &faults).await.unwrap();
        assert_eq!(status, StatusCode::OK);
    }

    async fn journal(&self) -> JournalPage {
        serde_json::from_slice(&get(&self.address, "/control/journal").await.unwrap().1).unwrap()
    }

    async fn until_running(&self, count: usize) {
        let running =
            |page: &JournalPage| page.entries.iter().filter(|e| e.end == RunOutcome::Running).count();
        while running(&self.journal().await) != count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

fn request(headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let builder = Request::builder().method("POST").uri("/any/path").header("host", "worker");
    let builder = headers.iter().fold(builder, |builder, (name, value)| builder.header(*name, *value));
    builder.body(Full::new(Bytes::from_static(b"hello"))).unwrap()
}

fn header<'a>(response: &'a Response<Incoming>, name: &str) -> &'a str {
    response.headers().get(name).map_or("", |value| value.to_str().unwrap())
}

/// Guards against an answer that a caller cannot match to its request: the id or the token is missing.
#[rstest]
#[tokio::test]
async fn an_answer_echoes_the_request() {
    let worker = Worker::start(8).await;
    let headers =
        [("x-request-id", "r1"), ("x-caller-token", "tok"), ("x-answer-bytes", "20"), ("x-team", "north")];
    let response = worker.send(&headers).await;
    assert_eq!(response.status(), StatusCode::OK);
    let echo =
        ["x-request-id", "x-caller-token", "x-received-bytes"].map(|name| header(&response, name).to_owned());
    assert_eq!(echo, ["r1", "tok", "5"]);
    assert_eq!(response.into_body().collect().await.unwrap().to_bytes(), "tok\n................");
    let journal = worker.journal().await;
    assert_eq!((journal.entries.len(), journal.peaks["north"]), (1, 1));
    worker.server.close();
}

/// Guards against a refused request that runs nevertheless: the journal must hold no entry of it.
#[rstest]
#[case::wrong_pool(json!({}), "quotes", "wrong-pool")]
#[case::leaving(json!({"leaving": true}), "orders", "leaving")]
#[case::fault_switch(json!({"refuse": "full"}), "orders", "full")]
#[tokio::test]
async fn refused_work_does_not_start(#[case] faults: Value, #[case] pool: &str, #[case] reason: &str) {
    let worker = Worker::start(8).await;
    worker.faults(faults).await;
    let response = worker.send(&[("x-pool", pool), ("x-request-id", "r1")]).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!((header(&response, "x-refused"), header(&response, "x-request-id")), (reason, "r1"));
    assert!(worker.journal().await.entries.is_empty());
    worker.server.close();
}

/// Guards against more concurrent requests than slots, and against a request that keeps running across a reboot.
#[rstest]
#[tokio::test]
async fn a_full_worker_refuses_until_a_reboot_ends_its_work() {
    let worker = Worker::start(1).await;
    let mut sender = worker.connect().await;
    let running = tokio::spawn(async move { sender.send_request(request(&[("x-work-ms", "60000")])).await });
    worker.until_running(1).await;
    let response = worker.send(&[]).await;
    assert_eq!(header(&response, "x-refused"), "full");
    call(&worker.address, Method::POST, "/control/reboot", &json!({"pool": "orders"})).await.unwrap();
    assert!(running.await.unwrap().is_err(), "a request was answered across a reboot");
    let entries = worker.journal().await.entries;
    assert_eq!(entries.iter().map(|entry| entry.end).collect::<Vec<_>>(), [RunOutcome::Rebooted]);
    worker.server.close();
}

/// Guards against work that runs past the caller's deadline.
#[rstest]
#[tokio::test]
async fn the_deadline_ends_the_work() {
    let worker = Worker::start(1).await;
    let response = worker.send(&[("x-work-ms", "60000"), ("x-deadline-ms", "20")]).await;
    assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(worker.journal().await.entries[0].end, RunOutcome::Stopped);
    worker.server.close();
}

/// Guards against a fault that also silences new connections, or that ends for open ones when it is switched off.
#[rstest]
#[tokio::test]
async fn silence_open_spares_new_connections() {
    let worker = Worker::start(8).await;
    let mut open = worker.connect().await;
    open.send_request(request(&[])).await.unwrap().into_body().collect().await.unwrap();
    worker.faults(json!({"silence_open": true})).await;
    worker.faults(json!({})).await;
    let silent = open.send_request(request(&[("x-request-id", "r2")]));
    assert!(tokio::time::timeout(Duration::from_millis(50), silent).await.is_err());
    assert_eq!(worker.send(&[]).await.status(), StatusCode::OK);
    worker.server.close();
}

/// Guards against fault switches without effect on answers.
#[rstest]
#[tokio::test]
async fn fault_switches_change_answers() {
    let worker = Worker::start(8).await;
    worker.faults(json!({"truncated": true})).await;
    let response = worker.send(&[("x-answer-bytes", "1000"), ("x-request-id", "r1")]).await;
    assert!(response.into_body().collect().await.is_err(), "the answer is complete");
    worker.faults(json!({"crossed": true})).await;
    let response = worker.send(&[("x-request-id", "r2")]).await;
    assert_eq!(header(&response, "x-request-id"), "r1");
    worker.faults(json!({"fail": true})).await;
    assert_eq!(worker.send(&[]).await.status(), StatusCode::INTERNAL_SERVER_ERROR);
    worker.server.close();
}

/// Guards against a server that waits for running requests when it is closed, which would hang the tests.
#[rstest]
#[tokio::test]
async fn close_ends_running_work() {
    let worker = Worker::start(1).await;
    let mut sender = worker.connect().await;
    let running = tokio::spawn(async move { sender.send_request(request(&[("x-work-ms", "60000")])).await });
    worker.until_running(1).await;
    let start = Instant::now();
    worker.server.close();
    assert!(start.elapsed() < Duration::from_secs(5));
    assert!(running.await.unwrap().is_err());
}
