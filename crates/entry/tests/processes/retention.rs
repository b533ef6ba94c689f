//! Start of an instance after the log has dropped its first entries.

use rstest::rstest;

use crate::support::{Fleet, Setup, until};

/// Guards against a new instance that serves with an incomplete or old state, or never becomes ready, when the log no
/// longer has the configuration.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_instance_starts_from_a_snapshot() {
    let setup = Setup {
        workers: vec![(1, "zone-a")],
        platform: vec!["--retention", "60"],
        entry: vec!["--snapshot-batches", "20"],
        ..Setup::default()
    };
    let mut fleet = Fleet::start(setup).await;
    let file = fleet.declaration(9);
    let change = fleet.ctl(0, &["apply", "--yes", file.to_str().unwrap()]).await;
    assert!(change.status.success(), "{change:?}");
    let end = fleet.log_page().await.unwrap().end;
    let mut number = 0;
    until("the log drops the change", async || {
        number += 1;
        let _ = fleet.caller(0).submit(&format!("task-{number}"), 0, true).await;
        fleet.log_page().await.filter(|page| page.earliest > end)
    })
    .await;
    let version = fleet.entries[0].status().await.unwrap().version;
    let mut new = fleet.start_entry("entry-new").await;
    new.process.line("the state is restored from a snapshot").await;
    until("the new instance is ready", async || new.ready().await.then_some(())).await;
    let status = new.status().await.unwrap();
    assert_eq!((status.version, status.teams[0].limit), (version, 9));
    fleet.entries.push(new);
    until("the new instance serves", async || {
        let response = fleet.caller(2).work("served", 10, &[]).await;
        response.ok().filter(|response| response.body == "served\n")
    })
    .await;
    fleet.close();
}
