//! The results of a simulation, as its callers observe them.

/// The outcome of a batch item.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ItemOutcome {
    /// Arrival time of its job, in milliseconds.
    pub arrived_ms: u64,
    /// Due time, in milliseconds.
    pub due_ms: u64,
    /// Completion time, in milliseconds.
    pub completed_ms: Option<u64>,
    /// Run time without contention, in milliseconds.
    pub run_ms: u64,
}

impl ItemOutcome {
    /// Returns whether it completed by its due time.
    pub fn is_in_time(&self) -> bool {
        self.completed_ms.is_some_and(|at| at <= self.due_ms)
    }
}

/// The outcome of an online request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OnlineOutcome {
    /// Arrival time, in milliseconds.
    pub arrived_ms: u64,
    /// Time from its arrival to its first event, in milliseconds.
    pub first_event_ms: Option<u64>,
    /// Whether it was rejected.
    pub is_rejected: bool,
}

/// Slots in use at one time, or the mean of several samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotUsage {
    /// Slots used by batch items.
    pub items: f64,
    /// Slots used by online requests.
    pub online: f64,
    /// All slots of targets that are not leaving.
    pub total: f64,
}

impl SlotUsage {
    /// Returns the mean of samples.
    pub(crate) fn mean(samples: &[Self]) -> Self {
        let mean = |of: fn(&Self) -> f64| {
            samples.iter().map(of).sum::<f64>() / samples.len().max(1) as f64
        };
        Self {
            items: mean(|usage| usage.items),
            online: mean(|usage| usage.online),
            total: mean(|usage| usage.total),
        }
    }
}

/// The outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// All items.
    pub items: Vec<ItemOutcome>,
    /// All online requests.
    pub online: Vec<OnlineOutcome>,
    /// Number of item runs that were preempted.
    pub preemptions: u64,
    /// Number of requests and items sent to a target that had no free slot.
    pub queued: u64,
    /// Mean slots in use, for each half second.
    pub slot_usage: Vec<SlotUsage>,
    /// Number of items that a clairvoyant scheduler completes in time.
    pub bound: usize,
}

impl Outcome {
    /// Returns the share of items that completed in time.
    pub fn items_in_time(&self) -> f64 {
        share(self.items.iter().map(ItemOutcome::is_in_time))
    }

    /// Returns the share that completed in time of the tenth of items with the longest
    /// run time.
    pub fn largest_in_time(&self) -> f64 {
        let mut by_size: Vec<&ItemOutcome> = self.items.iter().collect();
        by_size.sort_by_key(|item| std::cmp::Reverse(item.run_ms));
        by_size.truncate(self.items.len().div_ceil(10));
        share(by_size.into_iter().map(ItemOutcome::is_in_time))
    }

    /// Returns the share of online requests whose first event met the objective.
    pub fn online_in_time(&self, objective_ms: u64) -> f64 {
        let first = self.online.iter().map(|request| request.first_event_ms);
        share(first.map(|first| first.is_some_and(|first| first <= objective_ms)))
    }

    /// Returns the share of items that a clairvoyant scheduler completes in time.
    pub fn bound_share(&self) -> f64 {
        match self.items.len() {
            0 => 1.0,
            all => self.bound as f64 / all as f64,
        }
    }
}

/// Returns the share of true values; 1 if there are none.
fn share(all: impl Iterator<Item = bool>) -> f64 {
    let (mut matches, mut count) = (0_u32, 0_u32);
    for is_match in all {
        matches += u32::from(is_match);
        count += 1;
    }
    match count {
        0 => 1.0,
        count => f64::from(matches) / f64::from(count),
    }
}
