//! The items of one host that wait, in the order in which they run.
//!
//! Those due first come first, over all jobs of the host. Items that cannot end
//! in time any more come behind all others: run first, they would make the next
//! ones late as well. They keep their order among themselves, and run when
//! nothing else does, since a late result is still worth something to callers.
//!
//! Least slack first was tried and measured no better: answers' lengths are not
//! known well enough. Shortest first was rejected: long items are served as
//! well as short ones.
//!
//! ```
//! use notchwharf_routing::items::queue::Queue;
//!
//! let mut queue = Queue::default();
//! queue.push(900, "b", 2);
//! queue.push(500, "a", 7);
//! queue.demote_late(|item| *item == 7);
//! assert_eq!(queue.pop(), Some(2));
//! assert_eq!(queue.pop(), Some(7));
//! ```

use std::collections::BTreeMap;

use super::peer_queues::QueuedItems;

/// Items that wait, each under the time at which it is due and a key that
/// orders those of one time.
#[derive(Clone, Debug)]
pub struct Queue<K, T> {
    in_time: BTreeMap<(u64, K), T>,
    /// How many of these are due at a time, so that telling what waits does not
    /// walk through all of it: hosts tell some hundred times a second, and a
    /// job may have 230,000 items.
    due: BTreeMap<u64, u32>,
    late: BTreeMap<(u64, K), T>,
}

impl<K, T> Default for Queue<K, T> {
    fn default() -> Self {
        Self {
            in_time: BTreeMap::new(),
            due: BTreeMap::new(),
            late: BTreeMap::new(),
        }
    }
}

/// Where the next item stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline {
    /// When it is due.
    pub due_unix_ms: u64,
    /// Whether it comes too late whatever is done.
    pub is_late: bool,
}

impl Deadline {
    /// Returns what its turn goes by among the items of all hosts: late ones
    /// come after all that are not.
    pub fn sort_key_unix_ms(self) -> u64 {
        match self.is_late {
            true => u64::MAX,
            false => self.due_unix_ms,
        }
    }
}

impl<K: Ord, T> Queue<K, T> {
    /// Adds an item that can still end in time, as far as known.
    pub fn push(&mut self, due_unix_ms: u64, key: K, item: T) {
        let before = self.in_time.insert((due_unix_ms, key), item);
        if before.is_none() {
            *self.due.entry(due_unix_ms).or_default() += 1;
        }
    }

    /// Puts the items at the head behind all others that come too late. Each is
    /// judged when it has come to the head, so that a look costs no more than
    /// the items that it moves.
    pub fn demote_late(&mut self, is_late: impl Fn(&T) -> bool) {
        while let Some(first) = self.in_time.first_entry() {
            if !is_late(first.get()) {
                return;
            }
            let (place, item) = first.remove_entry();
            uncount(&mut self.due, place.0);
            self.late.insert(place, item);
        }
    }

    /// Returns the next item and where it stands, without taking it.
    pub fn peek(&self) -> Option<(Deadline, &T)> {
        let queues = [(&self.in_time, false), (&self.late, true)];
        queues.into_iter().find_map(|(queue, is_late)| {
            let ((due_unix_ms, _), item) = queue.first_key_value()?;
            let due_unix_ms = *due_unix_ms;
            let next = Deadline {
                due_unix_ms,
                is_late,
            };
            Some((next, item))
        })
    }

    /// Takes the next item.
    pub fn pop(&mut self) -> Option<T> {
        if let Some(((due_unix_ms, _), item)) = self.in_time.pop_first() {
            uncount(&mut self.due, due_unix_ms);
            return Some(item);
        }
        self.late.pop_first().map(|(_, item)| item)
    }

    /// Drops the items that are not wanted any more.
    pub fn retain(&mut self, is_wanted: impl Fn(&K) -> bool) {
        let due = &mut self.due;
        self.in_time.retain(|(due_unix_ms, key), _| {
            let is_wanted = is_wanted(key);
            if !is_wanted {
                uncount(due, *due_unix_ms);
            }
            is_wanted
        });
        self.late.retain(|(_, key), _| is_wanted(key));
    }

    /// Returns how many items wait and can end in time, by when they are due.
    /// So many times are told apart; the rest counts with the last of these.
    pub fn summary(&self, times_max: usize) -> Vec<QueuedItems> {
        let times = self.due.iter().take(times_max);
        let mut told: Vec<QueuedItems> = times
            .map(|(due_unix_ms, items)| QueuedItems {
                due_unix_ms: *due_unix_ms,
                items: *items,
            })
            .collect();
        let apart: u32 = told.iter().map(|w| w.items).sum();
        if let Some(last) = told.last_mut() {
            let all = u32::try_from(self.in_time.len()).unwrap_or(u32::MAX);
            last.items += all - apart;
        }
        told
    }

    /// Returns all items, the next one first.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.in_time.values_mut().chain(self.late.values_mut())
    }

    /// Returns how many items come too late.
    pub fn late_len(&self) -> usize {
        self.late.len()
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }

    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn uncount(due: &mut BTreeMap<u64, u32>, due_unix_ms: u64) {
    if let Some(items) = due.get_mut(&due_unix_ms) {
        *items -= 1;
        if *items == 0 {
            due.remove(&due_unix_ms);
        }
    }
}
