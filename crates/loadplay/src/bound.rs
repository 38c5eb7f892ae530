//! What an order that knows everything could have done.
//!
//! All places that online requests leave are one pool, items move freely and at
//! no cost, and their lengths are known: more than any host can do, so what is
//! lost beyond it is nobody's fault.

use crate::outcome::ItemSeen;

/// Returns how many items could be done in time with so many places free in
/// each millisecond, by the least slack among those that still can be.
pub fn in_time(items: &[ItemSeen], free: &[f64]) -> usize {
    const STEP_MS: u64 = 10;
    let mut rest_ms: Vec<f64> = items.iter().map(|item| item.run_ms as f64).collect();
    let mut open: Vec<usize> = (0..items.len()).collect();
    let mut done = 0;
    for now_ms in (0..free.len() as u64).step_by(STEP_MS as usize) {
        open.retain(|n| now_ms as f64 + rest_ms[*n] <= items[*n].due_ms as f64);
        let mut live: Vec<usize> = open.clone();
        live.retain(|n| items[*n].came_ms <= now_ms);
        live.sort_by(|a, b| {
            let slack = |n: usize| items[n].due_ms as f64 - rest_ms[n];
            slack(*a).total_cmp(&slack(*b))
        });
        let places = free[now_ms as usize] as usize;
        for number in live.into_iter().take(places) {
            rest_ms[number] -= STEP_MS as f64;
            if rest_ms[number] <= 0.0 {
                done += 1;
                open.retain(|n| *n != number);
            }
        }
    }
    done
}
