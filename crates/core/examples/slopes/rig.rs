//! One engine at a given size. The other members exist in the log and through their digests only.

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

/// Slots of each worker: enough that the smallest fleet of a series holds the load of the others.
const SLOTS: u32 = 64;
/// Workers in one rack.
const RACK: u32 = 4;
/// Pools in which each team has work.
const POOLS_PER_TEAM: u32 = 4;
/// Workers that one batch of the setup adds.
const SETUP_RECORDS: usize = 500;

/// Engine with the log and the list that it reads.
pub(crate) struct Rig {
    pub(crate) engine: Engine,
    pub(crate) size: Size,
    pub(crate) now: Millis,
    /// Batches in the log.
    offset: u64,
    /// Sequence of the member that wrote the setup.
    sequence: u64,
    /// Bytes and batches that the engine appended.
    pub(crate) appended: (u64, u64),
    /// Digests of the engine.
    pub(crate) digests: Vec<Digest>,
    /// Requests that are ready to end.
    pub(crate) sent: Vec<RequestKey>,
    numbers: u64,
}

impl Rig {
    /// Builds the fleet, joins, runs until the holds are settled, and starts one request per pair of team and pool.
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
        self.feed(Batch { origin, sequence: 1, records: vec![Record::Join(join)] });
    }

    /// Batch of another member with the next sequence.
    pub(crate) fn batch(&mut self, records: Vec<Record>) -> Batch {
        self.sequence += 1;
        Batch { origin: Origin::Member(MemberId(1)), sequence: self.sequence, records }
    }

    fn write(&mut self, records: Vec<Record>) {
        let batch = self.batch(records);
        self.feed(batch);
    }

    /// Puts a batch into the log and delivers it.
    pub(crate) fn feed(&mut self, batch: Batch) {
        self.offset += 1;
        self.engine.handle(self.now, Event::LogBatch { offset: Offset(self.offset), batch });
    }

    /// Worker as the list shows it. Its pool follows from its number, zones and pools are mixed.
    pub(crate) fn worker(&self, n: u32) -> WorkerSeen {
        WorkerSeen {
            name: format!("worker-{n:05}"),
            nonce: u64::from(n) + 1_000,
            address: format!("10.{}.{}.{}:9000", n / 65_536, n / 256 % 256, n % 256),
            zone: zone(n / RACK % self.size.zones),
            rack: format!("rack-{:04}", n / RACK),
            pool: pool_name(n % self.size.pools),
            slots: SLOTS,
            leaving: false,
        }
    }

    /// The platform's list with all instances.
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

    /// Digests of all other members, each with one running and one waiting piece of work per pair.
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

    /// Lets all other members say what they run.
    pub(crate) fn hear(&mut self) {
        for digest in self.peer_digests() {
            self.engine.handle(self.now, Event::Digest(digest));
        }
    }

    /// One tick without anything around it.
    pub(crate) fn tick(&mut self) {
        self.now = self.now.plus(TICK_MS);
        self.engine.tick(self.now);
    }

    /// Runs for a time, with digests each second and the answers of log and workers at once.
    pub(crate) fn run(&mut self, ms: u64) {
        for step in 0..ms / TICK_MS {
            if step % 20 == 0 {
                self.hear();
            }
            self.tick();
            self.settle();
        }
    }

    /// Carries out the commands since the last call.
    pub(crate) fn settle(&mut self) {
        self.engine.handle(self.now, Event::LogEnd);
        loop {
            let commands = self.engine.take_commands();
            if commands.is_empty() {
                return;
            }
            commands.into_iter().for_each(|command| self.carry_out(command));
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Append(batch) => {
                let (bytes, batches) = self.appended;
                self.appended = (bytes + encode(&batch).len() as u64, batches + 1);
                let sequence = batch.sequence;
                self.engine
                    .handle(self.now, Event::AppendEnded { sequence, outcome: AppendOutcome::Appended });
                self.feed(batch);
            }
            Command::Send(order) => self.sent.push(order.request),
            Command::Gossip(digest) => self.digests.push(digest),
            Command::Task(order) => self.answer(&order),
            _ => {}
        }
    }

    fn answer(&mut self, order: &TaskCall) {
        let answer = match order.action {
            TaskAction::Lease { .. } | TaskAction::Renew { .. } => {
                TaskAnswer::Leased { lease: u64::from(order.task.number), ttl_ms: 10_000, asked: self.now }
            }
            _ => TaskAnswer::Running,
        };
        let (task, attempt, worker) = (order.task, order.attempt, order.worker);
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

    /// Submits a request and ends it with a whole answer.
    pub(crate) fn serve(&mut self, pool: u32, team: u32) {
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
        // A refusal shows in the count of running tasks, which the table prints.
        self.engine.submit_task(self.now, submission).ok();
    }
}

/// Pairs of pool and team that have work at each member.
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
    let limit = (size.workers * SLOTS / 8).max(size.members * 16);
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
