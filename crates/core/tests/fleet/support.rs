//! Test log with one replica that applies each entry as it is appended.
#![allow(dead_code, unreachable_pub, reason = "each test crate uses a part of the helpers")]

use std::collections::BTreeMap;

use rattanfall_core::declaration::Declaration;
use rattanfall_core::fleet::{Applied, Effect, Fleet, TaskState, VoidReason, WorkerState};
use rattanfall_core::ids::{MemberId, Offset, TaskId, TeamId, WorkerId};
use rattanfall_core::record::{Batch, Class, Join, Origin, Record, TaskAccepted, WorkerSeen};

pub type Outcome = Result<Effect, VoidReason>;

/// Two pools, `sales` with a budget of 1, and two teams with limits of 4 and 2.
pub const BASE: &str = "
    [pools.sales]
    min_serving = 1
    [pools.sweeps]
    min_serving = 0
    [teams.ash]
    share = 2
    limit = 4
    [teams.birch]
    share = 1
    limit = 2
";

/// Log with a replica of the fleet that has applied all its entries.
#[derive(Clone, Debug, Default)]
pub struct Log {
    pub fleet: Fleet,
    pub entries: Vec<(Offset, Batch)>,
    sequences: BTreeMap<MemberId, u64>,
}

impl Log {
    /// Creates a log with two members, in zones `a` and `b`, and with the declaration [`BASE`].
    pub fn with_members() -> (Self, MemberId, MemberId) {
        let mut log = Self::default();
        let first = log.join("entry-1", "a");
        let second = log.join("entry-2", "b");
        log.configure(first, 0, BASE).expect("the base declaration is valid");
        (log, first, second)
    }

    pub fn append(&mut self, batch: Batch) -> Applied {
        let offset = Offset(self.entries.len() as u64);
        self.entries.push((offset, batch.clone()));
        self.fleet.apply(offset, &batch)
    }

    pub fn next_offset(&self) -> u64 {
        self.entries.len() as u64
    }

    pub fn join(&mut self, name: &str, zone: &str) -> MemberId {
        let batch = join_batch(name, zone, 1_000 + self.next_offset(), &[]);
        self.append_join(batch).expect("the process has not joined before")
    }

    pub fn append_join(&mut self, batch: Batch) -> Result<MemberId, VoidReason> {
        match self.append(batch).results.remove(0)? {
            Effect::Joined(id) => Ok(id),
            other => panic!("a join gave {other:?}"),
        }
    }

    /// Builds the next batch of a member without appending it.
    pub fn next_batch(&mut self, author: MemberId, records: Vec<Record>) -> Batch {
        let sequence = self.sequences.entry(author).or_default();
        *sequence += 1;
        Batch { origin: Origin::Member(author), sequence: *sequence, records }
    }

    pub fn write(&mut self, author: MemberId, record: Record) -> Outcome {
        let batch = self.next_batch(author, vec![record]);
        self.append(batch).results.remove(0)
    }

    pub fn configure(&mut self, author: MemberId, base: u64, text: &str) -> Outcome {
        self.write(author, Record::ConfigChanged { base, declaration: declaration(text) })
    }

    pub fn add_worker(&mut self, author: MemberId, name: &str, zone: &str, pool: &str) -> WorkerId {
        match self.write(author, Record::WorkerSeen(worker_seen(name, zone, pool))) {
            Ok(Effect::Worker(id)) => id,
            other => panic!("the worker was not added: {other:?}"),
        }
    }

    pub fn accept(&mut self, author: MemberId, task: TaskAccepted) -> TaskId {
        match self.write(author, Record::TaskAccepted(task)) {
            Ok(Effect::Task(id)) => id,
            other => panic!("the task was not accepted: {other:?}"),
        }
    }

    pub fn claim(&mut self, author: MemberId, team: &str, slots: u32) -> u32 {
        match self.write(author, Record::HoldClaim { team: team.into(), slots }) {
            Ok(Effect::Granted(_, granted)) => granted,
            other => panic!("the claim failed: {other:?}"),
        }
    }

    pub fn start(&mut self, author: MemberId, task: TaskId, attempt: u32, worker: WorkerId) -> Outcome {
        let nonce = self.fleet.workers.get(&worker).map_or(0, |w| w.nonce);
        self.write(author, Record::TaskStarted { task, attempt, worker, nonce })
    }

    /// Confirms that the author has stopped everything that the log has told it to stop so far.
    pub fn confirm_stop(&mut self, author: MemberId) -> Outcome {
        let applied = Offset(self.next_offset() - 1);
        self.write(author, Record::Progress { applied })
    }

    pub fn replay(&self) -> Fleet {
        let mut fleet = Fleet::default();
        for (offset, batch) in &self.entries {
            fleet.apply(*offset, batch);
        }
        fleet
    }

    pub fn team(&self, name: &str) -> TeamId {
        self.fleet.team(name).expect("the team is declared")
    }

    pub fn worker_state(&self, worker: WorkerId) -> WorkerState {
        self.fleet.workers[&worker].state
    }

    pub fn task_state(&self, task: TaskId) -> &TaskState {
        &self.fleet.tasks[&task].state
    }
}

pub fn declaration(text: &str) -> Declaration {
    toml::from_str(text).expect("the declaration parses")
}

pub fn join_batch(name: &str, zone: &str, nonce: u64, predecessors: &[MemberId]) -> Batch {
    let join = Join {
        name: name.into(),
        nonce,
        zone: zone.into(),
        address: "127.0.0.1:7000".into(),
        ends: predecessors.to_vec(),
    };
    Batch { origin: Origin::Joining(nonce), sequence: 1, records: vec![Record::Join(join)] }
}

pub fn worker_seen(name: &str, zone: &str, pool: &str) -> WorkerSeen {
    WorkerSeen {
        name: name.into(),
        nonce: 1,
        address: "127.0.0.1:9000".into(),
        zone: zone.into(),
        rack: "rack-1".into(),
        pool: pool.into(),
        slots: 8,
        leaving: false,
    }
}

pub fn non_idempotent_task(number: u32, team: &str, pool: &str) -> TaskAccepted {
    TaskAccepted {
        number,
        team: team.into(),
        pool: pool.into(),
        token: None,
        idempotent: false,
        class: Class::Normal,
        payload: vec![1, 2, 3],
    }
}

pub fn idempotent_task(number: u32, team: &str, pool: &str) -> TaskAccepted {
    TaskAccepted { idempotent: true, ..non_idempotent_task(number, team, pool) }
}
