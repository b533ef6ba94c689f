//! Orders to machines: waves of upkeep and moves between pools.
//!
//! Either ends everything that runs on a machine, so the machine is emptied first. Orders to one machine
//! never overlap, and none is given until a former owner can no longer give orders.

mod arrivals;
mod demand;
mod emptying;
mod moves;
mod unnamed;
mod upkeep;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::super::Dispatcher;
use super::super::command::{Command, MachineOrder};
use super::super::event::{Machine, MachineState};
use super::super::worker::{Worker, WorkerKey};
use crate::DECISIONS;
use crate::ports::MachineOutcome;
use crate::record::LastOrder;
use crate::table::Placement;

pub(in super::super) use demand::{Announcements, Demand, Hold};
pub(in super::super) use unnamed::UnnamedWorkers;
pub use upkeep::WaveProgress;
pub(in super::super) use upkeep::WaveState;

/// Interval between two planning passes, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 100;
/// Time after which an order that got no answer or could not be carried out yet is repeated, in milliseconds.
const REPEAT_MS: u64 = 400;
/// Largest difference between the times of day of two instances, including jumps, in milliseconds.
const CLOCK_SKEW_MS: u64 = 3_000;
/// Time after which the list of machines surely shows a worker that the directory shows, in milliseconds.
const LIST_DELAY_MS: u64 = 1_000;
/// Time for which a machine gets no order if the previous process of this instance gave it one, in
/// milliseconds. Calls of that process to the machines have ended by then, and their effects show in the list.
const OWN_HANDOVER_MS: u64 = 1_600;
/// Time for which a machine gets no order after it was busy, in milliseconds.
const BUSY_BACKOFF_MS: u64 = 800;
/// Time for which a machine gets no order after one was refused, in milliseconds.
const REFUSED_BACKOFF_MS: u64 = 3_200;
/// Answers in a row after which a machine counts as not part of a wave. The platform may not know a new record yet.
const REFUSALS: u32 = 3;
/// Number of times that this time is doubled at most, while orders for upkeep find no such machine.
const MAX_DOUBLINGS: u32 = 4;
/// Time after which a machine that no list names is gone, in milliseconds.
const GONE_MS: u64 = 10_000;
/// Lists within that time that must lack it.
const GONE_LISTS: u32 = 5;

/// Number of the last lists of machines whose times are known. Their span is longer than the time between two answers of a worker.
const KNOWN_LISTS: usize = 16;

/// Purpose of an order to a machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(in super::super) enum Goal {
    /// Upkeep as part of the wave with this number.
    Upkeep(u64),
    /// Move to the pool with this name.
    Pool(String),
}

/// Stage of an order to a machine. The times are local ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in super::super) enum Stage {
    /// Its worker is being emptied, since this time.
    Emptying(u64),
    /// The order is being stored or was sent, and has no answer yet.
    Ordered,
    /// The order is repeated at this time.
    Waiting(u64),
    /// The order was accepted at this time; the machine is not back in service.
    Taken(u64),
}

/// Order to a machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(in super::super) struct Order {
    /// Number of the order among those of this owner, from 1.
    number: u64,
    pub(super) goal: Goal,
    pub(super) stage: Stage,
    /// Process of the worker that was emptied for it; none before, or if there is no worker.
    pub(super) emptied: Option<Placement>,
    /// True once the list has shown the upkeep that it asks for.
    pub(super) begun: bool,
    /// Worker that the list named when it was sent, before it may have been carried out; none if there was none.
    listed: Option<String>,
    /// True once it got no answer, so that it may have been carried out.
    unanswered: bool,
    /// True once it was accepted and is sent again, because the machine stayed in service.
    repeated: bool,
    /// True if the wave that it was given for was removed since; a later wave may have the same number.
    pub(super) former: bool,
    /// Time at which it was last sent.
    sent: u64,
    /// True once it had to wait for a worker that the list doesn't name.
    delayed: bool,
}

