//! Retry budget, load shedding, and goodput under overload.

#![expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, reason = "figures of a simulation")]
#![expect(clippy::cast_sign_loss, reason = "figures of a simulation are positive")]

#[expect(unreachable_pub, dead_code, reason = "shared with the example")]
#[path = "../examples/policies/overload.rs"]
mod simulation;

use proptest::prelude::*;
use rattanfall_core::policy::retry::RetryBudget;
use rattanfall_core::policy::shed::{QueuePosition, can_meet_deadline, expected_wait_ms};
use rstest::rstest;
use simulation::{Figures, Policy, simulate};

fn worst(policy: Policy, load: f64) -> Figures {
    let mut all = Figures::best();
    for seed in 1..6 {
        all.worsen(&simulate(policy, load, seed));
    }
    all
}

/// Congestion collapse: late or repeated work must not displace work that can still be answered in time.
#[rstest]
#[case::twice(2.0)]
#[case::ten_times(10.0)]
fn goodput_stays_above_95_percent_of_its_peak(#[case] load: f64) {
    let peak = [0.9, 1.0, 1.2].map(|load| worst(Policy::Shed, load).goodput);
    let peak = peak.into_iter().fold(0.0, f64::max);
    let figures = worst(Policy::Shed, load);
    assert!(figures.goodput > 0.95 * peak && figures.least_team > 0.9, "{figures:?} {peak}");
    assert!(figures.amplification < 1.1, "{figures:?}");
    assert!(worst(Policy::Expire, load).goodput < 0.5 * peak);
}

proptest! {
    /// The ratio of attempts to first attempts must stay below 1.1 at any moment, also in bursts.
    #[test]
    fn retries_stay_below_the_percentage(requests in prop::collection::vec(0..50_u32, 1..400)) {
        let mut budget = RetryBudget::new(10);
        let (mut first, mut retries) = (0_u32, 0_u32);
        for wanted in requests {
            budget.deposit();
            first += 1;
            retries += (0..wanted).map(|_| u32::from(budget.withdraw())).sum::<u32>();
            prop_assert!(f64::from(first + retries) < 1.1 * f64::from(first));
        }
    }
}

/// The budget must not accumulate a burst of retries over hours.
#[test]
fn saved_retries_are_bounded() {
    let mut budget = RetryBudget::new(10);
    for _ in 0..1_000_000 {
        budget.deposit();
    }
    assert_eq!(budget.balance(), 99);
}

fn position(ahead: u32, running: u32, left_ms: u64) -> QueuePosition {
    QueuePosition { ahead, waiting: ahead, running, slots: 10.0, run_ms: 100.0, left_ms, asked_ms: 1_000 }
}

/// Requests that can start immediately must not be shed, and those that cannot meet their deadline must not be kept.
#[rstest]
#[case::free_slot(position(0, 5, 50), true)]
#[case::past_deadline(position(0, 0, 0), false)]
#[case::short_queue(position(20, 10, 1_000), true)]
#[case::long_queue(position(80, 10, 1_000), false)]
#[case::no_slots(QueuePosition { slots: 0.0, ..position(0, 0, 1_000) }, false)]
#[case::tight_deadline(QueuePosition { asked_ms: 120, ..position(1, 9, 90) }, true)]
fn requests_that_cannot_meet_their_deadline_are_shed(#[case] position: QueuePosition, #[case] kept: bool) {
    assert_eq!(can_meet_deadline(&position), kept, "wait {}", expected_wait_ms(&position));
}
