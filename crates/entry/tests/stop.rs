//! Graceful shutdown.

mod support;

use rattanfall_core::record::Record;
use support::harness::{Harness, KEY};
use support::http::{read_response, send};
use support::worker::Mode;
use support::{TIMEOUT, until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Guards against a shutdown that interrupts a request, accepts new work, or does not release the member's holds (P10).
#[tokio::test(flavor = "multi_thread")]
async fn finishes_running_work_before_it_leaves() {
    let Harness { platform, worker, instance } = Harness::start().await;
    worker.next([Mode::Held]);
    let mut caller = TcpStream::connect(instance.callers()).await.unwrap();
    let head =
        format!("PUT /v1/pools/quotes/call/a HTTP/1.1\r\nhost: t\r\n{KEY}\r\ncontent-length: 4\r\n\r\nwork");
    caller.write_all(head.as_bytes()).await.unwrap();
    until("the run", || async { worker.ran() == 1 }).await;
    let (callers, operators) = (instance.callers(), instance.operators());
    let stopped = tokio::spawn(instance.stop());
    until("readiness off", || async { send(operators, "GET", "/readyz", &[], b"").await.status == 503 })
        .await;
    until("the closed listener", || async { TcpStream::connect(callers).await.is_err() }).await;
    assert_eq!(platform.count(|record| matches!(record, Record::Leave)), 0);
    worker.release();
    let response = read_response(&mut caller, false).await.expect("the response");
    assert_eq!((response.status, response.text().as_str()), (200, "work"));
    let stopped = timeout(TIMEOUT, stopped).await.expect("the instance did not stop");
    assert!(stopped.unwrap(), "the shutdown exceeded its time limit");
    assert_eq!(platform.count(|record| matches!(record, Record::Leave)), 1);
}
