//! Requests to the policy of a queue while the service that answers them is the bottleneck, slow or away.

mod support;

use rattanfall_jobs::catalog::Policy;
use rattanfall_jobs::spec::Step;
use rattanfall_jobs::table::JobState;
use rstest::rstest;
use support::{PolicyService, UNIX, World, catalog, cores, job, step, team};

/// Policy that needs 106 ms for a request about six workers.
const TERMS: Policy = Policy { decision_ms: 100, worker_ms: 1, valid_ms: 3_000 };
/// Time after the last submission within which a job must have run if its pool is mostly free, in milliseconds.
const FINISH_MS: u64 = 14_000;

/// Pool of six workers whose queue has a policy.
fn world(terms: Policy) -> World {
    let mut catalog = catalog();
    catalog.queues[0].policy = Some(terms);
    catalog.pools.retain(|pool| pool.name == "red");
    let mut world = World::with(catalog, &[("red", 6)]);
    world.policy = Some(PolicyService::new(terms));
    world.run_for(500);
    world
}

/// Submits jobs of one short task at an interval.
fn submit_jobs(world: &mut World, ids: std::ops::Range<u64>, gap_ms: u64) {
    for id in ids {
        let mut submission = job(id, vec![step(1, cores(1), 300)]);
        submission.arrived_ms = UNIX + world.now;
        world.submit(submission);
        world.run_for(gap_ms);
    }
}

/// Jobs that are not completed.
fn incomplete(world: &World, ids: std::ops::Range<u64>) -> Vec<u64> {
    ids.filter(|id| world.state(*id) != Some(JobState::Completed)).collect()
}

fn service(world: &mut World) -> &mut PolicyService {
    world.policy.as_mut().expect("the queue has a policy")
}

/// Guards against accepted jobs that never start after a burst, because all requests to the policy wait at its service
/// until they are given up.
#[test]
fn a_burst_does_not_overload_the_policy() {
    let mut world = world(TERMS);
    submit_jobs(&mut world, 0..100, 40);
    world.run_for(FINISH_MS);
    assert_eq!(incomplete(&world, 0..100), [0; 0]);
    let service = service(&mut world);
    assert_eq!((service.refused, service.abandoned, service.requests.len()), (0, 0, 100));
}

/// Guards against decisions that are never used, because they take longer than a request may.
#[rstest]
#[case::slow(Policy { decision_ms: 4_000, ..TERMS })]
#[case::slow_for_each_worker(Policy { worker_ms: 600, ..TERMS })]
#[case::short_validity(Policy { valid_ms: 900, ..TERMS })]
fn a_job_runs_whatever_the_policy_declares(#[case] terms: Policy) {
    let mut world = world(terms);
    submit_jobs(&mut world, 0..1, 0);
    world.run_for(10_000);
    assert_eq!(incomplete(&world, 0..1), [0; 0]);
}

/// Guards against jobs that stay behind after an outage of the policy, and against requests without a pause during it.
#[rstest]
#[case::stalled(true, false)]
#[case::refusing(false, true)]
fn jobs_run_after_an_outage_of_the_policy(#[case] stalled: bool, #[case] refusing: bool) {
    let mut world = world(TERMS);
    (service(&mut world).stalled, service(&mut world).refusing) = (stalled, refusing);
    submit_jobs(&mut world, 0..40, 250);
    world.run_for(20_000);
    // Two at once, and each failure has them pause.
    let requests = service(&mut world).requests.len();
    assert!(requests <= 100, "{requests} requests in 30 s");
    (service(&mut world).stalled, service(&mut world).refusing) = (false, false);
    world.run_for(FINISH_MS);
    assert_eq!(incomplete(&world, 0..40), [0; 0]);
}

/// Guards against jobs that wait because all requests are about others: for which no worker is large enough, which may run
/// nowhere, or whose tickets are no longer valid when a worker has room.
#[rstest]
#[case::too_large(cores(100), false)]
#[case::permitted_nowhere(cores(1), true)]
fn hopeless_jobs_do_not_use_up_the_requests(
    #[case] need: rattanfall_jobs::spec::Resources,
    #[case] denied: bool,
) {
    let mut world = world(TERMS);
    for id in 1_000..1_060 {
        // They go first: their objectives are far in the past.
        let submission = job(id, vec![Step { long_running: true, ..step(1, need, 300) }]);
        if denied {
            service(&mut world).denied_jobs.insert(id);
        }
        world.submit(submission);
    }
    submit_jobs(&mut world, 0..40, 200);
    world.run_for(FINISH_MS);
    assert_eq!(incomplete(&world, 0..40), [0; 0]);
}

/// Guards against jobs of one team that wait behind the requests for a surge of another.
#[test]
fn a_surge_of_one_team_does_not_keep_requests_from_another() {
    let mut catalog = catalog();
    catalog.queues[0].policy = Some(TERMS);
    catalog.pools.retain(|pool| pool.name == "red");
    catalog.teams = vec![team("moss", cores(0)), team("fern", cores(0))];
    let mut world = World::with(catalog, &[("red", 6)]);
    world.policy = Some(PolicyService::new(TERMS));
    world.run_for(500);
    let mut late = Vec::new();
    for round in 0..200 {
        let mut submission = job(round, vec![step(1, cores(1), 300)]);
        submission.arrived_ms = UNIX + world.now;
        world.submit(submission);
        if round % 20 == 10 {
            let mut submission = job(1_000 + round, vec![step(1, cores(1), 300)]);
            (submission.team, submission.arrived_ms) = (Some("fern".into()), UNIX + world.now);
            world.submit(submission);
        }
        world.run_for(40);
        let before = 1_000 + round.saturating_sub(50);
        late.extend(
            (1_000..before).filter(|id| id % 20 == 10 && world.state(*id) != Some(JobState::Completed)),
        );
    }
    late.dedup();
    assert_eq!(late, [0; 0], "not completed 2 s after they were submitted");
}

/// Guards against requests about jobs that wait for room, which keep those that could start from being decided.
#[test]
fn a_request_for_a_job_that_can_start_goes_before_those_of_a_full_pool() {
    let mut world = world(TERMS);
    // Five workers are full for long; ten large jobs wait for them.
    for id in 1_000..1_015 {
        world.submit(job(id, vec![step(1, cores(10), 60_000)]));
    }
    world.run_for(5_000);
    submit_jobs(&mut world, 0..20, 150);
    world.run_for(2_000);
    assert_eq!(incomplete(&world, 0..20), [0; 0]);
}