impl Order {
    /// Wave that its answer counts for.
    const fn wave(&self) -> Option<u64> {
        match self.goal {
            Goal::Upkeep(wave) if !self.former => Some(wave),
            Goal::Upkeep(_) | Goal::Pool(_) => None,
        }
    }

    /// Id of the worker that was emptied for it; empty if there is none.
    fn emptied_worker(&self) -> &str {
        self.emptied.as_ref().map_or("", |place| place.worker.as_str())
    }
}

/// Machine with its order.
#[derive(Clone, Debug)]
pub(in super::super) struct MachineRow {
    pub(super) machine: Machine,
    pub(super) order: Option<Order>,
    /// Time since which its worker has no runs.
    pub(super) idle: Option<u64>,
    /// Time until which an order of a former owner may be missing from the list.
    pub(super) handover_until: u64,
    /// Time until which it gets no order.
    pub(super) blocked_until: u64,
    /// True if the last list lacked it.
    unlisted: bool,
    /// Request of the first list from which on all lists show it, with the same worker.
    unchanged_since: u64,
    /// Number of orders for upkeep in a row that found no such machine.
    absences: u32,
    /// Wave that it was last said not to be part of, with the number of such answers in a row.
    pub(super) refusals: Option<(u64, u32)>,
    /// Time at which an order was given up since the machine was busy, until a later list is read. An earlier sending of the
    /// order may have been carried out.
    pub(super) given_up: Option<u64>,
}

/// Lists in a row that lack a machine.
#[derive(Clone, Debug)]
pub(super) struct Absence {
    /// Worker that the last list before them named.
    worker: Option<String>,
    /// Time at which the first of them was requested.
    since: u64,
    /// Number of them.
    lists: u32,
}

/// Times of a list of machines.
#[derive(Clone, Copy, Debug)]
struct ListTimes {
    asked: u64,
    read: u64,
}

/// State of the machines, the waves and the demand of the pools.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct Fleet {
    pub(super) rows: BTreeMap<String, MachineRow>,
    pub(super) waves: BTreeMap<u64, WaveState>,
    /// Machines of waves that the last list lacked.
    pub(super) missing: BTreeMap<String, Absence>,
    /// Waves whose state is being published, with the time since which.
    pub(super) publishing: BTreeMap<u64, u64>,
    pub(super) demand: BTreeMap<String, Demand>,
    announced: Announcements,
    hold: Hold,
    last_plan: u64,
    /// Number of the last order.
    last_order: u64,
    /// Time at which the last list of machines was requested.
    list_asked: Option<u64>,
    /// Last lists of machines, the newest one last.
    lists: VecDeque<ListTimes>,
}

impl Fleet {
    /// True once a list of machines was read.
    pub(super) const fn has_list(&self) -> bool {
        self.list_asked.is_some()
    }

    /// Records which machines of the waves the last list lacks.
    fn note_missing(&mut self, asked: u64) {
        let listed = |name: &str| self.rows.get(name).is_some_and(|row| !row.unlisted);
        let planned = self.waves.values().flat_map(WaveState::names);
        let missing = planned.filter(|name| !listed(name)).map(|name| {
            let worker = || self.rows.get(name).and_then(|row| row.machine.worker.clone());
            let known = self.missing.get(name).cloned();
            let known = known.unwrap_or_else(|| Absence { worker: worker(), since: asked, lists: 0 });
            (name.clone(), Absence { lists: known.lists + 1, ..known })
        });
        self.missing = missing.collect();
    }

    /// Gives a machine an order, and has it emptied from now on. Returns the machine; none if it is unknown.
    pub(super) fn give_order(&mut self, now: u64, name: &str, goal: Goal) -> Option<&Machine> {
        let row = self.rows.get_mut(name)?;
        self.last_order += 1;
        let (number, stage) = (self.last_order, Stage::Emptying(now));
        row.order = Some(Order {
            number,
            goal,
            stage,
            emptied: None,
            begun: false,
            listed: None,
            unanswered: false,
            repeated: false,
            former: false,
            sent: now,
            delayed: false,
        });
        Some(&row.machine)
    }
}

