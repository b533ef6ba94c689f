//! Exhaustive exploration of the model within bounds.
//!
//! Without faults, no reachable state may violate an invariant; each seeded fault must give a counterexample.

use std::collections::BTreeSet;
use std::time::Instant;

use pathfinding::directed::bfs::bfs;
use rattanfall_core::model::{Bounds, Faults, Model, RecordKind, Setup, State, Violation};
use rstest::{Context, rstest};

struct Report {
    /// Names of the steps and records that occurred.
    steps: BTreeSet<String>,
    path: Option<Vec<State>>,
}

fn explore(name: &str, model: &Model) -> Report {
    let (mut states, mut names, started) = (0, BTreeSet::new(), Instant::now());
    let successors = |state: &State| {
        states += 1;
        let steps = model.steps(state);
        steps
            .into_iter()
            .map(|(step, next)| {
                names.insert(step.name());
                next
            })
            .collect::<Vec<_>>()
    };
    let path = bfs(&model.start(), successors, |state| state.violation.is_some());
    println!("{name}: {states} states expanded in {:.1} s", started.elapsed().as_secs_f64());
    Report { steps: names, path }
}

fn assert_no_violation(name: &str, setup: Setup, required_steps: &str) {
    let model = Model::new(setup);
    let report = explore(name, &model);
    if let Some(path) = report.path {
        let violation = path.last().and_then(|state| state.violation);
        panic!("{name} violates {violation:?}:\n{}", model.explain(&path).join("\n"));
    }
    let missing: Vec<&str> = required_steps.split(' ').filter(|step| !report.steps.contains(*step)).collect();
    assert!(missing.is_empty(), "{name} never reaches {missing:?}, only {:?}", report.steps);
}

fn assert_violation(name: &str, setup: Setup, faults: Faults, expected: Violation) {
    let model = Model::new(Setup { faults, ..setup });
    let report = explore(name, &model);
    let path = report.path.unwrap_or_else(|| panic!("{name}: the fault {faults:?} is not caught"));
    println!("{name}:\n  {}", model.explain(&path).join("\n  "));
    assert_eq!(path.last().and_then(|state| state.violation), Some(expected));
}

/// Members transfer slots while appends are repeated and delayed.
fn moving_slots() -> Setup {
    Setup {
        holds: vec![2, 0],
        limit: 2,
        hosts: 1,
        kinds: vec![RecordKind::Claim, RecordKind::Give, RecordKind::Release],
        requests: true,
        bounds: Bounds { entries: 3, requests: 3, repeats: 1, delays: 1, ..Bounds::default() },
        failing_names: 2,
        faults: Faults::default(),
    }
}

/// Three members transfer slots among each other, and some leave.
fn three_members() -> Setup {
    Setup {
        holds: vec![1, 1, 0],
        limit: 2,
        hosts: 1,
        kinds: vec![RecordKind::Claim, RecordKind::Give, RecordKind::Leave],
        requests: true,
        bounds: Bounds { entries: 3, requests: 3, ..Bounds::default() },
        failing_names: 0,
        faults: Faults::default(),
    }
}

/// A member is killed with work in flight, and another one reclaims its slots.
fn killed_holder() -> Setup {
    Setup {
        holds: vec![2, 0],
        limit: 2,
        hosts: 1,
        kinds: vec![RecordKind::Claim, RecordKind::Gone],
        requests: true,
        bounds: Bounds { entries: 5, requests: 4, kills: 1, restarts: 1, ..Bounds::default() },
        failing_names: 2,
        faults: Faults::default(),
    }
}

/// A holder freezes between checking its hold and sending the start.
fn frozen_holder() -> Setup {
    Setup {
        holds: vec![2, 0],
        limit: 2,
        hosts: 1,
        kinds: vec![RecordKind::Claim, RecordKind::Release, RecordKind::Gone],
        requests: true,
        bounds: Bounds { entries: 4, requests: 3, freezes: 1, ..Bounds::default() },
        failing_names: 2,
        faults: Faults::default(),
    }
}

/// A member is disconnected, the platform fails, and the members restore from each other.
fn disconnected_member() -> Setup {
    Setup {
        holds: vec![2, 0],
        limit: 2,
        hosts: 1,
        kinds: vec![RecordKind::Claim, RecordKind::Release, RecordKind::Gone],
        requests: true,
        bounds: Bounds { entries: 4, requests: 3, disconnects: 1, outages: 1, ..Bounds::default() },
        failing_names: 2,
        faults: Faults::default(),
    }
}

