//! Operators' records of waves, as nodes read them from the store.

mod platform;

use std::time::Duration;

use platform::{Cluster, Fault};
use rattanfall_jobs::ports::Topic;

/// Time in which a wave of a few machines is completed, in milliseconds.
const WAVE_MS: u64 = 4_000;

/// Guards against a wave that is shown as completed by the first record of its number.
#[tokio::test(start_paused = true)]
async fn the_newest_record_of_a_wave_counts() {
    Cluster::run(2, |cluster| async move {
        cluster.write_wave(1, &[0]);
        cluster.run_for(WAVE_MS).await;
        assert_eq!(cluster.upkeeps(1), ["m-worker-0"]);
        cluster.write_wave(1, &[0, 1]);
        cluster.run_for(WAVE_MS).await;
        assert_eq!(cluster.upkeeps(1), ["m-worker-0", "m-worker-1"]);
        assert_eq!(cluster.reports(1), [false, true, false, true]);
    })
    .await;
}

/// Guards against a wave that is shown as completed by an earlier one with its number.
#[tokio::test(start_paused = true)]
async fn a_number_that_is_used_again_after_a_removal_starts_afresh() {
    Cluster::run(2, |cluster| async move {
        for times in 1..=2 {
            cluster.write_wave(1, &[0]);
            cluster.run_for(WAVE_MS).await;
            assert_eq!(cluster.upkeeps(1).len(), times);
            assert_eq!(cluster.reports(1).last(), Some(&true));
            cluster.write_wave(1, &[]);
            cluster.run_for(WAVE_MS).await;
        }
    })
    .await;
}

/// Guards against a new owner that plans a wave whose removal it has not read, since the topic was loaded again.
#[tokio::test(start_paused = true)]
async fn a_reload_of_the_topic_drops_the_waves_that_are_no_longer_there() {
    Cluster::run(2, |cluster| async move {
        cluster.write_wave(1, &[0]);
        cluster.run_for(WAVE_MS).await;
        cluster.write_wave(1, &[]);
        cluster.compact_topic(Topic::Operator);
        cluster.run_for(WAVE_MS).await;
        cluster.write_wave(1, &[0]);
        cluster.run_for(WAVE_MS).await;
        assert_eq!(cluster.upkeeps(1).len(), 2);
    })
    .await;
}

/// Guards against a wave that an owner, which was started later, completes by the machines of an earlier one.
#[tokio::test(start_paused = true)]
async fn a_process_that_missed_a_removal_starts_the_wave_afresh() {
    Cluster::run(1, |cluster| async move {
        cluster.write_wave(1, &[0]);
        cluster.run_for(WAVE_MS).await;
        assert_eq!(cluster.upkeeps(1).len(), 1);
        cluster.kill(0);
        cluster.write_wave(1, &[]);
        cluster.write_wave(1, &[0]);
        cluster.restart(0);
        cluster.run_for(2 * WAVE_MS).await;
        assert_eq!(cluster.upkeeps(1).len(), 2);
    })
    .await;
}

/// Guards against upkeep that is repeated by an owner that was started later, although the record of the wave is the same.
#[tokio::test(start_paused = true)]
async fn a_process_that_reads_the_same_record_goes_on_with_the_wave() {
    Cluster::run(1, |cluster| async move {
        cluster.write_wave(1, &[0, 1]);
        cluster.run_for(WAVE_MS).await;
        cluster.kill(0);
        cluster.restart(0);
        cluster.run_for(2 * WAVE_MS).await;
        assert_eq!(cluster.upkeeps(1).len(), 2);
        assert_eq!(cluster.reports(1).last(), Some(&true));
    })
    .await;
}

