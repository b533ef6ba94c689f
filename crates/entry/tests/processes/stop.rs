//! Graceful shutdown of an entry instance.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;

use crate::support::{Fleet, Load, Setup, assert_none_interrupted, until};

/// Time that the servers may take to close idle connections: one second each, and more on a busy machine.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Guards against a shutdown that interrupts requests, leaves the instance in the member list, or does not end.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_under_load_interrupts_no_request() {
    let mut fleet = Fleet::start(Setup { entry: vec!["--stop-ms", "8000"], ..Setup::default() }).await;
    let load = Load::start("load", &fleet.addresses(), &fleet.key, 10, 50);
    let busy = until("the instance has work", async || {
        let status = fleet.entries[0].status().await?;
        let running: u32 = status.workers.iter().map(|worker| worker.running).sum();
        status.member.filter(|_| running > 0)
    });
    let member = busy.await;
    until("the load is under way", async || {
        let served: usize = fleet.journals().await.iter().map(|page| page.entries.len()).sum();
        (served > 30).then_some(())
    })
    .await;
    let stopping = Instant::now();
    fleet.entries[0].process.signal("TERM");
    let exit = fleet.entries[0].process.exit(Duration::from_secs(8) + CLOSE_TIMEOUT).await;
    assert!(exit.is_some_and(|exit| exit.success()), "{exit:?} after {:?}", stopping.elapsed());
    until("the other instance sees the member leave", async || {
        let members = fleet.entries[1].status().await?.members;
        members.iter().any(|row| row.id == member && row.state == "left").then_some(())
    })
    .await;
    let samples = load.finish().await;
    assert_none_interrupted(&samples, &fleet.journals().await);
    fleet.close();
}

/// Guards against a shutdown that waits for the platform beyond its time limit, or interrupts requests because the
/// platform cannot be reached.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_in_an_outage_ends_within_the_time_limit() {
    let mut fleet = Fleet::start(Setup { entry: vec!["--stop-ms", "2000"], ..Setup::default() }).await;
    let load = Load::start("load", &fleet.addresses(), &fleet.key, 8, 50);
    until("the instance has work", async || {
        let status = fleet.entries[0].status().await?;
        status.workers.iter().any(|worker| worker.running > 0).then_some(())
    })
    .await;
    until("the load is under way", async || {
        let served: usize = fleet.journals().await.iter().map(|page| page.entries.len()).sum();
        (served > 30).then_some(())
    })
    .await;
    fleet.faults(json!({ "down": true })).await;
    let stopping = Instant::now();
    fleet.entries[0].process.signal("TERM");
    let exit = fleet.entries[0].process.exit(Duration::from_secs(2) + CLOSE_TIMEOUT).await;
    assert!(exit.is_some_and(|exit| exit.success()), "{exit:?} after {:?}", stopping.elapsed());
    let samples = load.finish().await;
    assert_none_interrupted(&samples, &fleet.journals().await);
    fleet.close();
}

/// Way in which the platform is unavailable to a new instance.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// Responds with 503.
    Down,
    /// Refuses connections.
    Refuses,
    /// Accepts connections and never responds.
    Silent,
}

/// Guards against an instance that ignores SIGTERM before it has joined, because the server's threads wait for
/// connections on the closed listener.
#[rstest]
#[case(Outage::Down)]
#[case(Outage::Refuses)]
#[case(Outage::Silent)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_ends_an_instance_that_never_joined(#[case] outage: Outage) {
    let setup = Setup { entries: 1, workers: vec![(1, "zone-a")], ..Setup::default() };
    let fleet = Fleet::start(setup).await;
    fleet.faults(json!({ "down": true })).await;
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let refusing = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let platform = match outage {
        Outage::Down => fleet.platform.clone(),
        Outage::Refuses => refusing,
        Outage::Silent => silent.local_addr().unwrap().to_string(),
    };
    let (mut entry, _) = fleet.start_unlisted("entry-new", &platform).await;
    let status = until("the instance answers operators", async || entry.status().await).await;
    assert_eq!(status.member, None);
    let stopping = Instant::now();
    entry.process.signal("TERM");
    let exit = entry.process.exit(CLOSE_TIMEOUT).await;
    assert!(exit.is_some_and(|exit| exit.success()), "{exit:?} after {:?}", stopping.elapsed());
    fleet.close();
}
