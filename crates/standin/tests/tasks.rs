//! Tests of task leases and runs, on a simulated clock.

use std::time::{Duration, Instant};

use rattanfall_core::engine::event::WorkerRefusal;
use rattanfall_standin::worker::{Checkpoint, Journal, Payload, RunOutcome, Tasks, decode, encode};
use rattanfall_wire::worker::{Lease, LeaseRequest, RunState, StartTask, TaskStatus};
use rstest::{fixture, rstest};

const TTL: Duration = Duration::from_millis(100);

struct Harness {
    tasks: Tasks,
    journal: Journal,
    now: Instant,
}

#[fixture]
fn harness() -> Harness {
    Harness { tasks: Tasks::new("w".into(), 7, TTL), journal: Journal::new(100), now: Instant::now() }
}

fn lease_request(attempt: u32) -> LeaseRequest {
    LeaseRequest { task: "t-1-1".into(), attempt, owner: 1, pool: "orders".into() }
}

impl Harness {
    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.tasks.advance(self.now, &mut self.journal);
    }

    fn grant(&mut self, attempt: u32) -> Result<Lease, WorkerRefusal> {
        self.tasks.grant(self.now, &lease_request(attempt), 1, 0)
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

/// Guards against a start call that arrives after its lease has expired.
#[rstest]
fn a_start_under_an_expired_lease_is_refused(mut harness: Harness) {
    let lease = harness.grant(1).unwrap().lease;
    harness.advance(100);
    assert_eq!(harness.start(lease, 1, None), Err(WorkerRefusal::Lease));
    assert_eq!((harness.state(), harness.starts()), (RunState::Never, 0));
}

/// Guards against a second run after a repeated start or lease request, during the first run and after it.
#[rstest]
fn an_attempt_starts_once(mut harness: Harness) {
    let lease = harness.grant(1).unwrap().lease;
    harness.start(lease, 1, None).unwrap();
    assert_eq!(harness.start(lease, 1, None).unwrap().state, RunState::Running);
    assert_eq!(harness.grant(2), Err(WorkerRefusal::Lease));
    harness.advance(50);
    harness.tasks.renew(harness.now, lease, None).unwrap();
    harness.advance(100);
    assert_eq!(harness.start(lease, 1, None).unwrap().state, RunState::Done);
    assert_eq!(harness.grant(1), Err(WorkerRefusal::Lease));
    assert_eq!((harness.starts(), harness.tasks.slots_used()), (1, 0));
}

/// Guards against a run that continues without a lease, and against a lost checkpoint.
#[rstest]
fn an_expired_lease_stops_the_run_with_a_checkpoint(mut harness: Harness) {
    let lease = harness.grant(1).unwrap().lease;
    harness.start(lease, 1, None).unwrap();
    harness.advance(500);
    let stopped = harness.tasks.query("t-1-1");
    assert_eq!(stopped.state, RunState::Stopped);
    assert_eq!(decode::<Checkpoint>(stopped.checkpoint.as_deref().unwrap()), Ok(Checkpoint { done_ms: 100 }));
    assert_eq!(harness.tasks.renew(harness.now, lease, None), Err(WorkerRefusal::Lease));
    let lease = harness.grant(2).unwrap().lease;
    harness.start(lease, 2, stopped.checkpoint).unwrap();
    harness.advance(50);
    assert_eq!(harness.state(), RunState::Done);
    let ends: Vec<RunOutcome> =
        harness.journal.page("w", 0, 10).entries.iter().map(|entry| entry.end).collect();
    assert_eq!(ends, [RunOutcome::Stopped, RunOutcome::Done]);
}

/// Guards against a previous owner that still renews the lease of a run after another owner has taken it over.
#[rstest]
fn a_takeover_voids_the_old_lease(mut harness: Harness) {
    let lease = harness.grant(1).unwrap().lease;
    harness.start(lease, 1, None).unwrap();
    let taken = harness.tasks.renew(harness.now, 0, Some(&lease_request(1))).unwrap().lease;
    assert_ne!(taken, lease);
    assert_eq!(harness.tasks.renew(harness.now, lease, None), Err(WorkerRefusal::Lease));
    assert_eq!(harness.tasks.renew(harness.now, 0, Some(&lease_request(2))), Err(WorkerRefusal::Lease));
    harness.advance(80);
    harness.tasks.renew(harness.now, taken, None).unwrap();
    harness.advance(80);
    assert_eq!(harness.state(), RunState::Done);
}

/// Guards against more leases than slots, and against a revoked lease that still occupies a slot.
#[rstest]
fn a_lease_takes_a_slot(mut harness: Harness) {
    harness.grant(1).unwrap();
    let other = LeaseRequest { task: "t-1-2".into(), ..lease_request(1) };
    assert_eq!(harness.tasks.grant(harness.now, &other, 1, 0), Err(WorkerRefusal::Full));
    assert_eq!(harness.tasks.stop(harness.now, "t-1-1", &mut harness.journal).state, RunState::Never);
    assert!(harness.tasks.grant(harness.now, &other, 1, 0).is_ok());
}

/// Guards against a restarted worker whose status `Never` a new owner would take as proof that the task never ran.
#[rstest]
fn a_reboot_changes_the_nonce_of_every_answer(mut harness: Harness) {
    let lease = harness.grant(1).unwrap();
    let running = harness.start(lease.lease, 1, None).unwrap();
    assert_eq!((lease.nonce, running.nonce), (7, 7));
    harness.tasks.reboot(harness.now, 8, &mut harness.journal);
    let after = harness.tasks.query("t-1-1");
    assert_eq!((after.state, after.nonce), (RunState::Never, 8));
    assert_eq!(harness.tasks.renew(harness.now, 0, Some(&lease_request(1))), Err(WorkerRefusal::Lease));
    assert_eq!(harness.journal.page("w", 0, 10).entries[0].end, RunOutcome::Rebooted);
}
