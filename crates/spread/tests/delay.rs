//! Delay estimation with unsynchronized clocks.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::time::Duration;

use notchwharf_spread::delay::DelayEstimator;

#[test]
fn delay_is_the_excess_over_the_fastest_message() {
    let mut delays = DelayEstimator::default();
    // The sender's clock is ahead by hours.
    for (sent_ms, received_ms, late_ms) in [
        (9_000_000, 100, 0),
        (9_000_250, 352, 2),
        (9_000_500, 599, 0),
        (9_000_750, 4_850, 4_001),
    ] {
        let late = delays.observe("a1", sent_ms, received_ms);
        assert_eq!(late, Duration::from_millis(late_ms));
    }
}

#[test]
fn senders_have_separate_baselines_and_can_be_removed() {
    let mut delays = DelayEstimator::default();
    delays.observe("a1", 0, 10);
    assert_eq!(delays.observe("a2", 0, 500), Duration::ZERO);
    assert_eq!(delays.observe("a1", 0, 500), Duration::from_millis(490));
    delays.retain(|sender| *sender == "a2");
    assert_eq!(delays.observe("a1", 0, 500), Duration::ZERO);
}
