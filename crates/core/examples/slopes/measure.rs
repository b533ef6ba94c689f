//! Measurement of the costs at one fleet size.

use rattanfall_core::engine::{Event, TICK_MS};
use rattanfall_core::fleet::Fleet;
use rattanfall_core::ids::Offset;
use rattanfall_core::record::{Batch, Record, encode};

use crate::meter::{lowest, resident, time};
use crate::rig::{Rig, declaration, pairs};
use crate::sizes::Size;

/// Digests that each member sends per second.
const DIGESTS_PER_S: u32 = 4;
/// Ticks in one measured block: one second of operation, which includes every periodic task.
const BLOCK_TICKS: u32 = 20;
/// Measured time after which no further block is started, in microseconds.
const MAX_MEASURED_US: f64 = 300_000.0;
/// Maximum number of measured blocks.
const MAX_BLOCKS: usize = 50;
/// Minimum number of measured blocks: the fastest one counts, since other processes disturb some of them.
const MIN_BLOCKS: usize = 6;
/// Repetitions of the other measurements.
const REPEATS: u32 = 10;
/// Copies of the state that are kept at once to measure its memory use.
const COPIES: u32 = 4;
/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;

/// Names of the measured costs, which are columns of the table.
pub(crate) const COLUMNS: [&str; 13] = [
    "us/tick",
    "ms/s",
    "us/request",
    "us/list",
    "us/batch",
    "us/config",
    "us/digest",
    "digest B",
    "config B",
    "append B/s",
    "snapshot kB",
    "state kB",
    "tasks",
];

/// Measures the costs at one size, in the order of [`COLUMNS`].
pub(crate) fn measure(size: Size) -> [f64; COLUMNS.len()] {
    let mut rig = Rig::new(size);
    let state_kb = state_memory(rig.engine.fleet());
    let (tick, appended) = tick_cost(&mut rig);
    let second = second_cost(&mut rig);
    let request = request_cost(&mut rig);
    let list = list_cost(&mut rig);
    let batch = batch_cost(&mut rig);
    let (config, config_bytes) = config_cost(&mut rig);
    let digest = digest_cost(&mut rig);
    let tasks = rig.engine.fleet().tasks.values().filter(|task| task.attempts > 0).count();
    [
        tick,
        second,
        request,
        list,
        batch,
        config,
        digest,
        digest_bytes(&mut rig),
        config_bytes,
        appended,
        count(rig.engine.fleet().snapshot().len()) / 1e3,
        state_kb,
        count(tasks),
    ]
}

/// Processor time per tick in microseconds, and appended bytes per second.
fn tick_cost(rig: &mut Rig) -> (f64, f64) {
    let mut blocks = Vec::new();
    while blocks.len() < MAX_BLOCKS && blocks.iter().sum::<f64>() < MAX_MEASURED_US
        || blocks.len() < MIN_BLOCKS
    {
        rig.receive_digests();
        blocks.push(time(|| (0..BLOCK_TICKS).for_each(|_| rig.tick())));
        rig.run_commands();
    }
    let appended = to_f64(rig.appended.0) / count(blocks.len());
    (lowest(blocks) / f64::from(BLOCK_TICKS), appended)
}

/// Processor time per second of operation, in milliseconds: the ticks, the digests of all other members, and one read
/// of the platform's list.
fn second_cost(rig: &mut Rig) -> f64 {
    let mut seconds = Vec::new();
    for _ in 0..REPEATS {
        let list = rig.list();
        let rounds: Vec<_> = (0..DIGESTS_PER_S).map(|_| rig.peer_digests()).collect();
        seconds.push(time(|| {
            rig.engine.handle(rig.now, Event::List(list));
            for digests in rounds {
                digests.into_iter().for_each(|d| rig.engine.handle(rig.now, Event::Digest(d)));
                (0..BLOCK_TICKS / DIGESTS_PER_S).for_each(|_| rig.tick());
            }
        }));
        rig.run_commands();
    }
    lowest(seconds) / 1e3
}

