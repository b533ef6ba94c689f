//! An entry instance is frozen with SIGSTOP and resumed.

use std::time::Duration;

use rstest::rstest;
use tokio::time::sleep;

use crate::support::{Fleet, Load, Setup, peak_running, until};

/// Upper limit of the team, in slots.
const LIMIT: u32 = 9;
/// Length of the freeze: more than the sum of the longest lease (1 s) and the longest deadline (2 s).
const FREEZE_TIME: Duration = Duration::from_millis(4_000);

/// Guards against a resumed instance that starts work under holds or leases that it has lost, and against members that
/// use the holds of an unresponsive one too early.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_freeze_longer_than_every_lease_keeps_the_limit() {
    // With one worker, the worker's count of concurrent runs is exact. Three instances with 8 connections each could
    // run 24 requests at once.
    let setup =
        Setup { workers: vec![(1, "zone-a")], slots: 40, entries: 3, limit: LIMIT, ..Setup::default() };
    let fleet = Fleet::start(setup).await;
    // All instances have load from the start, because an instance without load gives its hold away.
    let frozen = Load::start("frozen", &fleet.addresses()[..1], &fleet.key, 8, 60);
    let others = Load::start("others", &fleet.addresses()[1..], &fleet.key, 16, 60);
    for entry in &fleet.entries {
        until("every instance has a hold in use", async || {
            let status = entry.status().await?;
            status.workers.iter().any(|worker| worker.running > 0).then_some(())
        })
        .await;
    }
    let mut ids = Vec::new();
    let mut caller = fleet.caller(0);
    for number in 0..12 {
        let response = caller.submit(&format!("task-{number}"), 400, number % 2 == 0).await.unwrap();
        assert_eq!(response.status, 202, "{response:?}");
        ids.push(response.json()["id"].as_str().unwrap().to_owned());
    }
    until("a task runs", async || {
        let journals = fleet.journals().await;
        journals[0].entries.iter().any(|entry| !entry.start.task.is_empty()).then_some(())
    })
    .await;
    fleet.entries[0].process.signal("STOP");
    sleep(FREEZE_TIME).await;
    fleet.entries[0].process.signal("CONT");
    until("the resumed instance sees the end of the log", async || {
        fleet.entries[0].status().await?.view_age_ms.filter(|age| *age < 500)
    })
    .await;
    for id in &ids {
        until("every task ends", async || {
            let state = fleet.caller(1).task_state(id).await;
            ["done", "unknown"].contains(&state.as_str()).then_some(())
        })
        .await;
    }
    let samples = others.finish().await;
    let done = samples.iter().filter(|sample| sample.is_done()).count();
    frozen.finish().await;
    let journals = fleet.journals().await;
    assert!(done > 50, "the others served {done} requests");
    assert!(journals[0].peaks["alder"] <= LIMIT, "{:?}", journals[0].peaks);
    assert!(peak_running(&journals, "alder") >= i64::from(LIMIT) / 2, "the load never came near the limit");
    fleet.close();
}
