//! Placement: choice of a worker.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rattanfall_core::policy::placement::{Candidate, RunTime, place};

const IDLE: Candidate = Candidate { own_zone: true, in_flight: 0, slots: 8, team_in_rack: 0, run_ms: 100.0 };

/// How often each candidate is chosen in 1,000 calls.
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

/// A worker without a free slot must not get work.
#[test]
fn full_workers_get_no_work() {
    let full = Candidate { in_flight: 8, ..IDLE };
    assert_eq!(counts(&[full, IDLE, full], 0), [0, 1_000, 0]);
    assert_eq!(counts(&[full, full], 0), [0, 0]);
    assert_eq!(counts(&[], 0), []);
}

/// Work should stay in the own zone, but not while that fills up and other zones are idle.
#[test]
fn own_zone_is_preferred_until_it_is_much_busier() {
    let (far, busy) = (Candidate { own_zone: false, ..IDLE }, Candidate { in_flight: 3, ..IDLE });
    assert_eq!(counts(&[busy, far], 0), [1_000, 0]);
    assert_eq!(counts(&[Candidate { in_flight: 6, ..IDLE }, far], 0), [0, 1_000]);
    assert_eq!(counts(&[Candidate { in_flight: 8, ..IDLE }, far], 0), [0, 1_000]);
}

/// Instances must neither all choose the same least loaded worker nor ignore the load.
#[test]
fn less_loaded_of_two_workers_is_chosen() {
    let busy = Candidate { in_flight: 5, ..IDLE };
    let counts = counts(&[IDLE, IDLE, IDLE, busy], 0);
    assert_eq!(counts[3], 0);
    assert!(counts[..3].iter().all(|&count| count > 250), "{counts:?}");
}

/// A worker that is much slower than its peers must get less work.
#[test]
fn slow_workers_get_less_work() {
    let (slow, busy) = (Candidate { run_ms: 1_000.0, ..IDLE }, Candidate { in_flight: 4, ..IDLE });
    assert_eq!(counts(&[slow, busy], 0), [0, 1_000]);
}

/// A team must not lose most of its work with one rack.
#[test]
fn rack_with_half_of_the_teams_work_is_avoided() {
    let half_in_rack = Candidate { team_in_rack: 6, ..IDLE };
    let busy = Candidate { in_flight: 7, ..IDLE };
    assert_eq!(counts(&[half_in_rack, busy], 10), [0, 1_000]);
    assert_eq!(counts(&[half_in_rack], 10), [1_000]);
    assert_eq!(counts(&[Candidate { team_in_rack: 2, ..IDLE }, busy], 3), [1_000, 0]);
}

/// The mean run time must not start at zero or follow single answers.
#[test]
fn run_time_is_a_decayed_mean() {
    let mut run = RunTime::default();
    assert_eq!(run.mean_ms(), None);
    run.learn(100.0);
    run.learn(200.0);
    assert!(run.mean_ms().is_some_and(|ms| (ms - 110.0).abs() < 1e-9));
}
