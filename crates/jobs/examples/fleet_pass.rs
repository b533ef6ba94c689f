//! Measures a planning pass of the fleet while a third of the machines wait with orders for upkeep, because their listed worker is
//! unknown, and the same with a second wave, of all machines, that the pool can't spare yet.
//!
//! Prints the time of one advance of all systems, in microseconds, without and with a planning pass in it.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use support::World;
use support::large::waiting_fleet;

/// Sizes of the fleet.
const SIZES: [usize; 2] = [349, 1_100];
/// Time between two advances, in milliseconds; each second one plans.
const STEP_MS: u64 = 50;
/// Advances of each kind.
const REPEATS: usize = 50;
/// Time that the second wave has, in milliseconds.
const WITHIN_MS: u64 = 600_000;

fn main() {
    println!("machines  waves  advance     least  median  examined");
    for machines in SIZES {
        let mut world = waiting_fleet(machines);
        measure(&mut world, machines, 1);
        let names: Vec<String> = world.machines.keys().cloned().collect();
        let most = u32::try_from(names.len()).unwrap_or(u32::MAX);
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        world.write_wave(2, &names, most, WITHIN_MS);
        measure(&mut world, machines, 2);
    }
}

fn measure(world: &mut World, machines: usize, waves: usize) {
    let before = world.dispatcher.counters.searched;
    let mut times = [Vec::new(), Vec::new()];
    // The first advances send the polls that are due.
    for index in 0..2 * REPEATS + 2 {
        world.now += STEP_MS;
        world.dispatcher.contacted(world.now);
        let start = Instant::now();
        world.dispatcher.tick(world.now);
        times[index % 2].push(start.elapsed().as_micros());
        world.dispatcher.take_commands();
    }
    let examined = (world.dispatcher.counters.searched - before) / (REPEATS as u64 + 1);
    times.iter_mut().for_each(|kind| kind.sort_unstable());
    times.sort_unstable_by_key(|kind| kind[REPEATS / 2]);
    for (kind, examined, name) in [(&times[0], 0, "other"), (&times[1], examined, "planning")] {
        println!("{machines:8}  {waves:5}  {name:8} {:8} {:7} {examined:9}", kind[0], kind[REPEATS / 2]);
    }
}
