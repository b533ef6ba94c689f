//! Records in the directory that name no worker to use.

mod support;

use std::sync::Arc;

use rattanfall_jobs::catalog::{Catalog, Pool};
use rattanfall_jobs::dispatch::event::WorkerRecord;
use rattanfall_jobs::table::JobState;
use support::{World, cores, job, step};

/// Adds a record of a pool that the configuration doesn't name.
fn add_odd_record(world: &mut World) {
    let record = world.workers[&world.worker_on("red-00")].record.clone();
    world.dispatcher.update_worker(0, WorkerRecord { worker: "odd".into(), pool: "none".into(), ..record });
}

fn polled(world: &World) -> bool {
    world.polls.iter().any(|(_, poll)| poll.target.worker == "odd")
}

/// Guards against polls of whatever listens at the address in a record that names a pool which doesn't exist.
#[test]
fn a_worker_of_an_unknown_pool_is_not_polled() {
    let mut world = World::new(1);
    add_odd_record(&mut world);
    world.submit(job(1, vec![step(2, cores(1), 300)]));
    world.run_for(3_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert!(!polled(&world));
}

/// Guards against a worker that is never used because the directory showed it before the configuration named its pool.
#[test]
fn a_worker_is_polled_once_the_configuration_names_its_pool() {
    let mut world = World::new(1);
    add_odd_record(&mut world);
    world.run_for(1_000);
    let mut catalog = Catalog::clone(&world.catalog);
    catalog.pools.push(Pool { name: "none".into(), standby: false, checks_capacity: false });
    world.dispatcher.set_catalog(Arc::new(catalog));
    world.run_for(500);
    assert!(polled(&world));
}
