//! Waves of upkeep whose record the operators change, and machines that turn out not to be part of their wave.

mod support;

use std::collections::BTreeSet;

use rattanfall_jobs::dispatch::WaveProgress;
use rattanfall_jobs::dispatch::command::Command;
use rattanfall_jobs::dispatch::options::Options;
use rattanfall_jobs::ports::MachineOutcome;
use rattanfall_jobs::record::{Change, Entry, read_change, wave};
use rattanfall_jobs::spec::Step;
use serde::{Deserialize, Serialize};
use support::{MachineFault, ROUND_MS, World, cores, job, step};

const ALL: [&str; 4] = ["red-00", "red-01", "red-02", "red-03"];

/// World whose first wave, of one machine, is completed.
fn completed() -> World {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.write_wave(1, &ALL[..1], 1, 5_000);
    world.run_for(5_000);
    assert_eq!((world.machine_orders, world.published.get(&1)), (1, Some(&true)));
    world
}

fn maintained(world: &World) -> Vec<&str> {
    world.upkeeps.iter().map(|(_, name)| name.as_str()).collect()
}

/// Guards against a wave that is shown as completed while machines that were added to it are due.
#[test]
fn a_wave_that_gets_more_machines_is_shown_as_running_again() {
    let mut world = completed();
    world.write_wave(1, &ALL[..2], 1, 5_000);
    world.run_for(300);
    assert_eq!(world.published.get(&1), Some(&false));
    world.run_for(6_000);
    assert_eq!(maintained(&world), ALL[..2]);
    assert_eq!((world.machine_orders, world.published.get(&1)), (2, Some(&true)));
}

/// Guards against a wave that a new owner shows as completed by the machines of its former record.
#[test]
fn a_new_owner_plans_the_machines_that_were_added_to_a_wave() {
    let mut world = completed();
    world.take_over();
    world.write_wave(1, &ALL[..2], 1, 5_000);
    world.run_for(1_000);
    assert_eq!(world.published.get(&1), Some(&false));
    world.run_for(14_000);
    assert_eq!(maintained(&world), ALL[..2]);
    assert_eq!((world.machine_orders, world.published.get(&1)), (2, Some(&true)));
}

/// Guards against upkeep of machines that the operators have taken out of a wave, or whose wave they have removed.
#[test]
fn a_removed_wave_is_no_longer_planned_nor_stored() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.write_wave(1, &ALL, 1, 25_000);
    while world.upkeeps.is_empty() {
        world.round();
    }
    world.remove_wave(1);
    world.run_for(15_000);
    assert_eq!(world.upkeeps.len(), 1);
    assert!(world.dispatcher.table.waves.is_empty());
    assert!(!world.stored.contains_key("wave/1"));
}

/// Guards against a wave that is shown as completed by the upkeep of an earlier wave with its number.
#[test]
fn a_number_that_is_used_again_starts_afresh() {
    let mut world = completed();
    world.remove_wave(1);
    world.run_for(500);
    world.write_wave(1, &ALL[..1], 1, 5_000);
    world.run_for(300);
    assert_eq!(world.published.get(&1), Some(&false));
    world.run_for(6_000);
    assert_eq!((world.machine_orders, world.published.get(&1)), (3, Some(&true)));
}

/// Guards against a wave that is shown as completed by an earlier one, whose removal the new owner has not read.
#[test]
fn a_number_that_is_used_again_starts_afresh_if_the_removal_was_missed() {
    let mut world = completed();
    world.take_over();
    world.replace_wave(1, &ALL[..1], 1, 5_000);
    world.run_for(1_000);
    assert_eq!(world.published.get(&1), Some(&false));
    world.run_for(14_000);
    assert_eq!((world.machine_orders, world.published.get(&1)), (3, Some(&true)));
}

/// Guards against a wave that is shown as completed on the answer to an order of an earlier wave with its number.
#[test]
fn an_answer_to_an_order_of_a_removed_wave_does_not_count() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.machine_fault = Some(MachineFault::HoldsAnswers);
    world.write_wave(1, &ALL[..1], 1, 5_000);
    while world.upkeeps.is_empty() {
        world.round();
    }
    world.remove_wave(1);
    world.run_for(200);
    world.write_wave(1, &ALL[..1], 1, 20_000);
    world.deliver_answers();
    world.machine_fault = None;
    world.run_for(400);
    assert_eq!(world.published.get(&1), Some(&false));
    world.run_for(12_000);
    assert_eq!((world.machine_orders, world.published.get(&1)), (3, Some(&true)));
}

