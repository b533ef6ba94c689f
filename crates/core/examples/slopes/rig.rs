//! Test rig with one engine in a fleet of a given size. The other members exist only as log records and digests.

use std::collections::BTreeMap;

use rattanfall_core::declaration::{Declaration, Pool, Team};
use rattanfall_core::engine::command::{Command, TaskAction, TaskCall};
use rattanfall_core::engine::event::{
    AppendOutcome, AttemptOutcome, Digest, List, ListedEntry, Load, Submission, TaskAnswer, TaskReport,
    TaskSubmission,
};
use rattanfall_core::engine::{Engine, Event, Millis, Options, RequestKey, TICK_MS};
use rattanfall_core::ids::{MemberId, Offset, PoolId, TeamId};
use rattanfall_core::record::{Batch, Class, Join, KeyHash, Origin, Record, WorkerSeen, encode};

use crate::sizes::Size;

/// Slots of each worker: enough for the smallest fleet of a series to run the load of the largest.
const WORKER_SLOTS: u32 = 64;
/// Number of workers in one rack.
const RACK_WORKERS: u32 = 4;
/// Number of pools in which each team has work.
const POOLS_PER_TEAM: u32 = 4;
/// Records in one batch of the setup.
const SETUP_RECORDS: usize = 500;

/// Engine with a simulated log, platform's list and workers.
pub(crate) struct Rig {
    pub(crate) engine: Engine,
    pub(crate) size: Size,
    pub(crate) now: Millis,
    /// Offset of the last batch in the log.
    offset: u64,
    /// Last sequence number of the member that writes the setup.
    sequence: u64,
    /// Number of bytes and of batches that the engine has appended.
    pub(crate) appended: (u64, u64),
    /// Digests that the engine has sent.
    pub(crate) digests: Vec<Digest>,
    /// Requests that the engine has sent to workers.
    pub(crate) sent: Vec<RequestKey>,
    numbers: u64,
}

impl Rig {
    /// Builds the fleet, joins, runs until the holds are distributed, and starts one request per pair of team and pool.
    pub(crate) fn new(size: Size) -> Self {
        let options = Options { name: "entry-0".into(), zone: zone(0), nonce: 1, ..Options::default() };
        let mut rig = Self {
            engine: Engine::new(options, 7),
            size,
            now: Millis(0),
            offset: 0,
            sequence: 1,
            appended: (0, 0),
            digests: Vec::new(),
            sent: Vec::new(),
            numbers: 0,
        };
        rig.set_up();
        rig
    }

    fn set_up(&mut self) {
        for member in 1..self.size.members {
            self.join_other(member);
        }
        self.write(vec![Record::ConfigChanged { base: 0, declaration: declaration(self.size) }]);
        for team in 0..self.size.teams {
            self.write(vec![Record::KeyGranted { team: team_name(team), hash: hash(team) }]);
        }
        let seen: Vec<Record> = (0..self.size.workers).map(|n| Record::WorkerSeen(self.worker(n))).collect();
        for records in seen.chunks(SETUP_RECORDS) {
            self.write(records.to_vec());
        }
        self.read_list();
        self.run(6_000);
        for (pool, team) in pairs(self.size) {
            self.submit(pool, team);
        }
        for number in 0..self.size.tasks {
            self.submit_task(number);
        }
        self.run(2_000);
        self.sent.clear();
        self.digests.clear();
        self.appended = (0, 0);
    }

    fn join_other(&mut self, member: u32) {
        let join = Join {
            name: format!("entry-{member}"),
            nonce: u64::from(member) + 1,
            zone: zone(member % self.size.zones),
            address: format!("10.0.0.{member}:7000"),
            ends: Vec::new(),
        };
        let origin = Origin::Joining(join.nonce);
        self.append(Batch { origin, sequence: 1, records: vec![Record::Join(join)] });
    }

    /// Builds the next batch of another member.
    pub(crate) fn batch(&mut self, records: Vec<Record>) -> Batch {
        self.sequence += 1;
        Batch { origin: Origin::Member(MemberId(1)), sequence: self.sequence, records }
    }

    fn write(&mut self, records: Vec<Record>) {
        let batch = self.batch(records);
        self.append(batch);
    }

    /// Appends a batch to the log and delivers it to the engine.
    pub(crate) fn append(&mut self, batch: Batch) {
        self.offset += 1;
        self.engine.handle(self.now, Event::LogBatch { offset: Offset(self.offset), batch });
    }

    /// Worker with the number `n`, as in the platform's list. Racks are spread over zones, and the workers of a rack over
    /// pools.
    pub(crate) fn worker(&self, n: u32) -> WorkerSeen {
        WorkerSeen {
            name: format!("worker-{n:05}"),
            nonce: u64::from(n) + 1_000,
            address: format!("10.{}.{}.{}:9000", n / 65_536, n / 256 % 256, n % 256),
            zone: zone(n / RACK_WORKERS % self.size.zones),
            rack: format!("rack-{:04}", n / RACK_WORKERS),
            pool: pool_name(n % self.size.pools),
            slots: WORKER_SLOTS,
            leaving: false,
        }
    }

    /// The platform's list with all instances and workers.
    pub(crate) fn list(&self) -> List {
        let entry =
            |n: u32| ListedEntry { name: format!("entry-{n}"), nonce: u64::from(n) + 1, leaving: false };
        List {
            version: 1,
            entries: (0..self.size.members).map(entry).collect(),
            workers: (0..self.size.workers).map(|n| self.worker(n)).collect(),
        }
    }

    fn read_list(&mut self) {
        let list = self.list();
        self.engine.handle(self.now, Event::List(list));
    }

