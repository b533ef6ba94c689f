//! Choice of a worker.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rattanfall_core::policy::placement::{Candidate, RunTime, place};

const IDLE: Candidate = Candidate { own_zone: true, in_flight: 0, slots: 8, team_in_rack: 0, run_ms: 100.0 };

/// Number of times that each candidate is chosen out of 1,000.
fn counts(candidates: &[Candidate], team_running: u32) -> Vec<u32> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..1_000 {
        if let Some(index) = place(candidates, team_running, &mut rng) {
            counts[index] += 1;
        }
    }
    counts
}

/// Guards against work sent to a worker without a free slot.
#[test]
fn full_workers_get_nothing() {
    let full = Candidate { in_flight: 8, ..IDLE };
    assert_eq!(counts(&[full, IDLE, full], 0), [0, 1_000, 0]);
    assert_eq!(counts(&[full, full], 0), [0, 0]);
    assert_eq!(counts(&[], 0), []);
}

/// Guards against needless hops, and against an own zone that fills up while others are idle.
#[test]
fn the_own_zone_comes_first_until_it_is_much_fuller() {
    let (far, busy) = (Candidate { own_zone: false, ..IDLE }, Candidate { in_flight: 3, ..IDLE });
    assert_eq!(counts(&[busy, far], 0), [1_000, 0]);
    assert_eq!(counts(&[Candidate { in_flight: 6, ..IDLE }, far], 0), [0, 1_000]);
    assert_eq!(counts(&[Candidate { in_flight: 8, ..IDLE }, far], 0), [0, 1_000]);
}

/// Guards against instances that all send to the one least loaded worker, and against blind random choice.
#[test]
fn the_less_loaded_of_two_is_taken() {
    let busy = Candidate { in_flight: 5, ..IDLE };
    let counts = counts(&[IDLE, IDLE, IDLE, busy], 0);
    assert_eq!(counts[3], 0);
    assert!(counts[..3].iter().all(|&count| count > 250), "{counts:?}");
}

/// Guards against equal work for a worker that is much slower than its peers.
#[test]
fn slow_workers_get_less() {
    let (slow, busy) = (Candidate { run_ms: 1_000.0, ..IDLE }, Candidate { in_flight: 4, ..IDLE });
    assert_eq!(counts(&[slow, busy], 0), [0, 1_000]);
}

/// Guards against a team that loses most of its work with one rack.
#[test]
fn a_rack_with_half_of_the_teams_work_is_avoided() {
    let crowded = Candidate { team_in_rack: 6, ..IDLE };
    let busy = Candidate { in_flight: 7, ..IDLE };
    assert_eq!(counts(&[crowded, busy], 10), [0, 1_000]);
    assert_eq!(counts(&[crowded], 10), [1_000]);
    assert_eq!(counts(&[Candidate { team_in_rack: 2, ..IDLE }, busy], 3), [1_000, 0]);
}

/// Guards against a learned run time that starts at zero or follows single answers.
#[test]
fn run_time_is_a_decayed_mean() {
    let mut run = RunTime::default();
    assert_eq!(run.mean_ms(), None);
    run.learn(100.0);
    run.learn(200.0);
    assert!(run.mean_ms().is_some_and(|ms| (ms - 110.0).abs() < 1e-9));
}