/// Guards against more machines in upkeep than allowed, while those of an earlier wave with the same number are down.
#[test]
fn a_number_that_is_used_again_keeps_the_limit() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.write_wave(1, &ALL[..2], 1, 5_000);
    while world.upkeeps.is_empty() {
        world.round();
    }
    world.remove_wave(1);
    world.run_for(200);
    world.write_wave(1, &ALL[2..], 1, 5_000);
    for _ in 0..1_500 {
        world.round();
        assert!(world.in_upkeep() <= 1);
    }
    assert_eq!(maintained(&world)[1..], ALL[2..]);
    assert_eq!(world.published.get(&1), Some(&true));
}

/// Guards against a wave that is shown as completed without a machine that the platform didn't know for a while.
#[test]
fn a_machine_that_is_listed_stays_due_when_an_order_finds_no_such_machine() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.machine_fault = Some(MachineFault::Answers(MachineOutcome::Absent));
    world.write_wave(1, &ALL[..1], 1, 5_000);
    world.run_for(5_000);
    assert_eq!(world.published.get(&1), Some(&false));
    world.machine_fault = None;
    world.run_for(15_000);
    assert_eq!(maintained(&world), ALL[..1]);
    assert_eq!(world.published.get(&1), Some(&true));
}

/// Guards against a wave that is never completed because a machine of it has left, and against one that stays completed when the
/// machine is back.
#[test]
fn a_machine_that_is_gone_is_due_only_once_it_is_listed_again() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.remove_machine("red-01");
    world.write_wave(1, &ALL[..2], 1, 5_000);
    world.run_for(5_000);
    assert_eq!(world.published.get(&1), Some(&false));
    world.run_for(15_000);
    assert_eq!(maintained(&world), ALL[..1]);
    assert_eq!(world.published.get(&1), Some(&true));
    world.machine_fault = Some(MachineFault::Refuses);
    world.add_machine("red-01", "red", 1);
    world.run_for(2_000);
    assert_eq!(world.published.get(&1), Some(&false));
    world.machine_fault = None;
    world.run_for(6_000);
    assert_eq!(maintained(&world), ALL[..2]);
    assert_eq!(world.published.get(&1), Some(&true));
}

/// Guards against orders without end to a machine that the platform knows not to be part of the wave.
#[test]
fn a_machine_that_is_not_of_the_wave_is_left_out_until_the_wave_changes() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.machine_fault = Some(MachineFault::Answers(MachineOutcome::Refused));
    world.write_wave(1, &ALL[..1], 1, 5_000);
    world.run_for(9_000);
    assert_eq!((world.machine_orders, world.published.get(&1)), (2, Some(&false)));
    world.run_for(3_000);
    assert_eq!((world.machine_orders, world.published.get(&1)), (3, Some(&true)));
    world.take_over();
    world.pass_waves();
    world.run_for(20_000);
    assert_eq!((world.machine_orders, world.published.get(&1)), (3, Some(&true)));
    world.machine_fault = None;
    world.write_wave(1, &ALL[..2], 2, 5_000);
    world.run_for(8_000);
    assert_eq!(maintained(&world), ALL[..2]);
    assert_eq!(world.published.get(&1), Some(&true));
}

/// Progress of a wave as the release before stores it.
#[derive(Debug, Deserialize, Eq, PartialEq, Serialize)]
struct FormerProgress {
    seen_ms: u64,
    begun: BTreeSet<String>,
}

