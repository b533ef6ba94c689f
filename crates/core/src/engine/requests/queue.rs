//! Queue of one team's work in one pool, by urgency.

use std::collections::VecDeque;

use super::Item;
use crate::record::Class;

/// Waiting work of one team in one pool. Items whose row is gone are passed over by the reader.
#[derive(Debug, Default)]
pub(in crate::engine) struct TeamQueue {
    lanes: [VecDeque<Item>; 3],
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

    /// Takes the most urgent, oldest item. The caller passes over items that no longer wait, without counting them.
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

    /// Items that a new item of a class waits for; removed ones are counted until they are passed over.
    pub(in crate::engine) fn ahead(&self, class: Class) -> u32 {
        let lanes = self.lanes.iter().take(lane_index(class) + 1);
        u32::try_from(lanes.map(VecDeque::len).sum::<usize>()).unwrap_or(u32::MAX).min(self.live)
    }

    /// Notes that one waiting item was removed from its table.
    pub(in crate::engine) fn remove_one(&mut self) {
        self.live = self.live.saturating_sub(1);
        if self.live == 0 {
            self.lanes.iter_mut().for_each(VecDeque::clear);
        }
    }

    /// Waiting items.
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