/// Processor time per request, from submission to response, in microseconds.
fn request_cost(rig: &mut Rig) -> f64 {
    let pairs: Vec<(u32, u32)> = pairs(rig.size).collect();
    let once = |_| time(|| pairs.iter().for_each(|(pool, team)| rig.complete_request(*pool, *team)));
    lowest((0..REPEATS).map(once)) / count(pairs.len())
}

/// Processor time per read of the platform's list, in microseconds.
fn list_cost(rig: &mut Rig) -> f64 {
    let (now, list) = (rig.now, rig.list());
    lowest((0..REPEATS).map(|_| {
        let event = Event::List(list.clone());
        time(|| rig.engine.handle(now, event))
    }))
}

/// Processor time per batch with one record about one worker, in microseconds; the mean over workers spread evenly over
/// the fleet.
fn batch_cost(rig: &mut Rig) -> f64 {
    let numbers: Vec<u32> = (0..rig.size.workers).step_by(rig.size.workers as usize / 25).collect();
    let total = count(numbers.len());
    let mut times = Vec::new();
    for _ in 0..REPEATS {
        let records = numbers.iter().map(|n| Record::WorkerSeen(rig.worker(*n))).collect::<Vec<_>>();
        let batches: Vec<Batch> = records.into_iter().map(|record| rig.batch(vec![record])).collect();
        times.push(time(|| batches.into_iter().for_each(|batch| rig.append(batch))));
    }
    lowest(times) / total
}

/// Processor time per change of the declaration in microseconds, and the size of its batch in bytes.
fn config_cost(rig: &mut Rig) -> (f64, f64) {
    let declaration = declaration(rig.size);
    let mut times = Vec::new();
    let mut bytes = 0;
    for _ in 0..REPEATS {
        let base = rig.engine.fleet().version;
        let batch = rig.batch(vec![Record::ConfigChanged { base, declaration: declaration.clone() }]);
        bytes = encode(&batch).len();
        times.push(time(|| rig.append(batch)));
    }
    (lowest(times), count(bytes))
}

/// Processor time per received digest, in microseconds.
fn digest_cost(rig: &mut Rig) -> f64 {
    let mut times = Vec::new();
    for _ in 0..REPEATS {
        let digests = rig.peer_digests();
        let total = count(digests.len());
        let now = rig.now;
        let learn = || digests.into_iter().for_each(|d| rig.engine.handle(now, Event::Digest(d)));
        times.push(time(learn) / total);
    }
    lowest(times)
}

/// Size of the engine's own digest in bytes, as a `postcard` body without the frame of the peer protocol.
fn digest_bytes(rig: &mut Rig) -> f64 {
    rig.digests.clear();
    rig.run(SECOND_MS);
    let total: usize = rig.digests.iter().map(|d| postcard::to_stdvec(d).unwrap_or_default().len()).sum();
    count(total) / count(rig.digests.len().max(1))
}

/// Resident memory per copy of the replicated state, in kilobytes.
fn state_memory(fleet: &Fleet) -> f64 {
    let before = resident();
    let copies: Vec<Fleet> = (0..COPIES).map(|_| fleet.clone()).collect();
    let grown = resident().saturating_sub(before);
    assert!(copies.iter().all(|copy| copy.applied >= Some(Offset(1))));
    // The copies are leaked, so that the next measurement cannot reuse their pages.
    std::mem::forget(copies);
    to_f64(grown) / f64::from(COPIES) / 1e3
}

fn count(n: usize) -> f64 {
    to_f64(n as u64)
}

#[expect(clippy::cast_precision_loss, reason = "counts and sizes are far below 2^52")]
fn to_f64(n: u64) -> f64 {
    n as f64
}

const _: () = assert!(BLOCK_TICKS as u64 * TICK_MS == SECOND_MS);