/// Guards against the loss of a wave's progress when another release takes the work over.
#[test]
fn the_progress_of_a_wave_is_readable_by_and_from_the_release_before() {
    let begun: BTreeSet<String> = ALL[..2].iter().map(|name| (*name).to_owned()).collect();
    let former = FormerProgress { seen_ms: 7, begun: begun.clone() };
    let value = postcard::to_extend(&former, vec![1]).expect("it can be encoded");
    let read = read_change(&Entry { key: "wave/3".into(), value }).expect("it can be decoded");
    let expected = WaveProgress { seen_ms: 7, begun: begun.clone(), ..WaveProgress::default() };
    assert_eq!(read, Change::Wave(3, expected));

    let excluded = [ALL[3].to_owned()].into();
    let progress = WaveProgress { seen_ms: 7, begun, offset: Some(9), excluded, ..WaveProgress::default() };
    let entry = wave(3, &progress);
    assert_eq!(postcard::from_bytes::<FormerProgress>(&entry.value[1..]), Ok(former));
    let without_digest = (7_u64, &progress.begun, Some(9_u64), &progress.excluded);
    let value = postcard::to_extend(&without_digest, vec![1]).expect("it can be encoded");
    let read = read_change(&Entry { key: "wave/3".into(), value }).expect("it can be decoded");
    assert_eq!(read, Change::Wave(3, progress.clone()));
    assert_eq!(read_change(&entry).expect("it can be decoded"), Change::Wave(3, progress));
    let digested = WaveProgress { digest: Some(5), ..WaveProgress::default() };
    let read = read_change(&wave(3, &digested)).expect("it can be decoded");
    assert_eq!(read, Change::Wave(3, digested));
}

/// Guards against upkeep that is repeated after the update of a release, which stored no offsets.
#[test]
fn a_wave_that_the_release_before_has_stored_goes_on() {
    let mut world = completed();
    let former = FormerProgress { seen_ms: support::UNIX, begun: [ALL[0].to_owned()].into() };
    let value = postcard::to_extend(&former, vec![1]).expect("it can be encoded");
    world.stored.insert("wave/1".into(), Entry { key: "wave/1".into(), value });
    world.take_over();
    world.pass_waves();
    world.run_for(6_000);
    assert_eq!((world.machine_orders, world.published.get(&1)), (1, Some(&true)));
}

/// Guards against a wave that is shown as completed by an old record, of which the former owner had read a newer one.
#[test]
fn a_wave_waits_for_the_record_that_its_progress_is_about() {
    let mut world = completed();
    let old = world.wave_records();
    world.write_wave(1, &ALL[..2], 1, 5_000);
    world.run_for(300);
    world.take_over();
    world.published.clear();
    world.dispatcher.set_waves(world.now, &old, 1);
    world.run_for(1_000);
    assert_eq!(world.published.get(&1), None);
    world.pass_waves();
    world.run_for(12_000);
    assert_eq!(maintained(&world), ALL[..2]);
    assert_eq!(world.published.get(&1), Some(&true));
}

/// Guards against a wave that is shown as completed because an older report is stored after a newer one.
#[test]
fn a_report_waits_until_the_one_before_is_answered() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.write_wave(1, &ALL[..1], 1, 5_000);
    world.run_for(300);
    world.holds_reports = true;
    world.run_for(4_000);
    world.machine_fault = Some(MachineFault::Refuses);
    world.write_wave(1, &ALL[..2], 1, 5_000);
    world.run_for(600);
    assert_eq!(world.held_reports, [(1, true)]);
    world.holds_reports = false;
    world.deliver_reports();
    world.run_for(300);
    assert_eq!(world.published.get(&1), Some(&false));
    world.machine_fault = None;
    world.run_for(8_000);
    assert_eq!(world.published.get(&1), Some(&true));
}

/// Guards against more machines in upkeep than allowed, after an order that was carried out without an answer and whose repeat found
/// the machine busy.
#[test]
fn an_upkeep_whose_repeat_finds_the_machine_busy_counts_toward_the_limit() {
    let mut world = World::new(ALL.len());
    world.set_options(Options { list_ms: 2_000, list_busy_ms: 2_000, ..Options::default() });
    world.run_for(1_000);
    world.machine_fault = Some(MachineFault::DropsAnswers);
    world.write_wave(1, &ALL[..2], 1, 5_000);
    while world.upkeeps.is_empty() {
        world.round();
    }
    world.machine_fault = Some(MachineFault::Answers(MachineOutcome::Busy));
    while world.machine_orders < 2 {
        world.round();
    }
    world.machine_fault = None;
    for _ in 0..2_000 {
        world.round();
        assert!(world.in_upkeep() <= 1, "at {}", world.now);
    }
    let mut names = maintained(&world);
    names.sort_unstable();
    assert_eq!(names, ALL[..2]);
    assert_eq!(world.published.get(&1), Some(&true));
}

