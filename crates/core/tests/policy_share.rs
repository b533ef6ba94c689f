//! Fair sharing in virtual time, against the target of 3 percent deviation over any 10 s of full load.

#![expect(clippy::cast_precision_loss, reason = "figures of a simulation are small")]
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures of a simulation are small"
)]

#[expect(unreachable_pub, reason = "shared with the example")]
#[path = "../examples/policies/share.rs"]
mod simulation;

use rstest::rstest;
use simulation::{Outcome, POLICIES, loads, simulate};

/// Runs load `index` under a policy with five seeds and returns the worst figures.
fn worst(policy: usize, index: usize) -> Outcome {
    let mut all = Outcome { jain: 1.0, used: 1.0, ..Outcome::default() };
    for seed in 1..6 {
        all.worsen(&simulate(POLICIES[policy].1, loads()[index], seed));
    }
    all
}

/// Shares must not deviate when instances see out-of-date figures or hold slots that others are owed.
#[rstest]
#[case::all_50_ms(0)]
#[case::all_200_ms(1)]
#[case::all_1000_ms(2)]
#[case::some_50_ms(3)]
#[case::some_200_ms(4)]
#[case::some_1000_ms(5)]
fn shares_are_within_3_percent_over_any_10_s(#[case] load: usize) {
    let outcome = worst(POLICIES.len() - 1, load);
    assert!(outcome.worst <= 0.03, "{}: {outcome:?}", loads()[load].name);
}

/// Checks the metric itself: the baselines must deviate far from the shares.
#[rstest]
#[case::first_come(0)]
#[case::per_instance(1)]
fn baselines_deviate_from_the_shares(#[case] policy: usize) {
    let outcome = simulate(POLICIES[policy].1, loads()[1], 1);
    assert!(outcome.worst > 0.2, "{outcome:?}");
}
