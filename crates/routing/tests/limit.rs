//! Adaptation of concurrency limits to measured latencies.

use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::limit::Limit;
use notchwharf_routing::limit::Objectives;
use rstest::rstest;

const OBJECTIVES: Objectives = Objectives {
    first_token: Duration::from_millis(750),
    inter_token: Duration::from_millis(26),
};
const MAX: u32 = 32;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Feeds windows of samples and returns the limit after each.
fn limits(first_ms: u64, inter_ms: u64, running: u32, windows: usize) -> Vec<u32> {
    let start = Instant::now();
    let mut limit = Limit::new(OBJECTIVES, MAX, start);
    let mut now = start;
    (0..windows)
        .map(|_| {
            for _ in 0..10 {
                now += ms(10);
                limit.record_first_token(ms(first_ms), running, now);
                limit.record_inter_token(ms(inter_ms), running, now);
            }
            now += Duration::from_secs(2);
            limit.record_inter_token(ms(inter_ms), running, now);
            limit.streams()
        })
        .collect()
}

#[rstest]
#[case::within(100, 20, 32)]
#[case::first_token_exceeded(900, 20, 2)]
#[case::inter_token_exceeded(100, 30, 2)]
fn limit_decreases_only_when_an_objective_is_missed(
    #[case] first_ms: u64,
    #[case] inter_ms: u64,
    #[case] expected: u32,
) {
    let seen = limits(first_ms, inter_ms, MAX, 40);
    assert_eq!(*seen.last().unwrap_or(&0), expected, "{seen:?}");
}

#[rstest]
fn limit_increases_in_single_steps() {
    let start = Instant::now();
    let mut limit = Limit::new(OBJECTIVES, MAX, start);
    let mut now = start;
    let mut window = |limit: &mut Limit, inter_ms| {
        for _ in 0..64 {
            now += ms(1);
            limit.record_inter_token(ms(inter_ms), limit.streams(), now);
        }
        limit.streams()
    };
    let low = window(&mut limit, 40);
    assert!(low < MAX);
    assert_eq!(window(&mut limit, 10), low + 1);
    assert_eq!(window(&mut limit, 10), low + 2);
}
