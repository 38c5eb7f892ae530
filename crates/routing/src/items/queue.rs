//! The queued items of one host, ordered by deadline.
//!
//! Items of all jobs of the host run earliest deadline first. Items that can no longer meet their
//! deadline are demoted behind all others, since running them first would make the next ones late
//! as well. They keep their relative order and run when nothing else is queued, since a late
//! result is still useful to callers.
//!
//! Alternatives rejected: least slack first (no better in measurements, since output lengths are
//! not known well enough) and shortest first (would serve long items worse than short ones).
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

/// Queued items, ordered by due time and then by key.
#[derive(Clone, Debug)]
pub struct Queue<K, T> {
    in_time: BTreeMap<(u64, K), T>,
    /// Number of items in `in_time` by due time, so that [`Queue::summary`] does not iterate over
    /// all items: hosts send it about a hundred times a second, and a job may have 230,000 items.
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

/// The deadline of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline {
    /// When the item is due.
    pub due_unix_ms: u64,
    /// Whether the item can no longer meet its deadline.
    pub is_late: bool,
}

impl Deadline {
    /// Returns the key by which the items of all hosts are ordered. Late items follow all others.
    pub fn sort_key_unix_ms(self) -> u64 {
        match self.is_late {
            true => u64::MAX,
            false => self.due_unix_ms,
        }
    }
}

impl<K: Ord, T> Queue<K, T> {
    /// Adds an item, which is assumed to meet its deadline until
    /// [`Queue::demote_late`] finds that it cannot.
    pub fn push(&mut self, due_unix_ms: u64, key: K, item: T) {
        let before = self.in_time.insert((due_unix_ms, key), item);
        if before.is_none() {
            *self.due.entry(due_unix_ms).or_default() += 1;
        }
    }

    /// Moves late items at the head behind all others. Items are only tested at the head, so that
    /// the cost is proportional to the number of moved items.
    pub fn demote_late(&mut self, is_late: impl Fn(&T) -> bool) {
        while let Some(first) = self.in_time.first_entry() {
            if !is_late(first.get()) {
                return;
            }
            let (position, item) = first.remove_entry();
            decrement(&mut self.due, position.0);
            self.late.insert(position, item);
        }
    }

    /// Returns the next item and its deadline without removing it.
    pub fn peek(&self) -> Option<(Deadline, &T)> {
        let queues = [(&self.in_time, false), (&self.late, true)];
        queues.into_iter().find_map(|(queue, is_late)| {
            let ((due_unix_ms, _), item) = queue.first_key_value()?;
            let due_unix_ms = *due_unix_ms;
            let deadline = Deadline {
                due_unix_ms,
                is_late,
            };
            Some((deadline, item))
        })
    }

    /// Removes and returns the next item.
    pub fn pop(&mut self) -> Option<T> {
        if let Some(((due_unix_ms, _), item)) = self.in_time.pop_first() {
            decrement(&mut self.due, due_unix_ms);
            return Some(item);
        }
        self.late.pop_first().map(|(_, item)| item)
    }

    /// Removes the items whose key does not satisfy the predicate, and returns them.
    pub fn retain(&mut self, is_retained: impl Fn(&K) -> bool) -> Vec<T> {
        let due = &mut self.due;
        let in_time = self.in_time.extract_if(.., |(_, key), _| !is_retained(key));
        let in_time = in_time.map(|((due_unix_ms, _), item)| {
            decrement(due, due_unix_ms);
            item
        });
        let mut removed: Vec<T> = in_time.collect();
        let late = self.late.extract_if(.., |(_, key), _| !is_retained(key));
        removed.extend(late.map(|(_, item)| item));
        removed
    }

    /// Returns the number of queued items that can meet their deadline, by due time. Items beyond
    /// the first `times_max` due times are counted with the last of these.
    pub fn summary(&self, times_max: usize) -> Vec<QueuedItems> {
        let times = self.due.iter().take(times_max);
        let mut summary: Vec<QueuedItems> = times
            .map(|(due_unix_ms, items)| QueuedItems {
                due_unix_ms: *due_unix_ms,
                items: *items,
            })
            .collect();
        let counted: u32 = summary.iter().map(|group| group.items).sum();
        if let Some(last) = summary.last_mut() {
            let all = u32::try_from(self.in_time.len()).unwrap_or(u32::MAX);
            last.items += all - counted;
        }
        summary
    }

    /// Returns all items in queue order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.in_time.values_mut().chain(self.late.values_mut())
    }

    /// Returns the number of late items.
    pub fn late_len(&self) -> usize {
        self.late.len()
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn decrement(due: &mut BTreeMap<u64, u32>, due_unix_ms: u64) {
    if let Some(items) = due.get_mut(&due_unix_ms) {
        *items -= 1;
        if *items == 0 {
            due.remove(&due_unix_ms);
        }
    }
}
