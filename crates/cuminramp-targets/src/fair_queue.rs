//! Waiting work, served by weight.

use std::collections::VecDeque;

use cuminramp_core::{Name, SortedMap};

/// What one unit of weight earns in one turn.
const QUANTUM: u64 = 1;

#[derive(Debug)]
struct TeamLine<T> {
    weight: u64,
    deficit: u64,
    items: VecDeque<(u64, T)>,
}

/// Deficit round robin over teams: each turn a team earns its weight and spends it on its items.
///
/// A first-come queue serves whoever sends most: a team at several times its rate fills it, and
/// others wait behind. Here a team waits only behind one turn of each other team.
#[derive(Debug)]
pub struct FairQueue<T> {
    lines: SortedMap<Name, TeamLine<T>>,
    turns: VecDeque<Name>,
    length: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue { lines: SortedMap::new(), turns: VecDeque::new(), length: 0 }
    }
}

impl<T> FairQueue<T> {
    /// An empty queue.
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

    /// Adds an item of a team with its weight; `cost` is what the item takes of a turn.
    pub fn push(&mut self, team: &Name, weight: u32, cost: u64, item: T) {
        let fresh = || TeamLine { weight: 1, deficit: 0, items: VecDeque::new() };
        let line = self.lines.get_or_insert_with(team.clone(), fresh);
        line.weight = u64::from(weight.max(1));
        if line.items.is_empty() {
            line.deficit = 0;
            self.turns.push_back(team.clone());
        }
        line.items.push_back((cost.max(1), item));
        self.length += 1;
    }

    /// Takes the next item.
    pub fn pop(&mut self) -> Option<T> {
        loop {
            let team = self.turns.front()?.clone();
            let Some(line) = self.lines.get_mut(&*team) else {
                self.turns.pop_front();
                continue;
            };
            let cost = line.items.front().map_or(0, |(cost, _)| *cost);
            if line.deficit < cost {
                line.deficit += line.weight * QUANTUM;
                if line.deficit < cost {
                    self.turns.rotate_left(1);
                    continue;
                }
            }
            line.deficit -= cost;
            let item = line.items.pop_front().map(|(_, item)| item);
            let next_cost = line.items.front().map(|(cost, _)| *cost);
            match next_cost {
                None => {
                    self.turns.pop_front();
                    self.lines.remove(&*team);
                }
                Some(cost) if line.deficit < cost => self.turns.rotate_left(1),
                Some(_) => {}
            }
            self.length -= 1;
            return item;
        }
    }

    /// How many items wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }
}

#[cfg(test)]
mod tests;
