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
mod share;

const SEEDS: std::ops::Range<u64> = 1..6;

fn main() {
    let wanted = std::env::args().nth(1);
    let is_wanted = |name: &str| wanted.as_deref().is_none_or(|w| w == name);
    if is_wanted("share") {
        share_table();
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
