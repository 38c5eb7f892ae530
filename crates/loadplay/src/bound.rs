//! An upper bound on the items completed in time, from a clairvoyant scheduler.
//!
//! It treats all slots that online requests leave free as one pool, moves items
//! between targets at no cost and knows their run times. No host can do that, so
//! items that miss their due time under this bound too are not counted against a
//! policy.

use crate::outcome::ItemOutcome;

/// Returns how many items complete in time under least-slack-first scheduling,
/// given the `free` slots in each millisecond. Items that can no longer complete
/// in time are dropped.
pub fn max_in_time(items: &[ItemOutcome], free: &[f64]) -> usize {
    const STEP_MS: u64 = 10;
    let mut remaining_ms: Vec<f64> = items.iter().map(|item| item.run_ms as f64).collect();
    let mut feasible: Vec<usize> = (0..items.len()).collect();
    let mut completed = 0;
    for now_ms in (0..free.len() as u64).step_by(STEP_MS as usize) {
        feasible.retain(|n| now_ms as f64 + remaining_ms[*n] <= items[*n].due_ms as f64);
        let mut ready: Vec<usize> = feasible.clone();
        ready.retain(|n| items[*n].arrived_ms <= now_ms);
        ready.sort_by(|a, b| {
            let slack = |n: usize| items[n].due_ms as f64 - remaining_ms[n];
            slack(*a).total_cmp(&slack(*b))
        });
        let slots = free[now_ms as usize] as usize;
        for index in ready.into_iter().take(slots) {
            remaining_ms[index] -= STEP_MS as f64;
            if remaining_ms[index] <= 0.0 {
                completed += 1;
                feasible.retain(|n| *n != index);
            }
        }
    }
    completed
}
