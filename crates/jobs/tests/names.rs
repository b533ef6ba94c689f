//! Succession among processes whose names contain an address and others whose names have none.

mod platform;

use platform::{Cluster, read, submit};
use rattanfall_jobs::node::calls::Answer;
use rattanfall_jobs::record::Owner;
use rattanfall_jobs::table::JobState;
use rstest::rstest;

/// Guards against names whose CPU or start other releases do not find.
#[rstest]
#[case::address("larger@10.1.0.23:7002-1f4-1000")]
#[case::long_address("larger-a-1@[fd00::23]:7002-1f4-1000")]
#[tokio::test(start_paused = true)]
async fn a_process_with_an_address_succeeds_others(#[case] name: &'static str) {
    Cluster::run(3, |cluster| async move {
        assert!(matches!(cluster.call(0, submit(1, 4)).await, Answer::Accepted(_)));
        let similar = cluster.add("similar@10.1.0.24:7002-a0-2000");
        cluster.run_for(3_000).await;
        assert!(!cluster.owned_by(&similar));
        let larger = cluster.add(name);
        cluster.run_for(3_000).await;
        assert!(cluster.owned_by(&larger));
        cluster.run_for(4_000).await;
        assert_eq!(cluster.call(0, read(1)).await, Answer::State(JobState::Completed));
        assert_eq!(cluster.duplicate_starts(), 0);
    })
    .await;
}

#[rstest]
#[case::address("edge-a-1@10.1.0.23:7002-fa-18c0ffee", "edge-a-1@10.1.0.23:7002-fa")]
#[case::no_address("edge-a-1-fa-18c0ffee", "edge-a-1-fa")]
fn the_instance_is_the_name_without_the_start(#[case] name: &str, #[case] instance: &str) {
    assert_eq!(Owner { epoch: 1, name: name.into() }.instance(), instance);
}
