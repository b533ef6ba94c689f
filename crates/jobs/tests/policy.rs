//! Requests to the policy of a queue while the service that answers them is the bottleneck, slow or away.

mod support;

use std::collections::BTreeSet;

use rattanfall_jobs::catalog::Policy;
use rattanfall_jobs::ids::JobId;
use rattanfall_jobs::spec::{Schedule, Step};
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

/// Guards against the delay of a step that starts anew with each request, because the number of its requests is forgotten
/// in between.
#[test]
fn many_hopeless_jobs_do_not_delay_the_others() {
    let mut world = world(TERMS);
    for id in 1_000..1_040 {
        service(&mut world).denied_jobs.insert(id);
        world.submit(job(id, vec![Step { long_running: true, ..step(1, cores(1), 300) }]));
    }
    // Their delays grow meanwhile.
    world.run_for(60_000);
    let mut late = BTreeSet::new();
    for id in 0..150 {
        submit_jobs(&mut world, id..id + 1, 200);
        late.extend(incomplete(&world, 0..id.saturating_sub(15)));
    }
    assert!(late.is_empty(), "{} of 150 not completed 3 s after they were submitted", late.len());
}

/// As above, for one job: the intervals between the requests that go before those of others.
#[test]
fn a_step_that_starts_nothing_is_asked_about_less_and_less() {
    let mut world = world(TERMS);
    service(&mut world).denied_jobs.insert(1_000);
    world.submit(job(1_000, vec![Step { long_running: true, ..step(1, cores(1), 300) }]));
    // The service is always busy, so that a request that may wait is not sent.
    for id in 0..1_200 {
        submit_jobs(&mut world, id..id + 1, 80);
    }
    let requests = &service(&mut world).requests;
    let times: Vec<u64> =
        requests.iter().filter(|(_, request)| request.step.job.0 == 1_000).map(|(at, _)| *at).collect();
    assert!((3..=10).contains(&times.len()), "{} requests in 96 s, at {times:?}", times.len());
}

/// Guards against a job that waited for room for long and then waits for its turn to be decided on.
#[test]
fn a_job_that_waited_for_room_is_decided_on_once_there_is_room() {
    let mut world = world(TERMS);
    for id in 1_000..1_012 {
        world.submit(job(id, vec![step(1, cores(10), 60_000)]));
    }
    submit_jobs(&mut world, 0..400, 150);
    let begun = |world: &World| world.starts.iter().filter(|(_, task, ..)| task.job.0 >= 1_000).count();
    assert_eq!(begun(&world), 6);
    submit_jobs(&mut world, 400..430, 150);
    assert_eq!(begun(&world), 12);
}

/// Guards against what is known of steps that are done staying until the end of a repeated job.
#[test]
fn what_is_known_of_the_steps_of_a_repeated_job_is_removed() {
    let mut world = world(TERMS);
    let schedule = Schedule { start_ms: UNIX + 1_000, interval_ms: 500, times: 1_000 };
    let mut submission = job(1, vec![step(12, cores(8), 300)]);
    submission.schedule = Some(schedule);
    world.submit(submission);
    world.run_for(60_000);
    let progress = &world.dispatcher.table.get(JobId(1)).expect("it is submitted").progress;
    assert!(progress.begun >= 100, "{} occurrences have begun", progress.begun);
    let known = format!("{:?}", world.dispatcher).matches("StepDecisions {").count();
    assert!(known <= 20, "{known} steps are known");
}
