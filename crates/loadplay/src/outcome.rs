//! What callers got in a play, and what it took.

/// An item from its caller's side.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ItemSeen {
    /// When its job came, in milliseconds.
    pub came_ms: u64,
    /// When it is due.
    pub due_ms: u64,
    /// When it was done.
    pub done_ms: Option<u64>,
    /// How long it runs undisturbed.
    pub run_ms: u64,
}

impl ItemSeen {
    /// Returns whether it was done in time.
    pub fn is_in_time(&self) -> bool {
        self.done_ms.is_some_and(|done| done <= self.due_ms)
    }
}

/// An online request from its caller's side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OnlineSeen {
    /// When it came, in milliseconds.
    pub came_ms: u64,
    /// Time to its first event.
    pub first_ms: Option<u64>,
    /// Whether it was refused.
    pub is_refused: bool,
}

/// Places at one moment, or in the mean of several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InUse {
    /// Those with items.
    pub items: f64,
    /// Those with online requests.
    pub online: f64,
    /// All, at targets that stay.
    pub all: f64,
}

impl InUse {
    /// Returns the mean of some moments.
    pub(crate) fn mean(moments: &[Self]) -> Self {
        let mean = |of: fn(&Self) -> f64| {
            moments.iter().map(of).sum::<f64>() / moments.len().max(1) as f64
        };
        Self {
            items: mean(|m| m.items),
            online: mean(|m| m.online),
            all: mean(|m| m.all),
        }
    }
}

/// What callers got, and what it took.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// All items.
    pub items: Vec<ItemSeen>,
    /// All online requests.
    pub online: Vec<OnlineSeen>,
    /// Runs of items that were cut.
    pub cuts: u64,
    /// Arrivals at targets without a free place.
    pub queued: u64,
    /// Places in use, for each half second.
    pub places: Vec<InUse>,
    /// Items that a clairvoyant order could have done in time.
    pub bound: usize,
}

impl Outcome {
    /// Returns the share of items that were done in time.
    pub fn items_in_time(&self) -> f64 {
        share(self.items.iter().map(ItemSeen::is_in_time))
    }

    /// Returns the same of the largest tenth of them.
    pub fn largest_in_time(&self) -> f64 {
        let mut by_size: Vec<&ItemSeen> = self.items.iter().collect();
        by_size.sort_by_key(|item| std::cmp::Reverse(item.run_ms));
        by_size.truncate(self.items.len().div_ceil(10));
        share(by_size.into_iter().map(ItemSeen::is_in_time))
    }

    /// Returns the share of online requests whose first event came in time.
    pub fn online_in_time(&self, objective_ms: u64) -> f64 {
        let first = self.online.iter().map(|seen| seen.first_ms);
        share(first.map(|first| first.is_some_and(|first| first <= objective_ms)))
    }

    /// Returns the share of items that a clairvoyant order does in time.
    pub fn bound_share(&self) -> f64 {
        match self.items.len() {
            0 => 1.0,
            all => self.bound as f64 / all as f64,
        }
    }
}

/// Returns how large a part holds; all of nothing does.
fn share(all: impl Iterator<Item = bool>) -> f64 {
    let (mut holds, mut count) = (0_u32, 0_u32);
    for is_so in all {
        holds += u32::from(is_so);
        count += 1;
    }
    match count {
        0 => 1.0,
        count => f64::from(holds) / f64::from(count),
    }
}
