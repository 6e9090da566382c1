//! Queues waiting work and serves teams by weight.

use std::collections::VecDeque;

use cuminramp_core::{Name, SortedMap};

/// Deficit that one unit of weight adds in one turn.
const QUANTUM: u64 = 1;

/// Waiting items of one team.
#[derive(Debug)]
struct TeamQueue<T> {
    weight: u64,
    /// Cost that the team may still spend in its turn.
    deficit: u64,
    /// Waiting items, each with its cost.
    items: VecDeque<(u64, T)>,
}

/// Serves teams by deficit round robin: each turn adds a team's weight to its deficit, which the team
/// spends on its items.
///
/// In a first-come, first-served queue, a team that sends several times its rate fills the queue, and
/// all others wait behind its items. Here a team waits only for one turn of each other team.
#[derive(Debug)]
pub struct FairQueue<T> {
    queues: SortedMap<Name, TeamQueue<T>>,
    /// Teams with waiting items, in the order of their turns.
    active: VecDeque<Name>,
    /// Number of waiting items of all teams.
    length: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue { queues: SortedMap::new(), active: VecDeque::new(), length: 0 }
    }
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    ///
    /// ```
    /// let mut queue = cuminramp_targets::FairQueue::new();
    /// for item in 0..3 {
    ///     queue.push(&"large".into(), 1, 1, item);
    /// }
    /// queue.push(&"small".into(), 1, 1, 9);
    /// assert_eq!(queue.pop(), Some(0));
    /// assert_eq!(queue.pop(), Some(9));
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an item of `team` and sets the team's weight. Serving the item reduces the team's deficit by
    /// `cost`.
    pub fn push(&mut self, team: &Name, weight: u32, cost: u64, item: T) {
        let new_queue = || TeamQueue { weight: 1, deficit: 0, items: VecDeque::new() };
        let queue = self.queues.get_or_insert_with(team.clone(), new_queue);
        queue.weight = u64::from(weight.max(1));
        if queue.items.is_empty() {
            queue.deficit = 0;
            self.active.push_back(team.clone());
        }
        queue.items.push_back((cost.max(1), item));
        self.length += 1;
    }

    /// Removes and returns the next item.
    pub fn pop(&mut self) -> Option<T> {
        loop {
            let team = self.active.front()?.clone();
            let Some(queue) = self.queues.get_mut(&*team) else {
                self.active.pop_front();
                continue;
            };
            let cost = queue.items.front().map_or(0, |(cost, _)| *cost);
            if queue.deficit < cost {
                queue.deficit += queue.weight * QUANTUM;
                if queue.deficit < cost {
                    self.active.rotate_left(1);
                    continue;
                }
            }
            queue.deficit -= cost;
            let item = queue.items.pop_front().map(|(_, item)| item);
            let next_cost = queue.items.front().map(|(cost, _)| *cost);
            match next_cost {
                None => {
                    self.active.pop_front();
                    self.queues.remove(&*team);
                }
                Some(cost) if queue.deficit < cost => self.active.rotate_left(1),
                Some(_) => {}
            }
            self.length -= 1;
            return item;
        }
    }

    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }
}

#[cfg(test)]
mod tests;
