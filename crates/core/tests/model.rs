//! Exhaustive exploration of the model within its bounds.
//!
//! A setup without faults must not reach a broken world; each seeded fault must be caught with a counterexample.

use std::collections::BTreeSet;
use std::time::Instant;

use pathfinding::directed::bfs::bfs;
use rattanfall_core::model::{Bounds, Broken, Faults, Kind, Model, Setup, World};
use rstest::{Context, rstest};

struct Report {
    /// Names of the steps that occurred, with the names of the records that were written.
    steps: BTreeSet<String>,
    path: Option<Vec<World>>,
}

fn explore(name: &str, model: &Model) -> Report {
    let (mut states, mut names, begin) = (0, BTreeSet::new(), Instant::now());
    let successors = |world: &World| {
        states += 1;
        let steps = model.steps(world);
        steps
            .into_iter()
            .map(|(step, next)| {
                names.insert(step.name());
                next
            })
            .collect::<Vec<_>>()
    };
    let path = bfs(&model.start(), successors, |world| world.broken.is_some());
    println!("{name}: {states} states expanded in {:.1} s", begin.elapsed().as_secs_f64());
    Report { steps: names, path }
}

fn assert_sound(name: &str, setup: Setup, needed: &str) {
    let model = Model::new(setup);
    let report = explore(name, &model);
    if let Some(path) = report.path {
        let broken = path.last().and_then(|world| world.broken);
        panic!("{name} breaks {broken:?}:\n{}", model.explain(&path).join("\n"));
    }
    let missing: Vec<&str> = needed.split(' ').filter(|step| !report.steps.contains(*step)).collect();
    assert!(missing.is_empty(), "{name} never reaches {missing:?}, only {:?}", report.steps);
}

fn assert_caught(name: &str, setup: Setup, faults: Faults, expected: Broken) {
    let model = Model::new(Setup { faults, ..setup });
    let report = explore(name, &model);
    let path = report.path.unwrap_or_else(|| panic!("{name}: the fault {faults:?} is not caught"));
    println!("{name}:\n  {}", model.explain(&path).join("\n  "));
    assert_eq!(path.last().and_then(|world| world.broken), Some(expected));
}

/// Members move slots while appends are repeated and delayed.
fn moving_slots() -> Setup {
    Setup {
        holds: vec![2, 0],
        limit: 2,
        hosts: 1,
        kinds: vec![Kind::Claim, Kind::Give, Kind::Release],
        requests: true,
        bounds: Bounds { entries: 3, requests: 3, repeats: 1, delays: 1, ..Bounds::default() },
        victims: 2,
        faults: Faults::default(),
    }
}

/// Three members hand slots on, and some leave.
fn three_members() -> Setup {
    Setup {
        holds: vec![1, 1, 0],
        limit: 2,
        hosts: 1,
        kinds: vec![Kind::Claim, Kind::Give, Kind::Leave],
        requests: true,
        bounds: Bounds { entries: 3, requests: 3, ..Bounds::default() },
        victims: 0,
        faults: Faults::default(),
    }
}

/// A member is killed with work in flight; another reclaims its slots.
fn killed_holder() -> Setup {
    Setup {
        holds: vec![2, 0],
        limit: 2,
        hosts: 1,
        kinds: vec![Kind::Claim, Kind::Gone],
        requests: true,
        bounds: Bounds { entries: 5, requests: 4, kills: 1, restarts: 1, ..Bounds::default() },
        victims: 2,
        faults: Faults::default(),
    }
}

/// A holder freezes between its check and its write.
fn frozen_holder() -> Setup {
    Setup {
        holds: vec![2, 0],
        limit: 2,
        hosts: 1,
        kinds: vec![Kind::Claim, Kind::Release, Kind::Gone],
        requests: true,
        bounds: Bounds { entries: 4, requests: 3, freezes: 1, ..Bounds::default() },
        victims: 2,
        faults: Faults::default(),
    }
}