/// Guards against a wave that is shown as completed, and by the next owner as running, since its progress was never stored.
#[test]
fn a_wave_is_shown_as_completed_only_once_its_progress_is_stored() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.write_wave(1, &ALL[..1], 1, 5_000);
    while world.upkeeps.is_empty() {
        world.round();
    }
    world.down = true;
    world.run_for(400);
    assert_eq!(world.published.get(&1), Some(&false));
    let write = world.dispatcher.take_write(world.now).expect("a list has shown the upkeep");
    for _ in 0..1_000 / ROUND_MS {
        world.now += ROUND_MS;
        world.dispatcher.tick(world.now);
        assert!(!world.dispatcher.take_commands().contains(&Command::Publish(1, true)), "at {}", world.now);
    }
    world.store(&write);
    world.dispatcher.stored(world.now, &write);
    world.run_for(1_000);
    assert_eq!(world.published.get(&1), Some(&true));
}

/// Guards against more machines in upkeep than allowed, if a new owner reads a changed record while a machine of the former one is
/// down.
#[test]
fn a_machine_of_a_former_record_counts_toward_the_limit_after_a_takeover() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.write_wave(1, &ALL[..2], 1, 5_000);
    while world.in_upkeep() == 0 {
        world.round();
    }
    world.take_over();
    world.write_wave(1, &ALL[2..], 1, 5_000);
    for _ in 0..15_000 / ROUND_MS {
        world.round();
        assert!(world.in_upkeep() <= 1, "at {}", world.now);
    }
    assert_eq!(maintained(&world)[1..], ALL[2..]);
}

/// Guards against a wave that is shown as completed because two lists with a long time between them lack a machine.
#[test]
fn a_machine_that_only_two_lists_lack_stays_due() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.machine_fault = Some(MachineFault::Refuses);
    world.write_wave(1, &ALL[..1], 1, 30_000);
    world.machines_unread = true;
    for _ in 0..2 {
        world.run_for(10_000);
        let mut list = world.list_machines();
        list.retain(|machine| machine.name != ALL[0]);
        world.dispatcher.set_machines(world.now, world.now, list);
    }
    world.run_for(1_000);
    assert_eq!(world.published.get(&1), Some(&false));
    world.machines_unread = false;
    world.machine_fault = None;
    world.run_for(10_000);
    assert_eq!((maintained(&world), world.published.get(&1)), (vec![ALL[0]], Some(&true)));
}

/// Guards against a wave that is shown as completed on its former record, by a published state that got no answer and is stored later.
#[test]
fn a_published_state_without_an_answer_is_followed_by_that_of_a_newer_record() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.write_wave(1, &ALL[..1], 1, 5_000);
    world.run_for(300);
    world.holds_reports = true;
    while world.held_reports.is_empty() {
        world.round();
    }
    assert_eq!(std::mem::take(&mut world.held_reports), [(1, true)]);
    world.dispatcher.published(1, true, false);
    world.machine_fault = Some(MachineFault::Refuses);
    world.write_wave(1, &ALL[..2], 1, 5_000);
    world.run_for(1_000);
    assert_eq!(world.held_reports, [(1, false)]);
}

/// Guards against a wave that stays shown as completed on its former record, while a new owner can't read the machines.
#[test]
fn a_new_owner_publishes_a_changed_wave_before_it_has_read_the_machines() {
    let mut world = completed();
    world.machines_unread = true;
    world.take_over();
    world.write_wave(1, &ALL[..2], 1, 5_000);
    world.run_for(1_000);
    assert_eq!(world.published.get(&1), Some(&false));
    world.machines_unread = false;
    world.run_for(14_000);
    assert_eq!((maintained(&world), world.published.get(&1)), (ALL[..2].to_vec(), Some(&true)));
}