impl Dispatcher {
    /// True if the list of machines should be read now.
    #[must_use]
    pub fn needs_machine_list(&self, now: u64) -> bool {
        let unreachable = |worker: &Worker| !worker.runs.is_empty() && !worker.responds();
        let busy =
            self.fleet.rows.values().any(|row| row.order.is_some()) || self.workers.values().any(unreachable);
        let age = self.fleet.list_asked.map_or(u64::MAX, |at| now.saturating_sub(at));
        age >= if busy { self.options.list_busy_ms } else { self.options.list_ms }
    }

    /// Replaces the machines by a list that was requested at the time `asked`. A list comes in pages, and one that changes
    /// meanwhile may lack a machine or have it twice, so a machine is gone only if two lists in a row lack it.
    pub fn set_machines(&mut self, now: u64, asked: u64, machines: Vec<Machine>) {
        self.fleet.list_asked = Some(asked);
        self.fleet.lists.push_back(ListTimes { asked, read: now });
        if self.fleet.lists.len() > KNOWN_LISTS {
            self.fleet.lists.pop_front();
        }
        let mut old = std::mem::take(&mut self.fleet.rows);
        let mut begun = Vec::new();
        for machine in machines {
            let before = old.remove(&machine.name);
            let same = before.as_ref().filter(|row| !row.unlisted && row.machine.worker == machine.worker);
            let unchanged_since = same.map_or(asked, |row| row.unchanged_since);
            let known = before.or_else(|| self.fleet.rows.remove(&machine.name));
            let row = match known {
                Some(mut row) => {
                    begun.extend(
                        row.finish_order(now, asked, &machine).map(|wave| (wave, machine.name.clone())),
                    );
                    let given_up = row.given_up.filter(|at| *at >= asked);
                    MachineRow { machine, unlisted: false, unchanged_since, given_up, ..row }
                }
                None => {
                    let blocked_until = self.initial_block(now, &machine.name);
                    let handover_until = self.handover_end(now, &machine.name);
                    MachineRow {
                        machine,
                        order: None,
                        idle: Some(now),
                        handover_until,
                        blocked_until,
                        unlisted: false,
                        unchanged_since,
                        absences: 0,
                        refusals: None,
                        given_up: None,
                    }
                }
            };
            self.fleet.rows.insert(row.machine.name.clone(), row);
        }
        for (name, row) in old {
            log::info!(target: DECISIONS, machine = name.as_str(), gone = row.unlisted; "the list lacks a machine");
            if !row.unlisted {
                self.fleet.rows.insert(name, MachineRow { unlisted: true, unchanged_since: u64::MAX, ..row });
            }
        }
        for (wave, name) in begun {
            self.mark_begun(wave, &name);
        }
        self.fleet.note_missing(asked);
        self.mark_missing();
        self.mark_emptying();
        self.note_unnamed_workers(now, asked);
    }

    /// Logs workers with runs that don't answer and that a list doesn't name. They may live behind a cut, so their runs stay until
    /// their leases have expired.
    fn note_unnamed_workers(&mut self, now: u64, asked: u64) {
        let rows = self.fleet.rows.values();
        let present: BTreeSet<&str> = rows.filter_map(|row| row.machine.worker.as_deref()).collect();
        for worker in self.workers.values_mut() {
            if worker.usable() || present.contains(worker.record.worker.as_str()) {
                worker.unnamed_since = None;
            } else if worker.unnamed_since.is_none() && !worker.runs.is_empty() {
                worker.unnamed_since = Some(asked);
                log::info!(
                    target: DECISIONS, worker = worker.record.worker.as_str(), runs = worker.runs.len(),
                    silent_ms = now.saturating_sub(worker.last_answer()), asked_ms = now.saturating_sub(asked),
                    lease_left_ms = worker.lease_end.saturating_sub(now);
                    "the list of machines doesn't name the worker, which doesn't answer"
                );
            }
        }
    }

