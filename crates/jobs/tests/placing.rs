//! Placement of tasks: capacity, limits, dependencies between steps and priorities.

mod support;

use std::sync::Arc;

use rattanfall_jobs::catalog::{Catalog, Policy};
use rattanfall_jobs::ids::JobId;
use rattanfall_jobs::spec::{Resources, Schedule, Step, Submission};
use rattanfall_jobs::table::JobState;
use rstest::rstest;
use support::{UNIX, World, catalog, cores, job, step, task, team};

#[test]
fn a_job_of_two_steps_completes_in_order() {
    let mut world = World::new(2);
    let second = Step { after: vec![0], ..step(2, cores(1), 300) };
    world.submit(job(1, vec![step(3, cores(1), 500), second]));
    assert_eq!(world.state(1), Some(JobState::Queued));
    world.run_for(300);
    assert_eq!(world.state(1), Some(JobState::Running));
    world.run_for(2_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    let steps: Vec<u16> = world.starts.iter().map(|(_, task, _, _)| task.step).collect();
    assert_eq!(steps, [0, 0, 0, 1, 1]);
    let first_end = world.starts[0].0 + 500;
    assert!(world.starts[3].0 >= first_end);
}

#[test]
fn room_of_a_worker_is_never_passed() {
    let mut world = World::new(2);
    for id in 1..=6 {
        world.submit(job(id, vec![step(5, cores(5), 400)]));
    }
    world.run_for(6_000);
    assert!(world.peak_cpu <= 16_000, "{} of 16000", world.peak_cpu);
    assert!((1..=6).all(|id| world.state(id) == Some(JobState::Completed)));
}

#[test]
fn nothing_starts_before_its_placement_is_stored() {
    let mut world = World::new(2);
    world.run_for(500);
    world.down = true;
    world.submit(job(1, vec![step(2, cores(1), 300)]));
    world.run_for(2_000);
    assert!(world.starts.is_empty());
    world.down = false;
    world.run_for(1_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
}

#[test]
fn an_end_is_acknowledged_only_once_it_is_stored() {
    let mut world = World::new(1);
    world.submit(job(1, vec![step(1, cores(1), 300)]));
    world.run_for(200);
    world.down = true;
    world.run_for(2_000);
    assert!(world.polls.iter().all(|(_, poll)| poll.acknowledged == 0));
    assert_eq!(world.state(1), Some(JobState::Running), "shown as completed before that was stored");
    world.down = false;
    world.run_for(1_500);
    assert_eq!(world.polls.last().map(|(_, poll)| poll.acknowledged), Some(1));
    assert_eq!(world.state(1), Some(JobState::Completed));
}

/// Guards against polling at the longer interval, meant for a store that does not answer, after a poll that
/// reported ends.
#[test]
fn polls_continue_as_soon_as_ends_are_stored() {
    let mut world = World::new(1);
    for id in 1..=8 {
        world.submit(job(id, vec![step(1, cores(1), 300 + 50 * id)]));
    }
    world.run_for(1_200);
    let done = (1..=8).filter(|id| world.state(*id) == Some(JobState::Completed)).count();
    assert_eq!(done, 8);
}

#[test]
fn a_team_stays_within_its_limit() {
    let mut catalog = catalog();
    catalog.teams = vec![team("moss", Resources { cpu: 4_000, memory: 0, accelerators: 0 })];
    let mut world = World::with(catalog, &[("red", 4)]);
    world.submit(job(1, vec![step(12, cores(1), 500)]));
    for _ in 0..300 {
        world.round();
        assert!(world.running().len() <= 4);
    }
    assert_eq!(world.state(1), Some(JobState::Completed));
}

/// Guards against a team that passes its limit after a takeover, since the runs of its ended job on a worker that is cut off count for no
/// team.
#[test]
fn runs_of_an_ended_job_count_for_their_team_after_a_takeover() {
    let mut catalog = catalog();
    catalog.teams = vec![team("moss", Resources { cpu: 4_000, memory: 0, accelerators: 0 })];
    let mut world = World::with(catalog, &[("red", 6)]);
    world.run_for(500);
    world.submit(job(1, vec![step(4, cores(1), 30_000)]));
    world.run_for(1_000);
    assert_eq!(world.running().len(), 4);
    world.workers.values_mut().for_each(|worker| worker.partitioned = !worker.runs.is_empty());
    world.cancel(1);
    world.run_for(200);
    world.take_over();
    world.submit(job(2, vec![step(4, cores(1), 500)]));
    for _ in 0..1_500 {
        world.round();
        assert!(world.running().len() <= 4, "{} tasks run at {}", world.running().len(), world.now);
    }
    assert_eq!(world.state(2), Some(JobState::Completed));
}

/// Guards against a start that is repeated although its team's limit has been lowered below what the team uses.
#[test]
fn a_start_without_an_answer_is_not_repeated_beyond_a_lowered_limit() {
    let limited = |version, cpu| Catalog {
        version,
        teams: vec![team("moss", Resources { cpu, memory: 0, accelerators: 0 })],
        ..catalog()
    };
    let mut world = World::with(limited(1, 8_000), &[("red", 2)]);
    world.submit(job(1, vec![step(4, cores(1), 5_000)]));
    world.run_for(1_500);
    world.workers.values_mut().for_each(|worker| worker.partitioned = true);
    world.submit(job(2, vec![step(1, cores(1), 500)]));
    world.run_for(50);
    assert_eq!(world.start_orders.len(), 5);
    world.dispatcher.set_catalog(Arc::new(limited(2, 2_000)));
    world.workers.values_mut().for_each(|worker| worker.partitioned = false);
    world.run_for(2_000);
    assert_eq!(world.starts.len(), 4, "{:?}", world.starts);
    world.run_for(5_000);
    assert_eq!(world.state(2), Some(JobState::Completed));
}

#[test]
fn a_step_that_is_to_be_spread_has_one_task_on_each_worker() {
    let mut world = World::new(4);
    world.submit(job(1, vec![Step { spread: Some(1), ..step(4, cores(1), 500) }]));
    world.run_for(300);
    let mut workers: Vec<&String> = world.starts.iter().map(|(_, _, _, worker)| worker).collect();
    workers.sort_unstable();
    workers.dedup();
    assert_eq!(workers.len(), 4);
}

#[rstest]
#[case::label(Step { label: Some("r1".into()), ..step(2, cores(1), 300) })]
#[case::near_data(Step { data_rack: Some("r1".into()), ..step(2, cores(1), 300) })]
fn tasks_go_to_the_rack_that_they_name(#[case] step: Step) {
    let mut world = World::new(8);
    world.submit(job(1, vec![step]));
    world.run_for(300);
    assert_eq!(world.starts.len(), 2);
    let in_rack = ["red-04", "red-05", "red-06", "red-07"].map(|name| world.worker_on(name));
    assert!(world.starts.iter().all(|(_, _, _, worker)| in_rack.contains(worker)));
}

#[test]
fn a_gang_starts_whole_and_under_one_number() {
    let mut world = World::new(2);
    world.submit(job(1, vec![step(20, cores(1), 1_000)]));
    world.run_for(200);
    world.submit(job(2, vec![Step { gang: true, ..step(16, cores(1), 500) }]));
    world.run_for(400);
    assert!(world.starts.iter().all(|(_, task, _, _)| task.job == JobId(1)));
    world.run_for(3_000);
    let gang: Vec<_> = world.starts.iter().filter(|(_, task, _, _)| task.job == JobId(2)).collect();
    assert_eq!(gang.len(), 16);
    assert!(gang.iter().all(|(at, _, run, _)| *run == 1 && at.abs_diff(gang[0].0) < 100));
}

#[test]
fn a_task_that_always_fails_ends_its_job_after_its_attempts() {
    let mut world = World::new(2);
    world.failing_jobs.insert(JobId(1));
    world.submit(job(1, vec![step(1, cores(1), 200)]));
    world.run_for(4_000);
    assert_eq!(world.starts.len(), 3);
    assert_eq!(world.state(1), Some(JobState::Failed));
}

#[test]
fn a_cancelled_job_stops_and_starts_nothing_more() {
    let mut world = World::new(1);
    world.submit(job(1, vec![step(40, cores(1), 1_000)]));
    world.run_for(400);
    let begun = world.starts.len();
    world.cancel(1);
    world.run_for(3_000);
    assert_eq!(world.starts.len(), begun);
    assert!(world.running().is_empty());
    assert_eq!(world.state(1), Some(JobState::Canceled));
}

#[test]
fn nothing_starts_in_an_evacuated_availability_zone() {
    let mut world = World::new(6);
    let closed = ["red-01", "red-04"].map(|name| world.worker_on(name));
    world.dispatcher.set_evacuated(["zone-1".to_owned()].into());
    world.submit(job(1, vec![step(12, cores(4), 300)]));
    world.run_for(3_000);
    assert!(world.starts.iter().all(|(_, _, _, worker)| !closed.contains(worker)));
    assert_eq!(world.state(1), Some(JobState::Completed));
}

#[test]
fn occurrences_start_when_they_are_due() {
    let mut world = World::new(2);
    let schedule = Schedule { start_ms: UNIX + 1_000, interval_ms: 500, times: 3 };
    let mut timed = job(1, vec![step(1, cores(1), 800)]);
    timed.schedule = Some(schedule);
    world.submit(timed);
    world.run_for(5_000);
    let starts: Vec<(u32, u64)> =
        world.starts.iter().map(|(at, task, _, _)| (task.occurrence, *at / 100)).collect();
    assert_eq!(starts, [(0, 10), (1, 15), (2, 20)]);
    assert_eq!(world.state(1), Some(JobState::Completed));
}

#[test]
fn a_long_running_task_is_restarted_however_it_ends() {
    let mut world = World::new(3);
    world.submit(job(1, vec![Step { long_running: true, ..step(2, cores(1), 700) }]));
    world.run_for(2_000);
    let (_, _, _, worker) = world.starts[0].clone();
    let runs = &mut world.workers.get_mut(&worker).expect("it is known").runs;
    runs.get_mut(&task(1, 0, 0)).expect("it runs").ends = 2_100;
    world.run_for(1_000);
    assert_eq!(world.running().len(), 2);
    assert_eq!(world.starts.last().map(|(_, _, run, _)| *run), Some(2));
}

/// In a surge of twice the capacity of the pool, jobs that can still be on time must go first.
#[test]
fn in_a_surge_most_jobs_that_fit_are_on_time() {
    let mut world = World::new(2);
    let mut objectives = Vec::new();
    let mut on_time = 0;
    for round in 0..1_200 {
        if round % 10 == 0 && round < 600 {
            let id = round / 10 + 1;
            let mut submission = job(id, vec![step(4, cores(2), 800)]);
            submission.arrived_ms = UNIX + world.now;
            world.submit(submission);
            // 160 % of the tasks' duration plus 600 ms, as in the terms of the queues.
            objectives.push((id, world.now + 800 * 160 / 100 + 600));
        }
        world.round();
        objectives.retain(|(id, objective)| {
            let done = world.state(*id) == Some(JobState::Completed);
            on_time += usize::from(done && world.now <= *objective);
            !done
        });
    }
    // Two workers run 4 jobs at once for 0.9 s each including overhead, so 30 of the 60 can end by their
    // objectives. First come, first served makes nearly all late.
    assert!(on_time >= 25, "{on_time} of 60 on time");
}

#[test]
fn a_policy_decides_which_workers_run_a_step() {
    let mut catalog = catalog();
    catalog.queues[0].policy = Some(Policy { decision_ms: 5, worker_ms: 1, valid_ms: 3_000 });
    let mut world = World::with(catalog, &[("red", 5)]);
    world.submit(job(1, vec![step(6, cores(1), 300)]));
    world.run_for(2_000);
    let (_, asked) = world.asked[0].clone();
    assert!(world.starts.iter().all(|(_, _, _, worker)| asked[..2].contains(worker)));
    assert_eq!(world.state(1), Some(JobState::Completed));
}

#[test]
fn memory_counts_as_room() {
    let mut world = World::new(1);
    let need = Resources { cpu: 100, memory: 40_000, accelerators: 0 };
    world.submit(job(1, vec![step(2, need, 400)]));
    world.run_for(300);
    assert_eq!(world.running().len(), 1);
    world.run_for(1_500);
    assert_eq!(world.state(1), Some(JobState::Completed));
}

/// Guards against late jobs of one team while another submits far more than the capacity of the pool. This
/// happens if jobs of all teams are served alike.
#[test]
fn a_surge_of_one_team_does_not_starve_another() {
    let mut catalog = catalog();
    catalog.pools.retain(|pool| pool.name == "red");
    catalog.teams = vec![team("moss", Resources::default()), team("fern", Resources::default())];
    let mut world = World::with(catalog, &[("red", 2)]);
    let mut objectives = Vec::new();
    let mut on_time = 0;
    for round in 0..1_000 {
        if round % 5 == 0 && round < 600 {
            let mut submission = job(round, vec![step(4, cores(2), 800)]);
            submission.arrived_ms = UNIX + world.now;
            world.submit(submission);
        }
        if round % 50 == 20 && round < 600 {
            let id = 10_000 + round;
            let mut submission = job(id, vec![step(4, cores(2), 800)]);
            submission.team = Some("fern".into());
            submission.arrived_ms = UNIX + world.now;
            world.submit(submission);
            // 160 % of the tasks' duration plus 600 ms, as in the terms of the queues.
            objectives.push((id, world.now + 800 * 160 / 100 + 600));
        }
        world.round();
        objectives.retain(|(id, objective)| {
            let done = world.state(*id) == Some(JobState::Completed);
            on_time += usize::from(done && world.now <= *objective);
            !done
        });
    }
    // The surge alone demands four times the capacity of the pool, the other team two fifths of it.
    assert!(on_time >= 10, "{on_time} of 12 jobs of the other team on time");
}

/// The reasons why a job waits must be visible to operators.
#[test]
fn operators_see_what_each_step_waits_for() {
    let mut world = World::new(1);
    let second = Step { after: vec![0], ..step(1, cores(1), 500) };
    world.submit(job(1, vec![step(2, cores(12), 5_000), second]));
    world.submit(job(2, vec![step(1, cores(40), 500)]));
    world.submit(job(3, vec![Step { label: Some("large".into()), ..step(1, cores(1), 500) }]));
    world.run_for(500);
    let explain = |id: u64| world.dispatcher.explain(world.now, JobId(id));
    assert_eq!(
        explain(1),
        [
            "step 0 of occurrence 0 waits: all workers of pool red are full",
            "step 1 of occurrence 0 waits: it comes after step 0, which is not done",
        ]
    );
    assert_eq!(
        explain(2),
        ["step 0 of occurrence 0 waits: no worker of pool red is large enough for a task"]
    );
    assert!(explain(3)[0].contains("has the label"), "{:?}", explain(3));
    let pool = &world.dispatcher.pools(world.now)[0];
    assert_eq!((pool.workers, pool.open, pool.runs, pool.used_percent), (1, 1, 1, 75));
}

/// Guards against a pass that examines every worker for every waiting job, with which a surge uses all of the
/// owner's time.
#[test]
fn a_pass_over_many_waiting_jobs_examines_each_worker_a_few_times() {
    const JOBS: u64 = 600;
    const WORKERS: usize = 60;
    let mut world = World::with(catalog(), &[("red", WORKERS / 2), ("blue", WORKERS / 2)]);
    world.run_for(300);
    for id in 1..=JOBS {
        let need =
            Resources { cpu: 1_400 + 10 * (id * 37 % 50), memory: 5_000 + id * 53 % 90, accelerators: 0 };
        let first = Step { spread: (id % 7 == 0).then_some(2), gang: id % 5 == 0, ..step(8, need, 60_000) };
        let queue = if id % 2 == 0 { "orders" } else { "quotes" };
        world.submit(Submission { queue: queue.into(), ..job(id, vec![first]) });
    }
    world.run_for(2_000);
    assert!(world.running().len() > WORKERS * 8, "{} run", world.running().len());
    world.publish_directory();
    let before = world.dispatcher.counters.examined;
    world.dispatcher.tick(world.now + 1_000);
    let examined = world.dispatcher.counters.examined - before;
    assert!(examined > 0, "the tick made no pass");
    assert!(examined <= 3 * (WORKERS as u64 + JOBS), "{examined} workers examined in one pass");
}

/// Guards against an unbounded queue of unsent starts in the owner, as after a takeover, which leaves the
/// resources reserved for them idle.
#[test]
fn starts_without_an_answer_are_bounded() {
    // At 1,000 starts per second, the rate that the pools need, 333 starts are a third of a second of
    // waiting.
    const MAX_UNANSWERED: usize = 333;
    let mut world = World::new(100);
    world.run_for(300);
    for id in 1..=200 {
        world.submit(job(id, vec![step(8, cores(1), 500)]));
    }
    world.send_limit = Some(0);
    world.run_for(500);
    let waiting = world.unsent.len();
    assert!((1..=MAX_UNANSWERED).contains(&waiting), "{waiting} starts wait");
    world.send_limit = None;
    world.run_for(3_000);
    assert!((1..=200).all(|id| world.state(id) == Some(JobState::Completed)));
}

/// Guards against late jobs that make no progress because newer ones take all starts that the owner can send,
/// and against late jobs that each get one task in turn so that none completes.
#[test]
fn late_jobs_are_finished_one_after_the_other_while_newer_ones_come() {
    const LATE: u64 = 300;
    const TASKS: u32 = 8;
    const SENDS: usize = 4;
    const ROUNDS: u64 = 1_000;
    // A quarter of the starts is for late jobs; half of that allows for passes that find no free resources.
    const MIN_DONE: u64 = ROUNDS * SENDS as u64 / TASKS as u64 / 4 / 2;
    // Jobs with unanswered starts, of which there are at most 333, and as many whose tasks run.
    const MAX_BEGUN: usize = 2 * 333 / TASKS as usize;
    let mut world = World::new(100);
    world.run_for(300);
    world.send_limit = Some(SENDS);
    for id in 1..=LATE {
        world.submit(job(id, vec![step(TASKS, cores(1), 300)]));
        world.dispatcher.set_unix(world.now, UNIX + world.now);
    }
    let mut begun = 0;
    for round in 0..ROUNDS {
        // The newer jobs alone could use all starts.
        if round % 2 == 0 {
            let mut submission = job(1_000 + round, vec![step(TASKS, cores(1), 300)]);
            submission.arrived_ms = UNIX + world.now;
            world.submit(submission);
        }
        world.round();
        begun = begun.max((1..=LATE).filter(|id| world.state(*id) == Some(JobState::Running)).count());
    }
    let done = (1..=LATE).filter(|id| world.state(*id) == Some(JobState::Completed)).count() as u64;
    assert!(done >= MIN_DONE, "{done} late jobs are done, {begun} were begun at once");
    assert!(begun <= MAX_BEGUN, "{begun} late jobs were begun at once");
}

/// Guards against an interval between passes that grows with the number of placed tasks, which limits the
/// starts per second.
#[test]
fn a_backlog_starts_as_fast_as_workers_answer() {
    let mut world = World::new(100);
    world.run_for(300);
    for id in 1..=1_500 {
        world.submit(job(id, vec![step(8, cores(1), 500)]));
    }
    world.starts.clear();
    world.run_for(1_000);
    // The workers can run 3,200 of these tasks per second.
    assert!(world.starts.len() >= 2_400, "{} starts in a second", world.starts.len());
}

/// Guards against a search that examines every worker for every task, which limited a fleet of 900 workers to 1,800 starts
/// a second while half of its processors were free.
#[test]
fn a_pass_over_many_workers_examines_few_for_each_task() {
    const WORKERS: u64 = 900;
    const TASKS: u64 = 256;
    let mut world = World::new(WORKERS as usize);
    world.run_for(300);
    for id in 1..=TASKS / 8 {
        let spread = (id % 4 == 0).then_some(1);
        let need = Resources { cpu: 1_400 + 100 * (id % 9), memory: 6_000, accelerators: 0 };
        world.submit(job(id, vec![Step { spread, ..step(8, need, 800) }]));
    }
    let before = world.dispatcher.counters.examined;
    world.dispatcher.tick(world.now + 10);
    let examined = world.dispatcher.counters.examined - before;
    assert!(examined <= WORKERS + 8 * TASKS, "{examined} workers examined for {TASKS} tasks");
}

/// Plays the start of a surge on a large pool. 7,000 cores in tasks of 2.1 cores and 0.8 s are 4,200 starts a second.
#[test]
fn a_surge_on_hundreds_of_workers_starts_at_the_rate_that_it_asks_for() {
    const STARTS: usize = 4_200;
    let mut world = World::new(900);
    world.run_for(300);
    for id in 1..=1_500 {
        let need = Resources { cpu: 2_100, memory: 6_000, accelerators: 0 };
        world.submit(job(id, vec![step(8, need, 800)]));
    }
    world.starts.clear();
    world.run_for(1_000);
    assert!(world.starts.len() >= STARTS, "{} starts in a second", world.starts.len());
}

/// Guards against gangs that are shown as running while they wait for room, and are missing from the pending jobs.
#[test]
fn a_gang_that_waits_for_room_is_pending() {
    let mut world = World::new(6);
    world.run_for(500);
    for id in 1..=5 {
        world.submit(job(id, vec![step(1, cores(10), 30_000)]));
    }
    world.run_for(500);
    assert_eq!(world.starts.len(), 5);
    // Two of these tasks fit on the free worker.
    for (id, count) in [(6, 7), (7, 6), (8, 5), (9, 4), (10, 3)] {
        world.submit(job(id, vec![Step { gang: true, ..step(count, cores(8), 200) }]));
    }
    world.run_for(6_500);
    (6..=10).for_each(|id| assert_eq!(world.state(id), Some(JobState::Queued), "job {id}"));
    assert_eq!(world.dispatcher.table.pending().get("quotes"), Some(&5));
    world.dispatcher.tick(world.now);
    assert!(world.dispatcher.take_write(world.now).is_none(), "waiting gangs are stored again and again");
    world.run_for(40_000);
    (6..=10).for_each(|id| assert_eq!(world.state(id), Some(JobState::Completed), "job {id}"));
}

/// Guards against jobs that are shown as running although no worker has taken a task.
#[test]
fn a_job_that_no_worker_has_taken_is_pending() {
    let mut world = World::new(2);
    world.run_for(500);
    world.workers.values_mut().for_each(|worker| worker.partitioned = true);
    world.submit(job(1, vec![step(2, cores(1), 300)]));
    world.run_for(5_000);
    assert_eq!(world.starts.len(), 0);
    assert_eq!(world.state(1), Some(JobState::Queued));
    world.workers.values_mut().for_each(|worker| worker.partitioned = false);
    world.run_for(5_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
}
