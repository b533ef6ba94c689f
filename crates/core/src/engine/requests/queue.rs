//! Priority queue of a team's work in a pool.

use std::collections::VecDeque;

use super::Item;
use crate::record::Class;

/// Waiting work of one team in one pool: one FIFO queue for each class. Items whose row was removed stay queued until
/// `pop` skips them.
#[derive(Debug, Default)]
pub(in crate::engine) struct TeamQueue {
    /// Queues in the order of [`lane_index`].
    lanes: [VecDeque<Item>; 3],
    /// Number of items whose row still exists.
    live: u32,
}

impl TeamQueue {
    pub(in crate::engine) fn push(&mut self, class: Class, item: Item, front: bool) {
        let lane = &mut self.lanes[lane_index(class)];
        if front {
            lane.push_front(item);
        } else {
            lane.push_back(item);
        }
        self.live += 1;
    }

    /// Removes and returns the oldest item of the most urgent class, skipping items for which `waits` is false.
    pub(in crate::engine) fn pop(&mut self, waits: impl Fn(Item) -> bool) -> Option<(Class, Item)> {
        for class in [Class::Urgent, Class::Normal, Class::Batch] {
            while let Some(item) = self.lanes[lane_index(class)].pop_front() {
                if waits(item) {
                    self.live = self.live.saturating_sub(1);
                    return Some((class, item));
                }
            }
        }
        None
    }

    /// Number of items ahead of a new item of a class. Removed items may be counted until they are skipped.
    pub(in crate::engine) fn ahead(&self, class: Class) -> u32 {
        let lanes = self.lanes.iter().take(lane_index(class) + 1);
        u32::try_from(lanes.map(VecDeque::len).sum::<usize>()).unwrap_or(u32::MAX).min(self.live)
    }

    /// Decrements the length after the row of a queued item was removed.
    pub(in crate::engine) fn remove_one(&mut self) {
        self.live = self.live.saturating_sub(1);
        if self.live == 0 {
            self.lanes.iter_mut().for_each(VecDeque::clear);
        }
    }

    /// Number of items whose row still exists.
    pub(in crate::engine) fn len(&self) -> u32 {
        self.live
    }
}

fn lane_index(class: Class) -> usize {
    match class {
        Class::Urgent => 0,
        Class::Normal => 1,
        Class::Batch => 2,
    }
}
