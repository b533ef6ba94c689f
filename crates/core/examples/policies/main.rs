//! Measures the policies against baselines in virtual time and prints tables.
//!
//! `cargo run --release -p rattanfall-core --example policies -- [share|surge|overload|ejection]`

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures of a simulation are small and positive"
)]

#[expect(unreachable_pub, reason = "shared with the tests")]
mod ejection;
#[expect(unreachable_pub, reason = "shared with the tests")]
mod overload;
#[expect(unreachable_pub, reason = "shared with the tests")]
mod share;

const SEEDS: std::ops::Range<u64> = 1..6;

fn main() {
    let wanted = std::env::args().nth(1);
    let is_wanted = |name: &str| wanted.as_deref().is_none_or(|w| w == name);
    if is_wanted("share") {
        share_table();
    }
    if is_wanted("overload") {
        overload_table();
    }
    if is_wanted("ejection") {
        ejection_table();
    }
}

fn share_table() {
    println!("share: worst over {SEEDS:?}; distance over any 10 s of full load");
    println!(
        "{:14} {:14} {:>8} {:>8} {:>7} {:>7} {:>10} {:>8}",
        "load", "policy", "worst", "mean", "jain", "used", "small wait", "refused"
    );
    for load in share::loads() {
        for (name, policy) in share::POLICIES {
            let mut all = share::Outcome { jain: 1.0, used: 1.0, ..share::Outcome::default() };
            for seed in SEEDS {
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

fn ejection_table() {
    println!("ejection: worst over {SEEDS:?}; wrong ejections are summed");
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
            for seed in SEEDS {
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

fn overload_table() {
    println!("overload: worst over {SEEDS:?}");
    println!(
        "{:8} {:>6} {:>10} {:>9} {:>8} {:>11}",
        "policy", "load", "goodput", "attempts", "wasted", "least team"
    );
    for policy in [overload::Policy::Queue, overload::Policy::Expire, overload::Policy::Shed] {
        for load in [0.5, 0.9, 1.0, 2.0, 10.0] {
            let mut all = overload::Figures::best();
            for seed in SEEDS {
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