/// Guards against a wave that is shown as completed on the answer alone, while the machine stays in service.
#[test]
fn an_upkeep_that_was_accepted_and_does_not_begin_is_ordered_again() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.machine_fault = Some(MachineFault::Answers(MachineOutcome::Taken));
    world.write_wave(1, &ALL[..1], 1, 5_000);
    while world.machine_orders == 0 {
        world.round();
    }
    world.machine_fault = None;
    world.run_for(600);
    assert_eq!((world.upkeeps.len(), world.published.get(&1)), (0, Some(&false)));
    world.run_for(4_000);
    assert_eq!((maintained(&world), world.published.get(&1)), (ALL[..1].to_vec(), Some(&true)));
}

/// Guards against a wave that is shown as completed although no list has shown the upkeep since it was accepted.
#[test]
fn a_wave_is_shown_as_completed_only_once_a_list_has_shown_the_upkeep() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.write_wave(1, &ALL[..1], 1, 5_000);
    while world.upkeeps.is_empty() {
        world.round();
    }
    world.machines_unread = true;
    world.run_for(4_000);
    assert_eq!(world.published.get(&1), Some(&false));
    world.machines_unread = false;
    world.run_for(300);
    assert_eq!((world.machine_orders, world.published.get(&1)), (1, Some(&true)));
}

/// Guards against orders without end to a machine whose upkeep was carried out for a former owner, which didn't store it.
#[test]
fn an_upkeep_that_a_former_owner_did_not_store_is_ordered_twice_at_most() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.write_wave(1, &ALL[..1], 1, 5_000);
    while world.upkeeps.is_empty() {
        world.round();
    }
    world.take_over();
    world.pass_waves();
    world.run_for(12_000);
    assert_eq!((maintained(&world), world.published.get(&1)), (ALL[..1].to_vec(), Some(&true)));
    assert!(world.machine_orders <= 3, "{} orders", world.machine_orders);
}

/// Guards against more machines in upkeep than allowed, while lists are answered from before the upkeep that was accepted.
#[test]
fn a_list_from_before_an_accepted_upkeep_frees_no_place_in_the_wave() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.write_wave(1, &ALL[..2], 1, 5_000);
    let before = world.list_machines();
    while world.upkeeps.is_empty() {
        world.round();
    }
    world.machines_unread = true;
    for _ in 0..3 {
        world.run_for(200);
        world.dispatcher.set_machines(world.now, world.now, before.clone());
    }
    world.machines_unread = false;
    for _ in 0..10_000 / ROUND_MS {
        world.round();
        assert!(world.in_upkeep() <= 1, "at {}", world.now);
    }
    assert_eq!((world.machine_orders, world.published.get(&1)), (2, Some(&true)));
}

/// Guards against a state of a wave that the store refuses because that of another wave, published at the same time, was faster.
#[test]
fn the_states_of_two_waves_are_published_one_after_the_other() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.machine_fault = Some(MachineFault::Refuses);
    world.holds_reports = true;
    world.write_wave(1, &ALL[..1], 1, 5_000);
    world.write_wave(2, &ALL[1..2], 1, 5_000);
    world.run_for(300);
    assert_eq!(world.held_reports, [(1, false)]);
    world.holds_reports = false;
    world.deliver_reports();
    world.run_for(300);
    assert_eq!(world.published, [(1, false), (2, false)].into());
}

/// Guards against a machine that is emptied once more, since its upkeep was carried out without an answer and between two lists.
#[test]
fn an_unanswered_upkeep_that_was_carried_out_is_not_ordered_again_once_it_is_accepted() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.machine_fault = Some(MachineFault::DropsAnswers);
    world.write_wave(1, &ALL[..1], 1, 5_000);
    while world.upkeeps.is_empty() {
        world.round();
    }
    world.machines_unread = true;
    world.run_for(2_000);
    world.machines_unread = false;
    world.run_for(1_000);
    world.machine_fault = None;
    world.run_for(600);
    let orders = world.machine_orders;
    world.run_for(5_000);
    assert_eq!((world.machine_orders, world.published.get(&1)), (orders, Some(&true)));
}