/// A process is replaced while the join of an ended one under the same name is still on the network.
fn delayed_join() -> Setup {
    Setup {
        holds: vec![0, 0],
        limit: 1,
        hosts: 1,
        kinds: vec![RecordKind::Claim, RecordKind::Gone],
        requests: true,
        bounds: Bounds { entries: 5, requests: 2, kills: 2, restarts: 2, delays: 1, ..Bounds::default() },
        failing_names: 1,
        faults: Faults::default(),
    }
}

/// Members leave cleanly, and their task passes to another one.
fn leaving_member() -> Setup {
    Setup {
        holds: vec![1, 1],
        limit: 2,
        hosts: 1,
        kinds: vec![RecordKind::Claim, RecordKind::Leave, RecordKind::Task],
        requests: true,
        bounds: Bounds { entries: 6, requests: 2, ..Bounds::default() },
        failing_names: 2,
        faults: Faults::default(),
    }
}

/// The owner of a task is killed or frozen at any point.
fn killed_owner() -> Setup {
    Setup {
        holds: vec![1, 1],
        limit: 2,
        hosts: 2,
        kinds: vec![RecordKind::Task, RecordKind::Gone],
        requests: false,
        bounds: Bounds { entries: 7, kills: 1, freezes: 1, repeats: 1, ..Bounds::default() },
        failing_names: 2,
        faults: Faults::default(),
    }
}

/// The owner of a task is killed and replaced under its name; the join ends the predecessor.
fn restarted_owner() -> Setup {
    Setup {
        holds: vec![1, 1],
        limit: 2,
        hosts: 1,
        kinds: vec![RecordKind::Task, RecordKind::Gone],
        requests: false,
        bounds: Bounds { entries: 7, kills: 1, restarts: 1, repeats: 1, ..Bounds::default() },
        failing_names: 1,
        faults: Faults::default(),
    }
}

/// The worker of a task crashes and loses its record of the task.
fn crashed_worker() -> Setup {
    Setup {
        holds: vec![1, 1],
        limit: 2,
        hosts: 2,
        kinds: vec![RecordKind::Task, RecordKind::Gone, RecordKind::Seen],
        requests: false,
        bounds: Bounds { entries: 7, kills: 1, crashes: 1, ..Bounds::default() },
        failing_names: 2,
        faults: Faults::default(),
    }
}

/// The owner of a running task is killed; one member takes the task over while another claims the reclaimed slots.
fn task_beyond_reclaim() -> Setup {
    Setup {
        holds: vec![1, 0, 0],
        limit: 1,
        hosts: 1,
        kinds: vec![RecordKind::Task, RecordKind::Gone, RecordKind::Claim],
        requests: true,
        bounds: Bounds { entries: 5, requests: 2, kills: 1, ..Bounds::default() },
        failing_names: 1,
        faults: Faults::default(),
    }
}

/// A worker is drained or moved, and rebooted, while requests run.
fn drained_worker(kind: RecordKind) -> Setup {
    Setup {
        holds: vec![1, 1],
        limit: 2,
        hosts: 1,
        kinds: vec![kind, RecordKind::Gone],
        requests: true,
        bounds: Bounds { entries: 6, requests: 2, kills: 1, freezes: 1, ..Bounds::default() },
        failing_names: 2,
        faults: Faults::default(),
    }
}

/// A worker is drained or moved while it runs a task whose owner is killed.
fn drained_task(kind: RecordKind) -> Setup {
    Setup {
        holds: vec![1, 1],
        limit: 2,
        hosts: 1,
        kinds: vec![kind, RecordKind::Gone, RecordKind::Task],
        requests: false,
        bounds: Bounds { entries: 8, kills: 1, ..Bounds::default() },
        failing_names: 2,
        faults: Faults::default(),
    }
}