    /// Plans upkeep and moves.
    pub(in super::super) fn run_fleet(&mut self, now: u64) {
        if now < self.fleet.last_plan + PLAN_INTERVAL_MS {
            return;
        }
        self.fleet.last_plan = now;
        if self.fleet.list_asked.is_none() {
            self.report_waves(now);
            return;
        }
        self.update_idle(now);
        self.update_demand(now);
        self.plan_upkeep(now);
        self.plan_moves(now);
        self.empty_machines(now);
        self.mark_emptying();
    }

    /// True if several lists in a row, over some time, lacked a machine of a wave, and its worker hasn't answered in that time.
    pub(super) fn is_gone(&self, name: &str) -> bool {
        let Some(absence) = self.fleet.missing.get(name) else { return false };
        let worker = absence.worker.as_deref().and_then(|id| self.worker_key(id));
        let answered = worker.and_then(|key| self.workers.get(key)).map(Worker::last_answer);
        let since = absence.since.max(answered.unwrap_or(0));
        let asked = self.fleet.list_asked.unwrap_or(0);
        absence.lists >= GONE_LISTS && asked >= since + GONE_MS
    }

    /// Key of the worker that runs on a machine.
    pub(super) fn machine_worker(&self, row: &MachineRow) -> Option<WorkerKey> {
        self.worker_key(row.machine.worker.as_deref()?)
    }

    fn update_idle(&mut self, now: u64) {
        let mut rows = std::mem::take(&mut self.fleet.rows);
        for row in rows.values_mut() {
            let runs = self.machine_worker(row).and_then(|key| self.workers.get(key)).map(|w| w.runs.len());
            row.idle = match runs {
                Some(1..) => None,
                _ => Some(row.idle.unwrap_or(now)),
            };
        }
        self.fleet.rows = rows;
    }