    /// Digests of all other members, each with one running request per pair of pool and team.
    pub(crate) fn peer_digests(&mut self) -> Vec<Digest> {
        self.numbers += 1;
        let load = |(pool, team)| Load {
            pool: PoolId(pool + 1),
            team: TeamId(team + 1),
            running: 1,
            waiting: 0,
            offered: 10.0,
        };
        let loads: Vec<Load> = pairs(self.size).map(load).collect();
        let number = self.numbers;
        let applied = Some(Offset(self.offset));
        let digest = |id| Digest { member: id, number, applied, loads: loads.clone(), ..Digest::default() };
        let own = self.engine.options().nonce;
        let members = self.engine.fleet().members.iter().filter(|(_, member)| member.nonce != own);
        members.map(|(id, _)| digest(*id)).collect()
    }

    /// Delivers a digest of every other member.
    pub(crate) fn receive_digests(&mut self) {
        for digest in self.peer_digests() {
            self.engine.handle(self.now, Event::Digest(digest));
        }
    }

    /// Runs one tick, without carrying out its commands.
    pub(crate) fn tick(&mut self) {
        self.now = self.now.plus(TICK_MS);
        self.engine.tick(self.now);
    }

    /// Runs for a time, with digests every second; the log and the workers answer at once.
    pub(crate) fn run(&mut self, ms: u64) {
        for step in 0..ms / TICK_MS {
            if step % 20 == 0 {
                self.receive_digests();
            }
            self.tick();
            self.run_commands();
        }
    }

    /// Executes the engine's commands until there are none left.
    pub(crate) fn run_commands(&mut self) {
        self.engine.handle(self.now, Event::LogEnd);
        loop {
            let commands = self.engine.take_commands();
            if commands.is_empty() {
                return;
            }
            commands.into_iter().for_each(|command| self.execute(command));
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Append(batch) => {
                let (bytes, batches) = self.appended;
                self.appended = (bytes + encode(&batch).len() as u64, batches + 1);
                let sequence = batch.sequence;
                self.engine
                    .handle(self.now, Event::AppendEnded { sequence, outcome: AppendOutcome::Appended });
                self.append(batch);
            }
            Command::Send(call) => self.sent.push(call.request),
            Command::Gossip(digest) => self.digests.push(digest),
            Command::Task(call) => self.answer(&call),
            _ => {}
        }
    }

    fn answer(&mut self, call: &TaskCall) {
        let answer = match call.action {
            TaskAction::Lease { .. } | TaskAction::Renew { .. } => {
                TaskAnswer::Leased { lease: u64::from(call.task.number), ttl_ms: 10_000, asked: self.now }
            }
            _ => TaskAnswer::Running,
        };
        let (task, attempt, worker) = (call.task, call.attempt, call.worker);
        let report = TaskReport { task, attempt, worker, nonce: 1, answer };
        self.engine.handle(self.now, Event::TaskReport(report));
    }

    /// Submits a request of a team to a pool.
    pub(crate) fn submit(&mut self, pool: u32, team: u32) -> RequestKey {
        let submission = Submission {
            key: Some(hash(team)),
            pool: pool_name(pool),
            class: Class::Normal,
            idempotent: true,
            deadline_ms: Some(60_000),
        };
        self.engine.submit(self.now, submission)
    }

    fn end(&mut self, request: RequestKey) {
        let outcome = AttemptOutcome::Answered { failed: false };
        self.engine.handle(self.now, Event::RequestEnded { request, outcome });
    }

    /// Submits a request and completes it successfully.
    pub(crate) fn complete_request(&mut self, pool: u32, team: u32) {
        let request = self.submit(pool, team);
        let commands = self.engine.take_commands();
        assert!(matches!(commands.as_slice(), [Command::Send(_)]), "the request starts at once");
        self.end(request);
    }

    fn submit_task(&mut self, number: u32) {
        let team = number % self.size.teams;
        let submission = TaskSubmission {
            key: Some(hash(team)),
            pool: pool_name(pool_of(self.size, team, number / self.size.teams)),
            class: Class::Normal,
            idempotent: true,
            token: None,
            payload: vec![0; 64],
        };
        // Refusals are visible in the number of running tasks, a column of the table.
        self.engine.submit_task(self.now, submission).ok();
    }
}

/// Pairs of pool and team that have work, at every member.
pub(crate) fn pairs(size: Size) -> impl Iterator<Item = (u32, u32)> {
    let of_team =
        move |team| (0..POOLS_PER_TEAM.min(size.pools)).map(move |k| (pool_of(size, team, k), team));
    (0..size.teams).flat_map(of_team)
}

fn pool_of(size: Size, team: u32, k: u32) -> u32 {
    (team + k) % size.pools
}

/// Declaration in which each team may run an eighth of all slots.
pub(crate) fn declaration(size: Size) -> Declaration {
    let limit = (size.workers * WORKER_SLOTS / 8).max(size.members * 16);
    let team = Team { share: 1, limit };
    let pool = Pool { min_serving: size.workers / size.pools / 2, ..Pool::default() };
    Declaration {
        teams: (0..size.teams).map(|n| (team_name(n), team.clone())).collect(),
        pools: (0..size.pools).map(|n| (pool_name(n), pool.clone())).collect::<BTreeMap<_, _>>(),
        ..Declaration::default()
    }
}

fn zone(n: u32) -> String {
    format!("zone-{n:02}")
}

fn pool_name(n: u32) -> String {
    format!("pool-{n:02}")
}

fn team_name(n: u32) -> String {
    format!("team-{n:02}")
}

fn hash(team: u32) -> KeyHash {
    let mut hash = [0; 32];
    hash[..4].copy_from_slice(&team.to_le_bytes());
    hash
}