/// Guards against any run within the bounds that violates an invariant, and against bounds so tight that a required
/// step never occurs.
#[rstest]
#[case::moving_slots(moving_slots(), "Claim Give Release Repeat AppendArrives Send Finish")]
#[case::three_members(three_members(), "Claim Give Leave Exit Send Finish")]
#[case::killed_holder(killed_holder(), "Kill ExpireLeases Join Gone Reclaim Claim StartArrives")]
#[case::frozen_holder(frozen_holder(), "Freeze ExpireLeases Resume Release Claim Send")]
#[case::disconnected_member(
    disconnected_member(),
    "Disconnect Reconnect Outage OutageEnds Restore Release Claim"
)]
#[case::delayed_join(delayed_join(), "Kill Join AppendArrives Gone Reclaim Claim Send")]
#[case::leaving_member(leaving_member(), "Leave Exit TakeOver Started Ended")]
#[case::killed_owner(killed_owner(), "Kill Freeze Gone TakeOver ExpireLeases Requeued Ended Repeat")]
#[case::restarted_owner(restarted_owner(), "Kill Join TakeOver ExpireLeases Requeued Ended Reclaim Repeat")]
#[case::crashed_worker(crashed_worker(), "Crash Seen Gone TakeOver Requeued Ended")]
#[case::task_beyond_reclaim(task_beyond_reclaim(), "Gone TakeOver Reclaim Claim Ended")]
#[case::drained_worker(
    drained_worker(RecordKind::Drain),
    "Drain Progress Maintain Reboot Maintained Freeze Reclaim"
)]
#[case::moved_worker(
    drained_worker(RecordKind::Move),
    "MoveLeft Progress MoveJoined Reboot Maintained Freeze Reclaim"
)]
#[case::drained_task(
    drained_task(RecordKind::Drain),
    "Drain Progress Maintain Reboot Gone TakeOver Requeued"
)]
#[case::moved_task(
    drained_task(RecordKind::Move),
    "MoveLeft Progress MoveJoined Reboot Gone TakeOver Requeued"
)]
fn no_run_violates_an_invariant(
    #[context] context: Context,
    #[case] setup: Setup,
    #[case] required_steps: &str,
) {
    assert_no_violation(context.description.unwrap_or(context.name), setup, required_steps);
}

/// Guards against a model that is too small to show the failure that a rule prevents.
#[rstest]
#[case::no_reclaim_wait(killed_holder(), Faults { no_reclaim_wait: true, ..Faults::default() }, Violation::LimitExceeded)]
#[case::no_lease_expiry(killed_holder(), Faults { no_lease_expiry: true, ..Faults::default() }, Violation::LimitExceeded)]
#[case::no_task_lease(killed_owner(), Faults { no_lease_expiry: true, ..Faults::default() }, Violation::DuplicateRun)]
#[case::no_barrier(
    drained_worker(RecordKind::Drain),
    Faults { no_barrier: true, ..Faults::default() },
    Violation::WorkInterrupted
)]
#[case::no_move_barrier(
    drained_worker(RecordKind::Move),
    Faults { no_barrier: true, ..Faults::default() },
    Violation::WorkInterrupted
)]
#[case::early_confirmation(
    drained_worker(RecordKind::Drain),
    Faults { early_confirmation: true, ..Faults::default() },
    Violation::StartInMaintenance
)]
#[case::no_dedup(moving_slots(), Faults { no_dedup: true, ..Faults::default() }, Violation::LimitExceeded)]
#[case::join_ends_all(delayed_join(), Faults { join_ends_all: true, ..Faults::default() }, Violation::LimitExceeded)]
#[case::late_start_record(
    killed_owner(),
    Faults { late_start_record: true, ..Faults::default() },
    Violation::DuplicateRun
)]
#[case::use_given_slots(moving_slots(), Faults { use_given_slots: true, ..Faults::default() }, Violation::LimitExceeded)]
#[case::frozen_counts_as_ended(
    frozen_holder(),
    Faults { silence_means_ended: true, ..Faults::default() },
    Violation::LimitExceeded
)]
#[case::disconnected_counts_as_ended(
    disconnected_member(),
    Faults { silence_means_ended: true, ..Faults::default() },
    Violation::LimitExceeded
)]
#[case::trust_restarted_worker(
    crashed_worker(),
    Faults { trust_restarted_worker: true, ..Faults::default() },
    Violation::DuplicateRun
)]
fn seeded_fault_is_caught(
    #[context] context: Context,
    #[case] setup: Setup,
    #[case] faults: Faults,
    #[case] expected: Violation,
) {
    assert_violation(context.description.unwrap_or(context.name), setup, faults, expected);
}