    /// Excludes the workers of machines with an order from placement, and admits all others.
    fn mark_emptying(&mut self) {
        for worker in self.workers.values_mut() {
            worker.emptying = false;
        }
        let rows = self.fleet.rows.values().filter(|row| row.order.is_some());
        let keys: Vec<WorkerKey> = rows.filter_map(|row| self.machine_worker(row)).collect();
        for key in keys {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.emptying = true;
            }
        }
    }

    /// Has the workers polled whose machines the lists lack.
    fn mark_missing(&mut self) {
        for worker in self.workers.values_mut() {
            worker.missing = false;
        }
        let ids = self.fleet.missing.values().filter_map(|absence| absence.worker.as_deref());
        for key in ids.filter_map(|id| self.worker_key(id)).collect::<Vec<_>>() {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.missing = true;
            }
        }
    }

    /// Stores the time of an order to an empty machine; the order is sent once that is stored.
    pub(super) fn order_machine(&mut self, name: &str) {
        let Some(row) = self.fleet.rows.get(name) else { return };
        let place = self.machine_worker(row).and_then(|key| self.workers.get(key)).map(Worker::placement);
        let Some(order) = self.fleet.rows.get_mut(name).and_then(|row| row.order.as_mut()) else { return };
        if matches!(order.stage, Stage::Emptying(_)) {
            order.emptied = place;
        }
        order.stage = Stage::Ordered;
        let number = order.number;
        let instance = self.table.owner.instance().to_owned();
        self.table.orders.insert(name.to_owned(), LastOrder { at: self.wall_clock, instance });
        self.dirty_orders.insert(name.to_owned(), number);
    }

    /// Sends an order, or empties the machine again if its worker has got runs since. An order that the machine no longer
    /// has is not sent.
    pub(in super::super) fn send_order(
        &mut self,
        now: u64,
        sent: MachineOrder,
        unnamed: &mut Option<UnnamedWorkers>,
    ) {
        let name = sent.machine.as_str();
        let busy = self.may_have_runs(name, unnamed);
        let Some(row) = self.fleet.rows.get_mut(name) else { return };
        let Some(order) = row.order.as_mut().filter(|order| order.number == sent.number) else { return };
        // One that was carried out is accepted again and ends nothing.
        if busy && !order.begun {
            log::info!(target: DECISIONS, machine = name, goal:? = order.goal; "the order waits, since the machine has runs again");
            order.stage = Stage::Emptying(now);
            return;
        }
        log::info!(
            target: DECISIONS, machine = name, order = sent.number, goal:? = order.goal, emptied = order.emptied_worker();
            "the order is sent to the machine"
        );
        order.sent = now;
        if !order.unanswered {
            order.listed.clone_from(&row.machine.worker);
        }
        let command = match &order.goal {
            Goal::Upkeep(wave) => Command::Maintain(sent, *wave),
            Goal::Pool(pool) => Command::Move(sent, pool.clone()),
        };
        self.commands.push(command);
    }

    /// Time until which a former owner may still give a machine orders, or its last order may be missing from
    /// the list.
    fn handover_end(&self, now: u64, name: &str) -> u64 {
        let Some(order) = self.table.orders.get(name) else { return 0 };
        let end = order.at + self.options.handover_ms + CLOCK_SKEW_MS;
        now + end.saturating_sub(self.wall_clock).min(self.options.handover_ms)
    }

    /// Time until which a machine gets no order because of a former owner. If that was another process of
    /// this instance, no second owner can interfere, and its last order only has to show in the list.
    fn initial_block(&self, now: u64, name: &str) -> u64 {
        let handover_until = self.handover_end(now, name);
        let own =
            self.table.orders.get(name).is_some_and(|order| order.instance == self.table.owner.instance());
        if own { handover_until.min(now + OWN_HANDOVER_MS) } else { handover_until }
    }

    /// Handles the outcome of an order to a machine. The list may have shown a former order as carried out before its last
    /// repeat is answered, so the answer counts only if the machine still has that order.
    pub fn machine_ordered(&mut self, now: u64, answered: &MachineOrder, outcome: MachineOutcome) {
        let name = answered.machine.as_str();
        let row = self.fleet.rows.get(name);
        let present = row.and_then(|row| row.order.as_ref()).filter(|order| order.number == answered.number);
        let listed = row.and_then(|row| row.machine.worker.as_deref()).unwrap_or_default();
        log::info!(
            target: DECISIONS, machine = name, order = answered.number, outcome:? = outcome, present = present.is_some(),
            emptied = present.map_or("", Order::emptied_worker), listed = listed,
            sent_ms = present.map_or(0, |order| now.saturating_sub(order.sent)); "the machine order was answered"
        );
        if outcome == MachineOutcome::Fenced {
            self.fenced_out = true;
        }
        if present.is_none() {
            return;
        }
        let Some(row) = self.fleet.rows.get_mut(name) else { return };
        let Some(order) = &mut row.order else { return };
        match outcome {
            MachineOutcome::Taken => {
                order.stage = Stage::Taken(now);
                // A list has shown the next worker since an earlier call, which got no answer.
                order.begun |=
                    order.unanswered && order.listed.is_some() && order.listed != row.machine.worker;
                row.absences = 0;
                row.refusals = None;
                let wave = order.wave().filter(|_| order.begun);
                let emptied = order.emptied.clone();
                // An order that got no answer may have been carried out before the present worker existed.
                let ordered = |key: &WorkerKey| {
                    self.workers.get(*key).map(Worker::placement).is_some_and(|place| Some(place) == emptied)
                };
                let worker = row.machine.worker.clone();
                if let Some(key) = worker.and_then(|id| self.worker_key(&id)).filter(ordered)
                    && let Some(worker) = self.workers.get_mut(key)
                {
                    worker.require_answer(now);
                    worker.listed = false;
                }
                if let Some(wave) = wave {
                    self.mark_begun(wave, name);
                }
            }
            MachineOutcome::Unknown | MachineOutcome::NotNow => {
                order.unanswered |= outcome == MachineOutcome::Unknown;
                order.stage = Stage::Waiting(now + REPEAT_MS);
            }
            MachineOutcome::Busy => {
                row.order = None;
                row.given_up = Some(now);
                row.blocked_until = now + BUSY_BACKOFF_MS;
            }
            MachineOutcome::Refused => {
                let wave = order.wave();
                row.order = None;
                row.blocked_until = now + REFUSED_BACKOFF_MS;
                if let Some(wave) = wave {
                    let before =
                        row.refusals.filter(|(number, _)| *number == wave).map_or(0, |(_, count)| count);
                    row.blocked_until = now + (REFUSED_BACKOFF_MS << before);
                    row.refusals = Some((wave, before + 1));
                    log::warn!(
                        target: DECISIONS, machine = name, wave = wave, refusals = before + 1;
                        "the machine is not part of the wave"
                    );
                    if before + 1 >= REFUSALS {
                        row.refusals = None;
                        self.skip_upkeep(wave, name);
                    }
                }
            }
            MachineOutcome::Absent => {
                log::warn!(target: DECISIONS, machine = name, goal:? = order.goal; "there is no such machine, or it cannot join the pool");
                let upkeep = matches!(order.goal, Goal::Upkeep(_));
                row.order = None;
                row.blocked_until = now + (REFUSED_BACKOFF_MS << row.absences);
                row.absences = if upkeep { MAX_DOUBLINGS.min(row.absences + 1) } else { row.absences };
            }
            MachineOutcome::Fenced => {}
        }
    }
}

