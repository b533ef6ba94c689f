//! Changes by operators through two instances.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rstest::rstest;
use tokio::time::sleep;

use crate::support::{Caller, Fleet, Load, Setup, starts_of, until};

/// Time within which a withdrawal or removal must take effect at every instance.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Guards against two changes of the same version that both succeed, and against instances that differ afterwards.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_concurrent_changes_succeeds() {
    let fleet = Fleet::start(Setup { workers: vec![(1, "zone-a")], ..Setup::default() }).await;
    let version = fleet.entries[0].status().await.unwrap().version;
    let base = version.to_string();
    let files = [fleet.declaration(20), fleet.declaration(21)];
    let paths = files.each_ref().map(|file| file.to_str().unwrap());
    let first = ["apply", "--yes", "--base", &base, paths[0]];
    let second = ["apply", "--yes", "--base", &base, paths[1]];
    let (a, b) = tokio::join!(fleet.ctl(0, &first), fleet.ctl(1, &second));
    let limit = match (a.status.code(), b.status.code()) {
        (Some(0), Some(3)) => 20,
        (Some(3), Some(0)) => 21,
        _ => panic!("{a:?} {b:?}"),
    };
    for entry in &fleet.entries {
        until("every instance has the winner's change", async || {
            let status = entry.status().await?;
            (status.version == version + 1 && status.teams.first()?.limit == limit).then_some(())
        })
        .await;
    }
    fleet.close();
}

/// Guards against a withdrawn key that still works at another instance, including for a request that is waiting there.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_withdrawn_key_stops_working_everywhere() {
    let setup = Setup { workers: vec![(1, "zone-a")], limit: 2, deadline_cap_ms: 6_000, ..Setup::default() };
    let fleet = Fleet::start(setup).await;
    let key = fleet.grant("alder").await;
    let second = fleet.entries[1].callers.clone();
    until("the key works at the second instance", async || {
        let response = Caller::new(&second, &key).work("works", 0, &[]).await;
        response.ok().filter(|response| response.status == 200)
    })
    .await;
    let busy = Load::start("busy", &fleet.addresses()[1..], &fleet.key, 4, 2_500);
    until("the second instance is full", async || {
        let teams = fleet.entries[1].status().await?.teams;
        teams.iter().any(|team| team.running > 0 && team.waiting > 1).then_some(())
    })
    .await;
    let mut waiting = Caller::new(&second, &key);
    let waiting = tokio::spawn(async move { waiting.work("waited", 0, &[]).await });
    let keys = fleet.entries[1].status().await.unwrap().keys;
    let id = keys.iter().map(|row| row.id).max().unwrap().to_string();
    let withdrawn = fleet.ctl(0, &["keys", "withdraw", &id]).await;
    assert!(withdrawn.status.success(), "{withdrawn:?}");
    let since = Instant::now();
    until("the key stops working at the second instance", async || {
        let response = Caller::new(&second, &key).work("late", 0, &[("x-deadline-ms", "100")]).await;
        response.ok().filter(|response| response.header("x-reason") == "key-withdrawn")
    })
    .await;
    assert!(since.elapsed() < EFFECT_TIMEOUT, "it worked for {:?}", since.elapsed());
    let response = waiting.await.unwrap().unwrap();
    assert_eq!(response.header("x-outcome"), "not-run", "{response:?}");
    assert_eq!(starts_of(&fleet.journals().await, "waited"), 0);
    busy.finish().await;
    fleet.close();
}

/// Guards against work that another instance starts in an availability zone after its removal.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_starts_in_a_removed_zone() {
    let setup = Setup { workers: vec![(1, "zone-a"), (1, "zone-b")], ..Setup::default() };
    let fleet = Fleet::start(setup).await;
    let load = Load::start("load", &fleet.addresses(), &fleet.key, 16, 50);
    let zone_b = fleet.workers.iter().position(|worker| worker.zone == "zone-b").unwrap();
    until("the zone has work", async || (!fleet.journals().await[zone_b].entries.is_empty()).then_some(()))
        .await;
    let removed = fleet.ctl(0, &["zones", "remove", "zone-b"]).await;
    assert!(removed.status.success(), "{removed:?}");
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() + EFFECT_TIMEOUT;
    // The load continues after the time limit, where every start in the zone is an error.
    sleep(EFFECT_TIMEOUT + Duration::from_secs(2)).await;
    let samples = load.finish().await;
    let journals = fleet.journals().await;
    let late = journals[zone_b].entries.iter().filter(|e| u128::from(e.started_us) > since.as_micros());
    assert_eq!(late.count(), 0);
    assert!(samples.last().is_some_and(|sample| sample.is_done()), "the other zone does not serve");
    fleet.close();
}