/// Guards against a wave that is shown as completed on the answer to an order of the same process as the owner before. Orders are
/// numbered from 1 in each epoch.
#[tokio::test(start_paused = true)]
async fn an_answer_to_an_order_of_a_former_epoch_does_not_count() {
    Cluster::run(1, |cluster| async move {
        cluster.delay_upkeeps(&[Some(Duration::from_secs(12)), None]);
        cluster.write_wave(1, &[0]);
        cluster.run_for(WAVE_MS).await;
        let claims = cluster.claim_count();
        cluster.compact();
        cluster.run_for(2 * WAVE_MS).await;
        assert!(cluster.claim_count() > claims, "there is no new epoch");
        assert_eq!(cluster.upkeeps(1).len(), 2);
        cluster.run_for(3 * WAVE_MS).await;
        assert!(!cluster.reports(1).contains(&true), "{:?}", cluster.reports(1));
    })
    .await;
}

/// Guards against a wave that is shown as completed by a state that was published for its former record and is stored after a newer
/// one.
#[tokio::test(start_paused = true)]
async fn a_state_that_is_stored_late_does_not_follow_one_of_a_newer_record() {
    Cluster::run(1, |cluster| async move {
        cluster.delay_upkeeps(&[Some(Duration::from_millis(500)), None]);
        cluster.write_wave(1, &[0]);
        cluster.run_for(400).await;
        assert_eq!(cluster.reports(1), [false]);
        cluster.set_fault(Fault::DelayReports);
        cluster.run_for(1_600).await;
        cluster.set_fault(Fault::None);
        cluster.write_wave(1, &[0, 1]);
        cluster.run_for(2 * WAVE_MS).await;
        assert_eq!(cluster.reports(1).last(), Some(&false), "{:?}", cluster.reports(1));
    })
    .await;
}

/// Guards against a wave that is shown as completed by a state that the former owner published and that is stored after one of the
/// new owner.
#[tokio::test(start_paused = true)]
async fn a_state_of_a_former_owner_does_not_follow_one_of_the_new_owner() {
    Cluster::run(2, |cluster| async move {
        cluster.delay_upkeeps(&[Some(Duration::from_millis(500)), None]);
        cluster.write_wave(1, &[0]);
        cluster.run_for(400).await;
        cluster.set_fault(Fault::DelayReports);
        cluster.run_for(1_000).await;
        cluster.set_fault(Fault::None);
        let owner = cluster.owner();
        cluster.kill(owner);
        cluster.write_wave(1, &[0, 1]);
        cluster.run_for(3 * WAVE_MS).await;
        assert_ne!(cluster.owner(), owner);
        assert_eq!(cluster.reports(1).last(), Some(&false), "{:?}", cluster.reports(1));
    })
    .await;
}

/// Guards against orders to machines on a list that was requested in a former epoch of the same process.
#[tokio::test(start_paused = true)]
async fn a_list_that_was_requested_in_a_former_epoch_does_not_count() {
    Cluster::run(1, |cluster| async move {
        cluster.delay_lists(&[Some(Duration::from_secs(6)), None]);
        cluster.run_for(1_500).await;
        let claims = cluster.claim_count();
        cluster.compact();
        cluster.run_for(3_000).await;
        assert!(cluster.claim_count() > claims, "there is no new epoch");
        cluster.write_wave(1, &[0]);
        cluster.run_for(2 * WAVE_MS).await;
        assert_eq!(cluster.upkeeps(1), Vec::<String>::new());
    })
    .await;
}

/// Guards against a wave that is dropped by a load of the topic, since its newest record can't be decoded.
#[tokio::test(start_paused = true)]
async fn a_wave_whose_newest_record_cannot_be_decoded_stays_in_force_after_a_reload() {
    Cluster::run(1, |cluster| async move {
        cluster.delay_upkeeps(&[Some(Duration::from_secs(3))]);
        cluster.write_wave(1, &[0]);
        cluster.run_for(500).await;
        cluster.write_wave(1, &[255]);
        cluster.compact_topic(Topic::Operator);
        cluster.run_for(2 * WAVE_MS).await;
        assert_eq!(cluster.reports(1).last(), Some(&true), "{:?}", cluster.reports(1));
    })
    .await;
}
