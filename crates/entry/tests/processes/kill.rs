//! An entry instance is killed.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rstest::rstest;
use serde_json::json;

use crate::support::{Fleet, Load, Setup, first_reached, peak_running, starts_of, until};

/// Limit of the team, in slots.
const LIMIT: u32 = 8;
/// Longest lease of a worker; the same in every fleet of these tests.
const LEASE: Duration = Duration::from_millis(1_000);

fn micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_micros()).unwrap()
}

/// Kills the first entry instance and removes it from the platform's list, as the platform does once a process has
/// ended. Returns the time of the kill in microseconds since 1970.
async fn kill_first(fleet: &mut Fleet) -> u64 {
    let dead = fleet.entries.remove(0);
    let killed_us = micros();
    dead.process.close();
    fleet.unlist(&dead.name).await;
    killed_us
}

/// Guards against losing tasks whose owner is killed, and against a second start of a non-idempotent task by the member
/// that takes it over.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_a_killed_instance_end() {
    let mut fleet = Fleet::start(Setup { limit: LIMIT, ..Setup::default() }).await;
    let mut tasks = Vec::new();
    let mut caller = fleet.caller(0);
    for number in 0..24 {
        let token = format!("task-{number}");
        let response = caller.submit(&token, 300, number % 2 == 0).await.unwrap();
        assert_eq!(response.status, 202, "{response:?}");
        tasks.push((response.json()["id"].as_str().unwrap().to_owned(), token, number % 2 == 0));
    }
    until("tasks run", async || (peak_running(&fleet.journals().await, "alder") >= 4).then_some(())).await;
    kill_first(&mut fleet).await;
    let mut survivor = fleet.caller(0);
    for (id, _, idempotent) in &tasks {
        let state = until("every task ends", async || {
            let state = survivor.task_state(id).await;
            ["done", "failed", "cancelled", "unknown"].contains(&state.as_str()).then_some(state)
        });
        let state = state.await;
        // A non-idempotent task may end with an unknown outcome; an idempotent one must finish.
        assert!(state == "done" || !idempotent && state == "unknown", "{id}: {state}");
    }
    let journals = fleet.journals().await;
    for (_, token, _) in tasks.iter().filter(|(_, _, idempotent)| !idempotent) {
        assert!(starts_of(&journals, token) <= 1, "{token} started more than once");
    }
    assert!(peak_running(&journals, "alder") <= i64::from(LIMIT));
    fleet.close();
}

/// Guards against holds that are never reclaimed after a kill, and against holds that are reclaimed while requests of
/// the killed member may still run. Only requests run here: the slot of a started task passes to the member that takes
/// the task over and is not reclaimed.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_of_a_killed_instance_return_after_the_reclaim_wait() {
    let mut fleet = Fleet::start(Setup { limit: LIMIT, ..Setup::default() }).await;
    let reclaim = LEASE + Duration::from_millis(fleet.deadline_cap_ms());
    let killed_load = Load::start("killed", &fleet.addresses()[..1], &fleet.key, 8, 200);
    until("the instance uses its holds", async || {
        (peak_running(&fleet.journals().await, "alder") >= 4).then_some(())
    })
    .await;
    let killed_us = kill_first(&mut fleet).await;
    let load = Load::start("load", &fleet.addresses(), &fleet.key, 16, 100);
    let full_us = until("the survivor uses the whole limit", async || {
        // Requests that were running at the kill end within 200 ms.
        first_reached(&fleet.journals().await, "alder", i64::from(LIMIT), killed_us + 400_000)
    });
    let full_us = full_us.await;
    load.finish().await;
    killed_load.finish().await;
    assert!(peak_running(&fleet.journals().await, "alder") <= i64::from(LIMIT));
    let waited = Duration::from_micros(full_us - killed_us);
    assert!(waited >= reclaim, "the whole limit was in use {waited:?} after the kill");
    fleet.close();
}

/// Guards against using a slot twice: the owner of a finished task uses its slot for a request before the end of the
/// task is in the log, and the member that takes the task over uses the same slot.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_of_finished_tasks_are_not_used_twice_after_a_kill() {
    let setup = Setup { limit: LIMIT, deadline_cap_ms: 8_000, ..Setup::default() };
    let mut fleet = Fleet::start(setup).await;
    let mut caller = fleet.caller(0);
    for number in 0..LIMIT {
        let response = caller.submit(&format!("task-{number}"), 2_000, true).await.unwrap();
        assert_eq!(response.status, 202, "{response:?}");
    }
    until("all tasks run", async || (peak_running(&fleet.journals().await, "alder") >= 8).then_some(()))
        .await;
    // From here on, the ends of the tasks do not reach the log.
    fleet.faults(json!({ "down": true })).await;
    let killed_load = Load::start("killed", &fleet.addresses()[..1], &fleet.key, LIMIT as usize, 6_000);
    until("requests run in the place of the tasks", async || {
        let journals = fleet.journals().await;
        let entries = journals.iter().flat_map(|page| &page.entries);
        (entries.filter(|e| e.start.task.is_empty()).count() >= LIMIT as usize / 2).then_some(())
    })
    .await;
    kill_first(&mut fleet).await;
    fleet.faults(json!({})).await;
    let load = Load::start("load", &fleet.addresses(), &fleet.key, 16, 100);
    until("the survivor sees the end of the member and of its tasks", async || {
        let status = fleet.entries[0].status().await?;
        let gone = status.members.iter().any(|row| row.state == "gone");
        let journals = fleet.journals().await;
        let started = journals.iter().flat_map(|page| &page.entries);
        let served = started.filter(|e| e.start.token.starts_with("load")).count();
        (gone && served > 16).then_some(())
    })
    .await;
    load.finish().await;
    killed_load.finish().await;
    let highest = peak_running(&fleet.journals().await, "alder");
    assert!(highest <= i64::from(LIMIT), "{highest} ran at once under a limit of {LIMIT}");
    fleet.close();
}
