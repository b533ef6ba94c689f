//! Distribution of a team's limit over the entry instances.

use std::time::Duration;

use rstest::rstest;
use tokio::time::timeout;

use crate::support::{Fleet, Load, Setup, until};

/// Limit of the team, in slots: more than one for each instance.
const LIMIT: u32 = 6;
/// Time within which an instance must get a part of the limit: twice the time after which an idle hold is released
/// (5 s), which is also many list, digest and commit intervals.
const SERVED_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against an instance that has given its whole hold away and gets no part back while another instance is busy
/// with work of the same team.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_gets_a_part_of_the_limit_while_another_is_busy() {
    let fleet = Fleet::start(Setup { limit: LIMIT, ..Setup::default() }).await;
    let busy = Load::start("busy", &fleet.addresses()[..1], &fleet.key, 12, 100);
    until("the busy instance has the whole limit", async || {
        let running: u32 = fleet.entries[0].status().await?.workers.iter().map(|worker| worker.running).sum();
        (running >= LIMIT).then_some(())
    })
    .await;
    let late = Load::start("late", &fleet.addresses()[1..], &fleet.key, 2, 100);
    let served = until("the other instance serves", async || {
        let journals = fleet.journals().await;
        let mut starts = journals.iter().flat_map(|page| &page.entries);
        starts.any(|entry| entry.start.token.starts_with("late")).then_some(())
    });
    let served = timeout(SERVED_TIMEOUT, served).await;
    busy.finish().await;
    late.finish().await;
    assert!(served.is_ok(), "no request was served within {SERVED_TIMEOUT:?}");
    fleet.close();
}