/// A member is cut off, the platform fails, and the members read from each other.
fn cut_off_member() -> Setup {
    Setup {
        holds: vec![2, 0],
        limit: 2,
        hosts: 1,
        kinds: vec![Kind::Claim, Kind::Release, Kind::Gone],
        requests: true,
        bounds: Bounds { entries: 4, requests: 3, cuts: 1, outages: 1, ..Bounds::default() },
        victims: 2,
        faults: Faults::default(),
    }
}

/// Processes start under one name while the join of an ended one is on the network.
fn delayed_join() -> Setup {
    Setup {
        holds: vec![0, 0],
        limit: 1,
        hosts: 1,
        kinds: vec![Kind::Claim, Kind::Gone],
        requests: true,
        bounds: Bounds { entries: 5, requests: 2, kills: 2, restarts: 2, delays: 1, ..Bounds::default() },
        victims: 1,
        faults: Faults::default(),
    }
}

/// Members leave cleanly or hand over.
fn leaving_member() -> Setup {
    Setup {
        holds: vec![1, 1],
        limit: 2,
        hosts: 1,
        kinds: vec![Kind::Claim, Kind::Leave, Kind::Task],
        requests: true,
        bounds: Bounds { entries: 6, requests: 2, ..Bounds::default() },
        victims: 2,
        faults: Faults::default(),
    }
}

/// The owner of a task is killed or frozen at any point.
fn killed_owner() -> Setup {
    Setup {
        holds: vec![1, 1],
        limit: 2,
        hosts: 2,
        kinds: vec![Kind::Task, Kind::Gone],
        requests: false,
        bounds: Bounds { entries: 7, kills: 1, freezes: 1, repeats: 1, ..Bounds::default() },
        victims: 2,
        faults: Faults::default(),
    }
}

/// The owner of a task is killed and started again under its name, which ends its predecessor.
fn restarted_owner() -> Setup {
    Setup {
        holds: vec![1, 1],
        limit: 2,
        hosts: 1,
        kinds: vec![Kind::Task, Kind::Gone],
        requests: false,
        bounds: Bounds { entries: 7, kills: 1, restarts: 1, repeats: 1, ..Bounds::default() },
        victims: 1,
        faults: Faults::default(),
    }
}

/// The worker of a task crashes and forgets it.
fn crashed_worker() -> Setup {
    Setup {
        holds: vec![1, 1],
        limit: 2,
        hosts: 2,
        kinds: vec![Kind::Task, Kind::Gone, Kind::Seen],
        requests: false,
        bounds: Bounds { entries: 7, kills: 1, crashes: 1, ..Bounds::default() },
        victims: 2,
        faults: Faults::default(),
    }
}

/// The owner of a running task is killed; one member takes the task over while another claims what is reclaimed.
fn task_beyond_reclaim() -> Setup {
    Setup {
        holds: vec![1, 0, 0],
        limit: 1,
        hosts: 1,
        kinds: vec![Kind::Task, Kind::Gone, Kind::Claim],
        requests: true,
        bounds: Bounds { entries: 5, requests: 2, kills: 1, ..Bounds::default() },
        victims: 1,
        faults: Faults::default(),
    }
}

/// A worker is drained and rebooted under requests.
fn drained_worker(kind: Kind) -> Setup {
    Setup {
        holds: vec![1, 1],
        limit: 2,
        hosts: 1,
        kinds: vec![kind, Kind::Gone],
        requests: true,
        bounds: Bounds { entries: 6, requests: 2, kills: 1, freezes: 1, ..Bounds::default() },
        victims: 2,
        faults: Faults::default(),
    }
}

/// A worker is drained or moved under a task whose owner is killed.
fn drained_task(kind: Kind) -> Setup {
    Setup {
        holds: vec![1, 1],
        limit: 2,
        hosts: 1,
        kinds: vec![kind, Kind::Gone, Kind::Task],
        requests: false,
        bounds: Bounds { entries: 8, kills: 1, ..Bounds::default() },
        victims: 2,
        faults: Faults::default(),
    }
}

