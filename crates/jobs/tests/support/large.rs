//! Large fleets whose machines wait with their orders, because the list of machines is older than the workers.

use rattanfall_jobs::dispatch::event::MachineState;
use rattanfall_jobs::spec::Step;

use super::{ROUND_MS, World, cores, job, step};

/// Share of the machines whose listed worker is unknown, as a divisor.
const UNKNOWN_SHARE: usize = 3;
/// Availability zones of the simulation.
const ZONES: usize = 3;
/// Tasks of one job.
const TASKS: usize = 300;

/// Fleet of which a third of the machines are to be maintained and have an unknown worker, and all other workers have
/// runs. One worker in each availability zone is on no listed machine.
pub(crate) fn waiting_fleet(machines: usize) -> World {
    let mut world = World::new(machines);
    let names: Vec<String> = world.machines.keys().cloned().collect();
    let mut unknown = Vec::new();
    for (index, name) in names.iter().enumerate() {
        if index + ZONES >= names.len() {
            world.machines.remove(name);
        } else if index % UNKNOWN_SHARE == 0 {
            world.crash(name);
            if let Some((machine, back)) = world.machines.get_mut(name) {
                machine.state = MachineState::Up;
                machine.worker = Some(format!("former-{name}"));
                *back = None;
            }
            unknown.push(name.clone());
        }
    }
    // The list that is read at once is too old to show all workers.
    world.round();
    world.machines_unread = true;
    let mut left = world.workers.len();
    for id in 1.. {
        let count = left.min(TASKS);
        if count == 0 {
            break;
        }
        let count = u32::try_from(count).expect("a small number");
        world.submit(job(id, vec![Step { long_running: true, ..step(count, cores(16), 1_000) }]));
        left -= count as usize;
    }
    while world.workers.values().any(|worker| worker.runs.is_empty()) {
        world.round();
        assert!(world.now < 2_000 * ROUND_MS, "the tasks don't start");
    }
    let most = u32::try_from(unknown.len()).expect("a small number");
    // Without time to spare all machines get their orders at once.
    let unknown: Vec<&str> = unknown.iter().map(String::as_str).collect();
    world.write_wave(1, &unknown, most, 1);
    world.run_for(500);
    assert_eq!(world.upkeeps, []);
    world
}
