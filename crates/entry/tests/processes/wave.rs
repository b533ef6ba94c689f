//! Maintenance waves.

use std::collections::{BTreeMap, BTreeSet};

use rattanfall_wire::platform::Kind;
use rstest::rstest;

use crate::support::{Fleet, Load, Setup, assert_none_interrupted, until};

/// Number of workers in the pool.
const WORKERS: u32 = 3;

/// Guards against a wave that breaks the budget, interrupts requests, omits a worker or reboots one twice.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wave_reboots_every_worker_once_within_the_budget() {
    let budget = WORKERS - 1;
    let setup = Setup { workers: vec![(WORKERS, "zone-a")], min_serving: budget, ..Setup::default() };
    let fleet = Fleet::start(setup).await;
    let load = Load::start("load", &fleet.addresses(), &fleet.key, 8, 40);
    let started = fleet.ctl(0, &["pools", "maintain", "orders"]).await;
    assert!(started.status.success(), "{started:?}");
    let mut nonces: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
    for worker in &fleet.workers {
        nonces.entry(worker.name.clone()).or_default().insert(worker.nonce);
    }
    until("every worker has rebooted and serves", async || {
        for entry in &fleet.entries {
            let status = entry.status().await?;
            assert!(status.pools[0].serving >= budget, "{:?}", status.workers);
        }
        for listed in fleet.listed().await?.into_iter().filter(|listed| listed.kind == Kind::Worker) {
            nonces.entry(listed.name).or_default().insert(listed.nonce);
        }
        let status = fleet.entries[0].status().await?;
        let serving = status.workers.iter().all(|worker| worker.state == "serving");
        (serving && nonces.values().all(|seen| seen.len() >= 2)).then_some(())
    })
    .await;
    let samples = load.finish().await;
    assert!(nonces.values().all(|seen| seen.len() == 2), "{nonces:?}");
    assert_none_interrupted(&samples, &fleet.journals().await);
    fleet.close();
}