impl MachineRow {
    /// True if it may get an order.
    pub(super) fn is_available(&self, now: u64) -> bool {
        let idle = self.order.is_none() && self.machine.state == MachineState::Up;
        idle && !self.unlisted && self.blocked_until <= now
    }

    /// Removes an order that a newer list shows as carried out. Returns the wave for which the upkeep of the machine has begun.
    fn finish_order(&mut self, now: u64, asked: u64, status: &Machine) -> Option<u64> {
        let order = self.order.as_mut()?;
        let accepted = match order.stage {
            Stage::Emptying(_) => return self.finish_move(status),
            Stage::Ordered | Stage::Waiting(_) => None,
            Stage::Taken(at) if at < asked => Some(at),
            Stage::Taken(_) => return None,
        };
        if matches!(order.goal, Goal::Pool(_)) {
            if accepted.is_none() {
                return self.finish_move(status);
            }
        } else {
            order.begun |= status.state == MachineState::Upkeep;
            let at = accepted?;
            // A machine whose upkeep was carried out for a former owner stays in service, and the order is accepted again.
            let serves =
                status.state == MachineState::Up && order.listed.is_some() && status.worker == order.listed;
            if serves && !order.begun && !order.repeated && !order.former {
                // A list may be from some time before.
                if asked >= at + LIST_DELAY_MS {
                    log::warn!(
                        target: DECISIONS, machine = status.name.as_str(), order = order.number;
                        "the machine stays in service although its upkeep was accepted; the order is sent again"
                    );
                    order.repeated = true;
                    order.stage = Stage::Waiting(now);
                }
                return None;
            }
            order.begun = true;
        }
        let wave = order.wave();
        if status.state == MachineState::Up {
            self.order = None;
            self.idle = None;
        }
        wave
    }

    /// Removes a move that was not answered, if the list shows the machine in service in its pool.
    fn finish_move(&mut self, status: &Machine) -> Option<u64> {
        let goal = self.order.as_ref().map(|order| &order.goal);
        let there = matches!(goal, Some(Goal::Pool(pool)) if *pool == status.pool);
        if there && status.state == MachineState::Up {
            self.order = None;
            self.idle = None;
        }
        None
    }
}
