//! Outlier detection: ejection of workers by comparison with their peers.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures of a simulation are small"
)]

#[expect(unreachable_pub, dead_code, reason = "shared with the example")]
#[path = "../examples/policies/ejection.rs"]
mod simulation;

use rattanfall_core::engine::Millis;
use rattanfall_core::ids::{TeamId, WorkerId};
use rattanfall_core::policy::outlier::{Eligibility, Outcome, OutlierDetector};
use rstest::rstest;
use simulation::{FAULTS, Figures, Rule, simulate};

fn worst(rule: Rule, fault: usize) -> Figures {
    let mut all = Figures::default();
    for seed in 1..6 {
        all.worsen(&simulate(rule, FAULTS[fault], seed));
    }
    all
}

fn pool() -> Vec<WorkerId> {
    (0..10).map(WorkerId).collect()
}

/// Detector with outcomes of ten workers, ten jobs of each of three teams on each; `failed(worker, team)` selects the
/// failures.
fn detector_with(failed: impl Fn(u32, u32) -> bool) -> OutlierDetector {
    let mut detector = OutlierDetector::new(30);
    for worker in 0..10 {
        for job in 0..30 {
            let team = job % 3;
            let outcome = Outcome { team: TeamId(team), job: u64::from(job), failed: failed(worker, team) };
            detector.record(Millis(0), WorkerId(worker), outcome);
        }
    }
    detector
}

/// A worker that fails all work immediately appears idle and would attract ever more work.
#[rstest]
#[case::one_worker(0)]
#[case::two_workers(1)]
#[case::two_half_bad(2)]
fn failing_workers_are_ejected_and_healthy_ones_are_not(#[case] fault: usize) {
    let (never, compare) = (worst(Rule::Never, fault), worst(Rule::Compare, fault));
    assert!(compare.first_ms.is_some() && compare.wrong == 0, "{compare:?}");
    assert!(compare.failed < never.failed / 2.0, "{compare:?} {never:?}");
}

/// At most 30 percent of a pool may be ejected.
#[test]
fn at_most_three_of_ten_are_ejected() {
    assert_eq!(worst(Rule::Compare, 3).most, 3);
}

/// Healthy workers must not be ejected because of one team's failing jobs or a failure of the whole pool.
#[rstest]
#[case::one_team(4)]
#[case::whole_pool(5)]
fn failures_of_a_team_or_the_whole_pool_eject_no_worker(#[case] fault: usize) {
    assert_eq!(worst(Rule::Compare, fault).wrong, 0);
}

/// A job that fails repeatedly on one worker must not count as many failures.
#[test]
fn repeated_failures_of_a_job_count_once() {
    let mut detector = detector_with(|_, _| false);
    for _ in 0..200 {
        detector.record(Millis(0), WorkerId(0), Outcome { team: TeamId(0), job: 99, failed: true });
    }
    assert!(detector.eject_outliers(Millis(50), &pool()).is_empty());
}

/// A worker must not be ejected if only one team fails on it while others succeed.
#[test]
fn failures_of_one_team_do_not_eject() {
    assert!(
        detector_with(|worker, team| worker == 0 && team == 0).eject_outliers(Millis(50), &pool()).is_empty()
    );
    assert_eq!(
        detector_with(|worker, team| worker == 0 && team < 2).eject_outliers(Millis(50), &pool()),
        [WorkerId(0)]
    );
}

/// An ejected worker must be probed with exponential backoff, and readmitted only after several successes.
#[test]
fn probes_readmit_with_exponential_backoff() {
    let mut detector = detector_with(|worker, _| worker == 0);
    let (worker, probe) = (WorkerId(0), |failed| Outcome { team: TeamId(0), job: 100, failed });
    detector.eject_outliers(Millis(0), &pool());
    assert_eq!(detector.eligibility(Millis(1_999), worker), Eligibility::Ejected);
    assert_eq!(detector.eligibility(Millis(2_000), worker), Eligibility::ProbeDue);
    detector.record(Millis(2_000), worker, probe(true));
    assert_eq!(
        detector.eligibility(Millis(2_000), worker),
        Eligibility::ProbeDue,
        "work sent earlier is no probe"
    );
    detector.start_probe(Millis(2_000), worker);
    detector.record(Millis(2_100), worker, probe(true));
    assert_eq!(detector.eligibility(Millis(6_099), worker), Eligibility::Ejected);
    for now in [6_100, 6_200, 6_300] {
        assert_eq!(detector.eligibility(Millis(now), worker), Eligibility::ProbeDue);
        detector.start_probe(Millis(now), worker);
        detector.record(Millis(now), worker, probe(false));
    }
    assert_eq!(detector.eligibility(Millis(6_300), worker), Eligibility::Eligible);
}

/// After the pool shrank, the number of ejected workers must not exceed the cap.
#[test]
fn shrinking_the_pool_readmits_workers() {
    let mut detector = detector_with(|worker, _| worker < 3);
    assert_eq!(detector.eject_outliers(Millis(0), &pool()).len(), 3);
    detector.eject_outliers(Millis(50), &pool()[..4]);
    assert_eq!(detector.ejected().count(), 1);
}
