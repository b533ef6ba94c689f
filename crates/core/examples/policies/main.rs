//! Simulates the policies and their baselines in virtual time and prints tables of the results.
//!
//! Usage: `cargo run --release -p rattanfall-core --example policies -- [share|surge|overload|ejection] [FIRST-SEED]`.
//! Each simulation runs with five consecutive seeds, by default from 1.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures of a simulation are small and positive"
)]

use std::ops::Range;

#[expect(unreachable_pub, reason = "shared with the tests")]
mod ejection;
#[expect(unreachable_pub, reason = "shared with the tests")]
mod overload;
#[expect(unreachable_pub, reason = "shared with the tests")]
mod share;
#[expect(unreachable_pub, reason = "shared with the tests")]
mod surge;

fn main() {
    let wanted = std::env::args().nth(1);
    let first = std::env::args().nth(2).and_then(|text| text.parse().ok()).unwrap_or(1);
    let seeds = first..first + 5;
    let is_wanted = |name: &str| wanted.as_deref().is_none_or(|w| w == name);
    if is_wanted("share") {
        share_table(&seeds);
    }
    if is_wanted("surge") {
        surge_table(&seeds);
    }
    if is_wanted("overload") {
        overload_table(&seeds);
    }
    if is_wanted("ejection") {
        ejection_table(&seeds);
    }
}

fn share_table(seeds: &Range<u64>) {
    println!("share: worst over {seeds:?}; distance over any 10 s of full load");
    println!(
        "{:14} {:14} {:>8} {:>8} {:>7} {:>7} {:>10} {:>8}",
        "load", "policy", "worst", "mean", "jain", "used", "small wait", "refused"
    );
    for load in share::loads() {
        for (name, policy) in share::POLICIES {
            let mut all = share::Outcome { jain: 1.0, used: 1.0, ..share::Outcome::default() };
            for seed in seeds.clone() {
                all.worsen(&share::simulate(policy, load, seed));
            }
            println!(
                "{:14} {:14} {:>7.1}% {:>7.1}% {:>7.4} {:>6.1}% {:>7} ms {:>8.3}",
                load.name,
                name,
                all.worst * 100.0,
                all.mean * 100.0,
                all.jain,
                all.used * 100.0,
                all.small_wait_ms,
                all.refused
            );
        }
    }
}

fn ejection_table(seeds: &Range<u64>) {
    println!("ejection: worst over {seeds:?}; wrong ejections are summed");
    println!(
        "{:12} {:8} {:>8} {:>10} {:>6} {:>5} {:>10}",
        "fault", "rule", "failed", "first", "wrong", "most", "back"
    );
    for fault in ejection::FAULTS {
        for (name, rule) in [
            ("never", ejection::Rule::Never),
            ("streak", ejection::Rule::Streak),
            ("compare", ejection::Rule::Compare),
        ] {
            let mut all = ejection::Figures::default();
            for seed in seeds.clone() {
                all.worsen(&ejection::simulate(rule, fault, seed));
            }
            let first = all.first_ms.map_or_else(|| "-".into(), |ms| format!("{ms} ms"));
            println!(
                "{:12} {name:8} {:>7.1}% {first:>10} {:>6} {:>5} {:>7} ms",
                fault.name,
                all.failed * 100.0,
                all.wrong,
                all.most,
                all.back_ms
            );
        }
    }
}

fn overload_table(seeds: &Range<u64>) {
    println!("overload: worst over {seeds:?}");
    println!(
        "{:8} {:>6} {:>10} {:>9} {:>8} {:>11}",
        "policy", "load", "goodput", "attempts", "wasted", "least team"
    );
    for policy in [overload::Policy::Queue, overload::Policy::Expire, overload::Policy::Shed] {
        for load in [0.5, 0.9, 1.0, 2.0, 10.0] {
            let mut all = overload::Figures::best();
            for seed in seeds.clone() {
                all.worsen(&overload::simulate(policy, load, seed));
            }
            let name = format!("{policy:?}");
            println!(
                "{name:8} {load:>5.1}x {:>8.0}/s {:>9.3} {:>7.1}% {:>11.3}",
                all.goodput,
                all.amplification,
                all.wasted * 100.0,
                all.least_team
            );
        }
    }
}

fn surge_table(seeds: &Range<u64>) {
    println!("surge: mean over {seeds:?}; ten minutes, a move takes 10 s, deadline 10 s");
    println!("{:8} {:8} {:>9} {:>7} {:>8}", "pattern", "policy", "done", "moves", "buffer");
    for pattern in [surge::Pattern::Short, surge::Pattern::Long, surge::Pattern::Shift] {
        for policy in
            [surge::Policy::Never, surge::Policy::Naive, surge::Policy::Planner, surge::Policy::Offline]
        {
            let mut all = surge::Figures::default();
            for seed in seeds.clone() {
                all.add(&surge::simulate(policy, &surge::demand(pattern, seed)), 5.0);
            }
            let (pattern, policy) = (format!("{pattern:?}"), format!("{policy:?}"));
            println!(
                "{pattern:8} {policy:8} {:>8.1}% {:>7.1} {:>7.1}%",
                all.done * 100.0,
                all.moves,
                all.buffer * 100.0
            );
        }
    }
}
