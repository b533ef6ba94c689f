//! Outages of the platform and lost responses to appends.

use rstest::rstest;
use serde_json::json;

use crate::support::{Caller, Fleet, Load, Setup, starts_of, until};

/// Guards against requests that wait for the platform, work that runs although it was refused, an instance that serves
/// without a state, and instances that differ after the outage.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_of_the_platform_stops_only_changes() {
    let mut fleet = Fleet::start(Setup::default()).await;
    fleet.faults(json!({ "down": true })).await;
    let new = fleet.start_entry("entry-new").await;
    let load = Load::start("load", &fleet.addresses(), &fleet.key, 4, 30);
    let file = fleet.declaration(9);
    let change = fleet.ctl(0, &["apply", "--yes", file.to_str().unwrap()]).await;
    assert!(matches!(change.status.code(), Some(5 | 6)), "{change:?}");
    let refused = fleet.caller(0).submit("refused", 10, false).await.unwrap();
    assert_eq!(
        (refused.header("x-outcome"), refused.header("x-reason")),
        ("not-run", "platform-unavailable"),
        "{refused:?}"
    );
    until("the new instance answers", async || new.status().await).await;
    assert!(!new.ready().await);
    let early = Caller::new(&new.callers, &fleet.key).work("early", 0, &[]).await.unwrap();
    assert_eq!((early.header("x-outcome"), early.header("x-reason")), ("not-run", "not-ready"), "{early:?}");
    until("the load is large enough", async || {
        let served: usize = fleet.journals().await.iter().map(|page| page.entries.len()).sum();
        (served > 30).then_some(())
    })
    .await;
    let samples = load.finish().await;
    assert!(samples.len() > 20 && samples.iter().all(|sample| sample.is_done()), "{samples:?}");

    fleet.faults(json!({})).await;
    fleet.entries.push(new);
    until("the new instance is ready", async || fleet.entries[2].ready().await.then_some(())).await;
    let file = fleet.declaration(10);
    until("a change is accepted again", async || {
        let change = fleet.ctl(0, &["apply", "--yes", file.to_str().unwrap()]).await;
        // The instance refuses changes until its next append succeeds. The change from the outage may take effect
        // first.
        assert!(matches!(change.status.code(), Some(0 | 3 | 5)), "{change:?}");
        change.status.success().then_some(())
    })
    .await;
    until("all instances have the same version and limit", async || {
        let mut seen = Vec::new();
        for entry in &fleet.entries {
            let status = entry.status().await?;
            seen.push((status.version, status.teams.first()?.limit));
        }
        seen.iter().all(|row| *row == seen[0] && row.1 == 10).then_some(())
    })
    .await;
    let served = fleet.caller(2).work("served", 10, &[]).await.unwrap();
    assert_eq!(served.body, "served\n");
    let journals = fleet.journals().await;
    assert_eq!((starts_of(&journals, "refused"), starts_of(&journals, "early")), (0, 0));
    fleet.close();
}

/// Guards against an unknown outcome for a task whose append was refused: status 503 proves that nothing was appended.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_first_submission_in_an_outage_is_refused_as_not_run() {
    let fleet = Fleet::start(Setup { entries: 1, workers: vec![(1, "zone-a")], ..Setup::default() }).await;
    fleet.faults(json!({ "down": true })).await;
    let refused = fleet.caller(0).submit("refused", 10, false).await.unwrap();
    assert_eq!(
        (refused.header("x-outcome"), refused.header("x-reason")),
        ("not-run", "platform-unavailable"),
        "{refused:?}"
    );
    fleet.close();
}

/// Guards against records that take effect twice when the response to their append is lost.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_append_responses_do_not_duplicate_records() {
    let fleet = Fleet::start(Setup::default()).await;
    fleet.faults(json!({ "lose_appends": 6 })).await;
    // An instance refuses new tasks and changes while its last append is unconfirmed. Tasks that it refuses as not run
    // must not run.
    let (mut ids, mut refused, mut number) = (Vec::new(), Vec::new(), 0);
    until("six tasks are accepted", async || {
        let token = format!("task-{number}");
        let response = fleet.caller(number % 2).submit(&token, 50, false).await.unwrap();
        number += 1;
        if response.status == 202 {
            ids.push((response.json()["id"].as_str().unwrap().to_owned(), token));
        } else {
            assert_eq!(response.header("x-outcome"), "not-run", "{response:?}");
            refused.push(token);
        }
        (ids.len() == 6).then_some(())
    })
    .await;
    fleet.faults(json!({ "lose_appends": 2 })).await;
    let file = fleet.declaration(9);
    until("the change is accepted", async || {
        let change = fleet.ctl(0, &["apply", "--yes", "--base", "1", file.to_str().unwrap()]).await;
        assert!(matches!(change.status.code(), Some(0 | 5)), "{change:?}");
        change.status.success().then_some(())
    })
    .await;
    for (id, _) in &ids {
        until("every task is done", async || (fleet.caller(0).task_state(id).await == "done").then_some(()))
            .await;
    }
    let journals = fleet.journals().await;
    for (_, token) in &ids {
        assert_eq!(starts_of(&journals, token), 1, "{token}");
    }
    for token in &refused {
        assert_eq!(starts_of(&journals, token), 0, "{token}");
    }
    for entry in &fleet.entries {
        until("one version more", async || {
            let status = entry.status().await?;
            assert!(status.version <= 2);
            (status.version == 2).then_some(())
        })
        .await;
    }
    fleet.close();
}