/// Guards against any run within the bounds that breaks an invariant, and against bounds within which the steps that
/// matter never occur.
#[rstest]
#[case::moving_slots(moving_slots(), "Claim Give Release Repeat AppendArrives Write Finish")]
#[case::three_members(three_members(), "Claim Give Leave Exit Write Finish")]
#[case::killed_holder(killed_holder(), "Kill Lapse Join Gone Reclaim Claim StartArrives")]
#[case::frozen_holder(frozen_holder(), "Freeze Lapse Resume Release Claim Write")]
#[case::cut_off_member(cut_off_member(), "Cut Connect Outage OutageEnds Restore Release Claim")]
#[case::delayed_join(delayed_join(), "Kill Join AppendArrives Gone Reclaim Claim Write")]
#[case::leaving_member(leaving_member(), "Leave Exit TakeOver Started Ended")]
#[case::killed_owner(killed_owner(), "Kill Freeze Gone TakeOver Lapse Requeued Ended Repeat")]
#[case::restarted_owner(restarted_owner(), "Kill Join TakeOver Lapse Requeued Ended Reclaim Repeat")]
#[case::crashed_worker(crashed_worker(), "Crash Seen Gone TakeOver Requeued Ended")]
#[case::task_beyond_reclaim(task_beyond_reclaim(), "Gone TakeOver Reclaim Claim Ended")]
#[case::drained_worker(
    drained_worker(Kind::Drain),
    "Drain Progress Maintain Reboot Maintained Freeze Reclaim"
)]
#[case::moved_worker(
    drained_worker(Kind::Move),
    "MoveLeft Progress MoveJoined Reboot Maintained Freeze Reclaim"
)]
#[case::drained_task(drained_task(Kind::Drain), "Drain Progress Maintain Reboot Gone TakeOver Requeued")]
#[case::moved_task(drained_task(Kind::Move), "MoveLeft Progress MoveJoined Reboot Gone TakeOver Requeued")]
fn no_run_breaks_an_invariant(#[context] context: Context, #[case] setup: Setup, #[case] needed: &str) {
    assert_sound(context.description.unwrap_or(context.name), setup, needed);
}

/// Guards against a model that is too small to see the failure that a rule prevents.
#[rstest]
#[case::no_wait(killed_holder(), Faults { no_wait: true, ..Faults::default() }, Broken::Limit)]
#[case::no_lease(killed_holder(), Faults { no_lease: true, ..Faults::default() }, Broken::Limit)]
#[case::no_task_lease(killed_owner(), Faults { no_lease: true, ..Faults::default() }, Broken::SecondRun)]
#[case::no_barrier(
    drained_worker(Kind::Drain),
    Faults { no_barrier: true, ..Faults::default() },
    Broken::Interrupted
)]
#[case::no_move_barrier(
    drained_worker(Kind::Move),
    Faults { no_barrier: true, ..Faults::default() },
    Broken::Interrupted
)]
#[case::early_confirmation(
    drained_worker(Kind::Drain),
    Faults { early_confirmation: true, ..Faults::default() },
    Broken::Maintenance
)]
#[case::no_dedup(moving_slots(), Faults { no_dedup: true, ..Faults::default() }, Broken::Limit)]
#[case::join_ends_all(delayed_join(), Faults { join_ends_all: true, ..Faults::default() }, Broken::Limit)]
#[case::late_start_record(
    killed_owner(),
    Faults { late_start_record: true, ..Faults::default() },
    Broken::SecondRun
)]
#[case::late_lowering(moving_slots(), Faults { late_lowering: true, ..Faults::default() }, Broken::Limit)]
#[case::silence_of_a_frozen(
    frozen_holder(),
    Faults { silence_is_death: true, ..Faults::default() },
    Broken::Limit
)]
#[case::silence_of_a_cut_off(
    cut_off_member(),
    Faults { silence_is_death: true, ..Faults::default() },
    Broken::Limit
)]
#[case::trust_restarted(
    crashed_worker(),
    Faults { trust_restarted: true, ..Faults::default() },
    Broken::SecondRun
)]
fn seeded_fault_is_caught(
    #[context] context: Context,
    #[case] setup: Setup,
    #[case] faults: Faults,
    #[case] expected: Broken,
) {
    assert_caught(context.description.unwrap_or(context.name), setup, faults, expected);
}
