//! Leases and runs of tasks, on a clock that the test moves.

use std::time::{Duration, Instant};

use rattanfall_core::engine::event::WorkerRefusal;
use rattanfall_standin::worker::{Checkpoint, Journal, Payload, RunEnd, Tasks, decode, encode};
use rattanfall_wire::worker::{Lease, LeaseRequest, RunState, StartTask, TaskStatus};
use rstest::{fixture, rstest};

const TTL: Duration = Duration::from_millis(100);

struct Bench {
    tasks: Tasks,
    journal: Journal,
    now: Instant,
}

#[fixture]
fn bench() -> Bench {
    Bench { tasks: Tasks::new("w".into(), 7, TTL), journal: Journal::new(100), now: Instant::now() }
}

fn ask(attempt: u32) -> LeaseRequest {
    LeaseRequest { task: "t-1-1".into(), attempt, owner: 1, pool: "orders".into() }
}

impl Bench {
    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.tasks.settle(self.now, &mut self.journal);
    }

    fn grant(&mut self, attempt: u32) -> Result<Lease, WorkerRefusal> {
        self.tasks.grant(self.now, &ask(attempt), 1, 0)
    }

    fn start(&mut self, lease: u64, attempt: u32, from: Option<String>) -> Result<TaskStatus, WorkerRefusal> {
        let payload = Payload { work_ms: 150, checkpoint: true, ..Payload::default() };
        let start =
            StartTask { lease, task: "t-1-1".into(), attempt, payload: encode(&payload), checkpoint: from };
        self.tasks.start(self.now, &start, "orders", &mut self.journal)
    }

    fn state(&self) -> RunState {
        self.tasks.query("t-1-1").state
    }

    fn starts(&self) -> usize {
        self.journal.page("w", 0, 100).entries.len()
    }
}

/// Guards against a start that was delayed beyond its lease.
#[rstest]
fn a_start_under_a_lapsed_lease_is_refused(mut bench: Bench) {
    let lease = bench.grant(1).unwrap().lease;
    bench.pass(100);
    assert_eq!(bench.start(lease, 1, None), Err(WorkerRefusal::Lease));
    assert_eq!((bench.state(), bench.starts()), (RunState::Never, 0));
}

/// Guards against a second run after a repeated start or lease, before and after the end of the first.
#[rstest]
fn an_attempt_starts_once(mut bench: Bench) {
    let lease = bench.grant(1).unwrap().lease;
    bench.start(lease, 1, None).unwrap();
    assert_eq!(bench.start(lease, 1, None).unwrap().state, RunState::Running);
    assert_eq!(bench.grant(2), Err(WorkerRefusal::Lease));
    bench.pass(50);
    bench.tasks.renew(bench.now, lease, None).unwrap();
    bench.pass(100);
    assert_eq!(bench.start(lease, 1, None).unwrap().state, RunState::Done);
    assert_eq!(bench.grant(1), Err(WorkerRefusal::Lease));
    assert_eq!((bench.starts(), bench.tasks.occupied()), (1, 0));
}

/// Guards against work that runs on without a lease, and against a lost checkpoint.
#[rstest]
fn a_lapse_stops_the_run_and_keeps_a_checkpoint(mut bench: Bench) {
    let lease = bench.grant(1).unwrap().lease;
    bench.start(lease, 1, None).unwrap();
    bench.pass(500);
    let stopped = bench.tasks.query("t-1-1");
    assert_eq!(stopped.state, RunState::Stopped);
    assert_eq!(decode::<Checkpoint>(stopped.checkpoint.as_deref().unwrap()), Ok(Checkpoint { done_ms: 100 }));
    assert_eq!(bench.tasks.renew(bench.now, lease, None), Err(WorkerRefusal::Lease));
    let lease = bench.grant(2).unwrap().lease;
    bench.start(lease, 2, stopped.checkpoint).unwrap();
    bench.pass(50);
    assert_eq!(bench.state(), RunState::Done);
    let ends: Vec<RunEnd> = bench.journal.page("w", 0, 10).entries.iter().map(|entry| entry.end).collect();
    assert_eq!(ends, [RunEnd::Stopped, RunEnd::Done]);
}

/// Guards against an old owner that keeps a run alive or ends it after another owner took it over.
#[rstest]
fn a_takeover_voids_the_old_lease(mut bench: Bench) {
    let lease = bench.grant(1).unwrap().lease;
    bench.start(lease, 1, None).unwrap();
    let taken = bench.tasks.renew(bench.now, 0, Some(&ask(1))).unwrap().lease;
    assert_ne!(taken, lease);
    assert_eq!(bench.tasks.renew(bench.now, lease, None), Err(WorkerRefusal::Lease));
    assert_eq!(bench.tasks.renew(bench.now, 0, Some(&ask(2))), Err(WorkerRefusal::Lease));
    bench.pass(80);
    bench.tasks.renew(bench.now, taken, None).unwrap();
    bench.pass(80);
    assert_eq!(bench.state(), RunState::Done);
}

/// Guards against more leases than slots, and against a slot that a withdrawn lease keeps.
#[rstest]
fn a_lease_takes_a_slot(mut bench: Bench) {
    bench.grant(1).unwrap();
    let other = LeaseRequest { task: "t-1-2".into(), ..ask(1) };
    assert_eq!(bench.tasks.grant(bench.now, &other, 1, 0), Err(WorkerRefusal::Full));
    assert_eq!(bench.tasks.stop(bench.now, "t-1-1", &mut bench.journal).state, RunState::Never);
    assert!(bench.tasks.grant(bench.now, &other, 1, 0).is_ok());
}

/// Guards against a "never" of a restarted worker that a new owner could take as proof.
#[rstest]
fn a_reboot_changes_the_nonce_of_every_answer(mut bench: Bench) {
    let lease = bench.grant(1).unwrap();
    let running = bench.start(lease.lease, 1, None).unwrap();
    assert_eq!((lease.nonce, running.nonce), (7, 7));
    bench.tasks.reboot(bench.now, 8, &mut bench.journal);
    let after = bench.tasks.query("t-1-1");
    assert_eq!((after.state, after.nonce), (RunState::Never, 8));
    assert_eq!(bench.tasks.renew(bench.now, 0, Some(&ask(1))), Err(WorkerRefusal::Lease));
    assert_eq!(bench.journal.page("w", 0, 10).entries[0].end, RunEnd::Rebooted);
}