/// Guards against a wave that is shown as completed because lists lack a machine that stays, while its worker answers.
#[test]
fn a_machine_whose_worker_answers_stays_due_while_lists_lack_it() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.machine_fault = Some(MachineFault::Refuses);
    world.write_wave(1, &ALL[..1], 1, 30_000);
    world.run_for(500);
    world.machines_unread = true;
    for _ in 0..15 {
        world.run_for(1_000);
        let list = world.list_machines().into_iter().filter(|machine| machine.name != ALL[0]).collect();
        world.dispatcher.set_machines(world.now, world.now, list);
    }
    world.run_for(1_000);
    assert_eq!(world.published.get(&1), Some(&false));
    world.machines_unread = false;
    world.machine_fault = None;
    world.run_for(10_000);
    assert_eq!((maintained(&world), world.published.get(&1)), (vec![ALL[0]], Some(&true)));
}

/// Guards against a wave that is shown as completed without a machine, since the platform didn't know its record at first.
#[test]
fn a_machine_that_is_refused_at_first_gets_its_upkeep() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.machine_fault = Some(MachineFault::Answers(MachineOutcome::Refused));
    world.write_wave(1, &ALL[..1], 1, 15_000);
    world.run_for(3_000);
    assert_eq!((world.machine_orders, world.published.get(&1)), (1, Some(&false)));
    world.machine_fault = None;
    world.run_for(8_000);
    assert_eq!((maintained(&world), world.published.get(&1)), (vec![ALL[0]], Some(&true)));
}

/// Guards against a wave that is shown as running until the next list, although lists have shown the next worker of its last machine
/// before the answer to the repeated order.
#[test]
fn a_list_from_before_the_answer_to_a_repeat_shows_the_upkeep() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.machine_fault = Some(MachineFault::DropsAnswers);
    world.write_wave(1, &ALL[..1], 1, 5_000);
    while world.upkeeps.is_empty() {
        world.round();
    }
    world.machines_unread = true;
    world.run_for(2_000);
    world.machines_unread = false;
    world.run_for(1_000);
    world.machines_unread = true;
    world.machine_fault = None;
    world.run_for(1_000);
    assert_eq!(world.published.get(&1), Some(&true));
}

/// Guards against a later deadline of a wave whose record is written again, with the same content, around a takeover.
#[test]
fn a_record_that_is_written_again_around_a_takeover_keeps_its_deadline() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.write_wave(1, &ALL, 1, 25_000);
    world.run_for(3_000);
    let seen_ms = world.dispatcher.table.waves[&1].seen_ms;
    world.take_over();
    world.write_wave(1, &ALL, 1, 25_000);
    world.run_for(500);
    assert_eq!(world.dispatcher.table.waves[&1].seen_ms, seen_ms);
    world.take_over();
    world.write_wave(1, &ALL, 1, 20_000);
    assert!(world.dispatcher.table.waves[&1].seen_ms > seen_ms);
}

/// Guards against a wave that is shown as completed because a machine is missing from lists and one poll of its worker is lost.
#[test]
fn a_lost_poll_does_not_end_the_wave_of_a_machine_that_lists_lack() {
    let mut world = World::new(ALL.len());
    let step = Step { long_running: true, spread: Some(1), ..step(4, cores(1), 1_000) };
    world.submit(job(1, vec![step]));
    world.run_for(1_000);
    world.machine_fault = Some(MachineFault::Refuses);
    world.write_wave(1, &ALL[..1], 1, 30_000);
    world.run_for(500);
    let worker = world.machines[ALL[0]].0.worker.clone().expect("the machine has a worker");
    world.machines_unread = true;
    for second in 0..16 {
        world.workers.get_mut(&worker).expect("it runs").partitioned = second == 13;
        world.run_for(1_000);
        let list = world.list_machines().into_iter().filter(|machine| machine.name != ALL[0]).collect();
        world.dispatcher.set_machines(world.now, world.now, list);
        world.run_for(200);
        assert_eq!(world.published.get(&1), Some(&false), "after {second} s");
    }
}

/// Guards against an upkeep that is ordered for a wave which the operators have removed.
#[test]
fn an_accepted_upkeep_of_a_removed_wave_is_not_ordered_again() {
    let mut world = World::new(ALL.len());
    world.run_for(1_000);
    world.machine_fault = Some(MachineFault::Answers(MachineOutcome::Taken));
    world.write_wave(1, &ALL[..1], 1, 5_000);
    while world.machine_orders == 0 {
        world.round();
    }
    world.machine_fault = None;
    world.remove_wave(1);
    world.run_for(5_000);
    assert_eq!(world.machine_orders, 1);
}
