//! Whole runs against a stand-in worker behind a minimal entry instance that can inject faults.

#![expect(clippy::unwrap_used, reason = "a failed call in a helper fails the test")]

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;

use http::{Method, StatusCode};
use rattanfall_load::options;
use rattanfall_load::report::{Report, render, write_csv};
use rattanfall_load::run_load;
use rattanfall_load::send::Violation;
use rattanfall_standin::http::{Answer, Request, Server, Service, call, serve};
use rattanfall_standin::options::{PlatformOptions, WorkerOptions};
use rattanfall_standin::start_platform;
use rattanfall_standin::worker::Worker;
use rstest::rstest;

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    FalseNotRun,
    RunTwice,
    TruncatedAnswers,
    CrossedAnswers,
}

/// Minimal entry instance that forwards requests to a worker in the same process, with an optional fault.
struct Entry {
    worker: Arc<Worker>,
    fault: Fault,
}

impl Service for Entry {
    async fn answer(&self, mut request: Request) -> Answer {
        if matches!(self.fault, Fault::RunTwice) {
            self.worker.answer(request.clone()).await;
        }
        if matches!(self.fault, Fault::CrossedAnswers) {
            request.headers.insert("x-caller-token", "other".parse().unwrap());
        }
        let answer = self.worker.answer(request).await;
        match (self.fault, answer) {
            (Fault::FalseNotRun, _) => {
                Answer::error(StatusCode::SERVICE_UNAVAILABLE, "no").with("x-outcome", "not-run")
            }
            (Fault::TruncatedAnswers, Answer::Whole(parts)) => {
                Answer::Truncated(parts).with("x-outcome", "done")
            }
            (_, answer) => answer.with("x-outcome", "done"),
        }
    }
}

struct Fleet {
    servers: Vec<Server>,
    entry: String,
    platform: String,
}

impl Fleet {
    async fn start(fault: Fault) -> Self {
        let platform =
            start_platform(PlatformOptions { list_lag_ms: 0, ..PlatformOptions::default() }).unwrap();
        let address = platform.address().to_string();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let options = WorkerOptions { pool: "orders".into(), slots: 1_000, ..WorkerOptions::default() };
        let worker = Arc::new(Worker::new(options.spec(0, listener.local_addr().unwrap())));
        let instance = worker.instance();
        call(&address, Method::PUT, "/instances/worker-0", &instance).await.unwrap();
        let upstream = serve(listener, worker.clone(), 1).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let entry = serve(listener, Arc::new(Entry { worker, fault }), 1).unwrap();
        let entry_address = entry.address().to_string();
        Self { servers: vec![platform, upstream, entry], entry: entry_address, platform: address }
    }

    async fn load(&self, more: &[&str]) -> Report {
        let flow =
            "team=north,key=k,pool=orders,rate=200,work-ms=2,idempotent=0.5,answer-bytes=500,body-bytes=9";
        let args = ["load", "--entry", &self.entry, "--platform", &self.platform, "--flow", flow];
        let args = args.iter().chain(&["--duration-s", "1"]).chain(more);
        run_load(&options::read(&options::command().get_matches_from(args))).await.unwrap()
    }

    fn close(self) {
        self.servers.into_iter().for_each(Server::close);
    }
}

/// Guards against violations reported for a correct instance, and against totals that omit work.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_run_without_faults_is_clean() {
    let fleet = Fleet::start(Fault::None).await;
    let report = fleet.load(&["--direct", "--connections", "5"]).await;
    assert_eq!(report.violations, BTreeMap::new());
    let row = &report.rows[0];
    assert!(row.done > 100, "{row:?}");
    assert_eq!((row.sent, report.audit.as_ref().unwrap().starts), (row.done, row.done));
    assert_eq!(report.idle.unwrap().answered, 5);
    assert!(report.direct.unwrap().direct_p50_ms >= 2.0);
    let mut csv = Vec::new();
    write_csv(&report, &mut csv).unwrap();
    assert_eq!(String::from_utf8(csv).unwrap().lines().count(), 2);
    assert!(render(&report).contains("promises broken: 0"));
    fleet.close();
}

/// Guards against violations of an entry instance that are not detected.
#[rstest]
#[case(Fault::FalseNotRun, Violation::NotRunRan)]
#[case(Fault::RunTwice, Violation::RanTwice)]
#[case(Fault::TruncatedAnswers, Violation::TruncatedAnswer)]
#[case(Fault::CrossedAnswers, Violation::CrossedAnswer)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn violations_are_counted(#[case] fault: Fault, #[case] expected: Violation) {
    let fleet = Fleet::start(fault).await;
    let report = fleet.load(&[]).await;
    assert!(report.violations.get(&expected).is_some_and(|count| *count > 20), "{:?}", report.violations);
    assert!(!report.is_clean());
    fleet.close();
}

/// Guards against a closed loop that stops early or has more than one outstanding request on a connection.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_closed_loop_keeps_its_connections_busy() {
    let fleet = Fleet::start(Fault::None).await;
    let report = fleet.load(&["--closed", "4"]).await;
    assert!(report.rows[0].done > 100);
    assert_eq!(report.teams[0].peak, Some(4));
    fleet.close();
}
